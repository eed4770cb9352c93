package overload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A simulated link between an owner and its workers, which sends one request at a time.
const (
	linkRoundTrip  = 5 * time.Millisecond
	linkTimeout    = 300 * time.Millisecond
	linkStartBytes = 900
	linkStep       = 1 * time.Millisecond
)

// linkResult is what became of the starts of a simulated burst.
type linkResult struct {
	answered, timedOut int
	longest            time.Duration // longest time to an answer
}

// simulateBurst sends as many starts as may be unanswered over a link of so many bytes a second,
// for that long. Starts that time out are repeated, as an owner does. open returns how many may be
// unanswered.
func simulateBurst(bytesPerSecond float64, lasts time.Duration, open func() int, w *StartWindow) linkResult {
	type call struct{ sent, answer time.Duration }
	var result linkResult
	var calls []call
	var linkFreeAt time.Duration
	perStart := time.Duration(linkStartBytes / bytesPerSecond * float64(time.Second))
	for now := time.Second; now < time.Second+lasts; now += linkStep {
		var unanswered []call
		for _, c := range calls {
			switch {
			case now >= c.answer:
				result.answered++
				result.longest = max(result.longest, c.answer-c.sent)
				w.Answered(c.answer-c.sent, true, now)
			case now >= c.sent+linkTimeout:
				result.timedOut++
				w.Unanswered(linkTimeout, now)
			default:
				unanswered = append(unanswered, c)
			}
		}
		calls = unanswered
		for len(calls) < open() {
			linkFreeAt = max(linkFreeAt, now) + perStart
			calls = append(calls, call{sent: now, answer: linkFreeAt + linkRoundTrip})
		}
	}
	return result
}

// Guards against a burst of starts that fills the link of a small VM: every call times out and is
// repeated, which keeps the link full, and workers that answer are taken for silent.
func TestBurstDoesNotFillASmallLink(t *testing.T) {
	const smallLink = 2e6 / 8
	const lasts = 10 * time.Second
	carried := smallLink / linkStartBytes * lasts.Seconds()

	var unused StartWindow
	unlimited := simulateBurst(smallLink, lasts, func() int { return MaxStarts }, &unused)
	assert.Assert(t, float64(unlimited.answered) < carried/4, "the simulated link collapses without a window")

	var w StartWindow
	limited := simulateBurst(smallLink, lasts, w.Size, &w)
	assert.Equal(t, limited.timedOut, 0)
	assert.Assert(t, float64(limited.answered) > 0.95*carried, "%d of %.0f", limited.answered, carried)
	assert.Assert(t, limited.longest < linkTimeout/2, limited.longest)
}

// A link that becomes slower in use, as when another process takes a part of it, must not collapse
// either.
func TestWindowFollowsALinkThatBecomesSlower(t *testing.T) {
	var w StartWindow
	simulateBurst(20e6/8, time.Second, w.Size, &w)
	simulateBurst(1e6/8, 2*time.Second, w.Size, &w)
	settled := simulateBurst(1e6/8, 5*time.Second, w.Size, &w)
	assert.Equal(t, settled.timedOut, 0)
}

// On a large link the window must not cost starts: a burst has all of MaxStarts under way within a
// few round trips.
func TestWindowOpensOnALargeLink(t *testing.T) {
	var w StartWindow
	simulateBurst(1000e6/8, 10*linkRoundTrip, w.Size, &w)
	assert.Equal(t, w.Size(), MaxStarts)
}

// Workers that are down or slow by themselves say nothing of the link: others answer fast, or
// nothing was slow before.
func TestSilentOrSlowWorkersDoNotCloseTheWindow(t *testing.T) {
	now := time.Minute
	var w StartWindow
	for range 50 {
		now += 10 * time.Millisecond
		w.Answered(linkRoundTrip, false, now)
		w.Answered(linkTimeout-1, false, now)
	}
	assert.Equal(t, w.Size(), initialWindow, "some workers are slow")
	now += time.Minute
	for range 50 {
		now += 10 * time.Millisecond
		w.Unanswered(linkTimeout, now)
	}
	assert.Equal(t, w.Size(), initialWindow, "all workers are silent")
}

// The window does not grow while it does not limit the starts: what the link bears is not known
// then, and the next burst would fill it.
func TestWindowDoesNotGrowUnused(t *testing.T) {
	var w StartWindow
	for i := range 1000 {
		w.Answered(linkRoundTrip, false, time.Duration(i)*time.Millisecond)
	}
	assert.Equal(t, w.Size(), initialWindow)
	assert.Equal(t, w.Left(initialWindow-1), 1)
	assert.Equal(t, w.Left(2*initialWindow), 0)
}
