package polling

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// In a burst on three hundred workers their owner must not be given more answers
// than it can process, and in a small cell steps must not wait for that bound.
func TestPollsAreBoundedOverACell(t *testing.T) {
	for _, workers := range []int{1, 12, 48, 100, 280} {
		rate := float64(workers) / MinInterval(workers).Seconds()
		assert.Assert(t, rate <= 3000, "%d workers: %.0f polls a second", workers, rate)
	}
	assert.Equal(t, MinInterval(48), minPause)
	assert.Equal(t, MinInterval(5000), maxPause)
}

// An unanswered order or a stop under way is settled by the list of what runs alone,
// so a poll must not leave the list out meanwhile.
func TestTheListIsLeftOutOnlyWhileItIsFreshAndSettlesNothing(t *testing.T) {
	assert.Assert(t, Brief(maxListAge-time.Millisecond, false))
	assert.Assert(t, !Brief(maxListAge, false))
	assert.Assert(t, !Brief(0, true))
}

// The platform refuses reads beyond its rate. A large fleet is therefore listed less
// often, and a small one at every pass of its owner.
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
