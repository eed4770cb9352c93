package engine

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/overload"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Processor time of an owner's operations on a whole core. With them a run, including its share of
// polls and plans, takes about 0.6 ms; in a deployment it takes 0.8 to 1.5 ms, summed over all entry
// VMs.
const (
	costStart  = 350 * time.Microsecond // to send a start
	costAnswer = 100 * time.Microsecond // to process its answer
	costPoll   = 80 * time.Microsecond  // to send a poll
	costList   = 120 * time.Microsecond // to process its answer
	costPlan   = 400 * time.Microsecond // a plan without starts
	costPlace  = 20 * time.Microsecond  // for each start in a plan
	costJob    = 300 * time.Microsecond // to accept a job
)

// The simulated cell. Its workers have enough capacity, so that only the owner is a bottleneck.
const (
	loadWorkers     = 130
	loadWorkerTasks = 32                     // tasks that fit on one worker
	loadTasks       = 8                      // mean number of a job's tasks, which varies by half of it in both directions
	loadTaskTime    = 600 * time.Millisecond // mean run time of a task, which varies by a third in both directions
	loadOneWayDelay = 2 * time.Millisecond   // network delay to a worker
	loadMaxJobRate  = 200.0                  // jobs a second that the owner can handle
)

// simulatedOwner is a core on a simulated processor that runs one work item at a time. Items that are
// ready wait in a queue.
type simulatedOwner struct {
	*rig
	shedding bool                            // it measures its scheduling delay, sheds load and extends timeouts
	slowdown func(now time.Duration) float64 // factor on the cost of work items

	timers     timers
	timersMade int        // so far; timers for the same time fire in the order in which they were made
	ready      []workItem // queue of the processor
	meter      overload.Meter
	running    map[work.WorkerID]map[work.TaskRef]fakeRun
	ended      map[work.WorkerID][]RunEnd
	polls      map[work.WorkerID]*fakePoll
	starts     int                          // not answered yet
	planned    bool                         // a plan is scheduled by kick
	jobs       map[work.JobID]time.Duration // unfinished jobs, with the time of submission
	inTime     map[time.Duration]int        // number of jobs completed in time, by the second of submission
}

// workItem is something that takes processor time.
type workItem struct {
	cost time.Duration
	do   func()
}

type fakeRun struct {
	run int
	end time.Duration
}

// fakePoll is a poll that a worker has not answered yet.
type fakePoll struct {
	hold Hold
	sent time.Duration
	by   time.Duration // when the owner gives up waiting for the answer
	done bool
}

type timer struct {
	at time.Duration
	n  int
	workItem
}

type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].n < t[j].n
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

func newSimulatedOwner(t *testing.T, shedding bool) *simulatedOwner {
	o := &simulatedOwner{
		rig: newRig(t), shedding: shedding, slowdown: func(time.Duration) float64 { return 1 },
		running: make(map[work.WorkerID]map[work.TaskRef]fakeRun), ended: make(map[work.WorkerID][]RunEnd),
		polls: make(map[work.WorkerID]*fakePoll), jobs: make(map[work.JobID]time.Duration),
		inTime: make(map[time.Duration]int),
	}
	for i := range loadWorkers {
		w := info(work.WorkerID(fmt.Sprintf("w%03d", i)))
		w.Capacity = work.Resources{MilliCPU: loadWorkerTasks * 1000, MemoryMB: 1 << 20}
		o.core.WorkerRegistered(w)
		o.poll(w.ID, Listing{})
		o.running[w.ID] = make(map[work.TaskRef]fakeRun)
		o.pollRepeatedly(w.ID)
	}
	o.probe()
	o.tick()
	return o
}

// after queues do for the processor once d has passed. It takes the cost in processor time.
func (o *simulatedOwner) after(d, cost time.Duration, do func()) {
	o.timersMade++
	heap.Push(&o.timers, timer{at: o.now + d, n: o.timersMade, workItem: workItem{cost: cost, do: do}})
}

// elsewhere calls do once d has passed, as an event outside the owner that costs no processor time.
func (o *simulatedOwner) elsewhere(d time.Duration, do func()) { o.after(d, 0, do) }

// runUntil runs the simulation until the time end, or until nothing is left to do.
func (o *simulatedOwner) runUntil(end time.Duration) {
	for o.now < end {
		for len(o.timers) > 0 && o.timers[0].at <= o.now {
			next := heap.Pop(&o.timers).(timer)
			if next.cost == 0 {
				next.do()
				continue
			}
			o.ready = append(o.ready, next.workItem)
		}
		if len(o.ready) == 0 {
			if len(o.timers) == 0 {
				return
			}
			o.now = max(o.now, o.timers[0].at)
			continue
		}
		next := o.ready[0]
		o.ready = o.ready[1:]
		o.now += time.Duration(float64(next.cost) * o.slowdown(o.now))
		next.do()
	}
}

// maxDelay returns the longest recent scheduling delay; 0 if it is not measured.
func (o *simulatedOwner) maxDelay() time.Duration {
	if !o.shedding {
		return 0
	}
	return o.meter.MaxDelay(o.now)
}

