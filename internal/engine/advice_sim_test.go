package engine

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

// adviceSim simulates a cell whose queue has an advisor: the advisor, which handles one call at a time,
// and workers that start a task only with a valid ticket.
type adviceSim struct {
	*rig
	queue   Queue
	workers []work.WorkerID
	allowed func(step work.StepRef, w work.WorkerID) bool
	// decision and perWorker are how long the advisor takes for a call and for each worker in it,
	// validity is how long its tickets are valid from then on.
	decision, perWorker, validity time.Duration
	failing                       func(call int) bool // calls that are not answered

	line     []*adviceCallSim // calls that are not handled, the first one under way
	waiting  *adviceCallSim   // the call whose answer the owner waits for
	calls    int
	named    int // workers in all calls together
	running  []cellRun
	ends     map[work.WorkerID]int64
	left     map[work.JobID]int // tasks that are not done
	rejected int                // starts without a valid ticket
	refused  work.JobID         // workers accept no ticket for its tasks
}

// adviceCallSim is a call to the simulated advisor.
type adviceCallSim struct {
	order AdviceOrder
	sent  time.Duration
	until time.Duration // when it is answered; 0: others are handled before
	fails bool
}

// adviceTick is the time between two steps of the simulation.
const adviceTick = 10 * time.Millisecond

func newAdviceSim(t *testing.T, workers int, decision, perWorker, validity time.Duration) *adviceSim {
	s := &adviceSim{
		rig: newRig(t), queue: Queue{Name: queue, Service: service, MaxAttempts: 3, Advised: true, Advice: AdviceCost{Decision: decision, PerWorker: perWorker, Validity: validity}},
		decision: decision, perWorker: perWorker, validity: validity,
		allowed: func(work.StepRef, work.WorkerID) bool { return true }, failing: func(int) bool { return false },
		ends: make(map[work.WorkerID]int64), left: make(map[work.JobID]int),
	}
	s.addWorkers(workers)
	return s
}

func (s *adviceSim) addWorkers(n int) {
	for range n {
		id := work.WorkerID(fmt.Sprintf("w%03d", len(s.workers)))
		s.workers = append(s.workers, id)
		s.worker(id)
	}
}

// oneIn returns a policy that allows each step one in n workers, by a hash.
func oneIn(n uint32) func(step work.StepRef, w work.WorkerID) bool {
	return func(step work.StepRef, w work.WorkerID) bool {
		h := fnv.New32a()
		fmt.Fprint(h, step.String(), "/", w)
		return h.Sum32()>>8%n == 0
	}
}

func (s *adviceSim) submit(id work.JobID, step work.Step) {
	s.left[id] = step.Count
	s.core.Accept(&work.Job{ID: id, Queue: queue, Spec: "spec", Steps: []work.Step{step}, Accepted: s.wall}, s.queue, s.now)
}

// tick simulates one adviceTick.
func (s *adviceSim) tick() {
	s.now += adviceTick
	s.answerCall()
	s.endRuns()
	o := s.core.Plan(s.now, s.wall)
	for _, start := range o.Starts {
		s.core.StartSending(start, s.now)
		if _, advised := s.left[start.Start.Task.Job]; advised && !s.ticketValid(start) {
			s.rejected++
			s.core.StartAnswered(start, OutcomeNoTicket, s.now, s.now)
			continue
		}
		s.core.StartAnswered(start, OutcomeOK, s.now, s.now)
		t := s.core.find(start.Start.Task)
		s.running = append(s.running, cellRun{order: start, until: s.now + t.step.spec.Estimate})
	}
	for _, a := range o.Advice {
		assert.Assert(s.t, len(a.Workers) > 0 && len(a.Workers) <= 100, "%d workers in a call", len(a.Workers))
		assert.Assert(s.t, s.waiting == nil, "two calls at a time")
		s.waiting = &adviceCallSim{order: a, sent: s.now, fails: s.failing(s.calls)}
		s.line = append(s.line, s.waiting)
		s.calls++
		s.named += len(a.Workers)
	}
}

