package query

import (
	"context"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/lang"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

var (
	ctx   = context.Background()
	epoch = time.Date(2026, 3, 1, 3, 0, 0, 0, time.UTC)
)

// fakeSources implements every data source of an Engine with fixed answers.
type fakeSources struct {
	heard       []PeerStatus
	budgets     []Headroom
	waves       []WaveStatus
	jobs        []JobStatus
	history     []Reason
	platformErr error // returned by every call that needs the platform
}

func (s *fakeSources) Self() model.EntryID { return "e1" }

func (s *fakeSources) Statuses() []PeerStatus { return s.heard }

func (s *fakeSources) Budgets(context.Context, *view.Snapshot) ([]Headroom, error) {
	return s.budgets, s.platformErr
}

func (s *fakeSources) Forecast(context.Context, *view.Snapshot, Hypothesis) (Forecast, error) {
	return Forecast{Allowed: true, Steps: []Step{{VM: "v1", Done: true}, {VM: "v2"}}, Budgets: []BudgetChange{{
		Before: Headroom{Service: "web", Available: 2, Required: 1}, After: Headroom{Service: "web", Required: 1},
	}}}, s.platformErr
}

func (s *fakeSources) Waves(context.Context) ([]WaveStatus, error) { return s.waves, s.platformErr }

func (s *fakeSources) Jobs(context.Context) ([]JobStatus, error) { return s.jobs, s.platformErr }

func (s *fakeSources) Reasons(context.Context, string) ([]Reason, error) {
	return s.history, s.platformErr
}

func newEngine(t *testing.T) (*Engine, *fakeSources, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClockAt(epoch)
	src := &fakeSources{
		heard:   []PeerStatus{{Entry: "e1", Zone: "a", LastHeard: epoch, Generation: 3}, {Entry: "e2", Zone: "b", LastHeard: epoch.Add(-time.Minute)}},
		budgets: []Headroom{{Service: "web", VMs: 3, Available: 2, Required: 2}, {Service: "web", Zone: "a", VMs: 2, Available: 1, Required: 1}},
		waves: []WaveStatus{{Name: "spring", State: "running", Pools: []model.PoolName{"web"}, Total: 3, Done: 1, OutOfService: 1,
			Reason: "service web has no headroom", Started: epoch.Add(-time.Hour), StartedBy: "ana", Run: "c-1", Actor: "ana", Change: "c-1", Forecast: 5 * time.Minute}},
		jobs: []JobStatus{{Job: model.Job{ID: "j9", Team: "t", Kind: "k", SubmittedAt: epoch.Add(-time.Hour)}, State: "unplaceable",
			Since: epoch, Reason: "needs 9 cores, the largest worker has 8"}},
		history: []Reason{{At: epoch.Add(-2 * time.Hour), Text: "done: drain vm v9 by ana"}},
	}
	s := &view.Snapshot{
		AsOf: epoch, Revision: 7,
		Declaration: &model.Declaration{
			Generation: 3, Zones: []model.ZoneName{"a", "b", "c"},
			VMs:      []model.VMDecl{{ID: "v1", Pool: "web", Zone: "a", Rack: "r1"}, {ID: "v8", Pool: "web", Zone: "a", Rack: "r1"}},
			Pools:    []model.Pool{{Name: "web"}},
			Services: []model.Service{{Name: "web", Pools: []model.PoolName{"web"}, Budget: model.Budget{MinAvailable: model.Quantity{Count: 2}}}},
			Waves:    []model.Wave{{Name: "spring"}, {Name: "autumn", Pools: []model.PoolName{"web"}}},
		},
		VMs: map[model.VMID]view.VMRecord{
			"v1": {VM: model.VM{ID: "v1", Pool: "web", Zone: "a", Rack: "r1", State: model.VMInPool, Since: epoch.Add(-time.Hour)}},
			"v2": {VM: model.VM{ID: "v2", Pool: "web", Zone: "b", Rack: "r2", State: model.VMInPool}},
			"v3": {VM: model.VM{ID: "v3", Pool: "web", Zone: "a", Rack: "r1", State: model.VMRebooting, Since: epoch.Add(-time.Minute),
				Holder: "wave spring", Attempt: "v3-1", Reason: "maintenance", Change: "c-1"}},
		},
		Entries: []view.EntryRecord{{ID: "e1", Zone: "a"}, {ID: "e2", Zone: "b"}},
	}
	h := view.NewHolder()
	h.Publish(s)
	return New(Options{View: h, Planner: src, Waves: src, Jobs: src, Peers: src, History: src, Clock: clock,
		Health: func(model.VMID) model.Health { return model.HealthHealthy }}), src, clock
}

func ask(t *testing.T, e *Engine, text string) (Answer, error) {
	t.Helper()
	q, err := lang.ParseQuestion(text)
	assert.NilError(t, err)
	return e.Ask(ctx, q, nil)
}

func TestShow(t *testing.T) {
	e, _, _ := newEngine(t)
	cases := []struct {
		name string
		text string
		want []string // first cell of each row
	}{
		{"all", "show vms", []string{"v1", "v2", "v3"}},
		{"equal", "show vms where zone = a and state = in-pool", []string{"v1"}},
		{"not equal", "show vms where zone != a", []string{"v2"}},
		{"duration", "show vms where since < 10m and since >= 1m", []string{"v3"}},
		{"number", "show budgets where headroom < 1 and zone = all", []string{"web"}},
		{"no row", "show budgets where headroom > 0", nil},
		{"one of a list", "show racks where pools = web", []string{"r1", "r2"}},
		{"one budget", "show budget web", []string{"web", "web"}},
		{"waves with those never started", "show waves", []string{"autumn", "spring"}},
		{"jobs", "show jobs where state = unplaceable", []string{"j9"}},
		{"zones without VMs", "show zones where vms = 0", []string{"c"}},
		{"entries", "show entries where generation = 3", []string{"e1"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			answer, err := ask(t, e, tc.text)
			assert.NilError(t, err)
			var got []string
			for _, row := range answer.Table.Rows {
				got = append(got, row[0])
			}
			assert.DeepEqual(t, got, tc.want)
		})
	}
	_, err := ask(t, e, "show budget nothing")
	assertCode(t, err, CodeNotFound)
}

func assertCode(t *testing.T, err error, want Code) {
	t.Helper()
	var failed *Error
	assert.Assert(t, errors.As(err, &failed), "%v", err)
	assert.Equal(t, failed.Code, want)
}

func TestExplain(t *testing.T) {
	cases := []struct {
		name string
		text string
		now  string
		want []string // a substring of each reason, in order
	}{
		{"VM that a wave holds", "explain vm v3", "rebooting, pool web, healthy as this entry VM sees it", []string{
			"service web has 2 of 3 VMs available and needs 2: no planned stop may start",
			"service web has 1 of 2 VMs available in zone a and needs 1",
			"done: drain vm v9 by ana",
			"wave spring started by ana; it is running, 1 of 3 VMs done: service web has no headroom",
			"rebooting since then: maintenance (change c-1)", "held by wave spring", "attempt v3-1",
		}},
		{"VM not yet in the fleet", "explain vm v8", "declared, not yet taken into the fleet", []string{"declared in pool web"}},
		{"wave", "explain wave spring", "running, 1 of 3 VMs done, 1 out, 0 failed", []string{
			"goes through pools web", "service web has 2 of 3", "", "done: drain", "started by ana (change c-1)", "VM v3 is rebooting", "now: service web has no headroom", "expected to end in 5m0s",
		}},
		{"wave never started", "explain wave autumn", "declared, 0 of 0 VMs done", []string{"goes through pools web"}},
		{"job", "explain job j9", "unplaceable", []string{"done: drain", "submitted by team t", "needs 9 cores, the largest worker has 8"}},
		{"service", "explain service web", "pools web, limit 0", []string{"its budget: at least 2", "service web has 2 of 3", "", "done: drain", "VM v3 does not count: rebooting"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			e, _, _ := newEngine(t)
			answer, err := ask(t, e, tc.text)
			assert.NilError(t, err)
			x := answer.Explanation
			assert.Assert(t, strings.HasPrefix(x.CurrentState, tc.now), x.CurrentState)
			for i, part := range tc.want {
				assert.Assert(t, strings.Contains(x.Reasons[i].Text, part), "%d: %q", i, x.Reasons[i].Text)
				assert.Assert(t, i == 0 || !x.Reasons[i].At.Before(x.Reasons[i-1].At))
			}
		})
	}
	e, _, _ := newEngine(t)
	for _, text := range []string{"explain vm v7", "explain wave x", "explain job x", "explain service x", "what-if lose rack x"} {
		_, err := ask(t, e, text)
		assertCode(t, err, CodeNotFound)
	}
}

// Guards against an operator who paused a wave being named as the one who started it.
func TestExplainWaveNamesWhoStartedIt(t *testing.T) {
	e, src, _ := newEngine(t)
	w := &src.waves[0]
	w.State, w.Actor, w.Change = "paused", "boris", "c-2"
	answer, err := ask(t, e, "explain wave spring")
	assert.NilError(t, err)
	var texts []string
	for _, r := range answer.Explanation.Reasons {
		texts = append(texts, r.Text)
	}
	all := strings.Join(texts, "\n")
	assert.Assert(t, strings.Contains(all, "started by ana (change c-1)"), all)
	assert.Assert(t, strings.Contains(all, "set to paused by boris (change c-2)"), all)

	answer, err = ask(t, e, "explain vm v3")
	assert.NilError(t, err)
	assert.Assert(t, slices.ContainsFunc(answer.Explanation.Reasons, func(r Reason) bool {
		return strings.HasPrefix(r.Text, "wave spring started by ana; it is paused")
	}), "%v", answer.Explanation.Reasons)
}

// Guards against an answer from a partitioned entry VM being taken for current.
// Its view stops being updated, so the answer must state the age of the view
// and the zones that the entry VM receives no messages from.
func TestNoStaleAnswerLooksFresh(t *testing.T) {
	e, src, clock := newEngine(t)
	answer, err := ask(t, e, "show vms")
	assert.NilError(t, err)
	assert.Assert(t, !answer.View.Stale)
	assert.DeepEqual(t, answer.View.MissingZones, []MissingZone{{Zone: "b", LastHeard: epoch.Add(-time.Minute)}, {Zone: "c"}})

	clock.Advance(StaleAfter + time.Second)
	src.heard[0].LastHeard = clock.Now()
	answer, err = ask(t, e, "show vms")
	assert.NilError(t, err)
	assert.Assert(t, answer.View.Stale)
	assert.Equal(t, answer.View.Age, StaleAfter+time.Second)
}

// Guards against questions failing altogether during a platform outage. What
// the entry VM knows itself must still be answered, with a note on what is
// missing; only questions that need the platform fail, as unavailable.
func TestPlatformDown(t *testing.T) {
	e, src, _ := newEngine(t)
	src.platformErr = errors.New("service down")
	answer, err := ask(t, e, "show services")
	assert.NilError(t, err)
	assert.DeepEqual(t, answer.Table.Rows[0][4:7], []string{"3", "2", "0"})
	assert.Assert(t, strings.Contains(answer.Notes[0], "view and health checks alone: service down"))

	answer, err = ask(t, e, "explain vm v3")
	assert.NilError(t, err)
	var text []string
	for _, r := range answer.Explanation.Reasons {
		text = append(text, r.Text)
	}
	all := strings.Join(text, "\n")
	assert.Assert(t, strings.Contains(all, "the audit trail cannot be read now") && strings.Contains(all, "where wave spring stands cannot be told now"), all)

	for _, question := range []string{"show waves", "show jobs", "what-if drain vm v1"} {
		_, err := ask(t, e, question)
		assertCode(t, err, CodeUnavailable)
	}
	empty := New(Options{View: view.NewHolder(), Planner: src})
	_, err = empty.Ask(ctx, lang.Show{Kind: lang.ShowVMs}, nil)
	assertCode(t, err, CodeUnavailable)
}

func TestWhatIfSaysWhetherBudgetsHold(t *testing.T) {
	e, src, _ := newEngine(t)
	src.jobs = []JobStatus{{Job: model.Job{ID: "j1"}, VM: "v1"}, {Job: model.Job{ID: "j2"}, VM: "v2"}, {Job: model.Job{ID: "j3"}}}
	answer, err := ask(t, e, "what-if drain rack r1")
	assert.NilError(t, err)
	assert.Equal(t, answer.Forecast.Jobs, 1)
	assert.Assert(t, answer.Forecast.Allowed && !answer.Forecast.BudgetsHold)
	assert.Equal(t, answer.Forecast.Description, "drain rack r1")
	_, err = ask(t, e, "what-if declaration")
	assertCode(t, err, CodeInvalid)
}
