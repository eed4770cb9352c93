package jobfront

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/faulty"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/internal/ownership"
	"github.com/pumicestage/pumicestage/policy/work"
)

const cell = "weighting"

var queue = engine.Queue{Name: "weights", Service: cell}

type fakeClock struct{ now time.Duration }

func (c *fakeClock) Now() time.Duration { return c.now }
func (c *fakeClock) Wall() time.Time    { return time.Unix(0, 0) }

// owner is an Owner whose answers are set by the test.
type owner struct {
	err     error
	state   work.State
	waiting int
	cancels int
}

func (o *owner) Submit(context.Context, *work.Job, engine.Queue) error    { return o.err }
func (o *owner) State(work.JobID, work.WorkspaceName) (work.State, error) { return o.state, o.err }
func (o *owner) Cancel(context.Context, work.JobID, work.WorkspaceName) error {
	o.cancels++
	return o.err
}
func (o *owner) Waiting(string) (int, error)                     { return o.waiting, o.err }
func (o *owner) Sync(engine.CellSync) (engine.CellAnswer, error) { return engine.CellAnswer{}, o.err }

func (o *owner) RecheckLimits([]work.WorkspaceName) error { return o.err }

func (o *owner) Explain(id work.JobID) (engine.Explanation, error) {
	return engine.Explanation{Job: id, State: o.state}, o.err
}

func (o *owner) Summary() (engine.Summary, error) {
	return engine.Summary{Cell: cell, Workers: 3}, o.err
}

type fixture struct {
	front *Front
	store *faulty.Store
	owner *owner
	clock *fakeClock
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	r := &fixture{store: faulty.Wrap(memstore.New(clockwork.NewFakeClock())), owner: &owner{}, clock: &fakeClock{now: time.Minute}}
	r.front = New(Options{
		Store: r.store, Clock: r.clock, Log: logr.Discard(), Self: "e1",
		Owners: func(string) (ownership.Record, bool) { return ownership.Record{}, false },
		Local: func(string) Owner {
			if r.owner == nil {
				return nil
			}
			return r.owner
		},
	})
	return r
}

func newJob(id work.JobID) *work.Job {
	return &work.Job{ID: id, Queue: queue.Name, Steps: []work.Step{{Count: 1}}}
}

func (r *fixture) stored(t *testing.T, key string) bool {
	t.Helper()
	kv, _, err := r.store.Get(context.Background(), key)
	assert.NilError(t, err)
	return kv.ModRevision != 0
}

// While no entry VM owns the cell, jobs are not refused but stored, with an inbox message for
// the next owner.
func TestWithoutAnOwnerTheJobIsStoredWithAnInboxMessage(t *testing.T) {
	r := newFixture(t)
	r.owner.err = engine.ErrNotReady
	assert.NilError(t, r.front.Submit(context.Background(), newJob("j1"), queue))
	assert.Assert(t, r.stored(t, infra.WorkOpenKey(cell, "j1")))
	assert.Assert(t, r.stored(t, infra.WorkInboxKey(cell, engine.InboxSubmit, "j1")))
	assert.NilError(t, r.front.Submit(context.Background(), newJob("j1"), queue), "a repeat is the same job")
}

// The owner did not answer in time but has stored the job. The job must be reported as
// accepted, as the store shows that it is.
func TestAJobStoredByAnUncertainOwnerIsAccepted(t *testing.T) {
	r := newFixture(t)
	ops, err := engine.CreateOps(cell, newJob("j1"), queue)
	assert.NilError(t, err)
	_, err = r.store.Txn(context.Background(), infra.Txn{Then: ops})
	assert.NilError(t, err)
	r.owner.err = engine.ErrUncertain
	assert.NilError(t, r.front.Submit(context.Background(), newJob("j1"), queue))
	assert.Assert(t, !r.stored(t, infra.WorkInboxKey(cell, engine.InboxSubmit, "j1")), "the job existed already")
}

