package fleet

import (
	"context"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// shardCount is the number of shards of the work, which is split by what
	// holds a VM, so that several entry VMs can share several waves and orders.
	shardCount = 8
	// shardTTL is how long work waits at most after its entry VM has crashed.
	// It is short against a reboot. The lease is renewed every third of it, so
	// that one lost renewal does not lose the lease.
	shardTTL           = 15 * time.Second
	shardRenewInterval = shardTTL / 3
	// maxIdlePollers is how many entry VMs poll for work while there is none:
	// one to do it and one to take over. More would only cost calls.
	maxIdlePollers = 2
)

// shards holds the leased shards of work of this entry VM. They only avoid
// duplicate effort and are not needed for safety: the compare-and-swaps of two
// concurrent holders conflict without harm.
type shards struct {
	lease         infra.LeaseID
	renewed       time.Time
	held          map[int]bool
	heldElsewhere map[int]time.Time // when another entry VM was last seen to hold the shard
}

func newShards() shards {
	return shards{held: make(map[int]bool), heldElsewhere: make(map[int]time.Time)}
}

// shardOf returns the shard that the VMs of a holder belong to.
func shardOf(holder string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(holder))
	return int(h.Sum32() % shardCount)
}

func shardKey(n int) string { return fmt.Sprintf("%s%d", infra.ShardPrefix, n) }

// claimShards claims the free ones of the shards that have work, and releases
// all shards if none has. An error only delays the work.
func (f *Fleet) claimShards(ctx context.Context, need map[int]bool) error {
	if len(need) == 0 {
		return f.releaseShards(ctx)
	}
	if err := f.renewShards(ctx); err != nil {
		return err
	}
	for n := range shardCount {
		if !need[n] || f.shards.held[n] {
			continue
		}
		if at, ok := f.shards.heldElsewhere[n]; ok && f.clock.Since(at) < shardRenewInterval {
			continue
		}
		if err := f.claimShard(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) claimShard(ctx context.Context, n int) error {
	key := shardKey(n)
	value := fmt.Sprintf("%s lease %d", f.self, f.shards.lease)
	res, err := f.store.Txn(ctx, infra.Txn{
		If:   []infra.Cond{{Key: key}},
		Then: []infra.Op{infra.PutLeased(key, []byte(value), f.shards.lease)},
		Else: []infra.Op{infra.Read(key)},
	})
	if infra.IsKind(err, infra.KindLeaseNotFound) {
		f.shards = newShards()
	}
	if err != nil {
		return wrapError("claim shard", err)
	}
	// A value equal to ours is an earlier claim whose reply was lost.
	if res.Succeeded || string(res.Reads[0].Value) == value {
		f.shards.held[n] = true
		return nil
	}
	f.shards.heldElsewhere[n] = f.clock.Now()
	return nil
}

// renewShards grants the lease or keeps it alive. If the lease has expired, all
// shards are lost.
func (f *Fleet) renewShards(ctx context.Context) error {
	now := f.clock.Now()
	if f.shards.lease == 0 {
		lease, err := f.store.Grant(ctx, shardTTL)
		if err != nil {
			return wrapError("grant lease", err)
		}
		f.shards.lease = lease
		f.shards.renewed = now
		return nil
	}
	if now.Sub(f.shards.renewed) < shardRenewInterval {
		return nil
	}
	err := f.store.KeepAlive(ctx, f.shards.lease)
	if infra.IsKind(err, infra.KindLeaseNotFound) {
		f.shards = newShards()
		return nil
	}
	if err != nil {
		return wrapError("renew lease", err)
	}
	f.shards.renewed = now
	return nil
}

// releaseShards revokes the lease, so that others can take the work over at once
// rather than when the lease expires.
func (f *Fleet) releaseShards(ctx context.Context) error {
	lease := f.shards.lease
	f.shards = newShards()
	if lease == 0 {
		return nil
	}
	err := f.store.Revoke(ctx, lease)
	if infra.IsKind(err, infra.KindLeaseNotFound) {
		return nil
	}
	return wrapError("revoke lease", err)
}

// pollsWhenIdle reports whether this entry VM polls for work while it holds no
// shard: it ranks among the first maxIdlePollers live entry VMs by rendezvous
// hash, or is not listed among them.
func (f *Fleet) pollsWhenIdle(entries []view.EntryRecord) bool {
	before, listed := 0, len(entries) == 0
	own := rank(f.self)
	for _, e := range entries {
		listed = listed || e.ID == f.self
		r := rank(e.ID)
		if r < own || (r == own && e.ID < f.self) {
			before++
		}
	}
	return !listed || before < maxIdlePollers
}

// rank returns the rendezvous hash of an entry VM; a lower rank comes first.
func rank(id model.EntryID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("fleet/" + string(id)))
	return h.Sum32()
}
