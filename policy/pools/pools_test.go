package pools

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func vms(prefix string, n, empty int, since time.Duration) []VM {
	var out []VM
	for i := range n {
		out = append(out, VM{ID: fmt.Sprintf("%s%d", prefix, i), Cores: 16, Empty: i < empty, EmptyFor: since})
	}
	return out
}

// Callers of one queue must not wait while VMs of other pools are idle. A burst
// takes parked VMs first, then VMs of the pool whose burst has just ended, as its
// next burst is the furthest away. Every pool keeps VMs for its first tasks.
func TestBacklogTakesLeastNeededVMs(t *testing.T) {
	moves := Decide([]Pool{
		{Name: "busy", VMs: vms("b", 8, 0, 0), Used: 128, Backlog: 100},
		{Name: "soon", VMs: vms("s", 8, 8, time.Minute), SinceBacklog: 12 * time.Second},
		{Name: "over", VMs: vms("o", 12, 12, time.Second), SinceBacklog: time.Second},
		{Name: "off", Parked: true, VMs: vms("p", 1, 1, 0)},
	}, Limits{})
	assert.Equal(t, len(moves), 7, "100 core-seconds within DrainTime are 112 cores")
	assert.Equal(t, moves[0].From, "off")
	for _, m := range moves[1:] {
		assert.Equal(t, m.From, "over")
		assert.Equal(t, m.To, "busy")
	}
}

// Guards against a late wave: a long-running task can't leave its VM if every other
// VM of the pool runs a task of the same step already. Cores are free, so there is
// no backlog, but the pool needs another VM.
func TestMissingVMsAreRequestedDespiteFreeCores(t *testing.T) {
	moves := Decide([]Pool{
		{Name: "short", VMs: vms("s", 4, 4, time.Minute), Used: 8, MissingVMs: 1},
		{Name: "off", Parked: true, VMs: vms("p", 3, 3, 0)},
	}, Limits{})
	assert.Equal(t, len(moves), 1)
	assert.Equal(t, moves[0].To, "short")
}

// Incoming VMs count. Otherwise each decision on the same backlog would request as
// many again, which would arrive after the burst.
func TestIncomingVMsAreNotRequestedAgain(t *testing.T) {
	moves := Decide([]Pool{
		{Name: "busy", VMs: vms("b", 8, 0, 0), Used: 128, Backlog: 100, Incoming: vms("c", 7, 0, 0)},
		{Name: "off", Parked: true, VMs: vms("p", 8, 8, 0)},
	}, Limits{})
	assert.Equal(t, len(moves), 0)
}

// A pool with a backlog gives no VM away, and a VM that became empty a moment ago
// stays, as the next step of a job is about to start on it.
func TestVMsInUseOrJustEmptyStay(t *testing.T) {
	moves := Decide([]Pool{
		{Name: "a", VMs: vms("a", 8, 0, 0), Used: 128, Backlog: 500},
		{Name: "b", VMs: vms("b", 8, 4, time.Minute), Used: 64, Backlog: 10},
		{Name: "c", VMs: vms("c", 8, 8, 10*time.Millisecond)},
	}, Limits{})
	assert.Equal(t, len(moves), 0)
}

// A pool without load keeps the VMs on which its next burst starts. The others are
// parked once they have been empty for parkAfter.
func TestLongEmptyVMsAreParked(t *testing.T) {
	const keep = 5 // half of an equal split of twenty VMs over two pools
	pools := []Pool{
		{Name: "quiet", VMs: vms("q", 10, 10, parkAfter)},
		{Name: "fresh", VMs: vms("f", 10, 10, parkAfter-time.Millisecond)},
		{Name: "off", Parked: true},
	}
	moves := Decide(pools, Limits{})
	assert.Equal(t, len(moves), 10-keep)
	for _, m := range moves {
		assert.Equal(t, m.From, "quiet")
		assert.Equal(t, m.To, "off")
	}
	pools[1].Backlog, pools[1].Used = 1000, 1000
	for _, m := range Decide(pools, Limits{}) {
		assert.Equal(t, m.To, "fresh", "no VM is parked while work waits")
	}
}

// labelled sets the label on all of vms and returns them.
func labelled(vms []VM, label string) []VM {
	for i := range vms {
		vms[i].Labels = []string{label}
	}
	return vms
}

// Guards against a pool that holds thirty idle VMs which can't serve its backlog,
// as they lack the label that it asks for, while other pools run out of VMs. The
// pool takes VMs with the label, and its others go to where any VM will do.
func TestLabelledBacklogTakesLabelledVMsAndKeepsNoOthers(t *testing.T) {
	moves := Decide([]Pool{
		{Name: "bound", VMs: vms("x", 30, 30, time.Minute), Backlog: 40, ByLabel: map[string]LabelDemand{"big": {Backlog: 40}}},
		{Name: "busy", VMs: vms("b", 4, 0, 0), Used: 64, Backlog: 80},
		{Name: "off", Parked: true, VMs: labelled(vms("p", 4, 4, 0), "big")},
	}, Limits{})
	to := make(map[string]int)
	for _, m := range moves {
		to[m.From+" to "+m.To]++
	}
	assert.DeepEqual(t, to, map[string]int{"off to bound": 3, "bound to busy": 6})
}

