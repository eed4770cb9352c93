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

// node is one entry VM with ways of its own to the store and the machines.
type node struct {
	*Jobs
	store    *faulty.Store
	machines *machines
}

// world is a platform, its workers and entry VMs on a fake clock.
type world struct {
	t        testing.TB
	clock    *clockwork.FakeClock
	engine   *memstore.Store
	platform *standin.Server
	view     *view.Holder
	snap     view.Snapshot
	nodes    []*node
	ids      int
}

var workerSize = model.Resources{MilliCPU: 8000, MemoryMB: 16384}

// newWorld has workers of 8 processors and 16 GB, four to a rack, a rack to a
// zone of four in turn.
func newWorld(t testing.TB, workers, nodes int) *world {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC))
	w := &world{t: t, clock: clock, engine: memstore.New(clock), platform: standin.New(clock), view: view.NewHolder()}
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
		w.addNode(model.EntryID(fmt.Sprintf("e%d", i)))
	}
	return w
}

func (w *world) addNode(id model.EntryID) *node {
	n := &node{store: faulty.Wrap(w.engine), machines: &machines{Machines: w.platform.Machines}}
	n.Jobs = New(Options{Store: n.store, Machines: n.machines, View: w.view, Self: id, Clock: w.clock, Log: logr.Discard(), NewID: w.newID})
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) newID() string {
	w.ids++
	return fmt.Sprintf("%06d", w.ids)
}

// publish shows the world's snapshot to all nodes.
func (w *world) publish() {
	w.snap.Revision++
	next := w.snap
	next.VMs = make(map[model.VMID]view.VMRecord, len(w.snap.VMs))
	for id, vm := range w.snap.VMs {
		next.VMs[id] = vm
	}
	w.view.Publish(&next)
}

func (w *world) setVM(id model.VMID, state model.VMState) {
	vm := w.snap.VMs[id]
	vm.State = state
	w.snap.VMs[id] = vm
	w.publish()
}

func (w *world) ctx() context.Context { return context.Background() }

// submit stores jobs at the first node.
func (w *world) submit(all ...model.Job) []model.JobID {
	w.t.Helper()
	ids, err := w.nodes[0].Submit(w.ctx(), "", all)
	assert.NilError(w.t, err)
	return ids
}

// step lets each node do a pass; errors are part of the failures played.
func (w *world) step() {
	for _, n := range w.nodes {
		_ = n.Step(w.ctx())
	}
}

// run steps for a time, a second each.
func (w *world) run(d time.Duration) {
	for range int(d / time.Second) {
		w.clock.Advance(time.Second)
		w.step()
	}
}

// get reads a job from the store, past all mirrors.
func (w *world) get(id model.JobID) Record {
	w.t.Helper()
	key, at, ok := keyOf(id)
	assert.Assert(w.t, ok)
	kv, _, err := w.engine.Get(w.ctx(), key)
	assert.NilError(w.t, err)
	g, err := decode(kv)
	assert.NilError(w.t, err)
	return g.Jobs[at]
}

func (w *world) state(id model.JobID) State { return w.get(id).State }

func (w *world) behave(id model.JobID, b standin.Behaviour) { w.platform.Machines.SetBehaviour(id, b) }

// small is a repeatable job of a processor and a gigabyte.
func small() model.Job {
	return model.Job{
		Team: "panel", Kind: "crosstab", Class: model.ClassNormal, Repeatable: true,
		Declared: model.Resources{MilliCPU: 1000, MemoryMB: 1024},
	}
}

// once is the same, but not repeatable.
func once() model.Job {
	j := small()
	j.Kind, j.Repeatable = "incentives", false
	return j
}

func many(n int, job model.Job) []model.Job {
	all := make([]model.Job, n)
	for i := range all {
		all[i] = job
	}
	return all
}
