package operator_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/access"
	"github.com/pumicestage/pumicestage/internal/audit"
	"github.com/pumicestage/pumicestage/internal/command"
	"github.com/pumicestage/pumicestage/internal/config"
	"github.com/pumicestage/pumicestage/internal/operator/api"
	"github.com/pumicestage/pumicestage/internal/operator/client"
	"github.com/pumicestage/pumicestage/internal/operator/operatortest"
	"github.com/pumicestage/pumicestage/policy/model"
)

func loadExample(t testing.TB) *model.Declaration {
	t.Helper()
	d, err := config.Load("../../examples/encuesta-viva")
	assert.NilError(t, err)
	return d
}

func serve(t *testing.T, f *operatortest.Fixture, token string) *client.Client {
	t.Helper()
	srv := httptest.NewServer(f.Handler)
	t.Cleanup(srv.Close)
	return client.New(client.Options{Servers: []string{srv.URL}, Token: token, Operator: "ana"})
}

func problemOf(t *testing.T, err error) api.Problem {
	t.Helper()
	var refused *client.ProblemError
	assert.Assert(t, errors.As(err, &refused), "%v", err)
	return refused.Problem
}

func auditLines(t *testing.T, f *operatortest.Fixture) []string {
	t.Helper()
	ctx := context.Background()
	assert.NilError(t, f.Trail.Flush(ctx))
	entries, _, err := f.Trail.Read(ctx, audit.Filter{})
	assert.NilError(t, err)
	var lines []string
	for _, e := range entries {
		lines = append(lines, fmt.Sprintf("%s %s: %s", e.Who, e.Result, e.What))
	}
	return lines
}

func TestDeclarationOverHTTP(t *testing.T) {
	ctx := context.Background()
	f := operatortest.New(t, nil, nil)
	cl := serve(t, f, "")
	empty, err := cl.Declaration(ctx)
	assert.NilError(t, err)
	assert.Assert(t, empty.Declaration == nil)

	req := api.DeclarationRequest{Mode: api.ModeApply, Declaration: loadExample(t), Change: "c-1"}
	first, err := cl.Change(ctx, req)
	assert.NilError(t, err)
	assert.Equal(t, first.Generation, uint64(1))
	again, err := cl.Change(ctx, req)
	assert.NilError(t, err)
	assert.Assert(t, again.Repeated)

	stored, err := cl.Declaration(ctx)
	assert.NilError(t, err)
	assert.Equal(t, stored.Applied.By, "ana (unverified)")
	assert.Equal(t, len(config.Diff(stored.Declaration, loadExample(t))), 0)

	changed := loadExample(t)
	changed.Services[0].Limit = 40
	zero := uint64(0)
	_, err = cl.Change(ctx, api.DeclarationRequest{Mode: api.ModeApply, Declaration: changed, Change: "c-2", IfGeneration: &zero})
	conflict := problemOf(t, err)
	assert.Equal(t, conflict.Code, api.CodeConflict)
	assert.Equal(t, conflict.Winner.By, "ana (unverified)")
	assert.Equal(t, conflict.Differ[0].Key, "limit")

	fewer := loadExample(t)
	fewer.Services = fewer.Services[1:]
	diff, err := cl.Change(ctx, api.DeclarationRequest{Mode: api.ModeDiff, Declaration: fewer})
	assert.NilError(t, err)
	assert.Assert(t, diff.Broken[0].Gone)
	_, err = cl.Change(ctx, api.DeclarationRequest{Mode: api.ModeApply, Declaration: fewer, Change: "c-3"})
	assert.Equal(t, problemOf(t, err).Code, api.CodeRemoval)
	_, err = cl.Change(ctx, api.DeclarationRequest{Mode: api.ModeApply, Declaration: fewer, Change: "c-3", ConfirmRemoval: true})
	assert.NilError(t, err)

	assert.DeepEqual(t, auditLines(t, f), []string{
		"ana (unverified) asked: apply declaration", "ana (unverified) done: apply declaration",
		"ana (unverified) asked: apply declaration", "ana (unverified) done: apply declaration",
		"ana (unverified) asked: apply declaration", "ana (unverified) refused: apply declaration",
		"ana (unverified) asked: apply declaration", "ana (unverified) refused: apply declaration",
		"ana (unverified) asked: apply declaration", "ana (unverified) done: apply declaration",
	})
}

