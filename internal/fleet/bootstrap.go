package fleet

import (
	"context"
	"sort"

	"github.com/pumicestage/pumicestage/policy/model"
)

// holderJoin is the holder of a VM that was declared later than its pool, until
// the VM has proven healthy. Until then no budget counts it: a budget that is a
// share of the service's VMs would require more VMs to be up before the new one
// serves.
const holderJoin = "join"

// Bootstrap creates the keys of declared VMs that have none, and updates the
// address, zone, rack and capacity of VMs whose declaration has changed. The
// first VMs of a pool are members at once; later ones join after they have proven
// healthy. VMs that are no longer declared are left as they are, see Undeclared.
func (f *Fleet) Bootstrap(ctx context.Context) error {
	p := f.newPass()
	if p.snap.Declaration == nil {
		return nil
	}
	for _, batch := range p.outdatedVMs() {
		if err := p.create(ctx, batch); err != nil {
			return err
		}
	}
	return nil
}

// Undeclared returns the VMs that have a key but are not declared, sorted by ID.
// They keep serving until an operator drains them.
func (f *Fleet) Undeclared() []model.VMID {
	p := f.newPass()
	if p.snap.Declaration == nil {
		return nil
	}
	declared := make(map[model.VMID]bool)
	for i := range p.snap.Declaration.VMs {
		declared[p.snap.Declaration.VMs[i].ID] = true
	}
	var ids []model.VMID
	for id := range p.snap.VMs {
		if !declared[id] {
			ids = append(ids, id)
		}
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// outdatedVMs returns the declared VMs whose record is missing or differs from
// the declaration, in batches that each belong to one pool.
func (p *pass) outdatedVMs() [][]model.VMDecl {
	byPool := make(map[model.PoolName][]model.VMDecl)
	var pools []model.PoolName
	for _, d := range p.snap.Declaration.VMs {
		if vm, ok := p.snap.VMs[d.ID]; ok && matchesDeclaration(&vm.VM, d) {
			continue
		}
		if len(byPool[d.Pool]) == 0 {
			pools = append(pools, d.Pool)
		}
		byPool[d.Pool] = append(byPool[d.Pool], d)
	}
	var batches [][]model.VMDecl
	for _, pool := range pools {
		vms := byPool[pool]
		for len(vms) > maxGrants {
			batches = append(batches, vms[:maxGrants])
			vms = vms[maxGrants:]
		}
		batches = append(batches, vms)
	}
	return batches
}

// matchesDeclaration reports whether a record agrees with the declaration in the
// fields that only the declaration sets. The pool is not among them: it is
// declared only as the VM's first pool.
func matchesDeclaration(vm *model.VM, d model.VMDecl) bool {
	return vm.Address == d.Address && vm.Zone == d.Zone && vm.Rack == d.Rack && vm.Capacity == d.Capacity
}

// create writes the records of one batch. It skips records that match the
// declaration already, because the view lags or another entry VM was first.
func (p *pass) create(ctx context.Context, batch []model.VMDecl) error {
	ids := make([]model.VMID, len(batch))
	for i, d := range batch {
		ids[i] = d.ID
	}
	names := p.affectedServices(append(p.poolsOf(ids), batch[0].Pool))
	r, err := p.f.read(ctx, ids, names, "")
	if err != nil {
		return err
	}
	if p.viewBehindLedger(r) != "" {
		return nil
	}
	change := p.f.changeID()
	w := &writeSet{}
	for _, d := range batch {
		c := r.vms[d.ID]
		if c.rev != 0 && matchesDeclaration(&c.value, d) {
			continue
		}
		if c.rev == 0 {
			c.value = p.newVM(d)
		}
		c.value.Address, c.value.Zone, c.value.Rack, c.value.Capacity = d.Address, d.Zone, d.Rack, d.Capacity
		c.value.Change = change
		w.update(c.cond(), c.put())
	}
	if len(w.ops) == 0 {
		return nil
	}
	for _, name := range names {
		l := r.ledgers[name]
		l.value.Change = change
		w.update(l.cond(), l.put())
	}
	_, err = p.commitStep(ctx, "create VMs", w)
	return err
}

func (p *pass) newVM(d model.VMDecl) model.VM {
	vm := model.VM{
		ID:     d.ID,
		Pool:   d.Pool,
		State:  model.VMInPool,
		Since:  p.now,
		Reason: "declared",
	}
	if len(p.byPool[d.Pool]) > 0 {
		vm.State = model.VMProbation
		vm.Holder = holderJoin
	}
	return vm
}
