package engine

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/crashes"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Progress is what the store holds of an open job beside its record. All of it
// must be stored before the ends it tells of are acknowledged.
type Progress struct {
	Next        int                  `json:"next,omitempty"` // number of the next occurrence
	Run         int                  `json:"run,omitempty"`  // highest run number of any task
	Occurrences []OccurrenceProgress `json:"occurrences,omitempty"`
}

// OccurrenceProgress is of one occurrence that has begun and not ended.
type OccurrenceProgress struct {
	Number int            `json:"number"`
	Steps  []StepProgress `json:"steps"`
}

// StepProgress is of one step.
type StepProgress struct {
	Done   []int          `json:"done,omitempty"`   // indexes of tasks that are done
	Failed map[int][]int  `json:"failed,omitempty"` // numbers of runs that failed, by index
	Saved  map[int]string `json:"saved,omitempty"`  // newest checkpoints, by index
	// Crashed holds the crashes of workers under tasks, by index.
	Crashed map[int]crashes.Record `json:"crashed,omitempty"`
	// Trials are the indexes of suspects whose next start may crash a worker. A later owner
	// that does not find it running takes it to have done so.
	Trials []int `json:"trials,omitempty"`
}

// Change is one job's progress to store.
type Change struct {
	Job       work.JobID
	Workspace work.WorkspaceName
	Final     work.State // set: the job has ended
	Progress  []byte     // else
	// Clear: an earlier progress of a job that has ended may be stored.
	Clear bool
}

// Flush is a set of changes under way to the store. Several may be at a time, no
// two of the same job.
type Flush struct {
	Changes []Change
}

// Entries a change takes in a transaction.
const (
	progressEntries = 1
	endEntries      = 2 // the short key and the record
	clearEntries    = 1 // the progress of a job that has ended
)

func (j *job) entries() int {
	switch {
	case j.final == "":
		return progressEntries
	case j.kept:
		return endEntries + clearEntries
	}
	return endEntries
}

// Dirty counts the jobs with changes to store that are not under way; final is how
// many of them ended.
func (c *Core) Dirty() (all, final int) {
	for id, j := range c.dirty {
		if _, flying := c.flying[id]; flying {
			continue
		}
		all++
		if j.final != "" {
			final++
		}
	}
	return all, final
}

// TakeFlush returns changes to store, as many as fit in so many entries, and none of
// a job of which an earlier one is under way: it could take effect after this one.
// Ended jobs go first, as their callers wait, then what has waited longest: ends
// are acknowledged up to the first whose effect is not stored, and were that to
// wait for a moment without any change, a busy cell would acknowledge nothing.
func (c *Core) TakeFlush(entries int) Flush {
	jobs := make([]*job, 0, len(c.dirty))
	for id, j := range c.dirty {
		if _, flying := c.flying[id]; !flying {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(b.entries(), a.entries()), cmp.Compare(a.touched, b.touched), cmp.Compare(a.ID, b.ID))
	})
	var f Flush
	for _, j := range jobs {
		if entries < j.entries() {
			continue
		}
		entries -= j.entries()
		delete(c.dirty, j.ID)
		c.flying[j.ID] = j.touched
		j.evidenceSent = j.evidence
		f.Changes = append(f.Changes, j.change())
	}
	return f
}

// storedMark is the first end taken in whose effect may not be stored.
func (c *Core) storedMark() int64 {
	mark := c.endings + 1
	for _, j := range c.dirty {
		mark = min(mark, j.touched)
	}
	for _, touched := range c.flying {
		mark = min(mark, touched)
	}
	return mark
}

// unacknowledged reports whether ends wait to be acknowledged, although nothing of
// them may need to be stored.
func (c *Core) unacknowledged() bool {
	for _, w := range c.workers {
		if w.stored < w.seen {
			return true
		}
	}
	return false
}

