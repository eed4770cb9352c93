package fleet

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/policy/wave"
)

const (
	// busyEvery is how often a pass is done while there is work: a VM then
	// waits a second at most for its next step, against minutes for a boot.
	busyEvery = time.Second
	// restEvery is how often started waves are looked for at rest. Orders
	// given at this entry VM wake it at once.
	restEvery = 10 * time.Second
	// farewell bounds the hand-over when the daemon stops.
	farewell = 2 * time.Second
)

// Run does passes until ctx ends, then hands its shards over. Errors are
// logged and tried again.
func (f *Fleet) Run(ctx context.Context) error {
	defer f.handOver(ctx)
	kicked := false
	for {
		busy, err := f.tend(ctx, kicked)
		if err != nil && ctx.Err() == nil {
			f.log.Error(err, "pass failed, will be tried again")
		}
		wait := restEvery
		if busy {
			wait = f.every
		}
		kicked = false
		select {
		case <-ctx.Done():
			return nil
		case <-f.kick:
			kicked = true
		case <-f.clock.After(wait):
		}
	}
}

func (f *Fleet) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), farewell)
	defer cancel()
	f.step.Lock()
	defer f.step.Unlock()
	if err := f.releaseShards(ctx); err != nil {
		f.log.Error(err, "shards lapse with their lease instead")
	}
}

// tend does a pass over the work this entry VM holds shards of, and reports
// whether there is some to go on with.
func (f *Fleet) tend(ctx context.Context, kicked bool) (busy bool, err error) {
	f.step.Lock()
	defer f.step.Unlock()
	snap := f.view.Load()
	if snap.Declaration == nil {
		return false, nil
	}
	if !kicked && f.shards.lease == 0 && !f.attends(snap.Entries) {
		return false, nil
	}
	if err := bounded(ctx, f.Bootstrap); err != nil {
		return false, err
	}
	ws, err := f.loadWaves(ctx)
	if err != nil {
		return f.shards.lease != 0, err
	}
	need := f.newPass().shardsNeeded(ws)
	err = bounded(ctx, func(ctx context.Context) error { return f.claimShards(ctx, need) })
	if err != nil {
		return true, err
	}
	if len(f.shards.held) == 0 {
		return false, nil
	}
	return true, f.pass(ctx, ws, f.ownsWork)
}

func (f *Fleet) ownsWork(holder string) bool { return f.shards.held[shardOf(holder)] }

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
