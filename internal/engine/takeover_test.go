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

// A caller's job is shown as failed with attempts left. A run failed, its end
// was stored but not yet acknowledged, and the owner died: the worker listed the
// end to the successor again, which must not count it as a second failure.
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
		b.look("w1", Listing{Ended: ends})
	}
	b.takeOver(8, "w1")
	b.core.SetFleet([]work.VM{vm("v1", "w1")})
	b.look("w1", Listing{Ended: ends})
	assert.Equal(t, len(b.plan().Starts), 1, "one attempt is left")
	state, _ := b.core.State("j1")
	assert.Assert(t, state != work.Failed)
}

// takeOver replaces the core by a successor's, restored from what is stored, and
// registers the workers.
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
	next.Reaffirm(b.now, b.wall)
	for _, id := range workers {
		next.WorkerRegistered(info(id))
	}
	next.InheritLeases(b.now + inheritedFor())
	b.core = next
}

// The caller's work is thrown away, or runs twice, at every change of owner: the
// successor takes what runs for strays, or starts it anew elsewhere, before the
// workers have said what they run.
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
	assert.Equal(t, len(b.plan().Starts), 0, "no worker was heard yet")
	b.look("w1", Listing{Running: byWorker["w1"]})
	assert.Equal(t, len(b.plan().Starts), 0, "w2 may run the rest")
	b.look("w2", Listing{Running: byWorker["w2"]})
	next := b.plan()
	assert.Equal(t, len(next.Starts)+len(next.Stops), 0, "all of it runs")
}

func vm(id string, w work.WorkerID) work.VM {
	return work.VM{ID: id, Pool: service, State: work.VMUp, Worker: w}
}

// Everything runs twice after an outage of the store. Registrations lapsed in
// it while the workers ran on; the new owner saw none, so none was unheard, and it
// started all jobs anew as the registrations came back.
func TestASuccessorDoesNotTrustAnEmptyListOfWorkers(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(1))
	b.answer(b.plan(), OutcomeOK)
	b.takeOver(8)
	b.core.WorkerRegistered(info("w3"))
	b.look("w3", Listing{})
	assert.Equal(t, len(b.plan().Starts), 0, "the VM list was not read")
	b.core.SetFleet([]work.VM{vm("v1", "w1"), vm("v3", "w3")})
	assert.Equal(t, len(b.plan().Starts), 0, "w1 lives by the VM list and was not heard")
	b.core.SetFleet([]work.VM{{ID: "v1", Pool: service, State: work.VMDown}, vm("v3", "w3")})
	assert.Equal(t, len(b.plan().Starts), 1, "w1 is over")
}

// A task runs on both sides of a cut. The owner inside it can't reach the workers
// outside, whose leases its successor extends; by its own books they have run
// out. Without certainty of its lease it must not restart what ran there.
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
	assert.Assert(t, len(b.core.workers["far"].tasks) == 0, "with certainty it is restarted")
}

// A pool's work is lost and started anew several times a second. The entry of a
// worker that ended stays for seconds beside that of the next at its address, and
// each in turn was taken for proof that the other is over.
func TestTwoRegistrationsAtOneAddressEndNeither(t *testing.T) {
	b := newRig(t)
	next := info("next")
	next.Address = info("old").Address
	b.core.WorkerRegistered(info("old"))
	b.core.WorkerRegistered(next)
	b.look("next", Listing{})
	b.accept("j1", short(1))
	b.answer(b.plan(), OutcomeOK)
	for range 3 {
		b.core.WorkerRegistered(info("old"))
		b.core.WorkerRegistered(next)
	}
	assert.Equal(t, len(b.core.workers["next"].tasks), 1)

	b.core.PollFailed("old", OutcomeOtherLife, b.now)
	b.core.WorkerRegistered(info("old"))
	assert.Assert(t, b.core.workers["old"] == nil, "an ID that is over does not come back")
}

// A task runs beside itself after a take-over: two runs of it are listed, the
// older one first. The newer was ordered after the older had been settled; it is
// kept, and the task starts nowhere until the other is certain to be over.
func TestOfTwoListedRunsTheHigherIsKept(t *testing.T) {
	b := newRig(t)
	b.accept("j1", short(1))
	b.takeOver(8, "w1", "w2", "w3")
	b.core.SetFleet([]work.VM{vm("v1", "w1"), vm("v2", "w2"), vm("v3", "w3")})
	ref := work.TaskRef{StepRef: work.StepRef{Job: "j1"}}
	b.look("w3", Listing{})
	b.look("w1", Listing{Running: []Run{{Task: ref, Run: 1}}})
	b.look("w2", Listing{Running: []Run{{Task: ref, Run: 2}}})
	stops := b.plan().Stops
	assert.Equal(t, len(stops), 1)
	assert.Equal(t, stops[0].Worker.ID, work.WorkerID("w1"))
	b.look("w2", Listing{Ended: []RunEnd{{Seq: 1, Task: ref, Run: 2, How: work.Faulted}}})
	assert.Equal(t, len(b.plan().Starts), 0, "run 1 is still being stopped")
	b.core.StopAnswered(stops[0], OutcomeOK, b.now)
	b.look("w1", Listing{Ended: []RunEnd{{Seq: 1, Task: ref, Run: 1, How: work.Stopped}}})
	assert.Equal(t, len(b.plan().Starts), 1)
}

