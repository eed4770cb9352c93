package fleet

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Order is what every command bears.
type Order struct {
	Change     model.ChangeID // a repeat under the same ID is the same order
	Actor      string         // who asks
	IfRevision infra.Revision // of the VM's or wave's key; 0 for any
	Reason     string
}

// Outcome is what came of an order that is in effect.
type Outcome struct {
	Revision infra.Revision // of the key it changed
	Repeated bool           // it was in effect before this call
	Detail   string         // a sentence a person reads
}

// orderTries bounds how often an order is decided anew after another write
// came in between. Each time the order either loses to what was written, and
// is refused, or still stands.
const orderTries = 5

// orderPrefix begins VM.Holder while an order holds the VM.
const orderPrefix = "order "

// holderOf is what VM.Holder says while an order holds the VM.
func holderOf(change model.ChangeID) string { return orderPrefix + string(change) }

// decide runs one try of an order until it is not overtaken by another write.
func (f *Fleet) decide(try func() (Outcome, error)) (Outcome, error) {
	var err error
	for range orderTries {
		var out Outcome
		out, err = try()
		if err == nil {
			f.Wake()
			return out, nil
		}
		if !isConflict(err) {
			break
		}
	}
	return Outcome{}, asRefusal(err)
}

// asRefusal turns what certainly changed nothing into a Refusal.
func asRefusal(err error) error {
	var refusal *Refusal
	var failed *Error
	if errors.As(err, &refusal) || !errors.As(err, &failed) || failed.Uncertain {
		return err
	}
	return trace.Wrap(&Refusal{Code: CodeUnavailable, Detail: failed.Err.Error()})
}

func refuse(code Code, winner string, rev infra.Revision, format string, args ...any) error {
	return trace.Wrap(&Refusal{Code: code, Winner: winner, Revision: rev, Detail: fmt.Sprintf(format, args...)})
}

// Drain takes a VM out of its pool until it is undrained. The availability
// budgets concerned are counted first.
func (f *Fleet) Drain(ctx context.Context, vm model.VMID, o Order) (Outcome, error) {
	return f.decide(func() (Outcome, error) { return f.takeOut(ctx, vm, "", o) })
}

// Move takes a VM out of its pool and, once it is empty and proven healthy,
// into another.
func (f *Fleet) Move(ctx context.Context, vm model.VMID, to model.PoolName, o Order) (Outcome, error) {
	return f.decide(func() (Outcome, error) { return f.takeOut(ctx, vm, to, o) })
}

func (f *Fleet) takeOut(ctx context.Context, id model.VMID, to model.PoolName, o Order) (Outcome, error) {
	p, err := f.orderPass(ctx)
	if err != nil {
		return Outcome{}, err
	}
	if to != "" && !p.poolDeclared(to) {
		return Outcome{}, refuse(CodeNotFound, "", 0, "pool %s is not declared", to)
	}
	c, err := f.readVM(ctx, id)
	if err != nil {
		return Outcome{}, err
	}
	if out, done, err := checkVM(c, o); done || err != nil {
		return out, err
	}
	if c.value.Holder != "" || c.value.State != model.VMInPool {
		return Outcome{}, refuse(CodeConflict, c.value.Holder, c.rev, "VM %s is %s, held by %s", id, c.value.State, c.value.Holder)
	}
	if to == c.value.Pool {
		return Outcome{}, refuse(CodeState, "", c.rev, "VM %s is in pool %s already", id, to)
	}
	return p.grantOrder(ctx, c, to, o)
}

func (p *pass) grantOrder(ctx context.Context, c *cell[model.VM], to model.PoolName, o Order) (Outcome, error) {
	id := c.value.ID
	req := stopRequest{
		vms:    []model.VMID{id},
		holder: holderOf(o.Change),
		change: o.Change,
		reason: o.Reason,
		edit: func(vm *model.VM) {
			vm.MoveTo = to
			vm.Order = o.Change
		},
	}
	g, err := p.grantStops(ctx, req)
	// Where several operators order at once, each catching up may find the
	// ledger moved on again; giving up at the first would refuse an order that
	// nothing speaks against.
	for tries := 0; err == nil && g.behind && tries < orderTries; tries++ {
		g, err = p.grantFresh(ctx, req)
	}
	if err != nil {
		return Outcome{}, err
	}
	if g.behind {
		return Outcome{}, refuse(CodeUnavailable, "", c.rev, "%s", g.why)
	}
	if len(g.vms) == 0 {
		return Outcome{}, refuse(CodeBudget, "", c.rev, "%s", g.why)
	}
	return Outcome{Revision: g.rev, Detail: fmt.Sprintf("VM %s is leaving pool %s", id, c.value.Pool)}, nil
}

func (p *pass) grantFresh(ctx context.Context, req stopRequest) (grant, error) {
	if err := p.catchUp(ctx); err != nil {
		return grant{}, err
	}
	return p.grantStops(ctx, req)
}

// Undrain puts a VM back that an order drained or is moving.
func (f *Fleet) Undrain(ctx context.Context, vm model.VMID, o Order) (Outcome, error) {
	return f.decide(func() (Outcome, error) { return f.undrainOnce(ctx, vm, o) })
}

