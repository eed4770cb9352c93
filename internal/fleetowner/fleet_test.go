package fleetowner

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/policy/work"
)

// fixture provides the clock, term, VM service, waves and cells of a Fleet.
type fixture struct {
	now            time.Duration
	certain        bool
	vms            []work.VM
	lists          int // reads of the list of VMs
	reports        map[string]engine.CellReport
	waves          []OrderedWave
	reportedStates []bool // states of waves that were reported; true for completed

	mu            sync.Mutex
	orders        []engine.CellOrder // orders that the cells received
	calls         []string           // orders that the VM service received
	refusedClaims map[work.WorkerID]bool
	outcome       engine.VMOutcome
	joined        []work.WorkerID // the last unreported workers that a cell was told of
}

func newFixture() *fixture {
	return &fixture{now: time.Minute, certain: true, reports: make(map[string]engine.CellReport), refusedClaims: make(map[work.WorkerID]bool), outcome: engine.VMDone}
}

func (r *fixture) Now() time.Duration          { return r.now }
func (r *fixture) Wall() time.Time             { return time.Unix(0, 0).Add(r.now) }
func (r *fixture) Token() int64                { return 5 }
func (r *fixture) AllowedUntil() time.Duration { return r.now + time.Hour }
func (r *fixture) Certain() bool               { return r.certain }
func (r *fixture) End(string)                  { r.certain = false }
func (r *fixture) HandOver()                   { r.certain = false }

func (r *fixture) List(context.Context) ([]work.VM, error) {
	r.lists++
	return slices.Clone(r.vms), nil
}

func (r *fixture) Move(_ context.Context, vm, pool string, _ int64) engine.VMOutcome {
	return r.recordCall("move " + vm + " " + pool)
}

func (r *fixture) Maintain(_ context.Context, vm, _ string, _ int64) engine.VMOutcome {
	return r.recordCall("maintain " + vm)
}

func (r *fixture) recordCall(what string) engine.VMOutcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, what)
	return r.outcome
}

func (r *fixture) Sync(_ context.Context, cell string, s engine.CellSync) (engine.CellAnswer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report, known := r.reports[cell]
	if !known {
		return engine.CellAnswer{}, engine.ErrNotReady
	}
	a := engine.CellAnswer{Report: report}
	if len(s.Joined) > 0 {
		r.joined = s.Joined
	}
	for _, o := range s.Orders {
		r.orders = append(r.orders, o)
		a.Executed = append(a.Executed, o.Kind != engine.OrderClaim || !r.refusedClaims[o.Worker])
	}
	return a, nil
}

// countOrders returns how many orders of the kind the cells received.
func (r *fixture) countOrders(kind engine.CellOrderKind) int {
	n := 0
	for _, o := range r.orders {
		if o.Kind == kind {
			n++
		}
	}
	return n
}

func (r *fixture) Ordered() []OrderedWave { return r.waves }

func (r *fixture) Report(_ context.Context, _ string, completed bool) error {
	r.reportedStates = append(r.reportedStates, completed)
	return nil
}

func (r *fixture) fleet() *Fleet {
	f := New(Options{
		Store: memstore.New(clockwork.NewFakeClock()), Machines: r, Waves: r, Cells: r, Clock: r, Term: r, Log: logr.Discard(),
		Declared: func() engine.Declared {
			return engine.Declared{Services: map[string]engine.Service{"a": {Name: "a"}, "b": {Name: "b"}, "off": {Name: "off", Standby: true}}}
		},
	})
	f.startedAt = r.now
	return f
}

// pass advances the clock by 100 ms and runs one pass.
func (r *fixture) pass(f *Fleet) {
	r.now += 100 * time.Millisecond
	f.pass(context.Background())
}

func (r *fixture) addVM(id, pool string) {
	r.vms = append(r.vms, work.VM{ID: id, Pool: pool, State: work.VMUp, Worker: work.WorkerID("w-" + id), Size: work.Resources{MilliCPU: 16000}})
}

func (r *fixture) setVM(id string, state work.VMState, incarnation work.WorkerID) {
	for i := range r.vms {
		if r.vms[i].ID == id {
			r.vms[i].State, r.vms[i].Worker = state, incarnation
		}
	}
}

func idleWorkers(ids ...string) []engine.WorkerReport {
	var out []engine.WorkerReport
	for _, id := range ids {
		out = append(out, engine.WorkerReport{ID: work.WorkerID("w-" + id), Polled: true, EmptyFor: time.Second})
	}
	return out
}