func TestOrdersOverHTTP(t *testing.T) {
	conflictRefusal := &command.Refusal{Code: command.CodeConflict, Winner: "wave spring", Revision: 12, Detail: "VM v02 is leaving"}
	cases := []struct {
		name        string
		text        string
		orders      []string
		refusals    map[model.VMID]*command.Refusal
		code        api.Code // of the problem document; empty if the order succeeds
		doneEffects int
		audit       []string
	}{
		{"drain", `drain vm v01 reason "disk"`, []string{"drain v01"}, nil, "", 1, []string{"asked", "done"}},
		{"drain a rack, one of it refused", "drain rack gt-a-r1", []string{"drain v01", "drain v02", "drain v03", "drain v04"},
			map[model.VMID]*command.Refusal{"v02": conflictRefusal}, "", 3, []string{"asked", "done"}},
		{"refused", "drain vm v02", []string{"drain v02"}, map[model.VMID]*command.Refusal{"v02": conflictRefusal}, api.CodeRefused, 0, []string{"asked", "refused"}},
		{"cut", "drain vm v01 cut", []string{"cut v01"}, nil, "", 1, []string{"asked", "done"}},
		{"nothing of the name", "drain rack nowhere", nil, nil, api.CodeRefused, 0, []string{"refused"}},
		{"wave", "start wave spring on pool tabulation, portal", []string{"start spring tabulation portal"}, nil, "", 1, []string{"asked", "done"}},
		{"syntax", "drain v01", nil, nil, api.CodeSyntax, 0, nil},
		{"a question is no order", "show vms", nil, nil, api.CodeSyntax, 0, nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			ctx := context.Background()
			f := operatortest.New(t, loadExample(t), nil)
			f.Fleet.Refusals = tc.refusals
			reply, err := serve(t, f, "").Do(ctx, api.DoRequest{Text: tc.text, Change: "c-1", IfRevision: 5})
			if tc.code != "" {
				assert.Equal(t, problemOf(t, err).Code, tc.code)
			} else {
				assert.NilError(t, err)
				assert.Equal(t, len(reply.Effects)-reply.Refused, tc.doneEffects)
			}
			assert.DeepEqual(t, f.Fleet.Orders, tc.orders)
			if len(f.Fleet.Terms) == 1 {
				assert.Equal(t, f.Fleet.Terms[0].Change, model.ChangeID("c-1"))
				assert.Equal(t, int(f.Fleet.Terms[0].IfRevision), 5)
			}
			var want []string
			for _, stage := range tc.audit {
				want = append(want, "ana (unverified) "+stage+": "+tc.text)
			}
			assert.DeepEqual(t, auditLines(t, f), want)
		})
	}
}

// The operator's connection breaks while a rack is being drained. The order must
// still run to its end and its outcome be recorded in the audit trail: otherwise
// some VMs would be drained and nobody would know which.
func TestOrderCompletesAfterClientDisconnects(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f := operatortest.New(t, loadExample(t), nil)
	f.Fleet.BeforeOrder = cancel
	body := strings.NewReader(`{"text":"drain rack gt-a-r1","change":"c-1"}`)
	f.Handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(ctx, http.MethodPost, api.PathDo, body))
	assert.Equal(t, len(f.Fleet.Orders), 4)
	assert.DeepEqual(t, auditLines(t, f), []string{
		"anonymous (unverified) asked: drain rack gt-a-r1", "anonymous (unverified) done: drain rack gt-a-r1",
	})
}

func TestSetLimitChangesTheDeclaration(t *testing.T) {
	ctx := context.Background()
	f := operatortest.New(t, nil, nil)
	cl := serve(t, f, "")
	_, err := cl.Change(ctx, api.DeclarationRequest{Mode: api.ModeApply, Declaration: loadExample(t), Change: "c-1"})
	assert.NilError(t, err)
	for range 2 { // the second call repeats the first under the same change ID
		_, err = cl.Do(ctx, api.DoRequest{Text: "set service preview limit 40", Change: "c-2"})
		assert.NilError(t, err)
	}
	now, err := cl.Declaration(ctx)
	assert.NilError(t, err)
	assert.Equal(t, now.Declaration.Generation, uint64(2))
	assert.Equal(t, now.Declaration.Service("preview").Limit, 40)
	_, err = cl.Do(ctx, api.DoRequest{Text: "set service nothing limit 40", Change: "c-3"})
	assert.Equal(t, problemOf(t, err).Reason, string(command.CodeNotFound))
}

