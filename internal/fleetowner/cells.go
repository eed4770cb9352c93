package fleetowner

import (
	"context"
	"sync"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/policy/work"
)

// cellView is the report of a cell's owner in this pass.
type cellView struct {
	engine.CellReport
	byID map[work.WorkerID]*engine.WorkerReport
}

// cellOrder is an order for a worker of a cell.
type cellOrder struct {
	cell  string
	order engine.CellOrder
}

// syncCells sends the orders to their cells and returns which of them were carried out, by
// worker. With nil orders it asks every cell for a report instead, and replaces f.cells.
func (f *Fleet) syncCells(ctx context.Context, orders []cellOrder) map[work.WorkerID]bool {
	byCell := make(map[string][]engine.CellOrder)
	for name, s := range f.Declared().Services {
		if !s.Standby {
			byCell[name] = nil
		}
	}
	for _, o := range orders {
		byCell[o.cell] = append(byCell[o.cell], o.order)
	}
	var joined map[string][]work.WorkerID
	zones := false
	if orders == nil {
		zones = f.needsZones()
		joined = f.unreportedWorkers()
	}
	var mu sync.Mutex
	var calls sync.WaitGroup
	views := make(map[string]*cellView)
	carriedOut := make(map[work.WorkerID]bool)
	for cell, list := range byCell {
		if orders != nil && len(list) == 0 {
			continue
		}
		calls.Go(func() {
			a, err := f.syncCell(ctx, cell, engine.CellSync{Token: f.Term.Token(), Orders: list, Joined: joined[cell], Zones: zones})
			if err != nil {
				return
			}
			view := viewOf(a.Report)
			if orders == nil && f.cells[cell] == nil {
				f.announceJoined(ctx, cell, view, zones)
			}
			mu.Lock()
			defer mu.Unlock()
			views[cell] = view
			for i, o := range list {
				carriedOut[o.Worker] = i < len(a.Executed) && a.Executed[i]
			}
		})
	}
	calls.Wait()
	if orders == nil {
		f.cells = views
	}
	return carriedOut
}

// syncCell makes the call to one cell, within syncTimeout.
func (f *Fleet) syncCell(ctx context.Context, cell string, s engine.CellSync) (engine.CellAnswer, error) {
	call, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	a, err := f.Cells.Sync(call, cell, s)
	if err != nil {
		f.Log.V(1).Info("synchronizing with the owner of a cell failed", "cell", cell, "orders", len(s.Orders), "error", err.Error())
	}
	return a, err
}

// unreportedWorkers returns, by cell, the workers that are up according to the list of VMs and
// are missing in the cell's report.
func (f *Fleet) unreportedWorkers() map[string][]work.WorkerID {
	out := make(map[string][]work.WorkerID)
	for cell, view := range f.cells {
		out[cell] = f.unreportedIn(cell, view)
	}
	return out
}

// unreportedIn returns the workers of the cell that are up according to the list of VMs and are
// missing in its report.
func (f *Fleet) unreportedIn(cell string, view *cellView) (out []work.WorkerID) {
	for _, vm := range f.vms {
		if vm.Pool == cell && vm.State == work.VMUp && vm.Worker != "" && view.byID[vm.Worker] == nil {
			out = append(out, vm.Worker)
		}
	}
	return out
}

// announceJoined tells a cell that did not report in the last pass, at once, of the workers that
// are missing in its first report. VMs that joined while the cell had no owner would otherwise
// take no work until the pass after, if the new owner's watch has not delivered them.
func (f *Fleet) announceJoined(ctx context.Context, cell string, view *cellView, zones bool) {
	joined := f.unreportedIn(cell, view)
	if len(joined) == 0 {
		return
	}
	if a, err := f.syncCell(ctx, cell, engine.CellSync{Token: f.Term.Token(), Joined: joined, Zones: zones}); err == nil {
		*view = *viewOf(a.Report)
	}
}

// viewOf indexes a report by worker.
func viewOf(r engine.CellReport) *cellView {
	v := &cellView{CellReport: r, byID: make(map[work.WorkerID]*engine.WorkerReport, len(r.Workers))}
	for i := range v.Workers {
		v.byID[v.Workers[i].ID] = &v.Workers[i]
	}
	return v
}

// send sends orders to cells and returns which of them were carried out, by worker.
func (f *Fleet) send(ctx context.Context, orders []cellOrder) map[work.WorkerID]bool {
	if len(orders) == 0 {
		return nil
	}
	return f.syncCells(ctx, orders)
}

// worker returns the report on the VM's present incarnation, or nil if there is none.
func (f *Fleet) worker(vm work.VM) *engine.WorkerReport {
	c := f.cells[vm.Pool]
	if c == nil {
		return nil
	}
	return c.byID[vm.Worker]
}

// isStandby reports whether the pool holds the parked VMs, which run nothing and have no cell.
func (f *Fleet) isStandby(pool string) bool { return f.Declared().Services[pool].Standby }

// reported reports whether it is known what runs on the VMs of the pool: nothing in a standby
// pool, and otherwise what its cell has reported.
func (f *Fleet) reported(pool string) bool { return f.isStandby(pool) || f.cells[pool] != nil }
