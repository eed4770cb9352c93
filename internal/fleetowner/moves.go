package fleetowner

import (
	"cmp"
	"context"
	"slices"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/policy/pools"
	"github.com/pumicestage/pumicestage/policy/work"
)

// rebalance moves idle VMs to where work waits, and parks what is idle for long.
func (f *Fleet) rebalance(ctx context.Context) {
	state := f.pools()
	moves := pools.Decide(state)
	if len(moves) == 0 {
		return
	}
	f.Log.Info("moves decided", "moves", len(moves), "pools", summaries(state))
	target := make(map[string]pools.Move, len(moves))
	ids := make([]string, 0, len(moves))
	for _, m := range moves {
		target[m.VM] = m
		ids = append(ids, m.VM)
	}
	booked := f.claim(ctx, ids, func(vm work.VM) *vmOrder {
		return &vmOrder{sent: f.Clock.Now(), pool: target[vm.ID].To, life: vm.Worker}
	})
	f.each(booked, func(id string, o *vmOrder) {
		call, cancel := context.WithTimeout(ctx, listTimeout)
		out := f.Machines.Move(call, id, o.pool, f.Term.Token())
		cancel()
		f.Metrics.VM("move")
		f.Log.Info("VM moves", "vm", id, "from", target[id].From, "to", o.pool, "outcome", out.String())
		f.outcome(ctx, id, o, out)
	})
	f.wg.Wait()
}

// pools describes the fleet to the decision. Pools whose cell does not report
// are left out: it is not known what runs there.
func (f *Fleet) pools() []pools.Pool {
	now := f.Clock.Now()
	byName := make(map[string]*pools.Pool)
	for name, s := range f.Declared().Services {
		if !f.reported(name) {
			continue
		}
		p := &pools.Pool{Name: name, Parked: s.Standby}
		if c := f.cells[name]; c != nil {
			p.Used, p.Backlog, p.Arriving, p.Short = c.Used, c.Backlog, c.Arriving, c.Short
		}
		if p.Backlog > 0 {
			f.lastBusy[name] = now
		}
		p.Quiet = now - f.lastBusy[name]
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

// addVM adds the VM to its pool, or to the one it is on its way to.
func (f *Fleet) addVM(byName map[string]*pools.Pool, vm work.VM) {
	size := vm.Size.Cores()
	if o := f.orderOf(vm.ID); o != nil {
		if p := byName[o.pool]; p != nil {
			p.Incoming += size
		}
		return
	}
	p := byName[vm.Pool]
	if p == nil {
		return
	}
	w := f.worker(vm)
	switch {
	case vm.State == work.VMMoving || vm.State == work.VMUp && !p.Parked && (w == nil || !w.Heard):
		p.Incoming += size
	case vm.State != work.VMUp:
	case p.Parked:
		p.VMs = append(p.VMs, pools.VM{ID: vm.ID, Cores: size, Empty: !f.reserved(vm.ID)})
	case w.Cordon.Kind != engine.Open || w.Draining:
		// It takes nothing new: no capacity.
	default:
		p.VMs = append(p.VMs, pools.VM{ID: vm.ID, Cores: size, Empty: w.Tasks == 0, Since: w.EmptyFor})
	}
}

// summary is a pool as the log shows it.
type summary struct {
	Pool     string `json:"pool"`
	VMs      int    `json:"vms"`
	Empty    int    `json:"empty"`
	Incoming int    `json:"incoming cores"`
	Used     int    `json:"used cores"`
	Backlog  int    `json:"backlog core seconds"`
	Arriving int    `json:"arriving core seconds a second"`
	Short    int    `json:"short of vms"`
}

func summaries(state []pools.Pool) []summary {
	out := make([]summary, 0, len(state))
	for _, p := range state {
		s := summary{
			Pool: p.Name, VMs: len(p.VMs), Incoming: int(p.Incoming), Used: int(p.Used),
			Backlog: int(p.Backlog), Arriving: int(p.Arriving), Short: p.Short,
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
