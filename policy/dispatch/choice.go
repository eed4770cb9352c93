package dispatch

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/admission"
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/routing"
)

// choice builds routing's question from the targets' state.
func (d *Dispatcher) choice(svc *service, now time.Time) routing.Choice {
	ts := svc.scratch[:0]
	for _, t := range svc.targets {
		ts = append(ts, d.routingTarget(t, now))
	}
	svc.scratch = ts
	if typical := routing.TypicalLatency(ts); typical > time.Microsecond {
		for i, t := range svc.targets {
			ts[i].Latency = t.latency.Value(now, typical)
		}
	}
	c := routing.Choice{Targets: ts, Rand: d.cfg.Rand}
	mean := svc.hold.Mean()
	all, local := usable(ts)
	c.Wait, c.LocalWait = waitFor(all, mean), waitFor(local, mean)
	c.PreferRemote = d.cfg.Rand(shiftSteps) < int(shiftSteps*d.shiftStep(svc, ts, now))
	return c
}

// shiftSteps is the resolution of the share of work that goes elsewhere first.
const shiftSteps = 1000

// shiftStep compares the own zone's targets with the others.
func (d *Dispatcher) shiftStep(svc *service, ts []routing.Target, now time.Time) float64 {
	home, elsewhere := routing.ZoneTypicalLatency(ts, true), routing.ZoneTypicalLatency(ts, false)
	if elsewhere > 0 {
		elsewhere += routing.CrossZoneCost
	}
	return svc.shift.Step(home, elsewhere, now)
}

func (d *Dispatcher) routingTarget(t *target, now time.Time) routing.Target {
	rt := routing.Target{
		ID:          t.id,
		Local:       t.zone == d.cfg.Zone,
		InFlight:    t.own,
		Slots:       t.slots,
		Limit:       t.limit - t.penalized(now),
		Latency:     t.latency.Value(now, 0),
		Weight:      t.health.Weight(now),
		Unavailable: d.out(t, now),
	}
	if d.cfg.Peers != nil {
		rt.PeerInFlight = d.cfg.Peers.InFlight(t.id)
	}
	return rt
}

// out reports whether the target gets no new work: by the view, by its own
// word, by a peer's, or for its failures. A peer's word counts even where the
// target's last health answer here was ok: peers tell only what they heard from
// the target itself and ask it again each second, so that it is not stale long.
func (d *Dispatcher) out(t *target, now time.Time) bool {
	switch {
	case !t.serving, t.down, t.leaving.Out(now), t.health.Ejected(now):
		return true
	}
	return d.cfg.Peers != nil && d.cfg.Peers.Leaving(t.id)
}

// usable counts the slots of targets in use, anywhere and in the own zone.
func usable(ts []routing.Target) (all, local int) {
	for i := range ts {
		if ts[i].Unavailable {
			continue
		}
		all += ts[i].Limit
		if ts[i].Local {
			local += ts[i].Limit
		}
	}
	return all, local
}

// noSlotWait is the wait for a slot where there is none: longer than any hop.
const noSlotWait = time.Hour

func waitFor(slots int, mean time.Duration) time.Duration {
	if slots <= 0 {
		return noSlotWait
	}
	return mean / time.Duration(slots)
}

// capacity returns the free and the usable slots of the targets in use.
func capacity(ts []routing.Target) (free, total int) {
	for i := range ts {
		if !ts[i].Unavailable {
			free += ts[i].Free()
			total += ts[i].Limit
		}
	}
	return free, total
}

// TargetState is what is known of a target, for digests, metrics and operators.
type TargetState struct {
	VM       model.VMID
	InFlight int
	Limit    int
	Leaving  bool // the target itself said that it leaves
	Ejected  bool
	Out      bool // gets no new work, for whatever reason
}

// States returns the state of every target, by ID.
func (d *Dispatcher) States(now time.Time) []TargetState {
	states := make([]TargetState, 0, len(d.sorted))
	for _, t := range d.sorted {
		states = append(states, TargetState{
			VM: t.id, InFlight: t.own, Limit: t.limit, Leaving: t.leaving.Says(),
			Ejected: t.health.Ejected(now), Out: d.out(t, now),
		})
	}
	return states
}

// ServiceState is what is known of a service, for metrics and operators.
type ServiceState struct {
	Service  model.ServiceName
	Queued   int
	InFlight int
	Slots    int // usable now
	Mean     time.Duration
	High     time.Duration
	Away     float64 // share of work that goes to other zones first
	Heavy    []admission.Heavy
}

// heavyShare is from which share of a service's slot time a caller is named to
// operators: with ten callers alike none is.
const heavyShare = 0.2

// Services returns the state of every service, by name.
func (d *Dispatcher) Services(now time.Time) []ServiceState {
	states := make([]ServiceState, 0, len(d.order))
	for _, svc := range d.order {
		s := ServiceState{
			Service: svc.decl.Name, Queued: svc.queue.Len(), InFlight: svc.running,
			Mean: svc.hold.Mean(), High: svc.hold.High(), Away: svc.shift.Share(),
			Heavy: svc.costs.Heaviest(heavyShare),
		}
		for _, t := range svc.targets {
			if !d.out(t, now) {
				s.Slots += t.limit
			}
		}
		states = append(states, s)
	}
	return states
}