// With several labels, the parts of the backlog add up to the whole except for a
// rounding error. That error must not count as a backlog, which would keep idle VMs
// in the pool.
func TestLabelledBacklogLeavesNoRoundingError(t *testing.T) {
	bound := map[string]LabelDemand{"x": {Backlog: 0.1}, "y": {Backlog: 0.2}, "z": {Backlog: 0.3}}
	p := Pool{Name: "bound", Backlog: 0.3 + 0.2 + 0.1 + 1e-16, ByLabel: bound}
	for range 20 { // the iteration order of maps varies
		assert.Equal(t, p.unlabelledBacklog(), 0.0)
	}
}

// Work for a label that no VM has waits without end. It must neither take VMs nor
// keep idle ones from being parked.
func TestMissingLabelMovesNothing(t *testing.T) {
	pools := []Pool{
		{Name: "bound", VMs: vms("x", 4, 4, time.Second), Backlog: 40, ByLabel: map[string]LabelDemand{"none": {Backlog: 40}}},
		{Name: "quiet", VMs: vms("q", 12, 12, time.Minute)},
		{Name: "off", Parked: true},
	}
	for _, m := range Decide(pools, Limits{}) {
		assert.Equal(t, m.To, "off")
		assert.Equal(t, m.From, "quiet")
	}
	assert.Assert(t, len(Decide(pools, Limits{})) > 0)
}

// The bursts of simulate: the work of a burst arrives evenly over its length.
const (
	burstLength = 4 * time.Second
	burstWork   = 4 * 300.0 // core-seconds, for a pool of 128 cores
	tick        = 100 * time.Millisecond
	moveTime    = 1500 * time.Millisecond
)

// simulate runs bursts that alternate between four pools. It returns the
// core-seconds done during the burst of the pool they belong to, and the number of
// moves.
func simulate(decide func([]Pool) []Move) (done float64, moves int) {
	type arrival struct {
		at time.Duration
		vm VM
		to string
	}
	pools := []Pool{{Name: "0"}, {Name: "1"}, {Name: "2"}, {Name: "3"}, {Name: "off", Parked: true}}
	for i := range pools {
		pools[i].VMs = vms(pools[i].Name+"-", 8, 8, 0)
	}
	var inTransit []arrival
	for now := time.Duration(0); now < 8*burstLength; now += tick {
		active := int(now/burstLength) % 4
		pools[active].Backlog += burstWork * tick.Seconds() / burstLength.Seconds()
		for i := range pools {
			p := &pools[i]
			capacity := float64(16*len(p.VMs)) * tick.Seconds()
			worked := 0.0
			if !p.Parked {
				worked = min(capacity, p.Backlog)
			}
			p.Backlog -= worked
			if i == active {
				done += worked
			}
			p.Used = worked / tick.Seconds()
			p.SinceBacklog += tick
			if p.Backlog > 0 {
				p.SinceBacklog = 0
			}
			for v := range p.VMs {
				p.VMs[v].Empty = p.Backlog == 0 && worked == 0
				p.VMs[v].EmptyFor += tick
				if !p.VMs[v].Empty {
					p.VMs[v].EmptyFor = 0
				}
			}
			p.Incoming = nil
		}
		remaining := inTransit[:0]
		for _, a := range inTransit {
			for i := range pools {
				if pools[i].Name != a.to {
					continue
				}
				if now >= a.at {
					pools[i].VMs = append(pools[i].VMs, a.vm)
				} else {
					pools[i].Incoming = append(pools[i].Incoming, a.vm)
				}
			}
			if now < a.at {
				remaining = append(remaining, a)
			}
		}
		inTransit = remaining
		for _, m := range decide(pools) {
			moves++
			for i := range pools {
				for v := range pools[i].VMs {
					if pools[i].VMs[v].ID == m.VM {
						vm := pools[i].VMs[v]
						vm.EmptyFor = 0
						pools[i].VMs = append(pools[i].VMs[:v:v], pools[i].VMs[v+1:]...)
						inTransit = append(inTransit, arrival{at: now + moveTime, vm: vm, to: m.To})
						break
					}
				}
			}
		}
	}
	return done, moves
}

// With alternating bursts of more than twice the capacity of a pool, moving VMs must
// get more work done within the bursts than fixed pools do.
func TestAlternatingBurstsAreServedByTheWholeFleet(t *testing.T) {
	fixed, _ := simulate(func([]Pool) []Move { return nil })
	moved, moves := simulate(func(p []Pool) []Move { return Decide(p, Limits{}) })
	t.Logf("core-seconds within the bursts: fixed pools %.0f, moved %.0f (%d moves)", fixed, moved, moves)
	assert.Assert(t, moved > 1.25*fixed, "%.0f against %.0f", moved, fixed)
	assert.Assert(t, moves < 8*40, "more than one move per VM and burst")
}

