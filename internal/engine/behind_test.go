package engine

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/overload"
	"github.com/pumicestage/pumicestage/policy/work"
)

// pressed is a VM on which what is ready waits as the test says.
type pressed struct{ behind, standing time.Duration }

func (p *pressed) Behind() time.Duration   { return p.behind }
func (p *pressed) Standing() time.Duration { return p.standing }

// An owner reads answers a second late. Workers that answered in time would pass for silent:
// their leases are not extended, their tasks lapse and are done again.
func TestAnOwnerThatIsBehindTakesNoWorkerForSilent(t *testing.T) {
	e, _ := newEngine(t, &fakeTerm{certain: true})
	vm := &pressed{behind: time.Second}
	e.Pressure = vm
	e.Workers = silentWorkers{}
	e.core.WorkerRegistered(info("w1"))
	e.core.AllowUntil(time.Hour)
	s := newSession(e, "w1")
	w := e.core.workers["w1"]
	poll := func() {
		worker, h, due := e.core.NextPoll("w1", e.Clock.Now())
		assert.Assert(t, due)
		assert.Equal(t, s.poll(t.Context(), &worker, h), false)
	}
	poll()
	assert.Equal(t, w.missedPolls, 0)
	assert.Equal(t, pauseAfterMissed(e.missedPolls("w1"), time.Second), time.Second, "polls without a pause would keep it behind")
	vm.behind = 0
	poll()
	assert.Equal(t, w.missedPolls, 1, "one that keeps up knows that the worker did not answer")
}

// silentWorkers do not answer. Who asks has given up at once, so that no test waits.
type silentWorkers struct{ Workers }

func (silentWorkers) Hold(context.Context, *WorkerInfo, Hold) (Listing, Outcome) {
	return Listing{}, OutcomeUnknown
}

// A burst asks for more starts than may be under way: the rest waits in the job order, and
// goes on as starts are answered. Two thousand at once held everything else up for a second.
func TestAPlanKeepsToTheStartsThatMayBeUnderWay(t *testing.T) {
	b := newRig(t)
	for _, id := range []work.WorkerID{"w1", "w2", "w3", "w4"} {
		b.worker(id)
	}
	for _, id := range []work.JobID{"j1", "j2", "j3"} {
		b.accept(id, short(4))
	}
	b.core.LimitStarts(overload.MaxStarts - 5)
	first := b.plan()
	assert.Equal(t, len(first.Starts), 8, "jobs are begun whole")
	assert.Assert(t, b.core.Held())
	b.core.LimitStarts(overload.MaxStarts)
	assert.Equal(t, len(b.plan().Starts), 0)
	b.answer(first, OutcomeOK)
	b.core.LimitStarts(0)
	assert.Equal(t, len(b.plan().Starts), 4)
	assert.Assert(t, !b.core.Held())
}

// running is a clock on which each look takes a while.
type running struct {
	mu  sync.Mutex
	now time.Duration
}

func (r *running) Now() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.now += 100 * time.Millisecond
	return r.now
}

func (r *running) Wall() time.Time { return epoch }

// A cell's owner stays behind while another VM is free, and keeps the cell: its callers wait
// until its processor is back. It sheds load, and then gives the cell up.
func TestAnOwnerThatStaysBehindGivesItsCellUp(t *testing.T) {
	term := &fakeTerm{certain: true}
	e, _ := newEngine(t, term)
	e.Clock = &running{now: time.Minute}
	e.Pressure = &pressed{behind: time.Second, standing: time.Second}
	e.Successor = func() overload.Successor { return overload.EqualSuccessor }
	usual := e.core.pollPause()
	assert.ErrorIs(t, e.planLoop(t.Context()), ErrNotReady)
	assert.Equal(t, term.ended, "relieved")
	assert.Assert(t, e.core.Level() > 1)
	assert.Assert(t, e.core.pollPause() > usual)
	assert.Assert(t, e.core.mayStart < overload.MaxStarts)
}

// Starts are kept back until others are answered. Nobody plans as they are, and the rest
// waits for the next tick, a tenth of a second away.
func TestAnAnsweredStartPlansForThoseThatWereKeptBack(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(2))
	starts := b.plan().Starts
	assert.Equal(t, len(starts), 2)
	e, _ := newEngine(t, &fakeTerm{certain: true})
	e.Workers, e.core = willing{}, b.core
	e.core.held = true
	e.start(t.Context(), starts[0])
	assert.Equal(t, len(e.planKick), 1)
	<-e.planKick
	e.core.held = false
	e.start(t.Context(), starts[1])
	assert.Equal(t, len(e.planKick), 0)
}

// willing workers start what they are told to.
type willing struct{ Workers }

func (willing) Start(context.Context, *WorkerInfo, Start) (Outcome, time.Duration) {
	return OutcomeOK, 0
}

// asked is a worker that notes how long its answer was waited for.
type asked struct {
	Workers
	within time.Duration
}

func (a *asked) Stop(ctx context.Context, _ *WorkerInfo, _ work.TaskRef, _ int, _ int64) Outcome {
	end, _ := ctx.Deadline()
	a.within = time.Until(end)
	return OutcomeOK
}

// An owner that reads answers late gives its calls the usual time, and all of them fail.
func TestAnOwnerThatIsBehindWaitsLongerForAnswers(t *testing.T) {
	e, _ := newEngine(t, &fakeTerm{certain: true})
	e.Pressure = &pressed{behind: time.Hour}
	w := &asked{}
	e.Workers = w
	e.stop(t.Context(), StopOrder{Worker: info("w1")})
	assert.Assert(t, w.within > orderTimeout, "%s", w.within)
}
