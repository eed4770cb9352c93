package jobfront_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/jobfront"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/work"
)

var (
	cancelSeeds = flag.Int("cancel-seeds", 24, "number of seeds for the model of cancellations")
	cancelFirst = flag.Uint64("cancel-first", 1, "first seed for the model of cancellations")
	// Without it, only lines about jobs with a violation are printed.
	cancelAllLines = flag.Bool("cancel-all-lines", false, "print all log lines of a failed seed of the model of cancellations")
)

// Times of the model.
const (
	// modelFaults is how long faults are injected. Most jobs are submitted and cancelled in it.
	modelFaults = 15 * time.Second
	// modelSettle is how long after the end of the faults each cancellation must be acknowledged and
	// each run of a cancelled job ended: late calls take effect within maxLateness, and leases that an
	// unreachable owner extended run out within another ten seconds.
	modelSettle = 20 * time.Second
	// modelQuiet is how long no run of a cancelled job may start after that.
	modelQuiet = 3 * time.Second
	// modelTakeOver is how long after a take-over its effects are awaited.
	modelTakeOver = 10 * time.Second
	// modelFinish is how long after the faults jobs that are not cancelled may take.
	modelFinish = 60 * time.Second
)

// modelJob is a job with what its callers were told about it.
type modelJob struct {
	*randomSource
	id        work.JobID
	workspace work.WorkspaceName
	step      work.Step
	kept      bool // its callers don't cancel it

	// Guarded by cancelModel.mu.
	accepted  bool          // a submission was answered with nil
	uncertain bool          // a submission may have taken effect, or still may
	ackedAt   time.Duration // when a cancellation was acknowledged; 0: none was
	ackedBy   string        // the entry VM and the answer
	cancels   int           // cancellations sent
	starts    []modelStart
}

// modelStart is the start of a run on a worker.
type modelStart struct {
	at    time.Duration
	task  work.TaskRef
	token int64
}

// submit has a caller submit the job, and repeat the request while the answer is uncertain. It reports
// whether the job was accepted.
func (m *cancelModel) submit(j *modelJob) bool {
	next := m.anyEntry(j.randomSource)
	for range 6 {
		v := next // a request that is read late keeps it
		err, answered := m.request(j.randomSource, v, func(ctx context.Context) error {
			copied := &work.Job{ID: j.id, Queue: modelQueue, Spec: "spec", Workspace: j.workspace, Steps: []work.Step{j.step}, Accepted: time.Now()}
			return v.front.Submit(ctx, copied, m.queueAt(v))
		})
		m.logf("caller: submission of %s to %s: answered %v, %v", j.id, v.name, answered, err)
		var refusal *jobfront.Refusal
		switch {
		case answered && err == nil:
			m.locked(func() { j.accepted = true })
			return true
		case answered && errors.As(err, &refusal):
			if j.chance(50) {
				return false
			}
			m.wait(j.randomSource, 200, 1200)
		case answered && j.kept && (errors.Is(err, engine.ErrOtherWorkspace) || errors.Is(err, engine.ErrCancelledEarly)):
			m.violate("%s: nobody of its workspace cancelled it, and its submission is refused: %v", j.id, err)
			return false
		default:
			m.locked(func() { j.uncertain = true })
			if j.chance(15) {
				return false
			}
			m.wait(j.randomSource, 1, 300)
		}
		next = m.entries[(slices.Index(m.entries, v)+1)%modelEntries]
	}
	return false
}

// cancel has a caller cancel the job until that is acknowledged or the model ends.
func (m *cancelModel) cancel(j *modelJob) {
	for m.ctx.Err() == nil {
		v := m.anyEntry(j.randomSource)
		m.locked(func() { j.cancels++ })
		err, answered := m.request(j.randomSource, v, func(ctx context.Context) error { return v.front.Cancel(ctx, j.id, m.queueAt(v), j.workspace) })
		m.logf("caller: cancellation of %s to %s: answered %v, %v", j.id, v.name, answered, err)
		if answered && (err == nil || errors.Is(err, jobfront.ErrUnknownJob)) {
			m.locked(func() {
				if j.ackedAt == 0 {
					j.ackedAt, j.ackedBy = m.now(), fmt.Sprintf("%s: %v", v.name, err)
				}
			})
			return
		}
		m.wait(j.randomSource, 10, 400)
	}
}

