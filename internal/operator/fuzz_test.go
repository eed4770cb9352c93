package operator_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/operator/api"
	"github.com/pumicestage/pumicestage/internal/operator/operatortest"
)

// FuzzBodies checks that every request body gets a reply or a problem document
// other than an internal error, and that a rejected request neither changes the
// declaration nor gives an order.
func FuzzBodies(f *testing.F) {
	paths := []string{api.PathDeclaration, api.PathQuery, api.PathDo}
	for i, body := range []string{
		`{"mode":"apply","declaration":{"Zones":["a"],"VMs":[{"ID":"../x"}]},"change":"c"}`,
		`{"text":"show vms where pool = a"}`, `{"text":"drain vm v01","change":"c-1","ifRevision":-1}`,
		`{"mode":"apply","declaration":null}`, `{"text":"what-if declaration","declaration":{"Services":[{"Budget":{"MinAvailable":{"Share":-1}}}]}}`,
		`{"text":"drain vm v01","change":"` + strings.Repeat("c", 5000) + `"}`, `[]`, ``, "\x00", `{"text":1}`,
	} {
		f.Add(i%len(paths), body)
	}
	decl := loadExample(f)
	f.Fuzz(func(t *testing.T, which int, body string) {
		fx := operatortest.New(t, decl, nil)
		w := httptest.NewRecorder()
		path := paths[uint(which)%uint(len(paths))]
		fx.Handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		if w.Code == http.StatusOK {
			return
		}
		var p api.Problem
		if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil || p.Status != w.Code || p.Code == "" || w.Code == http.StatusInternalServerError {
			t.Fatalf("%s %q: %d %s", path, body, w.Code, w.Body)
		}
		kv, _, err := fx.BackingStore.Get(t.Context(), infra.ConfigKey)
		if err != nil || kv.ModRevision != 0 || len(fx.Fleet.Orders) > 0 {
			t.Fatalf("%s %q was refused and changed something", path, body)
		}
	})
}
