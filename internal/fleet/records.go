package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Stop is a planned stop of a VM that is in progress.
type Stop struct {
	VM      model.VMID
	Zone    model.ZoneName
	Rack    model.RackName
	Holder  string // what stops the VM, such as "wave spring" or "order c-17"
	Attempt model.AttemptID
	At      time.Time
}

// Ledger is the value of a service's ledger key: all planned stops of its VMs
// that are in progress. Every change of a service's membership or stops writes
// this key, so that a compare-and-swap based on an older count fails.
type Ledger struct {
	Change model.ChangeID
	Stops  []Stop
}

// without returns a copy of the ledger without the stop of the VM.
func (l Ledger) without(vm model.VMID) Ledger {
	kept := make([]Stop, 0, len(l.Stops))
	for _, s := range l.Stops {
		if s.VM != vm {
			kept = append(kept, s)
		}
	}
	l.Stops = kept
	return l
}

// WaveState is the state of a started wave.
type WaveState string

// The states of a wave.
const (
	WaveRunning   WaveState = "running"
	WavePaused    WaveState = "paused"
	WaveCancelled WaveState = "cancelled"
	WaveFinished  WaveState = "finished"
)

// WaveRecord is the value of a wave's key and describes its last run.
type WaveRecord struct {
	Name   model.WaveName
	Run    model.ChangeID // the change that started this run
	Change model.ChangeID // the change that wrote this state
	Actor  string         // who requested the state: an operator or an entry VM
	// StartedBy is who started this run; empty in records of earlier versions.
	StartedBy string `json:",omitempty"`

	State   WaveState
	Reason  string
	Pools   []model.PoolName
	Started time.Time
	Resumed time.Time // when it was last resumed; zero if never
	Ended   time.Time // when it was finished or cancelled; zero before that
}

// versioned is a decoded value with its key and the revision of that key.
type versioned[T any] struct {
	key   string
	rev   infra.Revision // 0 if the key does not exist
	value T
}

func decode[T any](kv infra.KV) (versioned[T], error) {
	c := versioned[T]{key: kv.Key, rev: kv.ModRevision}
	if kv.ModRevision == 0 {
		return c, nil
	}
	if err := json.Unmarshal(kv.Value, &c.value); err != nil {
		return c, wrapError("decode", infra.Errorf("decode", infra.KindInvalid, "%s: %w", kv.Key, err))
	}
	return c, nil
}

// cond returns the condition that the key is unchanged since it was read.
func (c *versioned[T]) cond() infra.Cond {
	return infra.Cond{Key: c.key, ModRevision: c.rev}
}

// put returns the operation that writes the value to its key.
func (c *versioned[T]) put() infra.Op {
	b, err := json.Marshal(c.value)
	if err != nil {
		panic("fleet: encode record: " + err.Error())
	}
	return infra.Put(c.key, b)
}

// readSet holds the records that one decision needs, read in one transaction.
type readSet struct {
	vms     map[model.VMID]*versioned[model.VM]
	ledgers map[model.ServiceName]*versioned[Ledger]
	wave    *versioned[WaveRecord] // nil if no wave was requested
}

// read reads VMs, ledgers and, if wave is not empty, a wave in one transaction.
func (f *Fleet) read(ctx context.Context, vms []model.VMID, ledgers []model.ServiceName, wave model.WaveName) (*readSet, error) {
	var ops []infra.Op
	for _, id := range vms {
		ops = append(ops, infra.Read(infra.VMKey(id)))
	}
	for _, s := range ledgers {
		ops = append(ops, infra.Read(infra.LedgerKey(s)))
	}
	if wave != "" {
		ops = append(ops, infra.Read(infra.WaveKey(wave)))
	}
	res, err := f.store.Txn(ctx, infra.Txn{Then: ops})
	if infra.IsKind(err, infra.KindUnknown) {
		res, err = f.store.Txn(ctx, infra.Txn{Then: ops})
	}
	if err != nil {
		// A read changes nothing, so its outcome is never uncertain.
		return nil, trace.Wrap(&Error{Op: "read", Err: err})
	}
	return decodeReadSet(res.Reads, vms, ledgers, wave)
}

func decodeReadSet(kvs []infra.KV, vms []model.VMID, ledgers []model.ServiceName, wave model.WaveName) (*readSet, error) {
	r := &readSet{vms: make(map[model.VMID]*versioned[model.VM]), ledgers: make(map[model.ServiceName]*versioned[Ledger])}
	for i, id := range vms {
		c, err := decode[model.VM](kvs[i])
		if err != nil {
			return nil, err
		}
		r.vms[id] = &c
	}
	kvs = kvs[len(vms):]
	for i, s := range ledgers {
		c, err := decode[Ledger](kvs[i])
		if err != nil {
			return nil, err
		}
		r.ledgers[s] = &c
	}
	if wave != "" {
		c, err := decode[WaveRecord](kvs[len(ledgers)])
		if err != nil {
			return nil, err
		}
		r.wave = &c
	}
	return r, nil
}

// writeSet collects the conditions and operations of one transaction.
type writeSet struct {
	conds []infra.Cond
	ops   []infra.Op
}

// require adds the condition that a key is unchanged.
func (w *writeSet) require(c infra.Cond) { w.conds = append(w.conds, c) }

// update adds a write of a key and the condition that the key is unchanged.
func (w *writeSet) update(cond infra.Cond, op infra.Op) {
	w.conds = append(w.conds, cond)
	w.ops = append(w.ops, op)
}

// commit applies the transaction and returns its revision. It returns an error
// of kind conflict if another write came first.
func (f *Fleet) commit(ctx context.Context, op string, w *writeSet) (infra.Revision, error) {
	res, err := infra.Commit(ctx, f.store, infra.Txn{If: w.conds, Then: w.ops})
	if err != nil {
		return 0, wrapError(op, err)
	}
	return res.Revision, nil
}

// isConflict reports whether err means that another write came first.
func isConflict(err error) bool { return infra.IsKind(err, infra.KindConflict) }
