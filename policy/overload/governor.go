package overload

import "time"

const (
	// most is the standing wait above which less is done. A call passes the queue some
	// three times, to be sent, read and taken in: a short task loses an eighth of a second.
	most = 40 * time.Millisecond
	// little is the standing wait below which more is done again.
	little = most / 2
	// adjustEvery is how often the level changes: a change shows after the queue of
	// before has run.
	adjustEvery = 100 * time.Millisecond
	// harder and easier are the factors of a change. Down to a quarter takes 0.4 s, back
	// up 0.7 s: what was too much a moment ago is tried again carefully.
	harder = 1.5
	easier = 0.8
	// mostLevel leaves two polls of a worker a second and a few starts at a time.
	mostLevel = 16.0
	// pollsApart bounds the pause between polls: with what an answer may take, a worker's
	// lease of several seconds is extended in time.
	pollsApart = 500 * time.Millisecond
	// MaxStarts is how many starts may be without an answer at the first level: half
	// a millisecond of processor each makes a queue of a tenth of a second, and answers
	// that come within milliseconds let ten thousand a second pass.
	MaxStarts = 200
	// leastStarts keeps work going at any level.
	leastStarts = 8
)

// Governor sheds an owner's load while it is behind: it says how much of the usual polls and
// starts is left, by multiplicative decrease and increase. The zero value sheds nothing.
type Governor struct {
	level float64 // 1 and less: nothing is left out
	at    time.Duration
}

// Adjust follows the standing wait; it may be called at any pace.
func (g *Governor) Adjust(standing, now time.Duration) {
	if now < g.at+adjustEvery {
		return
	}
	g.at = now
	switch {
	case standing > most:
		g.level = min(mostLevel, max(1, g.level)*harder)
	case standing < little:
		g.level = max(1, g.level*easier)
	}
}

// Level is by how much less is done: 1 is nothing less.
func (g *Governor) Level() float64 { return max(1, g.level) }

// Pause returns the pause between polls in place of the usual one. Ends that gather
// meanwhile come with one answer.
func (g *Governor) Pause(usual time.Duration) time.Duration {
	return max(usual, min(pollsApart, time.Duration(float64(usual)*g.Level())))
}

// Starts returns how many more starts may be given while so many are without an answer.
// The rest waits in its order, which an unbounded queue of starts would not keep: two
// thousand in one plan held everything else up for a second.
func (g *Governor) Starts(underWay int) int {
	return max(0, max(leastStarts, int(MaxStarts/g.Level()))-underWay)
}
