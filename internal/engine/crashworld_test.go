package engine

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

var crashSeeds = flag.Int("crash-seeds", 15, "how many seeds the tests of crashing workers run")

// crashWorld is a cell whose workers crash, under some tasks or by themselves, and are
// back as another life after a while.
type crashWorld struct {
	rig
	rng      *rand.Rand
	lives    map[work.WorkerID]*crashLife
	born     int
	returns  []crashReturn
	progress map[work.JobID]*Progress
	records  map[work.JobID]*JobRecord
	ended    map[work.JobID]work.State
	found    time.Duration // from a crash until the list of VMs shows it
	stores   bool          // the store takes changes

	// self is the chance, each second, that a worker crashes by itself.
	self     float64
	crashes  func(work.TaskRef) time.Duration // how long after its start a task crashes its worker; 0: never
	takes    func(work.TaskRef) time.Duration // how long a task works; 0: it lasts
	starts   map[work.TaskRef]int
	under    map[work.TaskRef]int // crashes under each task
	ownFault int                  // workers that crashed under a task of crashes
	took     map[work.JobID]time.Duration
	waited   time.Duration // from the acceptance to the end of all completed jobs
}

// crashReturn is a VM that is back with a new life.
type crashReturn struct {
	at      time.Duration
	address string
}

// crashLife is one life of a worker.
type crashLife struct {
	address string
	runs    map[work.TaskRef]crashRun
	ends    []RunEnd
	seq     int64
	dead    bool
	found   time.Duration // when the list of VMs shows that it is over
}

type crashRun struct {
	run  int
	from time.Duration
}

// Times of the world.
const (
	crashTick   = 10 * time.Millisecond
	crashFound  = 170 * time.Millisecond
	crashAway   = 3 * time.Second // from a crash until the VM is back
	crashPolled = 100 * time.Millisecond
)

func newCrashWorld(t testing.TB, workers int) *crashWorld { return seededCrashWorld(t, workers, 1) }

func seededCrashWorld(t testing.TB, workers int, seed uint64) *crashWorld {
	w := &crashWorld{
		rig: rig{t: t, now: time.Hour, wall: epoch}, rng: rand.New(rand.NewPCG(seed, 1)),
		lives: make(map[work.WorkerID]*crashLife), progress: make(map[work.JobID]*Progress), records: make(map[work.JobID]*JobRecord),
		ended: make(map[work.JobID]work.State), stores: true, found: crashFound,
		crashes: func(work.TaskRef) time.Duration { return 0 },
		takes:   func(work.TaskRef) time.Duration { return time.Second },
		starts:  make(map[work.TaskRef]int), under: make(map[work.TaskRef]int),
		took: make(map[work.JobID]time.Duration),
	}
	w.core = w.successor(token)
	for i := range workers {
		w.join(fmt.Sprintf("v%d:80", i))
	}
	return w
}

func (w *crashWorld) join(address string) {
	w.born++
	id := work.WorkerID(fmt.Sprintf("w%d", w.born))
	w.lives[id] = &crashLife{address: address, runs: make(map[work.TaskRef]crashRun)}
	w.register(id)
}

func (w *crashWorld) register(id work.WorkerID) {
	i := info(id)
	i.Address = w.lives[id].address
	w.core.WorkerSeen(i)
	w.poll(id)
}

// submit hands a job in; it is stored.
func (w *crashWorld) submit(id work.JobID, steps ...work.Step) {
	w.accept(id, steps...)
	job := w.core.jobs[id].Job
	w.records[id] = &JobRecord{Job: &job, Queue: w.core.declared.Queues[queue]}
}

// takeOver replaces the owner by one that knows what is stored.
func (w *crashWorld) takeOver() {
	w.core = w.successor(w.core.token + 1)
	for _, id := range sortedIDs(w.records) {
		if w.ended[id] == "" {
			w.core.Restore(w.records[id], w.progress[id], w.now, w.wall)
		}
	}
	w.core.FinishRestore(w.now, w.wall)
	w.core.Inherit(w.now + inheritedLeaseTime())
	var vms []work.VM
	for _, id := range w.alive() {
		vms = append(vms, vm("v-"+string(id), id))
	}
	w.core.SetFleet(vms)
	for _, id := range append(w.alive(), w.dead()...) {
		w.register(id)
	}
}

func (w *crashWorld) alive() []work.WorkerID { return w.among(false) }

func (w *crashWorld) dead() []work.WorkerID { return w.among(true) }

