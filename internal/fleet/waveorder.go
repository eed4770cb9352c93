package fleet

import (
	"context"
	"fmt"

	"github.com/pumicestage/pumicestage/policy/model"
)

// StartWave starts a declared wave on the given pools, or on its declared pools
// if none are given.
func (f *Fleet) StartWave(ctx context.Context, name model.WaveName, pools []model.PoolName, o Order) (Outcome, error) {
	return f.retryConflicts(func() (Outcome, error) { return f.tryStartWave(ctx, name, pools, o) })
}

// tryStartWave does one attempt of StartWave. It fails with a conflict error if
// another write came first.
func (f *Fleet) tryStartWave(ctx context.Context, name model.WaveName, pools []model.PoolName, o Order) (Outcome, error) {
	p := f.newPass()
	pools, err := p.wavePools(name, pools)
	if err != nil {
		return Outcome{}, err
	}
	c, err := f.readWave(ctx, name)
	if err != nil {
		return Outcome{}, err
	}
	if out, done, err := checkWave(c, o); done || err != nil {
		return out, err
	}
	if s := c.value.State; s == WaveRunning || s == WavePaused {
		return Outcome{}, refuse(CodeConflict, orderHolder(c.value.Run), c.rev, "wave %s is %s already, started by order %s", name, s, c.value.Run)
	}
	c.value = WaveRecord{Name: name, Run: o.Change, State: WaveRunning, Pools: pools, Started: p.now, StartedBy: o.Actor}
	return f.putWave(ctx, c, o, "start wave")
}

// wavePools returns the pools that a run of the wave covers: the given ones, or the
// wave's declared pools if none are given. It returns a Refusal if there is no
// declaration yet, or if the wave or a pool isn't declared.
func (p *pass) wavePools(name model.WaveName, pools []model.PoolName) ([]model.PoolName, error) {
	if p.snap.Declaration == nil {
		return nil, refuse(CodeUnavailable, "", 0, "no declaration is in force here yet")
	}
	declared := p.declaredWave(name)
	if declared == nil {
		return nil, refuse(CodeNotFound, "", 0, "wave %s is not declared", name)
	}
	if len(pools) == 0 {
		pools = declared.Pools
	}
	for _, pool := range pools {
		if !p.poolDeclared(pool) {
			return nil, refuse(CodeNotFound, "", 0, "pool %s is not declared", pool)
		}
	}
	return pools, nil
}

// PauseWave stops a wave from starting stops. VMs that it drains return to their
// pools at once; VMs that reboot return after the reboot.
func (f *Fleet) PauseWave(ctx context.Context, name model.WaveName, o Order) (Outcome, error) {
	return f.setWaveState(ctx, name, o, WavePaused, WaveRunning)
}

// ResumeWave resumes a paused wave.
func (f *Fleet) ResumeWave(ctx context.Context, name model.WaveName, o Order) (Outcome, error) {
	return f.setWaveState(ctx, name, o, WaveRunning, WavePaused)
}

// CancelWave ends a wave for good. VMs that are out return as in PauseWave.
func (f *Fleet) CancelWave(ctx context.Context, name model.WaveName, o Order) (Outcome, error) {
	return f.setWaveState(ctx, name, o, WaveCancelled, WaveRunning, WavePaused)
}

// setWaveState sets a wave to a state if it is in one of the states from.
func (f *Fleet) setWaveState(ctx context.Context, name model.WaveName, o Order, to WaveState, from ...WaveState) (Outcome, error) {
	return f.retryConflicts(func() (Outcome, error) {
		c, err := f.readWave(ctx, name)
		if err != nil {
			return Outcome{}, err
		}
		if out, done, err := checkWave(c, o); done || err != nil {
			return out, err
		}
		if err := checkTransition(c, name, from); err != nil {
			return Outcome{}, err
		}
		c.value.State = to
		switch to {
		case WaveRunning:
			c.value.Resumed = f.clock.Now()
		case WaveCancelled:
			c.value.Ended = f.clock.Now()
		}
		return f.putWave(ctx, c, o, string(to)+" wave")
	})
}

func checkTransition(c *versioned[WaveRecord], name model.WaveName, from []WaveState) error {
	if c.rev == 0 {
		return refuse(CodeNotFound, "", 0, "wave %s was never started", name)
	}
	for _, s := range from {
		if c.value.State == s {
			return nil
		}
	}
	return refuse(CodeConflict, orderHolder(c.value.Change), c.rev, "wave %s is %s by order %s of %s", name, c.value.State, c.value.Change, c.value.Actor)
}

func checkWave(c *versioned[WaveRecord], o Order) (out Outcome, done bool, err error) {
	if c.rev != 0 && o.Change != "" && (c.value.Change == o.Change || c.value.Run == o.Change) {
		return Outcome{Revision: c.rev, Repeated: true, Detail: "already in effect"}, true, nil
	}
	if o.IfRevision != 0 && o.IfRevision != c.rev {
		return Outcome{}, false, refuse(CodeRevision, orderHolder(c.value.Change), c.rev,
			"wave is at revision %d, not %d", c.rev, o.IfRevision)
	}
	return Outcome{}, false, nil
}

func (f *Fleet) readWave(ctx context.Context, name model.WaveName) (*versioned[WaveRecord], error) {
	r, err := f.read(ctx, nil, nil, name)
	if err != nil {
		return nil, err
	}
	return r.wave, nil
}

func (f *Fleet) putWave(ctx context.Context, c *versioned[WaveRecord], o Order, op string) (Outcome, error) {
	c.value.Change = o.Change
	c.value.Actor = o.Actor
	c.value.Reason = o.Reason
	w := &writeSet{}
	w.update(c.cond(), c.put())
	rev, err := f.commit(ctx, op, w)
	if err != nil {
		return Outcome{}, err
	}
	return Outcome{Revision: rev, Detail: fmt.Sprintf("wave %s is %s", c.value.Name, c.value.State)}, nil
}
