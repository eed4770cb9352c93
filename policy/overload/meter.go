// Package overload tells how far a process is behind its own work, which load it then
// sheds, and when it hands its duty over.
//
// Load pattern: the owner of a large service places a thousand tasks a second in a burst,
// and its VM loses most of its processor for some seconds. What is ready to run waits for
// the processor longer than the time-outs of its calls. Answers that have arrived count as
// missing, so that workers pass for silent, their leases are not extended and their work
// ends; what it did is done again, what is in doubt is asked again. More work than the
// processor bears makes work that keeps it so, and the service stays down after the
// processor is back.
//
// An owner therefore measures how long what is ready waits, the scheduling delay of its
// process. It gives its calls that much more time and takes no worker for silent meanwhile;
// it sheds load, with fewer polls and fewer starts under way, until the delay is small; and
// if that lasts while another VM is free, it hands the duty over.
package overload

import "time"

const (
	// ProbeInterval separates two probes. A queue of a tenth of a second is seen by four of them.
	ProbeInterval = 25 * time.Millisecond
	// recent is how long a probe counts for time-outs: calls last a second.
	recent = 1 * time.Second
	// standing is over how long the least wait counts: pauses of the collector, and what
	// is left of a tenth of a second in which the VM has used its share, are over sooner.
	standing = 150 * time.Millisecond
	// kept is how many probes are remembered: all recent ones.
	kept = int(recent/ProbeInterval) + 1
)

// probe is how long something that was ready waited to run.
type probe struct {
	at   time.Duration // when it ran
	wait time.Duration
}

// Meter holds how long what was ready to run waited of late. The zero value has measured
// nothing. It is not safe for concurrent use.
type Meter struct {
	probes [kept]probe
	next   int
	asked  time.Duration // when the probe under way was made; 0: none
}

// Begin notes that a probe was made.
func (m *Meter) Begin(now time.Duration) {
	m.asked = now
}

// End notes that the probe has run.
func (m *Meter) End(now time.Duration) {
	m.probes[m.next] = probe{at: now, wait: now - m.asked}
	m.next = (m.next + 1) % kept
	m.asked = 0
}

// MaxDelay is the longest that anything waited in the last second: as long may an answer
// that has arrived have waited to be read.
func (m *Meter) MaxDelay(now time.Duration) time.Duration {
	longest := m.underWay(now)
	for _, p := range m.probes {
		if p.at != 0 && p.at > now-recent {
			longest = max(longest, p.wait)
		}
	}
	return longest
}

// MinDelay is the least that anything waited of late: a queue that does not empty.
func (m *Meter) MinDelay(now time.Duration) time.Duration {
	least := m.underWay(now)
	found := false
	for _, p := range m.probes {
		if p.at != 0 && p.at > now-standing && (!found || p.wait < least) {
			least, found = p.wait, true
		}
	}
	return least
}

// underWay is how long the probe under way has waited so far.
func (m *Meter) underWay(now time.Duration) time.Duration {
	if m.asked == 0 {
		return 0
	}
	return now - m.asked
}
