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

// node is one entry VM: a Fleet with a view and a way to the store of its own.
type node struct {
	*Fleet
	store *faulty.Store
	view  *view.Holder
	blind bool // its view gets no news, and others don't count it as live
	// at is called before each call to the platform; a schedule
	// pauses or kills the entry VM in it.
	at func(op string)
}

// world is a fleet with its platform and entry VMs on a fake clock.
type world struct {
	clock    *clockwork.FakeClock
	store    *memstore.Store
	machines *machines
	decl     *model.Declaration
	nodes    []*node
	ids      int
	audit    *auditor
	cached   *view.Snapshot // of the store's revision, to spare decoding
	outUntil time.Time      // a node or all are without the store before
	dark     bool           // all are
}

func newWorld(d *model.Declaration, nodes int) *world {
	clock := clockwork.NewFakeClockAt(time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC))
	w := &world{clock: clock, store: memstore.New(clock), decl: d}
	w.machines = newMachines(clock, d)
	w.machines.sending = w.anySending
	w.audit = newAuditor(w)
	for i := range nodes {
		w.addNode(model.EntryID(fmt.Sprintf("e%d", i)))
	}
	return w
}

func (w *world) addNode(id model.EntryID) *node {
	n := &node{view: view.NewHolder(), at: func(string) {}}
	n.store = faulty.Wrap(&auditedStore{Store: w.store, audit: w.audit, node: id})
	n.Fleet = New(Options{
		Store: &tapStore{n.store, n}, Machines: &tapMachines{w.machines, n}, View: n.view, Acks: w, Health: w.machines.health,
		Clock: w.clock, Log: logr.Discard(), Self: id, NewID: w.newID,
	})
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) newID() string {
	w.ids++
	return fmt.Sprintf("%06d", w.ids)
}

// Missing implements Acks by what the nodes' views hold.
func (w *world) Missing(_ context.Context, since infra.Revision) ([]model.EntryID, error) {
	var missing []model.EntryID
	for _, n := range w.nodes {
		if !n.blind && n.view.Load().Revision < since {
			missing = append(missing, n.self)
		}
	}
	return missing, nil
}

// anySending reports whether a live entry VM's view lets it send to the VM. One
// that is cut off may too, and is refused by the drained runner.
func (w *world) anySending(id model.VMID) bool {
	for _, n := range w.nodes {
		if vm, ok := n.view.Load().VMs[id]; ok && !n.blind && vm.State == model.VMInPool {
			return true
		}
	}
	return false
}

// sync brings the views of all nodes that see to the store's state.
func (w *world) sync() {
	if w.dark {
		return
	}
	snap := w.snapshot()
	for _, n := range w.nodes {
		if !n.blind {
			n.view.Publish(snap)
		}
	}
}

// storeOut takes the store away from every node for a time.
func (w *world) storeOut(d time.Duration) {
	w.outUntil = w.clock.Now().Add(d)
	w.dark = true
	for _, n := range w.nodes {
		n.store.SetDown(true)
	}
}

// heal ends an outage of the store that is over.
func (w *world) heal() {
	if w.outUntil.IsZero() || w.clock.Now().Before(w.outUntil) {
		return
	}
	w.outUntil = time.Time{}
	w.dark = false
	for _, n := range w.nodes {
		n.store.SetDown(false)
		n.blind = false
	}
}

// snapshot returns a view as of now.
func (w *world) snapshot() *view.Snapshot {
	if rev := w.store.Revision(); w.cached == nil || w.cached.Revision != rev {
		w.cached = &view.Snapshot{Revision: rev, VMs: w.readVMs()}
	}
	snap := *w.cached
	snap.AsOf = w.clock.Now()
	snap.Declaration = w.decl
	for _, n := range w.nodes {
		snap.Entries = append(snap.Entries, view.EntryRecord{ID: n.self})
	}
	return &snap
}

func (w *world) readVMs() map[model.VMID]view.VMRecord {
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
func (w *world) start(t rapid.TB) {
	w.sync()
	assert.NilError(t, w.nodes[0].Bootstrap(context.Background()))
	w.sync()
	w.audit.faults = nil // pools come to be one after the other
}

// turn advances the clock by d and lets every node do one pass.
func (w *world) turn(d time.Duration) error {
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

// until turns until done, and fails the test after limit.
func (w *world) until(t rapid.TB, limit time.Duration, done func() bool) time.Duration {
	t.Helper()
	const tick = time.Second
	for passed := time.Duration(0); passed < limit; passed += tick {
		if done() {
			return passed
		}
		_ = w.turn(tick)
	}
	t.Fatalf("not done after %s: %s", limit, w.describe())
	return limit
}

func (w *world) describe() string {
	var s string
	for _, vm := range w.snapshot().VMs {
		if vm.Holder != "" {
			s += fmt.Sprintf("\n%s %s %s since %s: %s", vm.ID, vm.State, vm.Holder, vm.Since, vm.Reason)
		}
	}
	st, err := w.nodes[0].WaveStatuses(context.Background())
	return fmt.Sprintf("%s\n%+v %v", s, st, err)
}

func (w *world) vm(id model.VMID) view.VMRecord { return w.snapshot().VMs[id] }

func (w *world) waveState(t rapid.TB, name model.WaveName) WaveState {
	kv, _, err := w.store.Get(context.Background(), infra.WaveKey(name))
	assert.NilError(t, err)
	c, err := decode[WaveRecord](kv)
	assert.NilError(t, err)
	return c.value.State
}

func order(id string) Order {
	return Order{Change: model.ChangeID(id), Actor: "test", Reason: "test"}
}

// declare makes a deployment: services s0.. with one pool each, VMs spread over
// zones, perService each, with 4 VMs to a rack within their zone.
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

// ackPlus counts one entry VM more than those that do passes.
type ackPlus struct {
	*world
	extra *node
}

func (a *ackPlus) Missing(ctx context.Context, since infra.Revision) ([]model.EntryID, error) {
	missing, err := a.world.Missing(ctx, since)
	if a.extra.view.Load().Revision < since {
		missing = append(missing, a.extra.self)
	}
	return missing, err
}
