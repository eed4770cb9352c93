package engine

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/policy/crashes"
	"github.com/pumicestage/pumicestage/policy/work"
)

// storedRig is a rig whose owners leave their state in a store, from which the next owner takes over.
type storedRig struct {
	*rig
	engine *Engine
	store  infra.Store
}

// rigTime is the clock of a rig.
type rigTime struct{ *rig }

func (c rigTime) Now() time.Duration { return c.now }
func (c rigTime) Wall() time.Time    { return c.wall }

func newStoredRig(t *testing.T) *storedRig {
	b := &storedRig{rig: newRig(t), store: memstore.New(clockwork.NewFakeClock())}
	b.takeOver()
	return b
}

// takeOver has another owner restore the cell. Its workers are w1 and w2, which it has not polled.
func (b *storedRig) takeOver() {
	b.t.Helper()
	declared := b.core.declared
	b.engine = New(Options{
		Cell: service, Store: b.store, Clock: rigTime{b.rig}, Log: logr.Discard(), Term: &fakeTerm{certain: true}, Bounds: rigBounds,
		Registry: func() []WorkerInfo { return []WorkerInfo{info("w1"), info("w2")} },
		Declared: func() Declared { return declared },
	})
	assert.NilError(b.t, b.engine.load(b.t.Context(), false))
	b.engine.restored = true
	b.core = b.engine.core
	b.core.AllowUntil(b.now + time.Hour)
	b.core.SetCertain(true)
	b.core.SetFleet([]work.VM{vm("v1", "w1"), vm("v2", "w2")})
}

// submit stores a job and has the owner accept it.
func (b *storedRig) submit(j *work.Job) {
	b.t.Helper()
	j.Queue, j.Spec, j.Accepted = queue, "spec", b.wall
	q := b.core.declared.Queues[queue]
	ops, err := CreateOps(service, j, q)
	assert.NilError(b.t, err)
	b.write(ops...)
	b.core.Accept(j, q, b.now)
}

// flush stores all pending changes.
func (b *storedRig) flush() {
	b.t.Helper()
	f := b.core.TakeFlush(100)
	for _, ch := range f.Changes {
		b.write(b.engine.writer.changeOps(ch)...)
	}
	b.core.Flushed(f, nil)
}

func (b *storedRig) write(ops ...infra.Op) {
	b.t.Helper()
	_, err := b.store.Txn(b.t.Context(), infra.Txn{Then: ops})
	assert.NilError(b.t, err)
}

// progressOf returns the stored progress of the job; empty if there is none.
func (b *storedRig) progressOf(id work.JobID) string {
	b.t.Helper()
	kv, _, err := b.store.Get(b.t.Context(), infra.WorkProgressKey(service, string(id)))
	assert.NilError(b.t, err)
	return string(kv.Value)
}

// overwriteProgress has another writer replace the stored progress of the job.
func (b *storedRig) overwriteProgress(id work.JobID, value string) {
	b.t.Helper()
	b.write(infra.Put(infra.WorkProgressKey(service, string(id)), []byte(value)))
}

// startAll plans, has every start carried out and returns them by task.
func (b *storedRig) startAll() map[string]StartOrder {
	b.t.Helper()
	o := b.plan()
	b.answer(o, OutcomeOK)
	out := make(map[string]StartOrder)
	for _, s := range o.Starts {
		out[s.Start.Task.String()] = s
	}
	return out
}

// listAll has both workers answer a poll: w1 as l says, w2 with nothing.
func (b *storedRig) listAll(l Listing) {
	b.t.Helper()
	b.poll("w1", l)
	b.poll("w2", Listing{})
}

// oneOfTwoDone runs job j1 of two tasks on w1 until task 0 is done, stored and acknowledged, while
// task 1 goes on, which it returns. Job j2 waits with a task done likewise.
func (b *storedRig) oneOfTwoDone() StartOrder {
	b.t.Helper()
	b.poll("w1", Listing{})
	b.submit(&work.Job{ID: "j1", Steps: []work.Step{short(2)}})
	first := b.startAll()
	b.poll("w2", Listing{})
	b.submit(&work.Job{ID: "j2", Steps: []work.Step{short(1), {Count: 1, Size: short(1).Size, Estimate: time.Second, After: []int{0}}}})
	other := b.startAll()["j2.0.0.0"]
	ends := []RunEnd{ended(1, first["j1.0.0.0"], work.Done)}
	l := Listing{Ended: ends, Running: []Run{run(first["j1.0.0.1"])}}
	if other.Worker.ID == "w1" {
		l.Ended = append(l.Ended, ended(2, other, work.Done))
		b.poll("w1", l)
	} else {
		b.poll("w1", l)
		b.poll("w2", Listing{Ended: []RunEnd{ended(1, other, work.Done)}})
	}
	b.flush()
	assert.Assert(b.t, b.progressOf("j1") != "")
	assert.Assert(b.t, b.progressOf("j2") != "")
	return first["j1.0.0.1"]
}

