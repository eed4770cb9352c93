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

// fixture is one entry VM's operator port with a real reconciler, an in-memory
// store and a fake platform that lists VMs and accepts every order.
type fixture struct {
	clock       *clockwork.FakeClock
	store       *memstore.Store
	view        *view.Holder
	declaration *model.Declaration
	down        map[model.VMID]bool
	fleet       *fleet.Fleet
	port        *Port
}

// fakeMachines is a platform on which every VM is live and every drain succeeds.
type fakeMachines struct {
	infra.Machines // nil: the tests call no other methods
	w              *fixture
}

func (m fakeMachines) List(context.Context) (infra.MachineList, error) {
	list := infra.MachineList{AsOf: m.w.clock.Now()}
	for _, vm := range m.w.declaration.VMs {
		list.Machines = append(list.Machines, infra.Machine{VM: vm.ID, Live: true, Boots: 1})
	}
	return list, nil
}

func (m fakeMachines) Drain(context.Context, model.VMID, model.AttemptID) error { return nil }

func (m fakeMachines) InFlight(context.Context, model.VMID) (int, error) { return 1, nil }

// singleEntry is a mesh and an acknowledgement registry with no other entry VMs.
type singleEntry struct{}

func (singleEntry) Peers() []peer.Status { return nil }

func (singleEntry) Missing(context.Context, infra.Revision) ([]model.EntryID, error) { return nil, nil }

func (singleEntry) InForce(context.Context, uint64) (have, missing []model.EntryID, err error) {
	return []model.EntryID{"e1"}, nil, nil
}

func newFixture(t testing.TB, example string, down ...model.VMID) *fixture {
	t.Helper()
	d, err := config.Load("../../../examples/" + example)
	assert.NilError(t, err)
	w := &fixture{clock: clockwork.NewFakeClock(), view: view.NewHolder(), declaration: d, down: make(map[model.VMID]bool)}
	for _, vm := range down {
		w.down[vm] = true
	}
	w.store = memstore.New(w.clock)
	w.fleet = fleet.New(fleet.Options{
		Store: w.store, Machines: fakeMachines{w: w}, View: w.view, Acks: singleEntry{}, Health: w.health,
		Clock: w.clock, Log: logr.Discard(), Self: "e1",
	})
	w.port = New(Options{
		Self: view.EntryRecord{ID: "e1", Zone: d.Zones[0]}, Store: w.store, View: w.view, Fleet: w.fleet,
		Mesh: singleEntry{}, Acks: singleEntry{}, Health: w.health, Clock: w.clock, Log: logr.Discard(),
		Trail: audit.New(audit.Options{Store: w.store, Self: "e1", Clock: w.clock, WriteInterval: -1}),
	})
	w.publish(t)
	assert.NilError(t, w.fleet.Bootstrap(ctx))
	w.publish(t)
	return w
}

func (w *fixture) health(vm model.VMID) model.Health {
	if w.down[vm] {
		return model.HealthDown
	}
	return model.HealthHealthy
}

// publish updates the view with the VM records in the store.
func (w *fixture) publish(t testing.TB) {
	t.Helper()
	kvs, rev, err := w.store.Range(ctx, infra.VMPrefix)
	assert.NilError(t, err)
	s := &view.Snapshot{Revision: rev, AsOf: w.clock.Now(), Declaration: w.declaration, VMs: make(map[model.VMID]view.VMRecord)}
	for _, kv := range kvs {
		var vm model.VM
		assert.NilError(t, json.Unmarshal(kv.Value, &vm))
		s.VMs[vm.ID] = view.VMRecord{VM: vm, Revision: kv.ModRevision}
	}
	w.view.Publish(s)
}

func (w *fixture) whatIf(t testing.TB, text string) *query.Forecast {
	t.Helper()
	q, err := lang.ParseQuestion("what-if " + text)
	assert.NilError(t, err)
	answer, err := w.port.Queries.Ask(ctx, q, nil)
	assert.NilError(t, err)
	return answer.Forecast
}

func (w *fixture) do(t testing.TB, change model.ChangeID, text string) (command.Result, error) {
	t.Helper()
	o, err := lang.ParseOrder(text)
	assert.NilError(t, err)
	return w.port.Commands.Execute(ctx, command.Request{Change: change, By: command.Actor{Name: "ana"}, Text: text, Order: o})
}

// forecastVerdicts lists the steps of a forecast, as "v01 done" or "v01 refused".
func forecastVerdicts(f *query.Forecast) string {
	var lines []string
	for _, s := range f.Steps {
		lines = append(lines, verdict(string(s.VM), s.Done))
	}
	if len(lines) == 0 {
		lines = append(lines, "refused")
	}
	return strings.Join(lines, ", ")
}

