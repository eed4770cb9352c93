package wiring

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/audit"
	"github.com/pumicestage/pumicestage/internal/command"
	"github.com/pumicestage/pumicestage/internal/config"
	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/internal/lang"
	"github.com/pumicestage/pumicestage/internal/peer"
	"github.com/pumicestage/pumicestage/internal/query"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

var ctx = context.Background()

// world is one entry VM's port over a real reconciler, an in-memory store and
// a platform that only lists VMs and takes every order.
type world struct {
	clock *clockwork.FakeClock
	store *memstore.Store
	view  *view.Holder
	decl  *model.Declaration
	down  map[model.VMID]bool
	fleet *fleet.Fleet
	port  *Port
}

// machines is the platform's control of VMs: all are live.
type machines struct {
	infra.Machines // tasks are not used here
	w              *world
}

func (m machines) List(context.Context) (infra.MachineList, error) {
	list := infra.MachineList{AsOf: m.w.clock.Now()}
	for _, vm := range m.w.decl.VMs {
		list.Machines = append(list.Machines, infra.Machine{VM: vm.ID, Live: true, Boots: 1})
	}
	return list, nil
}

func (m machines) Drain(context.Context, model.VMID, model.AttemptID) error { return nil }

func (m machines) InFlight(context.Context, model.VMID) (int, error) { return 1, nil }

// nobody is a mesh and a registry without other entry VMs.
type nobody struct{}

func (nobody) Peers() []peer.Status { return nil }

func (nobody) Missing(context.Context, infra.Revision) ([]model.EntryID, error) { return nil, nil }

func (nobody) InForce(context.Context, uint64) (have, missing []model.EntryID, err error) {
	return []model.EntryID{"e1"}, nil, nil
}

func newWorld(t testing.TB, example string, down ...model.VMID) *world {
	t.Helper()
	d, err := config.Load("../../../examples/" + example)
	assert.NilError(t, err)
	w := &world{clock: clockwork.NewFakeClock(), view: view.NewHolder(), decl: d, down: make(map[model.VMID]bool)}
	for _, vm := range down {
		w.down[vm] = true
	}
	w.store = memstore.New(w.clock)
	w.fleet = fleet.New(fleet.Options{
		Store: w.store, Machines: machines{w: w}, View: w.view, Acks: nobody{}, Health: w.health,
		Clock: w.clock, Log: logr.Discard(), Self: "e1",
	})
	w.port = New(Parts{
		Self: view.EntryRecord{ID: "e1", Zone: d.Zones[0]}, Store: w.store, View: w.view, Fleet: w.fleet,
		Mesh: nobody{}, Acks: nobody{}, Health: w.health, Clock: w.clock, Log: logr.Discard(),
		Trail: audit.New(audit.Options{Store: w.store, Self: "e1", Clock: w.clock, WriteInterval: -1}),
	})
	w.publish(t)
	assert.NilError(t, w.fleet.Bootstrap(ctx))
	w.publish(t)
	return w
}

func (w *world) health(vm model.VMID) model.Health {
	if w.down[vm] {
		return model.HealthDown
	}
	return model.HealthHealthy
}

// publish brings the view up to the store.
func (w *world) publish(t testing.TB) {
	t.Helper()
	kvs, rev, err := w.store.Range(ctx, infra.VMPrefix)
	assert.NilError(t, err)
	s := &view.Snapshot{Revision: rev, AsOf: w.clock.Now(), Declaration: w.decl, VMs: make(map[model.VMID]view.VMRecord)}
	for _, kv := range kvs {
		var vm model.VM
		assert.NilError(t, json.Unmarshal(kv.Value, &vm))
		s.VMs[vm.ID] = view.VMRecord{VM: vm, Revision: kv.ModRevision}
	}
	w.view.Publish(s)
}

func (w *world) foresee(t testing.TB, text string) *query.Forecast {
	t.Helper()
	q, err := lang.ParseQuestion("what-if " + text)
	assert.NilError(t, err)
	answer, err := w.port.Queries.Ask(ctx, q, nil)
	assert.NilError(t, err)
	return answer.Forecast
}

func (w *world) do(t testing.TB, change model.ChangeID, text string) (command.Result, error) {
	t.Helper()
	o, err := lang.ParseOrder(text)
	assert.NilError(t, err)
	return w.port.Commands.Execute(ctx, command.Request{Change: change, By: command.Actor{Name: "ana"}, Text: text, Order: o})
}

