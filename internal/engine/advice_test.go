package engine

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

// Guards against a crash of the entry VM, and of each that takes over after it. The operator
// configured an advised queue in a deployment without an advisor; its first job must wait.
func TestAnAdvisedQueueWithoutAnAdvisorWaits(t *testing.T) {
	e, _ := newEngine(t, &fakeTerm{certain: true})
	b := &rig{t: t, core: e.core, now: e.Clock.Now(), wall: epoch}
	e.core.AllowUntil(b.now + time.Hour)
	e.core.SetCertain(true)
	b.worker("w1")
	e.core.SetFleet([]work.VM{vm("v1", "w1")})
	e.core.Accept(&work.Job{ID: "j1", Queue: queue, Steps: []work.Step{short(1)}}, Queue{Name: queue, Service: service, Advised: true}, b.now)
	o := b.plan()
	assert.Equal(t, len(o.Advice), 1)
	e.advise(t.Context(), o.Advice[0])
	assert.Equal(t, len(b.plan().Starts), 0, "nothing starts without a ticket")
}

// Guards against a job of an advised queue that never starts. If the log line that explains why the
// job waits marks the advisor as asked while all workers are closed, the advisor is never asked.
func TestExplainingAWaitingStepDoesNotCountAsAskingTheAdvisor(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.core.workers["w1"].closedUntil = b.now + refusedPause
	b.core.Accept(&work.Job{ID: "j1", Queue: queue, Steps: []work.Step{short(1)}}, Queue{Name: queue, Service: service, Advised: true}, b.now)
	assert.Equal(t, len(b.plan().Advice), 0, "no worker is open")
	b.now += refusedPause + explainInterval + adviceRetryInterval
	assert.Equal(t, len(b.plan().Advice), 1)
}

// timedAdvisor records when its calls have to end, and answers once it is told to.
type timedAdvisor struct {
	deadlines chan time.Time
	answer    chan struct{}
}

func (a *timedAdvisor) Advise(ctx context.Context, _ work.StepRef, _ []work.WorkerID) ([]Ticket, time.Duration, error) {
	deadline, _ := ctx.Deadline()
	a.deadlines <- deadline
	select {
	case <-a.answer:
		return nil, 0, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// Guards against calls that are given up while the advisor handles other calls of the same entry VM, or
// sooner than it can answer: one that names 100 workers may take a minute by the configuration.
func TestCallsOfOneEntryVMAreMadeInTurnWithTheirOwnTimeout(t *testing.T) {
	advisor := &timedAdvisor{deadlines: make(chan time.Time), answer: make(chan struct{})}
	calls := make(chan struct{}, 1)
	for range 3 {
		e, _ := newEngine(t, &fakeTerm{certain: true})
		e.Advisor, e.AdvisorCalls = advisor, calls
		go e.advise(t.Context(), AdviceOrder{Timeout: time.Minute})
	}
	for range 3 {
		assert.Assert(t, time.Until(<-advisor.deadlines) > 50*time.Second)
		select {
		case <-advisor.deadlines:
			t.Error("a second call was made before the first was answered")
		case <-time.After(20 * time.Millisecond):
		}
		advisor.answer <- struct{}{}
	}
}

// Guards against an entry VM that never calls the advisor again after one call was not answered.
func TestACallThatTimesOutMakesRoomForTheNext(t *testing.T) {
	e, _ := newEngine(t, &fakeTerm{certain: true})
	e.Advisor, e.AdvisorCalls = &timedAdvisor{deadlines: make(chan time.Time, 2)}, make(chan struct{}, 1)
	answer := e.askAdvisor(t.Context(), AdviceOrder{Timeout: 10 * time.Millisecond})
	assert.Assert(t, answer.TimedOut && answer.Err != nil)
	ended, end := context.WithCancel(t.Context())
	end()
	e.AdvisorCalls <- struct{}{}
	answer = e.askAdvisor(ended, AdviceOrder{Timeout: time.Minute})
	assert.Assert(t, !answer.TimedOut && answer.Err != nil, "the term is over")
	<-e.AdvisorCalls
	assert.Equal(t, len(e.AdvisorCalls), 0)
}
