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

// auditor checks the invariants at every write to the store and every effect on
// a VM, and records the history of the keys of VMs and ledgers.
type auditor struct {
	w   *simulation
	off bool // in comparisons and benchmarks, which do their own measurements

	mu         sync.Mutex
	violations []string
	history    []porcupine.Operation
	clients    map[model.EntryID]int
	counts     map[string]int // number of state changes and effects, to show that a run did something
	now        int64
}

func newAuditor(w *simulation) *auditor {
	a := &auditor{w: w, clients: make(map[model.EntryID]int), counts: make(map[string]int)}
	w.machines.onEffect = a.checkEffect
	return a
}

func (a *auditor) summary() string { return fmt.Sprint(a.counts) }

func (a *auditor) report(format string, args ...any) {
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

// verify fails the test if an invariant was violated or the history is not
// linearizable.
func (a *auditor) verify(t rapid.TB) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.violations) > 0 {
		t.Fatalf("%d invariants violated, first: %s", len(a.violations), a.violations[0])
	}
	assert.Assert(t, porcupine.CheckOperations(casModel, a.history), "history is not linearizable as compare-and-swap registers")
}

// auditedStore is one node's connection to the store, checked by the auditor.
type auditedStore struct {
	infra.Store
	audit *auditor
	node  model.EntryID
}

// Txn checks the write against the state before and after it. The tests let one
// node run at a time, so there is no concurrent write.
func (s *auditedStore) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	a := s.audit
	if a.off {
		return s.Store.Txn(ctx, txn)
	}
	if len(txn.If) == 0 {
		a.checkConditions(txn)
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
	a.recordHistory(s.node, txn, res, call)
	if res.Succeeded {
		a.checkConditions(txn)
		after := a.w.snapshot()
		for id, vm := range after.VMs {
			if old, ok := before.VMs[id]; ok {
				a.checkTransition(old.VM, vm.VM)
			}
		}
		a.checkLedgers(after.VMs)
	}
	return res, err
}

func audited(key string) bool {
	return strings.HasPrefix(key, infra.VMPrefix) || strings.HasPrefix(key, infra.LedgerPrefix)
}

// checkConditions checks that every write of a VM or ledger is conditional on the
// revision it is based on. Otherwise a reconciler that was paused could overwrite
// newer state.
func (a *auditor) checkConditions(txn infra.Txn) {
	bound := make(map[string]bool)
	for _, c := range txn.If {
		bound[c.Key] = true
	}
	for _, op := range txn.Then {
		if op.Kind != infra.OpGet && audited(op.Key) && !bound[op.Key] {
			a.report("%s written without a condition on it", op.Key)
		}
	}
}

// allowedTransitions lists the states that a VM may change to from each state. A
// leaving VM is written again in the same state by an order to cut, which lets it
// leave although work still runs on it.
var allowedTransitions = map[model.VMState][]model.VMState{
	model.VMInPool:    {model.VMLeaving},
	model.VMLeaving:   {model.VMEmpty, model.VMRebooting, model.VMProbation, model.VMLeaving},
	model.VMEmpty:     {model.VMInPool, model.VMProbation},
	model.VMRebooting: {model.VMProbation},
	model.VMProbation: {model.VMInPool},
}

// checkTransition checks that a VM goes through its states in order and changes its
// pool only when it leaves the empty state.
func (a *auditor) checkTransition(old, vm model.VM) {
	if old.Change == vm.Change {
		return
	}
	a.counts[string(vm.State)]++
	if old.Pool != vm.Pool {
		a.counts["moved"]++
	}
	ok := false
	for _, to := range allowedTransitions[old.State] {
		ok = ok || to == vm.State
	}
	if !ok {
		a.report("VM %s went from %s to %s", vm.ID, old.State, vm.State)
	}
	if old.Pool != vm.Pool && old.State != model.VMEmpty {
		a.report("VM %s changed its pool while %s", vm.ID, old.State)
	}
}

// checkLedgers checks that the ledgers hold exactly the stops in progress, and no
// more than the budgets allow.
func (a *auditor) checkLedgers(vms map[model.VMID]view.VMRecord) {
	for i := range a.w.decl.Services {
		s := &a.w.decl.Services[i]
		kv, _, _ := a.w.store.Get(context.Background(), infra.LedgerKey(s.Name))
		l, err := decode[Ledger](kv)
		if err != nil {
			a.report("ledger of %s: %v", s.Name, err)
		}
		a.checkLedger(s, l.value, vms)
	}
}

func (a *auditor) checkLedger(s *model.Service, l Ledger, vms map[model.VMID]view.VMRecord) {
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
		a.report("budget of %s violated by planned stops: %d of %d VMs out, %d required up", s.Name, out, total, required)
	}
	if len(l.Stops) != out {
		a.report("ledger of %s holds %d stops, %d VMs are out", s.Name, len(l.Stops), out)
	}
	for _, stop := range l.Stops {
		if vms[stop.VM].Holder == "" {
			a.report("ledger of %s holds a stop of VM %s, which nothing holds", s.Name, stop.VM)
		}
	}
}

// checkEffect checks that an effect on a VM takes place only while the VM's record
// has this attempt and a state that requires it. A late effect would hit a VM that
// serves again.
func (a *auditor) checkEffect(op string, id model.VMID, attempt model.AttemptID) {
	if a.off {
		return
	}
	a.counts[op]++
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
	current := attempt == vm.Attempt || attempt == undrainAttempt(vm.Attempt)
	if !ok || !current {
		a.report("%s of VM %s (%s) took effect while it is %s (%s)", op, id, attempt, vm.State, vm.Attempt)
	}
}

// casOp is a successful compare-and-swap of one key: from is the revision it was
// conditional on, to the revision after it.
type casOp struct {
	key      string
	from, to infra.Revision
}

func (a *auditor) recordHistory(node model.EntryID, txn infra.Txn, res infra.TxnResult, call int64) {
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
			continue // the store deletes these keys when their lease expires
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
