package jobs

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra/faulty"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/internal/infra/standin"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// testEntry is one entry VM with its own fault-injecting clients of the store and
// of the machines.
type testEntry struct {
	*Jobs
	store    *faulty.Store
	machines *faultyMachines
}

// testCluster is a simulated platform with its store, workers and entry VMs on a
// fake clock.
type testCluster struct {
	t        testing.TB
	clock    *clockwork.FakeClock
	store    *memstore.Store
	platform *standin.Server
	view     *view.Holder
	snap     view.Snapshot
	entries  []*testEntry
	ids      int
}

var workerSize = model.Resources{MilliCPU: 8000, MemoryMB: 16384}

// newTestCluster returns a cluster with that many workers and entry VMs. Each
// worker has 8 processors and 16 GB; four workers share a rack, and the racks are
// spread over four zones in turn.
func newTestCluster(t testing.TB, workers, nodes int) *testCluster {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC))
	w := &testCluster{t: t, clock: clock, store: memstore.New(clock), platform: standin.New(clock), view: view.NewHolder()}
	t.Cleanup(w.platform.Close)
	w.snap = view.Snapshot{Revision: 1, Declaration: &model.Declaration{Generation: 1}, VMs: make(map[model.VMID]view.VMRecord)}
	for i := range workers {
		vm := model.VM{
			ID: model.VMID(fmt.Sprintf("v%04d", i)), Rack: model.RackName(fmt.Sprintf("r%03d", i/4)),
			Zone: model.ZoneName(fmt.Sprintf("z%d", i/4%4)), Pool: "batch", Capacity: workerSize, State: model.VMInPool,
		}
		w.platform.Machines.Add(vm.ID, vm.Capacity, nil)
		w.snap.VMs[vm.ID] = view.VMRecord{VM: vm}
	}
	w.publish()
	for i := range nodes {
		w.addEntry(model.EntryID(fmt.Sprintf("e%d", i)))
	}
	return w
}

func (w *testCluster) addEntry(id model.EntryID) *testEntry {
	n := &testEntry{store: faulty.Wrap(w.store), machines: &faultyMachines{Machines: w.platform.Machines}}
	n.Jobs = New(Options{Store: n.store, Machines: n.machines, View: w.view, Self: id, Clock: w.clock, Log: logr.Discard(), NewID: w.newID})
	w.entries = append(w.entries, n)
	return n
}

func (w *testCluster) newID() string {
	w.ids++
	return fmt.Sprintf("%06d", w.ids)
}

// publish publishes a copy of the snapshot to the view of all entry VMs.
func (w *testCluster) publish() {
	w.snap.Revision++
	next := w.snap
	next.VMs = make(map[model.VMID]view.VMRecord, len(w.snap.VMs))
	for id, vm := range w.snap.VMs {
		next.VMs[id] = vm
	}
	w.view.Publish(&next)
}

func (w *testCluster) setVM(id model.VMID, state model.VMState) {
	vm := w.snap.VMs[id]
	vm.State = state
	w.snap.VMs[id] = vm
	w.publish()
}

func (w *testCluster) ctx() context.Context { return context.Background() }

// submit submits the jobs to the first entry VM.
func (w *testCluster) submit(all ...model.Job) []model.JobID {
	w.t.Helper()
	ids, err := w.entries[0].Submit(w.ctx(), "", all)
	assert.NilError(w.t, err)
	return ids
}

// step does one pass on each entry VM. Errors are ignored: they follow from the
// injected faults.
func (w *testCluster) step() {
	for _, n := range w.entries {
		_ = n.Step(w.ctx())
	}
}

// run advances the clock by d in steps of one second, with a pass on each entry VM
// after every step.
func (w *testCluster) run(d time.Duration) {
	for range int(d / time.Second) {
		w.clock.Advance(time.Second)
		w.step()
	}
}

// get reads a job directly from the store, not from a mirror.
func (w *testCluster) get(id model.JobID) Record {
	w.t.Helper()
	key, at, ok := keyOf(id)
	assert.Assert(w.t, ok)
	kv, _, err := w.store.Get(w.ctx(), key)
	assert.NilError(w.t, err)
	g, err := decode(kv)
	assert.NilError(w.t, err)
	return g.Jobs[at]
}

func (w *testCluster) state(id model.JobID) State { return w.get(id).State }

func (w *testCluster) behave(id model.JobID, b standin.Behaviour) {
	w.platform.Machines.SetBehaviour(id, b)
}

// smallJob returns a repeatable job of one processor and 1 GB.
func smallJob() model.Job {
	return model.Job{
		Team: "panel", Kind: "crosstab", Class: model.ClassNormal, Repeatable: true,
		Declared: model.Resources{MilliCPU: 1000, MemoryMB: 1024},
	}
}

// nonRepeatableJob returns a job of the same size that is not repeatable.
func nonRepeatableJob() model.Job {
	j := smallJob()
	j.Kind, j.Repeatable = "incentives", false
	return j
}

func copiesOf(n int, job model.Job) []model.Job {
	all := make([]model.Job, n)
	for i := range all {
		all[i] = job
	}
	return all
}
