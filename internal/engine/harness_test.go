package engine

import (
	"testing"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/policy/work"
)

// rig is a core with its own clock. Its workers do what the test tells them to.
type rig struct {
	t    testing.TB
	core *Core
	now  time.Duration
	wall time.Time
}

const (
	service = "weighting"
	queue   = "weights"
	token   = 7
)

var rigLog = logr.Discard()

var epoch = time.Date(2026, 5, 4, 8, 0, 0, 0, time.UTC)

func newRig(t *testing.T) *rig {
	b := &rig{t: t, now: time.Hour, wall: epoch}
	b.core = b.successor(token)
	return b
}

// successor returns the core of another owner with the token.
func (b *rig) successor(token int64) *Core { return b.successorWithin(token, rigBounds) }

var rigBounds = Bounds{MaxLease: 10 * time.Second, PaceDelay: 100 * time.Millisecond, StopGrace: 400 * time.Millisecond}

// successorWithin is like successor, with the given bounds.
func (b *rig) successorWithin(token int64, bounds Bounds) *Core {
	c := NewCore(service, token, bounds, rigLog)
	c.Configure(Declared{
		Version:  1,
		Queues:   map[string]Queue{queue: {Name: queue, Service: service, MaxAttempts: 3, Stretch: 1.6, Slack: 600 * time.Millisecond}},
		Services: map[string]Service{service: {Name: service}},
	})
	c.AllowUntil(b.now + time.Hour)
	c.SetCertain(true)
	return c
}

// worker registers a worker and has it answer a poll.
func (b *rig) worker(id work.WorkerID) {
	b.core.WorkerRegistered(info(id))
	b.poll(id, Listing{})
}

func info(id work.WorkerID) WorkerInfo {
	return WorkerInfo{ID: id, Service: service, Address: string(id) + ":80", Capacity: work.Resources{MilliCPU: 8000, MemoryMB: 16000}, Labels: []string{"a", "r1"}}
}

// poll has the worker answer a poll that is sent and answered now, and returns the poll.
func (b *rig) poll(id work.WorkerID, l Listing) Hold {
	b.t.Helper()
	b.now += time.Millisecond
	_, h, _ := b.core.NextPoll(id, b.now)
	l.Clock = b.now
	b.core.PollAnswered(id, h, l, b.now, b.now)
	return h
}

func (b *rig) accept(id work.JobID, steps ...work.Step) {
	b.core.Accept(&work.Job{ID: id, Queue: queue, Spec: "spec", Steps: steps, Accepted: b.wall}, b.core.declared.Queues[queue], b.now)
}

func (b *rig) plan() Orders {
	b.now += time.Millisecond
	return b.core.Plan(b.now, b.wall)
}

// running adds the workers, accepts job j1 with the step and has its tasks started on them. It
// returns the orders.
func (b *rig) running(step work.Step, workers ...work.WorkerID) Orders {
	for _, id := range workers {
		b.worker(id)
	}
	b.accept("j1", step)
	o := b.plan()
	b.answer(o, OutcomeOK)
	return o
}

// answer has every start in o answered with the outcome.
func (b *rig) answer(o Orders, out Outcome) {
	for _, s := range o.Starts {
		b.now += time.Millisecond
		b.core.StartAnswered(s, out, b.now, b.now)
	}
}

// flush has all pending changes stored.
func (b *rig) flush() {
	f := b.core.TakeFlush(100)
	b.core.Flushed(f, nil)
}

// short returns a step of so many tasks of two cores that take a second.
func short(count int) work.Step {
	return work.Step{Count: count, Size: work.Resources{MilliCPU: 2000, MemoryMB: 1000}, Estimate: time.Second}
}

// longRunning returns a long-running step with at most one task on a VM and one unavailable.
func longRunning(count int) work.Step {
	s := short(count)
	s.LongRunning, s.AntiAffinity, s.MaxUnavailable = true, 1, 1
	return s
}

func run(s StartOrder) Run { return Run{Task: s.Start.Task, Run: s.Start.Run} }

func ended(seq int64, s StartOrder, how work.End) RunEnd {
	return RunEnd{Seq: seq, Task: s.Start.Task, Run: s.Start.Run, How: how}
}
