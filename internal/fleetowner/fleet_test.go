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

// rig is a fleet's owner over VMs and cells that do as the test says.
type rig struct {
	now     time.Duration
	certain bool
	vms     []work.VM
	lists   int // of VMs, asked for
	reports map[string]engine.CellReport
	waves   []OrderedWave
	states  []bool // reported, true for completed

	mu     sync.Mutex
	orders []engine.CellOrder // as cells got them
	calls  []string           // as the VM service got them
	refuse map[work.WorkerID]bool
	answer engine.VMOutcome
	joined []work.WorkerID // as the last cell was told that was told of any
}

func newRig() *rig {
	return &rig{now: time.Minute, certain: true, reports: make(map[string]engine.CellReport), refuse: make(map[work.WorkerID]bool), answer: engine.VMDone}
}

func (r *rig) Now() time.Duration          { return r.now }
func (r *rig) Wall() time.Time             { return time.Unix(0, 0).Add(r.now) }
func (r *rig) Token() int64                { return 5 }
func (r *rig) AllowedUntil() time.Duration { return r.now + time.Hour }
func (r *rig) Certain() bool               { return r.certain }
func (r *rig) End(string)                  { r.certain = false }
func (r *rig) Relieve()                    { r.certain = false }

func (r *rig) List(context.Context) ([]work.VM, error) {
	r.lists++
	return slices.Clone(r.vms), nil
}

func (r *rig) Move(_ context.Context, vm, pool string, _ int64) engine.VMOutcome {
	return r.called("move " + vm + " " + pool)
}

func (r *rig) Maintain(_ context.Context, vm, _ string, _ int64) engine.VMOutcome {
	return r.called("maintain " + vm)
}

func (r *rig) called(what string) engine.VMOutcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, what)
	return r.answer
}

func (r *rig) Sync(_ context.Context, cell string, s engine.CellSync) (engine.CellAnswer, error) {
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
		a.Taken = append(a.Taken, o.Kind != engine.OrderClaim || !r.refuse[o.Worker])
	}
	return a, nil
}

// ordered counts the orders of the kind that cells got.
func (r *rig) ordered(kind engine.CellOrderKind) int {
	n := 0
	for _, o := range r.orders {
		if o.Kind == kind {
			n++
		}
	}
	return n
}

func (r *rig) Ordered() []OrderedWave { return r.waves }

func (r *rig) Report(_ context.Context, _ string, completed bool) error {
	r.states = append(r.states, completed)
	return nil
}

func (r *rig) fleet() *Fleet {
	f := New(Options{
		Store: memstore.New(clockwork.NewFakeClock()), Machines: r, Waves: r, Cells: r, Clock: r, Term: r, Log: logr.Discard(),
		Declared: func() engine.Declared {
			return engine.Declared{Services: map[string]engine.Service{"a": {Name: "a"}, "b": {Name: "b"}, "off": {Name: "off", Standby: true}}}
		},
	})
	f.began = r.now
	return f
}

// pass lets time go on and looks once.
func (r *rig) pass(f *Fleet) {
	r.now += 100 * time.Millisecond
	f.pass(context.Background())
}

func (r *rig) vm(id, pool string) {
	r.vms = append(r.vms, work.VM{ID: id, Pool: pool, State: work.VMUp, Worker: work.WorkerID("w-" + id), Size: work.Resources{MilliCPU: 16000}})
}

func (r *rig) set(id string, state work.VMState, life work.WorkerID) {
	for i := range r.vms {
		if r.vms[i].ID == id {
			r.vms[i].State, r.vms[i].Worker = state, life
		}
	}
}

func empty(ids ...string) []engine.WorkerReport {
	var out []engine.WorkerReport
	for _, id := range ids {
		out = append(out, engine.WorkerReport{ID: work.WorkerID("w-" + id), Polled: true, EmptyFor: time.Second})
	}
	return out
}

func wave(most int, vms ...string) OrderedWave {
	return OrderedWave{Wave: work.Wave{Name: "1", VMs: vms, Duration: time.Minute, MaxAtATime: most}, Seen: time.Minute}
}

func TestAWaveTakesItsVMsInTurnAndIsReported(t *testing.T) {
	r := newRig()
	r.vm("v1", "a")
	r.vm("v2", "a")
	r.reports["a"], r.reports["b"] = engine.CellReport{Workers: empty("v1", "v2")}, engine.CellReport{}
	r.waves = []OrderedWave{wave(1, "v1", "v2")}
	f := r.fleet()
	r.pass(f)
	r.pass(f)
	assert.DeepEqual(t, r.calls, []string{"maintain v1"})
	r.set("v1", work.VMMaintenance, "")
	r.pass(f)
	assert.Equal(t, len(r.calls), 1, "one at a time")
	r.set("v1", work.VMUp, "w-next")
	r.pass(f)
	r.pass(f)
	assert.DeepEqual(t, r.calls, []string{"maintain v1", "maintain v2"})
	r.set("v2", work.VMUp, "w-other")
	r.pass(f)
	r.pass(f)
	assert.DeepEqual(t, r.states, []bool{false, true})
}

