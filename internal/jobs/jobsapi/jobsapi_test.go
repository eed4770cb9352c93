package jobsapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/access"
	"github.com/pumicestage/pumicestage/internal/audit"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/internal/infra/standin"
	"github.com/pumicestage/pumicestage/internal/jobs"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// roleGate admits requests that need at most its role, always as user ana.
type roleGate struct{ role access.Role }

func (g *roleGate) Authorize(_ *http.Request, need access.Role) (access.Identity, error) {
	if g.role < need {
		return access.Identity{Name: "ana"}, &access.Error{Authenticated: true, Detail: "the role does not suffice"}
	}
	return access.Identity{Name: "ana", Role: g.role}, nil
}

type testAPI struct {
	http.Handler
	jobs  *jobs.Jobs
	gate  *roleGate
	trail *audit.Trail
}

func newTestAPI(t *testing.T) *testAPI {
	clock := clockwork.NewFakeClock()
	store := memstore.New(clock)
	platform := standin.New(clock)
	t.Cleanup(platform.Close)
	capacity := model.Resources{MilliCPU: 4000, MemoryMB: 4096}
	platform.Machines.Add("v1", capacity, nil)
	holder := view.NewHolder()
	holder.Publish(&view.Snapshot{Revision: 1, Declaration: &model.Declaration{Generation: 1},
		VMs: map[model.VMID]view.VMRecord{"v1": {VM: model.VM{ID: "v1", Capacity: capacity, State: model.VMInPool, Pool: "batch", Zone: "gt-a"}}}})
	j := jobs.New(jobs.Options{Store: store, Machines: platform.Machines, View: holder, Self: "e1", Clock: clock, Log: logr.Discard()})
	g := &roleGate{role: access.RoleOperate}
	trail := audit.New(audit.Options{Store: store, Self: "e1", Clock: clock, WriteInterval: -1, Log: logr.Discard()})
	return &testAPI{New(Options{Jobs: j, Access: g, Trail: trail, Log: logr.Discard()}), j, g, trail}
}

// call sends a request to the handler, decodes the body of the response into
// reply unless that is nil, and returns the status code.
func (p *testAPI) call(t *testing.T, method, path, body string, reply any) int {
	t.Helper()
	w := httptest.NewRecorder()
	p.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	if reply != nil {
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), reply), w.Body.String())
	}
	return w.Code
}

const twoJobs = `{"change":"c-1","jobs":[{"team":"panel","kind":"dedup","class":"deferrable","milliCPU":1000,"memoryMB":512,"runTime":"90s","repeatable":true},
	{"team":"field","kind":"incentives","milliCPU":9000,"memoryMB":512,"repeatable":false}]}`

func TestSubmitListCancel(t *testing.T) {
	p := newTestAPI(t)
	var submitted SubmitReply
	for range 2 { // a repeat adds nothing
		assert.Equal(t, p.call(t, "POST", Prefix, twoJobs, &submitted), 200)
		assert.DeepEqual(t, submitted.Jobs, []model.JobID{"c-1.0", "c-1.1"})
	}
	assert.NilError(t, p.jobs.Step(context.Background()))
	var list ListReply
	assert.Equal(t, p.call(t, "GET", Prefix+"?state=unplaceable", "", &list), 200)
	assert.Equal(t, len(list.Jobs), 1)
	assert.Equal(t, list.Jobs[0].Reason, "processors: needs 9 processors, the nearest worker v1 has 4 processors")
	var one Status
	assert.Equal(t, p.call(t, "GET", Prefix+"/c-1.0", "", &one), 200)
	assert.Equal(t, one.State, jobs.Running)
	assert.Equal(t, len(one.History), 3)
	var cancelled CancelReply
	assert.Equal(t, p.call(t, "DELETE", Prefix+"?team=panel&reason=done", "", &cancelled), 200)
	assert.Equal(t, cancelled.Cancelled, 1)
	assert.Equal(t, cancelled.Stopping, 1)
	assert.Equal(t, p.call(t, "DELETE", Prefix+"/c-1.1?change=x-1", "", &cancelled), 200)
	assert.Equal(t, cancelled.Change, model.ChangeID("x-1"))
}

func TestRefusals(t *testing.T) {
	for _, tc := range []struct {
		name, method, path, body string
		role                     access.Role
		status                   int
		detail                   string
	}{
		{"unknown field", "POST", Prefix, `{"job":[]}`, access.RoleOperate, 400, "unknown field"},
		{"no jobs", "POST", Prefix, `{"jobs":[]}`, access.RoleOperate, 400, "0 jobs"},
		{"no team", "POST", Prefix, `{"jobs":[{"kind":"k","milliCPU":1}]}`, access.RoleOperate, 400, "jobs[0].team"},
		{"class", "POST", Prefix, `{"jobs":[{"team":"t","kind":"k","milliCPU":1,"class":"x"}]}`, access.RoleOperate, 400, "jobs[0].class"},
		{"run time", "POST", Prefix, `{"jobs":[{"team":"t","kind":"k","milliCPU":1,"runTime":"soon"}]}`, access.RoleOperate, 400, "jobs[0].runTime"},
		{"size", "POST", Prefix, `{"jobs":[{"team":"t","kind":"k"}]}`, access.RoleOperate, 400, "jobs[0].declared"},
		{"change", "POST", Prefix, `{"change":"a/b","jobs":[{"team":"t","kind":"k","milliCPU":1}]}`, access.RoleOperate, 400, "change"},
		{"no filter", "DELETE", Prefix, "", access.RoleOperate, 400, "name what to cancel"},
		{"misspelt filter", "DELETE", Prefix + "?tema=panel", "", access.RoleOperate, 400, "query.tema"},
		{"no such job", "GET", Prefix + "/c.9", "", access.RoleView, 404, "no job c.9"},
		{"no such job to cancel", "DELETE", Prefix + "/nonsense", "", access.RoleOperate, 409, "no job nonsense"},
		{"nothing to decide", "PUT", Prefix + "/c.9/outcome", `{"outcome":"ran"}`, access.RoleOperate, 404, "no job c.9"},
		{"a viewer may not submit", "POST", Prefix, twoJobs, access.RoleView, 403, "role"},
		{"nor cancel", "DELETE", Prefix + "?team=panel", "", access.RoleView, 403, "role"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newTestAPI(t)
			p.gate.role = tc.role
			var problem struct{ Detail string }
			assert.Equal(t, p.call(t, tc.method, tc.path, tc.body, &problem), tc.status, problem.Detail)
			assert.Assert(t, strings.Contains(problem.Detail, tc.detail), problem.Detail)
		})
	}
}

// A submit by an operator without the required role is refused. The audit trail must
// contain the refusal, so that attempts without permission are visible; a
// permitted read leaves no entry.
func TestDeniedSubmitIsInTheTrail(t *testing.T) {
	p := newTestAPI(t)
	p.gate.role = access.RoleView
	assert.Equal(t, p.call(t, http.MethodPost, Prefix, twoJobs, nil), http.StatusForbidden)
	assert.Equal(t, p.call(t, http.MethodGet, Prefix, "", nil), http.StatusOK)
	assert.NilError(t, p.trail.Flush(t.Context()))

	entries, _, err := p.trail.Read(t.Context(), audit.Filter{})

	assert.NilError(t, err)
	assert.Equal(t, len(entries), 1)
	assert.Equal(t, entries[0].Result, audit.Refused)
	assert.Equal(t, entries[0].Who, "ana")
}