// cancelByOther has a caller of another workspace cancel the job, which must have no effect.
func (m *cancelModel) cancelByOther(j *modelJob) {
	v := m.anyEntry(j.randomSource)
	err, answered := m.request(j.randomSource, v, func(ctx context.Context) error { return v.front.Cancel(ctx, j.id, m.queueAt(v), "other") })
	m.logf("caller of another workspace: cancellation of %s to %s: answered %v, %v", j.id, v.name, answered, err)
	if answered && err == nil {
		m.violate("%s of workspace %q is cancelled for another workspace", j.id, j.workspace)
	}
}

// runJob simulates the callers of one job.
func (m *cancelModel) runJob(j *modelJob) {
	if m.bursts == 0 {
		m.wait(j.randomSource, 0, int(modelFaults/time.Millisecond)-3000)
	} else {
		m.wait(j.randomSource, 0, 50)
		sleep.For(m.ctx, time.Duration(1+j.intN(m.bursts))*burstInterval)
	}
	if j.workspace != "" && j.chance(30) {
		m.tasks.Go(func() { // the other workspace uses the same ID
			m.wait(j.randomSource, 0, 200)
			m.cancelByOther(j)
		})
		m.wait(j.randomSource, 0, 200)
	}
	accepted := m.submit(j)
	if accepted && j.chance(30) {
		m.tasks.Go(func() { // a repeated request that arrives seconds after its answer
			m.wait(j.randomSource, 0, 4000)
			m.submit(j)
		})
	}
	if accepted && j.workspace != "" && j.chance(50) {
		m.wait(j.randomSource, 0, 1000)
		m.cancelByOther(j)
	}
	if j.kept {
		return
	}
	m.wait(j.randomSource, 0, []int{30, 100, 300, 2000}[j.intN(4)])
	if j.chance(15) {
		m.tasks.Go(func() { m.cancel(j) }) // two requests at the same time
	}
	m.cancel(j)
}

// check reports what the callers were promised and did not get. It is called modelSettle after the end of
// the faults, and waits.
func (m *cancelModel) check() {
	settled := m.now()
	for _, j := range m.jobs {
		m.locked(func() {
			if j.cancels > 0 && j.ackedAt == 0 {
				m.violateLocked("%s: no cancellation was acknowledged within %s after the faults", j.id, modelSettle)
			}
		})
	}
	m.checkCancelledAreGone("after the faults")
	m.checkStore()
	if m.chance(50) {
		// Whatever is still stored as open would run again.
		for _, cell := range modelCells {
			m.owner(cell).End("the model ends it")
		}
		sleep.For(m.ctx, modelTakeOver)
	}
	sleep.For(m.ctx, modelQuiet)
	m.checkCancelledAreGone("later")
	for _, j := range m.jobs {
		m.locked(func() {
			if n := len(j.starts); j.ackedAt != 0 && n > 0 && j.starts[n-1].at > settled {
				m.violateLocked("%s: %s starts %s after the cancellation was acknowledged (%s)", j.id, j.starts[n-1].task, j.starts[n-1].at-j.ackedAt, j.ackedBy)
			}
		})
	}
	for m.now() < settled+modelFinish-modelSettle && len(m.unfinished()) > 0 {
		sleep.For(m.ctx, 200*time.Millisecond)
	}
	for _, id := range m.unfinished() {
		m.violate("%s is accepted and neither cancelled nor at its end", id)
	}
	for _, j := range m.jobs {
		m.locked(func() {
			if !j.accepted && !j.uncertain && len(j.starts) > 0 {
				m.violateLocked("%s: every submission was refused, and it ran", j.id)
			}
		})
	}
}

