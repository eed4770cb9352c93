// Package wave decides which VMs a maintenance wave takes out next: a pure
// function from a snapshot to a plan.
//
// It answers two patterns: many VMs that must all stop once while their
// services go on, and failures that correlate within the wave (a bad image, a
// rack). Without it a wave is either as slow as one VM at a time or takes a
// service below its budget, and a bad image goes through the whole fleet.
package wave

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/budget"
	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// MaxViewAge is how old the view of the fleet may be for a stop to start.
	// Watches deliver within a second; ten times that is an outage, and what
	// has failed meanwhile is not known.
	MaxViewAge = 10 * time.Second
	// MaxListAge is how far the platform's list may lag. It is asked for as
	// its size allows, every 34 s at 3,600 VMs, and lags by seconds itself;
	// the entry VMs' own probes see failures sooner, so that it may lag more
	// than the view.
	MaxListAge = 60 * time.Second
	// DefaultMaxFailures pauses a wave that declares no limit: one failure
	// is an ordinary day's, the second in one wave has a common cause.
	DefaultMaxFailures = 2
	// DefaultGrace is how long a drain may take where the wave does not say.
	DefaultGrace = 10 * time.Minute
	// ReturnTimeout is how long a reboot and its proof of health may take
	// beyond the probation. A boot takes one to three minutes.
	ReturnTimeout = 10 * time.Minute
)

// VM is one VM of the snapshot.
type VM struct {
	*model.VM      // read only
	Up        bool // certainly in service, as budget.Up says
	Health    model.Health
}

// Snapshot is all that a plan is made from.
type Snapshot struct {
	Now         time.Time
	Declaration *model.Declaration
	Wave        model.Wave // with the pools of this run
	Run         model.ChangeID
	VMs         []VM      // at least all VMs of all services that have targets in the wave's pools
	Started     time.Time // when the run was started
	Resumed     time.Time // when an operator let it go on last; failures before are known to them
	ViewAge     time.Duration
	ListAge     time.Duration
}

// Verdict is what the wave does next.
type Verdict string

// The verdicts of a Plan.
const (
	Go       Verdict = "go"       // Stops may start
	Hold     Verdict = "hold"     // wait, and go on by itself
	Pause    Verdict = "pause"    // stop until an operator resumes
	Finished Verdict = "finished" // every VM is done
)

// Progress counts the VMs of the wave.
type Progress struct {
	Total     int
	Done      int
	Out       int // held by the wave now
	Failed    int // out, or back and down, beyond what is tolerated
	Postponed int // given back since their drain took too long, to be tried again
	Remaining int // not begun
}

// Plan is what the wave does next and why.
type Plan struct {
	Verdict  Verdict
	Stops    []model.VMID // to take out now, in this order
	Reason   string       // what holds the wave back or paused it; empty if nothing
	Progress Progress
	Forecast time.Duration // until the wave ends if nothing fails; 0 where finished
}

// MakePlan plans the next stops of a wave. It starts nothing on evidence that is
// too old.
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
		plan.Stops, plan.Reason = p.choose()
		if len(plan.Stops) > 0 {
			plan.Verdict = Go
		}
	}
	return plan
}

func (s *Snapshot) weights() model.Weights { return Weights(s.Declaration, &s.Wave) }

// Weights returns what steers a wave: its own weights, else the deployment's.
func Weights(d *model.Declaration, w *model.Wave) model.Weights {
	if w != nil && w.Weights != (model.Weights{}) {
		return w.Weights
	}
	return d.Weights
}

func memberOf(v *VM) budget.Member {
	return budget.Member{ID: v.ID, Zone: v.Zone, Rack: v.Rack, Up: v.Up}
}

// Grace returns how long a drain of the wave may take before it is postponed.
func Grace(w *model.Wave) time.Duration {
	if w.Grace > 0 {
		return w.Grace
	}
	return DefaultGrace
}
