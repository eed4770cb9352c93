package engine

import (
	"context"
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
	e.core.WorkerSeen(info("w1"))
	e.core.AllowUntil(time.Hour)
	s := newSession(e, "w1")
	w := e.core.workers["w1"]
	poll := func() {
		worker, h, due := e.core.HoldFor("w1", e.Clock.Now())
		assert.Assert(t, due)
		assert.Equal(t, s.poll(t.Context(), &worker, h), false)
	}
	poll()
	assert.Equal(t, w.missed, 0)
	assert.Equal(t, pauseAfter(e.missed("w1"), time.Second), time.Second, "polls without a pause would keep it behind")
	vm.behind = 0
	poll()
	assert.Equal(t, w.missed, 1, "one that keeps up knows that the worker did not answer")
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
	b.core.LimitStarts(overload.MostStarts - 5)
	first := b.plan()
	assert.Equal(t, len(first.Starts), 8, "jobs are begun whole")
	assert.Assert(t, b.core.Held())
	b.core.LimitStarts(overload.MostStarts)
	assert.Equal(t, len(b.plan().Starts), 0)
	b.answer(first, OutcomeOK)
	b.core.LimitStarts(0)
	assert.Equal(t, len(b.plan().Starts), 4)
	assert.Assert(t, !b.core.Held())
}

// A cell's owner stays behind while another VM is free: it gives the cell up, once.
func TestAnOwnerThatStaysBehindGivesItsCellUp(t *testing.T) {
	e, _ := newEngine(t, &fakeTerm{certain: true})
	next := overload.NoSuccessor
	e.Successor = func() overload.Successor { return next }
	e.began = -time.Hour
	now := e.Clock.Now()
	for range 10 {
		now += time.Second
		e.core.Strain(time.Second, now)
	}
	assert.Assert(t, !e.relieved(), "a moment ago it was well")
	e.relief = overload.Relief{}
	assert.Assert(t, !e.relief.Due(e.core.Level(), e.Successor, time.Hour, e.Clock.Now()-10*time.Second))
	assert.Assert(t, !e.relieved(), "nobody could do better")
	next = overload.EqualSuccessor
	assert.Assert(t, e.relieved())
}
