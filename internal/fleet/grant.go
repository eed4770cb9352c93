package fleet

import (
	"context"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/budget"
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/wave"
)

// maxGrants bounds the number of VMs in one transaction. With their ledgers the
// transaction stays under the store's limit of 128 operations.
const maxGrants = 40

// stopRequest is a request to take VMs out of their pools.
type stopRequest struct {
	vms    []model.VMID
	holder string
	wave   *versioned[WaveRecord] // the wave that requests the stops; nil for an order
	change model.ChangeID
	reason string
	edit   func(*model.VM) // makes further changes to each record; may be nil
}

// grant is the result of a stopRequest.
type grant struct {
	vms       []model.VMID   // the VMs that are leaving now
	records   []model.VM     // their records
	rev       infra.Revision // of the transaction that recorded the stops; 0 if there was none
	reason    string         // why one or more VMs were refused; empty if none was
	staleView bool           // the view is older than a ledger, so budgets can't be counted
}

// grantStops writes the stops that all affected budgets allow into the ledgers
// and the VMs' keys, in one transaction. It reads the ledgers from the store and
// counts the budgets itself, because the plan may be based on older state.
func (p *pass) grantStops(ctx context.Context, req stopRequest) (grant, error) {
	if len(req.vms) > maxGrants {
		req.vms = req.vms[:maxGrants]
	}
	names := p.affectedServices(p.poolsOf(req.vms))
	r, err := p.f.read(ctx, req.vms, names, req.waveName())
	if err != nil {
		return grant{}, err
	}
	if req.wave != nil && r.wave.rev != req.wave.rev {
		return grant{reason: "the wave was changed meanwhile"}, nil
	}
	if why := p.viewBehindLedger(r); why != "" {
		return grant{reason: why, staleView: true}, nil
	}
	w, g := p.buildGrant(r, req)
	if len(g.vms) == 0 {
		return g, nil
	}
	if req.wave != nil {
		w.require(req.wave.cond())
	}
	if why := p.staleEvidence(); why != "" {
		return grant{reason: why}, nil
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

// buildGrant adds the stops that the budgets allow to one transaction, in the
// order of the request.
func (p *pass) buildGrant(r *readSet, req stopRequest) (*writeSet, grant) {
	tallies := p.tallies(r, p.weights(req.wave))
	w := &writeSet{}
	var g grant
	touched := make(map[model.ServiceName]bool)
	for _, id := range req.vms {
		if why := p.stopRefusal(r, id, tallies, req.wave != nil); why != "" {
			g.reason = why
			continue
		}
		p.addStop(w, r, tallies, req, id)
		for _, s := range r.vms[id].value.Ledgers {
			touched[s] = true
		}
		g.vms = append(g.vms, id)
		g.records = append(g.records, r.vms[id].value)
	}
	for _, name := range sortedServices(r.ledgers) {
		if l := r.ledgers[name]; touched[name] {
			l.value.Change = req.change
			w.update(l.cond(), l.put())
		}
	}
	return w, g
}

// tallies returns the budget counts of the services whose ledgers were read.
func (p *pass) tallies(r *readSet, w model.Weights) map[model.ServiceName]*wave.Tally {
	counts := make(map[model.ServiceName]*wave.Tally)
	for name, l := range r.ledgers {
		counts[name] = p.tally(p.snap.Declaration.Service(name), l.value, w)
	}
	return counts
}

// weights returns the weights that apply to the wave; those of the deployment if w
// is nil or the wave declares none.
func (p *pass) weights(w *versioned[WaveRecord]) model.Weights {
	var declared *model.Wave
	if w != nil {
		declared = p.declaredWave(w.value.Name)
	}
	return wave.Weights(p.snap.Declaration, declared)
}

// stopRefusal returns why a VM can't be taken out of its pool; empty if it can.
func (p *pass) stopRefusal(r *readSet, id model.VMID, tallies map[model.ServiceName]*wave.Tally, byWave bool) string {
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

// addStop adds one VM's stop to the transaction and to the budget counts. The
// VM's record is the intent: its attempt ID is in the store before the platform
// is called.
func (p *pass) addStop(w *writeSet, r *readSet, tallies map[model.ServiceName]*wave.Tally, req stopRequest, id model.VMID) {
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
	w.update(c.cond(), c.put())
}
