// Package overload measures the scheduling delay of a process, decides which load it then sheds,
// and decides when it hands its duty (a cell or the fleet) over.
//
// Load pattern: the owner of a large service places a thousand tasks a second in a burst, and
// its VM loses most of its processor for some seconds. Goroutines that are ready to run wait for
// the processor longer than the timeouts of the owner's calls. Answers that have arrived count as
// missing, so workers are taken for silent, their leases are not extended and their work ends;
// work that they did is repeated, and uncertain outcomes are asked for again. More work than the
// processor can do creates further work, and the service stays down after the processor is back.
//
// An owner therefore measures its scheduling delay: how long it takes until something that is
// ready runs. It extends the timeouts of its calls accordingly and takes no worker for silent
// meanwhile; it sheds load, with fewer polls and fewer unanswered starts, until the delay is
// small; and if the delay lasts while another VM is free, it hands the duty over.
package overload

import "time"

const (
	// ProbeInterval is the time between two probes. A queue of a tenth of a second is seen by
	// four of them.
	ProbeInterval = 25 * time.Millisecond
	// maxDelayWindow is how long a probe counts for timeouts: calls take up to a second.
	maxDelayWindow = 1 * time.Second
	// minDelayWindow is the time over which the minimum delay is taken. Pauses of the garbage
	// collector are shorter, and so is what remains of a tenth of a second in which the VM has
	// used up its processor share.
	minDelayWindow = 150 * time.Millisecond
	// probeCount is how many probes are kept: all of maxDelayWindow.
	probeCount = int(maxDelayWindow/ProbeInterval) + 1
)

// probe is the delay of something that was ready to run.
type probe struct {
	at   time.Duration // when it ran
	wait time.Duration
}

// Meter holds the recent scheduling delays of the process. The zero value has measured nothing.
// It is not safe for concurrent use.
type Meter struct {
	probes  [probeCount]probe
	next    int           // index in probes of the next one to record
	begunAt time.Duration // when the pending probe was made; 0: none is pending
}

// Begin records that a probe was made.
func (m *Meter) Begin(now time.Duration) {
	m.begunAt = now
}

// End records that the pending probe has run.
func (m *Meter) End(now time.Duration) {
	m.probes[m.next] = probe{at: now, wait: now - m.begunAt}
	m.next = (m.next + 1) % probeCount
	m.begunAt = 0
}

// MaxDelay returns the longest scheduling delay of the last second: an answer that has arrived
// may have waited as long to be read.
func (m *Meter) MaxDelay(now time.Duration) time.Duration {
	longest := m.pendingDelay(now)
	for _, p := range m.probes {
		if p.at != 0 && p.at > now-maxDelayWindow {
			longest = max(longest, p.wait)
		}
	}
	return longest
}

// MinDelay returns the shortest scheduling delay of the last 150 ms. It is large only where the
// queue of what is ready to run does not empty.
func (m *Meter) MinDelay(now time.Duration) time.Duration {
	shortest := m.pendingDelay(now)
	found := false
	for _, p := range m.probes {
		if p.at != 0 && p.at > now-minDelayWindow && (!found || p.wait < shortest) {
			shortest, found = p.wait, true
		}
	}
	return shortest
}

// pendingDelay returns how long the pending probe has waited so far; 0 if none is pending.
func (m *Meter) pendingDelay(now time.Duration) time.Duration {
	if m.begunAt == 0 {
		return 0
	}
	return now - m.begunAt
}