// checkStore reports what the store still holds of cancelled jobs, and inbox messages that no owner handled.
func (m *cancelModel) checkStore() {
	for _, cell := range modelCells {
		inbox, _, err := m.store.Range(m.ctx, infra.WorkInboxPrefix(cell))
		assert.NilError(m.t, err)
		for _, kv := range inbox {
			m.violate("inbox message %s is not handled", kv.Key)
		}
		for _, j := range m.jobs {
			var acked bool
			m.locked(func() { acked = j.ackedAt != 0 })
			open, _, err := m.store.Get(m.ctx, infra.WorkOpenKey(cell, string(j.id)))
			assert.NilError(m.t, err)
			if acked && open.ModRevision != 0 {
				m.violate("%s: its cancellation was acknowledged (%s), and its record is stored", j.id, j.ackedBy)
			}
		}
	}
}

// checkCancelledAreGone reports the runs on workers of jobs whose cancellation was acknowledged.
func (m *cancelModel) checkCancelledAreGone(when string) {
	running := m.running()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, j := range m.jobs {
		if n := running[j.id]; n > 0 && j.ackedAt != 0 {
			m.violateLocked("%s: %d runs go on %s, %s after the cancellation was acknowledged (%s)", j.id, n, when, m.now()-j.ackedAt, j.ackedBy)
		}
	}
}

// unfinished returns the accepted jobs that are not cancelled and have not ended, or have no running task
// if they run until they are cancelled.
func (m *cancelModel) unfinished() []work.JobID {
	running := m.running()
	var out []work.JobID
	for _, j := range m.jobs {
		var open bool
		m.locked(func() { open = j.accepted && j.cancels == 0 })
		switch {
		case !open:
		case j.step.LongRunning && running[j.id] < j.step.Count, !j.step.LongRunning && m.storedState(j.id) != work.Completed:
			out = append(out, j.id)
		}
	}
	return out
}

// runCancelModel runs the model with the seed and returns the violations with the log lines about their
// jobs. Fake time makes the sequence of events nearly, but not wholly, a function of the seed: goroutines
// that wake at the same time run in any order.
func runCancelModel(t *testing.T, seed uint64) (violations, lines []string) {
	synctest.Test(t, func(t *testing.T) {
		m := newCancelModel(t, seed)
		m.begin()
		for _, j := range m.jobs {
			m.tasks.Go(func() { m.runJob(j) })
		}
		sleep.For(m.ctx, modelFaults)
		m.heal()
		sleep.For(m.ctx, modelSettle)
		m.check()
		m.end()
		violations = m.violations
		for _, line := range m.lines {
			if *cancelAllLines || slices.ContainsFunc(m.jobs, func(j *modelJob) bool { return m.suspect[j.id] && strings.Contains(line, string(j.id)) }) {
				lines = append(lines, line)
			}
		}
		maps.DeleteFunc(m.counts, func(_ string, n int) bool { return n == 0 })
		t.Logf("counts: %v", m.counts)
	})
	return violations, lines
}

// Guards against tasks that run on, or start, after the cancellation of their job was acknowledged by any
// entry VM and on any ground, while answers of the store, of owners and of workers are lost or late, calls
// take effect seconds later, owners change, and a queue moves to another service. Jobs that are not
// cancelled must end, and refused ones must never run.
func TestAcknowledgedCancellationsHoldThroughLateAnswersAndTakeOvers(t *testing.T) {
	for i := range *cancelSeeds {
		seed := *cancelFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			violations, lines := runCancelModel(t, seed)
			assert.Equal(t, len(violations), 0, "%s\n\n%s", strings.Join(violations, "\n"), strings.Join(lines, "\n"))
		})
	}
}

// queueAt returns the queue of the model's jobs as the entry VM's configuration has it.
func (m *cancelModel) queueAt(v *entryVM) engine.Queue {
	q := engine.Queue{Name: modelQueue, Service: modelCells[0], MaxAttempts: 50}
	if m.now() >= v.configuredAt {
		q.Service = modelCells[1]
	}
	return q
}
