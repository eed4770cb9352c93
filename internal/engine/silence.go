package engine

import "time"

const (
	// silentAfter is how long a worker's answer must be overdue before the worker is reported as
	// silent. A poll is given up pollTimeout after its answer was due, and repeated at once; the
	// repeated poll is answered within pollWaitMin and a few milliseconds more. The rest of the
	// time is for slow answers. One answer in twenty may be lost: with a shorter time, a single
	// lost one would pass for silence.
	silentAfter = 400 * time.Millisecond
	// maxRunGap is the longest time between two plans of an owner that runs. Plans are at most
	// planInterval and the duration of a plan apart. After a longer gap this process was frozen
	// or throttled, which its scheduling delay does not always show: all polls in progress then
	// time out together, although their answers may have arrived.
	maxRunGap = 300 * time.Millisecond
)

// ObserveRunning records that this owner's process runs. A gap since the last call makes all
// silence before now worthless as evidence.
func (c *Core) ObserveRunning(now time.Duration) {
	if c.ranAt != 0 && now > c.ranAt+maxRunGap {
		c.silenceCountsFrom = now
	}
	c.ranAt = now
}

// reportsSilent reports whether the worker's answer has been overdue for silentAfter while this
// owner was running. An answer to a start is as good as one to a poll. A worker that is empty and
// has answered is not polled, and so never silent.
func (c *Core) reportsSilent(w *worker, now time.Duration) bool {
	if w.missedPolls == 0 || w.clockAt > w.missedSince || c.ranAt != 0 && now > c.ranAt+maxRunGap {
		return false
	}
	return now >= max(w.missedSince, c.silenceCountsFrom)+silentAfter-pollTimeout
}
