package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/internal/platform"
	"github.com/pumicestage/pumicestage/policy/model"
)

// leastServing is every service's budget in the small fleet.
const leastServing = 2

// noticeWithin is how long ago a VM may have failed for a planned stop to be
// ordered in ignorance of it: list, probe and digest each lag behind.
const noticeWithin = 5 * time.Second

// witness sees a cluster from outside: by the stand-in's store, the machines
// and the fake targets. It finds broken promises whatever the daemons think.
type witness struct {
	c       *cluster
	stop    context.CancelFunc
	reverts reverts
	tasks   sync.WaitGroup

	mu      sync.Mutex
	batches []platform.WatchBatch
	failed  map[model.VMID]time.Time // when the test failed it; absent while up
	faults  []string                 // promises broken
}

// watchAll starts a witness of everything from now on.
func (c *cluster) watchAll(t *testing.T) *witness {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	w := &witness{c: c, stop: stop, failed: make(map[model.VMID]time.Time)}
	batches, err := c.platform.Store.Watch(ctx, platform.Root, 1)
	assert.NilError(t, err)
	w.tasks.Go(func() { w.collect(batches) })
	for _, e := range c.entries {
		w.reverts.watch(ctx, e)
	}
	onDrain := w.drained
	c.drained.Store(&onDrain)
	return w
}

func (w *witness) collect(batches <-chan platform.WatchBatch) {
	for b := range batches {
		w.mu.Lock()
		w.batches = append(w.batches, b)
		if b.Err != nil {
			w.faults = append(w.faults, "the witness lost its watch: "+b.Err.Error())
		}
		w.mu.Unlock()
	}
}

// fail stops a VM unplanned; the returned function starts it again.
func (w *witness) fail(vm model.VMID) (recover func()) {
	w.mu.Lock()
	w.failed[vm] = time.Now()
	w.mu.Unlock()
	w.c.platform.Machines.Fail(vm)
	return func() {
		w.c.platform.Machines.Recover(vm)
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.failed, vm)
	}
}

// drained counts who still serves at the moment a VM was told to drain. Its
// service must keep its budget, but for VMs that failed just now.
func (w *witness) drained(id model.VMID) {
	vms := w.stored()
	pool := vms[id].Pool
	serving := 0
	w.mu.Lock()
	defer w.mu.Unlock()
	for other, vm := range vms {
		failedAt, failed := w.failed[other]
		excused := failed && time.Since(failedAt) < noticeWithin
		if other != id && vm.Pool == pool && (w.c.targets[other].Serving() || excused) {
			serving++
		}
	}
	if serving < leastServing {
		w.faults = append(w.faults, fmt.Sprintf("drain of %s left %d serving in %s", id, serving, pool))
	}
}

// stored returns the VMs as the store has them now.
func (w *witness) stored() map[model.VMID]model.VM {
	vms := make(map[model.VMID]model.VM)
	kvs, _, err := w.c.platform.Store.Range(context.Background(), platform.VMPrefix)
	for _, kv := range kvs {
		var vm model.VM
		if json.Unmarshal(kv.Value, &vm) == nil {
			vms[vm.ID] = vm
		}
	}
	if err != nil || len(vms) != len(w.c.decl.VMs) {
		panic("dev: the stand-in's store lacks VMs")
	}
	return vms
}

// end ends what the witness sees, once it has seen all up to now.
func (w *witness) end() {
	until := w.c.platform.Store.Revision()
	_ = w.c.until(context.Background(), waitLimit, "the store's history", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		n := len(w.batches)
		return n > 0 && (w.batches[n-1].Revision >= until || w.batches[n-1].Err != nil)
	})
	w.stop()
	w.tasks.Wait()
	w.reverts.wait()
}

// verdict checks every promise that can be seen from outside, once all faults
// are healed and load has ended.
func (w *witness) verdict(t *testing.T, l *load) {
	t.Helper()
	w.end()
	w.checkHistory(t)
	tally := w.c.platform.Machines.Tally()
	assert.Check(t, len(w.faults) == 0, "%v", w.faults)
	assert.Check(t, w.reverts.count() == 0, "the configuration went back at an entry VM")
	assert.Check(t, tally.CutByReboot == 0, "%d requests cut by reboots", tally.CutByReboot)
	assert.Check(t, tally.TasksCut == 0, "%d tasks cut by reboots", tally.TasksCut)
	assert.Check(t, w.c.doubleRuns() == 0, "%v", w.c.twice())
	assert.Check(t, w.c.falseNotRuns(l.tally) == 0, "said not to have run, but ran")
	assert.Check(t, l.tally.Wrong.Load() == 0, "answers to another request")
	assert.Check(t, l.tally.Ran.Load() > 0)
}

