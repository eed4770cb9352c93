package jobfront_test

import (
	"context"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/work"
)

const (
	modelTick      = 10 * time.Millisecond
	modelStopGrace = 400 * time.Millisecond
)

// modelRun is a run on a worker.
type modelRun struct {
	run    int
	endsAt time.Duration // when it is done; 0: never
	stopAt time.Duration // when its stop is complete; 0: it was not stopped
}

// modelWorker is a worker with the guarantees that the platform gives: fencing by token, run numbers, one
// lease for all runs, stops that take a while, and ends that are listed until they are acknowledged. All
// its fields but the first four are guarded by cancelModel.mu.
type modelWorker struct {
	*randomSource
	m    *cancelModel
	id   work.WorkerID
	cell string

	token    int64
	deadline time.Duration
	running  map[work.TaskRef]*modelRun
	highest  map[work.TaskRef]int // number of the latest run that ended or was stopped
	ends     []engine.RunEnd
	seq      int64
	// lapsedSeq is the seq of the last end before the lease last expired. An end up to it doesn't forbid a
	// later start of the task, since the owner could not know of it.
	lapsedSeq int64
}

func (m *cancelModel) registry(cell string) []engine.WorkerInfo {
	var out []engine.WorkerInfo
	for _, w := range m.workers {
		if w.cell == cell {
			out = append(out, engine.WorkerInfo{ID: w.id, Service: cell, Address: string(w.id) + ":80", Capacity: work.Resources{MilliCPU: 64000, MemoryMB: 64000}})
		}
	}
	return out
}

// running returns the number of runs on all workers by job.
func (m *cancelModel) running() map[work.JobID]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[work.JobID]int)
	for _, w := range m.workers {
		for ref := range w.running {
			out[ref.Job]++
		}
	}
	return out
}

// tickWorkers ends runs when they are done, stopped or without a lease.
func (m *cancelModel) tickWorkers() {
	for sleep.For(m.ctx, modelTick) {
		m.mu.Lock()
		now := m.now()
		for _, w := range m.workers {
			lapsed := now > w.deadline
			if lapsed {
				w.lapsedSeq = w.seq + int64(len(w.running))
			}
			for ref, r := range w.running {
				w.checkStoppedLocked(ref)
				switch {
				case lapsed:
					w.endLocked(ref, work.LeaseExpired)
				case r.stopAt != 0 && now > r.stopAt:
					w.endLocked(ref, work.Stopped)
				case r.endsAt != 0 && now > r.endsAt:
					w.endLocked(ref, work.Done)
				}
			}
		}
		m.mu.Unlock()
	}
}

func (w *modelWorker) endLocked(ref work.TaskRef, how work.End) {
	r := w.running[ref]
	delete(w.running, ref)
	w.highest[ref] = max(w.highest[ref], r.run)
	w.seq++
	w.ends = append(w.ends, engine.RunEnd{Seq: w.seq, Task: ref, Run: r.run, How: how})
	w.m.logLocked("%s: run %d of %s ends: %s", w.id, r.run, ref, how)
}

func (w *modelWorker) start(s engine.Start) engine.Outcome {
	m := w.m
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	if s.Token < w.token {
		return engine.OutcomeFenced
	}
	w.token = s.Token
	live := w.running[s.Task]
	switch {
	case s.Run <= w.highest[s.Task] || live != nil && live.run > s.Run:
		w.deadline = max(w.deadline, s.Deadline)
		return engine.OutcomeOldRun
	case s.Deadline < now:
		return engine.OutcomeLate
	case live != nil && live.run == s.Run:
		return engine.OutcomeOK
	case live != nil:
		return engine.OutcomeOldRun
	}
	w.deadline = max(w.deadline, s.Deadline)
	j := m.job(s.Task.Job)
	r := &modelRun{run: s.Run}
	if !j.step.LongRunning {
		r.endsAt = now + j.step.Estimate
	}
	for _, other := range m.workers {
		if beside := other.running[s.Task]; beside != nil {
			m.violateLocked("%s: run %d of %s starts on %s beside run %d on %s", j.id, s.Run, s.Task, w.id, beside.run, other.id)
		}
	}
	if m.doneAcked[s.Task] {
		m.violateLocked("%s: run %d of %s starts on %s after it was done and acknowledged", j.id, s.Run, s.Task, w.id)
	}
	w.running[s.Task] = r
	j.starts = append(j.starts, modelStart{at: now, task: s.Task, token: s.Token})
	m.counts["starts"]++
	m.logLocked("%s: run %d of %s starts, token %d", w.id, s.Run, s.Task, s.Token)
	return engine.OutcomeOK
}

