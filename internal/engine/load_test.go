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

// Costs of an owner's work on a whole core. They are assumed, so that a run with its share of
// polls and plans takes some 0.6 ms; measured are 0.8 to 1.5 ms over all entry VMs.
const (
	costStart  = 350 * time.Microsecond // to send a start
	costAnswer = 100 * time.Microsecond // to take its answer in
	costPoll   = 80 * time.Microsecond  // to send a poll
	costList   = 120 * time.Microsecond // to take its answer in
	costPlan   = 400 * time.Microsecond // a plan ...
	costPlace  = 20 * time.Microsecond  // ... and each start of it
	costJob    = 300 * time.Microsecond // to accept a job
)

// The cell: its workers bear all that is asked of them, so that the owner alone binds.
const (
	loadWorkers  = 130
	loadRoom     = 32                     // tasks on one worker
	loadTasks    = 8                      // of a job in the mean; the least has half of that, the most half more
	loadTaskTime = 600 * time.Millisecond // in the mean; the others are up to a third off
	loadTrip     = 2 * time.Millisecond   // to a worker, one way
	loadJobsMost = 200.0                  // a second that the owner bears
)

// owner is a core on a processor that does one thing at a time. What is ready waits in line.
type owner struct {
	*rig
	guarded bool // it measures how far it is behind, and acts on it
	slow    func(now time.Duration) float64

	timers  timers
	made    int // timers so far: those of the same time go in the order in which they were made
	line    []chore
	meter   overload.Meter
	running map[work.WorkerID]map[work.TaskRef]fakeRun
	ended   map[work.WorkerID][]RunEnd
	polls   map[work.WorkerID]*fakePoll
	starts  int // without an answer
	planned bool
	jobs    map[work.JobID]time.Duration // when it was handed in
	inTime  map[time.Duration]int        // jobs that were in time, by the second in which they were handed in
}

// chore is something that the processor does.
type chore struct {
	cost time.Duration
	do   func()
}

type fakeRun struct {
	run int
	end time.Duration
}

// fakePoll is a poll that a worker holds back.
type fakePoll struct {
	hold Hold
	sent time.Duration
	by   time.Duration // given up then
	done bool
}

