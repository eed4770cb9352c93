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

// fakeDelayMeter is a DelayMeter that reports the delays that the test sets.
type fakeDelayMeter struct{ maxDelay, minDelay time.Duration }

func (p *fakeDelayMeter) MaxDelay() time.Duration { return p.maxDelay }
func (p *fakeDelayMeter) MinDelay() time.Duration { return p.minDelay }

// Guards against an overloaded owner that reads answers a second late and counts workers as silent
// although they answered in time: their leases would not be extended and their tasks would run again.
func TestOverloadedOwnerDoesNotCountUnreadAnswersAsMissed(t *testing.T) {
	e, _ := newEngine(t, &fakeTerm{certain: true})
	vm := &fakeDelayMeter{maxDelay: time.Second}
	e.SchedulingDelay = vm
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
	assert.Equal(t, pauseAfterMissed(e.missedPolls("w1"), time.Second), time.Second, "polls without a pause would keep it overloaded")
	vm.maxDelay = 0
	poll()
	assert.Equal(t, w.missedPolls, 1, "without overload, the worker did not answer")
}

// silentWorkers do not answer polls. Hold returns at once, so that no test waits for a timeout.
type silentWorkers struct{ Workers }

func (silentWorkers) Hold(context.Context, *WorkerInfo, Hold) (Listing, Outcome) {
	return Listing{}, OutcomeUnknown
}

// A burst asks for more starts than may be unanswered. The rest must wait in the order of the jobs'
// ranks and go on as starts are answered: two thousand starts at once delayed everything else by a
// second.
func TestPlanLimitsUnansweredStarts(t *testing.T) {
	b := newRig(t)
	for _, id := range []work.WorkerID{"w1", "w2", "w3", "w4"} {
		b.worker(id)
	}
	for _, id := range []work.JobID{"j1", "j2", "j3"} {
		b.accept(id, short(4))
	}
	b.core.LimitStarts(overload.MaxStarts - 5)
	first := b.plan()
	assert.Equal(t, len(first.Starts), 8, "jobs are started whole")
	assert.Assert(t, b.core.StartsDeferred())
	b.core.LimitStarts(overload.MaxStarts)
	assert.Equal(t, len(b.plan().Starts), 0)
	b.answer(first, OutcomeOK)
	b.core.LimitStarts(0)
	assert.Equal(t, len(b.plan().Starts), 4)
	assert.Assert(t, !b.core.StartsDeferred())
}

// Guards against starts that fill the link of the owner's VM, so that calls to workers time out
// and workers that answer are taken for silent: the answers to starts and stops must bound the
// starts of the next plan.
func TestSlowAnswersLimitStarts(t *testing.T) {
	e, _ := newEngine(t, &fakeTerm{certain: true})
	clock := &advancingClock{now: time.Minute}
	e.Clock = clock
	e.plan(t.Context())
	before := e.core.startsLeft
	e.observeResponse(OutcomeOK, clock.Now())
	for range 20 {
		now := clock.Now()
		for range 4 {
			e.startWindow.Answered(time.Second, false, now)
		}
		e.observeResponse(OutcomeUnknown, now-time.Second)
	}
	e.plan(t.Context())
	assert.Assert(t, e.core.startsLeft < before/2, "%d, then %d", before, e.core.startsLeft)
	e.unansweredStarts.Store(int64(e.startWindow.Size()))
	e.plan(t.Context())
	assert.Equal(t, e.core.startsLeft, 0)
}

// advancingClock advances by 100 ms with each call of Now.
type advancingClock struct {
	mu  sync.Mutex
	now time.Duration
}

func (r *advancingClock) Now() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.now += 100 * time.Millisecond
	return r.now
}

func (r *advancingClock) Wall() time.Time { return epoch }

// Guards against an overloaded owner that keeps its cell while another VM is free, so that callers
// wait until its processor is available again. It must reduce its load first and then hand over.
func TestOwnerThatStaysOverloadedHandsItsCellOver(t *testing.T) {
	term := &fakeTerm{certain: true}
	e, _ := newEngine(t, term)
	e.Clock = &advancingClock{now: time.Minute}
	e.SchedulingDelay = &fakeDelayMeter{maxDelay: time.Second, minDelay: time.Second}
	e.Successor = func() overload.Successor { return overload.EqualSuccessor }
	normal := e.core.pollPause()
	assert.ErrorIs(t, e.planLoop(t.Context()), ErrNotReady)
	assert.Equal(t, term.ended, "handed over")
	assert.Assert(t, e.core.OverloadLevel() > 1)
	assert.Assert(t, e.core.pollPause() > normal)
	assert.Assert(t, e.core.startsLeft < overload.MaxStarts)
}

// Guards against deferred starts that wait for the next tick, a tenth of a second away, because no
// plan is made when the starts before them are answered.
func TestAnswerToAStartCausesAPlanWhileStartsAreDeferred(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(2))
	starts := b.plan().Starts
	assert.Equal(t, len(starts), 2)
	e, _ := newEngine(t, &fakeTerm{certain: true})
	e.Workers, e.core = acceptingWorkers{}, b.core
	e.core.startsDeferred = true
	e.start(t.Context(), starts[0])
	assert.Equal(t, len(e.planKick), 1)
	<-e.planKick
	e.core.startsDeferred = false
	e.start(t.Context(), starts[1])
	assert.Equal(t, len(e.planKick), 0)
}

// acceptingWorkers accept every start.
type acceptingWorkers struct{ Workers }

func (acceptingWorkers) Start(context.Context, *WorkerInfo, Start) (Outcome, time.Duration) {
	return OutcomeOK, 0
}

// stopTimeoutRecorder records the timeout of the last stop order.
type stopTimeoutRecorder struct {
	Workers
	timeout time.Duration
}

func (a *stopTimeoutRecorder) Stop(ctx context.Context, _ *WorkerInfo, _ work.TaskRef, _ int, _ int64) Outcome {
	end, _ := ctx.Deadline()
	a.timeout = time.Until(end)
	return OutcomeOK
}

// Guards against an owner that reads answers late but keeps its usual timeouts, so that all of its
// calls fail.
func TestOverloadedOwnerExtendsTimeouts(t *testing.T) {
	e, _ := newEngine(t, &fakeTerm{certain: true})
	e.SchedulingDelay = &fakeDelayMeter{maxDelay: time.Hour}
	w := &stopTimeoutRecorder{}
	e.Workers = w
	e.stop(t.Context(), StopOrder{Worker: info("w1")})
	assert.Assert(t, w.timeout > orderTimeout, "%s", w.timeout)
}
