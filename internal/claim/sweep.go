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
	// sweepRound is how long one sweep of all shards takes over all entry
	// VMs: an expired claim stays at most this long. One shard is read every
	// few seconds, whatever the number of entry VMs.
	sweepRound = 4 * time.Hour
	sweepEvery = sweepRound / shards
	// clockSlack is how far all clocks of entry VMs may be off to the same
	// side; that they differ among each other is known.
	clockSlack = 10 * time.Minute
)

// sweepLoop deletes expired claims. All entry VMs go through the shards by the
// clock, and for each shard the highest in rendezvous order does the work;
// where two think so both do, which the CAS makes harmless.
func (l *Ledger) sweepLoop(ctx context.Context) {
	for ctx.Err() == nil {
		now := l.earliest()
		sleep.For(ctx, now.Truncate(sweepEvery).Add(sweepEvery).Sub(now))
		if ctx.Err() != nil {
			return
		}
		now = l.earliest()
		prefix := shardPrefix(now)
		if !l.sweeps(prefix) {
			continue
		}
		if err := l.sweepShard(ctx, prefix, now); err != nil {
			l.opts.Log.V(1).Info("claims not swept; the next round does", "shard", prefix, "cause", err)
		}
	}
}

func shardPrefix(now time.Time) string {
	n := (now.UnixNano() / int64(sweepEvery)) % shards
	return infra.ClaimPrefix + fmt.Sprintf("%0*x", shardDigits, n)
}

func (l *Ledger) sweeps(prefix string) bool {
	mine := peer.Rendezvous(prefix, l.opts.Self.ID)
	for _, id := range l.opts.Live() {
		if id != l.opts.Self.ID && peer.Rendezvous(prefix, id) > mine {
			return false
		}
	}
	return true
}

// sweepShard deletes the expired claims of one shard, in groups, each only as
// it was read: a claim set up anew in between is not touched.
func (l *Ledger) sweepShard(ctx context.Context, prefix string, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, sweepEvery)
	defer cancel()
	kvs, _, err := l.opts.Store.Range(ctx, prefix)
	if err != nil {
		return err
	}
	var sent []*pending
	for _, kv := range kvs {
		r, err := decodeRecord(kv.Value)
		if err != nil || now.Before(r.Expires.Add(clockSlack)) {
			continue
		}
		sent = append(sent, l.commits.submit(write{key: kv.Key, mod: kv.ModRevision}))
	}
	for _, p := range sent {
		select {
		case <-p.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
