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

// Callers of one queue wait while the VMs of the others stand idle. The burst
// draws parked VMs first, then those of the pool whose burst has just ended, as
// its next is furthest away, and leaves every pool what its first tasks need.
func TestABacklogDrawsWhatIsMissedLeast(t *testing.T) {
	moves := Decide([]Pool{
		{Name: "busy", VMs: vms("b", 8, 0, 0), Used: 128, Backlog: 100},
		{Name: "soon", VMs: vms("s", 8, 8, time.Minute), SinceBacklog: 12 * time.Second},
		{Name: "over", VMs: vms("o", 12, 12, time.Second), SinceBacklog: time.Second},
		{Name: "off", Parked: true, VMs: vms("p", 1, 1, 0)},
	})
	assert.Equal(t, len(moves), 7, "100 core-seconds within the goal are 112 cores")
	assert.Equal(t, moves[0].From, "off")
	for _, m := range moves[1:] {
		assert.Equal(t, m.From, "over")
		assert.Equal(t, m.To, "busy")
	}
}

// A wave is late: a lasting task can't leave its VM, as every other has one of its
// step already. Cores are free, so no backlog shows; the pool is short of VMs.
func TestAPoolShortOfVMsDrawsThemWithCoresFree(t *testing.T) {
	moves := Decide([]Pool{
		{Name: "short", VMs: vms("s", 4, 4, time.Minute), Used: 8, MissingVMs: 1},
		{Name: "off", Parked: true, VMs: vms("p", 3, 3, 0)},
	})
	assert.Equal(t, len(moves), 1)
	assert.Equal(t, moves[0].To, "short")
}

// VMs on their way count: without that each look at the same backlog would order
// as many again, and they would arrive after the burst.
func TestVMsOnTheirWayAreNotOrderedAgain(t *testing.T) {
	moves := Decide([]Pool{
		{Name: "busy", VMs: vms("b", 8, 0, 0), Used: 128, Backlog: 100, Incoming: vms("c", 7, 0, 0)},
		{Name: "off", Parked: true, VMs: vms("p", 8, 8, 0)},
	})
	assert.Equal(t, len(moves), 0)
}

// A pool that works off its own backlog gives nothing away, and no VM leaves that
// became empty a moment ago: the next step of a job is about to start on it.
func TestVMsInUseOrJustEmptyStay(t *testing.T) {
	moves := Decide([]Pool{
		{Name: "a", VMs: vms("a", 8, 0, 0), Used: 128, Backlog: 500},
		{Name: "b", VMs: vms("b", 8, 4, time.Minute), Used: 64, Backlog: 10},
		{Name: "c", VMs: vms("c", 8, 8, 10*time.Millisecond)},
	})
	assert.Equal(t, len(moves), 0)
}

// A quiet pool keeps what its next burst begins with; the rest is parked once it
// has been empty for several times the pauses between bursts.
func TestLongEmptyVMsAreParked(t *testing.T) {
	const stay = 5 // half of an equal split of twenty VMs over two pools
	pools := []Pool{
		{Name: "quiet", VMs: vms("q", 10, 10, parkAfter)},
		{Name: "fresh", VMs: vms("f", 10, 10, parkAfter-time.Millisecond)},
		{Name: "off", Parked: true},
	}
	moves := Decide(pools)
	assert.Equal(t, len(moves), 10-stay)
	for _, m := range moves {
		assert.Equal(t, m.From, "quiet")
		assert.Equal(t, m.To, "off")
	}
	pools[1].Backlog, pools[1].Used = 1000, 1000
	for _, m := range Decide(pools) {
		assert.Equal(t, m.To, "fresh", "while work waits nothing is parked")
	}
}

// labelled gives every VM the label.
func labelled(vms []VM, label string) []VM {
	for i := range vms {
		vms[i].Labels = []string{label}
	}
	return vms
}