func TestStatesAndCancellationsWithoutAnOwner(t *testing.T) {
	r := newFixture(t)
	r.owner.err = engine.ErrNotReady
	ctx := context.Background()
	_, err := r.front.State(ctx, "j0", queue, "")
	assert.Assert(t, errors.Is(err, ErrUnknownJob))
	assert.Assert(t, errors.Is(r.front.Cancel(ctx, "j0", queue, ""), ErrUnknownJob))

	assert.NilError(t, r.front.Submit(ctx, newJob("j1"), queue))
	state, err := r.front.State(ctx, "j1", queue, "")
	assert.NilError(t, err)
	assert.Equal(t, state, work.Running)

	assert.NilError(t, r.front.Cancel(ctx, "j1", queue, ""))
	state, err = r.front.State(ctx, "j1", queue, "")
	assert.NilError(t, err)
	assert.Equal(t, state, work.Cancelled)
	assert.Assert(t, !r.stored(t, infra.WorkOpenKey(cell, "j1")), "a later owner would start it")
	assert.Assert(t, r.stored(t, infra.WorkInboxKey(cell, engine.InboxCancel, "j1")))
	assert.NilError(t, r.front.Cancel(ctx, "j1", queue, ""), "it has ended already")
}

// A job's queue was moved to another service after the job was accepted. The job's state is
// known to the owner of the cell that accepted it, not to the owner that is asked first.
func TestAJobIsFoundInTheCellThatAcceptedIt(t *testing.T) {
	r := newFixture(t)
	r.owner.err = engine.ErrNotReady
	assert.NilError(t, r.front.Submit(context.Background(), newJob("j1"), queue))
	first := r.owner
	r.front.Local = func(asked string) Owner {
		if asked == cell {
			return &owner{state: work.Queued}
		}
		return first
	}
	first.err = engine.ErrUnknownJob
	state, err := r.front.State(context.Background(), "j1", engine.Queue{Name: queue.Name, Service: "elsewhere"}, "")
	assert.NilError(t, err)
	assert.Equal(t, state, work.Queued)
}

func TestTheLastCountIsUsedUpToItsMaximumAge(t *testing.T) {
	r := newFixture(t)
	r.owner.waiting = 12
	n, err := r.front.Waiting(context.Background(), queue)
	assert.NilError(t, err)
	assert.Equal(t, n, 12)
	r.owner.err = engine.ErrNotReady
	r.clock.now += maxCountAge
	n, err = r.front.Waiting(context.Background(), queue)
	assert.NilError(t, err)
	assert.Equal(t, n, 12)
	r.clock.now += time.Millisecond
	_, err = r.front.Waiting(context.Background(), queue)
	var refusal *Refusal
	assert.Assert(t, errors.As(err, &refusal))
}

func TestTheLongestMatchingPrefixSelectsTheQueue(t *testing.T) {
	routes := NewRoutes([]Route{
		{Host: "h", Prefix: "/a/", Queue: "short"}, {Host: "h", Prefix: "/a/b/", Queue: "long"}, {Host: "i", Prefix: "/a/", Queue: "other"},
	})
	for _, c := range []struct{ host, path, queue, rest string }{
		{"h", "/a/1", "short", "1"}, {"h", "/a/b/1", "long", "1"}, {"i", "/a/b/1", "other", "b/1"}, {"h", "/b/1", "", ""}, {"j", "/a/1", "", ""},
	} {
		queue, rest, ok := routes.Find(c.host, c.path)
		assert.Equal(t, ok, c.queue != "")
		assert.Equal(t, queue, c.queue)
		assert.Equal(t, rest, c.rest)
	}
}

