package engine

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/internal/guard"
	"github.com/pumicestage/pumicestage/policy/crashes"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Progress is the stored progress of a job that has not ended, beside its record. It must be
// stored before the ends of runs that it reflects are acknowledged to their workers, which
// then forget them.
type Progress struct {
	Next        int                  `json:"next,omitempty"` // number of the next occurrence to begin
	Run         int                  `json:"run,omitempty"`  // highest run number of any task
	Occurrences []OccurrenceProgress `json:"occurrences,omitempty"`
	// Unreadable is set if earlier progress of the job could not be read: the rest then holds only
	// what owners have learned since.
	Unreadable *UnreadableProgress `json:"unreadable,omitempty"`
	// Merged is set on the result of mergeProgress. No owner has counted the failures and crashes of
	// both parts together.
	Merged bool `json:"-"`
}

// OccurrenceProgress is the progress of an occurrence that has begun and not ended.
type OccurrenceProgress struct {
	Number int            `json:"number"`
	Steps  []StepProgress `json:"steps"`
}

// StepProgress is the progress of a step. Its maps and lists refer to tasks by index.
type StepProgress struct {
	Done   []int          `json:"done,omitempty"`   // tasks that are done
	Failed map[int][]int  `json:"failed,omitempty"` // numbers of a task's failed runs
	Saved  map[int]string `json:"saved,omitempty"`  // a task's newest checkpoint
	// Crashed holds the crashes of workers that happened while they ran a task.
	Crashed map[int]crashes.Record `json:"crashed,omitempty"`
	// Trials lists suspect tasks, whose next start may crash a worker. A later owner that
	// does not find such a task running presumes that it did.
	Trials []int `json:"trials,omitempty"`
}

// Change is a job's new progress or end, to be stored.
type Change struct {
	Job       work.JobID
	Workspace work.WorkspaceName
	Final     work.State // state in which the job ended; empty: it has not
	Progress  []byte     // encoded Progress of a job that has not ended
	// DeleteProgress is set for a job that has ended if progress of it may be stored.
	DeleteProgress bool
}

// Flush is a set of changes in flight to the store. Several flushes may be in flight, but
// never two with the same job.
type Flush struct {
	Changes []Change
}

// Numbers of transaction entries that a change takes.
const (
	progressEntries = 1
	endEntries      = 2 // the job key is written, the record deleted
	clearEntries    = 1 // the stored progress of an ended job is deleted
)

// entries returns the number of transaction entries for the job's pending change.
func (j *job) entries() int {
	switch {
	case j.final == "":
		return progressEntries
	case j.progressStored:
		return endEntries + clearEntries
	}
	return endEntries
}

// Dirty returns the number of jobs with changes to store, without those that have a change in
// flight; final is how many of them have ended.
func (c *Core) Dirty() (all, final int) {
	for id, j := range c.dirty {
		if _, flying := c.storing[id]; flying {
			continue
		}
		all++
		if j.final != "" {
			final++
		}
	}
	return all, final
}

// TakeFlush returns changes to store, as many as fit in the given number of transaction
// entries. It skips jobs with an earlier change in flight, which could take effect after this
// one. Ended jobs come first, since their callers wait, and then the jobs that have been dirty
// longest: workers' ends are acknowledged only up to the first whose effect is not stored,
// and if old changes had to wait for a moment without newer ones, a busy cell would
// acknowledge nothing.
func (c *Core) TakeFlush(entries int) Flush {
	jobs := make([]*job, 0, len(c.dirty))
	for id, j := range c.dirty {
		if _, flying := c.storing[id]; !flying {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(b.entries(), a.entries()), cmp.Compare(a.dirtySinceEnd, b.dirtySinceEnd), cmp.Compare(a.ID, b.ID))
	})
	var f Flush
	for _, j := range jobs {
		if entries < j.entries() {
			continue
		}
		entries -= j.entries()
		delete(c.dirty, j.ID)
		c.storing[j.ID] = j.dirtySinceEnd
		j.evidenceSent = j.evidence
		f.Changes = append(f.Changes, j.change())
	}
	return f
}

