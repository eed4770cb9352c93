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

// crashSim simulates a cell whose workers crash, because of a task or spontaneously, and
// return as another incarnation after a while.
type crashSim struct {
	rig
	rng            *rand.Rand
	simWorkers     map[work.WorkerID]*simWorker
	joined         int
	returns        []vmReturn
	progress       map[work.JobID]*Progress
	records        map[work.JobID]*JobRecord
	ended          map[work.JobID]work.State
	detectionDelay time.Duration // from a crash until the list of VMs shows it
	storeAvailable bool          // the store accepts changes
	vmAbsence      time.Duration // from a crash until the VM is back
	noticeDelay    time.Duration // from a crash until polls of the worker fail
	// keepsID reports whether the worker that follows a crashed one has its ID; nil: none has.
	keepsID func() bool

	// spontaneousRate is the probability per second that a worker crashes without a task as the cause.
	spontaneousRate     float64
	crashAfter          func(work.TaskRef) time.Duration // how long after its start a task crashes its worker; 0: never
	workTime            func(work.TaskRef) time.Duration // how long a task works; 0: it never ends
	starts              map[work.TaskRef]int
	crashesUnder        map[work.TaskRef]int // crashes under each task
	taskCrashes         int                  // workers that were crashed by a task, see crashAfter
	completionTimes     map[work.JobID]time.Duration
	totalCompletionTime time.Duration // sum over all completed jobs, from acceptance to end
}

// vmReturn is the return of a VM with a new worker.
type vmReturn struct {
	at      time.Duration
	address string
	id      work.WorkerID // of the new worker; empty: a new one
}

// simWorker is one incarnation of a simulated worker.
type simWorker struct {
	address    string
	born       work.Incarnation
	runs       map[work.TaskRef]simRun
	ends       []RunEnd
	seq        int64
	dead       bool
	noticedAt  time.Duration // when polls of it fail
	detectedAt time.Duration // when the list of VMs shows that it has ended
}

type simRun struct {
	run  int
	from time.Duration
}

// Times of the simulation.
const (
	simTick           = 10 * time.Millisecond
	simDetectionDelay = 170 * time.Millisecond
	simVMAbsence      = 3 * time.Second // from a crash until the VM is back
	simPollInterval   = 100 * time.Millisecond
)

func newCrashSim(t testing.TB, workers int) *crashSim { return newSeededCrashSim(t, workers, 1) }

func newSeededCrashSim(t testing.TB, workers int, seed uint64) *crashSim {
	w := &crashSim{
		rig: rig{t: t, now: time.Hour, wall: epoch}, rng: rand.New(rand.NewPCG(seed, 1)),
		simWorkers: make(map[work.WorkerID]*simWorker), progress: make(map[work.JobID]*Progress), records: make(map[work.JobID]*JobRecord),
		ended: make(map[work.JobID]work.State), storeAvailable: true, detectionDelay: simDetectionDelay, vmAbsence: simVMAbsence,
		crashAfter: func(work.TaskRef) time.Duration { return 0 },
		workTime:   func(work.TaskRef) time.Duration { return time.Second },
		starts:     make(map[work.TaskRef]int), crashesUnder: make(map[work.TaskRef]int),
		completionTimes: make(map[work.JobID]time.Duration),
	}
	w.core = w.successor(token)
	for i := range workers {
		w.join(fmt.Sprintf("v%d:80", i), "")
	}
	return w
}

// between returns a random duration of at least from and less than to, in whole milliseconds.
func (w *crashSim) between(from, to time.Duration) time.Duration {
	return from + time.Duration(w.rng.IntN(int((to-from)/time.Millisecond)))*time.Millisecond
}

// join adds a worker on the VM with the address. It has that ID, or a new one if that is empty.
func (w *crashSim) join(address string, id work.WorkerID) {
	w.joined++
	if id == "" {
		id = work.WorkerID(fmt.Sprintf("w%d", w.joined))
	}
	w.simWorkers[id] = &simWorker{address: address, born: work.Incarnation(w.joined), runs: make(map[work.TaskRef]simRun)}
	w.register(id)
}

