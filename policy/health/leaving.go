package health

import "time"

const (
	// refusedBase is how long a target that refused a request, or that could
	// not be connected to, gets no more, unless its health answer says before
	// that it works. It doubles with each refusal in a row, up to refusedMax.
	// There is no budget to it as for ejections: what is sent there all the
	// same is certain not to run.
	refusedBase = time.Second
	refusedMax  = 8 * time.Second
	// ProbeFailureThreshold in a row make a target unreachable. One is a lost packet.
	ProbeFailureThreshold = 3
)

// ProbeResult is what a health probe brought.
type ProbeResult int8

// The answers.
const (
	ProbeOK ProbeResult = iota + 1
	ProbeLeaving
	ProbeNoAnswer // no answer in time, or none that is understood
)

// Readiness holds what a target itself has told of its leaving: by its health
// answer, or by refusing a request. The zero value is a target that works.
type Readiness struct {
	says         bool // its last health answer said so
	unreachable  int  // probes without answer in a row
	refusals     int  // in a row
	refusedUntil time.Time
}

// RecordProbe takes in a health answer. It reports whether the target came back
// with it.
func (l *Readiness) RecordProbe(a ProbeResult, now time.Time) (back bool) {
	before := l.Unready(now)
	switch a {
	case ProbeOK:
		l.says, l.unreachable = false, 0
		l.refusedUntil = time.Time{}
	case ProbeLeaving:
		l.says, l.unreachable = true, 0
	default:
		l.unreachable++
	}
	return before && !l.Unready(now)
}

// RecordRefusal takes in a refusal with the time after which the target asked to be
// asked again, 0 if it did not. Whether it leaves or was only full, its health
// answer tells; until then it gets nothing.
func (l *Readiness) RecordRefusal(retryAfter time.Duration, now time.Time) {
	span := min(max(retryAfter, refusedBase<<min(l.refusals, 10)), refusedMax)
	l.refusals++
	l.refusedUntil = now.Add(span)
}

// RecordAccepted takes in that the target started a request.
func (l *Readiness) RecordAccepted() { l.refusals = 0 }

// ReportsLeaving reports what is told to peers: the target said that it leaves.
func (l *Readiness) ReportsLeaving() bool { return l.says }

// Unreachable reports whether the target has not answered its latest probes.
// That may be for the prober's own links, so that it is for the caller to ask
// MayLeave before it acts on it.
func (l *Readiness) Unreachable() bool { return l.unreachable >= ProbeFailureThreshold }

// Unready reports whether the target gets no new work by its own word.
func (l *Readiness) Unready(now time.Time) bool { return l.says || now.Before(l.refusedUntil) }
