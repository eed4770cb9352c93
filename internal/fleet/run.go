package fleet

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/policy/wave"
)

const (
	// busyPassInterval is the time between two passes while there is work. A VM
	// waits at most a second for its next step, which is short against a reboot
	// of minutes.
	busyPassInterval = time.Second
	// idlePassInterval is the time between two polls for started waves while
	// there is no work. Orders given at this entry VM wake Run at once.
	idlePassInterval = 10 * time.Second
	// handOverTimeout bounds the release of the shards when the daemon stops.
	handOverTimeout = 2 * time.Second
)

// Run does passes until ctx ends, then releases its shards. Failed passes are
// logged and retried. It always returns nil.
func (f *Fleet) Run(ctx context.Context) error {
	defer f.handOver(ctx)
	woken := false
	for {
		busy, err := f.passOverShards(ctx, woken)
		if err != nil && ctx.Err() == nil {
			f.log.Error(err, "reconciliation pass failed, will be retried")
		}
		wait := idlePassInterval
		if busy {
			wait = f.passInterval
		}
		woken = false
		select {
		case <-ctx.Done():
			return nil
		case <-f.wake:
			woken = true
		case <-f.clock.After(wait):
		}
	}
}

func (f *Fleet) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), handOverTimeout)
	defer cancel()
	f.passMu.Lock()
	defer f.passMu.Unlock()
	if err := f.releaseShards(ctx); err != nil {
		f.log.Error(err, "releasing shards failed, they become free when their lease expires")
	}
}

// passOverShards does a pass over the work whose shards this entry VM holds, and
// reports whether it is to be called again soon. woken is true if Wake was
// called; the pass then also takes place where this entry VM does not poll while
// idle.
func (f *Fleet) passOverShards(ctx context.Context, woken bool) (busy bool, err error) {
	f.passMu.Lock()
	defer f.passMu.Unlock()
	snap := f.view.Load()
	if snap.Declaration == nil {
		return false, nil
	}
	if !woken && f.shards.lease == 0 && !f.pollsWhenIdle(snap.Entries) {
		return false, nil
	}
	if err := withStepTimeout(ctx, f.Bootstrap); err != nil {
		return false, err
	}
	ws, err := f.loadWaves(ctx)
	if err != nil {
		return f.shards.lease != 0, err
	}
	need := f.newPass().shardsNeeded(ws)
	err = withStepTimeout(ctx, func(ctx context.Context) error { return f.claimShards(ctx, need) })
	if err != nil {
		return true, err
	}
	if len(f.shards.held) == 0 {
		return false, nil
	}
	return true, f.pass(ctx, ws, f.ownsWork)
}

// ownsWork reports whether this entry VM holds the shard of the holder.
func (f *Fleet) ownsWork(holder string) bool { return f.shards.held[shardOf(holder)] }

// shardsNeeded returns the shards that have work: a held VM or a running wave.
func (p *pass) shardsNeeded(ws waves) map[int]bool {
	need := make(map[int]bool)
	for _, vm := range p.held() {
		need[shardOf(vm.Holder)] = true
	}
	for _, name := range ws.running() {
		need[shardOf(wave.Holder(name))] = true
	}
	return need
}
