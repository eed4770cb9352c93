package quota

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/model"
)

func cpu(n int64) model.Resources { return model.Resources{MilliCPU: n, MemoryMB: n} }

func TestStand(t *testing.T) {
	teams := []model.Team{{Name: "a", Guaranteed: cpu(10)}, {Name: "none"}}
	again, once := &model.Job{Team: "a", Repeatable: true}, &model.Job{Team: "a"}
	for _, tc := range []struct {
		name  string
		teams []model.Team
		used  int64
		job   *model.Job
		size  int64
		want  Verdict
		never bool
	}{
		{"within", teams, 5, once, 5, Within, false},
		{"over and can be taken back", teams, 6, again, 5, Borrows, false},
		{"over and can't", teams, 6, once, 5, Waits, false},
		{"over for ever", teams, 0, once, 11, Waits, true},
		{"larger than the guarantee but can be taken back", teams, 0, again, 11, Borrows, false},
		{"no guarantee", teams, 0, &model.Job{Team: "none"}, 1, Waits, true},
		{"no quotas declared", nil, 100, once, 100, Within, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := NewTracker(tc.teams)
			b.Reserve("a", cpu(tc.used))
			assert.Equal(t, b.Check(tc.job, cpu(tc.size)), tc.want)
			assert.Equal(t, b.NeverFits(tc.job, cpu(tc.size)), tc.never)
		})
	}
}

func TestRatio(t *testing.T) {
	b := NewTracker([]model.Team{{Name: "a", Guaranteed: cpu(10)}})
	b.Reserve("a", model.Resources{MilliCPU: 5, MemoryMB: 20})
	b.Reserve("none", cpu(1))
	assert.Equal(t, b.UsageRatio("a"), 2.0)
	assert.Assert(t, b.OverGuarantee("a") && b.OverGuarantee("none") && b.UsageRatio("none") > b.UsageRatio("a"))
	b.Release("a", model.Resources{MemoryMB: 10})
	assert.Assert(t, !b.OverGuarantee("a"))
}