func (j *job) change() Change {
	if j.final != "" {
		return Change{Job: j.ID, Workspace: j.Workspace, Final: j.final, Clear: j.kept}
	}
	p := Progress{Next: j.next, Run: j.baseRun}
	for _, o := range j.live {
		op := OccurrenceProgress{Number: o.number}
		for _, s := range o.steps {
			sp := StepProgress{}
			for i, t := range s.tasks {
				p.Run = max(p.Run, t.run)
				if t.state == taskDone {
					sp.Done = append(sp.Done, i)
					continue
				}
				if len(t.failed) > 0 && !s.spec.LongRunning {
					sp.Failed = put(sp.Failed, i, t.failed)
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
		// Plain numbers and strings: it can't fail.
		panic(err)
	}
	return Change{Job: j.ID, Progress: raw}
}

func put[V any](m map[int]V, key int, v V) map[int]V {
	if m == nil {
		m = make(map[int]V)
	}
	m[key] = v
	return m
}

// Flushed says that the changes are stored, or with an error that they are not. It
// returns the idle workers that have ends to be acknowledged since.
func (c *Core) Flushed(f Flush, err error) []work.WorkerID {
	for _, ch := range f.Changes {
		touched := c.flying[ch.Job]
		delete(c.flying, ch.Job)
		j := c.jobs[ch.Job]
		switch {
		case j == nil:
		case err != nil:
			c.dirty[ch.Job] = j
			j.touched = touched
			// It may have taken effect all the same.
			j.kept = j.kept || ch.Final == ""
		case ch.Final != "":
			c.endStored(j)
		default:
			j.kept = true
			j.evidenceStored = j.evidenceSent
		}
	}
	if err != nil {
		return nil
	}
	var acknowledge []work.WorkerID
	mark := c.storedMark()
	for id, w := range c.workers {
		if w.advanceStored(mark) && len(w.tasks) == 0 {
			acknowledge = append(acknowledge, id)
		}
	}
	return acknowledge
}

func (c *Core) endStored(j *job) {
	j.stored = true
	for _, f := range j.onEnd {
		f(nil)
	}
	j.onEnd = nil
	c.stale = append(c.stale, staleJob{id: j.ID, at: c.now})
	// What still runs is stopped as strays or by its own stop orders; the
	// tasks are kept until their workers have ended them.
	j.Spec = ""
}

// keepEnded is how long an ended job is kept in memory. Callers ask for states
// mostly right after the end; later ones are answered from the store.
const keepEnded = 3 * time.Minute

// staleJob is a job that ended, and when that was stored.
type staleJob struct {
	id work.JobID
	at time.Duration
}

// forgetEnded drops jobs that ended long ago: a term may last for weeks.
func (c *Core) forgetEnded(now time.Duration) {
	for len(c.stale) > 0 && now > c.stale[0].at+keepEnded {
		id := c.stale[0].id
		c.stale = c.stale[1:]
		if c.stillRuns(id) {
			c.stale = append(c.stale, staleJob{id: id, at: now})
			continue
		}
		delete(c.jobs, id)
	}
}

// stillRuns reports whether a worker has something of the job. Its tasks are
// needed until they are certain to be over: they hold room there.
func (c *Core) stillRuns(id work.JobID) bool {
	for _, w := range c.workers {
		for ref := range w.tasks {
			if ref.Job == id {
				return true
			}
		}
	}
	return false
}

// Restore adds a job that was accepted before this owner took over.
func (c *Core) Restore(r *JobRecord, p *Progress, now time.Duration, wall time.Time) {
	if c.jobs[r.Job.ID] != nil {
		return
	}
	q := r.Queue
	if known, ok := c.declared.Queues[r.Job.Queue]; ok {
		q = known
	}
	q.Service = c.cell
	// Its age counts from the acceptance, by the wall clock of the VM that
	// took it; a clock that is off must not make it older than it can be.
	age := max(0, wall.Sub(r.Job.Accepted))
	j := newJob(r.Job, q, now-age)
	j.restored = true
	j.kept = p != nil
	if p != nil {
		j.restore(p)
	} else {
		j.baseRun = restoredRuns
	}
	c.add(j)
	j.eachTask(func(t *task) { c.updateSuspected(t, now) })
}

// restoredRuns is added to the run numbers of restored tasks. An earlier owner
// may have started some without a note of it, at most as often as a task may
// fail, lapse or be refused within its reign; a worker rejects a run that is not
// higher than one it ended.
const restoredRuns = 100

func (j *job) restore(p *Progress) {
	j.baseRun = p.Run + restoredRuns
	for _, op := range p.Occurrences {
		j.next = op.Number
		o := j.addOccurrence(j.accepted)
		for i := range op.Steps {
			o.steps[i].restore(&op.Steps[i])
		}
	}
	j.next = max(j.next, p.Next)
}

func (s *step) restore(p *StepProgress) {
	for _, i := range p.Done {
		if i < len(s.tasks) {
			s.set(s.tasks[i], taskDone)
			s.job.begun = true
		}
	}
	for i, runs := range p.Failed {
		if i < len(s.tasks) {
			s.tasks[i].failed = runs
			s.job.begun = true
		}
	}
	for i, record := range p.Crashed {
		if i < len(s.tasks) {
			s.tasks[i].crashes = record
			s.job.begun = true
		}
	}
	for _, i := range p.Trials {
		if i < len(s.tasks) {
			t := s.tasks[i]
			t.presumed = s.job.baseRun
			t.crashes = t.crashes.With(crashes.Crash{Run: t.presumed, Presumed: true})
		}
	}
	for i, saved := range p.Saved {
		if i < len(s.tasks) {
			s.tasks[i].checkpoint = saved
		}
	}
}

// Reaffirm ends the restoring of jobs: it opens what is due, as workers may
// list tasks of it with their first answer, and finishes what was complete.
func (c *Core) Reaffirm(now time.Duration, wall time.Time) {
	c.openOccurrences(now, wall)
	for _, j := range slices.Clone(c.open) {
		c.advance(j)
	}
}