func (w *crashWorld) among(dead bool) []work.WorkerID {
	var out []work.WorkerID
	for id, l := range w.lives {
		if l.dead == dead {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// run plays the world for so long.
func (w *crashWorld) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += crashTick
		w.age()
		for _, s := range w.core.Plan(w.now, w.wall).Starts {
			w.start(s)
		}
		if w.now%crashPolled < crashTick {
			for _, id := range w.alive() {
				w.poll(id)
			}
		}
		w.store()
	}
}

// age lets tasks end, workers crash under them, and VMs come back.
func (w *crashWorld) age() {
	for _, id := range w.alive() {
		l := w.lives[id]
		for _, ref := range l.tasks() {
			lasted := w.now - l.runs[ref].from
			if after := w.crashes(ref); after > 0 && lasted >= after {
				w.ownFault++
				w.crash(id)
				break
			}
			if takes := w.takes(ref); takes > 0 && lasted >= takes {
				l.end(ref, work.Done)
			}
		}
	}
	for _, id := range w.alive() {
		if w.rng.Float64() < w.self*crashTick.Seconds() {
			w.crash(id)
		}
	}
	for _, id := range w.dead() {
		l := w.lives[id]
		switch {
		case w.now >= l.found:
			delete(w.lives, id)
			w.core.WorkerGone(id, "its VM has another life or none", w.now)
		default:
			w.core.HoldFailed(id, OutcomeNotSent, w.now)
		}
	}
	for len(w.returns) > 0 && w.now >= w.returns[0].at {
		address := w.returns[0].address
		w.returns = w.returns[1:]
		w.join(address)
	}
}

func (l *crashLife) tasks() []work.TaskRef {
	var out []work.TaskRef
	for ref := range l.runs {
		out = append(out, ref)
	}
	slices.SortFunc(out, func(a, b work.TaskRef) int { return cmp.Compare(a.String(), b.String()) })
	return out
}

// crash ends the worker's life, and with it all it runs.
func (w *crashWorld) crash(id work.WorkerID) {
	l := w.lives[id]
	for _, ref := range l.tasks() {
		w.under[ref]++
		if t := w.core.find(ref); t != nil && t.step.spec.Gang {
			w.breakGang(ref.StepRef)
		}
	}
	l.dead, l.found = true, w.now+w.found
	w.returns = append(w.returns, crashReturn{at: w.now + crashAway, address: l.address})
}

// breakGang ends the runs of a gang that lost a member.
func (w *crashWorld) breakGang(step work.StepRef) {
	for _, id := range w.alive() {
		l := w.lives[id]
		for _, ref := range l.tasks() {
			if ref.StepRef == step {
				l.end(ref, work.GangBroken)
			}
		}
	}
}

func (l *crashLife) end(ref work.TaskRef, how work.End) {
	l.seq++
	l.ends = append(l.ends, RunEnd{Seq: l.seq, Task: ref, Run: l.runs[ref].run, How: how})
	delete(l.runs, ref)
}

func (w *crashWorld) start(s StartOrder) {
	l := w.lives[s.Worker.ID]
	if l == nil || l.dead {
		w.core.StartAnswered(s, OutcomeNotSent, 0, w.now)
		return
	}
	w.core.StartLeaves(s, w.now)
	ref := s.Start.Task
	w.starts[ref]++
	l.runs[ref] = crashRun{run: s.Start.Run, from: w.now}
	w.core.StartAnswered(s, OutcomeOK, w.now, w.now)
}

func (w *crashWorld) poll(id work.WorkerID) {
	l := w.lives[id]
	_, h, due := w.core.HoldFor(id, w.now)
	if !due || l.dead {
		return
	}
	listing := Listing{Clock: w.now, Ended: slices.Clone(l.ends)}
	for _, ref := range l.tasks() {
		listing.Running = append(listing.Running, Run{Task: ref, Run: l.runs[ref].run, Percent: fullPercent})
	}
	w.core.HoldAnswered(id, h, listing, w.now, w.now)
}

func (w *crashWorld) store() {
	if !w.stores {
		return
	}
	f := w.core.TakeFlush(100)
	for _, ch := range f.Changes {
		if ch.Final != "" {
			w.ended[ch.Job] = ch.Final
			if ch.Final == work.Completed {
				w.took[ch.Job] = w.now - w.core.jobs[ch.Job].accepted
				w.waited += w.took[ch.Job]
			}
			continue
		}
		w.progress[ch.Job] = decodeProgress(w.t, ch)
	}
	w.core.Flushed(f, nil)
}

// most is the most starts of any task of the job.
func (w *crashWorld) most(job work.JobID) int {
	n := 0
	for ref, starts := range w.starts {
		if ref.Job == job {
			n = max(n, starts)
		}
	}
	return n
}

// faulty has the first task of each of the jobs crash its worker so long after its start.
func (w *crashWorld) faulty(after time.Duration, jobs ...work.JobID) {
	w.crashes = func(ref work.TaskRef) time.Duration {
		if ref.Index == 0 && slices.Contains(jobs, ref.Job) {
			return after
		}
		return 0
	}
}

// crashStartsAllowed is how often a task that crashes its workers may be started: three
// crashes show it, and it must not be started three times more.
const crashStartsAllowed = 5

func assertGivenUp(t *testing.T, w *crashWorld, job work.JobID) {
	t.Helper()
	assert.Assert(t, w.most(job) <= crashStartsAllowed, "%s: started %d times", job, w.most(job))
	assert.Equal(t, w.ended[job], work.Failed)
}
