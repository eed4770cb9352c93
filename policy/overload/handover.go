package overload

import "time"

const (
	// strained is the level from which an owner can't do its work.
	strained = 3.0
	// strainedFor is how long it must last. A handover takes a third of a second and
	// makes the successor look at every worker; a burst's first moment is shorter.
	strainedFor = 1 * time.Second
	// keepFor is how long an owner keeps a duty before it hands it on: two slow VMs would
	// pass it to and fro, and nobody do the work.
	keepFor = 8 * time.Second
	// keepSmall is the same where a larger VM is free: it took the duty as no other was
	// there, and has had time to restore what was stored.
	keepSmall = 3 * time.Second
	// restEvery is how often an owner at rest looks for a larger VM, and how long it has kept
	// the duty by then: as a fleet starts, larger VMs may come moments later.
	restEvery = 2 * time.Second
)

// Successor is what is known of the VMs that could take a duty over.
type Successor uint8

// The kinds of Successor.
const (
	NoSuccessor     Successor = iota
	EqualSuccessor            // carries as much, and has no duty
	LargerSuccessor           // carries more, and has no duty
)

// Handover says when an owner that stays behind hands its duty over. The zero value is an
// owner that is not behind.
type Handover struct {
	since  time.Duration // strained since then
	is     bool
	looked time.Duration // for a larger VM, at rest
}

// DueWhenIdle reports whether an owner with nothing to do is to hand its duty to a VM that carries
// more: a small one that was the first to start has a large service until it breaks under it.
func (r *Handover) DueWhenIdle(next func() Successor, held, now time.Duration) bool {
	if held < restEvery || now < r.looked+restEvery {
		return false
	}
	r.looked = now
	return next() == LargerSuccessor
}

// Due reports whether the duty is to be handed over. next is asked only where it matters;
// held is how long this VM has had the duty.
func (r *Handover) Due(level float64, next func() Successor, held, now time.Duration) bool {
	if level < strained {
		r.is = false
		return false
	}
	if !r.is {
		r.is, r.since = true, now
	}
	if now < r.since+strainedFor {
		return false
	}
	switch next() {
	case LargerSuccessor:
		return held >= keepSmall
	case EqualSuccessor:
		return held >= keepFor
	}
	return false
}