// verdicts of a forecast and of an order, as "v01 done" or "v01 refused".
func foreseen(f *query.Forecast) string {
	var lines []string
	for _, s := range f.Steps {
		lines = append(lines, verdict(string(s.VM), s.Done))
	}
	if len(lines) == 0 {
		lines = append(lines, "refused")
	}
	return strings.Join(lines, ", ")
}

func ordered(res command.Result, err error) string {
	var refusal *command.Refusal
	if errors.As(err, &refusal) {
		return "refused"
	}
	var lines []string
	for _, e := range res.Effects {
		lines = append(lines, verdict(strings.TrimPrefix(e.Subject, "vm "), e.Refused == nil))
	}
	return strings.Join(lines, ", ")
}

func verdict(vm string, done bool) string {
	if done {
		return vm + " done"
	}
	return vm + " refused"
}

// A forecast is of use only where the order that follows does the same. For
// every VM and rack of both examples, healthy and with VMs down, what-if is
// asked and the order given in the same state; they must agree on every VM.
func TestWhatIfAgreesWithTheOrder(t *testing.T) {
	var scopes, moves []string
	d := newWorld(t, "encuesta-viva").decl
	racks := make(map[model.RackName]bool)
	for _, vm := range d.VMs {
		scopes = append(scopes, "vm "+string(vm.ID))
		moves = append(moves, fmt.Sprintf("move vm %s to pool %s", vm.ID, d.Pools[0].Name))
		racks[vm.Rack] = true
	}
	for r := range racks {
		scopes = append(scopes, "rack "+string(r))
	}
	for _, z := range d.Zones {
		scopes = append(scopes, "zone "+string(z))
	}
	sort.Strings(scopes)
	var orders []string
	for _, s := range scopes {
		orders = append(orders, "drain "+s)
	}
	orders = append(orders, moves...)
	orders = append(orders, "move vm v01 to pool nowhere", "move vm v01 to pool tabulation")
	cases := []struct {
		name   string
		down   []model.VMID
		before []string // orders given first
	}{
		{name: "all healthy"},
		{name: "at the edge of the budgets", before: []string{"drain rack gt-b-r1", "drain rack gt-c-r1"}},
		{name: "one zone's VMs down", down: []model.VMID{"v01", "v02", "v03", "v04", "v05", "v06"}},
		{name: "one VM moving", before: []string{"move vm v07 to pool portal"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			for _, text := range orders {
				w := newWorld(t, "encuesta-viva", tc.down...)
				for i, first := range tc.before {
					_, err := w.do(t, model.ChangeID(fmt.Sprintf("c-before-%d", i)), first)
					assert.NilError(t, err)
					w.publish(t)
				}
				f := w.foresee(t, text)
				res, err := w.do(t, "c-1", text)
				want := ordered(res, err)
				if want == "refused" {
					assert.Assert(t, !f.Allowed, "%s: foreseen %s", text, foreseen(f))
					continue
				}
				assert.Equal(t, foreseen(f), want, text)
			}
		})
	}
}

// The same for a wave: the VMs of the foreseen batch are those that the
// reconciler takes out first.
func TestWhatIfAgreesWithTheWave(t *testing.T) {
	for _, tc := range []struct{ example, wave, pools string }{
		{"encuesta-viva", "spring", ""},
		{"encuesta-viva", "spring", " on pool tabulation, weighting"},
		{"encuesta-viva", "tabulation-fix", ""},
		{"lautan-kru", "monsoon", ""},
	} {
		t.Run(tc.wave+tc.pools, func(t *testing.T) {
			w := newWorld(t, tc.example)
			f := w.foresee(t, "wave "+tc.wave+tc.pools)
			var want []string
			for _, s := range f.Steps {
				want = append(want, string(s.VM))
			}
			assert.Assert(t, len(want) > 0)
			_, err := w.do(t, "c-1", "start wave "+tc.wave+tc.pools)
			assert.NilError(t, err)
			assert.NilError(t, w.fleet.Step(ctx))
			w.publish(t)
			var got []string
			for id, vm := range w.view.Load().VMs {
				if vm.State != model.VMInPool {
					got = append(got, string(id))
				}
			}
			sort.Strings(got)
			sort.Strings(want)
			assert.DeepEqual(t, got, want)
		})
	}
}

