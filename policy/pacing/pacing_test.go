package pacing

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestThePaceFollowsTheWorstTail(t *testing.T) {
	for _, c := range []struct {
		name  string
		now   int
		ratio float64
		want  int
	}{
		{"no serving task", 40, 0, 55},
		{"well below the target", 90, 0.5, 100},
		{"near the target: no change", 40, 0.7, 40},
		{"about to exceed the target", 80, 0.9, 40},
		{"half of the pace is below the minimum", 8, 0.9, 0},
		{"far over the target", 100, 1.3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, Next(c.now, Load{WorstTailRatio: c.ratio}), c.want)
		})
	}
}

// A best-effort task that takes all it can makes the users of a serving task on the
// same worker wait. The tail latency rises with the pace; it must be back under its
// target within a few steps and stay there, and the best-effort task must not be
// stopped for good.
func TestAServingTaskIsBackUnderItsTargetAndTheBestEffortTaskGoesOn(t *testing.T) {
	pace, over, paceSum := 100, 0, 0
	for step := range 60 {
		ratio := 0.4 + 1.2*float64(pace)/100
		if ratio > 1 && step > 3 {
			over++
		}
		pace = Next(pace, Load{WorstTailRatio: ratio})
		paceSum += pace
	}
	assert.Assert(t, over <= 6, "over target in %d of 60 steps", over)
	assert.Assert(t, paceSum/60 >= 10, "mean pace %d", paceSum/60)
}
