package fleet

import (
	"context"
	"fmt"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/faulty"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// node is one entry VM: a Fleet with its own view and its own connection to the
// store.
type node struct {
	*Fleet
	store    *faulty.Store
	view     *view.Holder
	isolated bool // its view gets no updates, and the others don't count it as live
	// beforeCall is called before each call to the store or the platform. A test
	// pauses or kills the entry VM in it.
	beforeCall func(op string)
}

// simulation is a fleet with its platform and entry VMs on a fake clock.
type simulation struct {
	clock      *clockwork.FakeClock
	store      *memstore.Store
	machines   *machines
	decl       *model.Declaration
	nodes      []*node
	ids        int
	audit      *auditor
	cachedView *view.Snapshot // the view at the store's revision, kept to avoid decoding it again
	outageEnd  time.Time      // end of the outage of the store, for one node or all; zero if there is none
	storeDown  bool           // the outage affects all nodes
}

// newSimulation returns a simulation of the declared VMs, controlled by the given
// number of entry VMs.
func newSimulation(d *model.Declaration, nodes int) *simulation {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC))
	w := &simulation{clock: clock, store: memstore.New(clock), decl: d}
	w.machines = newMachines(clock, d)
	w.machines.mayReceive = w.anySending
	w.audit = newAuditor(w)
	for i := range nodes {
		w.addNode(model.EntryID(fmt.Sprintf("e%d", i)))
	}
	return w
}

func (w *simulation) addNode(id model.EntryID) *node {
	n := &node{view: view.NewHolder(), beforeCall: func(string) {}}
	n.store = faulty.Wrap(&auditedStore{Store: w.store, audit: w.audit, node: id})
	n.Fleet = New(Options{
		Store: &hookedStore{n.store, n}, Machines: &hookedMachines{w.machines, n}, View: n.view, Acks: w, Health: w.machines.health,
		Clock: w.clock, Log: logr.Discard(), Self: id, NewID: w.newID,
	})
	w.nodes = append(w.nodes, n)
	return n
}

func (w *simulation) newID() string {
	w.ids++
	return fmt.Sprintf("%06d", w.ids)
}

// Missing implements Acks by what the nodes' views hold.
func (w *simulation) Missing(_ context.Context, since infra.Revision) ([]model.EntryID, error) {
	var missing []model.EntryID
	for _, n := range w.nodes {
		if !n.isolated && n.view.Load().Revision < since {
			missing = append(missing, n.self)
		}
	}
	return missing, nil
}

// anySending reports whether a live entry VM's view lets it send to the VM. An
// isolated one may still send too, but the drained runner refuses it.
func (w *simulation) anySending(id model.VMID) bool {
	for _, n := range w.nodes {
		if vm, ok := n.view.Load().VMs[id]; ok && !n.isolated && vm.State == model.VMInPool {
			return true
		}
	}
	return false
}

// sync updates the views of all nodes that are not isolated to the store's state.
func (w *simulation) sync() {
	if w.storeDown {
		return
	}
	snap := w.snapshot()
	for _, n := range w.nodes {
		if !n.isolated {
			n.view.Publish(snap)
		}
	}
}

// startStoreOutage makes the store unavailable to every node for d.
func (w *simulation) startStoreOutage(d time.Duration) {
	w.outageEnd = w.clock.Now().Add(d)
	w.storeDown = true
	for _, n := range w.nodes {
		n.store.SetDown(true)
	}
}

// endOutage restores the store when the time of its outage is over.
func (w *simulation) endOutage() {
	if w.outageEnd.IsZero() || w.clock.Now().Before(w.outageEnd) {
		return
	}
	w.outageEnd = time.Time{}
	w.storeDown = false
	for _, n := range w.nodes {
		n.store.SetDown(false)
		n.isolated = false
	}
}

// snapshot returns a view of the store's current state.
func (w *simulation) snapshot() *view.Snapshot {
	if rev := w.store.Revision(); w.cachedView == nil || w.cachedView.Revision != rev {
		w.cachedView = &view.Snapshot{Revision: rev, VMs: w.readVMs()}
	}
	snap := *w.cachedView
	snap.AsOf = w.clock.Now()
	snap.Declaration = w.decl
	for _, n := range w.nodes {
		snap.Entries = append(snap.Entries, view.EntryRecord{ID: n.self})
	}
	return &snap
}

