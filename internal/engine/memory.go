package engine

import (
	"slices"
	"unsafe"

	"github.com/pumicestage/pumicestage/internal/guard"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Memory of the parts of a job in bytes, with what Go's allocator adds. Texts and lists are counted
// apart.
const (
	jobBytes        = int64(unsafe.Sizeof(job{})) + mapEntryBytes
	occurrenceBytes = int64(unsafe.Sizeof(occurrence{})) + mapEntryBytes
	stepBytes       = int64(unsafe.Sizeof(step{})+unsafe.Sizeof(&step{})) + allocatorBytes
	taskBytes       = int64(unsafe.Sizeof(task{})+unsafe.Sizeof(&task{})) + allocatorBytes
	submittedBytes  = int64(unsafe.Sizeof(work.Step{}))
	numberBytes     = int64(unsafe.Sizeof(int(0)))

	mapEntryBytes  = 128
	allocatorBytes = 64

	// encodedStepBytes is the size of a step in a record or a message, beside its texts and lists:
	// field names and numbers.
	encodedStepBytes = 96
	// encodedCopies is how often a job that is on its way is held in encoded form: as a message or a
	// record, and as a part of the call to the store.
	encodedCopies = 3
)

// submittedSize returns the memory of the job as it was submitted.
func submittedSize(j *work.Job) int64 {
	n := int64(len(j.Spec))
	for i := range j.Steps {
		s := &j.Steps[i]
		n += submittedBytes + numberBytes*int64(len(s.After)) + int64(len(s.Requires)+len(s.DataRack)+len(s.Image))
	}
	return n
}

// BytesOnTheWay returns the memory that a job needs until its owner has stored it: as it was submitted,
// and in encoded form.
func BytesOnTheWay(j *work.Job) int64 {
	n := submittedSize(j)
	return n + encodedCopies*(n-(submittedBytes-encodedStepBytes)*int64(len(j.Steps)))
}

// maxCountedTasks bounds the number of tasks that is counted, so that the sum doesn't overflow.
const maxCountedTasks = 1 << 40

// occurrenceSize returns the memory of the steps and tasks of one occurrence.
func occurrenceSize(j *work.Job) int64 {
	tasks := 0
	for i := range j.Steps {
		tasks += min(j.Steps[i].Count, maxCountedTasks-tasks)
	}
	return occurrenceBytes + stepBytes*int64(len(j.Steps)) + taskBytes*int64(tasks)
}

// MaxUnownedBytes is the memory as an accepted job beyond which only an owner takes a job: without one,
// nobody knows whether there is memory for it. Ordinary jobs stay far below it.
const MaxUnownedBytes = 1 << 20

// AcceptedBytes returns the memory of an accepted job with one occurrence.
func AcceptedBytes(j *work.Job) int64 { return jobBytes + submittedSize(j) + occurrenceSize(j) }

// countMemory counts what the job needs at present: at least one occurrence until it has ended.
func (c *Core) countMemory(j *job) {
	occurrences := len(j.liveOccurrences)
	if j.final == "" {
		occurrences = max(1, occurrences)
	}
	n := j.ownBytes + j.bytesPerOccurrence*int64(occurrences)
	if n != j.countedBytes {
		c.memory.Charge(guard.Jobs, n-j.countedBytes)
		j.countedBytes = n
	}
}

// mayOpenOccurrence reports whether there is memory for another occurrence of the job. The first was
// counted when the job was accepted; others wait until there is.
func (c *Core) mayOpenOccurrence(j *job) bool {
	if len(j.liveOccurrences) == 0 {
		return true
	}
	held := j.bytesPerOccurrence * int64(len(j.liveOccurrences))
	return c.memory.Fits(guard.Jobs, held, j.bytesPerOccurrence)
}

// dropEndedWork drops the parts of a large job whose end is stored that no worker needs to be told about
// any more. Callers still ask for its state. Those of a small job are kept for its explanation.
func (c *Core) dropEndedWork(j *job) {
	if j.countedBytes <= guard.SmallBytes {
		c.countMemory(j)
		return
	}
	j.liveOccurrences = slices.DeleteFunc(j.liveOccurrences, func(o *occurrence) bool { return !o.onWorkers() })
	if len(j.liveOccurrences) == 0 {
		j.Steps, j.ownBytes = nil, jobBytes
	}
	c.countMemory(j)
}

// onWorkers reports whether a run of the occurrence is, or may be, on a worker.
func (o *occurrence) onWorkers() bool {
	for _, s := range o.steps {
		for _, t := range s.tasks {
			if t.worker != nil {
				return true
			}
		}
	}
	return false
}

// memoryShort reports whether there is no memory for another large job.
func (c *Core) memoryShort() bool {
	return !c.memory.Fits(guard.Jobs, guard.SmallBytes, guard.SmallBytes)
}

// canRun reports whether each step of the job finds a worker that is registered, which has its label and is
// large enough for one of its tasks.
func (c *Core) canRun(j *work.Job) bool {
	for i := range j.Steps {
		s := &j.Steps[i]
		found := slices.ContainsFunc(c.ordered(), func(w *worker) bool {
			return (s.Requires == "" || slices.Contains(w.info.Labels, s.Requires)) && s.Size.Fits(w.info.Capacity)
		})
		if !found {
			return false
		}
	}
	return true
}

// returnMemory gives back what all jobs are counted with, at the end of the term.
func (c *Core) returnMemory() {
	for _, j := range c.jobs {
		c.memory.Return(guard.Jobs, j.countedBytes)
		j.countedBytes = 0
	}
}