// firstUnstoredEnd returns the number of the first end of a run whose effect may not be
// stored yet, counted over all ends that this owner received.
func (c *Core) firstUnstoredEnd() int64 {
	mark := c.endsSeen + 1
	for _, j := range c.dirty {
		mark = min(mark, j.dirtySinceEnd)
	}
	for _, touched := range c.storing {
		mark = min(mark, touched)
	}
	return mark
}

// hasUnacknowledgedEnds reports whether ends of runs are yet to be acknowledged to a worker.
// That may hold with nothing left to store.
func (c *Core) hasUnacknowledgedEnds() bool {
	for _, w := range c.workers {
		if w.stored < w.seen {
			return true
		}
	}
	return false
}

// change returns the job's present progress, or its end.
func (j *job) change() Change {
	if j.final != "" {
		return Change{Job: j.ID, Workspace: j.Workspace, Final: j.final, DeleteProgress: j.progressStored}
	}
	p := Progress{Next: j.nextOccurrence, Run: j.baseRun, Unreadable: j.unreadable}
	for _, o := range j.liveOccurrences {
		op := OccurrenceProgress{Number: o.number}
		for _, s := range o.steps {
			sp := StepProgress{}
			for i, t := range s.tasks {
				p.Run = max(p.Run, t.run)
				if t.state == taskDone {
					sp.Done = append(sp.Done, i)
					continue
				}
				if len(t.failedRuns) > 0 && !s.spec.LongRunning {
					sp.Failed = put(sp.Failed, i, t.failedRuns)
				}
				if len(t.crashes) > 0 {
					sp.Crashed = put(sp.Crashed, i, t.crashes)
				}
				if t.onTrial() {
					sp.Trials = append(sp.Trials, i)
				}
				if t.checkpoint != "" {
					sp.Saved = put(sp.Saved, i, t.checkpoint)
				}
			}
			op.Steps = append(op.Steps, sp)
		}
		p.Occurrences = append(p.Occurrences, op)
	}
	raw, err := json.Marshal(p)
	if err != nil {
		panic(err) // plain numbers and strings always marshal
	}
	return Change{Job: j.ID, Progress: raw}
}

// put sets m[key] and returns m, which it makes if it is nil.
func put[V any](m map[int]V, key int, v V) map[int]V {
	if m == nil {
		m = make(map[int]V)
	}
	m[key] = v
	return m
}

// Flushed tells the core the outcome of a flush: nil if the changes are stored, else an error,
// after which they may or may not be and are sent again. It returns the workers without tasks
// whose ends can be acknowledged now.
func (c *Core) Flushed(f Flush, err error) []work.WorkerID {
	for _, ch := range f.Changes {
		touched := c.storing[ch.Job]
		delete(c.storing, ch.Job)
		j := c.jobs[ch.Job]
		switch {
		case j == nil:
		case err != nil:
			c.dirty[ch.Job] = j
			j.dirtySinceEnd = touched
			// The write may have taken effect despite the error.
			j.progressStored = j.progressStored || ch.Final == ""
		case ch.Final != "":
			c.endStored(j)
		default:
			j.progressStored = true
			j.evidenceStored = j.evidenceSent
		}
	}
	if err != nil {
		return nil
	}
	var acknowledge []work.WorkerID
	mark := c.firstUnstoredEnd()
	for id, w := range c.workers {
		if w.advanceStored(mark) && len(w.tasks) == 0 {
			acknowledge = append(acknowledge, id)
		}
	}
	return acknowledge
}

// endStored completes a job whose end is stored and answers the callers that wait for that.
func (c *Core) endStored(j *job) {
	j.stored = true
	for _, f := range j.onEnd {
		f(nil)
	}
	j.onEnd = nil
	c.endedJobs = append(c.endedJobs, endedJob{id: j.ID, at: c.now})
	// Runs that remain are stopped by their stop orders or as orphaned runs; the tasks
	// are kept until their workers have ended them.
	j.Spec = ""
	c.dropEndedWork(j)
}

// keepEnded is how long an ended job is kept in memory. Callers mostly query a job right
// after its end; later queries are answered from the store.
const keepEnded = 3 * time.Minute