func wave(maxAtATime int, vms ...string) OrderedWave {
	return OrderedWave{Wave: work.Wave{Name: "1", VMs: vms, Duration: time.Minute, MaxAtATime: maxAtATime}, Seen: time.Minute}
}

func TestAWaveTakesItsVMsInTurnAndIsReported(t *testing.T) {
	r := newFixture()
	r.addVM("v1", "a")
	r.addVM("v2", "a")
	r.reports["a"], r.reports["b"] = engine.CellReport{Workers: idleWorkers("v1", "v2")}, engine.CellReport{}
	r.waves = []OrderedWave{wave(1, "v1", "v2")}
	f := r.fleet()
	r.pass(f)
	r.pass(f)
	assert.DeepEqual(t, r.calls, []string{"maintain v1"})
	r.setVM("v1", work.VMMaintenance, "")
	r.pass(f)
	assert.Equal(t, len(r.calls), 1, "one at a time")
	r.setVM("v1", work.VMUp, "w-next")
	r.pass(f)
	r.pass(f)
	assert.DeepEqual(t, r.calls, []string{"maintain v1", "maintain v2"})
	r.setVM("v2", work.VMUp, "w-other")
	r.pass(f)
	r.pass(f)
	assert.DeepEqual(t, r.reportedStates, []bool{false, true})
}

// A task that was started after the cell's report would be killed by maintenance. The cell's
// owner refuses the claim, and without a claim no order must be sent.
func TestNoOrderWithoutTheCellsClaim(t *testing.T) {
	r := newFixture()
	r.addVM("v1", "a")
	r.reports["a"] = engine.CellReport{Workers: idleWorkers("v1")}
	r.refusedClaims["w-v1"] = true
	r.waves = []OrderedWave{wave(1, "v1")}
	f := r.fleet()
	r.pass(f)
	r.pass(f)
	assert.Equal(t, len(r.calls), 0)
}

// It is not known what runs on the VMs of a cell that does not report. They must get no orders,
// and the wave waits.
func TestVMsOfACellThatDoesNotReportAreLeftAlone(t *testing.T) {
	r := newFixture()
	r.addVM("v1", "a")
	r.waves = []OrderedWave{wave(1, "v1")}
	f := r.fleet()
	r.pass(f)
	r.pass(f)
	assert.Equal(t, len(r.calls), 0)
	assert.DeepEqual(t, r.reportedStates, []bool{false})
}

// An order without an answer was carried out late, in addition to the order that replaced it, so
// that too many VMs of a wave were down. Such an order must count as maintenance in progress.
func TestAnOrderWithoutAnswerCountsAsAway(t *testing.T) {
	r := newFixture()
	r.addVM("v1", "a")
	r.addVM("v2", "a")
	r.reports["a"] = engine.CellReport{Workers: idleWorkers("v1", "v2")}
	r.outcome = engine.VMUnknown
	r.waves = []OrderedWave{wave(1, "v1", "v2")}
	f := r.fleet()
	for range 20 {
		r.pass(f)
	}
	assert.DeepEqual(t, r.calls, []string{"maintain v1"})
	r.now += orderExpiry
	r.pass(f)
	r.pass(f)
	assert.Equal(t, len(r.calls), 2, "the order certainly has no more effect by now")
}

// Two successive owners that order the same VM undo each other's orders. A new owner must not
// order a VM for which the previous one may just have given an order.
func TestANewOwnerLeavesVMsThatAreNotUpAloneForAWhile(t *testing.T) {
	r := newFixture()
	r.addVM("v1", "a")
	r.setVM("v1", work.VMMoving, "")
	r.reports["a"] = engine.CellReport{}
	r.waves = []OrderedWave{wave(1, "v1")}
	f := r.fleet()
	r.pass(f)
	r.setVM("v1", work.VMUp, "w-v1")
	r.reports["a"] = engine.CellReport{Workers: idleWorkers("v1")}
	for range 10 {
		r.pass(f)
	}
	assert.Equal(t, len(r.calls), 0)
	r.now += inheritedVMPause
	r.pass(f)
	assert.DeepEqual(t, r.calls, []string{"maintain v1"})
}

