package fleetowner

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/policy/work"
)

// newUnansweredWave returns a fixture and its fleet with a wave of v1 and v2, one at a time. The
// order for v1 has not been answered.
func newUnansweredWave(t *testing.T) (*fixture, *Fleet) {
	r := newFixture()
	r.addVM("v1", "a")
	r.addVM("v2", "a")
	r.reports["a"], r.reports["b"] = engine.CellReport{Workers: idleWorkers("v1", "v2")}, engine.CellReport{}
	r.waves = []OrderedWave{wave(1, "v1", "v2")}
	r.outcome = engine.VMUnknown
	f := r.fleet()
	r.pass(f)
	r.pass(f)
	assert.DeepEqual(t, r.calls, []string{"maintain v1"})
	return r, f
}

// restart has the incarnation on v1 end, with the VM in the given state meanwhile, and w-next run
// there with so many tasks.
func (r *fixture) restart(f *Fleet, meanwhile work.VMState, tasks int) {
	r.setVM("v1", meanwhile, "")
	r.pass(f)
	r.reports["a"] = engine.CellReport{Workers: append(idleWorkers("v2"), engine.WorkerReport{ID: "w-next", Polled: true, Tasks: tasks})}
	r.setVM("v1", work.VMUp, "w-next")
	r.pass(f)
	r.pass(f)
}

// Guards against a wave that is reported as completed although a VM was never maintained: it crashed
// after its order was left unanswered, and that counted as its maintenance.
func TestACrashAfterAnUnansweredOrderIsNoMaintenance(t *testing.T) {
	r, f := newUnansweredWave(t)
	r.outcome = engine.VMDone
	r.restart(f, work.VMDown, 0)
	assert.DeepEqual(t, r.calls, []string{"maintain v1", "maintain v1"})
	assert.Equal(t, len(f.waves["1"].Done), 0)
	r.setVM("v1", work.VMMaintenance, "")
	r.pass(f)
	r.setVM("v1", work.VMUp, "w-third")
	r.pass(f)
	r.pass(f)
	assert.DeepEqual(t, r.calls, []string{"maintain v1", "maintain v1", "maintain v2"})
	r.setVM("v2", work.VMMaintenance, "")
	r.pass(f)
	assert.DeepEqual(t, r.reportedStates, []bool{false})
	r.setVM("v2", work.VMUp, "w-fourth")
	r.pass(f)
	r.pass(f)
	assert.DeepEqual(t, r.reportedStates, []bool{false, true})
}

// Guards against a VM that is maintained twice: an order without an answer was carried out, as a
// list of VMs showed.
func TestAnUnansweredOrderThatIsSeenCarriedOutIsNotRepeated(t *testing.T) {
	r, f := newUnansweredWave(t)
	r.outcome = engine.VMDone
	r.restart(f, work.VMMaintenance, 0)
	assert.Assert(t, f.waves["1"].Done["v1"])
	assert.DeepEqual(t, r.calls, []string{"maintain v1", "maintain v2"})
}

// Guards against a wave that never ends: the order was carried out, and no list of VMs showed it. The
// platform accepts the repeated order and does nothing.
func TestARepeatedOrderThatWasCarriedOutBeforeCompletes(t *testing.T) {
	r, f := newUnansweredWave(t)
	r.outcome = engine.VMDone
	r.restart(f, work.VMUp, 0)
	for range 15 {
		r.pass(f)
	}
	assert.Assert(t, f.waves["1"].Done["v1"])
	assert.DeepEqual(t, r.calls, []string{"maintain v1", "maintain v1", "maintain v2"})
}

// Guards against too many VMs of a wave away at a time, and against tasks that a late order ends: an
// order that may still be carried out counts, and its VM is emptied before it is repeated.
func TestAnUndecidedOrderCountsAsAwayUntilItExpires(t *testing.T) {
	r, f := newUnansweredWave(t)
	r.outcome = engine.VMBusy
	r.refusedClaims["w-next"] = true
	r.restart(f, work.VMDown, 1)
	assert.Equal(t, len(r.calls), 1)
	assert.Assert(t, r.countOrders(engine.OrderVacate) > 0)
	assert.Equal(t, r.countOrders(engine.OrderUncordon), 0)
	delete(r.refusedClaims, "w-next")
	r.pass(f)
	assert.Equal(t, len(r.calls), 2, "refused now, but the first may be carried out")
	for range 20 {
		r.pass(f)
	}
	assert.Equal(t, len(r.calls), 2)
	r.now += orderExpiry
	r.pass(f)
	r.pass(f)
	assert.Assert(t, len(r.calls) > 2)
}

// Guards against a VM that gets another order while a move of it may still be carried out: a crash
// counted as the move.
func TestACrashAfterAnUnansweredMoveIsNoMove(t *testing.T) {
	r := newFixture()
	r.addVM("v1", "a")
	r.reports["a"], r.reports["b"] = engine.CellReport{Workers: idleWorkers("v1")}, engine.CellReport{}
	f := r.fleet()
	r.pass(f)
	f.orders["v1"] = &vmOrder{sent: r.now, pool: "b", cell: "a", incarnation: "w-v1"}
	r.setVM("v1", work.VMDown, "")
	r.now += idleListInterval
	r.pass(f)
	r.setVM("v1", work.VMUp, "w-next")
	r.pass(f)
	assert.Assert(t, f.orderOf("v1") != nil)
	r.vms[0].Pool = "b"
	r.pass(f)
	assert.Assert(t, f.orderOf("v1") == nil)

	f.orders["v1"] = &vmOrder{sent: r.now, pool: "a", cell: "b", incarnation: "w-next"}
	r.now += orderExpiry + time.Second
	r.pass(f)
	assert.Assert(t, f.orderOf("v1") == nil, "expired")
}

// Guards against a wave that cuts tasks, or stands still, as one of its VMs can't be emptied: the VM
// is opened and tried again later, and the others go on.
func TestAVMThatMustNotBeCordonedIsPostponed(t *testing.T) {
	r := newFixture()
	r.addVM("v1", "a")
	r.addVM("v2", "a")
	busy := idleWorkers("v1", "v2")
	busy[0].Tasks, busy[0].LongRunning, busy[1].Tasks = 2, 2, 3
	r.reports["a"] = engine.CellReport{Workers: busy}
	r.waves = []OrderedWave{wave(1, "v1", "v2")}
	f := r.fleet()
	vacated := func(id work.WorkerID) bool {
		r.orders = nil
		r.pass(f)
		r.pass(f)
		return slices.Contains(r.orders, engine.CellOrder{Kind: engine.OrderVacate, Worker: id})
	}
	assert.Assert(t, vacated("w-v2"), "the one without long-running tasks first")
	busy[1].Tasks, busy[1].Cordon = 0, engine.Cordon{Kind: engine.CordonVacate, Token: r.Token()}
	r.pass(f)
	r.setVM("v2", work.VMMaintenance, "")
	r.pass(f)
	r.setVM("v2", work.VMUp, "w-next")
	r.pass(f)
	assert.Assert(t, vacated("w-v1"))
	busy[0].Cordon, busy[0].CordonBlocked = engine.Cordon{Kind: engine.CordonVacate, Token: r.Token()}, true
	r.pass(f)
	busy[0].Cordon, busy[0].CordonBlocked = engine.Cordon{Kind: engine.CordonMaintenanceDue, Token: r.Token()}, false
	assert.Assert(t, !vacated("w-v1"))
	r.now += postponement
	assert.Assert(t, vacated("w-v1"))
	assert.DeepEqual(t, r.reportedStates, []bool{false})
}