// An operator asks about a job while its cell has no owner: the report contains what the store
// knows, and why it contains no more.
func TestAJobIsExplainedByItsOwnerAndByTheStore(t *testing.T) {
	r := newFixture(t)
	ctx := context.Background()
	_, err := r.front.Explain(ctx, "j1")
	assert.Assert(t, errors.Is(err, ErrUnknownJob))
	r.owner.err = engine.ErrNotReady
	assert.NilError(t, r.front.Submit(ctx, newJob("j1"), queue))
	report, err := r.front.Explain(ctx, "j1")
	assert.NilError(t, err)
	assert.Equal(t, report.Cell, cell)
	assert.Equal(t, report.MissingReason, engine.ErrNotReady.Error())
	r.owner.err, r.owner.state = nil, work.Queued
	report, err = r.front.Explain(ctx, "j1")
	assert.NilError(t, err)
	assert.Equal(t, report.Explanation.State, work.Queued)
	assert.NilError(t, r.front.Cancel(ctx, "j1", queue, ""))
	r.owner.err = engine.ErrUnknownJob
	assert.NilError(t, r.front.cancelInStore(ctx, "j1", cell, "", false))
	report, err = r.front.Explain(ctx, "j1")
	assert.NilError(t, err)
	assert.Equal(t, report.StoredState, work.Cancelled)
}

// An operator lists all cells while one has no owner: that one is listed too, with the reason
// why it has no summary.
func TestEveryCellIsListedWithOrWithoutItsOwner(t *testing.T) {
	r := newFixture(t)
	r.front.Local = func(asked string) Owner {
		if asked == cell {
			return r.owner
		}
		return nil
	}
	cells := r.front.Cells(context.Background(), []string{cell, "elsewhere"})
	assert.Equal(t, len(cells), 2)
	assert.Equal(t, cells[0].Summary.Workers, 3)
	assert.Assert(t, cells[1].Summary == nil)
	assert.Equal(t, cells[1].MissingReason, engine.ErrNotReady.Error())
}

// A caller guesses the ID of another workspace's job. It can neither see nor cancel the job, be
// it by the owner, which knows the job, or by the store, and a submission with that ID must not
// look accepted.
func TestAnotherWorkspacesJobIsNeitherShownNorCancelled(t *testing.T) {
	r := newFixture(t)
	ctx := context.Background()
	r.owner.err = engine.ErrNotReady
	theirs := newJob("j1")
	theirs.Workspace = "red"
	assert.NilError(t, r.front.Submit(ctx, theirs, queue))
	for _, err := range []error{engine.ErrNotReady, engine.ErrUnknownJob} {
		r.owner.err = err
		_, state := r.front.State(ctx, "j1", queue, "blue")
		assert.Assert(t, errors.Is(state, ErrUnknownJob))
		assert.Assert(t, errors.Is(r.front.Cancel(ctx, "j1", queue, "blue"), ErrUnknownJob))
	}
	ours := newJob("j1")
	ours.Workspace = "blue"
	assert.Assert(t, errors.Is(r.front.Submit(ctx, ours, queue), engine.ErrOtherWorkspace))
	assert.NilError(t, r.front.Submit(ctx, theirs, queue), "a repeat is the same job")
	state, err := r.front.State(ctx, "j1", queue, "red")
	assert.NilError(t, err)
	assert.Equal(t, state, work.Running)
	assert.NilError(t, r.front.Cancel(ctx, "j1", queue, "red"))
	_, err = r.front.State(ctx, "j1", queue, "blue")
	assert.Assert(t, errors.Is(err, ErrUnknownJob), "its final state is shown")
}

// The owner refuses a job because this entry VM's configuration is older than its own: the job
// must not be stored without the owner.
func TestAJobRefusedForAnOldConfigurationIsNotStored(t *testing.T) {
	r := newFixture(t)
	r.owner.err = engine.ErrStaleConfig
	assert.Assert(t, errors.Is(r.front.Submit(context.Background(), newJob("j1"), queue), engine.ErrStaleConfig))
	assert.Assert(t, !r.stored(t, infra.WorkJobKey("j1")))
}
