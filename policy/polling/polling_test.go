package polling

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A burst on three hundred workers: their owner must not be asked more than it can
// take in, nor may the steps of a small cell wait for it.
func TestPollsAreBoundedOverACell(t *testing.T) {
	for _, workers := range []int{1, 12, 48, 100, 280} {
		rate := float64(workers) / MinInterval(workers).Seconds()
		assert.Assert(t, rate <= 3000, "%d workers: %.0f polls a second", workers, rate)
	}
	assert.Equal(t, MinInterval(48), leastPause)
	assert.Equal(t, MinInterval(5000), mostPause)
}

// What is in doubt is settled by the list alone.
func TestTheListIsLeftOutOnlyWhileItIsFreshAndSettlesNothing(t *testing.T) {
	assert.Assert(t, Brief(fullEvery-time.Millisecond, false))
	assert.Assert(t, !Brief(fullEvery, false))
	assert.Assert(t, !Brief(0, true))
}

// The platform refuses lists beyond its rate: a large fleet is listed less often, a
// small one at every pass of its owner.
func TestListsKeepToTheirShareOfThePlatformsRate(t *testing.T) {
	const reads = 64.0
	for _, vms := range []int{1, 48, 200, 201, 349, 3000} {
		pages := float64((vms + listPage - 1) / listPage)
		rate := pages / MinListInterval(vms, reads).Seconds()
		assert.Assert(t, rate <= reads*listShare+0.01, "%d VMs: %.1f reads a second", vms, rate)
	}
	assert.Assert(t, MinListInterval(48, reads) < 80*time.Millisecond)
	assert.Equal(t, MinListInterval(48, 0), time.Duration(0))
}