func (f *Fleet) undrainOnce(ctx context.Context, id model.VMID, o Order) (Outcome, error) {
	c, err := f.readVM(ctx, id)
	if err != nil {
		return Outcome{}, err
	}
	if out, done, err := checkVM(c, o); done || err != nil {
		return out, err
	}
	if err := undrainable(c); err != nil {
		return Outcome{}, err
	}
	vm := &c.value
	vm.State = model.VMProbation
	vm.Since = f.clock.Now()
	vm.Holder = holderOf(o.Change)
	vm.Order = o.Change
	vm.Change = o.Change
	vm.Reason = o.Reason
	vm.MoveTo = ""
	vm.Run = ""
	vm.Cut = false
	return f.putVM(ctx, c, "undrain", fmt.Sprintf("VM %s is going back into pool %s", id, vm.Pool))
}

func undrainable(c *cell[model.VM]) error {
	vm := &c.value
	switch {
	case vm.Holder == "":
		return refuse(CodeState, "", c.rev, "VM %s is not drained", vm.ID)
	case !byOrder(vm):
		return refuse(CodeConflict, vm.Holder, c.rev, "VM %s is held by %s", vm.ID, vm.Holder)
	case vm.State == model.VMProbation:
		return refuse(CodeConflict, vm.Holder, c.rev, "VM %s is going back already by %s", vm.ID, vm.Holder)
	}
	return nil
}

// Cut lets a VM that is leaving go on although requests or tasks still run on
// it: they are cut. It is the only way in which anything is ever cut.
func (f *Fleet) Cut(ctx context.Context, vm model.VMID, o Order) (Outcome, error) {
	return f.decide(func() (Outcome, error) { return f.cutOnce(ctx, vm, o) })
}

func (f *Fleet) cutOnce(ctx context.Context, id model.VMID, o Order) (Outcome, error) {
	c, err := f.readVM(ctx, id)
	if err != nil {
		return Outcome{}, err
	}
	if out, done, err := checkVM(c, o); done || err != nil {
		return out, err
	}
	vm := &c.value
	if vm.State != model.VMLeaving {
		return Outcome{}, refuse(CodeState, vm.Holder, c.rev, "VM %s is %s, not leaving", id, vm.State)
	}
	vm.Cut = true
	vm.Order = o.Change
	vm.Change = o.Change
	vm.Reason = fmt.Sprintf("what runs on it may be cut, by order of %s: %s", o.Actor, o.Reason)
	return f.putVM(ctx, c, "cut", fmt.Sprintf("what still runs on VM %s will be cut", id))
}

func byOrder(vm *model.VM) bool { return strings.HasPrefix(vm.Holder, orderPrefix) }

// checkVM handles what all orders on a VM share. done means that the order was
// in effect before.
func checkVM(c *cell[model.VM], o Order) (out Outcome, done bool, err error) {
	vm := &c.value
	if vm.Order == o.Change && o.Change != "" {
		return Outcome{Revision: c.rev, Repeated: true, Detail: "already in effect"}, true, nil
	}
	if o.IfRevision != 0 && o.IfRevision != c.rev {
		return Outcome{}, false, refuse(CodeRevision, winnerOf(vm), c.rev,
			"VM %s is at revision %d, not %d", vm.ID, c.rev, o.IfRevision)
	}
	return Outcome{}, false, nil
}

// winnerOf names what wrote the record last, for an order that lost to it.
func winnerOf(vm *model.VM) string {
	if vm.Holder != "" {
		return vm.Holder
	}
	return "change " + string(vm.Change)
}

func (f *Fleet) readVM(ctx context.Context, id model.VMID) (*cell[model.VM], error) {
	r, err := f.read(ctx, []model.VMID{id}, nil, "")
	if err != nil {
		return nil, err
	}
	c := r.vms[id]
	if c.rev == 0 {
		return nil, refuse(CodeNotFound, "", 0, "there is no VM %s", id)
	}
	return c, nil
}

func (f *Fleet) putVM(ctx context.Context, c *cell[model.VM], op, detail string) (Outcome, error) {
	w := &write{}
	w.change(c.cond(), c.put())
	rev, err := f.commit(ctx, op, w)
	if err != nil {
		return Outcome{}, err
	}
	return Outcome{Revision: rev, Detail: detail}, nil
}

// orderPass returns a pass on fresh evidence, or a refusal: with the platform
// out of reach no planned stop starts.
func (f *Fleet) orderPass(ctx context.Context) (*pass, error) {
	if err := f.refreshList(ctx, listPeriods*f.every); err != nil {
		return nil, err
	}
	p := f.newPass()
	if p.snap.Declaration == nil {
		return nil, refuse(CodeUnavailable, "", 0, "no declaration is in force here yet")
	}
	if why := p.stale(); why != "" {
		return nil, refuse(CodeUnavailable, "", 0, "%s", why)
	}
	return p, nil
}

func (p *pass) poolDeclared(name model.PoolName) bool {
	for i := range p.snap.Declaration.Pools {
		if p.snap.Declaration.Pools[i].Name == name {
			return true
		}
	}
	return false
}
