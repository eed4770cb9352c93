package fleetowner

import (
	"context"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/policy/work"
)

// vmOrder is an order for a VM whose effect may not be complete.
type vmOrder struct {
	sent        time.Duration
	wave        string // the order is maintenance of this wave
	pool        string // the order is a move to this pool
	cell        string // the VM's pool when the order was made
	incarnation work.WorkerID
	// seenState is the last state other than up in which a list after the order showed the VM.
	seenState work.VMState
	// begun is set once a list after the order has shown that it is, or was, carried out.
	begun bool
	// accepted is set once the platform has begun to carry out the order.
	accepted bool
	// repeated is set on an order that was sent again while the first call, which was not
	// answered, may still be carried out.
	repeated bool
	// reportedGone is set once the cell has been told that the incarnation has ended.
	reportedGone bool
}

// shownBy reports whether the state of the VM after the order shows that it is, or was, carried out.
// A VM that is down, or has another incarnation, may have crashed instead.
func (o *vmOrder) shownBy(vm work.VM) bool {
	if o.wave != "" {
		return vm.State == work.VMMaintenance
	}
	return vm.State == work.VMMoving || vm.Pool == o.pool
}

// completeBy reports whether the order is complete by a list of VMs that was requested at sent and
// shows the VM as up.
func (o *vmOrder) completeBy(vm work.VM, sent time.Duration) bool {
	if sent <= o.sent {
		return false
	}
	return o.begun || o.shownBy(vm) || o.accepted && (vm.Worker != o.incarnation || sent > o.sent+acceptedOrderDelay)
}

// undecided reports whether it is open if the order will take effect, although the incarnation
// that it was made for has ended.
func (o *vmOrder) undecided(vm work.VM) bool {
	return !o.accepted && !o.begun && vm.State == work.VMUp && vm.Worker != o.incarnation
}

// recordInherited records the VMs for which an order of an earlier owner may be in progress:
// all that are not up in the first list of the term.
func (f *Fleet) recordInherited(list []work.VM) {
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

// reserved reports whether the VM gets no orders for now because one of an earlier owner may
// be in progress.
func (f *Fleet) reserved(vm string) bool {
	return f.inherited[vm] && f.Clock.Now() < f.startedAt+inheritedVMPause
}

// orderOf returns the VM's order in progress, or nil.
func (f *Fleet) orderOf(vm string) *vmOrder {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.orders[vm]
}

// removeFinishedOrders removes the orders that are complete or expired by the list of VMs that
// was requested at sent. It returns the orders that tell cells which incarnations have ended.
func (f *Fleet) removeFinishedOrders(sent time.Duration) (gone []cellOrder) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, o := range f.orders {
		vm, exists := f.vms[id]
		if !o.reportedGone && (!exists || vm.State != work.VMUp || vm.Worker != o.incarnation) {
			o.reportedGone = true
			gone = append(gone, cellOrder{cell: o.cell, order: engine.CellOrder{Kind: engine.OrderWorkerRemoved, Worker: o.incarnation}})
		}
		switch {
		case !exists:
			delete(f.orders, id)
		case vm.State != work.VMUp:
			o.seenState, o.begun = vm.State, o.begun || o.shownBy(vm)
		case o.completeBy(vm, sent):
			f.logSettled(id, o, "carried out", sent)
			if r := f.waves[o.wave]; r != nil {
				r.Done[id] = true
			}
			delete(f.orders, id)
		case sent > o.sent+orderExpiry:
			// Either never carried out, or complete long ago.
			f.logSettled(id, o, "expired", sent)
			delete(f.orders, id)
		}
	}
	return gone
}

// logSettled logs what an order is taken for by the list of VMs that was requested at sent, and by
// what evidence.
func (f *Fleet) logSettled(id string, o *vmOrder, as string, sent time.Duration) {
	f.Log.Info("order for a VM settled", "vm", id, "wave", o.wave, "pool", o.pool, "as", as, "accepted", o.accepted, "seen", o.seenState,
		"worker before", o.incarnation, "worker", f.vms[id].Worker, "after", (sent - o.sent).String())
}

// withoutStandby removes the orders for VMs of standby pools, which have no cell.
func (f *Fleet) withoutStandby(orders []cellOrder) []cellOrder {
	return slices.DeleteFunc(orders, func(o cellOrder) bool { return f.isStandby(o.cell) })
}