// answerCall answers the call whose time has come, or gives it up after its timeout. The advisor goes on
// with calls that were given up, and issues tickets with the answer.
func (s *adviceSim) answerCall() {
	if c := s.waiting; c != nil && s.now >= c.sent+c.order.Timeout {
		s.waiting = nil
		s.core.AdviceAnswered(AdviceAnswer{Err: context.DeadlineExceeded, TimedOut: true}, s.now)
	}
	if len(s.line) == 0 {
		return
	}
	c := s.line[0]
	if c.until == 0 {
		c.until = s.now + s.decision + time.Duration(len(c.order.Workers))*s.perWorker
	}
	if s.now < c.until {
		return
	}
	s.line = s.line[1:]
	if s.waiting != c {
		return
	}
	s.waiting = nil
	answer := AdviceAnswer{Validity: s.validity, Duration: s.now - c.sent}
	if c.fails {
		answer.Err = errors.New("no answer")
	}
	for _, w := range c.order.Workers {
		if s.allowed(c.order.Step, w) {
			answer.Tickets = append(answer.Tickets, Ticket{Worker: w, Ticket: fmt.Sprintf("%s/%s/%d", c.order.Step, w, s.now+s.validity)})
		}
	}
	s.core.AdviceAnswered(answer, s.now)
}

func (s *adviceSim) ticketValid(o StartOrder) bool {
	until, ok := strings.CutPrefix(o.Start.Ticket, o.Start.Task.StepRef.String()+"/"+string(o.Worker.ID)+"/")
	at, err := strconv.ParseInt(until, 10, 64)
	return ok && err == nil && s.now <= time.Duration(at) && o.Start.Task.Job != s.refused
}

func (s *adviceSim) endRuns() {
	ended := make(map[work.WorkerID][]RunEnd)
	listed := make(map[work.WorkerID][]Run)
	var left []cellRun
	for _, r := range s.running {
		id := r.order.Worker.ID
		if s.now < r.until {
			left, listed[id] = append(left, r), append(listed[id], run(r.order))
			continue
		}
		s.ends[id]++
		ended[id] = append(ended[id], RunEnd{Seq: s.ends[id], Task: r.order.Start.Task, Run: r.order.Start.Run, How: work.Done})
		if _, advised := s.left[r.order.Start.Task.Job]; advised {
			s.left[r.order.Start.Task.Job]--
		}
	}
	s.running = left
	for _, id := range s.workers {
		if _, h, ok := s.core.NextPoll(id, s.now); ok {
			s.core.PollAnswered(id, h, Listing{Clock: s.now, Running: listed[id], Ended: ended[id]}, s.now, s.now)
		}
	}
	f := s.core.TakeFlush(1000)
	s.core.Flushed(f, nil)
}

func (s *adviceSim) unfinished() (out []work.JobID) {
	for id, n := range s.left {
		if n > 0 {
			out = append(out, id)
		}
	}
	return out
}

// runUntilDone simulates until all jobs are done, and fails the test if that takes longer.
func (s *adviceSim) runUntilDone(within time.Duration) {
	s.t.Helper()
	for end := s.now + within; s.now < end && len(s.unfinished()) > 0; {
		s.tick()
	}
	assert.Equal(s.t, len(s.unfinished()), 0, "after %s not done: %v; %d calls named %d workers, %d starts were rejected", within, s.unfinished(), s.calls, s.named, s.rejected)
}

// run simulates so much time.
func (s *adviceSim) run(d time.Duration) {
	for end := s.now + d; s.now < end; {
		s.tick()
	}
}

// quick returns a step of so many tasks that take half a second.
func quick(count int) work.Step {
	s := short(count)
	s.Estimate = 500 * time.Millisecond
	return s
}

// Guards against jobs that never start: the advisor was asked about the same first workers again and
// again, none of which it allows, and never about the others.
func TestTheAdvisorIsAskedAboutEveryWorkerThatCouldRunTheStep(t *testing.T) {
	for _, c := range []struct {
		workers int
		oneIn   uint32
	}{{64, 16}, {64, 2}, {132, 64}, {30, 4}, {300, 100}} {
		t.Run(fmt.Sprintf("%d workers, one in %d", c.workers, c.oneIn), func(t *testing.T) {
			s := newAdviceSim(t, c.workers, 20*time.Millisecond, 5*time.Millisecond, 5*time.Second)
			s.allowed = oneIn(c.oneIn)
			for i := range 20 {
				id := work.JobID(fmt.Sprintf("j%d", i))
				if ref := (work.StepRef{Job: id}); allowedWorkers(s, ref) > 0 {
					s.submit(id, quick(1))
				}
				s.run(300 * time.Millisecond)
			}
			s.runUntilDone(10 * time.Second)
		})
	}
}

