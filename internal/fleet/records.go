package fleet

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Stop is one planned stop in progress.
type Stop struct {
	VM      model.VMID
	Zone    model.ZoneName
	Rack    model.RackName
	Holder  string // "wave spring" or "order c-17"
	Attempt model.AttemptID
	At      time.Time
}

// Ledger is the value of a service's ledger key: every planned stop of its VMs
// in progress. All changes of a service's membership or stops write this key,
// so that a count made meanwhile fails its CAS.
type Ledger struct {
	Change model.ChangeID
	Stops  []Stop
}

// without returns the ledger without the stop of the VM.
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

// WaveState is where a started wave stands.
type WaveState string

// The states of a wave.
const (
	WaveRunning   WaveState = "running"
	WavePaused    WaveState = "paused"
	WaveCancelled WaveState = "cancelled"
	WaveFinished  WaveState = "finished"
)

// WaveRecord is the value of a wave's key: its last run.
type WaveRecord struct {
	Name    model.WaveName
	Run     model.ChangeID // the change that started this run
	Change  model.ChangeID // the change that wrote this state
	Actor   string         // who asked for it
	State   WaveState
	Reason  string
	Pools   []model.PoolName
	Started time.Time
	Resumed time.Time // when it was let go on last; zero if never
	Ended   time.Time // zero while it runs or is paused
}

// cell is a decoded value with the revision of its key.
type cell[T any] struct {
	key   string
	rev   infra.Revision // 0 where the key does not exist
	value T
}

func decode[T any](kv infra.KV) (cell[T], error) {
	c := cell[T]{key: kv.Key, rev: kv.ModRevision}
	if kv.ModRevision == 0 {
		return c, nil
	}
	if err := json.Unmarshal(kv.Value, &c.value); err != nil {
		return c, fault("decode", infra.Errorf("decode", infra.KindInvalid, "%s: %w", kv.Key, err))
	}
	return c, nil
}

// cond is the condition that the cell is still what was read.
func (c *cell[T]) cond() infra.Cond {
	return infra.Cond{Key: c.key, ModRevision: c.rev}
}

// put writes the cell's value.
func (c *cell[T]) put() infra.Op {
	b, err := json.Marshal(c.value)
	if err != nil {
		panic("fleet: records always marshal: " + err.Error())
	}
	return infra.Put(c.key, b)
}

// reading is one consistent read of the keys that one decision needs.
type reading struct {
	vms     map[model.VMID]*cell[model.VM]
	ledgers map[model.ServiceName]*cell[Ledger]
	wave    *cell[WaveRecord] // nil if no wave was asked for
}

// read reads VMs, ledgers and, unless it is empty, a wave as one step.
func (f *Fleet) read(ctx context.Context, vms []model.VMID, ledgers []model.ServiceName, wave model.WaveName) (*reading, error) {
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
		// A read changes nothing, whatever became of its reply.
		return nil, trace.Wrap(&Error{Op: "read", Err: err})
	}
	return decodeReading(res.Reads, vms, ledgers, wave)
}

func decodeReading(kvs []infra.KV, vms []model.VMID, ledgers []model.ServiceName, wave model.WaveName) (*reading, error) {
	r := &reading{vms: make(map[model.VMID]*cell[model.VM]), ledgers: make(map[model.ServiceName]*cell[Ledger])}
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

// write is one transaction in the making.
type write struct {
	conds []infra.Cond
	ops   []infra.Op
}

// guard adds the condition that a key is unchanged.
func (w *write) guard(c infra.Cond) { w.conds = append(w.conds, c) }

// change adds a key with the condition that it is unchanged.
func (w *write) change(cond infra.Cond, op infra.Op) {
	w.conds = append(w.conds, cond)
	w.ops = append(w.ops, op)
}

// commit applies the write and returns the revision it has. The error is a
// platform conflict where another write came first.
func (f *Fleet) commit(ctx context.Context, op string, w *write) (infra.Revision, error) {
	res, err := infra.Commit(ctx, f.store, infra.Txn{If: w.conds, Then: w.ops})
	if err != nil {
		return 0, fault(op, err)
	}
	return res.Revision, nil
}

// isConflict reports whether another write came first.
func isConflict(err error) bool { return infra.IsKind(err, infra.KindConflict) }
