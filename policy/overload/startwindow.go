package overload

import "time"

const (
	// initialWindow is how many starts may be unanswered before anything is known of the path to
	// the workers. The requests of so many fit into the queue of a link of 2 Mbit/s without
	// delaying other calls past their timeouts.
	initialWindow = 24
	// responseWindow is the time over which the fastest answer is taken. A worker that is slow by
	// itself, or the loss of an answer, delays single calls; a full link delays every one.
	responseWindow = 150 * time.Millisecond
	// minResponses is how many calls must have ended in responseWindow to tell a full link from
	// slow workers.
	minResponses = 4
	// slowPeriod is how long answers count as slow after the last slow one. While they do, calls
	// without an answer count as slow, too: in a full link no answer comes in time.
	slowPeriod = 1 * time.Second
	// windowDecrease is the factor by which the window shrinks at most once in adjustInterval.
	windowDecrease = 0.7
	// responseCount is how many responses are kept.
	responseCount = 64
)

// response is how a call to a worker ended.
type response struct {
	at   time.Duration
	took time.Duration
}

// StartWindow bounds the starts that an owner has under way by what its link carries, in the manner
// of a congestion window. Each start carries its job's specification. Without the bound a burst of
// them fills the link of a small VM for longer than the timeouts of calls: all calls are repeated,
// the link stays full, and workers that answer are taken for silent.
//
// The window grows by each fast answer while it limits the starts, and shrinks while even the
// fastest of the recent answers took longer than usual. The zero value is ready to use; it is not
// safe for concurrent use.
type StartWindow struct {
	size       int           // the window; 0: initialWindow
	fastest    time.Duration // the fastest answer so far; 0: none
	slowAt     time.Duration // when the last slow answer came
	slow       bool          // slowAt is set
	adjustedAt time.Duration // when the window shrank last
	responses  [responseCount]response
	next       int // index in responses of the next one to record
}

// Size returns how many starts may be unanswered.
func (w *StartWindow) Size() int {
	if w.size == 0 {
		return initialWindow
	}
	return w.size
}

// Narrow reports whether slow answers have shrunk the window.
func (w *StartWindow) Narrow() bool { return w.Size() < initialWindow }

// Left returns how many more starts may be sent while underWay of them are unanswered.
func (w *StartWindow) Left(underWay int) int { return max(0, w.Size()-underWay) }

// Answered records an answer to a call that took that long. limited reports whether starts wait
// because of the window.
func (w *StartWindow) Answered(took time.Duration, limited bool, now time.Duration) {
	if w.fastest == 0 || took < w.fastest {
		w.fastest = max(1, took)
	}
	w.record(took, now)
	delay := took - w.fastest
	switch {
	case delay < lowDelay && limited:
		w.resize(w.Size() + 1)
	case delay > highDelay:
		w.slow, w.slowAt = true, now
	}
	w.shrinkIfSlow(now)
}

// Unanswered records a call that was given up after that long. It does not count unless answers
// were slow of late: workers that are down don't answer either.
func (w *StartWindow) Unanswered(took, now time.Duration) {
	if !w.slow || now > w.slowAt+slowPeriod {
		return
	}
	w.slowAt = now
	w.record(took, now)
	w.shrinkIfSlow(now)
}

func (w *StartWindow) record(took, now time.Duration) {
	w.responses[w.next] = response{at: now, took: took}
	w.next = (w.next + 1) % responseCount
}

// shrinkIfSlow shrinks the window if all recent responses were slow.
func (w *StartWindow) shrinkIfSlow(now time.Duration) {
	if w.standingDelay(now) <= highDelay || now < w.adjustedAt+adjustInterval {
		return
	}
	w.adjustedAt = now
	w.resize(int(float64(w.Size()) * windowDecrease))
}

// standingDelay returns by how much the fastest recent response took longer than the fastest of
// all; 0 if there are too few to tell.
func (w *StartWindow) standingDelay(now time.Duration) time.Duration {
	n, shortest := 0, time.Duration(0)
	for _, r := range w.responses {
		if r.took == 0 || r.at <= now-responseWindow {
			continue
		}
		n++
		if n == 1 || r.took < shortest {
			shortest = r.took
		}
	}
	if n < minResponses {
		return 0
	}
	return shortest - w.fastest
}

func (w *StartWindow) resize(to int) {
	w.size = min(MaxStarts, max(minStarts, to))
}