func (w *modelWorker) stop(ref work.TaskRef, run int, token int64) engine.Outcome {
	m := w.m
	m.mu.Lock()
	defer m.mu.Unlock()
	if token < w.token {
		return engine.OutcomeFenced
	}
	w.token = token
	w.highest[ref] = max(w.highest[ref], run)
	if r := w.running[ref]; r != nil && r.run <= run && r.stopAt == 0 {
		r.stopAt = m.now() + w.between(0, int(modelStopGrace/time.Millisecond))
	}
	return engine.OutcomeOK
}

func (w *modelWorker) hold(ctx context.Context, h engine.Hold) (engine.Listing, engine.Outcome) {
	m := w.m
	m.mu.Lock()
	if h.Token < w.token {
		m.mu.Unlock()
		return engine.Listing{}, engine.OutcomeFenced
	}
	w.token = h.Token
	w.deadline = max(w.deadline, h.Deadline)
	for len(w.ends) > 0 && w.ends[0].Seq <= h.AckedThrough {
		if w.ends[0].How == work.Done && w.ends[0].Seq > w.lapsedSeq {
			m.doneAcked[w.ends[0].Task] = true
		}
		w.ends = w.ends[1:]
	}
	until := m.now() + h.Wait
	for len(w.ends) == 0 && m.now() < until && ctx.Err() == nil {
		m.mu.Unlock()
		sleep.For(ctx, modelTick)
		m.mu.Lock()
	}
	defer m.mu.Unlock()
	l := engine.Listing{Clock: m.now(), Ended: slices.Clone(w.ends), Brief: h.Brief}
	if !h.Brief {
		for ref, r := range w.running {
			l.Running = append(l.Running, engine.Run{Task: ref, Run: r.run, Percent: 50})
		}
	}
	return l, engine.OutcomeOK
}

// modelWorkersClient is an entry VM's connections to the workers, direct ones or through other entry VMs. A
// call without an answer may be lost, carried out, or carried out late.
type modelWorkersClient struct {
	m  *cancelModel
	vm *entryVM
}

// call makes a call. f is carried out before, after or not at all.
func (c *modelWorkersClient) call(ctx context.Context, what string, f func(ctx context.Context) engine.Outcome) engine.Outcome {
	m := c.m
	c.vm.thaw()
	if c.vm.fails() {
		fate := c.vm.intN(4)
		m.count([]string{"not sent", "lost", "late", "answer lost"}[fate] + ": " + what)
		switch fate {
		case 0:
			return engine.OutcomeNotSent
		case 1:
			sleep.For(ctx, time.Second)
		case 2:
			m.tasks.Go(func() {
				sleep.For(m.ctx, c.vm.between(0, int(maxLateness/time.Millisecond)))
				f(m.ctx)
			})
			sleep.For(ctx, time.Second)
		case 3:
			f(ctx)
			sleep.For(ctx, time.Second)
		}
		c.vm.thaw()
		return engine.OutcomeUnknown
	}
	sleep.For(m.ctx, c.vm.between(0, 4))
	out := f(ctx)
	sleep.For(m.ctx, c.vm.between(0, 4))
	c.vm.thaw()
	if ctx.Err() != nil {
		return engine.OutcomeUnknown
	}
	return out
}