// orderVerdicts lists the effects of an order in the form of forecastVerdicts.
func orderVerdicts(res command.Result, err error) string {
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

// A what-if query must predict what the order does. For every VM, rack and zone
// of the example, healthy and with VMs down, the test runs the what-if query and
// then the order in the same state; both must agree on every VM.
func TestWhatIfMatchesOrder(t *testing.T) {
	var scopes, moves []string
	d := newFixture(t, "encuesta-viva").declaration
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
		before []string // orders given before the query
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
				w := newFixture(t, "encuesta-viva", tc.down...)
				for i, first := range tc.before {
					_, err := w.do(t, model.ChangeID(fmt.Sprintf("c-before-%d", i)), first)
					assert.NilError(t, err)
					w.publish(t)
				}
				f := w.whatIf(t, text)
				res, err := w.do(t, "c-1", text)
				want := orderVerdicts(res, err)
				if want == "refused" {
					assert.Assert(t, !f.Allowed, "%s: forecast is %s", text, forecastVerdicts(f))
					continue
				}
				assert.Equal(t, forecastVerdicts(f), want, text)
			}
		})
	}
}

// The VMs of a wave's forecast first batch must be those that the reconciler
// stops first.
func TestWhatIfMatchesWave(t *testing.T) {
	for _, tc := range []struct{ example, wave, pools string }{
		{"encuesta-viva", "spring", ""},
		{"encuesta-viva", "spring", " on pool tabulation, weighting"},
		{"encuesta-viva", "tabulation-fix", ""},
		{"lautan-kru", "monsoon", ""},
	} {
		t.Run(tc.wave+tc.pools, func(t *testing.T) {
			w := newFixture(t, tc.example)
			f := w.whatIf(t, "wave "+tc.wave+tc.pools)
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

// A what-if question must list the VMs that a rack or zone failure or a smaller
// declaration takes away, and say whether the budgets would still hold: operators
// rely on it before they change anything.
func TestForecastsOfFailureAndSmallerDeclaration(t *testing.T) {
	w := newFixture(t, "lautan-kru")
	rack := w.whatIf(t, "lose rack my-a-r1")
	assert.Assert(t, rack.BudgetsHold)
	zone := w.whatIf(t, "lose zone my-a")
	assert.Assert(t, !zone.BudgetsHold)
	assert.Equal(t, len(zone.Steps), 13)

	smallerDeclaration := *w.declaration
	smallerDeclaration.VMs = w.declaration.VMs[13:]
	q, err := lang.ParseQuestion("what-if declaration")
	assert.NilError(t, err)
	answer, err := w.port.Queries.Ask(ctx, q, &smallerDeclaration)
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Forecast.Steps), 13)
	notes := strings.Join(answer.Forecast.Notes, "\n")
	assert.Assert(t, strings.Contains(notes, "- vm v01"), notes)
	assert.Assert(t, strings.Contains(notes, "refused unless the removal is confirmed: service flights keeps 7 VMs, its budget in force is 8"), notes)
}

// Every show query must work with the real components and return one column for
// each field of the query language.
func TestShowQueriesReturnEveryField(t *testing.T) {
	w := newFixture(t, "encuesta-viva")
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

// A VM that a wave stops automatically must be in the audit trail once, recorded
// by the entry VM whose reconciler did it. Another entry VM that sees the change
// records nothing, and an operator's drain is not recorded a second time.
func TestAutomaticChangesAreAuditedOnce(t *testing.T) {
	w := newFixture(t, "encuesta-viva")
	other := &Observer{Self: "e2", View: w.view, Waves: w.fleet, Trail: w.port.Trail, Clock: w.clock}
	observe := func() {
		w.publish(t)
		for _, o := range []*Observer{w.port.Observer, other} {
			o.recordVMChanges(w.view.Load())
			o.recordWaveChanges(ctx)
		}
	}
	observe()
	_, err := w.do(t, "c-1", "drain vm v50")
	assert.NilError(t, err)
	observe()
	_, err = w.do(t, "c-2", "start wave spring")
	assert.NilError(t, err)
	observe()
	assert.NilError(t, w.fleet.Step(ctx))
	observe()
	observe()
	assert.NilError(t, w.port.Trail.Flush(ctx))
	entries, _, err := w.port.Trail.Read(ctx, audit.Filter{Who: automaticActor})
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

// Guards against a wave whose record forgets who started it once somebody else has changed it.
func TestWavesTellWhoStartedAndWhoChangedThem(t *testing.T) {
	w := newFixture(t, "encuesta-viva")
	_, err := w.do(t, "c-1", "start wave spring")
	assert.NilError(t, err)
	_, err = w.fleet.PauseWave(ctx, "spring", fleet.Order{Change: "c-2", Actor: "boris"})
	assert.NilError(t, err)
	waves, err := Waves{Fleet: w.fleet}.Waves(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(waves), 1)
	got := waves[0]
	assert.Equal(t, got.StartedBy, "ana")
	assert.Equal(t, got.Run, model.ChangeID("c-1"))
	assert.Equal(t, got.Actor, "boris")
	assert.Equal(t, got.Change, model.ChangeID("c-2"))
}