// A wave was late because its owner was replaced by an entry VM that had started after the wave
// was ordered and assumed that the whole duration was left. The new owner must use the time that
// the first owner has stored.
func TestANewOwnerKnowsHowLongAWaveHasBeenGoingOn(t *testing.T) {
	r := newFixture()
	r.addVM("v1", "a")
	busy := idleWorkers("v1")
	busy[0].Tasks, busy[0].EmptyFor = 1, 0
	r.reports["a"] = engine.CellReport{Backlog: 100, Workers: busy}
	r.waves = []OrderedWave{wave(1, "v1")}
	first := r.fleet()
	r.pass(first)
	r.pass(first)
	assert.Equal(t, r.countOrders(engine.OrderVacate), 0, "enough time is left: a VM in use is not drained")
	r.now += r.waves[0].Duration - 5*time.Second
	r.waves[0].Seen = r.now
	second := r.fleet()
	second.Store = first.Store
	r.pass(second)
	r.pass(second)
	assert.Assert(t, r.countOrders(engine.OrderVacate) > 0)
}

// Guards against a wave that is reported as running after it was reported as completed, and ordered
// again for a VM that comes back: the next owner must know that it is completed, also where that
// followed from a VM that left.
func TestANewOwnerKnowsThatAWaveIsCompleted(t *testing.T) {
	r := newFixture()
	r.addVM("v1", "a")
	r.addVM("v2", "a")
	r.reports["a"], r.reports["b"] = engine.CellReport{Workers: idleWorkers("v1", "v2")}, engine.CellReport{}
	r.waves = []OrderedWave{wave(1, "v1", "v2")}
	first := r.fleet()
	r.pass(first)
	r.pass(first)
	r.setVM("v1", work.VMMaintenance, "")
	r.pass(first)
	r.setVM("v1", work.VMUp, "w-next")
	r.refusedClaims["w-v2"] = true
	r.pass(first)
	both := r.vms
	r.vms = both[:1]
	r.pass(first)
	r.pass(first)
	assert.DeepEqual(t, r.reportedStates, []bool{false, true})

	r.vms = both
	delete(r.refusedClaims, "w-v2")
	calls := len(r.calls)
	second := r.fleet()
	second.Store = first.Store
	for range 3 {
		r.pass(second)
	}
	assert.DeepEqual(t, r.reportedStates, []bool{false, true, true})
	assert.Equal(t, len(r.calls), calls, "nothing is ordered for a completed wave")
}

// The platform refuses reads of the list of VMs beyond a rate for all entry VMs together. With
// one read per second a wave must work with a list that is up to four seconds old.
func TestTheListOfVMsIsReadWithinThePlatformsRate(t *testing.T) {
	r := newFixture()
	r.addVM("v1", "a")
	r.waves = []OrderedWave{wave(1, "v1")}
	f := r.fleet()
	f.ListRate = 1
	for range 7 {
		r.pass(f)
		r.now += 500 * time.Millisecond
	}
	assert.Equal(t, r.lists, 1)
	r.pass(f)
	assert.Equal(t, r.lists, 2)
}

func TestNoOrdersWithoutACertainLease(t *testing.T) {
	r := newFixture()
	r.addVM("v1", "a")
	r.reports["a"] = engine.CellReport{Workers: idleWorkers("v1")}
	r.waves = []OrderedWave{wave(1, "v1")}
	r.certain = false
	f := r.fleet()
	r.pass(f)
	r.pass(f)
	assert.Equal(t, len(r.calls), 0)
	assert.Equal(t, len(r.orders), 0, "no cell is asked to cordon a worker either")
}

// A long-running task was moved to a VM that the same wave maintained next, and had to move
// again. Cells are told which VMs are due; the mark is removed once a VM is not due any more.
func TestCellsAreToldWhichVMsAreDue(t *testing.T) {
	r := newFixture()
	r.addVM("v1", "a")
	r.addVM("v2", "a")
	reports := idleWorkers("v1", "v2")
	reports[0].Tasks, reports[0].EmptyFor = 1, 0
	r.reports["a"] = engine.CellReport{Backlog: 100, Workers: reports}
	r.waves = []OrderedWave{wave(1, "v1")}
	f := r.fleet()
	r.pass(f)
	r.pass(f)
	assert.DeepEqual(t, r.orders[0], engine.CellOrder{Kind: engine.OrderMaintenanceDue, Worker: "w-v1"})
	reports[0].Cordon = engine.Cordon{Kind: engine.CordonMaintenanceDue, Token: r.Token()}
	r.orders = nil
	r.pass(f)
	assert.Equal(t, len(r.orders), 0)
	r.waves = nil
	r.pass(f)
	assert.DeepEqual(t, r.orders, []engine.CellOrder{{Kind: engine.OrderUncordon, Worker: "w-v1"}})
}

