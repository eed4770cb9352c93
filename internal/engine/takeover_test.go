package engine

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Guards against a job that fails with attempts left: a run failed, its end was stored but not yet
// acknowledged, and the owner crashed. The worker lists the end to the next owner again, which must not
// count it as a second failure.
func TestAFailureListedAgainToASuccessorCountsOnce(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(1))
	var ends []RunEnd
	for seq := int64(1); seq <= 2; seq++ {
		o := b.plan()
		assert.Equal(t, len(o.Starts), 1)
		b.answer(o, OutcomeOK)
		ends = append(ends, ended(seq, o.Starts[0], work.Faulted))
		b.poll("w1", Listing{Ended: ends})
	}
	b.takeOver(8, "w1")
	b.core.SetFleet([]work.VM{vm("v1", "w1")})
	b.poll("w1", Listing{Ended: ends})
	assert.Equal(t, len(b.plan().Starts), 1, "one attempt is left")
	state, _ := b.core.State("j1")
	assert.Assert(t, state != work.Failed)
}

// takeOver replaces the core by that of a next owner, which restores the open jobs with all changes so
// far stored, and registers the workers.
func (b *rig) takeOver(token int64, workers ...work.WorkerID) {
	b.t.Helper()
	records := make(map[work.JobID]*JobRecord)
	for id, j := range b.core.jobs {
		if !j.stored {
			kept := j.Job
			records[id] = &JobRecord{Job: &kept, Queue: j.queue}
		}
	}
	flush := b.core.TakeFlush(100)
	progress := make(map[work.JobID]*Progress)
	for _, ch := range flush.Changes {
		progress[ch.Job] = decodeProgress(b.t, ch)
	}
	next := b.successor(token)
	for id, r := range records {
		next.Restore(r, progress[id], b.now, b.wall)
	}
	next.FinishRestore(b.now, b.wall)
	for _, id := range workers {
		next.WorkerRegistered(info(id))
	}
	next.InheritLeases(b.now + inheritedLeaseTime())
	b.core = next
}

// Guards against work that is lost or runs twice at a change of owner: before the workers have told what
// they run, the new owner took their runs for orphaned ones, or started the tasks again elsewhere.
func TestASuccessorAdoptsWhatRunsAndStartsNothingBefore(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.worker("w2")
	b.accept("j1", short(1))
	b.accept("j2", short(1))
	o := b.plan()
	b.answer(o, OutcomeOK)
	byWorker := make(map[work.WorkerID][]Run)
	for _, s := range o.Starts {
		byWorker[s.Worker.ID] = append(byWorker[s.Worker.ID], run(s))
	}
	b.takeOver(8, "w1", "w2")
	b.core.SetFleet([]work.VM{vm("v1", "w1"), vm("v2", "w2")})
	assert.Equal(t, len(b.plan().Starts), 0, "no worker has answered yet")
	b.poll("w1", Listing{Running: byWorker["w1"]})
	assert.Equal(t, len(b.plan().Starts), 0, "w2 may run the rest")
	b.poll("w2", Listing{Running: byWorker["w2"]})
	next := b.plan()
	assert.Equal(t, len(next.Starts)+len(next.Stops), 0, "all tasks are running")
}

// vm returns a VM of the service's pool that is up and runs the worker.
func vm(id string, w work.WorkerID) work.VM {
	return work.VM{ID: id, Pool: service, State: work.VMUp, Worker: w}
}

// Guards against all tasks running twice after an outage of the store: registrations expired in it while
// the workers ran on. The new owner saw no workers, so it waited for none, and started all jobs again
// when the registrations came back.
func TestASuccessorDoesNotTrustAnEmptyListOfWorkers(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(1))
	b.answer(b.plan(), OutcomeOK)
	b.takeOver(8)
	b.core.WorkerRegistered(info("w3"))
	b.poll("w3", Listing{})
	assert.Equal(t, len(b.plan().Starts), 0, "the VM list was not read")
	b.core.SetFleet([]work.VM{vm("v1", "w1"), vm("v3", "w3")})
	assert.Equal(t, len(b.plan().Starts), 0, "w1 is up by the VM list and has not answered")
	b.core.SetFleet([]work.VM{{ID: "v1", Pool: service, State: work.VMDown}, vm("v3", "w3")})
	assert.Equal(t, len(b.plan().Starts), 1, "w1 has ended")
}