// A task that was done runs again. An owner that can't reach the store, in its
// grace, saw the worker go; its successor had acknowledged the end before.
func TestAnOwnerThatIsNotCertainBeginsOnlyWhatWasNeverStarted(t *testing.T) {
	b := newRig(t)
	o := b.running(short(1), "w1", "w2")
	b.core.SetCertain(false)
	b.core.WorkerGone(o.Starts[0].Worker.ID, "test", b.now)
	b.accept("j2", short(1))
	starts := b.plan().Starts
	assert.Equal(t, len(starts), 1)
	assert.Equal(t, starts[0].Start.Task.Job, work.JobID("j2"))

	b.core.WorkerRegistered(info("late"))
	b.look("late", Listing{})
	b.accept("j3", short(4))
	b.accept("j4", short(4))
	for _, s := range b.plan().Starts {
		assert.Assert(t, s.Worker.ID != "late", "its successor does not wait for this one")
	}
	b.core.SetCertain(true)
	b.look("late", Listing{})
	assert.Assert(t, len(b.plan().Starts) > 0)
}

// A task runs twice. An owner gave its term up; its core went by the longest
// permission it ever had and ordered a start beside the successor's.
func TestOrdersEndWithAPermissionThatIsTakenBack(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(1))
	b.core.AllowUntil(b.now - time.Millisecond)
	assert.Equal(t, len(b.plan().Starts), 0)
	_, _, due := b.core.NextPoll("w1", b.now)
	assert.Assert(t, !due, "no extension of leases either")
}

// A task runs twice. A successor heard a worker once, took its run over and lost
// the worker before it had extended anything: the lease there is the earlier
// owner's, and the successor's books have none.
func TestAnAdoptedRunIsNotRestartedBeforeTheEarlierOwnersLeaseIsOver(t *testing.T) {
	b := newRig(t)
	o := b.running(short(1), "w1")
	b.takeOver(8, "w1", "w2")
	b.core.SetFleet([]work.VM{vm("v1", "w1"), vm("v2", "w2")})
	b.look("w1", Listing{Running: []Run{run(o.Starts[0])}})
	b.look("w2", Listing{})
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

// A worker that is well is given up, and its tasks run twice. It registered after
// the list of VMs was asked for, and missed one poll since.
func TestAListOlderThanAWorkersAnswerEndsNothing(t *testing.T) {
	b := newRig(t)
	b.running(short(1), "w1")
	asked := b.now
	b.look("w1", Listing{})
	b.core.PollFailed("w1", OutcomeUnknown, b.now)
	b.core.SetFleet(nil)
	b.core.endUnlistedWorkers(asked, b.now)
	assert.Assert(t, b.core.workers["w1"] != nil)
	b.core.endUnlistedWorkers(b.now+time.Millisecond, b.now+time.Millisecond)
	assert.Assert(t, b.core.workers["w1"] == nil, "a list since then ends it")
}

// The caller's step loses two tasks where it bears the loss of one. An owner orders
// one of them to stop and is replaced; its worker lists the run for as long as the
// stop takes, and the new owner, asked to empty a VM, stops another.
func TestANewOwnerStopsNothingWhileAnEarlierStopMayBeUnderWay(t *testing.T) {
	b := newRig(t)
	o := b.running(lasting(2), "w1", "w2")
	b.worker("w3")
	record := &JobRecord{Job: &b.core.jobs["j1"].Job, Queue: b.core.declared.Queues[queue]}
	b.core = b.successor(token + 1)
	b.core.Restore(record, nil, b.now, b.wall)
	b.core.Reaffirm(b.now, b.wall)
	list := func() {
		for _, s := range o.Starts {
			r := run(s)
			r.Percent = fullPercent
			b.core.WorkerRegistered(info(s.Worker.ID))
			b.look(s.Worker.ID, Listing{Running: []Run{r}})
		}
	}
	list()
	b.worker("w3")
	b.core.obey(CellOrder{Kind: OrderVacate, Worker: o.Starts[0].Worker.ID}, token, b.now)
	for range 8 {
		b.now += 50 * time.Millisecond
		list()
		assert.Equal(t, len(b.plan().Stops), 0)
	}
	b.now += 400 * time.Millisecond
	list()
	assert.Equal(t, len(b.plan().Stops), 1)
}

// meeting is a store whose reads of prefixes, and the list of workers, are answered
// once all four were asked for.
type meeting struct {
	infra.Store
	all sync.WaitGroup
}

func (m *meeting) join(ctx context.Context) error {
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

func (m *meeting) Range(ctx context.Context, prefix string) ([]infra.KV, infra.Revision, error) {
	if err := m.join(ctx); err != nil {
		return nil, 0, err
	}
	return m.Store.Range(ctx, prefix)
}

// Callers wait while the store is slow and an owner was replaced: the new one read one
// thing after the other, a fifth of a second each, with nobody owning the cell. What it
// reads does not depend on each other and is asked for at once.
func TestATakeOverReadsAtOnce(t *testing.T) {
	e, store := newEngine(t, &fakeTerm{certain: true})
	m := &meeting{Store: store}
	m.all.Add(4)
	e.Store, e.Listed = m, func(ctx context.Context) { assert.Check(t, m.join(ctx)) }
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	assert.NilError(t, e.load(ctx, true))
}

// Callers of a burst wait while idle VMs stand in another pool. Its owner has just taken
// over with a zone cut off, and jobs of before wait for workers there that it has not heard.
// They want no room, so they are no backlog, for which a pool would keep its VMs.
func TestWorkThatWaitsForUnheardWorkersIsNoBacklog(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(2))
	b.takeOver(8, "w1", "w2")
	b.core.SetFleet([]work.VM{vm("v1", "w1"), vm("v2", "w2")})
	b.look("w1", Listing{})
	assert.Equal(t, len(b.plan().Starts), 0, "w2 may run it")
	assert.Equal(t, b.core.report(b.now).Backlog, 0.0)
	b.look("w2", Listing{})
	assert.Assert(t, b.core.report(b.now).Backlog > 0)
	assert.Equal(t, len(b.plan().Starts), 2)
}