// Callers wait for work that asks for a label while their pool has thirty idle VMs
// without it, and the other pools have none left to begin with: the pool counted
// as busy and gave nothing away. It draws VMs with the label, and the others go
// where any VM will do.
func TestABacklogForALabelDrawsVMsWithItAndKeepsNoOthers(t *testing.T) {
	moves := Decide([]Pool{
		{Name: "bound", VMs: vms("x", 30, 30, time.Minute), Backlog: 40, ByLabel: map[string]LabelDemand{"big": {Backlog: 40}}},
		{Name: "busy", VMs: vms("b", 4, 0, 0), Used: 64, Backlog: 80},
		{Name: "off", Parked: true, VMs: labelled(vms("p", 4, 4, 0), "big")},
	})
	to := make(map[string]int)
	for _, m := range moves {
		to[m.From+" to "+m.To]++
	}
	assert.DeepEqual(t, to, map[string]int{"off to bound": 3, "bound to busy": 6})
}

// The same with work for several labels: the parts of the backlog add up to all of it
// but for the last digit, and that digit kept thirty idle VMs in the pool.
func TestABacklogForLabelsAloneIsNoneForOthers(t *testing.T) {
	bound := map[string]LabelDemand{"x": {Backlog: 0.1}, "y": {Backlog: 0.2}, "z": {Backlog: 0.3}}
	p := Pool{Name: "bound", Backlog: 0.3 + 0.2 + 0.1 + 1e-16, ByLabel: bound}
	for range 20 { // maps are walked in any order
		assert.Equal(t, p.free(), 0.0)
	}
}

// Work for a label that no VM has waits for ever. It must neither draw VMs for ever
// nor keep idle ones from being parked.
func TestALackThatNothingCanEndMovesNothing(t *testing.T) {
	pools := []Pool{
		{Name: "bound", VMs: vms("x", 4, 4, time.Second), Backlog: 40, ByLabel: map[string]LabelDemand{"none": {Backlog: 40}}},
		{Name: "quiet", VMs: vms("q", 12, 12, time.Minute)},
		{Name: "off", Parked: true},
	}
	for _, m := range Decide(pools) {
		assert.Equal(t, m.To, "off")
		assert.Equal(t, m.From, "quiet")
	}
	assert.Assert(t, len(Decide(pools)) > 0)
}

// turn is one queue's burst: its core-seconds arrive evenly over it.
const (
	turnLength = 4 * time.Second
	turnWork   = 4 * 300.0 // core-seconds, for a pool of 128 cores
	tick       = 100 * time.Millisecond
	moveTime   = 1500 * time.Millisecond
)

// simulate plays bursts that go round four pools and returns the core-seconds
// done within the turns and the moves made.
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
	var under []arrival
	for now := time.Duration(0); now < 8*turnLength; now += tick {
		active := int(now/turnLength) % 4
		pools[active].Backlog += turnWork * tick.Seconds() / turnLength.Seconds()
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
		kept := under[:0]
		for _, a := range under {
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
				kept = append(kept, a)
			}
		}
		under = kept
		for _, m := range decide(pools) {
			moves++
			for i := range pools {
				for v := range pools[i].VMs {
					if pools[i].VMs[v].ID == m.VM {
						vm := pools[i].VMs[v]
						vm.EmptyFor = 0
						pools[i].VMs = append(pools[i].VMs[:v:v], pools[i].VMs[v+1:]...)
						under = append(under, arrival{at: now + moveTime, vm: vm, to: m.To})
						break
					}
				}
			}
		}
	}
	return done, moves
}

// Bursts of more than twice a pool's size go round: useful work within the turns
// against pools that keep their VMs.
func TestBurstsThatGoRoundAreServedByTheWholeFleet(t *testing.T) {
	fixed, _ := simulate(func([]Pool) []Move { return nil })
	moved, moves := simulate(Decide)
	t.Logf("core-seconds within the turns: fixed pools %.0f, moved %.0f (%d moves)", fixed, moved, moves)
	assert.Assert(t, moved > 1.25*fixed, "%.0f against %.0f", moved, fixed)
	assert.Assert(t, moves < 8*40, "more than one move of each VM a turn")
}