func (w *crashSim) register(id work.WorkerID) {
	i := info(id)
	i.Address, i.Incarnation = w.simWorkers[id].address, w.simWorkers[id].born
	w.core.WorkerRegistered(i)
	w.poll(id)
}

// submit accepts a job and stores it.
func (w *crashSim) submit(id work.JobID, steps ...work.Step) {
	w.accept(id, steps...)
	job := w.core.jobs[id].Job
	w.records[id] = &JobRecord{Job: &job, Queue: w.core.declared.Queues[queue]}
}

// takeOver replaces the owner by one that knows only what is stored.
func (w *crashSim) takeOver() {
	w.core = w.successor(w.core.token + 1)
	for _, id := range sortedIDs(w.records) {
		if w.ended[id] == "" {
			w.core.Restore(w.records[id], w.progress[id], w.now, w.wall)
		}
	}
	w.core.FinishRestore(w.now, w.wall)
	w.core.InheritLeases(w.now + inheritedLeaseTime())
	var vms []work.VM
	for _, id := range w.alive() {
		vms = append(vms, vm("v-"+string(id), id))
	}
	w.core.SetFleet(vms)
	for _, id := range append(w.alive(), w.dead()...) {
		w.register(id)
	}
}

func (w *crashSim) alive() []work.WorkerID { return w.workerIDs(false) }

func (w *crashSim) dead() []work.WorkerID { return w.workerIDs(true) }