// A task is cut by maintenance: it was started after the report. The cell's owner
// refuses the claim, and without it no order leaves.
func TestNoOrderWithoutTheCellsClaim(t *testing.T) {
	r := newRig()
	r.vm("v1", "a")
	r.reports["a"] = engine.CellReport{Workers: empty("v1")}
	r.refuse["w-v1"] = true
	r.waves = []OrderedWave{wave(1, "v1")}
	f := r.fleet()
	r.pass(f)
	r.pass(f)
	assert.Equal(t, len(r.calls), 0)
}

// What runs on the VMs of a cell without an owner is not known: they are left
// alone, and the wave waits.
func TestVMsOfACellThatDoesNotReportAreLeftAlone(t *testing.T) {
	r := newRig()
	r.vm("v1", "a")
	r.waves = []OrderedWave{wave(1, "v1")}
	f := r.fleet()
	r.pass(f)
	r.pass(f)
	assert.Equal(t, len(r.calls), 0)
	assert.DeepEqual(t, r.states, []bool{false})
}

// Too many VMs of a wave are away: an order without an answer was carried out
// late, beside the one that replaced it.
func TestAnOrderWithoutAnswerCountsAsAway(t *testing.T) {
	r := newRig()
	r.vm("v1", "a")
	r.vm("v2", "a")
	r.reports["a"] = engine.CellReport{Workers: empty("v1", "v2")}
	r.answer = engine.VMUnknown
	r.waves = []OrderedWave{wave(1, "v1", "v2")}
	f := r.fleet()
	for range 20 {
		r.pass(f)
	}
	assert.DeepEqual(t, r.calls, []string{"maintain v1"})
	r.now += orderOver
	r.pass(f)
	r.pass(f)
	assert.Equal(t, len(r.calls), 2, "it is certain by now not to come")
}

// Two owners that take turns at one VM undo each other's orders: a new one leaves
// alone what an earlier one may just have ordered.
func TestANewOwnerLeavesVMsThatAreNotUpAloneForAWhile(t *testing.T) {
	r := newRig()
	r.vm("v1", "a")
	r.set("v1", work.VMMoving, "")
	r.reports["a"] = engine.CellReport{}
	r.waves = []OrderedWave{wave(1, "v1")}
	f := r.fleet()
	r.pass(f)
	r.set("v1", work.VMUp, "w-v1")
	r.reports["a"] = engine.CellReport{Workers: empty("v1")}
	for range 10 {
		r.pass(f)
	}
	assert.Equal(t, len(r.calls), 0)
	r.now += vmOrderPause
	r.pass(f)
	assert.DeepEqual(t, r.calls, []string{"maintain v1"})
}

// The operator sees a wave that is late: its owner was replaced by an entry VM that
// started after the wave was ordered, and thought that all of the time was left. The
// first owner notes when it saw the wave.
func TestANewOwnerKnowsHowLongAWaveHasBeenGoingOn(t *testing.T) {
	r := newRig()
	r.vm("v1", "a")
	busy := empty("v1")
	busy[0].Tasks, busy[0].EmptyFor = 1, 0
	r.reports["a"] = engine.CellReport{Backlog: 100, Workers: busy}
	r.waves = []OrderedWave{wave(1, "v1")}
	first := r.fleet()
	r.pass(first)
	r.pass(first)
	assert.Equal(t, r.ordered(engine.OrderVacate), 0, "there is time: a VM in use is left alone")
	r.now += r.waves[0].Duration - 5*time.Second
	r.waves[0].Seen = r.now
	second := r.fleet()
	second.Store = first.Store
	r.pass(second)
	r.pass(second)
	assert.Assert(t, r.ordered(engine.OrderVacate) > 0)
}

// The platform refuses reads of its list beyond its rate, of all entry VMs: a wave goes by
// one that is up to four seconds old where a read a second is what it takes.
func TestTheListOfVMsIsReadAsOftenAsThePlatformTakes(t *testing.T) {
	r := newRig()
	r.vm("v1", "a")
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
	r := newRig()
	r.vm("v1", "a")
	r.reports["a"] = engine.CellReport{Workers: empty("v1")}
	r.waves = []OrderedWave{wave(1, "v1")}
	r.certain = false
	f := r.fleet()
	r.pass(f)
	r.pass(f)
	assert.Equal(t, len(r.calls), 0)
	assert.Equal(t, len(r.orders), 0, "no cell is told to close a VM either")
}

