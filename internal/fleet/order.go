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

// Order holds what every command of an operator carries.
type Order struct {
	Change     model.ChangeID // identifies the order; repeating it under the same ID has no further effect
	Actor      string         // who gives the order
	IfRevision infra.Revision // required revision of the VM's or wave's key; 0 for any
	Reason     string
}

// Outcome is the result of an order that is in effect.
type Outcome struct {
	Revision infra.Revision // of the key that the order changed
	Repeated bool           // the order was in effect before this call
	Detail   string         // explanation for operators
}

// maxOrderAttempts bounds how often an order is evaluated again after a
// conflicting write. Each time the order is either refused because of what was
// written, or is still valid.
const maxOrderAttempts = 5

// orderPrefix is the prefix of VM.Holder while an order holds the VM.
const orderPrefix = "order "

// orderHolder returns the value of VM.Holder while an order holds the VM.
func orderHolder(change model.ChangeID) string { return orderPrefix + string(change) }

// retryConflicts calls try until it succeeds or fails for another reason than a
// conflicting write, at most maxOrderAttempts times. It wakes Run on success.
func (f *Fleet) retryConflicts(try func() (Outcome, error)) (Outcome, error) {
	var err error
	for range maxOrderAttempts {
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

// asRefusal turns a failed call that certainly changed nothing into a Refusal,
// and returns other errors as they are.
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

// Drain takes a VM out of its pool until it is undrained. The order is refused
// if it would violate an availability budget.
func (f *Fleet) Drain(ctx context.Context, vm model.VMID, o Order) (Outcome, error) {
	return f.retryConflicts(func() (Outcome, error) { return f.takeOut(ctx, vm, "", o) })
}

// Move takes a VM out of its pool and, once it is empty and has proven healthy,
// puts it into another. The order is refused if it would violate an availability
// budget.
func (f *Fleet) Move(ctx context.Context, vm model.VMID, to model.PoolName, o Order) (Outcome, error) {
	return f.retryConflicts(func() (Outcome, error) { return f.takeOut(ctx, vm, to, o) })
}

// takeOut takes a VM out of its pool, to move it to the pool to, or only to drain
// it if to is empty.
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

// grantOrder writes the stop of a VM that an order takes out of its pool. It returns
// a Refusal if a budget doesn't allow the stop.
func (p *pass) grantOrder(ctx context.Context, c *versioned[model.VM], to model.PoolName, o Order) (Outcome, error) {
	id := c.value.ID
	req := stopRequest{
		vms:    []model.VMID{id},
		holder: orderHolder(o.Change),
		change: o.Change,
		reason: o.Reason,
		edit: func(vm *model.VM) {
			vm.MoveTo = to
			vm.Order = o.Change
		},
	}
	g, err := p.grantStops(ctx, req)
	// When several operators give orders at once, the ledger may have changed
	// again after each reload. Giving up at the first would refuse an order that
	// the budgets allow.
	for tries := 0; err == nil && g.staleView && tries < maxOrderAttempts; tries++ {
		g, err = p.reloadAndGrant(ctx, req)
	}
	if err != nil {
		return Outcome{}, err
	}
	if g.staleView {
		return Outcome{}, refuse(CodeUnavailable, "", c.rev, "%s", g.reason)
	}
	if len(g.vms) == 0 {
		return Outcome{}, refuse(CodeBudget, "", c.rev, "%s", g.reason)
	}
	return Outcome{Revision: g.rev, Detail: fmt.Sprintf("VM %s is leaving pool %s", id, c.value.Pool)}, nil
}

// reloadAndGrant reads the VMs from the store, because the view was older than a
// ledger, and then tries to grant the stops again.
func (p *pass) reloadAndGrant(ctx context.Context, req stopRequest) (grant, error) {
	if err := p.reloadVMs(ctx); err != nil {
		return grant{}, err
	}
	return p.grantStops(ctx, req)
}

// Undrain returns a VM that an order drained or is moving to its pool.
func (f *Fleet) Undrain(ctx context.Context, vm model.VMID, o Order) (Outcome, error) {
	return f.retryConflicts(func() (Outcome, error) { return f.tryUndrain(ctx, vm, o) })
}

// tryUndrain does one attempt of Undrain. It fails with a conflict error if
// another write came first.
func (f *Fleet) tryUndrain(ctx context.Context, id model.VMID, o Order) (Outcome, error) {
	c, err := f.readVM(ctx, id)
	if err != nil {
		return Outcome{}, err
	}
	if out, done, err := checkVM(c, o); done || err != nil {
		return out, err
	}
	if err := checkUndrain(c); err != nil {
		return Outcome{}, err
	}
	vm := &c.value
	vm.State = model.VMProbation
	vm.Since = f.clock.Now()
	vm.Holder = orderHolder(o.Change)
	vm.Order = o.Change
	vm.Change = o.Change
	vm.Reason = o.Reason
	vm.MoveTo = ""
	vm.Run = ""
	vm.Cut = false
	return f.putVM(ctx, c, "undrain", fmt.Sprintf("VM %s is going back into pool %s", id, vm.Pool))
}

func checkUndrain(c *versioned[model.VM]) error {
	vm := &c.value
	switch {
	case vm.Holder == "":
		return refuse(CodeState, "", c.rev, "VM %s is not drained", vm.ID)
	case !heldByOrder(vm):
		return refuse(CodeConflict, vm.Holder, c.rev, "VM %s is held by %s", vm.ID, vm.Holder)
	case vm.State == model.VMProbation:
		return refuse(CodeConflict, vm.Holder, c.rev, "VM %s is going back already by %s", vm.ID, vm.Holder)
	}
	return nil
}

// Cut lets a leaving VM become empty or reboot although requests or tasks still run on it, which
// interrupts them. Nothing else ever interrupts running work.
func (f *Fleet) Cut(ctx context.Context, vm model.VMID, o Order) (Outcome, error) {
	return f.retryConflicts(func() (Outcome, error) { return f.tryCut(ctx, vm, o) })
}

// tryCut does one attempt of Cut. It fails with a conflict error if another write
// came first.
func (f *Fleet) tryCut(ctx context.Context, id model.VMID, o Order) (Outcome, error) {
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

func heldByOrder(vm *model.VM) bool { return strings.HasPrefix(vm.Holder, orderPrefix) }

// checkVM does the checks that all orders on a VM share. done is true if the
// order was in effect before.
func checkVM(c *versioned[model.VM], o Order) (out Outcome, done bool, err error) {
	vm := &c.value
	if vm.Order == o.Change && o.Change != "" {
		return Outcome{Revision: c.rev, Repeated: true, Detail: "already in effect"}, true, nil
	}
	if o.IfRevision != 0 && o.IfRevision != c.rev {
		return Outcome{}, false, refuse(CodeRevision, lastWriter(vm), c.rev,
			"VM %s is at revision %d, not %d", vm.ID, c.rev, o.IfRevision)
	}
	return Outcome{}, false, nil
}

// lastWriter returns what holds the VM or else the change that last wrote its
// record, for the refusal of an order that conflicts with it.
func lastWriter(vm *model.VM) string {
	if vm.Holder != "" {
		return vm.Holder
	}
	return "change " + string(vm.Change)
}

func (f *Fleet) readVM(ctx context.Context, id model.VMID) (*versioned[model.VM], error) {
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

func (f *Fleet) putVM(ctx context.Context, c *versioned[model.VM], op, detail string) (Outcome, error) {
	w := &writeSet{}
	w.update(c.cond(), c.put())
	rev, err := f.commit(ctx, op, w)
	if err != nil {
		return Outcome{}, err
	}
	return Outcome{Revision: rev, Detail: detail}, nil
}

// orderPass returns a pass on recent evidence, or a Refusal: no planned stop
// starts while the platform can't be reached.
func (f *Fleet) orderPass(ctx context.Context) (*pass, error) {
	if err := f.refreshList(ctx, passesPerListFetch*f.passInterval); err != nil {
		return nil, err
	}
	p := f.newPass()
	if p.snap.Declaration == nil {
		return nil, refuse(CodeUnavailable, "", 0, "no declaration is in force here yet")
	}
	if why := p.staleEvidence(); why != "" {
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