// probe measures the scheduling delay at every overload.ProbeInterval.
func (o *simulatedOwner) probe() {
	o.after(overload.ProbeInterval, 0, func() {
		o.meter.Begin(o.now)
		o.ready = append(o.ready, workItem{do: func() {
			o.meter.End(o.now)
			o.probe()
		}})
	})
}

// tick makes a plan at every planInterval.
func (o *simulatedOwner) tick() {
	o.after(planInterval, costPlan, func() {
		o.plan()
		o.tick()
	})
}

// kick schedules a plan after planPause, unless one is scheduled.
func (o *simulatedOwner) kick() {
	if !o.planned {
		o.planned = true
		o.after(planPause, costPlan, func() { o.planned = false; o.plan() })
	}
}

// plan makes a plan and queues its orders.
func (o *simulatedOwner) plan() {
	if o.shedding {
		o.core.AdjustLoad(o.meter.MinDelay(o.now), o.now)
		o.core.LimitStarts(o.starts)
	}
	orders := o.core.Plan(o.now, o.wall)
	for _, s := range orders.Starts {
		o.starts++
		o.ready = append(o.ready, workItem{cost: costStart + costPlace, do: func() { o.start(s) }})
	}
	for _, s := range orders.Stops {
		o.ready = append(o.ready, workItem{cost: costStart, do: func() { o.stop(s) }})
	}
	f := o.core.TakeFlush(1000)
	o.core.Flushed(f, nil)
}

// start sends a start order: the run begins and ends on the worker, and the answer comes back.
func (o *simulatedOwner) start(s StartOrder) {
	by := o.now + orderTimeout + overload.ExtraTimeout(o.maxDelay())
	takes := loadTaskTime * time.Duration(2+(len(o.core.jobs)+s.Start.Task.Index)%3) / 3
	o.elsewhere(loadOneWayDelay, func() {
		o.running[s.Worker.ID][s.Start.Task] = fakeRun{run: s.Start.Run, end: o.now + takes}
		o.elsewhere(takes, func() { o.end(s.Worker.ID, s.Start.Task, s.Start.Run) })
	})
	o.after(2*loadOneWayDelay, costAnswer, func() {
		o.starts--
		out := OutcomeOK
		if o.now > by {
			out = OutcomeUnknown
		}
		o.core.StartAnswered(s, out, o.now, o.now)
		if out != OutcomeOK || o.core.StartsDeferred() {
			o.kick()
		}
	})
}

// stop sends a stop order: the run ends at once on the worker, and the answer comes back.
func (o *simulatedOwner) stop(s StopOrder) {
	if r, runs := o.running[s.Worker.ID][s.Task]; runs && r.run == s.Run {
		delete(o.running[s.Worker.ID], s.Task)
		o.addEnd(s.Worker.ID, s.Task, s.Run, work.Stopped)
	}
	o.after(2*loadOneWayDelay, costAnswer, func() { o.core.StopAnswered(s, OutcomeOK, o.now); o.kick() })
}

// end ends a run on its worker, unless it was stopped before.
func (o *simulatedOwner) end(id work.WorkerID, ref work.TaskRef, run int) {
	if r, runs := o.running[id][ref]; runs && r.run == run {
		delete(o.running[id], ref)
		o.addEnd(id, ref, run, work.Done)
	}
}

// addEnd adds an end to the worker's list and answers the pending poll.
func (o *simulatedOwner) addEnd(id work.WorkerID, ref work.TaskRef, run int, how work.End) {
	seq := int64(len(o.ended[id]) + 1)
	o.ended[id] = append(o.ended[id], RunEnd{Seq: seq, Task: ref, Run: run, How: how})
	if p := o.polls[id]; p != nil {
		o.answer(id, p)
	}
}

// pollRepeatedly polls the worker while a poll is due, as a session does, and otherwise checks again
// every 5 ms.
func (o *simulatedOwner) pollRepeatedly(id work.WorkerID) {
	_, h, due := o.core.NextPoll(id, o.now)
	if !due {
		o.elsewhere(5*time.Millisecond, func() { o.pollRepeatedly(id) })
		return
	}
	o.ready = append(o.ready, workItem{cost: costPoll, do: func() {
		p := &fakePoll{hold: h, sent: o.now, by: o.now + h.Wait + pollTimeout + overload.ExtraTimeout(o.maxDelay())}
		o.polls[id] = p
		o.elsewhere(h.Wait, func() { o.answer(id, p) })
		if len(o.ended[id]) > 0 && o.ended[id][len(o.ended[id])-1].Seq > h.AckedThrough {
			o.answer(id, p)
		}
	}})
}

// answer has the worker answer a poll, unless it has answered it.
func (o *simulatedOwner) answer(id work.WorkerID, p *fakePoll) {
	if p.done {
		return
	}
	p.done = true
	o.polls[id] = nil
	l := Listing{Brief: p.hold.Brief}
	for ref, r := range o.running[id] {
		l.Running = append(l.Running, Run{Task: ref, Run: r.run, Percent: 1 + int(o.now/time.Millisecond)%98})
	}
	for _, e := range o.ended[id] {
		if e.Seq > p.hold.AckedThrough {
			l.Ended = append(l.Ended, e)
		}
	}
	o.after(2*loadOneWayDelay, costList, func() { o.pollAnswered(id, p, l) })
}