func (c *modelWorkersClient) worker(w *engine.WorkerInfo) *modelWorker {
	i := slices.IndexFunc(c.m.workers, func(o *modelWorker) bool { return o.id == w.ID })
	return c.m.workers[i]
}

// What an owner in touch must achieve: orders no starts of a job later than cancelWithin after the
// acknowledgement of its cancellation, and has its runs stopped within modelStopGrace after that. An
// owner counts as in touch inTouchAfter after the last disturbance of its entry VM.
const (
	cancelWithin = 3 * time.Second
	inTouchAfter = 2500 * time.Millisecond
)

// checkStoppedLocked reports a run of a cancelled job that goes on though the owner is in touch.
func (w *modelWorker) checkStoppedLocked(ref work.TaskRef) {
	m := w.m
	j, t, now := m.job(ref.Job), m.owners[w.cell], m.now()
	from := max(j.ackedAt, t.begunAt+inTouchAfter, t.vm.calmFrom) + cancelWithin + modelStopGrace
	if j.ackedAt != 0 && now > from && now < t.certainUntil && !m.suspect[j.id] {
		m.violateLocked("%s: %s runs %s after the cancellation was acknowledged (%s), with the owner %s in touch", j.id, ref, now-j.ackedAt, j.ackedBy, t.vm.name)
	}
}

// checkInTouch reports a start order for a cancelled job by an owner in touch.
func (c *modelWorkersClient) checkInTouch(s engine.Start) {
	m := c.m
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.now()
	j := m.job(s.Task.Job)
	if j.ackedAt != 0 && now > j.ackedAt+cancelWithin && now > c.vm.calmFrom+inTouchAfter {
		m.violateLocked("%s: %s, in touch, orders a start %s after the cancellation was acknowledged (%s)", j.id, c.vm.name, now-j.ackedAt, j.ackedBy)
	}
}

// Start implements engine.Workers.
func (c *modelWorkersClient) Start(ctx context.Context, w *engine.WorkerInfo, s engine.Start) (engine.Outcome, time.Duration) {
	c.checkInTouch(s)
	out := c.call(ctx, "starts", func(context.Context) engine.Outcome { return c.worker(w).start(s) })
	return out, c.m.now()
}

// Stop implements engine.Workers.
func (c *modelWorkersClient) Stop(ctx context.Context, w *engine.WorkerInfo, task work.TaskRef, run int, token int64) engine.Outcome {
	return c.call(ctx, "stops", func(context.Context) engine.Outcome { return c.worker(w).stop(task, run, token) })
}

// Hold implements engine.Workers.
func (c *modelWorkersClient) Hold(ctx context.Context, w *engine.WorkerInfo, h engine.Hold) (engine.Listing, engine.Outcome) {
	listings := make(chan engine.Listing, 1)
	out := c.call(ctx, "polls", func(ctx context.Context) engine.Outcome {
		l, out := c.worker(w).hold(ctx, h)
		listings <- l
		return out
	})
	if out != engine.OutcomeOK {
		return engine.Listing{}, out
	}
	return <-listings, out
}

// Pace implements engine.Workers.
func (c *modelWorkersClient) Pace(context.Context, *engine.WorkerInfo, work.TaskRef, int, int, int64) engine.Outcome {
	return engine.OutcomeOK
}

// modelMachines lists the workers' VMs, which are always up.
type modelMachines struct{ m *cancelModel }

// List implements engine.Machines.
func (l modelMachines) List(context.Context) ([]work.VM, error) {
	var out []work.VM
	for _, w := range l.m.workers {
		out = append(out, work.VM{ID: "vm-" + string(w.id), Pool: w.cell, State: work.VMUp, Worker: w.id, Size: work.Resources{MilliCPU: 64000, MemoryMB: 64000}})
	}
	return out, nil
}

// Move implements engine.Machines.
func (modelMachines) Move(context.Context, string, string, int64) engine.VMOutcome {
	return engine.VMRefused
}

// Maintain implements engine.Machines.
func (modelMachines) Maintain(context.Context, string, string, int64) engine.VMOutcome {
	return engine.VMRefused
}