const malformedProgress = `{"next":1,"occurrences":[{"number":0,"steps":[{"done":["0"]}]}]}`

// Guards against tasks that run again although they are done: their job's stored progress can't be read
// at a take-over, and the job started over. Other jobs go on.
func TestTasksThatMayBeDoneDoNotStartWhileProgressIsUnreadable(t *testing.T) {
	b := newStoredRig(t)
	b.oneOfTwoDone()
	b.overwriteProgress("j1", malformedProgress)
	for range 3 {
		b.takeOver()
		b.listAll(Listing{})
		for range 20 {
			for task := range b.startAll() {
				assert.Assert(t, task == "j2.0.1.0", "%s started", task)
			}
			b.now += time.Second
		}
		state, err := b.engine.State("j1", "")
		assert.NilError(t, err)
		assert.Equal(t, state, work.Running)
		assert.Equal(t, b.progressOf("j1"), malformedProgress)
	}
}

// Guards against work that is lost with unreadable progress: runs that go on are adopted, their ends are
// stored and acknowledged, and an owner that can read the value has the rest run, once.
func TestAnOwnerThatCanReadTheProgressCompletesTheJob(t *testing.T) {
	b := newStoredRig(t)
	b.poll("w1", Listing{})
	b.submit(&work.Job{ID: "j1", Steps: []work.Step{short(3)}})
	first := b.startAll()
	b.poll("w1", Listing{Ended: []RunEnd{ended(1, first["j1.0.0.0"], work.Done)}, Running: []Run{run(first["j1.0.0.1"]), run(first["j1.0.0.2"])}})
	b.flush()
	readable := b.progressOf("j1")
	b.overwriteProgress("j1", malformedProgress)

	b.takeOver()
	b.listAll(Listing{Running: []Run{run(first["j1.0.0.1"])}})
	assert.Equal(t, len(b.startAll()), 0, "task 2 may be done")
	b.poll("w1", Listing{Ended: []RunEnd{ended(2, first["j1.0.0.1"], work.Done)}})
	b.flush()
	assert.Equal(t, b.core.workers["w1"].stored, int64(2), "the end is acknowledged")

	b.takeOver()
	b.listAll(Listing{})
	assert.Equal(t, len(b.startAll()), 0)
	stored, err := readProgress([]byte(b.progressOf("j1")), &b.core.jobs["j1"].Job, b.wall)
	assert.Assert(t, err != nil)
	assert.Equal(t, string(stored.Unreadable.Value), malformedProgress)

	// The next owner runs a version that can read the value.
	stored.Unreadable.Value = []byte(readable)
	raw, err := json.Marshal(stored)
	assert.NilError(t, err)
	b.overwriteProgress("j1", string(raw))
	b.takeOver()
	b.listAll(Listing{})
	last := b.startAll()
	assert.Equal(t, len(last), 1)
	b.poll("w1", Listing{})
	s := last["j1.0.0.2"]
	b.poll(s.Worker.ID, Listing{Ended: []RunEnd{ended(1, s, work.Done)}})
	b.flush()
	state, err := b.engine.State("j1", "")
	assert.NilError(t, err)
	assert.Equal(t, state, work.Completed)
	assert.Equal(t, b.progressOf("j1"), "")
}

// Guards against a job that nobody can end: the cancellation of a job with unreadable progress is stored,
// and its runs are stopped.
func TestAJobWithUnreadableProgressCanBeCancelled(t *testing.T) {
	b := newStoredRig(t)
	going := b.oneOfTwoDone()
	b.overwriteProgress("j1", malformedProgress)
	b.takeOver()
	b.listAll(Listing{Running: []Run{run(going)}})
	e, err := b.engine.Explain("j1")
	assert.NilError(t, err)
	assert.Assert(t, e.ProgressUnreadable)
	assert.DeepEqual(t, e.Steps[0].Tasks, map[string]int{"running": 1, "held": 1})
	assert.Assert(t, b.core.Cancel("j1", func(err error) { assert.NilError(t, err) }))
	stops := b.plan().Stops
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Task, going.Start.Task)
	b.flush()
	state, err := b.engine.State("j1", "")
	assert.NilError(t, err)
	assert.Equal(t, state, work.Cancelled)
	assert.Equal(t, b.progressOf("j1"), "")
}

