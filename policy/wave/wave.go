// Package wave decides which VMs a maintenance wave takes out of service next.
// A wave stops, reboots and returns every VM of some pools once. The decision is
// a pure function from a snapshot to a plan.
//
// It addresses two problems. Many VMs must each stop once while their services
// stay available: one VM at a time takes too long, and too many at a time
// violate the services' budgets. And VMs of the same wave may fail for a common
// cause, such as a bad image or a rack: a wave that doesn't pause on such
// failures would roll a bad image out to the whole fleet.
package wave

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/budget"
	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// MaxViewAge is the maximum age of the view of the fleet for a stop to
	// start. Watches deliver changes within a second; a delay of ten times that
	// is an outage, during which VMs may have failed unnoticed.
	MaxViewAge = 10 * time.Second
	// MaxListAge is the maximum age of the platform's list of VMs for a stop to
	// start. The interval at which the list is read grows with its size (34 s at
	// 3,600 VMs), and the list itself lags by seconds. It may be older than the
	// view because the entry VMs' own probes detect failures sooner.
	MaxListAge = 60 * time.Second
	// DefaultMaxFailures is the number of failures that pauses a wave that
	// declares no limit. A single failure is to be expected on any day; a second
	// one in the same wave suggests a common cause.
	DefaultMaxFailures = 2
	// DefaultGrace is how long a drain may take if the wave declares no grace
	// period.
	DefaultGrace = 10 * time.Minute
	// ReturnTimeout is how long a reboot and the following health check may
	// take in addition to the wave's probation period. A boot takes one to three
	// minutes. A finished VM that is found down within this time of its last
	// change of state also counts as a failure of the wave.
	ReturnTimeout = 10 * time.Minute
)

// VM is one VM of a Snapshot: its record and its current health.
type VM struct {
	*model.VM      // read only
	Up        bool // certainly in service, see budget.Up
	Health    model.Health
}

// Snapshot is the complete input of MakePlan.
type Snapshot struct {
	Now         time.Time
	Declaration *model.Declaration
	Wave        model.Wave // its Pools are those of this run
	Run         model.ChangeID
	VMs         []VM          // must include every VM of every service that has targets in the wave's pools
	Started     time.Time     // when the run was started
	Resumed     time.Time     // when an operator last resumed the run; earlier failures are known to the operator and not counted
	ViewAge     time.Duration // age of the view of the fleet
	ListAge     time.Duration // age of the platform's list of VMs
}

// Verdict tells the executor what to do with the wave next.
type Verdict string

// The possible verdicts of a Plan.
const (
	Go       Verdict = "go"       // start the stops in Plan.Stops
	Hold     Verdict = "hold"     // start nothing now; the wave continues by itself later
	Pause    Verdict = "pause"    // start nothing until an operator resumes the wave
	Finished Verdict = "finished" // every VM has been maintained
)

// Progress counts the VMs of a wave by state. Done, Out and Remaining add up to
// Total; Failed and Postponed VMs are among them.
type Progress struct {
	Total     int
	Done      int
	Out       int // held by the wave now
	Failed    int // not back within the time allowed, or down soon after they came back
	Postponed int // returned to service because their drain took too long; tried again later
	Remaining int // not started in this run, including postponed VMs
}

// Plan is the next step of a wave, with its reason.
type Plan struct {
	Verdict  Verdict
	Stops    []model.VMID // VMs to take out of service now, in this order
	Reason   string       // why the wave starts no (further) stops or is paused; empty if nothing prevents it
	Progress Progress
	Forecast time.Duration // estimated time until the wave ends if nothing fails; 0 if it is finished
}

// MakePlan decides the next stops of a wave. It starts none if the view of the
// fleet or the platform's list of VMs is too old.
func MakePlan(s Snapshot) Plan {
	p := newPlanner(s)
	plan := Plan{Verdict: Hold, Progress: p.progress}
	plan.Forecast = p.forecast()
	switch {
	case p.progress.Done == p.progress.Total:
		plan.Verdict = Finished
	case p.progress.Failed >= p.maxFailures():
		plan.Verdict = Pause
		plan.Reason = p.failureReason()
	case s.ViewAge > MaxViewAge:
		plan.Reason = "the view of the fleet is " + s.ViewAge.Round(time.Second).String() + " old"
	case s.ListAge > MaxListAge:
		plan.Reason = "the platform's list of VMs is " + s.ListAge.Round(time.Second).String() + " old"
	default:
		plan.Stops, plan.Reason = p.selectStops()
		if len(plan.Stops) > 0 {
			plan.Verdict = Go
		}
	}
	return plan
}

func (s *Snapshot) weights() model.Weights { return Weights(s.Declaration, &s.Wave) }

// Weights returns how a short roll-out, few spare VMs and few moves of jobs are
// weighed against each other in w: as w declares, if it declares any weights, else
// as the deployment does. A nil w gets the weights of the deployment.
func Weights(d *model.Declaration, w *model.Wave) model.Weights {
	if w != nil && w.Weights != (model.Weights{}) {
		return w.Weights
	}
	return d.Weights
}

func memberOf(v *VM) budget.Member {
	return budget.Member{ID: v.ID, Zone: v.Zone, Rack: v.Rack, Up: v.Up}
}

// Grace returns how long the drain of a VM may take before the wave postpones
// the VM.
func Grace(w *model.Wave) time.Duration {
	if w.Grace > 0 {
		return w.Grace
	}
	return DefaultGrace
}
