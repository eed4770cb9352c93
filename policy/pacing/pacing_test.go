package pacing

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestThePaceFollowsTheWorstTail(t *testing.T) {
	for _, c := range []struct {
		name  string
		now   int
		worst float64
		want  int
	}{
		{"nothing serves here", 40, 0, 55},
		{"room to spare", 90, 0.5, 100},
		{"near the target: no change", 40, 0.7, 40},
		{"about to pass it", 80, 0.9, 40},
		{"the last bit does nothing but harm", 8, 0.9, 0},
		{"far over it", 100, 1.3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, Next(c.now, Load{WorstTailRatio: c.worst}), c.want)
		})
	}
}

// A serving task's users wait while a fill task beside it takes what it can. The
// tail rises with the pace; it must be back under its target within a few looks
// and stay there, and the fill task must not be stopped for good.
func TestAServingTaskIsBackUnderItsTargetAndTheFillTaskGoesOn(t *testing.T) {
	pace, over, worked := 100, 0, 0
	for look := range 60 {
		tail := 0.4 + 1.2*float64(pace)/100
		if tail > 1 && look > 3 {
			over++
		}
		pace = Next(pace, Load{WorstTailRatio: tail})
		worked += pace
	}
	assert.Assert(t, over <= 6, "over target in %d of 60 looks", over)
	assert.Assert(t, worked/60 >= 10, "mean pace %d", worked/60)
}
