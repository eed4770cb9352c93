package dispatch

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/admission"
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/routing"
)

// newChoice builds the input of routing.Pick from the state of the service's
// targets.
func (d *Dispatcher) newChoice(svc *service, now time.Time) routing.Choice {
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
	mean := svc.slotTime.Mean()
	all, local := usableSlots(ts)
	c.Wait, c.LocalWait = expectedWait(all, mean), expectedWait(local, mean)
	c.PreferRemote = d.cfg.Rand(shiftSteps) < int(shiftSteps*d.remoteShare(svc, ts, now))
	return c
}

// shiftSteps is the resolution at which the share of work sent to other zones
// is drawn.
const shiftSteps = 1000

// remoteShare compares the latency of the own zone's targets with that of the
// others and returns the share of work, 0 to 1, that prefers other zones.
func (d *Dispatcher) remoteShare(svc *service, ts []routing.Target, now time.Time) float64 {
	local, remote := routing.ZoneTypicalLatency(ts, true), routing.ZoneTypicalLatency(ts, false)
	if remote > 0 {
		remote += routing.CrossZoneCost
	}
	return svc.shift.Step(local, remote, now)
}

func (d *Dispatcher) routingTarget(t *target, now time.Time) routing.Target {
	rt := routing.Target{
		ID:          t.id,
		Local:       t.zone == d.cfg.Zone,
		InFlight:    t.inFlight,
		Slots:       t.slots,
		Limit:       t.limit - t.penalized(now),
		Latency:     t.latency.Value(now, 0),
		Weight:      t.health.Weight(now),
		Unavailable: d.unavailable(t, now),
	}
	if d.cfg.Peers != nil {
		rt.PeerInFlight = d.cfg.Peers.InFlight(t.id)
	}
	return rt
}

// unavailable reports whether the target gets no new requests: because it is
// not serving in the current Fleet, unreachable, leaving or refusing by its own
// or a peer's account, or ejected for failures. A peer's report that the target
// is leaving counts even if the latest probe from here succeeded: peers report
// only what the target itself told them, and probe it again every second, so
// such a report is not stale for long.
func (d *Dispatcher) unavailable(t *target, now time.Time) bool {
	switch {
	case !t.serving, t.unreachable, t.leaving.Unready(now), t.health.Ejected(now):
		return true
	}
	return d.cfg.Peers != nil && d.cfg.Peers.Leaving(t.id)
}

// usableSlots returns how many slots of available targets this entry VM may
// use, in all zones and in its own.
func usableSlots(ts []routing.Target) (all, local int) {
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

// noSlotWait is the expected wait if there are no slots. It exceeds the cost of
// any hop to another zone.
const noSlotWait = time.Hour

// expectedWait returns the mean time until one of the slots becomes free, given
// their mean occupancy time.
func expectedWait(slots int, mean time.Duration) time.Duration {
	if slots <= 0 {
		return noSlotWait
	}
	return mean / time.Duration(slots)
}

// slotCapacity returns how many requests this entry VM may send to available
// targets now (free), and how many it may have there at once (total): its shares
// of the targets' slots, with loans.
func slotCapacity(ts []routing.Target) (free, total int) {
	for i := range ts {
		if !ts[i].Unavailable {
			free += ts[i].Free()
			total += ts[i].Limit
		}
	}
	return free, total
}

// TargetState is the state of a target as published in digests and metrics. Its
// field names are part of the metrics output.
type TargetState struct {
	VM       model.VMID
	InFlight int
	Limit    int
	Leaving  bool // the target itself reported that it is leaving
	Ejected  bool
	Out      bool // gets no new requests, for any reason
}

// States returns the state of every target, sorted by ID.
func (d *Dispatcher) States(now time.Time) []TargetState {
	states := make([]TargetState, 0, len(d.sortedTargets))
	for _, t := range d.sortedTargets {
		states = append(states, TargetState{
			VM: t.id, InFlight: t.inFlight, Limit: t.limit, Leaving: t.leaving.ReportsLeaving(),
			Ejected: t.health.Ejected(now), Out: d.unavailable(t, now),
		})
	}
	return states
}

// ServiceState is the state of a service as published in metrics. Its field
// names are part of the metrics output.
type ServiceState struct {
	Service  model.ServiceName
	Queued   int
	InFlight int
	Slots    int                     // usable now by this entry VM
	Mean     time.Duration           // mean time that a request occupies a slot
	High     time.Duration           // time within which most requests release their slot
	Away     float64                 // share of work, 0 to 1, that prefers other zones
	Heavy    []admission.HeavyCaller // callers that certainly have at least heavyShare of the slot time
}

// heavyShare is the share of a service's slot time from which a caller is
// listed in ServiceState.Heavy. Ten callers with equal load stay below it.
const heavyShare = 0.2

// Services returns the state of every service, sorted by name.
func (d *Dispatcher) Services(now time.Time) []ServiceState {
	states := make([]ServiceState, 0, len(d.sortedServices))
	for _, svc := range d.sortedServices {
		s := ServiceState{
			Service: svc.decl.Name, Queued: svc.queue.Len(), InFlight: svc.running,
			Mean: svc.slotTime.Mean(), High: svc.slotTime.HighQuantile(), Away: svc.shift.Share(),
			Heavy: svc.costs.Heaviest(heavyShare),
		}
		for _, t := range svc.targets {
			if !d.unavailable(t, now) {
				s.Slots += t.limit
			}
		}
		states = append(states, s)
	}
	return states
}