func allowedWorkers(s *adviceSim, ref work.StepRef) (n int) {
	for _, w := range s.workers {
		if s.allowed(ref, w) {
			n++
		}
	}
	return n
}

// Guards against jobs that never start, as the calls to the advisor are filled with workers that lack
// the step's label or room, or have as many of its tasks as they may.
func TestTheAdvisorIsAskedOnlyAboutWorkersThatCouldTakeATask(t *testing.T) {
	s := newAdviceSim(t, 40, 20*time.Millisecond, 5*time.Millisecond, 5*time.Second)
	last := info("w999")
	last.Labels = []string{"gpu", "r1"}
	s.workers = append(s.workers, last.ID)
	s.core.WorkerRegistered(last)
	s.poll(last.ID, Listing{})
	step := quick(3)
	step.Requires = "gpu"
	step.AntiAffinity = 2
	s.submit("j1", step)
	s.runUntilDone(5 * time.Second)
	assert.Assert(t, s.named <= 3, "%d workers were named, one has the label", s.named)
}

// Guards against a job that waits beside idle workers as it has tickets for others, which have been
// filled by other jobs meanwhile.
func TestTicketsForFullWorkersDoNotCount(t *testing.T) {
	s := newAdviceSim(t, 31, 20*time.Millisecond, 5*time.Millisecond, time.Minute)
	s.submit("j1", quick(1))
	s.tick()
	filler := short(30*4 + 1)
	filler.Estimate = time.Hour
	s.accept("filler", filler)
	s.runUntilDone(3 * time.Second)
}

// Guards against a gang that never starts as its members' tickets are never valid at the same time.
func TestAGangHasAllItsTicketsAtATime(t *testing.T) {
	for _, n := range []uint32{1, 3, 8} {
		t.Run(fmt.Sprintf("one worker in %d", n), func(t *testing.T) {
			s := newAdviceSim(t, 64, 50*time.Millisecond, 20*time.Millisecond, 1500*time.Millisecond)
			s.allowed = oneIn(n)
			for i := range 3 {
				gang := quick(24)
				gang.Gang = true
				s.submit(work.JobID(fmt.Sprintf("j%d", i)), gang)
			}
			s.runUntilDone(30 * time.Second)
		})
	}
}

// Guards against jobs that never start once a call to the advisor for all workers takes as long as its
// tickets are valid, as after workers were added. Jobs come more slowly than the advisor could decide on
// them.
func TestJobsStartHoweverTheAdvisorsTimesRelate(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		workers, added                int
		decision, perWorker, validity time.Duration
		oneIn                         uint32
		every                         time.Duration // between two jobs
		step                          work.Step
	}{
		{16, 5, 100 * ms, 40 * ms, 1000 * ms, 1, 1500 * ms, quick(1)},
		{16, 100, 100 * ms, 40 * ms, 1000 * ms, 1, 1500 * ms, quick(1)},
		{64, 0, 20 * ms, 5 * ms, 60 * ms, 2, 300 * ms, quick(1)},
		{132, 0, 2000 * ms, 0, 500 * ms, 8, 4000 * ms, quick(1)},
		{40, 0, 0, 300 * ms, 400 * ms, 4, 3000 * ms, quick(2)},
		{64, 0, 500 * ms, 200 * ms, 1000 * ms, 16, 9000 * ms, quick(1)},
		{64, 0, 3000 * ms, 100 * ms, 300 * ms, 1, 4000 * ms, quick(1)},
		{30, 10, 50 * ms, 50 * ms, 700 * ms, 2, 4000 * ms, gang(quick(24))},
		{64, 0, 1000 * ms, 20 * ms, 300 * ms, 4, 6000 * ms, gang(quick(12))},
		{21, 0, 100 * ms, 40 * ms, 1000 * ms, 1, 3000 * ms, quick(40)},
	} {
		t.Run(fmt.Sprintf("%s, %s per worker, valid for %s, one in %d", c.decision, c.perWorker, c.validity, c.oneIn), func(t *testing.T) {
			s := newAdviceSim(t, c.workers, c.decision, c.perWorker, c.validity)
			s.allowed = oneIn(c.oneIn)
			for i := range 8 {
				if i == 3 {
					s.addWorkers(c.added)
				}
				id := work.JobID(fmt.Sprintf("j%d", i))
				if allowedWorkers(s, work.StepRef{Job: id}) > 0 {
					s.submit(id, c.step)
				}
				s.run(c.every)
			}
			s.runUntilDone(14 * time.Second)
		})
	}
}