// Guards against a job that fails or never ends although all of its tasks are known to be done: the ends
// were listed again to the owner that could not read the progress.
func TestUnreadableProgressThatWorkersStillListCompletesTheJob(t *testing.T) {
	b := newStoredRig(t)
	b.poll("w1", Listing{})
	b.submit(&work.Job{ID: "j1", Steps: []work.Step{short(2)}})
	first := b.startAll()
	ends := []RunEnd{ended(1, first["j1.0.0.0"], work.Done), ended(2, first["j1.0.0.1"], work.Done)}
	b.poll("w1", Listing{Ended: ends[:1], Running: []Run{run(first["j1.0.0.1"])}})
	b.flush()
	b.overwriteProgress("j1", "")
	b.takeOver()
	b.listAll(Listing{Ended: ends})
	b.flush()
	state, err := b.engine.State("j1", "")
	assert.NilError(t, err)
	assert.Equal(t, state, work.Completed)
}

// Guards against an outage of tasks that may start again at any time: long-running tasks, and those of
// occurrences that are due only after the take-over, don't depend on the unreadable progress.
func TestUnreadableProgressHoldsNoTaskThatCanNotBeDone(t *testing.T) {
	b := newStoredRig(t)
	b.submit(&work.Job{ID: "lasting", Steps: []work.Step{longRunning(1)}})
	b.submit(&work.Job{ID: "repeated", Steps: []work.Step{short(1)}, Schedule: work.Schedule{Times: 4, First: b.wall, Every: time.Minute}})
	b.overwriteProgress("lasting", malformedProgress)
	b.overwriteProgress("repeated", malformedProgress)
	b.takeOver()
	b.listAll(Listing{})
	started := b.startAll()
	assert.Equal(t, len(started), 1)
	lasting := started["lasting.0.0.0"]
	assert.Assert(t, lasting.Start.Run > unreadableRunOffset, "no earlier run has the number")

	b.wall = b.wall.Add(time.Minute)
	started = b.startAll()
	assert.Equal(t, len(started), 1)
	second := started["repeated.1.0.0"]
	b.poll(second.Worker.ID, Listing{Ended: []RunEnd{ended(1, second, work.Done)}})
	b.flush()
	b.takeOver()
	running := run(lasting)
	running.Percent = fullPercent
	b.poll(lasting.Worker.ID, Listing{Running: []Run{running}})
	b.listAll(Listing{Running: []Run{running}})
	assert.Equal(t, len(b.startAll()), 0, "the second occurrence is done, the first may be")
	assert.Equal(t, len(b.core.jobs["repeated"].liveOccurrences), 1)
}

// Guards against ends of other jobs that can't be stored, because a value beside them is too large.
func TestLongUnreadableProgressIsNotKept(t *testing.T) {
	long := "[" + strings.Repeat(" ", maxUnreadableBytes)
	p, err := readProgress([]byte(long), &work.Job{Steps: []work.Step{short(1)}}, epoch)
	assert.Assert(t, err != nil)
	assert.Equal(t, len(p.Unreadable.Value), 0)
	p.Next, p.Occurrences = 1, []OccurrenceProgress{{Steps: []StepProgress{{}}}}
	raw, err := json.Marshal(p)
	assert.NilError(t, err)
	again, err := readProgress(raw, &work.Job{Steps: []work.Step{short(1)}}, epoch.Add(time.Hour))
	assert.Assert(t, err != nil)
	assert.Equal(t, again.Unreadable.Before, p.Unreadable.Before)
}

