// Package operatortest provides an operator port with an in-memory store and
// small fakes, for tests of the port, its client and the command line.
package operatortest

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/access"
	"github.com/pumicestage/pumicestage/internal/audit"
	"github.com/pumicestage/pumicestage/internal/command"
	"github.com/pumicestage/pumicestage/internal/infra/faulty"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/internal/operator"
	"github.com/pumicestage/pumicestage/internal/query"
	"github.com/pumicestage/pumicestage/internal/scope"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Epoch is the time of the fixture's clock when a test starts.
var Epoch = time.Date(2026, 3, 1, 3, 0, 0, 0, time.UTC)

// Fixture is an operator port with its dependencies.
type Fixture struct {
	Clock        *clockwork.FakeClock
	BackingStore *memstore.Store // the store behind FaultyStore
	FaultyStore  *faulty.Store   // the store that the port uses; a test can inject faults
	View         *view.Holder
	Fleet        *Fleet
	Acks         *Acks
	Trail        *audit.Trail
	Handler      http.Handler
}

// New returns a fixture whose view holds the declaration with every VM in its
// declared pool. d may be nil for a view without declaration; a nil gate admits
// everybody.
func New(t testing.TB, d *model.Declaration, gate access.Authorizer) *Fixture {
	t.Helper()
	f := &Fixture{Clock: clockwork.NewFakeClockAt(Epoch), View: view.NewHolder(), Fleet: &Fleet{}, Acks: &Acks{}}
	f.BackingStore = memstore.New(f.Clock)
	f.FaultyStore = faulty.Wrap(f.BackingStore)
	f.Trail = audit.New(audit.Options{Store: f.FaultyStore, Self: "e1", Clock: f.Clock, WriteInterval: -1, Log: logr.Discard()})
	f.Publish(d)
	stored := command.DeclarationStore{Store: f.FaultyStore, Clock: f.Clock, View: f.View}
	f.Handler = operator.New(operator.Options{
		Store: f.FaultyStore,
		View:  f.View,
		Commands: command.New(command.Options{
			Fleet: f.Fleet, Settings: stored, Declarations: stored, Scopes: scope.Resolver{View: f.View},
			Trail: operator.CommandTrail{Trail: f.Trail}, Clock: f.Clock,
		}),
		Queries: query.New(query.Options{
			View: f.View, Planner: Planner{}, Peers: fakePeers{f}, Clock: f.Clock,
			History: operator.QueryHistory{Trail: f.Trail},
			Health:  func(model.VMID) model.Health { return model.HealthHealthy },
		}),
		Trail: f.Trail, Acks: f.Acks, Access: gate, Clock: f.Clock, Log: logr.Discard(),
	})
	return f
}

// Publish replaces the view by one with the declaration, its VMs and one entry VM
// per zone.
func (f *Fixture) Publish(d *model.Declaration) {
	s := &view.Snapshot{AsOf: f.Clock.Now(), Declaration: d, VMs: make(map[model.VMID]view.VMRecord)}
	if d != nil {
		for _, vm := range d.VMs {
			s.VMs[vm.ID] = view.VMRecord{VM: model.VM{
				ID: vm.ID, Zone: vm.Zone, Rack: vm.Rack, Pool: vm.Pool, Address: vm.Address,
				State: model.VMInPool, Since: f.Clock.Now(),
			}}
		}
		for _, z := range d.Zones {
			s.Entries = append(s.Entries, view.EntryRecord{ID: model.EntryID("e-" + z), Zone: z})
		}
	}
	f.View.Publish(s)
}

// fakePeers reports every entry VM of the view as heard from at this moment.
type fakePeers struct{ f *Fixture }

func (fakePeers) Self() model.EntryID { return "e1" }

func (p fakePeers) Statuses() []query.PeerStatus {
	var heard []query.PeerStatus
	for _, e := range p.f.View.Load().Entries {
		heard = append(heard, query.PeerStatus{Entry: e.ID, Zone: e.Zone, LastHeard: p.f.Clock.Now()})
	}
	return heard
}

// Fleet is a fake command.Fleet that records the orders it gets and returns the
// refusals and the failure that a test sets.
type Fleet struct {
	mu          sync.Mutex
	Orders      []string
	Terms       []command.OrderMeta
	Refusals    map[model.VMID]*command.Refusal
	Failure     error
	BeforeOrder func() // called before each order if not nil
}

