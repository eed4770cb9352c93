package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/pumicestage/pumicestage/policy/health"
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/routing"
)

// target is the state of a VM that runs requests, as known to this entry VM.
type target struct {
	id        model.VMID
	zone      model.ZoneName
	address   string
	slots     int
	share     int         // slots that belong to this entry VM
	limit     int         // slots that this entry VM may use now: share, less lent, plus borrowed
	serving   bool        // in its pool, by the latest Fleet
	prober    bool        // this entry VM probes its health
	shareFrom shareInputs // inputs that share and prober were computed from

	inFlight    int // requests of this entry VM at the target now
	latency     routing.LatencyEstimate
	health      health.Target
	leaving     health.Readiness
	unreachable bool // probes get no response, and the availability budget allows its removal

	probedAt  time.Time
	penalties []time.Time // when slots blocked after failures are usable again
}

// OutcomeKind classifies how an attempt to run a request at a target ended.
type OutcomeKind int8

// Kinds of outcome.
const (
	Answered  OutcomeKind = iota + 1 // a complete response was received
	Errored                          // a complete response with a server error (5xx) was received
	Refused                          // the target refused the request without running it
	NotSent                          // no connection; nothing was sent
	Failed                           // the response was cut off, unreadable or too late
	Abandoned                        // the caller disconnected; says nothing about the target
)

// String returns the kind as named in metrics.
func (e OutcomeKind) String() string {
	switch e {
	case Answered:
		return "answered"
	case Errored:
		return "errored"
	case Refused:
		return "refused"
	case NotSent:
		return "not-sent"
	case Failed:
		return "failed"
	}
	return "abandoned"
}

// Outcome is the result of one attempt to run a request at a target.
type Outcome struct {
	Kind            OutcomeKind
	ResponseLatency time.Duration // until the response began; 0 if it did not
	SlotTime        time.Duration // how long the request occupied its slot
	RetryAfter      time.Duration // as given by a target that refused; 0 if it gave none
}

// recordOutcome updates the target's latency estimate and health from an
// outcome.
func (d *Dispatcher) recordOutcome(svc *service, t *target, u Outcome, now time.Time) {
	switch u.Kind {
	case Answered:
		t.latency.Observe(u.ResponseLatency, now)
		t.leaving.RecordAccepted()
		t.health.Observe(true, now)
	case Refused, NotSent:
		t.leaving.RecordRefusal(u.RetryAfter, now)
	case Errored, Failed:
		t.health.Observe(false, now)
		d.penalize(svc, t, u, now)
		d.evaluateEjection(svc, t, now)
	}
}

// penalize blocks a slot of a failing target for a while.
func (d *Dispatcher) penalize(svc *service, t *target, u Outcome, now time.Time) {
	if span := t.health.Penalty(u.SlotTime, svc.slotTime.Mean()); span > 0 {
		t.penalties = append(t.penalties, now.Add(span))
	}
}

// penalized returns how many slots are blocked after failures, and discards
// expired penalties.
func (t *target) penalized(now time.Time) int {
	t.penalties = slices.DeleteFunc(t.penalties, func(until time.Time) bool { return !until.After(now) })
	return len(t.penalties)
}

// evaluateEjection ejects the target if it fails more often than the service's
// other targets and the availability budget allows its removal.
func (d *Dispatcher) evaluateEjection(svc *service, t *target, now time.Time) {
	var peers []*health.Target
	for _, other := range svc.targets {
		if other != t && !d.unavailable(other, now) {
			peers = append(peers, &other.health)
		}
	}
	health.EjectOutlier(&t.health, peers, d.budgetAllowsRemoval(svc, now), now)
}

// budgetAllowsRemoval reports whether the service's availability budget allows
// one more target to be unavailable.
func (d *Dispatcher) budgetAllowsRemoval(svc *service, now time.Time) bool {
	out := 0
	for _, t := range svc.targets {
		if d.unavailable(t, now) {
			out++
		}
	}
	total := len(svc.targets)
	return health.MayEject(total, out, svc.decl.Budget.MinAvailable.Of(total))
}

// ObserveProbe records the result of a health probe. It does nothing if the
// target is unknown.
func (d *Dispatcher) ObserveProbe(vm model.VMID, a health.ProbeResult, now time.Time) {
	t := d.targets[vm]
	if t == nil {
		return
	}
	recovered := t.leaving.RecordProbe(a, now)
	if t.unreachable && !t.leaving.Unreachable() {
		t.unreachable, recovered = false, true
	}
	if !t.unreachable && t.leaving.Unreachable() {
		t.unreachable = d.allBudgetsAllowRemoval(t, now)
	}
	if recovered {
		t.health.BeginSlowStart(now)
	}
}

// allBudgetsAllowRemoval reports whether the budgets of all services on the
// target allow its removal.
func (d *Dispatcher) allBudgetsAllowRemoval(t *target, now time.Time) bool {
	for _, svc := range d.sortedServices {
		if slices.Contains(svc.targets, t) && !d.budgetAllowsRemoval(svc, now) {
			return false
		}
	}
	return true
}

// ProbeTarget is a target that this entry VM is to probe now.
type ProbeTarget struct {
	VM      model.VMID
	Address string
}

// Intervals between health probes of a target. Together with the digest interval
// of 250 ms and the probe's timeout, every entry VM of a zone learns of a leaving
// target within 3 s. Targets of other zones are probed half as often: they cause
// most of the probing cost of an entry VM, and their refusals and failures are
// noticed as early without probes.
const (
	probeInterval       = time.Second
	remoteProbeInterval = 2 * time.Second
)

// ProbesDue returns the targets to probe now, sorted by ID, and records them as
// probed. In each zone one entry VM, chosen by rendezvous hash, probes a given
// target, so that the cost per entry VM falls with their number; the others
// read the result from its digest. A target that is leaving, has refused a
// request of this entry VM, or is unreachable from it is also probed by this
// entry VM itself.
func (d *Dispatcher) ProbesDue(now time.Time) []ProbeTarget {
	var due []ProbeTarget
	for _, t := range d.targets {
		interval := remoteProbeInterval
		suspect := t.leaving.Unready(now) || t.unreachable
		if t.zone == d.cfg.Zone || suspect {
			interval = probeInterval
		}
		if !t.serving || now.Sub(t.probedAt) < interval {
			continue
		}
		if suspect || t.prober {
			t.probedAt = now
			due = append(due, ProbeTarget{t.id, t.address})
		}
	}
	slices.SortFunc(due, func(a, b ProbeTarget) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return due
}