// Workers stayed cordoned for good after an owner of the fleet was lost. The next owner must
// uncordon those that were draining at once, and those that were claimed when the orders of the
// earlier owner certainly have no more effect.
func TestCordonsOfAnEarlierOwnerAreRemoved(t *testing.T) {
	r := newFixture()
	r.addVM("v1", "a")
	r.addVM("v2", "a")
	cordoned := idleWorkers("v1", "v2")
	cordoned[0].Cordon = engine.Cordon{Kind: engine.CordonVacate, Token: 4}
	cordoned[1].Cordon = engine.Cordon{Kind: engine.CordonClaimed, Token: 4}
	r.reports["a"] = engine.CellReport{Workers: cordoned}
	f := r.fleet()
	r.pass(f)
	assert.DeepEqual(t, r.orders, []engine.CellOrder{{Kind: engine.OrderUncordon, Worker: "w-v1"}})
	r.now += orderExpiry
	r.orders = nil
	r.pass(f)
	assert.Equal(t, len(r.orders), 2)
}

func TestVMsOfIdlePoolsMoveToABacklog(t *testing.T) {
	r := newFixture()
	for _, id := range []string{"a1", "a2"} {
		r.addVM(id, "a")
	}
	for _, id := range []string{"b1", "b2", "b3", "b4"} {
		r.addVM(id, "b")
	}
	r.addVM("p1", "off")
	busy := idleWorkers("a1", "a2")
	for i := range busy {
		busy[i].Tasks, busy[i].EmptyFor = 4, 0
	}
	r.reports["a"] = engine.CellReport{Used: 32, Backlog: 20, Workers: busy}
	r.reports["b"] = engine.CellReport{Workers: idleWorkers("b1", "b2", "b3", "b4")}
	f := r.fleet()
	r.pass(f)
	slices.Sort(r.calls)
	assert.DeepEqual(t, r.calls, []string{"move b1 a", "move p1 a"})
	r.pass(f)
	assert.Equal(t, len(r.calls), 2, "VMs that are moving count as capacity of the pool")
}

// A cell does not use a VM whose worker's registration has not reached it. It must be told of
// workers that the list of VMs shows and that its reports lack.
func TestACellIsToldOfWorkersItDoesNotReport(t *testing.T) {
	r := newFixture()
	r.addVM("v1", "a")
	r.addVM("v2", "a")
	r.addVM("v3", "a")
	r.setVM("v3", work.VMMoving, "w-v3")
	r.reports["a"], r.reports["b"] = engine.CellReport{Workers: idleWorkers("v1"), Backlog: 1}, engine.CellReport{}
	f := r.fleet()
	r.pass(f)
	r.pass(f)
	assert.DeepEqual(t, r.joined, []work.WorkerID{"w-v2"})
}

// A VM stayed idle for good. A new owner of the fleet had ordered its maintenance again without
// knowing that it was done; the platform accepts such an order and does nothing, but the cell was
// told that the incarnation had ended. The cell must be told so only once a list of VMs shows it.
func TestARepeatedMaintenanceOrderDoesNotEndTheIncarnation(t *testing.T) {
	r := newFixture()
	r.addVM("v1", "a")
	r.addVM("v2", "a")
	r.reports["a"] = engine.CellReport{Workers: idleWorkers("v1", "v2")}
	r.waves = []OrderedWave{wave(1, "v1", "v2")}
	f := r.fleet()
	for range 15 {
		r.pass(f)
	}
	assert.DeepEqual(t, r.calls, []string{"maintain v1", "maintain v2"})
	assert.Equal(t, r.countOrders(engine.OrderWorkerRemoved), 0)
	r.setVM("v2", work.VMMaintenance, "")
	r.pass(f)
	assert.Equal(t, r.countOrders(engine.OrderWorkerRemoved), 1)
	r.setVM("v2", work.VMUp, "w-next")
	r.pass(f)
	r.pass(f)
	assert.Equal(t, r.countOrders(engine.OrderWorkerRemoved), 1, "told once")
}

// A wave does not drain VMs while work waits in their pool. Work that is too late to be of use
// waits for as long as other cells lack VMs, and if it counted, the wave would be late.
func TestAWaveGoesOnWhileOnlyLateWorkWaits(t *testing.T) {
	r := newFixture()
	r.addVM("a1", "a")
	f := r.fleet()
	waits := func(report engine.CellReport) bool {
		report.Workers = idleWorkers("a1")
		r.reports["a"] = report
		r.pass(f)
		return f.candidate(&waveRun{}, r.vms[0], false).Backlog
	}
	assert.Equal(t, waits(engine.CellReport{ExpiredBacklog: 20}), false)
	assert.Equal(t, waits(engine.CellReport{Backlog: 20}), true)
}