// record records an order and returns its outcome. The order fails with an
// UncertainError if ctx has ended.
func (f *Fleet) record(ctx context.Context, order string, vm model.VMID, t command.OrderMeta) (command.Effect, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.BeforeOrder != nil {
		f.BeforeOrder()
	}
	if err := ctx.Err(); err != nil {
		return command.Effect{}, &command.UncertainError{Change: t.Change, Err: err}
	}
	f.Orders = append(f.Orders, order)
	f.Terms = append(f.Terms, t)
	if r := f.Refusals[vm]; r != nil {
		return command.Effect{}, r
	}
	return command.Effect{Before: "before", After: "after", Revision: 7}, f.Failure
}

// Drain implements command.Fleet.
func (f *Fleet) Drain(ctx context.Context, vm model.VMID, cut bool, t command.OrderMeta) (command.Effect, error) {
	order := "drain "
	if cut {
		order = "cut "
	}
	return f.record(ctx, order+string(vm), vm, t)
}

// Undrain implements command.Fleet.
func (f *Fleet) Undrain(ctx context.Context, vm model.VMID, t command.OrderMeta) (command.Effect, error) {
	return f.record(ctx, "undrain "+string(vm), vm, t)
}

// Move implements command.Fleet.
func (f *Fleet) Move(ctx context.Context, vm model.VMID, to model.PoolName, t command.OrderMeta) (command.Effect, error) {
	return f.record(ctx, "move "+string(vm)+" to "+string(to), vm, t)
}

// StartWave implements command.Fleet.
func (f *Fleet) StartWave(ctx context.Context, w model.WaveName, pools []model.PoolName, t command.OrderMeta) (command.Effect, error) {
	order := "start " + string(w)
	for _, p := range pools {
		order += " " + string(p)
	}
	return f.record(ctx, order, "", t)
}

// PauseWave implements command.Fleet.
func (f *Fleet) PauseWave(ctx context.Context, w model.WaveName, t command.OrderMeta) (command.Effect, error) {
	return f.record(ctx, "pause "+string(w), "", t)
}

// ResumeWave implements command.Fleet.
func (f *Fleet) ResumeWave(ctx context.Context, w model.WaveName, t command.OrderMeta) (command.Effect, error) {
	return f.record(ctx, "resume "+string(w), "", t)
}

// CancelWave implements command.Fleet.
func (f *Fleet) CancelWave(ctx context.Context, w model.WaveName, t command.OrderMeta) (command.Effect, error) {
	return f.record(ctx, "cancel "+string(w), "", t)
}

// Acks is a fake operator.Acks that returns the answer set by the test.
type Acks struct {
	mu      sync.Mutex
	Have    []model.EntryID
	Missing []model.EntryID
	Err     error
}

// Set sets the answer of InForce.
func (a *Acks) Set(have, missing []model.EntryID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Have, a.Missing = have, missing
}

// InForce implements operator.Acks.
func (a *Acks) InForce(context.Context, uint64) (have, missing []model.EntryID, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Have, a.Missing, a.Err
}

// Planner is a fake query.Planner that counts the VMs of the view and allows every
// order.
type Planner struct{}

// Budgets implements query.Planner.
func (Planner) Budgets(_ context.Context, s *view.Snapshot) ([]query.Headroom, error) {
	return countHeadroom(s, nil), nil
}

// Forecast implements query.Planner.
func (Planner) Forecast(_ context.Context, s *view.Snapshot, h query.Hypothesis) (query.Forecast, error) {
	stopped := make(map[model.VMID]bool)
	forecast := query.Forecast{Allowed: true}
	for _, vm := range append(append([]model.VMID{}, h.Drain...), h.Lose...) {
		stopped[vm] = true
		forecast.Steps = append(forecast.Steps, query.Step{VM: vm, Action: "out", Done: true})
	}
	before, after := countHeadroom(s, nil), countHeadroom(s, stopped)
	for i := range before {
		forecast.Budgets = append(forecast.Budgets, query.BudgetChange{Before: before[i], After: after[i]})
	}
	return forecast, nil
}

// countHeadroom counts the VMs in each service's first pool; the VMs in stopped
// aren't available.
func countHeadroom(s *view.Snapshot, stopped map[model.VMID]bool) []query.Headroom {
	var rows []query.Headroom
	for _, svc := range s.Declaration.Services {
		h := query.Headroom{Service: svc.Name}
		for id, vm := range s.VMs {
			if len(svc.Pools) == 0 || vm.Pool != svc.Pools[0] {
				continue
			}
			h.VMs++
			if vm.State == model.VMInPool && !stopped[id] {
				h.Available++
			}
		}
		h.Required = svc.Budget.MinAvailable.Of(h.VMs)
		rows = append(rows, h)
	}
	return rows
}