// Guards against a task that runs on both sides of a network partition: the owner on one side can't reach
// workers on the other, whose leases its successor extends, whereas by its own state they have expired. An
// owner that is not certain of its lease must not restart the tasks of these workers.
func TestAnOwnerCutOffRestartsNothingOfUnreachableWorkers(t *testing.T) {
	b := newRig(t)
	b.running(short(8), "near", "far")
	b.core.SetCertain(false)
	b.core.PollFailed("far", OutcomeUnknown, b.now)
	held := len(b.core.workers["far"].tasks)
	assert.Assert(t, held > 0)
	b.now += 20 * time.Second
	assert.Equal(t, len(b.plan().Starts), 0)
	assert.Equal(t, len(b.core.workers["far"].tasks), held, "it still counts as running there")
	b.core.SetCertain(true)
	b.core.PollFailed("far", OutcomeUnknown, b.now)
	assert.Assert(t, len(b.core.workers["far"].tasks) == 0, "it is restarted when the lease is certain")
}

// Guards against a pool's work being lost and restarted several times a second: the registration of a
// worker that ended remains for seconds beside that of the next worker at the same address, and each was
// taken in turn as proof that the other has ended.
func TestTwoRegistrationsAtOneAddressEndNeither(t *testing.T) {
	b := newRig(t)
	next := info("next")
	next.Address = info("old").Address
	b.core.WorkerRegistered(info("old"))
	b.core.WorkerRegistered(next)
	b.poll("next", Listing{})
	b.accept("j1", short(1))
	b.answer(b.plan(), OutcomeOK)
	for range 3 {
		b.core.WorkerRegistered(info("old"))
		b.core.WorkerRegistered(next)
	}
	assert.Equal(t, len(b.core.workers["next"].tasks), 1)

	b.core.PollFailed("old", OutcomeOtherIncarnation, b.now)
	b.core.WorkerRegistered(info("old"))
	assert.Assert(t, b.core.workers["old"] == nil, "a worker ID that has ended is not added again")
}

// Guards against two runs of a task at the same time after a take-over: workers list two runs, the older
// one first. The newer run was ordered after the older one had been dealt with, so it is the one to keep,
// and the task must not start again until the older run is certain to have ended.
func TestOfTwoListedRunsTheHigherIsKept(t *testing.T) {
	b := newRig(t)
	b.accept("j1", short(1))
	b.takeOver(8, "w1", "w2", "w3")
	b.core.SetFleet([]work.VM{vm("v1", "w1"), vm("v2", "w2"), vm("v3", "w3")})
	ref := work.TaskRef{StepRef: work.StepRef{Job: "j1"}}
	b.poll("w3", Listing{})
	b.poll("w1", Listing{Running: []Run{{Task: ref, Run: 1}}})
	b.poll("w2", Listing{Running: []Run{{Task: ref, Run: 2}}})
	stops := b.plan().Stops
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Worker.ID, work.WorkerID("w1"))
	b.poll("w2", Listing{Ended: []RunEnd{{Seq: 1, Task: ref, Run: 2, How: work.Faulted}}})
	assert.Equal(t, len(b.plan().Starts), 0, "run 1 is still being stopped")
	b.core.StopAnswered(stops[0], OutcomeOK, b.now)
	b.poll("w1", Listing{Ended: []RunEnd{{Seq: 1, Task: ref, Run: 1, How: work.Stopped}}})
	assert.Equal(t, len(b.plan().Starts), 1)
}

