// Package capacity plans how many VMs the pools hold together, from the demand seen
// so far. VMs in excess of the plan are parked, that is switched off.
//
// Bursts alternate between the pools, so the plan is based on the peak of the sum of
// the pools' demand: the sum of their peaks counts the same VMs once per pool.
package capacity

import (
	"math"
	"time"

	"github.com/pumicestage/pumicestage/policy/pools"
)

// PoolLoad is the demand of a pool at one time.
type PoolLoad struct {
	Name    string
	VMs     int     // VMs with tasks
	Missing int     // VMs missing for long-running tasks
	Cores   float64 // cores in use
}

// Costs are the costs that decide how long an idle VM is kept.
type Costs struct {
	Move float64 // cost of a move, in VM-seconds; above zero
	Idle float64 // cost of a second of an idle VM, in VM-seconds; above zero
}

// Input is what a plan is made from.
type Input struct {
	Pools       []pools.Pool
	History     *History  // nil if there is none
	Wall        time.Time // the current time, down to which the history's peaks decay
	Costs       Costs
	Floors      map[string]int // declared floors, in VMs by pool
	LargestRack int            // VMs in the largest rack
	WaveVMs     int            // VMs that running maintenance waves may take down at the same time
	AllReported bool           // all cells have reported
	ZoneLost    bool
}

// Reason says why a plan is what it is.
type Reason string

// The reasons. Only with ReasonPlanned does the plan limit the pools.
const (
	ReasonNoHistory    Reason = "no history"
	ReasonCellsMissing Reason = "cells missing"
	ReasonZoneLost     Reason = "zone lost"
	ReasonPlanned      Reason = "planned"
)

// Plan says how many VMs to keep.
type Plan struct {
	Ready    int            // VMs to keep in all pools together; 0: no plan
	Floor    map[string]int // VMs that each pool keeps, by pool
	IdleTime time.Duration  // how long a VM in excess of the plan is empty before it is parked, per move that parking costs
	Reason   Reason
	Peak     int // the part of Ready that the demand seen accounts for
	Reserve  int // the part of Ready that covers a lost rack and running waves
}

// Limits returns the plan in the form that pools.Decide takes.
func (p Plan) Limits() pools.Limits {
	return pools.Limits{Ready: p.Ready, Floor: p.Floor, IdleTime: p.IdleTime}
}

// maxIdleTime bounds IdleTime if an idle VM costs next to nothing.
const maxIdleTime = 24 * time.Hour

// IdleTime returns how long a VM is kept empty before it is parked, if parking it
// costs the number of moves. By then keeping it has cost as much as the moves, so the
// total is at most twice that of a decision made in hindsight.
func (c Costs) IdleTime(moves int) time.Duration {
	seconds := float64(moves) * c.Move / c.Idle
	if !(seconds < maxIdleTime.Seconds()) { // also if both costs are zero
		return maxIdleTime
	}
	return time.Duration(max(0, seconds) * float64(time.Second))
}

// Loads returns the demand of the pools that aren't parked, in the form that
// History.Observe takes.
func Loads(ps []pools.Pool) []PoolLoad {
	out := make([]PoolLoad, 0, len(ps))
	for i := range ps {
		p := &ps[i]
		if p.Parked {
			continue
		}
		load := PoolLoad{Name: p.Name, Missing: p.MissingVMs, Cores: p.Used}
		for v := range p.VMs {
			if !p.VMs[v].Empty {
				load.VMs++
			}
		}
		out = append(out, load)
	}
	return out
}

// Decide returns the plan for the input.
func Decide(in Input) Plan {
	switch {
	case !in.AllReported:
		return Plan{Reason: ReasonCellsMissing}
	case in.ZoneLost:
		return Plan{Reason: ReasonZoneLost}
	case in.History == nil || !in.History.showsDemand(in.Wall, pools.HeldVMs(in.Pools)):
		return Plan{Reason: ReasonNoHistory}
	}
	busy, missing := in.peaks()
	out := Plan{
		Floor:    in.floors(),
		IdleTime: in.Costs.IdleTime(1),
		Reason:   ReasonPlanned,
		Peak:     busy + missing,
		// A rack that fails and the spread of peaks share one reserve.
		Reserve: max(in.LargestRack, roundUp(float64(busy)*spareShare)) + max(0, in.WaveVMs),
	}
	out.Ready = max(out.Peak+out.Reserve, sumOf(out.Floor))
	return out
}

// spareShare is the least reserve, as a fraction of the peak of VMs with tasks. A
// total of 1.0 to 1.1 times the peak gave as many moves as no limit.
const spareShare = 0.1

// peaks returns the peak of the sum of VMs with tasks, and that of VMs missing.
func (in *Input) peaks() (busy, missing int) {
	sum := in.History.sum.scaled(in.History.decay(in.Wall))
	vms := sum.vms
	if mean := meanCores(in.Pools); mean > 0 {
		// The VMs may be smaller now than those that had the tasks.
		vms = max(vms, sum.cores/mean)
	}
	return roundUp(vms), roundUp(sum.missing)
}

// meanCores returns the mean cores of the VMs in the pools that aren't parked.
func meanCores(ps []pools.Pool) float64 {
	cores, vms := 0.0, 0
	for i := range ps {
		if ps[i].Parked {
			continue
		}
		for v := range ps[i].VMs {
			cores += ps[i].VMs[v].Cores
		}
		vms += len(ps[i].VMs)
	}
	return cores / float64(max(1, vms))
}

// floors returns how many VMs each pool keeps: what it would keep without a plan, or
// its declared floor if that is higher.
func (in *Input) floors() map[string]int {
	kept := pools.KeptVMs(in.Pools)
	out := make(map[string]int, len(in.Pools))
	for i := range in.Pools {
		if p := &in.Pools[i]; !p.Parked {
			out[p.Name] = max(kept, in.Floors[p.Name])
		}
	}
	return out
}

func sumOf(floors map[string]int) (sum int) {
	for _, n := range floors {
		sum += n
	}
	return sum
}

// roundUp rounds up to a whole number, except for the rounding errors of decay.
func roundUp(x float64) int { return int(math.Ceil(x - 1e-6)) }
