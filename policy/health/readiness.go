package health

import "time"

const (
	// refusalBackoffBase is how long a target gets no new requests after it
	// refused one or couldn't be connected to, unless a health probe succeeds
	// before. The time doubles with each consecutive refusal, up to
	// refusalBackoffMax. Unlike for ejections the service's budget sets no bound
	// to it, since requests sent to such a target wouldn't be processed anyway.
	refusalBackoffBase = time.Second
	refusalBackoffMax  = 8 * time.Second
	// ProbeFailureThreshold is the number of consecutive unanswered probes after
	// which a target is unreachable. A single one may be due to a lost packet.
	ProbeFailureThreshold = 3
)

// ProbeResult is the result of a health probe.
type ProbeResult int8

// The results of a health probe.
const (
	ProbeOK       ProbeResult = iota + 1
	ProbeLeaving              // the target reports that it is shutting down
	ProbeNoAnswer             // no answer in time, or an invalid one
)

// Readiness tracks whether a target takes new requests by its own report: its
// answers to health probes, and its refusals of requests. The zero value is a
// target that takes requests.
type Readiness struct {
	leaving             bool // the last answered probe returned ProbeLeaving
	unansweredProbes    int  // consecutive probes without answer
	consecutiveRefusals int  // refused requests since the last accepted one
	backoffUntil        time.Time
}

// RecordProbe records the result of a health probe. It reports whether the
// target was unready before and takes requests again.
func (r *Readiness) RecordProbe(result ProbeResult, now time.Time) (becameReady bool) {
	wasUnready := r.Unready(now)
	switch result {
	case ProbeOK:
		r.leaving, r.unansweredProbes = false, 0
		r.backoffUntil = time.Time{}
	case ProbeLeaving:
		r.leaving, r.unansweredProbes = true, 0
	default:
		r.unansweredProbes++
	}
	return wasUnready && !r.Unready(now)
}

// RecordRefusal records a refused request. RetryAfter is the time after which the
// target asked for a retry, or 0 if it gave none. The target gets no new requests
// until the backoff ends or a probe shows that it was only at capacity and isn't
// leaving.
func (r *Readiness) RecordRefusal(retryAfter time.Duration, now time.Time) {
	backoff := min(max(retryAfter, refusalBackoffBase<<min(r.consecutiveRefusals, 10)), refusalBackoffMax)
	r.consecutiveRefusals++
	r.backoffUntil = now.Add(backoff)
}

// RecordAccepted records that the target accepted a request.
func (r *Readiness) RecordAccepted() { r.consecutiveRefusals = 0 }

// ReportsLeaving reports whether the target itself said that it is leaving. Entry
// VMs pass this on to their peers.
func (r *Readiness) ReportsLeaving() bool { return r.leaving }

// Unreachable reports whether the target left its last ProbeFailureThreshold
// probes unanswered. The cause may be the prober's own network links, which would
// make many targets unreachable at once: whoever acts on it must check MayEject
// first.
func (r *Readiness) Unreachable() bool { return r.unansweredProbes >= ProbeFailureThreshold }

// Unready reports whether the target gets no new requests because it reports
// that it is leaving, or because it refused a request recently.
func (r *Readiness) Unready(now time.Time) bool { return r.leaving || now.Before(r.backoffUntil) }