// endedJob is an ended job and the time at which its end was stored.
type endedJob struct {
	id work.JobID
	at time.Duration
}

// forgetEnded drops jobs that ended more than keepEnded ago, and others while memory is short. A term
// may last for weeks, in which they would fill the memory.
func (c *Core) forgetEnded(now time.Duration) {
	for range len(c.endedJobs) {
		if now <= c.endedJobs[0].at+keepEnded && !c.memoryShort() {
			return
		}
		id := c.endedJobs[0].id
		c.endedJobs = c.endedJobs[1:]
		if c.hasTasksOnWorkers(id) {
			c.endedJobs = append(c.endedJobs, endedJob{id: id, at: now})
			continue
		}
		c.memory.Return(guard.Jobs, c.jobs[id].countedBytes)
		delete(c.jobs, id)
	}
}

// hasTasksOnWorkers reports whether a worker still has tasks of the job. They are needed until
// they are certain to have ended, as they occupy capacity there.
func (c *Core) hasTasksOnWorkers(id work.JobID) bool {
	for _, w := range c.workers {
		for ref := range w.tasks {
			if ref.Job == id {
				return true
			}
		}
	}
	return false
}

// Restore adds a job that was accepted before this owner took over; p is nil if no progress
// is stored. now and wall are the present on the engine's and the wall clock.
func (c *Core) Restore(r *JobRecord, p *Progress, now time.Duration, wall time.Time) {
	if c.jobs[r.Job.ID] != nil {
		return
	}
	q := r.Queue
	if known, ok := c.declared.Queues[r.Job.Queue]; ok {
		q = known
	}
	q.Service = c.cell
	// The age counts from the acceptance by the wall clock of the VM that accepted the
	// job. If that clock is ahead of this one, the age counts as 0.
	age := max(0, wall.Sub(r.Job.Accepted))
	j := newJob(r.Job, q, now-age)
	j.restored = true
	j.progressStored = p != nil
	if p != nil {
		j.restore(p)
	} else {
		j.baseRun = restoredRunOffset
	}
	c.add(j)
	j.eachTask(func(t *task) { c.updateSuspected(t, now) })
	if p != nil && p.Merged {
		c.failExhausted(j, now)
	}
}

// restoredRunOffset is added to the run numbers of restored tasks. An earlier owner may have
// started runs that are not stored, at most as many as a task may fail, lose its lease or be
// refused in one term, and a worker rejects a run whose number is not higher than that of
// one it ended.
const restoredRunOffset = 100

// restore sets the job's state from its stored progress.
func (j *job) restore(p *Progress) {
	j.baseRun = p.Run + restoredRunOffset
	if p.Unreadable != nil {
		j.unreadable = p.Unreadable
		j.begun = true // progress is first stored after a start
	}
	for _, op := range p.Occurrences {
		j.nextOccurrence = op.Number
		o := j.addOccurrence(j.accepted)
		for i := range op.Steps {
			o.steps[i].restore(&op.Steps[i])
		}
	}
	j.nextOccurrence = max(j.nextOccurrence, p.Next)
}

// restore sets the state of the step's tasks. p must fit the step, see Progress.check.
func (s *step) restore(p *StepProgress) {
	for _, i := range p.Done {
		s.set(s.tasks[i], taskDone)
		s.job.begun = true
	}
	for i, runs := range p.Failed {
		s.tasks[i].failedRuns = runs
		s.job.begun = true
	}
	for i, record := range p.Crashed {
		s.tasks[i].crashes = record
		s.job.begun = true
	}
	for _, i := range p.Trials {
		t := s.tasks[i]
		t.presumedRun = s.job.baseRun
		t.crashes = t.crashes.With(crashes.Crash{Run: t.presumedRun, Presumed: true})
	}
	for i, saved := range p.Saved {
		s.tasks[i].checkpoint = saved
	}
}

// FinishRestore is called after the last Restore. It opens occurrences that are due, since
// workers may list tasks of them in their first answer, and ends jobs that are complete.
func (c *Core) FinishRestore(now time.Duration, wall time.Time) {
	c.openOccurrences(now, wall)
	for _, j := range slices.Clone(c.open) {
		c.advance(j)
	}
}
