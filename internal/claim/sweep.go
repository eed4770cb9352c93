package claim

import (
	"context"
	"fmt"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/peer"
	"github.com/pumicestage/pumicestage/internal/sleep"
)

const (
	// sweepCycle is the time in which all entry VMs together sweep every shard
	// once, and so the longest that an expired claim stays in the store. One
	// shard is read every few seconds, whatever the number of entry VMs.
	sweepCycle    = 4 * time.Hour
	shardInterval = sweepCycle / shardCount
	// clockTolerance is how far the clocks of all entry VMs may deviate from
	// true time in the same direction. Differences between them are covered by
	// Options.Clocks.
	clockTolerance = 10 * time.Minute
)

// sweepLoop deletes expired claims until ctx ends. The time determines the shard
// to sweep on every entry VM, and rendezvous hashing selects the entry VM that
// sweeps it. If two entry VMs select themselves, both sweep it, which is
// harmless because deletions are compare-and-swap.
func (l *Ledger) sweepLoop(ctx context.Context) {
	for ctx.Err() == nil {
		now := l.earliestClock()
		sleep.For(ctx, now.Truncate(shardInterval).Add(shardInterval).Sub(now))
		if ctx.Err() != nil {
			return
		}
		now = l.earliestClock()
		prefix := shardPrefix(now)
		if !l.sweepsShard(prefix) {
			continue
		}
		if err := l.sweepShard(ctx, prefix, now); err != nil {
			l.opts.Log.V(1).Info("sweeping expired claims failed; retrying in the next cycle", "shard", prefix, "cause", err)
		}
	}
}

func shardPrefix(now time.Time) string {
	n := (now.UnixNano() / int64(shardInterval)) % shardCount
	return infra.ClaimPrefix + fmt.Sprintf("%0*x", shardDigits, n)
}

// sweepsShard reports whether this entry VM is the one that sweeps the shard.
func (l *Ledger) sweepsShard(prefix string) bool {
	mine := peer.Rendezvous(prefix, l.opts.Self.ID)
	for _, id := range l.opts.Live() {
		if id != l.opts.Self.ID && peer.Rendezvous(prefix, id) > mine {
			return false
		}
	}
	return true
}

// sweepShard deletes the expired claims of one shard. Each is deleted only at
// the revision that was read, so that a claim written in the meantime stays. The
// committer combines the deletions in groups.
func (l *Ledger) sweepShard(ctx context.Context, prefix string, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, shardInterval)
	defer cancel()
	kvs, _, err := l.opts.Store.Range(ctx, prefix)
	if err != nil {
		return err
	}
	var deletions []*pending
	for _, kv := range kvs {
		r, err := decodeRecord(kv.Value)
		if err != nil || now.Before(r.Expires.Add(clockTolerance)) {
			continue
		}
		deletions = append(deletions, l.commits.submit(write{key: kv.Key, expectedRev: kv.ModRevision}))
	}
	for _, p := range deletions {
		select {
		case <-p.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