// Guards against tasks that run again, or wait for ever, after a value can be read again: what was done
// before it was stored and what was done since both count.
func TestMergedProgressHoldsWhatBothTell(t *testing.T) {
	earlier := &Progress{Next: 4, Run: 7, Occurrences: []OccurrenceProgress{
		{Number: 1, Steps: []StepProgress{{Done: []int{0}}}},
		{Number: 2, Steps: []StepProgress{{Done: []int{1, 2}, Failed: map[int][]int{0: {3}, 3: {2}}, Saved: map[int]string{0: "a", 3: "b"}}}},
		{Number: 3, Steps: []StepProgress{{Trials: []int{0}}}},
	}}
	later := &Progress{Next: 3, Run: 1 << 20, Occurrences: []OccurrenceProgress{
		{Number: 0, Steps: []StepProgress{{}}},
		{Number: 2, Steps: []StepProgress{{Done: []int{3}, Failed: map[int][]int{0: {3, 4}}, Saved: map[int]string{0: "c"}}}},
	}}
	assert.DeepEqual(t, mergeProgress(earlier, later), &Progress{Next: 4, Run: 1 << 20, Merged: true, Occurrences: []OccurrenceProgress{
		{Number: 2, Steps: []StepProgress{{Done: []int{1, 2, 3}, Failed: map[int][]int{0: {3, 4}, 3: {2}}, Saved: map[int]string{0: "c", 3: "b"}}}},
		{Number: 3, Steps: []StepProgress{{Trials: []int{0}}}},
	}})
}

// Guards against a cell that no entry VM can own, and against jobs that start over: stored progress is
// valid JSON that doesn't fit its job. Each owner panicked on it, or took it for a job that had not begun.
func TestProgressThatDoesNotFitItsJobIsUnreadable(t *testing.T) {
	for name, value := range map[string]string{
		"null":                 `null`,
		"empty object":         `{}`,
		"other object":         `{"version":2,"state":"none"}`,
		"more steps":           `{"next":1,"occurrences":[{"number":0,"steps":[{"done":[0]},{"done":[0]}]}]}`,
		"fewer steps":          `{"next":1,"occurrences":[{"number":0,"steps":[]}]}`,
		"negative index":       `{"next":1,"occurrences":[{"number":0,"steps":[{"done":[-1]}]}]}`,
		"index too large":      `{"next":1,"occurrences":[{"number":0,"steps":[{"done":[2]}]}]}`,
		"failed index":         `{"next":1,"occurrences":[{"number":0,"steps":[{"failed":{"-1":[1]}}]}]}`,
		"crashed index":        `{"next":1,"occurrences":[{"number":0,"steps":[{"crashed":{"-1":[]}}]}]}`,
		"trial index":          `{"next":1,"occurrences":[{"number":0,"steps":[{"trials":[-1]}]}]}`,
		"saved index":          `{"next":1,"occurrences":[{"number":0,"steps":[{"saved":{"-1":"x"}}]}]}`,
		"negative occurrence":  `{"next":1,"occurrences":[{"number":-1,"steps":[{"done":[0]}]}]}`,
		"unknown occurrence":   `{"next":2,"occurrences":[{"number":1,"steps":[{"done":[0]}]}]}`,
		"occurrence not begun": `{"next":0,"occurrences":[{"number":0,"steps":[{"done":[0]}]}]}`,
		"occurrence twice":     `{"next":1,"occurrences":[{"number":0,"steps":[{}]},{"number":0,"steps":[{}]}]}`,
		"all is over":          `{"next":1}`,
		"negative run":         `{"next":1,"run":-200,"occurrences":[{"number":0,"steps":[{"done":[0]}]}]}`,
	} {
		t.Run(name, func(t *testing.T) {
			b := newStoredRig(t)
			b.oneOfTwoDone()
			b.overwriteProgress("j1", value)
			b.takeOver()
			b.listAll(Listing{})
			started := b.startAll()
			assert.Equal(t, len(started), 1)
			assert.Equal(t, started["j2.0.1.0"].Start.Task.Job, work.JobID("j2"))
			state, err := b.engine.State("j1", "")
			assert.NilError(t, err)
			assert.Equal(t, state, work.Running)
		})
	}
}

// Guards against tasks that run again although they are done: their job's record could not be read by one
// owner, to which they ended, and can be by the next.
func TestEndsOfAJobWithUnreadableRecordAreNotLost(t *testing.T) {
	b := newStoredRig(t)
	going := b.oneOfTwoDone()
	key := infra.WorkOpenKey(service, "j1")
	record, _, err := b.store.Get(t.Context(), key)
	assert.NilError(t, err)
	b.write(infra.Put(key, []byte(`{"job":7}`)))
	b.takeOver()
	b.listAll(Listing{Running: []Run{run(going)}})
	l := Listing{Ended: []RunEnd{ended(2, going, work.Done)}}
	b.poll("w1", l)
	b.flush()
	b.poll("w1", l)
	if b.core.workers["w1"].stored >= 2 {
		l = Listing{} // the worker has forgotten the end
	}
	b.write(infra.Put(key, record.Value))
	b.takeOver()
	b.listAll(l)
	for task := range b.startAll() {
		assert.Assert(t, task != "j1.0.0.1", "%s started", task)
	}
}

