package fleet

import (
	"context"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/budget"
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/wave"
)

// maxGrants bounds the VMs of one transaction; with their ledgers it stays
// under the 128 operations that the service takes in one.
const maxGrants = 40

// stopRequest asks to take VMs out of their pools.
type stopRequest struct {
	vms    []model.VMID
	holder string
	wave   *cell[WaveRecord] // whose run this is part of; nil for orders
	change model.ChangeID
	reason string
	edit   func(*model.VM) // what else changes in each record; may be nil
}

// grant is what came of a stopRequest.
type grant struct {
	vms     []model.VMID // those that are leaving now
	records []model.VM   // their records
	rev     infra.Revision
	why     string // why not all
	behind  bool   // the view is too old to count by
}

// grantStops writes the stops that every budget concerned allows into the
// ledgers and the VMs' keys, all in one step. Ledgers are read fresh; the
// count is redone here whatever the plan said.
func (p *pass) grantStops(ctx context.Context, req stopRequest) (grant, error) {
	if len(req.vms) > maxGrants {
		req.vms = req.vms[:maxGrants]
	}
	names := p.concerned(p.poolsOf(req.vms))
	r, err := p.f.read(ctx, req.vms, names, req.waveName())
	if err != nil {
		return grant{}, err
	}
	if req.wave != nil && r.wave.rev != req.wave.rev {
		return grant{why: "the wave was changed meanwhile"}, nil
	}
	if why := p.behind(r); why != "" {
		return grant{why: why, behind: true}, nil
	}
	w, g := p.collect(r, req)
	if len(g.vms) == 0 {
		return g, nil
	}
	if req.wave != nil {
		w.guard(req.wave.cond())
	}
	if why := p.stale(); why != "" {
		return grant{why: why}, nil
	}
	g.rev, err = p.f.commit(ctx, "grant", w)
	if err != nil {
		return grant{}, err
	}
	return g, nil
}

func (req *stopRequest) waveName() model.WaveName {
	if req.wave == nil {
		return ""
	}
	return req.wave.value.Name
}

func (p *pass) poolsOf(vms []model.VMID) []model.PoolName {
	var pools []model.PoolName
	for _, id := range vms {
		pools = append(pools, p.snap.VMs[id].Pool)
	}
	return pools
}

// collect puts into one write what the budgets allow, in the request's order.
func (p *pass) collect(r *reading, req stopRequest) (*write, grant) {
	tallies := p.tallies(r, p.weights(req.wave))
	w := &write{}
	var g grant
	touched := make(map[model.ServiceName]bool)
	for _, id := range req.vms {
		if why := p.refuseStop(r, id, tallies, req.wave != nil); why != "" {
			g.why = why
			continue
		}
		p.take(w, r, tallies, req, id)
		for _, s := range r.vms[id].value.Ledgers {
			touched[s] = true
		}
		g.vms = append(g.vms, id)
		g.records = append(g.records, r.vms[id].value)
	}
	for _, name := range sorted(r.ledgers) {
		if l := r.ledgers[name]; touched[name] {
			l.value.Change = req.change
			w.change(l.cond(), l.put())
		}
	}
	return w, g
}

// tallies counts the services whose ledgers were read.
func (p *pass) tallies(r *reading, w model.Weights) map[model.ServiceName]*wave.Tally {
	counts := make(map[model.ServiceName]*wave.Tally)
	for name, l := range r.ledgers {
		counts[name] = p.tally(p.snap.Declaration.Service(name), l.value, w)
	}
	return counts
}

func (p *pass) weights(w *cell[WaveRecord]) model.Weights {
	var declared *model.Wave
	if w != nil {
		declared = p.declaredWave(w.value.Name)
	}
	return wave.Weights(p.snap.Declaration, declared)
}

// refuseStop says why a VM can't be taken out, or nothing.
func (p *pass) refuseStop(r *reading, id model.VMID, tallies map[model.ServiceName]*wave.Tally, byWave bool) string {
	vm := &r.vms[id].value
	switch {
	case r.vms[id].rev == 0:
		return "VM has no record"
	case vm.Holder != "" || vm.State != model.VMInPool:
		return "VM " + string(vm.ID) + " is held by " + vm.Holder
	case vm.Pool != p.snap.VMs[vm.ID].Pool:
		return "the view is behind the record of VM " + string(vm.ID)
	}
	m := p.member(vm)
	for _, s := range p.servicesOf(vm.Pool) {
		t := tallies[s.Name]
		why := ""
		if byWave {
			why = t.RefusalReason(m)
		} else {
			why = t.OrderRefusalReason(m, len(r.ledgers[s.Name].value.Stops))
		}
		if why != "" {
			return why
		}
	}
	return ""
}

func (p *pass) member(vm *model.VM) budget.Member {
	up := budget.Up(vm.State, p.evidence(vm.ID, false))
	return budget.Member{ID: vm.ID, Zone: vm.Zone, Rack: vm.Rack, Up: up}
}

// take adds one VM's stop to the write and to the counts. The record is the
// intent: its attempt ID stands in the store before the platform is told.
func (p *pass) take(w *write, r *reading, tallies map[model.ServiceName]*wave.Tally, req stopRequest, id model.VMID) {
	c := r.vms[id]
	vm := &c.value
	m := p.member(vm)
	vm.State = model.VMLeaving
	vm.Holder = req.holder
	vm.Attempt = p.f.attemptID(id)
	vm.Since = p.now
	vm.Out = p.now
	vm.Change = req.change
	vm.Reason = req.reason
	vm.ProofBoots = 0
	vm.Cut = false
	vm.Ledgers = nil
	if req.edit != nil {
		req.edit(vm)
	}
	stop := Stop{VM: id, Zone: vm.Zone, Rack: vm.Rack, Holder: req.holder, Attempt: vm.Attempt, At: p.now}
	for _, s := range p.servicesOf(vm.Pool) {
		l := r.ledgers[s.Name]
		l.value = l.value.without(id)
		l.value.Stops = append(l.value.Stops, stop)
		vm.Ledgers = append(vm.Ledgers, s.Name)
		tallies[s.Name].MarkTakenOut(m)
	}
	w.change(c.cond(), c.put())
}
