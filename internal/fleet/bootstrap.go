package fleet

import (
	"context"
	"sort"

	"github.com/pumicestage/pumicestage/policy/model"
)

// holderJoin holds a VM that was declared later than its pool, until it is
// proven healthy. Before that no budget counts it: a share of a larger whole
// would need more VMs up before the new one helps.
const holderJoin = "join"

// Bootstrap creates the keys of declared VMs that have none, and takes over
// addresses and places that are declared anew. The first VMs of a pool are in
// it at once; later ones join by proof of health. VMs that are no longer
// declared are left alone, see Undeclared.
func (f *Fleet) Bootstrap(ctx context.Context) error {
	p := f.newPass()
	if p.snap.Declaration == nil {
		return nil
	}
	for _, batch := range p.newcomers() {
		if err := p.create(ctx, batch); err != nil {
			return err
		}
	}
	return nil
}

// Undeclared returns the VMs that have a key and are not declared, sorted. They
// keep working until an operator drains them.
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

// newcomers returns declared VMs whose key is not as declared, in batches of
// one pool.
func (p *pass) newcomers() [][]model.VMDecl {
	byPool := make(map[model.PoolName][]model.VMDecl)
	var pools []model.PoolName
	for _, d := range p.snap.Declaration.VMs {
		if vm, ok := p.snap.VMs[d.ID]; ok && asDeclared(&vm.VM, d) {
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

// asDeclared reports whether a record agrees with what only the declaration
// says. The declared pool is only where a VM starts.
func asDeclared(vm *model.VM, d model.VMDecl) bool {
	return vm.Address == d.Address && vm.Zone == d.Zone && vm.Rack == d.Rack && vm.Capacity == d.Capacity
}

// create writes the keys of one batch. Keys that are as declared, since the
// view lags or another entry VM was first, are left alone.
func (p *pass) create(ctx context.Context, batch []model.VMDecl) error {
	ids := make([]model.VMID, len(batch))
	for i, d := range batch {
		ids[i] = d.ID
	}
	names := p.concerned(append(p.poolsOf(ids), batch[0].Pool))
	r, err := p.f.read(ctx, ids, names, "")
	if err != nil {
		return err
	}
	if p.behind(r) != "" {
		return nil
	}
	change := p.f.changeID()
	w := &write{}
	for _, d := range batch {
		c := r.vms[d.ID]
		if c.rev != 0 && asDeclared(&c.value, d) {
			continue
		}
		if c.rev == 0 {
			c.value = p.newVM(d)
		}
		c.value.Address, c.value.Zone, c.value.Rack, c.value.Capacity = d.Address, d.Zone, d.Rack, d.Capacity
		c.value.Change = change
		w.change(c.cond(), c.put())
	}
	if len(w.ops) == 0 {
		return nil
	}
	for _, name := range names {
		l := r.ledgers[name]
		l.value.Change = change
		w.change(l.cond(), l.put())
	}
	_, err = p.settle(ctx, "create VMs", w)
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
