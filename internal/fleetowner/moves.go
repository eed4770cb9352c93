package fleetowner

import (
	"cmp"
	"context"
	"slices"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/policy/pools"
	"github.com/pumicestage/pumicestage/policy/work"
)

// rebalance moves idle VMs to pools where work waits, and parks VMs that have been idle for
// long.
func (f *Fleet) rebalance(ctx context.Context) {
	state := f.pools()
	moves := pools.Decide(state, f.limits(ctx, state))
	if len(moves) == 0 {
		return
	}
	f.Log.Info("moves decided", "moves", len(moves), "pools", summaries(state))
	moveByVM := make(map[string]pools.Move, len(moves))
	ids := make([]string, 0, len(moves))
	for _, m := range moves {
		moveByVM[m.VM] = m
		ids = append(ids, m.VM)
	}
	orders := f.claim(ctx, ids, func(vm work.VM) *vmOrder {
		return &vmOrder{sent: f.Clock.Now(), pool: moveByVM[vm.ID].To, incarnation: vm.Worker}
	})
	f.execute(orders, func(id string, o *vmOrder) {
		call, cancel := context.WithTimeout(ctx, listTimeout)
		out := f.Machines.Move(call, id, o.pool, f.Term.Token())
		cancel()
		f.Metrics.CountVMOrder("move")
		f.Log.Info("VM move ordered", "vm", id, "from", moveByVM[id].From, "to", o.pool, "outcome", out.String())
		f.recordOutcome(ctx, id, o, out)
	})
	f.wg.Wait()
}

// pools returns the state of the pools as the input of pools.Decide. Pools whose cell did not
// report are left out, since it is not known what runs there.
func (f *Fleet) pools() []pools.Pool {
	now := f.Clock.Now()
	byName := make(map[string]*pools.Pool)
	for name, s := range f.Declared().Services {
		if !f.reported(name) {
			continue
		}
		p := &pools.Pool{Name: name, Parked: s.Standby}
		if c := f.cells[name]; c != nil {
			p.Used, p.Backlog, p.ArrivalRate, p.MissingVMs, p.SpareDemand = c.Used, c.Backlog, c.ArrivalRate, c.MissingVMs, c.TrialVMs
			p.LateBacklog, p.ByLabel = c.ExpiredBacklog, boundLoads(c.ByLabel)
		}
		if p.Backlog > 0 || p.LateBacklog > 0 {
			f.lastBusy[name] = now
		}
		p.SinceBacklog = now - f.lastBusy[name]
		byName[name] = p
	}
	ids := make([]string, 0, len(f.vms))
	for id := range f.vms {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		f.addVM(byName, f.vms[id])
	}
	out := make([]pools.Pool, 0, len(byName))
	for _, p := range byName {
		out = append(out, *p)
	}
	slices.SortFunc(out, func(a, b pools.Pool) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// boundLoads returns the load that only VMs with a certain label can serve, by label.
func boundLoads(loads map[string]engine.LabelLoad) map[string]pools.LabelDemand {
	out := make(map[string]pools.LabelDemand, len(loads))
	for label, l := range loads {
		out[label] = pools.LabelDemand{Used: l.Used, Backlog: l.Backlog, LateBacklog: l.ExpiredBacklog, MissingVMs: l.MissingVMs}
	}
	return out
}

// addVM adds the VM to its pool, or to the pool that it is being moved to.
func (f *Fleet) addVM(byName map[string]*pools.Pool, vm work.VM) {
	w := f.worker(vm)
	out := pools.VM{ID: vm.ID, Cores: vm.Size.Cores(), Zone: zoneOf(vm, w), Labels: vm.Labels}
	if f.unreachable(vm, w) {
		// An order in progress stays as it is, but the VM is not counted as incoming.
		if p := byName[vm.Pool]; p != nil && w != nil && w.Tasks > 0 && f.inLostZone(vm, w) {
			p.LostTasks = true
		}
		return
	}
	if o := f.orderOf(vm.ID); o != nil {
		if p := byName[o.pool]; p != nil {
			p.Incoming = append(p.Incoming, out)
		}
		return
	}
	p := byName[vm.Pool]
	if p == nil {
		return
	}
	switch {
	case vm.State == work.VMMoving || vm.State == work.VMUp && !p.Parked && (w == nil || !w.Polled):
		p.Incoming = append(p.Incoming, out)
	case vm.State != work.VMUp:
	case p.Parked:
		out.Empty = !f.reserved(vm.ID)
		p.VMs = append(p.VMs, out)
	case w.Cordon.Closes() || w.Draining:
		// The worker accepts no new tasks, so the VM is no capacity.
	default:
		out.Empty, out.EmptyFor = w.Tasks == 0, w.EmptyFor
		p.VMs = append(p.VMs, out)
	}
}

// summary is the state of a pool in log lines.
type summary struct {
	Pool         string `json:"pool"`
	VMs          int    `json:"vms"`
	Empty        int    `json:"empty"`
	Incoming     int    `json:"incoming vms"`
	Used         int    `json:"used cores"`
	Backlog      int    `json:"backlog core seconds"`
	LateBacklog  int    `json:"core seconds too late to be of use"`
	ArrivalRate  int    `json:"arriving core seconds a second"`
	MissingVMs   int    `json:"short of vms"`
	LabelBacklog int    `json:"backlog bound to labels"`
}

// summaries returns a summary of each pool, in the same order, for a log line.
func summaries(state []pools.Pool) []summary {
	out := make([]summary, 0, len(state))
	for _, p := range state {
		s := summary{
			Pool: p.Name, VMs: len(p.VMs), Incoming: len(p.Incoming), Used: int(p.Used),
			Backlog: int(p.Backlog), LateBacklog: int(p.LateBacklog), ArrivalRate: int(p.ArrivalRate), MissingVMs: p.MissingVMs,
		}
		for _, b := range p.ByLabel {
			s.LabelBacklog += int(b.Backlog)
		}
		for _, vm := range p.VMs {
			if vm.Empty {
				s.Empty++
			}
		}
		out = append(out, s)
	}
	return out
}
