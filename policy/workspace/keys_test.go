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
		{"a key", "k1", false, fresh, "red", Admitted},
		{"another key of the same", "k2", false, old, "red", Admitted},
		{"a key on an open route", "k3", true, fresh, "blue", Admitted},
		{"none on an open route", "", true, fresh, "", Admitted},
		{"none", "", false, fresh, "", NoKey},
		{"a false one", "k4", false, fresh, "", UnknownKey},
		{"a false one on an open route", "k4", true, fresh, "", UnknownKey},
		{"one that may be new", "k4", false, old, "", AskFirst},
		{"one that may have been taken away", "k1", false, strict, "", Unconfirmed},
		{"a cut-off entry VM on an open route", "", true, strict, "", Admitted},
	} {
		t.Run(c.name, func(t *testing.T) {
			workspace, verdict := keys.Admit(c.key, c.open, c.confirmed)
			assert.Equal(t, workspace, c.workspace)
			assert.Equal(t, verdict, c.verdict)
		})
	}
}
