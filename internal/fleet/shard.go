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
	// shardCount splits the work by what holds a VM, so that several waves
	// and orders can be carried by several entry VMs.
	shardCount = 8
	// shardTTL is how long work lies idle after its entry VM died. It is
	// short against a reboot, and a third of it is the renewal interval, so
	// that one lost renewal costs nothing.
	shardTTL   = 15 * time.Second
	renewEvery = shardTTL / 3
	// attendants is how many entry VMs look for work at rest: one to do it
	// and one that takes over. More would only cost calls.
	attendants = 2
)

// shards are the leased shards of work this entry VM holds. They save effort
// and nothing else: two holders at once collide in their CAS and do no harm.
type shards struct {
	lease   infra.LeaseID
	renewed time.Time
	held    map[int]bool
	refused map[int]time.Time // when another was seen to hold it
}

func newShards() shards {
	return shards{held: make(map[int]bool), refused: make(map[int]time.Time)}
}

// shardOf returns the shard that works for a holder of VMs.
func shardOf(holder string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(holder))
	return int(h.Sum32() % shardCount)
}

func shardKey(n int) string { return fmt.Sprintf("%s%d", infra.ShardPrefix, n) }

// claimShards takes what is free of the shards with work and returns whether
// any is held. Errors only delay the work.
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
		if at, ok := f.shards.refused[n]; ok && f.clock.Since(at) < renewEvery {
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
		return fault("claim shard", err)
	}
	// A claim whose reply was lost is found here as our own.
	if res.Succeeded || string(res.Reads[0].Value) == value {
		f.shards.held[n] = true
		return nil
	}
	f.shards.refused[n] = f.clock.Now()
	return nil
}

// renewShards keeps the lease alive; where it has lapsed all shards are lost.
func (f *Fleet) renewShards(ctx context.Context) error {
	now := f.clock.Now()
	if f.shards.lease == 0 {
		lease, err := f.store.Grant(ctx, shardTTL)
		if err != nil {
			return fault("grant lease", err)
		}
		f.shards.lease = lease
		f.shards.renewed = now
		return nil
	}
	if now.Sub(f.shards.renewed) < renewEvery {
		return nil
	}
	err := f.store.KeepAlive(ctx, f.shards.lease)
	if infra.IsKind(err, infra.KindLeaseNotFound) {
		f.shards = newShards()
		return nil
	}
	if err != nil {
		return fault("renew lease", err)
	}
	f.shards.renewed = now
	return nil
}

// releaseShards hands the work over at once rather than when the lease lapses.
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
	return fault("revoke lease", err)
}

// attends reports whether this entry VM looks for work at rest: it ranks among
// the first of the live ones by rendezvous hash, or doesn't know them.
func (f *Fleet) attends(entries []view.EntryRecord) bool {
	before, listed := 0, len(entries) == 0
	own := rank(f.self)
	for _, e := range entries {
		listed = listed || e.ID == f.self
		r := rank(e.ID)
		if r < own || (r == own && e.ID < f.self) {
			before++
		}
	}
	return !listed || before < attendants
}

func rank(id model.EntryID) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("fleet/" + string(id)))
	return h.Sum32()
}
