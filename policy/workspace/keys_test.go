package workspace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

func TestAdmission(t *testing.T) {
	keys := Keys{"k1": "red", "k2": "red", "k3": "blue"}
	fresh, old := Confirmation{Age: trustFor}, Confirmation{Age: trustFor + 1}
	strict := Confirmation{Age: 5*time.Second + 1, MaxAge: 5 * time.Second}
	for _, c := range []struct {
		name      string
		key       Digest
		open      bool
		confirmed Confirmation
		workspace work.WorkspaceName
		verdict   Verdict
	}{
		{"known key", "k1", false, fresh, "red", Admitted},
		{"second key of the same workspace", "k2", false, old, "red", Admitted},
		{"known key on an open route", "k3", true, fresh, "blue", Admitted},
		{"no key on an open route", "", true, fresh, "", Admitted},
		{"no key", "", false, fresh, "", NoKey},
		{"unknown key", "k4", false, fresh, "", UnknownKey},
		{"unknown key on an open route", "k4", true, fresh, "", UnknownKey},
		{"unknown key that may be new", "k4", false, old, "", RefreshFirst},
		{"known key that may have been revoked", "k1", false, strict, "", Unconfirmed},
		{"no key on an open route of a cut-off entry VM", "", true, strict, "", Admitted},
	} {
		t.Run(c.name, func(t *testing.T) {
			workspace, verdict := keys.Admit(c.key, c.open, c.confirmed)
			assert.Equal(t, workspace, c.workspace)
			assert.Equal(t, verdict, c.verdict)
		})
	}
}
