package fleetowner

import (
	"context"
	"sync"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/policy/work"
)

// cellView is what a cell's owner reported in this pass.
type cellView struct {
	engine.CellReport
	byID map[work.WorkerID]*engine.WorkerReport
}

// cellOrder is an order for a worker of a cell.
type cellOrder struct {
	cell  string
	order engine.CellOrder
}

// syncCells asks every cell for a report and hands it its orders. It returns
// which orders were carried out.
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
	if orders == nil {
		joined = f.joined()
	}
	var mu sync.Mutex
	var calls sync.WaitGroup
	views := make(map[string]*cellView)
	taken := make(map[work.WorkerID]bool)
	for cell, list := range byCell {
		if orders != nil && len(list) == 0 {
			continue
		}
		calls.Go(func() {
			a, err := f.syncCell(ctx, cell, engine.CellSync{Token: f.Term.Token(), Orders: list, Joined: joined[cell]})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			views[cell] = viewOf(a.Report)
			for i, o := range list {
				taken[o.Worker] = i < len(a.Taken) && a.Taken[i]
			}
		})
	}
	calls.Wait()
	if orders == nil {
		f.cells = views
	}
	return taken
}

func (f *Fleet) syncCell(ctx context.Context, cell string, s engine.CellSync) (engine.CellAnswer, error) {
	call, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	a, err := f.Cells.Sync(call, cell, s)
	if err != nil {
		f.Log.V(1).Info("cell does not report", "cell", cell, "orders", len(s.Orders), "error", err.Error())
	}
	return a, err
}

// joined returns, for each cell, the workers that live by the list of VMs and are missing
// in its reports.
func (f *Fleet) joined() map[string][]work.WorkerID {
	out := make(map[string][]work.WorkerID)
	for _, vm := range f.vms {
		if vm.State == work.VMUp && vm.Worker != "" && f.cells[vm.Pool] != nil && f.worker(vm) == nil {
			out[vm.Pool] = append(out[vm.Pool], vm.Worker)
		}
	}
	return out
}

func viewOf(r engine.CellReport) *cellView {
	v := &cellView{CellReport: r, byID: make(map[work.WorkerID]*engine.WorkerReport, len(r.Workers))}
	for i := range v.Workers {
		v.byID[v.Workers[i].ID] = &v.Workers[i]
	}
	return v
}

// send hands cells their orders.
func (f *Fleet) send(ctx context.Context, orders []cellOrder) map[work.WorkerID]bool {
	if len(orders) == 0 {
		return nil
	}
	return f.syncCells(ctx, orders)
}

// worker returns the report on the VM's present life; nil where there is none.
func (f *Fleet) worker(vm work.VM) *engine.WorkerReport {
	c := f.cells[vm.Pool]
	if c == nil {
		return nil
	}
	return c.byID[vm.Worker]
}

func (f *Fleet) parked(pool string) bool { return f.Declared().Services[pool].Standby }

// reported reports whether it is known what runs on the pool's VMs.
func (f *Fleet) reported(pool string) bool { return f.parked(pool) || f.cells[pool] != nil }
