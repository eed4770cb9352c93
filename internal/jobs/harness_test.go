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

// testEntry is one entry VM with ways of its own to the store and the machines.
type testEntry struct {
	*Jobs
	store    *faulty.Store
	machines *faultyMachines
}

// testCluster is a platform, its workers and entry VMs on a fake clock.
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

// newTestCluster has workers of 8 processors and 16 GB, four to a rack, a rack to a
// zone of four in turn.
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

// publish shows the world's snapshot to all nodes.
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

// submit stores jobs at the first node.
func (w *testCluster) submit(all ...model.Job) []model.JobID {
	w.t.Helper()
	ids, err := w.entries[0].Submit(w.ctx(), "", all)
	assert.NilError(w.t, err)
	return ids
}

// step lets each node do a pass; errors are part of the failures played.
func (w *testCluster) step() {
	for _, n := range w.entries {
		_ = n.Step(w.ctx())
	}
}

// run steps for a time, a second each.
func (w *testCluster) run(d time.Duration) {
	for range int(d / time.Second) {
		w.clock.Advance(time.Second)
		w.step()
	}
}

// get reads a job from the store, past all mirrors.
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

// smallJob is a repeatable job of a processor and a gigabyte.
func smallJob() model.Job {
	return model.Job{
		Team: "panel", Kind: "crosstab", Class: model.ClassNormal, Repeatable: true,
		Declared: model.Resources{MilliCPU: 1000, MemoryMB: 1024},
	}
}

// nonRepeatableJob is the same, but not repeatable.
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