// Guards against parking nearly all VMs (36 of 41) before a burst begins: if VMs on
// their way to the parked pool don't count, each round keeps fewer than the last.
func TestIncomingVMsCountInTheEqualSplit(t *testing.T) {
	pools := []Pool{
		{Name: "a", VMs: vms("a", 10, 10, parkAfter)},
		{Name: "b", VMs: vms("b", 10, 10, parkAfter)},
		{Name: "off", Parked: true},
	}
	for range 5 {
		for _, m := range Decide(pools, Limits{}) {
			for i := range pools {
				pools[i].VMs = slices.DeleteFunc(pools[i].VMs, func(vm VM) bool { return vm.ID == m.VM })
			}
			pools[2].Incoming = append(pools[2].Incoming, VM{ID: m.VM, Cores: 16})
		}
	}
	assert.Equal(t, len(pools[0].VMs), 5)
	assert.Equal(t, len(pools[1].VMs), 5)
}

// Guards against VMs that arrive when a burst is nearly over, as they were requested
// for the rate at which it began. VMs are requested for a multiple of the arrival
// rate, before a backlog has grown.
func TestRisingArrivalRateRequestsVMsAhead(t *testing.T) {
	moves := Decide([]Pool{
		{Name: "busy", VMs: vms("b", 4, 0, 0), Used: 64, ArrivalRate: 100, Backlog: 1},
		{Name: "over", VMs: vms("o", 30, 30, time.Second)},
	}, Limits{})
	assert.Equal(t, len(moves), 15, "a little over 300 cores, less the 64 of the pool")
}

// A pool with spare demand gets idle VMs, but only while no pool has a backlog: it
// must not take them from that pool.
func TestIdleVMsAreLentWhileNoPoolLacksAny(t *testing.T) {
	tries := Pool{Name: "tries", VMs: vms("t", 6, 1, time.Minute), SpareDemand: 3}
	idle := Pool{Name: "idle", VMs: vms("i", 8, 8, time.Second), SinceBacklog: time.Second}
	moves := Decide([]Pool{tries, idle}, Limits{})
	assert.Equal(t, len(moves), 2)
	for _, m := range moves {
		assert.Equal(t, m.From, "idle")
		assert.Equal(t, m.To, "tries")
	}
	busy := Pool{Name: "busy", VMs: vms("b", 4, 0, 0), Used: 64, Backlog: 200}
	for _, m := range Decide([]Pool{tries, idle, busy}, Limits{}) {
		assert.Equal(t, m.To, "busy")
	}
	assert.Equal(t, len(Decide([]Pool{tries, {Name: "kept", VMs: vms("k", 3, 3, time.Second)}}, Limits{})), 1, "the VMs that a pool keeps are not lent")
}

// Guards against a late backlog, left by a burst beyond the fleet's capacity, that
// keeps its VMs until it is worked off, while jobs of other queues that could still
// be in time wait.
func TestLateBacklogKeepsNoVMsFromUsefulWork(t *testing.T) {
	pools := []Pool{
		{Name: "burst", VMs: vms("b", 16, 6, time.Second), Used: 160, LateBacklog: 3000},
		{Name: "steady", VMs: vms("s", 4, 0, 0), Used: 64, Backlog: 50},
	}
	moves := Decide(pools, Limits{})
	assert.Equal(t, len(moves), 4, "50 core-seconds within DrainTime are 56 cores")
	for _, m := range moves {
		assert.Equal(t, m.To, "steady")
	}
	pools[0].VMs = vms("b", 16, 0, 0)
	assert.Equal(t, len(Decide(pools, Limits{})), 0)
}

// Work that is too late to be of use is still worked off once nothing else waits.
func TestLateBacklogTakesVMsWhileNothingElseWaits(t *testing.T) {
	pools := []Pool{
		{Name: "burst", VMs: vms("b", 4, 0, 0), Used: 64, LateBacklog: 50, ByLabel: map[string]LabelDemand{"gpu": {LateBacklog: 20}}},
		{Name: "idle", VMs: vms("i", 8, 8, time.Second)},
	}
	moves := Decide(pools, Limits{})
	assert.Equal(t, len(moves), 4)
}

// Guards against a long-running task that can't leave its VM for maintenance: a VM with the label that
// it requires is idle elsewhere. VMs without the label would be moved for nothing.
func TestMissingVMsWithALabelAreRequestedByTheLabel(t *testing.T) {
	parked := vms("p", 3, 3, 0)
	parked[2].Labels = []string{"gpu"}
	state := []Pool{
		{Name: "bound", VMs: vms("b", 4, 4, time.Minute), Used: 8, ByLabel: map[string]LabelDemand{"gpu": {Used: 2, MissingVMs: 1}}},
		{Name: "off", Parked: true, VMs: parked},
	}
	moves := Decide(state, Limits{})
	assert.DeepEqual(t, moves, []Move{{VM: "p2", From: "off", To: "bound"}})
	state[0].Incoming, state[1].VMs = parked[2:], parked[:2]
	assert.Equal(t, len(Decide(state, Limits{NoParking: true})), 0, "it is on its way")
	state[0].Incoming = nil
	assert.Equal(t, len(Decide(state, Limits{NoParking: true})), 0, "no VM has the label")
}