func (w *simulation) readVMs() map[model.VMID]view.VMRecord {
	kvs, _, err := w.store.Range(context.Background(), infra.VMPrefix)
	if err != nil {
		panic(err)
	}
	vms := make(map[model.VMID]view.VMRecord)
	for _, kv := range kvs {
		c, err := decode[model.VM](kv)
		if err != nil {
			panic(err)
		}
		vms[c.value.ID] = view.VMRecord{VM: c.value, Revision: c.rev}
	}
	return vms
}

// start creates the VMs and brings every view up to date.
func (w *simulation) start(t rapid.TB) {
	w.sync()
	assert.NilError(t, w.nodes[0].Bootstrap(context.Background()))
	w.sync()
	w.audit.violations = nil // budgets don't hold while the pools are created one after the other
}

// advance advances the clock by d and lets every node do one pass. It returns the
// first error.
func (w *simulation) advance(d time.Duration) error {
	w.clock.Advance(d)
	var first error
	for _, n := range w.nodes {
		w.sync()
		if err := n.Step(context.Background()); err != nil && first == nil {
			first = err
		}
	}
	w.sync()
	return first
}

// runUntil advances the clock until done, and returns the time that took. It
// fails the test after limit.
func (w *simulation) runUntil(t rapid.TB, limit time.Duration, done func() bool) time.Duration {
	t.Helper()
	const tick = time.Second
	for passed := time.Duration(0); passed < limit; passed += tick {
		if done() {
			return passed
		}
		_ = w.advance(tick)
	}
	t.Fatalf("not done after %s: %s", limit, w.describe())
	return limit
}

func (w *simulation) describe() string {
	var s string
	for _, vm := range w.snapshot().VMs {
		if vm.Holder != "" {
			s += fmt.Sprintf("\n%s %s %s since %s: %s", vm.ID, vm.State, vm.Holder, vm.Since, vm.Reason)
		}
	}
	st, err := w.nodes[0].WaveStatuses(context.Background())
	return fmt.Sprintf("%s\n%+v %v", s, st, err)
}

func (w *simulation) vm(id model.VMID) view.VMRecord { return w.snapshot().VMs[id] }

func (w *simulation) waveState(t rapid.TB, name model.WaveName) WaveState {
	kv, _, err := w.store.Get(context.Background(), infra.WaveKey(name))
	assert.NilError(t, err)
	c, err := decode[WaveRecord](kv)
	assert.NilError(t, err)
	return c.value.State
}

func order(id string) Order {
	return Order{Change: model.ChangeID(id), Actor: "test", Reason: "test"}
}

// declare returns a declaration of services s0, s1, ... with one pool each and
// perService VMs in each pool, spread over the zones, with 4 VMs to a rack.
func declare(zones, services, perService, minUp int) *model.Declaration {
	d := &model.Declaration{Generation: 1, Deployment: "test"}
	inZone := make([]int, zones)
	for z := range zones {
		d.Zones = append(d.Zones, model.ZoneName(fmt.Sprintf("z%d", z)))
	}
	wave := model.Wave{Name: "spring", Canary: 1, Probation: 30 * time.Second, Grace: 5 * time.Minute, MaxFailures: 2}
	for s := range services {
		pool := model.PoolName(fmt.Sprintf("p%d", s))
		svc := model.Service{Name: model.ServiceName(fmt.Sprintf("s%d", s)), Pools: []model.PoolName{pool}}
		svc.Budget.MinAvailable.Count = minUp
		d.Services = append(d.Services, svc)
		p := model.Pool{Name: pool}
		for i := range perService {
			z := (i + s) % zones
			vm := model.VMDecl{ID: model.VMID(fmt.Sprintf("v%d-%02d", s, i)), Zone: d.Zones[z], Pool: pool}
			vm.Rack = model.RackName(fmt.Sprintf("%s-r%d", d.Zones[z], inZone[z]/4))
			inZone[z]++
			p.VMs = append(p.VMs, vm.ID)
			d.VMs = append(d.VMs, vm)
		}
		d.Pools = append(d.Pools, p)
		wave.Pools = append(wave.Pools, pool)
	}
	d.Waves = []model.Wave{wave}
	d.Weights = model.Weights{RollOutTime: 3, BufferCost: 1, Moves: 1}
	return d
}

// acksWithExtraNode also waits for the acknowledgement of an entry VM that does
// no passes.
type acksWithExtraNode struct {
	*simulation
	extra *node
}

func (a *acksWithExtraNode) Missing(ctx context.Context, since infra.Revision) ([]model.EntryID, error) {
	missing, err := a.simulation.Missing(ctx, since)
	if a.extra.view.Load().Revision < since {
		missing = append(missing, a.extra.self)
	}
	return missing, err
}