// workerIDs returns, sorted, the IDs of the workers that have crashed if dead is set, otherwise of
// those that run.
func (w *crashSim) workerIDs(dead bool) []work.WorkerID {
	var out []work.WorkerID
	for id, l := range w.simWorkers {
		if l.dead == dead {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// run advances the simulation by d.
func (w *crashSim) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += simTick
		w.advance()
		for _, s := range w.core.Plan(w.now, w.wall).Starts {
			w.start(s)
		}
		if w.now%simPollInterval < simTick {
			for _, id := range w.alive() {
				w.poll(id)
			}
		}
		w.store()
	}
}

// advance ends the tasks whose work is done, crashes workers because of a faulty task or
// spontaneously, reports crashed workers to the core, and lets VMs return with a new worker.
func (w *crashSim) advance() {
	for _, id := range w.alive() {
		l := w.simWorkers[id]
		for _, ref := range l.tasks() {
			lasted := w.now - l.runs[ref].from
			if after := w.crashAfter(ref); after > 0 && lasted >= after {
				w.taskCrashes++
				w.crash(id)
				break
			}
			if takes := w.workTime(ref); takes > 0 && lasted >= takes {
				l.end(ref, work.Done)
			}
		}
	}
	for _, id := range w.alive() {
		if w.rng.Float64() < w.spontaneousRate*simTick.Seconds() {
			w.crash(id)
		}
	}
	for _, id := range w.dead() {
		l := w.simWorkers[id]
		switch {
		case w.now >= l.detectedAt:
			delete(w.simWorkers, id)
			w.core.WorkerGone(id, "its VM runs another incarnation or none", w.now)
		case w.now >= l.noticedAt:
			w.core.PollFailed(id, OutcomeNotSent, w.now)
		}
	}
	for len(w.returns) > 0 && w.now >= w.returns[0].at {
		r := w.returns[0]
		w.returns = w.returns[1:]
		w.join(r.address, r.id)
	}
}

func (l *simWorker) tasks() []work.TaskRef {
	var out []work.TaskRef
	for ref := range l.runs {
		out = append(out, ref)
	}
	slices.SortFunc(out, func(a, b work.TaskRef) int { return cmp.Compare(a.String(), b.String()) })
	return out
}

// crash ends the worker's incarnation, and with it all its runs.
func (w *crashSim) crash(id work.WorkerID) {
	l := w.simWorkers[id]
	for _, ref := range l.tasks() {
		w.crashesUnder[ref]++
		if t := w.core.find(ref); t != nil && t.step.spec.Gang {
			w.breakGang(ref.StepRef)
		}
	}
	l.dead, l.noticedAt = true, w.now+w.noticeDelay
	l.detectedAt = l.noticedAt + w.detectionDelay
	next := vmReturn{at: w.now + w.vmAbsence, address: l.address}
	if w.keepsID != nil && w.keepsID() {
		next.id = id
	}
	w.returns = append(w.returns, next)
}

// breakGang ends the runs of a gang that lost a member.
func (w *crashSim) breakGang(step work.StepRef) {
	for _, id := range w.alive() {
		l := w.simWorkers[id]
		for _, ref := range l.tasks() {
			if ref.StepRef == step {
				l.end(ref, work.GangBroken)
			}
		}
	}
}

func (l *simWorker) end(ref work.TaskRef, how work.End) {
	l.seq++
	l.ends = append(l.ends, RunEnd{Seq: l.seq, Task: ref, Run: l.runs[ref].run, How: how})
	delete(l.runs, ref)
}

func (w *crashSim) start(s StartOrder) {
	l := w.simWorkers[s.Worker.ID]
	if l == nil || l.dead {
		w.core.StartAnswered(s, OutcomeNotSent, 0, w.now)
		return
	}
	w.core.StartSending(s, w.now)
	ref := s.Start.Task
	w.starts[ref]++
	l.runs[ref] = simRun{run: s.Start.Run, from: w.now}
	w.core.StartAnswered(s, OutcomeOK, w.now, w.now)
}

func (w *crashSim) poll(id work.WorkerID) {
	l := w.simWorkers[id]
	_, h, due := w.core.NextPoll(id, w.now)
	if !due || l.dead {
		return
	}
	listing := Listing{Clock: w.now, Life: l.born, Ended: slices.Clone(l.ends)}
	for _, ref := range l.tasks() {
		listing.Running = append(listing.Running, Run{Task: ref, Run: l.runs[ref].run, Percent: fullPercent})
	}
	w.core.PollAnswered(id, h, listing, w.now, w.now)
}

func (w *crashSim) store() {
	if !w.storeAvailable {
		return
	}
	f := w.core.TakeFlush(100)
	for _, ch := range f.Changes {
		if ch.Final != "" {
			w.ended[ch.Job] = ch.Final
			if ch.Final == work.Completed {
				w.completionTimes[ch.Job] = w.now - w.core.jobs[ch.Job].accepted
				w.totalCompletionTime += w.completionTimes[ch.Job]
			}
			continue
		}
		w.progress[ch.Job] = decodeProgress(w.t, ch)
	}
	w.core.Flushed(f, nil)
}

// maxStarts returns the largest number of starts of any task of the job.
func (w *crashSim) maxStarts(job work.JobID) int {
	n := 0
	for ref, starts := range w.starts {
		if ref.Job == job {
			n = max(n, starts)
		}
	}
	return n
}

// setFaulty has the first task of each of the jobs crash its worker that long after its start.
func (w *crashSim) setFaulty(after time.Duration, jobs ...work.JobID) {
	w.crashAfter = func(ref work.TaskRef) time.Duration {
		if ref.Index == 0 && slices.Contains(jobs, ref.Job) {
			return after
		}
		return 0
	}
}

// maxStartsOfPoison is the maximum number of starts of a task that crashes every worker that starts
// it: three crashes prove the fault, and fewer than three further starts may follow.
const maxStartsOfPoison = 5

func assertGivenUp(t *testing.T, w *crashSim, job work.JobID) {
	t.Helper()
	assert.Assert(t, w.maxStarts(job) <= maxStartsOfPoison, "%s: started %d times", job, w.maxStarts(job))
	assert.Equal(t, w.ended[job], work.Failed)
}