// cordonUpdates returns orders that uncordon workers whose cordon has no reason any more: their
// order was dropped, or an earlier owner of the fleet cordoned them. Claims of an earlier owner
// stay until its orders certainly have no more effect. Workers whose VMs a wave has yet to
// maintain are marked as due instead of being uncordoned.
func (f *Fleet) cordonUpdates() []cellOrder {
	wanted := make(map[work.WorkerID]bool)
	for _, r := range f.waves {
		for id := range r.drainingSince {
			wanted[f.vms[id].Worker] = true
		}
	}
	f.mu.Lock()
	for id, o := range f.orders {
		wanted[o.incarnation], wanted[f.vms[id].Worker] = true, true
	}
	f.mu.Unlock()
	var out []cellOrder
	for cell, c := range f.cells {
		for i := range c.Workers {
			w := &c.Workers[i]
			kind, order := engine.CordonNone, engine.OrderUncordon
			if f.dueWorkers[w.ID] {
				kind, order = engine.CordonMaintenanceDue, engine.OrderMaintenanceDue
			}
			if w.Cordon.Kind == kind || wanted[w.ID] {
				continue
			}
			foreign := w.Cordon.Token != f.Term.Token()
			if w.Cordon.Kind == engine.CordonClaimed && foreign && f.Clock.Now() < f.startedAt+orderExpiry {
				continue
			}
			out = append(out, cellOrder{cell: cell, order: engine.CellOrder{Kind: order, Worker: w.ID}})
		}
	}
	return out
}

// claim asks the cells' owners to cordon the workers of the VMs (engine.OrderClaim), and records
// an order for each VM whose worker was cordoned. It returns these orders by VM; they are not sent
// yet. A VM that is in use, reserved, not up or under another order is left out. VMs of standby
// pools have no cell and need no claim.
func (f *Fleet) claim(ctx context.Context, ids []string, newOrder func(vm work.VM) *vmOrder) map[string]*vmOrder {
	var claims []cellOrder
	var candidates []work.VM
	for _, id := range ids {
		vm := f.vms[id]
		if f.orderOf(id) != nil || f.reserved(id) || vm.State != work.VMUp {
			continue
		}
		candidates = append(candidates, vm)
		if !f.isStandby(vm.Pool) {
			claims = append(claims, cellOrder{cell: vm.Pool, order: engine.CellOrder{Kind: engine.OrderClaim, Worker: vm.Worker}})
		}
	}
	taken := f.send(ctx, claims)
	out := make(map[string]*vmOrder)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, vm := range candidates {
		if !f.isStandby(vm.Pool) && !taken[vm.Worker] {
			continue
		}
		o := newOrder(vm)
		o.cell = vm.Pool
		f.orders[vm.ID] = o
		out[vm.ID] = o
	}
	return out
}

// recordOutcome updates an order by the platform's answer to it. A refused order is removed; one
// without an answer, to this call or an earlier one, stays until its effect shows or it expires. If
// the platform knows a later owner, the term ends.
func (f *Fleet) recordOutcome(ctx context.Context, id string, o *vmOrder, out engine.VMOutcome) {
	switch out {
	case engine.VMDone:
		// The platform also accepts a maintenance order that an earlier owner's order has
		// carried out before, and does nothing: the incarnation goes on. If the cell were told
		// that it has ended, the VM would stay idle for good. So the cell is told at once only
		// of a move, and of maintenance once a list of VMs shows it.
		move := o.wave == ""
		f.mu.Lock()
		o.accepted = true
		o.reportedGone = o.reportedGone || move
		f.mu.Unlock()
		if move && !f.isStandby(o.cell) {
			f.send(ctx, []cellOrder{{cell: o.cell, order: engine.CellOrder{Kind: engine.OrderWorkerRemoved, Worker: o.incarnation}}})
		}
	case engine.VMFenced:
		f.Term.End("the platform knows a later owner")
	case engine.VMBusy, engine.VMRefused, engine.VMInvalid:
		f.mu.Lock()
		if !o.repeated {
			delete(f.orders, id)
		}
		f.mu.Unlock()
	}
}

// execute calls do for each order, concurrently and in the background; f.wg tells when they are
// done. If the lease of the term is no longer certain, the order is dropped instead.
func (f *Fleet) execute(orders map[string]*vmOrder, do func(id string, o *vmOrder)) {
	ids := make([]string, 0, len(orders))
	for id := range orders {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		f.wg.Go(func() {
			// Checked again right before the order is sent, since the claims took time.
			if !f.Term.Certain() {
				f.recordOutcome(context.Background(), id, orders[id], engine.VMRefused)
				return
			}
			do(id, orders[id])
		})
	}
}