// A lasting task moves to a VM that the same wave takes next, and moves again. Cells
// are told which VMs are due; those that are done, or no longer due, count as others.
func TestCellsAreToldWhichVMsAreDue(t *testing.T) {
	r := newRig()
	r.vm("v1", "a")
	r.vm("v2", "a")
	reports := empty("v1", "v2")
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
	assert.DeepEqual(t, r.orders, []engine.CellOrder{{Kind: engine.OrderOpen, Worker: "w-v1"}})
}

// Workers stay closed for ever after an owner of the fleet is gone: what it
// closed to empty is opened at once, what it claimed once its orders are over.
func TestWhatAnEarlierOwnerClosedIsOpenedAgain(t *testing.T) {
	r := newRig()
	r.vm("v1", "a")
	r.vm("v2", "a")
	closed := empty("v1", "v2")
	closed[0].Cordon = engine.Cordon{Kind: engine.CordonVacate, Token: 4}
	closed[1].Cordon = engine.Cordon{Kind: engine.CordonClaimed, Token: 4}
	r.reports["a"] = engine.CellReport{Workers: closed}
	f := r.fleet()
	r.pass(f)
	assert.DeepEqual(t, r.orders, []engine.CellOrder{{Kind: engine.OrderOpen, Worker: "w-v1"}})
	r.now += orderOver
	r.orders = nil
	r.pass(f)
	assert.Equal(t, len(r.orders), 2)
}

func TestABacklogDrawsVMsFromIdlePools(t *testing.T) {
	r := newRig()
	for _, id := range []string{"a1", "a2"} {
		r.vm(id, "a")
	}
	for _, id := range []string{"b1", "b2", "b3", "b4"} {
		r.vm(id, "b")
	}
	r.vm("p1", "off")
	busy := empty("a1", "a2")
	for i := range busy {
		busy[i].Tasks, busy[i].EmptyFor = 4, 0
	}
	r.reports["a"] = engine.CellReport{Used: 32, Backlog: 20, Workers: busy}
	r.reports["b"] = engine.CellReport{Workers: empty("b1", "b2", "b3", "b4")}
	f := r.fleet()
	r.pass(f)
	slices.Sort(r.calls)
	assert.DeepEqual(t, r.calls, []string{"move b1 a", "move p1 a"})
	r.pass(f)
	assert.Equal(t, len(r.calls), 2, "those on their way count")
}

// A cell does not use a VM that has come: its registration has not reached it. It is told
// of workers that the list of VMs shows and its reports lack.
func TestACellIsToldOfWorkersItDoesNotReport(t *testing.T) {
	r := newRig()
	r.vm("v1", "a")
	r.vm("v2", "a")
	r.vm("v3", "a")
	r.set("v3", work.VMMoving, "w-v3")
	r.reports["a"], r.reports["b"] = engine.CellReport{Workers: empty("v1"), Backlog: 1}, engine.CellReport{}
	f := r.fleet()
	r.pass(f)
	r.pass(f)
	assert.DeepEqual(t, r.joined, []work.WorkerID{"w-v2"})
}

// A VM stands idle for good. Its maintenance was ordered again by a new owner of the fleet,
// which did not know that it was done; the platform accepts that and does nothing, and the
// cell was told that the worker's life is over. It is over once the list shows another.
func TestAMaintenanceThatWasDoneBeforeLeavesTheWorkerItsLife(t *testing.T) {
	r := newRig()
	r.vm("v1", "a")
	r.vm("v2", "a")
	r.reports["a"] = engine.CellReport{Workers: empty("v1", "v2")}
	r.waves = []OrderedWave{wave(1, "v1", "v2")}
	f := r.fleet()
	for range 15 {
		r.pass(f)
	}
	assert.DeepEqual(t, r.calls, []string{"maintain v1", "maintain v2"})
	assert.Equal(t, r.ordered(engine.OrderWorkerRemoved), 0)
	r.set("v2", work.VMMaintenance, "")
	r.pass(f)
	assert.Equal(t, r.ordered(engine.OrderWorkerRemoved), 1)
	r.set("v2", work.VMUp, "w-next")
	r.pass(f)
	r.pass(f)
	assert.Equal(t, r.ordered(engine.OrderWorkerRemoved), 1, "told once")
}

// A wave misses its end: it leaves VMs alone while work waits, and what is too late to be of use
// waits for as long as other cells lack VMs.
func TestAWaveGoesOnWhileOnlyLateWorkWaits(t *testing.T) {
	r := newRig()
	r.vm("a1", "a")
	f := r.fleet()
	waits := func(report engine.CellReport) bool {
		report.Workers = empty("a1")
		r.reports["a"] = report
		r.pass(f)
		return f.candidate(&waveRun{}, r.vms[0], false).Backlog
	}
	assert.Equal(t, waits(engine.CellReport{ExpiredBacklog: 20}), false)
	assert.Equal(t, waits(engine.CellReport{Backlog: 20}), true)
}
