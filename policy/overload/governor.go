package overload

import "time"

const (
	// highDelay is the threshold above which load is shed. It is compared with Meter.MinDelay,
	// the shortest scheduling delay of the last 150 ms. A call waits for the processor about
	// three times, to be sent, read and processed, so a short task loses an eighth of a second at
	// this delay.
	highDelay = 40 * time.Millisecond
	// lowDelay is the threshold for Meter.MinDelay below which load is restored. Between the two
	// thresholds the overload level stays, so that it does not oscillate.
	lowDelay = highDelay / 2
	// adjustInterval is the time between two changes of the overload level. The effect of a
	// change shows only after what was queued before it has run.
	adjustInterval = 100 * time.Millisecond
	// increaseFactor and decreaseFactor are the factors by which the overload level changes.
	// Shedding down to a quarter of the load takes 0.4 s, restoring it 0.7 s: the load that was
	// too much a moment ago is restored carefully.
	increaseFactor = 1.5
	decreaseFactor = 0.8
	// maxLevel bounds the overload level. It leaves each worker two polls a second, and a few
	// starts under way at a time.
	maxLevel = 16.0
	// maxPollInterval bounds the time between two polls of a worker. A worker's lease of several
	// seconds is then still extended in time, even after the time that an answer may take.
	maxPollInterval = 500 * time.Millisecond
	// MaxStarts is how many starts may be unanswered at overload level 1. Each takes half a millisecond
	// of processor time, which makes a queue of a tenth of a second; where answers come within
	// milliseconds, ten thousand starts a second are possible.
	MaxStarts = 200
	// minStarts is how many starts may be unanswered at any overload level, so that work goes on.
	minStarts = 8
)

// Governor sheds the load of an overloaded owner: it tells which part of the usual polls and
// starts remains, by multiplicative decrease and increase. The zero value sheds nothing.
type Governor struct {
	level      float64       // the overload level, see Level; 1 or less: nothing is shed
	adjustedAt time.Duration // when Adjust last took a delay into account
}

// Adjust raises or lowers the overload level according to minDelay, the result of Meter.MinDelay.
// now is the time since a fixed origin, the same in all calls. Adjust may be called at any rate and
// changes the level at most once in adjustInterval.
func (g *Governor) Adjust(minDelay, now time.Duration) {
	if now < g.adjustedAt+adjustInterval {
		return
	}
	g.adjustedAt = now
	switch {
	case minDelay > highDelay:
		g.level = min(maxLevel, max(1, g.level)*increaseFactor)
	case minDelay < lowDelay:
		g.level = max(1, g.level*decreaseFactor)
	}
}

// Level returns the overload level: the factor by which polls and starts are reduced. 1 means
// that nothing is shed.
func (g *Governor) Level() float64 { return max(1, g.level) }

// PollPause returns the pause between two polls of a worker in place of the usual one. Ends of
// tasks that accumulate meanwhile come with one answer.
func (g *Governor) PollPause(usual time.Duration) time.Duration {
	return max(usual, min(maxPollInterval, time.Duration(float64(usual)*g.Level())))
}

// StartsLeft returns how many more starts may be sent while underWay of them are unanswered. The
// others keep waiting in their planned order, which an unbounded queue of starts would not keep:
// two thousand starts in one plan delayed everything else by a second.
func (g *Governor) StartsLeft(underWay int) int {
	return max(0, max(minStarts, int(MaxStarts/g.Level()))-underWay)
}