// readableAgain replaces the unreadable value that the job's stored progress carries.
func (b *storedRig) readableAgain(id work.JobID, value string) {
	b.t.Helper()
	p := new(Progress)
	assert.NilError(b.t, json.Unmarshal([]byte(b.progressOf(id)), p))
	p.Unreadable.Value = []byte(value)
	raw, err := json.Marshal(p)
	assert.NilError(b.t, err)
	b.overwriteProgress(id, string(raw))
}

// Guards against a start after the last allowed attempt: a task failed as often as allowed, the last time
// while what was stored of the failures before could not be read.
func TestMergedFailuresFailTheJob(t *testing.T) {
	b := newStoredRig(t)
	b.poll("w1", Listing{})
	b.submit(&work.Job{ID: "j1", Steps: []work.Step{short(1)}})
	var ends []RunEnd
	for seq := int64(1); seq <= 2; seq++ {
		ends = append(ends, ended(seq, b.startAll()["j1.0.0.0"], work.Faulted))
		b.poll("w1", Listing{Ended: ends})
	}
	b.flush()
	readable := b.progressOf("j1")
	last := b.startAll()["j1.0.0.0"]
	b.overwriteProgress("j1", malformedProgress)
	b.takeOver()
	b.listAll(Listing{Running: []Run{run(last)}})
	b.poll("w1", Listing{Ended: []RunEnd{ended(3, last, work.Faulted)}})
	b.flush()
	state, err := b.engine.State("j1", "")
	assert.NilError(t, err)
	assert.Equal(t, state, work.Running, "one failure is known")

	b.readableAgain("j1", readable)
	b.takeOver()
	b.listAll(Listing{})
	assert.Equal(t, len(b.startAll()), 0)
	b.flush()
	state, err = b.engine.State("j1", "")
	assert.NilError(t, err)
	assert.Equal(t, state, work.Failed)
}

// Guards against a start of a task that crashes its workers beyond the crashes that are allowed, of which
// some were recorded while those before could not be read.
func TestMergedCrashesFailTheJob(t *testing.T) {
	crashed := func(from, to int) string {
		var record crashes.Record
		for i := from; i <= to; i++ {
			record = record.With(crashes.Crash{Run: i, Worker: fmt.Sprint("w", i), Factor: 20})
		}
		raw, err := json.Marshal(Progress{Next: 1, Run: to, Occurrences: []OccurrenceProgress{{Steps: []StepProgress{{Crashed: map[int]crashes.Record{0: record}}}}}})
		assert.NilError(t, err)
		return string(raw)
	}
	b := newStoredRig(t)
	b.submit(&work.Job{ID: "j1", Steps: []work.Step{short(1)}})
	later := new(Progress)
	assert.NilError(t, json.Unmarshal([]byte(crashed(4, 5)), later))
	later.Unreadable = &UnreadableProgress{Value: []byte(crashed(1, 3)), Before: b.wall}
	raw, err := json.Marshal(later)
	assert.NilError(t, err)
	b.overwriteProgress("j1", string(raw))
	b.takeOver()
	b.listAll(Listing{})
	for range 2 { // a suspect starts only once its trial is stored
		assert.Equal(t, len(b.startAll()), 0)
		b.flush()
	}
	state, err := b.engine.State("j1", "")
	assert.NilError(t, err)
	assert.Equal(t, state, work.Failed)
}

// Guards against tasks of a repeated job that run again although they are done: a mark of unreadable
// progress that lacks its time held none of its occurrences.
func TestAMarkWithoutItsTimeIsUnreadable(t *testing.T) {
	b := newStoredRig(t)
	b.submit(&work.Job{ID: "repeated", Steps: []work.Step{short(1)}, Schedule: work.Schedule{Times: 4, First: b.wall, Every: time.Minute}})
	b.overwriteProgress("repeated", `{"next":1,"occurrences":[{"number":0,"steps":[{}]}],"unreadable":{"value":"e30="}}`)
	b.takeOver()
	b.listAll(Listing{})
	assert.Equal(t, len(b.startAll()), 0)
}