// pollAnswered processes the answer to a poll, which may be too late, and schedules the next poll.
func (o *simulatedOwner) pollAnswered(id work.WorkerID, p *fakePoll, l Listing) {
	l.Clock = o.now
	pause := o.core.pollPause()
	switch {
	case o.now <= p.by:
		o.core.PollAnswered(id, p.hold, l, p.sent, o.now)
	case overload.AnswerMayBeUnread(o.maxDelay()):
		o.core.PollUnread()
	default:
		o.core.PollFailed(id, OutcomeUnknown, o.now)
		pause = pauseAfterMissed(o.core.workers[id].missedPolls, pause)
	}
	o.recordCompleted()
	o.kick()
	o.elsewhere(pause, func() { o.pollRepeatedly(id) })
}

// jobTime is the objective of the rig's queue: the time from submission within which a job must
// complete.
const jobTime = 1560 * time.Millisecond

// recordCompleted removes the completed jobs from o.jobs and counts those that were in time.
func (o *simulatedOwner) recordCompleted() {
	for id, at := range o.jobs {
		if s, _ := o.core.State(id); s == work.Completed || o.core.jobs[id].final == work.Completed {
			if o.now <= at+jobTime {
				o.inTime[at/time.Second]++
			}
			delete(o.jobs, id)
		}
	}
}

// arrive has jobs submitted between two times, at a rate per second.
func (o *simulatedOwner) arrive(from, until time.Duration, rate float64) {
	n := 0
	for at := from; at < until; at += time.Duration(float64(time.Second) / rate) {
		id := work.JobID(fmt.Sprintf("%d-%d", from, n))
		n++
		n := n
		o.after(at-o.now, costJob, func() {
			o.jobs[id] = at
			step := work.Step{Count: loadTasks/2 + n*5%(loadTasks+1), Size: work.Resources{MilliCPU: 1000, MemoryMB: 10}, Estimate: loadTaskTime}
			o.accept(id, step)
			o.kick()
		})
	}
}

// goodput returns, of the jobs submitted between two times, how many per second completed in time.
func (o *simulatedOwner) goodput(from, until time.Duration) float64 {
	n := 0
	for s := from / time.Second; s < until/time.Second; s++ {
		n += o.inTime[s]
	}
	return float64(n) / (until - from).Seconds()
}

// simulate submits jobs at a rate for five seconds and returns how many per second completed in time.
// The first second is not counted.
func simulate(t *testing.T, shedding bool, rate float64) float64 {
	o := newSimulatedOwner(t, shedding)
	from := o.now.Truncate(time.Second) + time.Second
	until := from + 5*time.Second
	o.arrive(from, until, rate)
	o.runUntil(until + 4*time.Second)
	return o.goodput(from+time.Second, until)
}

// Jobs are submitted at up to three times the rate that the owner's processor can handle. Without load
// shedding, starts and answers would queue until nearly every job is late. With few unanswered starts
// and fewer polls, goodput must stay at what the owner can handle: jobs that can still be in time are
// started first, and started jobs hardly wait.
func TestGoodputDoesNotDropUnderOverload(t *testing.T) {
	for _, times := range []float64{0.5, 1, 1.5, 2, 3} {
		got := simulate(t, true, times*loadMaxJobRate)
		t.Logf("%.1f times: %.0f jobs a second submitted, %.0f in time", times, times*loadMaxJobRate, got)
		assert.Assert(t, got >= 0.95*min(1, times)*loadMaxJobRate, "%.1f times", times)
	}
	without := simulate(t, false, 2*loadMaxJobRate)
	t.Logf("2.0 times: %.0f in time without load shedding", without)
	assert.Assert(t, without < loadMaxJobRate/2, "without load shedding most jobs must be late")
}

// A VM loses four fifths of its processor for six seconds while its cell is busy. The owner must do
// what it still can, must not count workers as silent because it reads answers late, and must be back
// at its usual goodput a second after the processor is back.
func TestAnOwnerThatWasSlowRecovers(t *testing.T) {
	o := newSimulatedOwner(t, true)
	from := o.now.Truncate(time.Second) + time.Second
	slowFrom, slowUntil := from+2*time.Second, from+8*time.Second
	o.slowdown = func(now time.Duration) float64 {
		if now >= slowFrom && now < slowUntil {
			return 5
		}
		return 1
	}
	const rate = 0.3 * loadMaxJobRate
	o.arrive(from, from+14*time.Second, rate)
	o.runUntil(from + 18*time.Second)
	assert.Assert(t, o.goodput(slowFrom+time.Second, slowUntil) >= 0.5*loadMaxJobRate/5, "while slow")
	assert.Assert(t, o.goodput(slowUntil+time.Second, from+14*time.Second) >= 0.9*rate, "after")
	assert.Equal(t, o.core.anyPollMissed(), false)
}