// twice names the keys that ran more than once.
func (c *cluster) twice() []string {
	var keys []string
	for key, n := range c.runs() {
		if n > 1 {
			keys = append(keys, key)
		}
	}
	return keys
}

// past replays the store's history, one revision after the other.
type past struct {
	vms     map[string]model.VM
	ledgers map[string]fleet.Ledger
	claims  map[string]claimed
	config  uint64
}

type claimed struct{ ID, Stage string }

func (w *witness) checkHistory(t *testing.T) {
	t.Helper()
	p := &past{vms: make(map[string]model.VM), ledgers: make(map[string]fleet.Ledger), claims: make(map[string]claimed)}
	for _, b := range w.batches {
		for _, e := range b.Events {
			if e.Kind == platform.EventPut {
				p.put(t, e.KV)
			}
		}
		p.checkBudgets(t, b.Revision)
	}
	assert.Assert(t, len(p.vms) > 0 && p.config > 0, "the witness saw nothing")
}

func (p *past) put(t *testing.T, kv platform.KV) {
	t.Helper()
	switch key := kv.Key; {
	case strings.HasPrefix(key, platform.VMPrefix):
		p.putVM(t, key, read[model.VM](t, kv))
	case strings.HasPrefix(key, platform.LedgerPrefix):
		p.ledgers[strings.TrimPrefix(key, platform.LedgerPrefix)] = read[fleet.Ledger](t, kv)
	case strings.HasPrefix(key, platform.ClaimPrefix):
		p.putClaim(t, key, read[claimed](t, kv))
	case key == platform.ConfigKey:
		g := read[model.Declaration](t, kv).Generation
		assert.Check(t, g == p.config+1, "generation %d follows %d", g, p.config)
		p.config = g
	}
}

func read[T any](t *testing.T, kv platform.KV) (v T) {
	t.Helper()
	assert.NilError(t, json.Unmarshal(kv.Value, &v), "%s", kv.Key)
	return v
}

// putVM checks that a VM changes its pool only once nothing runs on it.
func (p *past) putVM(t *testing.T, key string, vm model.VM) {
	t.Helper()
	before, known := p.vms[key]
	empty := before.State == model.VMEmpty || before.State == model.VMProbation
	assert.Check(t, !known || before.Pool == vm.Pool || empty, "%s went from %s (%s) to %s", vm.ID, before.Pool, before.State, vm.Pool)
	p.vms[key] = vm
}

// putClaim checks that a claim goes to another holder only once it was
// released, and that what is recorded stays.
func (p *past) putClaim(t *testing.T, key string, c claimed) {
	t.Helper()
	before, known := p.claims[key]
	switch {
	case !known || before.Stage == "released":
		assert.Check(t, c.Stage == "claimed" || c.Stage == "released", "%s: %s first", key, c.Stage)
	case before.Stage == "recorded":
		assert.Check(t, c == before, "%s: %v after %v", key, c, before)
	default:
		assert.Check(t, c.ID == before.ID, "%s: %v after %v", key, c, before)
	}
	p.claims[key] = c
}

// checkBudgets checks that planned stops alone never take a service below its
// budget, in any revision.
func (p *past) checkBudgets(t *testing.T, rev platform.Revision) {
	t.Helper()
	for service, l := range p.ledgers {
		members := 0
		for _, vm := range p.vms {
			if string(vm.Pool) == service {
				members++
			}
		}
		assert.Check(t, len(l.Stops) == 0 || members-len(l.Stops) >= leastServing,
			"revision %d: %d of %d VMs of %s stopped", rev, len(l.Stops), members, service)
		ids := make([]model.VMID, 0, len(l.Stops))
		for _, s := range l.Stops {
			ids = append(ids, s.VM)
		}
		slices.Sort(ids)
		assert.Check(t, len(slices.Compact(ids)) == len(l.Stops), "revision %d: a VM is stopped twice in %s", rev, service)
	}
}

// settle undrains what orders left drained until every VM is in a pool and its
// target serves.
func (w *witness) settle(t *testing.T) {
	t.Helper()
	n := 0
	err := w.c.until(context.Background(), waitLimit, "every VM back in a pool", func() bool {
		n++
		back := true
		for id, vm := range w.stored() {
			if vm.State == model.VMInPool && w.c.targets[id].Serving() {
				continue
			}
			back = false
			if n%20 == 1 {
				o := fleet.Order{Change: model.ChangeID(fmt.Sprintf("settle-%s-%d", id, n)), Actor: "test"}
				_, _ = w.c.entries[0].Fleet().Undrain(context.Background(), id, o) // refused where a wave holds it
			}
		}
		return back
	})
	assert.NilError(t, err, "%+v", w.stored())
}
