package fleetowner

import (
	"context"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/policy/work"
)

// vmOrder is an order for a VM that may not be over.
type vmOrder struct {
	sent time.Duration
	wave string // the order is maintenance of this wave
	pool string // the order is a move to this pool
	cell string // the VM's pool as it was ordered
	life work.WorkerID
	left bool // the VM was seen to be not up since
	// accepted: the platform has begun to carry it out.
	accepted bool
	// ended: the cell was told that the life is over.
	ended bool
}

// inherit notes the VMs that an earlier owner's orders keep busy at the
// take-over: all that are not up in the first list.
func (f *Fleet) inherit(list []work.VM) {
	if f.inherited != nil {
		return
	}
	f.inherited = make(map[string]bool)
	for _, vm := range list {
		if vm.State != work.VMUp {
			f.inherited[vm.ID] = true
		}
	}
}

// reserved reports whether the VM is left alone for now, as an earlier owner
// may just have given it an order.
func (f *Fleet) reserved(vm string) bool {
	return f.inherited[vm] && f.Clock.Now() < f.began+vmOrderPause
}

func (f *Fleet) orderOf(vm string) *vmOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.orders[vm]
}

// settle ends orders whose effect is over, and returns what cells are to know of them.
func (f *Fleet) settle(sent time.Duration) (gone []cellOrder) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, o := range f.orders {
		vm, exists := f.vms[id]
		if !o.ended && (!exists || vm.State != work.VMUp || vm.Worker != o.life) {
			o.ended = true
			gone = append(gone, cellOrder{cell: o.cell, order: engine.CellOrder{Kind: engine.OrderWorkerRemoved, Worker: o.life}})
		}
		switch {
		case !exists:
			delete(f.orders, id)
		case vm.State != work.VMUp:
			o.left = true
		case sent > o.sent && (o.left || vm.Worker != o.life || o.accepted && sent > o.sent+acceptedOver):
			if r := f.waves[o.wave]; r != nil {
				r.Done[id] = true
			}
			delete(f.orders, id)
		case sent > o.sent+orderOver:
			// Not carried out, or over long ago.
			delete(f.orders, id)
		}
	}
	return gone
}

// cellsOf leaves out the orders for VMs that were parked: no cell has them.
func (f *Fleet) cellsOf(orders []cellOrder) []cellOrder {
	return slices.DeleteFunc(orders, func(o cellOrder) bool { return f.parked(o.cell) })
}

// restCordons are the orders for workers that nobody has a reason to keep closed: an
// order that was given up, or what an earlier owner of the fleet left behind. Its
// claims are kept until its orders are certain to be over. Workers whose VMs a wave
// has yet to take are told so.
func (f *Fleet) restCordons() []cellOrder {
	wanted := make(map[work.WorkerID]bool)
	for _, r := range f.waves {
		for id := range r.emptying {
			wanted[f.vms[id].Worker] = true
		}
	}
	f.mu.Lock()
	for _, o := range f.orders {
		wanted[o.life] = true
	}
	f.mu.Unlock()
	var out []cellOrder
	for cell, c := range f.cells {
		for i := range c.Workers {
			w := &c.Workers[i]
			kind, order := engine.CordonNone, engine.OrderOpen
			if f.due[w.ID] {
				kind, order = engine.CordonMaintenanceDue, engine.OrderMaintenanceDue
			}
			if w.Cordon.Kind == kind || wanted[w.ID] {
				continue
			}
			foreign := w.Cordon.Token != f.Term.Token()
			if w.Cordon.Kind == engine.CordonClaimed && foreign && f.Clock.Now() < f.began+orderOver {
				continue
			}
			out = append(out, cellOrder{cell: cell, order: engine.CellOrder{Kind: order, Worker: w.ID}})
		}
	}
	return out
}

// claim books an order for the VM if its cell closes it; nil where it is in use.
// claims of parked VMs need no cell.
func (f *Fleet) claim(ctx context.Context, ids []string, book func(vm work.VM) *vmOrder) map[string]*vmOrder {
	var asks []cellOrder
	var free []work.VM
	for _, id := range ids {
		vm := f.vms[id]
		if f.orderOf(id) != nil || f.reserved(id) || vm.State != work.VMUp {
			continue
		}
		free = append(free, vm)
		if !f.parked(vm.Pool) {
			asks = append(asks, cellOrder{cell: vm.Pool, order: engine.CellOrder{Kind: engine.OrderClaim, Worker: vm.Worker}})
		}
	}
	taken := f.send(ctx, asks)
	out := make(map[string]*vmOrder)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, vm := range free {
		if !f.parked(vm.Pool) && !taken[vm.Worker] {
			continue
		}
		o := book(vm)
		o.cell = vm.Pool
		f.orders[vm.ID] = o
		out[vm.ID] = o
	}
	return out
}

// outcome takes over what became of an order.
func (f *Fleet) outcome(ctx context.Context, id string, o *vmOrder, out engine.VMOutcome) {
	switch out {
	case engine.VMDone:
		// A maintenance is accepted as well where it was done before, by an order of an
		// earlier owner: the life goes on. Taken for over, its VM stood idle for good. So
		// only a move tells the cell now, and a maintenance once the list shows it.
		move := o.wave == ""
		f.mu.Lock()
		o.accepted = true
		o.ended = o.ended || move
		f.mu.Unlock()
		if move && !f.parked(o.cell) {
			f.send(ctx, []cellOrder{{cell: o.cell, order: engine.CellOrder{Kind: engine.OrderWorkerRemoved, Worker: o.life}}})
		}
	case engine.VMFenced:
		f.Term.End("the platform knows a later owner")
	case engine.VMBusy, engine.VMRefused, engine.VMInvalid:
		f.mu.Lock()
		delete(f.orders, id)
		f.mu.Unlock()
	}
}

// each runs do for every booked order, some at a time.
func (f *Fleet) each(booked map[string]*vmOrder, do func(id string, o *vmOrder)) {
	ids := make([]string, 0, len(booked))
	for id := range booked {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		f.wg.Go(func() {
			// Asked again right before it leaves: claims took a while.
			if !f.Term.Certain() {
				f.outcome(context.Background(), id, booked[id], engine.VMRefused)
				return
			}
			do(id, booked[id])
		})
	}
}