// Guards against a task that runs again although it was done: an owner that couldn't reach the store, within
// OwnerGrace, found that the worker was gone, but its successor had acknowledged the task's end before.
func TestAnOwnerThatIsNotCertainStartsOnlyTasksNeverStarted(t *testing.T) {
	b := newRig(t)
	o := b.running(short(1), "w1", "w2")
	b.core.SetCertain(false)
	b.core.WorkerGone(o.Starts[0].Worker.ID, "test", b.now)
	b.accept("j2", short(1))
	starts := b.plan().Starts
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Start.Task.Job, work.JobID("j2"))

	b.core.WorkerRegistered(info("late"))
	b.poll("late", Listing{})
	b.accept("j3", short(4))
	b.accept("j4", short(4))
	for _, s := range b.plan().Starts {
		assert.Assert(t, s.Worker.ID != "late", "a successor does not wait for this worker")
	}
	b.core.SetCertain(true)
	b.poll("late", Listing{})
	assert.Assert(t, len(b.plan().Starts) > 0)
}

// Guards against an idle worker that gets no task for good: its first answer came while a later owner
// could exist, and workers without tasks were not polled again.
func TestAnIdleWorkerIsPolledOnceOwnershipIsCertain(t *testing.T) {
	b := newRig(t)
	b.core.SetCertain(false)
	b.core.WorkerRegistered(info("w1"))
	pollIfDue := func() bool {
		b.now += time.Second
		_, _, due := b.core.NextPoll("w1", b.now)
		if due {
			b.poll("w1", Listing{})
		}
		return due
	}
	assert.Assert(t, pollIfDue())
	assert.Assert(t, !pollIfDue(), "it could not tell anything new")
	b.core.SetCertain(true)
	b.accept("j1", short(1))
	assert.Equal(t, len(b.plan().Starts), 0)
	assert.Assert(t, pollIfDue())
	assert.Equal(t, len(b.plan().Starts), 1)
}

// Guards against a task that runs twice: an owner gave its term up, but its core relied on the latest
// deadline it had ever been allowed and ordered a start beside its successor's.
func TestNoOrdersAfterTheTermsPermissionIsWithdrawn(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(1))
	b.core.AllowUntil(b.now - time.Millisecond)
	assert.Equal(t, len(b.plan().Starts), 0)
	_, _, due := b.core.NextPoll("w1", b.now)
	assert.Assert(t, !due, "leases are not extended either")
}

// Guards against a task that runs twice: a new owner got one answer of a worker, adopted its run and lost the
// worker before it had extended a lease. The run still has a lease of the earlier owner, of which the new
// owner's state has no record.
func TestAnAdoptedRunIsNotRestartedBeforeTheEarlierOwnersLeaseIsOver(t *testing.T) {
	b := newRig(t)
	o := b.running(short(1), "w1")
	b.takeOver(8, "w1", "w2")
	b.core.SetFleet([]work.VM{vm("v1", "w1"), vm("v2", "w2")})
	b.poll("w1", Listing{Running: []Run{run(o.Starts[0])}})
	b.poll("w2", Listing{})
	inherited := b.now + 5*time.Second
	b.core.InheritLeases(inherited)
	b.core.PollFailed("w1", OutcomeUnknown, b.now)
	for b.now < inherited-10*time.Millisecond {
		assert.Equal(t, len(b.plan().Starts), 0)
		b.now += 50 * time.Millisecond
	}
	b.now = inherited + expiryMargin
	assert.Equal(t, len(b.plan().Starts), 1)
}

