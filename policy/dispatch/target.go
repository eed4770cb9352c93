package dispatch

import (
	"slices"
	"strings"
	"time"

	"github.com/pumicestage/pumicestage/policy/health"
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/routing"
)

// target is one VM that runs requests, as this entry VM knows it.
type target struct {
	id      model.VMID
	zone    model.ZoneName
	address string
	slots   int
	share   int      // of slots, those that are this entry VM's own
	limit   int      // those it may use now: its share, less lent, plus borrowed
	serving bool     // the view says that it is in its pool
	prober  bool     // this entry VM asks it for its health
	from    division // what share and prober were computed from

	own     int // requests of this entry VM there now
	latency routing.LatencyEstimate
	health  health.Target
	leaving health.Leaving
	down    bool // its health answers stay away, and the budget can do without it

	probedAt  time.Time
	penalties []time.Time // when slots taken for failures are free again
}

// OutcomeKind is how a request's stay at a target ended.
type OutcomeKind int8

// The endings.
const (
	Answered  OutcomeKind = iota + 1 // a whole answer came
	Errored                          // a whole answer came that says the target failed (5xx)
	Refused                          // the target said not-run
	NotSent                          // no connection; nothing was sent
	Failed                           // broken, unreadable or late
	Abandoned                        // the caller went away; says nothing of the target
)

// String returns the word for metrics.
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

// Outcome is what one request's stay at a target showed.
type Outcome struct {
	Kind            OutcomeKind
	ResponseLatency time.Duration // until the answer began; 0 where it did not
	SlotTime        time.Duration // until the slot was free again
	RetryAfter      time.Duration // a refusing target's, 0 if it gave none
}

// note takes in what a use showed of the target.
func (d *Dispatcher) note(svc *service, t *target, u Outcome, now time.Time) {
	switch u.Kind {
	case Answered:
		t.latency.Observe(u.ResponseLatency, now)
		t.leaving.Accepted()
		t.health.Observe(true, now)
	case Refused, NotSent:
		t.leaving.Refused(u.RetryAfter, now)
	case Errored, Failed:
		t.health.Observe(false, now)
		d.penalize(svc, t, u, now)
		d.judge(svc, t, now)
	}
}

// penalize keeps a slot of a failing target taken for a while.
func (d *Dispatcher) penalize(svc *service, t *target, u Outcome, now time.Time) {
	if span := t.health.Penalty(u.SlotTime, svc.hold.Mean()); span > 0 {
		t.penalties = append(t.penalties, now.Add(span))
	}
}

// penalized returns the slots that are taken for failures.
func (t *target) penalized(now time.Time) int {
	t.penalties = slices.DeleteFunc(t.penalties, func(until time.Time) bool { return !until.After(now) })
	return len(t.penalties)
}

// judge ejects a target that fails more than its peers, within the budget.
func (d *Dispatcher) judge(svc *service, t *target, now time.Time) {
	var peers []*health.Target
	for _, other := range svc.targets {
		if other != t && !d.out(other, now) {
			peers = append(peers, &other.health)
		}
	}
	health.Judge(&t.health, peers, d.mayLeave(svc, now), now)
}

// mayLeave reports whether the service's budget permits one target less.
func (d *Dispatcher) mayLeave(svc *service, now time.Time) bool {
	out := 0
	for _, t := range svc.targets {
		if d.out(t, now) {
			out++
		}
	}
	total := len(svc.targets)
	return health.MayLeave(total, out, svc.decl.Budget.MinAvailable.Of(total))
}

// ObserveProbe takes in a health answer of a target.
func (d *Dispatcher) ObserveProbe(vm model.VMID, a health.Answer, now time.Time) {
	t := d.targets[vm]
	if t == nil {
		return
	}
	back := t.leaving.Probed(a, now)
	if t.down && !t.leaving.Unreachable() {
		t.down, back = false, true
	}
	if !t.down && t.leaving.Unreachable() {
		t.down = d.allMayLeave(t, now)
	}
	if back {
		t.health.Start(now)
	}
}

// allMayLeave reports whether every service of the target can do without it.
func (d *Dispatcher) allMayLeave(t *target, now time.Time) bool {
	for _, svc := range d.order {
		if slices.Contains(svc.targets, t) && !d.mayLeave(svc, now) {
			return false
		}
	}
	return true
}

// ProbeTarget is a target whose health this entry VM is to ask now.
type ProbeTarget struct {
	VM      model.VMID
	Address string
}

// How often a target is asked for its health. With the digests' quarter of a
// second and the probe's own timeout all entry VMs of a zone know of a leaving
// target within 3 s. Targets of other zones are asked half as often: what they
// refuse or fail is seen as soon, and the cost per entry VM is mostly theirs.
const (
	probeEvery       = time.Second
	probeEveryRemote = 2 * time.Second
)

// ProbesDue returns the targets to ask now, and counts them as asked. Each
// zone asks every target by one of its entry VMs, chosen by rendezvous hash, so
// that the cost per entry VM falls with their number; its peers read the
// outcome from its digest. A target that refused this entry VM is asked by it
// in any case.
func (d *Dispatcher) ProbesDue(now time.Time) []ProbeTarget {
	var due []ProbeTarget
	for _, t := range d.targets {
		every := probeEveryRemote
		suspect := t.leaving.Out(now) || t.down
		if t.zone == d.cfg.Zone || suspect {
			every = probeEvery
		}
		if !t.serving || now.Sub(t.probedAt) < every {
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