// An order is refused, and nothing reaches the fleet, if its audit entry cannot
// be written first: a crash right after the change would otherwise leave a
// change with no record of who made it.
func TestOrderRefusedWhenAuditTrailUnwritable(t *testing.T) {
	ctx := context.Background()
	for name, fault := range map[string]func(f *operatortest.Fixture){
		"store down":         func(f *operatortest.Fixture) { f.FaultyStore.SetDown(true) },
		"every request lost": func(f *operatortest.Fixture) { f.FaultyStore.LoseRequests(99) },
	} {
		t.Run(name, func(t *testing.T) {
			f := operatortest.New(t, loadExample(t), nil)
			fault(f)
			_, err := serve(t, f, "").Do(ctx, api.DoRequest{Text: "drain vm v01", Change: "c-1"})
			p := problemOf(t, err)
			assert.Equal(t, p.Status, http.StatusServiceUnavailable)
			assert.Equal(t, p.Reason, string(command.CodeUnavailable))
			assert.Equal(t, len(f.Fleet.Orders), 0)
		})
	}
}

// The response to a request is lost after the server carried it out. The client
// retries under the same change ID on the next entry VM. If that one is
// unavailable, the client must not report its "nothing changed".
func TestClientRetriesAfterLostResponse(t *testing.T) {
	ctx := context.Background()
	f := operatortest.New(t, nil, nil)
	lossyServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.Handler.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(lossyServer.Close)
	workingServer := httptest.NewServer(f.Handler)
	t.Cleanup(workingServer.Close)
	unavailableServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", api.ContentProblem)
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"status":503,"code":"unavailable","detail":"nothing changed"}`)
	}))
	t.Cleanup(unavailableServer.Close)
	req := api.DeclarationRequest{Mode: api.ModeApply, Declaration: loadExample(t), Change: "c-1"}

	_, err := client.New(client.Options{Servers: []string{lossyServer.URL, unavailableServer.URL}}).Change(ctx, req)
	var unreachable *client.UnreachableError
	assert.Assert(t, errors.As(err, &unreachable) && unreachable.Sent, "%v", err)

	reply, err := client.New(client.Options{Servers: []string{lossyServer.URL, workingServer.URL}}).Change(ctx, req)
	assert.NilError(t, err)
	assert.Equal(t, reply.Generation, uint64(1))
	assert.Assert(t, reply.Repeated)

	_, err = client.New(client.Options{Servers: []string{"127.0.0.1:1"}}).Change(ctx, req)
	assert.Assert(t, errors.As(err, &unreachable) && !unreachable.Sent, "%v", err)
}

func TestRolesOverHTTP(t *testing.T) {
	ctx := context.Background()
	tokens := make(map[access.Role]string)
	file := ""
	for _, role := range []access.Role{access.RoleView, access.RoleOperate, access.RoleConfigure} {
		token, hash := access.NewToken()
		tokens[role] = token
		file += fmt.Sprintf("[operator %s-er]\nrole = %s\nhash = %s\n", role, role, hash)
	}
	path := filepath.Join(t.TempDir(), "tokens.ini")
	assert.NilError(t, os.WriteFile(path, []byte(file), 0o600))
	gate, err := access.NewTokens(path, clockwork.NewFakeClock(), logr.Discard())
	assert.NilError(t, err)
	f := operatortest.New(t, loadExample(t), gate)
	ask := func(cl *client.Client) error { _, err := cl.Query(ctx, "show vms", nil); return err }
	order := func(cl *client.Client) error {
		_, err := cl.Do(ctx, api.DoRequest{Text: "drain vm v01", Change: "c-1"})
		return err
	}
	set := func(cl *client.Client) error {
		_, err := cl.Do(ctx, api.DoRequest{Text: "set service preview limit 1", Change: "c-2"})
		return err
	}
	apply := func(cl *client.Client) error {
		_, err := cl.Change(ctx, api.DeclarationRequest{Mode: api.ModeApply, Declaration: loadExample(t), Change: "c-3"})
		return err
	}
	cases := []struct {
		name string
		role access.Role // 0 means no token
		call func(*client.Client) error
		want api.Code
	}{
		{"view may ask", access.RoleView, ask, ""},
		{"view may not order", access.RoleView, order, api.CodeForbidden},
		{"view may not apply", access.RoleView, apply, api.CodeForbidden},
		{"operate may order", access.RoleOperate, order, ""},
		{"operate may not set", access.RoleOperate, set, api.CodeForbidden},
		{"operate may not apply", access.RoleOperate, apply, api.CodeForbidden},
		{"configure may apply", access.RoleConfigure, apply, ""},
		{"configure may set", access.RoleConfigure, set, ""},
		{"no token may not ask", 0, ask, api.CodeUnauthorized},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			err := tc.call(serve(t, f, tokens[tc.role]))
			if tc.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, problemOf(t, err).Code, tc.want)
		})
	}
	assert.Assert(t, strings.Contains(strings.Join(auditLines(t, f), "\n"), "view-er refused: apply declaration"))
	kvs, _, err := f.BackingStore.Range(ctx, "")
	assert.NilError(t, err)
	for _, kv := range kvs {
		for _, token := range tokens {
			assert.Assert(t, !strings.Contains(string(kv.Value), token), "a token in %s", kv.Key)
		}
	}
}

func TestInvalidRequestsGetProblemDocuments(t *testing.T) {
	f := operatortest.New(t, loadExample(t), nil)
	cases := []struct {
		name   string
		method string
		path   string
		body   string
		status int
	}{
		{"not JSON", http.MethodPost, api.PathQuery, "show vms", http.StatusBadRequest},
		{"unknown field", http.MethodPost, api.PathDo, `{"text":"drain vm v01","change":"c","if-revision":3}`, http.StatusBadRequest},
		{"more after the value", http.MethodPost, api.PathQuery, `{"text":"show vms"} {}`, http.StatusBadRequest},
		{"no change ID", http.MethodPost, api.PathDo, `{"text":"drain vm v01"}`, http.StatusBadRequest},
		{"no declaration", http.MethodPost, api.PathDeclaration, `{"mode":"apply"}`, http.StatusBadRequest},
		{"unknown mode", http.MethodPost, api.PathDeclaration, `{"mode":"force","declaration":{}}`, http.StatusBadRequest},
		{"invalid declaration", http.MethodPost, api.PathDeclaration, `{"mode":"check","declaration":{}}`, http.StatusUnprocessableEntity},
		{"too large", http.MethodPost, api.PathQuery, `{"text":"` + strings.Repeat("x", api.MaxBodyBytes) + `"}`, http.StatusRequestEntityTooLarge},
		{"bad time", http.MethodGet, api.PathAudit + "?since=yesterday", "", http.StatusBadRequest},
		{"bad generation", http.MethodGet, api.PathInForce + "?generation=-1", "", http.StatusBadRequest},
		{"unknown path", http.MethodGet, "/v1/nothing", "", http.StatusNotFound},
		{"wrong method", http.MethodPut, api.PathDo, "", http.StatusMethodNotAllowed},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			f.Handler.ServeHTTP(w, httptest.NewRequest(tc.method, tc.path, strings.NewReader(tc.body)))
			assert.Equal(t, w.Code, tc.status, w.Body.String())
			assert.Equal(t, w.Header().Get("Content-Type"), api.ContentProblem)
			assert.Equal(t, len(f.Fleet.Orders), 0)
		})
	}
}

func TestInForceCountsPerZone(t *testing.T) {
	f := operatortest.New(t, loadExample(t), nil)
	f.Acks.Set([]model.EntryID{"e-gt-a", "e-gt-b"}, []model.EntryID{"e-gt-c"})
	reply, err := serve(t, f, "").InForce(context.Background(), 3)
	assert.NilError(t, err)
	assert.DeepEqual(t, reply, api.InForceReply{
		Generation: 3,
		Zones:      []api.ZoneInForce{{Zone: "gt-a", Have: 1, Live: 1}, {Zone: "gt-b", Have: 1, Live: 1}, {Zone: "gt-c", Live: 1}},
		Missing:    []api.MissingEntry{{Entry: "e-gt-c", Zone: "gt-c"}},
	})
}
