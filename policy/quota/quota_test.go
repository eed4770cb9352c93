package quota

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/model"
)

func cpu(n int64) model.Resources { return model.Resources{MilliCPU: n, MemoryMB: n} }

func TestCheck(t *testing.T) {
	teams := []model.Team{{Name: "a", Guaranteed: cpu(10)}, {Name: "none"}}
	repeatable, notRepeatable := &model.Job{Team: "a", Repeatable: true}, &model.Job{Team: "a"}
	for _, tc := range []struct {
		name  string
		teams []model.Team
		used  int64
		job   *model.Job
		size  int64
		want  Verdict
		never bool
	}{
		{"within the guarantee", teams, 5, notRepeatable, 5, Within, false},
		{"over and preemptible", teams, 6, repeatable, 5, Borrows, false},
		{"over and not preemptible", teams, 6, notRepeatable, 5, Waits, false},
		{"larger than the guarantee and not preemptible", teams, 0, notRepeatable, 11, Waits, true},
		{"larger than the guarantee but preemptible", teams, 0, repeatable, 11, Borrows, false},
		{"no guarantee", teams, 0, &model.Job{Team: "none"}, 1, Waits, true},
		{"no quotas declared", nil, 100, notRepeatable, 100, Within, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := NewTracker(tc.teams)
			b.Reserve("a", cpu(tc.used))
			assert.Equal(t, b.Check(tc.job, cpu(tc.size)), tc.want)
			assert.Equal(t, b.NeverFits(tc.job, cpu(tc.size)), tc.never)
		})
	}
}

func TestUsageRatio(t *testing.T) {
	b := NewTracker([]model.Team{{Name: "a", Guaranteed: cpu(10)}})
	b.Reserve("a", model.Resources{MilliCPU: 5, MemoryMB: 20})
	b.Reserve("none", cpu(1))
	assert.Equal(t, b.UsageRatio("a"), 2.0)
	assert.Assert(t, b.OverGuarantee("a") && b.OverGuarantee("none") && b.UsageRatio("none") > b.UsageRatio("a"))
	b.Release("a", model.Resources{MemoryMB: 10})
	assert.Assert(t, !b.OverGuarantee("a"))
}
