package overload

import "time"

const (
	// overloadedLevel is the overload level from which an owner can't do its work.
	overloadedLevel = 3.0
	// overloadedFor is how long that level must last before a hand-over. A hand-over takes a
	// third of a second and makes the successor poll every worker; the first moment of a burst
	// is shorter.
	overloadedFor = 1 * time.Second
	// minHeld is how long an owner keeps a duty before it hands it over: otherwise two slow VMs
	// would hand it to each other repeatedly and neither would do the work.
	minHeld = 8 * time.Second
	// minHeldForLarger is the same where a larger VM is free: the owner took the duty when there
	// was no other VM, and has had time to restore what was stored.
	minHeldForLarger = 3 * time.Second
	// idleCheckInterval is how often an idle owner checks for a larger VM, and how long it must
	// have held the duty by then: while a fleet starts, larger VMs may come moments later.
	idleCheckInterval = 2 * time.Second
)

// Successor tells which VM, at best, could take a duty over.
type Successor uint8

// The kinds of Successor.
const (
	NoSuccessor     Successor = iota
	EqualSuccessor            // has the same capacity, and no duty
	LargerSuccessor           // has more capacity, and no duty
)

// Handover decides when an owner that stays overloaded hands its duty over. The zero value is
// that of an owner that is not overloaded.
type Handover struct {
	overloadedSince time.Duration
	overloaded      bool
	checkedAt       time.Duration // when an idle owner last checked for a larger VM
}

// DueWhenIdle reports whether an owner with nothing to do is to hand its duty to a VM with more
// capacity. Otherwise a small VM that was the first to start owns a large service until it fails
// under the load. held is how long this VM has had the duty.
func (h *Handover) DueWhenIdle(next func() Successor, held, now time.Duration) bool {
	if held < idleCheckInterval || now < h.checkedAt+idleCheckInterval {
		return false
	}
	h.checkedAt = now
	return next() == LargerSuccessor
}

// Due reports whether an owner at this overload level is to hand its duty over. next is called
// only if the answer depends on it; held is how long this VM has had the duty.
func (h *Handover) Due(level float64, next func() Successor, held, now time.Duration) bool {
	if level < overloadedLevel {
		h.overloaded = false
		return false
	}
	if !h.overloaded {
		h.overloaded, h.overloadedSince = true, now
	}
	if now < h.overloadedSince+overloadedFor {
		return false
	}
	switch next() {
	case LargerSuccessor:
		return held >= minHeldForLarger
	case EqualSuccessor:
		return held >= minHeld
	}
	return false
}