// Guards against a healthy worker being given up, so that its tasks run twice: it registered after the list of
// VMs was requested, and then missed one poll.
func TestAVMListOlderThanAWorkersAnswerDoesNotEndTheWorker(t *testing.T) {
	b := newRig(t)
	b.running(short(1), "w1")
	asked := b.now
	b.poll("w1", Listing{})
	b.core.PollFailed("w1", OutcomeUnknown, b.now)
	b.core.SetFleet(nil)
	b.core.endUnlistedWorkers(asked, b.now)
	assert.Assert(t, b.core.workers["w1"] != nil)
	b.core.endUnlistedWorkers(b.now+time.Millisecond, b.now+time.Millisecond)
	assert.Assert(t, b.core.workers["w1"] == nil, "a later list ends the worker")
}

// Guards against a step with two unavailable tasks that tolerates one: an owner orders one task to stop and is
// replaced. The worker lists the run until it has stopped, and the new owner, asked to empty a VM, stops
// another one.
func TestANewOwnerStopsNothingWhileAnEarlierStopMayBeUnderWay(t *testing.T) {
	b := newRig(t)
	o := b.running(longRunning(2), "w1", "w2")
	b.worker("w3")
	record := &JobRecord{Job: &b.core.jobs["j1"].Job, Queue: b.core.declared.Queues[queue]}
	b.core = b.successor(token + 1)
	b.core.Restore(record, nil, b.now, b.wall)
	b.core.FinishRestore(b.now, b.wall)
	list := func() {
		for _, s := range o.Starts {
			r := run(s)
			r.Percent = fullPercent
			b.core.WorkerRegistered(info(s.Worker.ID))
			b.poll(s.Worker.ID, Listing{Running: []Run{r}})
		}
	}
	list()
	b.worker("w3")
	b.core.applyOrder(CellOrder{Kind: OrderVacate, Worker: o.Starts[0].Worker.ID}, token, b.now)
	for range 8 {
		b.now += 50 * time.Millisecond
		list()
		assert.Equal(t, len(b.plan().Stops), 0)
	}
	b.now += 400 * time.Millisecond
	list()
	assert.Equal(t, len(b.plan().Stops), 1)
}

// barrierStore is a store whose reads of prefixes, and the list of workers, are answered only
// when all four have been requested.
type barrierStore struct {
	infra.Store
	all sync.WaitGroup
}

func (m *barrierStore) arrive(ctx context.Context) error {
	m.all.Done()
	met := make(chan struct{})
	go func() { m.all.Wait(); close(met) }()
	select {
	case <-met:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (m *barrierStore) Range(ctx context.Context, prefix string) ([]infra.KV, infra.Revision, error) {
	if err := m.arrive(ctx); err != nil {
		return nil, 0, err
	}
	return m.Store.Range(ctx, prefix)
}

// Guards against a long time without an owner while the store is slow: a new owner made its reads one after the
// other, a fifth of a second each, while callers waited. The reads are independent and must run in parallel.
func TestTakeOverReadsStoreInParallel(t *testing.T) {
	e, store := newEngine(t, &fakeTerm{certain: true})
	m := &barrierStore{Store: store}
	m.all.Add(4)
	e.Store, e.WaitForRegistry = m, func(ctx context.Context) { assert.Check(t, m.arrive(ctx)) }
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	assert.NilError(t, e.load(ctx, true))
}

// Guards against callers of a burst that wait while VMs are idle in another pool: the other pool's owner has just
// taken over while a zone is partitioned, and older jobs wait for workers there that have not answered. These
// jobs need no capacity, so they must not count as backlog, for which a pool keeps its VMs.
func TestWorkThatMayRunOnUnheardWorkersIsNoBacklog(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(2))
	b.takeOver(8, "w1", "w2")
	b.core.SetFleet([]work.VM{vm("v1", "w1"), vm("v2", "w2")})
	b.poll("w1", Listing{})
	assert.Equal(t, len(b.plan().Starts), 0, "w2 may run it")
	assert.Equal(t, b.core.report(b.now).Backlog, 0.0)
	b.poll("w2", Listing{})
	assert.Assert(t, b.core.report(b.now).Backlog > 0)
	assert.Equal(t, len(b.plan().Starts), 2)
}