// Thirty-six VMs of forty-one stand parked as a burst begins, three are left in each pool:
// VMs on their way to be parked did not count, so each round kept fewer than the last.
func TestVMsOnTheirWayDoNotMakeTheSplitSmaller(t *testing.T) {
	pools := []Pool{
		{Name: "a", VMs: vms("a", 10, 10, parkAfter)},
		{Name: "b", VMs: vms("b", 10, 10, parkAfter)},
		{Name: "off", Parked: true},
	}
	for range 5 {
		for _, m := range Decide(pools) {
			for i := range pools {
				pools[i].VMs = slices.DeleteFunc(pools[i].VMs, func(vm VM) bool { return vm.ID == m.VM })
			}
			pools[2].Incoming = append(pools[2].Incoming, VM{ID: m.VM, Cores: 16})
		}
	}
	assert.Equal(t, len(pools[0].VMs), 5)
	assert.Equal(t, len(pools[1].VMs), 5)
}

// Callers of a burst wait for VMs that come as it is nearly over: they were drawn for the
// rate at which it began. It is drawn for as what it will be, from a rate alone and before
// any backlog has grown.
func TestABurstThatBeginsDrawsForWhatItWillBe(t *testing.T) {
	moves := Decide([]Pool{
		{Name: "busy", VMs: vms("b", 4, 0, 0), Used: 64, ArrivalRate: 100, Backlog: 1},
		{Name: "over", VMs: vms("o", 30, 30, time.Second)},
	})
	assert.Equal(t, len(moves), 15, "300 cores and a little, less the 64 there are")
}

// A pool that could use VMs for what it tries apart takes them from others that have a backlog, or
// none although they stand idle.
func TestSpareVMsAreLentWhileNobodyLacksAny(t *testing.T) {
	tries := Pool{Name: "tries", VMs: vms("t", 6, 1, time.Minute), SpareDemand: 3}
	idle := Pool{Name: "idle", VMs: vms("i", 8, 8, time.Second), SinceBacklog: time.Second}
	moves := Decide([]Pool{tries, idle})
	assert.Equal(t, len(moves), 2)
	for _, m := range moves {
		assert.Equal(t, m.From, "idle")
		assert.Equal(t, m.To, "tries")
	}
	busy := Pool{Name: "busy", VMs: vms("b", 4, 0, 0), Used: 64, Backlog: 200}
	for _, m := range Decide([]Pool{tries, idle, busy}) {
		assert.Equal(t, m.To, "busy")
	}
	assert.Equal(t, len(Decide([]Pool{tries, {Name: "kept", VMs: vms("k", 3, 3, time.Second)}})), 1, "what a pool keeps is not lent")
}

// A burst was more than the fleet bears. What is left of it, too late for its callers, kept the
// VMs that it had drawn until all was worked off, and jobs of other queues that could still have
// been in time waited as long.
func TestLeftoversOfABurstKeepNoVMsFromWorkThatIsStillOfUse(t *testing.T) {
	pools := []Pool{
		{Name: "burst", VMs: vms("b", 16, 6, time.Second), Used: 160, LateBacklog: 3000},
		{Name: "steady", VMs: vms("s", 4, 0, 0), Used: 64, Backlog: 50},
	}
	moves := Decide(pools)
	assert.Equal(t, len(moves), 4, "50 core-seconds within the goal are 56 cores")
	for _, m := range moves {
		assert.Equal(t, m.To, "steady")
	}
	pools[0].VMs = vms("b", 16, 0, 0)
	assert.Equal(t, len(Decide(pools)), 0)
}

// What is too late to be of use is worked off all the same once nothing else waits.
func TestLeftoversDrawVMsWhileNothingElseWaits(t *testing.T) {
	pools := []Pool{
		{Name: "burst", VMs: vms("b", 4, 0, 0), Used: 64, LateBacklog: 50, ByLabel: map[string]LabelDemand{"gpu": {LateBacklog: 20}}},
		{Name: "idle", VMs: vms("i", 8, 8, time.Second)},
	}
	moves := Decide(pools)
	assert.Equal(t, len(moves), 4)
}