func TestForecastsOfLossAndDeclaration(t *testing.T) {
	w := newWorld(t, "lautan-kru")
	rack := w.foresee(t, "lose rack my-a-r1")
	assert.Assert(t, rack.BudgetsHold)
	zone := w.foresee(t, "lose zone my-a")
	assert.Assert(t, !zone.BudgetsHold)
	assert.Equal(t, len(zone.Steps), 13)

	fewer := *w.decl
	fewer.VMs = w.decl.VMs[13:]
	q, err := lang.ParseQuestion("what-if declaration")
	assert.NilError(t, err)
	answer, err := w.port.Queries.Ask(ctx, q, &fewer)
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Forecast.Steps), 13)
	notes := strings.Join(answer.Forecast.Notes, "\n")
	assert.Assert(t, strings.Contains(notes, "- vm v01"), notes)
	assert.Assert(t, strings.Contains(notes, "refused unless the removal is confirmed: service flights keeps 7 VMs, its budget in force is 8"), notes)
}

// Each question that only shows works over the real parts, and every field of
// the language has its column.
func TestEveryShowAnswers(t *testing.T) {
	w := newWorld(t, "encuesta-viva")
	_, err := w.do(t, "c-1", `drain vm v01 cut reason "disk"`)
	assert.NilError(t, err)
	w.publish(t)
	for _, kind := range []lang.Kind{lang.ShowVMs, lang.ShowServices, lang.ShowPools, lang.ShowWaves, lang.ShowJobs,
		lang.ShowBudgets, lang.ShowEntries, lang.ShowZones, lang.ShowRacks, lang.ShowTeams} {
		answer, err := w.port.Queries.Ask(ctx, lang.Show{Kind: kind}, nil)
		assert.NilError(t, err)
		for _, row := range answer.Table.Rows {
			assert.Equal(t, len(row), len(lang.Fields(kind)), "%s", kind)
		}
	}
	answer, err := w.port.Queries.Ask(ctx, lang.Explain{Subject: lang.SubjectVM, Name: "v01"}, nil)
	assert.NilError(t, err)
	var text []string
	for _, r := range answer.Explanation.Reasons {
		text = append(text, r.Text)
	}
	all := strings.Join(text, "\n")
	for _, part := range []string{"held by order c-1", "service tabulation has 9 of 10 VMs available and needs 7", `asked: drain vm v01 cut reason "disk" by ana`} {
		assert.Assert(t, strings.Contains(all, part), "%q not in:\n%s", part, all)
	}
	assert.Equal(t, len(answer.View.MissingZones), 3)
	w.clock.Advance(time.Minute)
	assert.Assert(t, w.port.Queries.Info().Stale)
}

// A wave takes a VM out by itself. The trail tells it once, by the entry VM
// that did it; another entry VM that sees the same step enters nothing, nor is
// an operator's own drain entered a second time.
func TestAutomaticStepsAreInTheTrailOnce(t *testing.T) {
	w := newWorld(t, "encuesta-viva")
	other := &Observer{Self: "e2", View: w.view, Waves: w.fleet, Trail: w.port.Trail, Clock: w.clock}
	look := func() {
		w.publish(t)
		for _, o := range []*Observer{w.port.Observer, other} {
			o.lookAtVMs(w.view.Load())
			o.lookAtWaves(ctx)
		}
	}
	look()
	_, err := w.do(t, "c-1", "drain vm v50")
	assert.NilError(t, err)
	look()
	_, err = w.do(t, "c-2", "start wave spring")
	assert.NilError(t, err)
	look()
	assert.NilError(t, w.fleet.Step(ctx))
	look()
	look()
	assert.NilError(t, w.port.Trail.Flush(ctx))
	entries, _, err := w.port.Trail.Read(ctx, audit.Filter{Who: automaticWho})
	assert.NilError(t, err)
	var got []string
	for _, e := range entries {
		got = append(got, fmt.Sprintf("%s: %s -> %s", e.What, e.Before, e.After))
		assert.Equal(t, e.From, "e1")
	}
	var out string
	for id, vm := range w.view.Load().VMs {
		if vm.Holder == "wave spring" {
			out = string(id)
		}
	}
	assert.Equal(t, len(got), 1, "%q", got)
	assert.Equal(t, got[0], fmt.Sprintf("vm %s: in-pool, pool portal -> leaving, pool portal, held by wave spring", out))
}