func gang(s work.Step) work.Step {
	s.Gang = true
	return s
}

// Guards against calls that are given up and made again while the advisor still handles the earlier
// ones: its configuration tells less time than it takes.
func TestCallsThatTakeLongerThanConfiguredAreWaitedFor(t *testing.T) {
	s := newAdviceSim(t, 20, 2400*time.Millisecond, 10*time.Millisecond, time.Second)
	s.queue.Advice = AdviceCost{Decision: 300 * time.Millisecond, Validity: time.Second}
	for i := range 6 {
		s.submit(work.JobID(fmt.Sprintf("j%d", i)), quick(1))
	}
	s.runUntilDone(25 * time.Second)
}

// Guards against calls about a gang that can't start, as too few workers are allowed: they would take the
// time of the advisor from other jobs for as long as the gang waits.
func TestTheAdvisorIsNotAskedAgainAboutAGangThatCanNotStart(t *testing.T) {
	s := newAdviceSim(t, 20, 50*time.Millisecond, 10*time.Millisecond, 300*time.Millisecond)
	s.allowed = func(step work.StepRef, w work.WorkerID) bool { return step.Job != "gang" || w < "w003" }
	s.submit("gang", gang(quick(16)))
	s.run(5 * time.Second)
	calls := s.calls
	s.run(5 * time.Second)
	assert.Equal(t, s.calls, calls)
	s.submit("j1", quick(1))
	delete(s.left, "gang")
	s.runUntilDone(2 * time.Second)
}

// Guards against a call to the advisor and a rejected start each few milliseconds, as workers accept none
// of a step's tickets, and against other jobs that wait for it.
func TestTicketsThatWorkersRefuseAreAskedForMoreAndMoreSeldom(t *testing.T) {
	s := newAdviceSim(t, 20, 20*time.Millisecond, 10*time.Millisecond, time.Second)
	s.refused = "j0"
	s.submit("j0", quick(4))
	s.run(2 * time.Second)
	calls := s.calls
	s.submit("j1", quick(1))
	s.run(10 * time.Second)
	assert.Equal(t, s.left["j1"], 0)
	assert.Assert(t, s.calls-calls <= 10, "%d calls in ten seconds", s.calls-calls)
}

// Guards against jobs that never start after calls to the advisor failed: each second one, and all of
// the first five seconds.
func TestFailedCallsToTheAdvisorAreMadeAgain(t *testing.T) {
	s := newAdviceSim(t, 20, 50*time.Millisecond, 10*time.Millisecond, time.Second)
	begin := s.now
	s.failing = func(call int) bool { return call%2 == 0 || s.now < begin+5*time.Second }
	for i := range 10 {
		s.submit(work.JobID(fmt.Sprintf("j%d", i)), quick(2))
	}
	s.runUntilDone(15 * time.Second)
}

// Guards against tickets that are taken for expired, as the answer does not tell their validity.
func TestTheConfigurationTellsTheValidityIfTheAnswerDoesNot(t *testing.T) {
	r := newRig(t)
	r.worker("w1")
	q := Queue{Name: queue, Service: service, Advised: true, Advice: AdviceCost{Validity: time.Second}}
	r.core.Accept(&work.Job{ID: "j1", Queue: queue, Steps: []work.Step{short(1)}}, q, r.now)
	assert.Equal(t, len(r.plan().Advice), 1)
	r.core.AdviceAnswered(AdviceAnswer{Tickets: []Ticket{{Worker: "w1", Ticket: "t"}}}, r.now)
	assert.Equal(t, len(r.plan().Starts), 1)
}
