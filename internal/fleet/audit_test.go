package fleet

import (
	"context"
	"fmt"
	"strings"
	"sync"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// auditor checks the invariants at every write and every outside effect, and
// records the history of VM and ledger keys.
type auditor struct {
	w   *world
	off bool // in comparisons, which measure by themselves

	mu      sync.Mutex
	faults  []string
	history []porcupine.Operation
	clients map[model.EntryID]int
	seen    map[string]int // state changes and effects, to see that a run is not empty
	now     int64
}

func newAuditor(w *world) *auditor {
	a := &auditor{w: w, clients: make(map[model.EntryID]int), seen: make(map[string]int)}
	w.machines.took = a.effect
	return a
}

func (a *auditor) summary() string { return fmt.Sprint(a.seen) }

func (a *auditor) fault(format string, args ...any) {
	a.faults = append(a.faults, fmt.Sprintf(format, args...))
}

// verify fails the test on anything the auditor has seen.
func (a *auditor) verify(t rapid.TB) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.faults) > 0 {
		t.Fatalf("%d invariants broken, first: %s", len(a.faults), a.faults[0])
	}
	assert.Assert(t, porcupine.CheckOperations(casModel, a.history), "history is not that of compare-and-swap objects")
}

// auditedStore is one node's way to the store under audit.
type auditedStore struct {
	infra.Store
	audit *auditor
	node  model.EntryID
}

// Txn checks the write against what stood before and what stands after. The
// schedules let one node run at a time, so nothing comes in between.
func (s *auditedStore) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	a := s.audit
	if a.off {
		return s.Store.Txn(ctx, txn)
	}
	if len(txn.If) == 0 {
		a.fenced(txn)
		return s.Store.Txn(ctx, txn)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.w.snapshot()
	a.now++
	call := a.now
	res, err := s.Store.Txn(ctx, txn)
	a.now++
	if err != nil {
		return res, err
	}
	a.record(s.node, txn, res, call)
	if res.Succeeded {
		a.fenced(txn)
		after := a.w.snapshot()
		for id, vm := range after.VMs {
			if old, ok := before.VMs[id]; ok {
				a.legal(old.VM, vm.VM)
			}
		}
		a.consistent(after.VMs)
	}
	return res, err
}

func audited(key string) bool {
	return strings.HasPrefix(key, infra.VMPrefix) || strings.HasPrefix(key, infra.LedgerPrefix)
}

// fenced: every write of a VM or ledger is bound to the revision it was made
// from, else a reconciler that was paused could write over a newer state.
func (a *auditor) fenced(txn infra.Txn) {
	bound := make(map[string]bool)
	for _, c := range txn.If {
		bound[c.Key] = true
	}
	for _, op := range txn.Then {
		if op.Kind != infra.OpGet && audited(op.Key) && !bound[op.Key] {
			a.fault("%s written without a condition on it", op.Key)
		}
	}
}

var legalSteps = map[model.VMState][]model.VMState{
	model.VMInPool:    {model.VMLeaving},
	model.VMLeaving:   {model.VMEmpty, model.VMRebooting, model.VMProbation, model.VMLeaving},
	model.VMEmpty:     {model.VMInPool, model.VMProbation},
	model.VMRebooting: {model.VMProbation},
	model.VMProbation: {model.VMInPool},
}

// legal: a VM takes the steps of its life in order and changes its pool only
// out of empty.
func (a *auditor) legal(old, vm model.VM) {
	if old.Change == vm.Change {
		return
	}
	a.seen[string(vm.State)]++
	if old.Pool != vm.Pool {
		a.seen["moved"]++
	}
	ok := false
	for _, to := range legalSteps[old.State] {
		ok = ok || to == vm.State
	}
	if !ok {
		a.fault("VM %s went from %s to %s", vm.ID, old.State, vm.State)
	}
	if old.Pool != vm.Pool && old.State != model.VMEmpty {
		a.fault("VM %s changed its pool while %s", vm.ID, old.State)
	}
}

// consistent: the ledgers hold exactly the stops in progress, and no more than
// the budgets allow.
func (a *auditor) consistent(vms map[model.VMID]view.VMRecord) {
	for i := range a.w.decl.Services {
		s := &a.w.decl.Services[i]
		kv, _, _ := a.w.store.Get(context.Background(), infra.LedgerKey(s.Name))
		l, err := decode[Ledger](kv)
		if err != nil {
			a.fault("ledger of %s: %v", s.Name, err)
		}
		a.ledger(s, l.value, vms)
	}
}

func (a *auditor) ledger(s *model.Service, l Ledger, vms map[model.VMID]view.VMRecord) {
	total, out := 0, 0
	for _, vm := range vms {
		if len(s.Pools) == 0 || vm.Pool != s.Pools[0] {
			continue
		}
		total++
		if vm.State != model.VMInPool {
			out++
		}
	}
	if required := s.Budget.MinAvailable.Of(total); total-out < required {
		a.fault("budget of %s broken by plan: %d of %d out, %d required", s.Name, out, total, required)
	}
	if len(l.Stops) != out {
		a.fault("ledger of %s holds %d stops, %d VMs are out", s.Name, len(l.Stops), out)
	}
	for _, stop := range l.Stops {
		if vms[stop.VM].Holder == "" {
			a.fault("ledger of %s holds a stop of VM %s, which nothing holds", s.Name, stop.VM)
		}
	}
}

// effect: an outside effect happens only while the record calls for this very
// attempt. A late one would hit a VM that serves again.
func (a *auditor) effect(op string, id model.VMID, attempt model.AttemptID) {
	if a.off {
		return
	}
	a.seen[op]++
	vm := a.w.snapshot().VMs[id]
	want := map[string][]model.VMState{
		"drain":   {model.VMLeaving, model.VMProbation},
		"undrain": {model.VMProbation, model.VMEmpty},
		"reboot":  {model.VMRebooting},
	}[op]
	ok := false
	for _, s := range want {
		ok = ok || vm.State == s
	}
	current := attempt == vm.Attempt || attempt == undrainOf(vm.Attempt)
	if !ok || !current {
		a.fault("%s of VM %s (%s) took effect while it is %s (%s)", op, id, attempt, vm.State, vm.Attempt)
	}
}

// casOp is a compare-and-swap of one key: from the revision it was bound to, to
// the revision it was given, or refused.
type casOp struct {
	key      string
	from, to infra.Revision
}

func (a *auditor) record(node model.EntryID, txn infra.Txn, res infra.TxnResult, call int64) {
	client, ok := a.clients[node]
	if !ok {
		client = len(a.clients)
		a.clients[node] = client
	}
	if !res.Succeeded {
		return
	}
	for _, c := range txn.If {
		if strings.HasPrefix(c.Key, infra.ShardPrefix) {
			continue // leased: the store deletes them by itself
		}
		op := casOp{key: c.Key, from: c.ModRevision, to: c.ModRevision}
		for _, put := range txn.Then {
			if put.Key == c.Key && put.Kind == infra.OpPut {
				op.to = res.Revision
			}
		}
		a.history = append(a.history, porcupine.Operation{ClientId: client, Input: op, Call: call, Return: a.now})
	}
}

var casModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := make(map[string][]porcupine.Operation)
		for _, op := range history {
			key := op.Input.(casOp).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, ops := range byKey {
			parts = append(parts, ops)
		}
		return parts
	},
	Init: func() any { return infra.Revision(0) },
	Step: func(state, input, _ any) (bool, any) {
		op := input.(casOp)
		return state.(infra.Revision) == op.from, op.to
	},
}