type timer struct {
	at time.Duration
	n  int
	chore
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

func newOwner(t *testing.T, guarded bool) *owner {
	o := &owner{
		rig: newRig(t), guarded: guarded, slow: func(time.Duration) float64 { return 1 },
		running: make(map[work.WorkerID]map[work.TaskRef]fakeRun), ended: make(map[work.WorkerID][]RunEnd),
		polls: make(map[work.WorkerID]*fakePoll), jobs: make(map[work.JobID]time.Duration),
		inTime: make(map[time.Duration]int),
	}
	for i := range loadWorkers {
		w := info(work.WorkerID(fmt.Sprintf("w%03d", i)))
		w.Capacity = work.Resources{MilliCPU: loadRoom * 1000, MemoryMB: 1 << 20}
		o.core.WorkerRegistered(w)
		o.look(w.ID, Listing{})
		o.running[w.ID] = make(map[work.TaskRef]fakeRun)
		o.every(w.ID)
	}
	o.probe()
	o.tick()
	return o
}

// after has the processor do something once it is its turn, not before the time is over.
func (o *owner) after(d, cost time.Duration, do func()) {
	o.made++
	heap.Push(&o.timers, timer{at: o.now + d, n: o.made, chore: chore{cost: cost, do: do}})
}

// world has something happen elsewhere, which costs the processor nothing.
func (o *owner) world(d time.Duration, do func()) { o.after(d, 0, do) }

func (o *owner) runUntil(end time.Duration) {
	for o.now < end {
		for len(o.timers) > 0 && o.timers[0].at <= o.now {
			next := heap.Pop(&o.timers).(timer)
			if next.cost == 0 {
				next.do()
				continue
			}
			o.line = append(o.line, next.chore)
		}
		if len(o.line) == 0 {
			if len(o.timers) == 0 {
				return
			}
			o.now = max(o.now, o.timers[0].at)
			continue
		}
		next := o.line[0]
		o.line = o.line[1:]
		o.now += time.Duration(float64(next.cost) * o.slow(o.now))
		next.do()
	}
}

func (o *owner) behind() time.Duration {
	if !o.guarded {
		return 0
	}
	return o.meter.MaxDelay(o.now)
}

func (o *owner) probe() {
	o.after(overload.ProbeInterval, 0, func() {
		o.meter.Begin(o.now)
		o.line = append(o.line, chore{do: func() {
			o.meter.End(o.now)
			o.probe()
		}})
	})
}

func (o *owner) tick() {
	o.after(planEvery, costPlan, func() {
		o.plan()
		o.tick()
	})
}

// kick plans soon.
func (o *owner) kick() {
	if !o.planned {
		o.planned = true
		o.after(planPause, costPlan, func() { o.planned = false; o.plan() })
	}
}

func (o *owner) plan() {
	if o.guarded {
		o.core.Strain(o.meter.MinDelay(o.now), o.now)
		o.core.LimitStarts(o.starts)
	}
	orders := o.core.Plan(o.now, o.wall)
	for _, s := range orders.Starts {
		o.starts++
		o.line = append(o.line, chore{cost: costStart + costPlace, do: func() { o.start(s) }})
	}
	for _, s := range orders.Stops {
		o.line = append(o.line, chore{cost: costStart, do: func() { o.stop(s) }})
	}
	f := o.core.TakeFlush(1000)
	o.core.Flushed(f, nil)
}

func (o *owner) start(s StartOrder) {
	by := o.now + orderTimeout + overload.ExtraTimeout(o.behind())
	takes := loadTaskTime * time.Duration(2+(len(o.core.jobs)+s.Start.Task.Index)%3) / 3
	o.world(loadTrip, func() {
		o.running[s.Worker.ID][s.Start.Task] = fakeRun{run: s.Start.Run, end: o.now + takes}
		o.world(takes, func() { o.end(s.Worker.ID, s.Start.Task, s.Start.Run) })
	})
	o.after(2*loadTrip, costAnswer, func() {
		o.starts--
		out := OutcomeOK
		if o.now > by {
			out = OutcomeUnknown
		}
		o.core.StartAnswered(s, out, o.now, o.now)
		if out != OutcomeOK || o.core.Held() {
			o.kick()
		}
	})
}

func (o *owner) stop(s StopOrder) {
	if r, runs := o.running[s.Worker.ID][s.Task]; runs && r.run == s.Run {
		delete(o.running[s.Worker.ID], s.Task)
		o.list(s.Worker.ID, s.Task, s.Run, work.Stopped)
	}
	o.after(2*loadTrip, costAnswer, func() { o.core.StopAnswered(s, OutcomeOK, o.now); o.kick() })
}

// end is the end of a run on its worker, unless it was stopped before.
func (o *owner) end(id work.WorkerID, ref work.TaskRef, run int) {
	if r, runs := o.running[id][ref]; runs && r.run == run {
		delete(o.running[id], ref)
		o.list(id, ref, run, work.Done)
	}
}

func (o *owner) list(id work.WorkerID, ref work.TaskRef, run int, how work.End) {
	seq := int64(len(o.ended[id]) + 1)
	o.ended[id] = append(o.ended[id], RunEnd{Seq: seq, Task: ref, Run: run, How: how})
	if p := o.polls[id]; p != nil {
		o.answer(id, p)
	}
}

// every polls the worker for as long as something is there, as a session does.
func (o *owner) every(id work.WorkerID) {
	_, h, due := o.core.NextPoll(id, o.now)
	if !due {
		o.world(5*time.Millisecond, func() { o.every(id) })
		return
	}
	o.line = append(o.line, chore{cost: costPoll, do: func() {
		p := &fakePoll{hold: h, sent: o.now, by: o.now + h.Wait + pollTimeout + overload.ExtraTimeout(o.behind())}
		o.polls[id] = p
		o.world(h.Wait, func() { o.answer(id, p) })
		if len(o.ended[id]) > 0 && o.ended[id][len(o.ended[id])-1].Seq > h.AckedThrough {
			o.answer(id, p)
		}
	}})
}

// answer has the worker answer a poll, once.
func (o *owner) answer(id work.WorkerID, p *fakePoll) {
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
	o.after(2*loadTrip, costList, func() { o.took(id, p, l) })
}

func (o *owner) took(id work.WorkerID, p *fakePoll, l Listing) {
	l.Clock = o.now
	pause := o.core.pollPause()
	switch {
	case o.now <= p.by:
		o.core.PollAnswered(id, p.hold, l, p.sent, o.now)
	case overload.AnswerMayBeUnread(o.behind()):
		o.core.PollUnread()
	default:
		o.core.PollFailed(id, OutcomeUnknown, o.now)
		pause = pauseAfterMissed(o.core.workers[id].missedPolls, pause)
	}
	o.finish()
	o.kick()
	o.world(pause, func() { o.every(id) })
}

// jobTime is what a job may take from being handed in: the objective of the rig's queue.
const jobTime = 1560 * time.Millisecond

// finish notes which jobs are done.
func (o *owner) finish() {
	for id, at := range o.jobs {
		if s, _ := o.core.State(id); s == work.Completed || o.core.jobs[id].final == work.Completed {
			if o.now <= at+jobTime {
				o.inTime[at/time.Second]++
			}
			delete(o.jobs, id)
		}
	}
}

// arrive has jobs come for a while, so many a second.
func (o *owner) arrive(from, until time.Duration, rate float64) {
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

// goodput returns the jobs in time a second of those handed in within the span.
func (o *owner) goodput(from, until time.Duration) float64 {
	n := 0
	for s := from / time.Second; s < until/time.Second; s++ {
		n += o.inTime[s]
	}
	return float64(n) / (until - from).Seconds()
}

// play has jobs come at a rate for five seconds and returns how many a second were in time.
func play(t *testing.T, guarded bool, rate float64) float64 {
	o := newOwner(t, guarded)
	from := o.now.Truncate(time.Second) + time.Second
	until := from + 5*time.Second
	o.arrive(from, until, rate)
	o.runUntil(until + 4*time.Second)
	return o.goodput(from+time.Second, until)
}

// Callers hand in up to three times what an owner's processor bears. Starts and answers would
// wait in line until nearly everything is late. With few starts under way and fewer polls,
// what is in time stays at what the owner bears: the order begins what can still be in time,
// and little waits after it is begun.
func TestWhatIsInTimeStaysAsLoadGrows(t *testing.T) {
	for _, times := range []float64{0.5, 1, 1.5, 2, 3} {
		got := play(t, true, times*loadJobsMost)
		t.Logf("%.1f times: %.0f jobs a second handed in, %.0f in time", times, times*loadJobsMost, got)
		assert.Assert(t, got >= 0.95*min(1, times)*loadJobsMost, "%.1f times", times)
	}
	without := play(t, false, 2*loadJobsMost)
	t.Logf("2.0 times: %.0f in time without the guard", without)
	assert.Assert(t, without < loadJobsMost/2, "the guard is what keeps them in time")
}

// A VM loses four fifths of its processor for six seconds while its cell is busy. The owner
// does what it still can, takes no worker for silent as it reads answers late, and is at its
// usual work a second after the processor is back.
func TestAnOwnerThatWasSlowRecovers(t *testing.T) {
	o := newOwner(t, true)
	from := o.now.Truncate(time.Second) + time.Second
	slowFrom, slowUntil := from+2*time.Second, from+8*time.Second
	o.slow = func(now time.Duration) float64 {
		if now >= slowFrom && now < slowUntil {
			return 5
		}
		return 1
	}
	const rate = 0.3 * loadJobsMost
	o.arrive(from, from+14*time.Second, rate)
	o.runUntil(from + 18*time.Second)
	assert.Assert(t, o.goodput(slowFrom+time.Second, slowUntil) >= 0.5*loadJobsMost/5, "while slow")
	assert.Assert(t, o.goodput(slowUntil+time.Second, from+14*time.Second) >= 0.9*rate, "after")
	assert.Equal(t, o.core.anyPollMissed(), false)
}
