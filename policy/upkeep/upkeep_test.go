package upkeep

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

func due(id string, tasks int) Candidate {
	return Candidate{VM: work.VM{ID: id, State: work.VMUp}, Tasks: tasks}
}

func input(left time.Duration, cs ...Candidate) Input {
	return Input{TimeLeft: left, TimePerVM: 5 * time.Second, MaxAtATime: 2, Due: cs}
}

func TestParkedAndEmptyVMsGoFirst(t *testing.T) {
	parked := due("parked", 0)
	parked.Parked = true
	d := Decide(input(time.Hour, due("used", 4), due("empty", 0), parked))
	assert.DeepEqual(t, d.Maintain, []string{"parked", "empty"})
	assert.Equal(t, len(d.Drain), 0)
}

// A pool in the middle of a burst keeps its VMs while there is time, and gives
// them up when the wave would be late.
func TestABurstHoldsAWaveUpOnlyWhileThereIsTime(t *testing.T) {
	busy := due("busy", 4)
	busy.Backlog = true
	assert.Equal(t, len(Decide(input(time.Hour, busy)).Drain), 0)
	assert.DeepEqual(t, Decide(input(6*time.Second, busy)).Drain, []string{"busy"})
}

// A wave is late: a step bears one of its lasting tasks away at a time, a dozen are
// on VMs of the wave, and emptying began when the burst was over. These VMs begin at
// once, after those that are empty. Where two or three are, they wait for the burst to
// pass: the VM would be missed in it.
func TestVMsWithLastingTasksAreEmptiedFromTheStartWhereTheyTakeLong(t *testing.T) {
	lasting := due("lasting", 3)
	lasting.Backlog, lasting.LongRunning, lasting.SerialMoveTime = true, 2, 30*time.Second
	short := due("short", 3)
	short.Backlog, short.SerialMoveTime = true, lasting.SerialMoveTime
	d := Decide(input(27*time.Second, short, lasting, due("empty", 0)))
	assert.DeepEqual(t, d.Maintain, []string{"empty"})
	assert.DeepEqual(t, d.Drain, []string{"lasting"})
	lasting.SerialMoveTime = 7500 * time.Millisecond
	assert.Equal(t, len(Decide(input(27*time.Second, lasting)).Drain), 0)
	assert.DeepEqual(t, Decide(input(14*time.Second, lasting)).Drain, []string{"lasting"})
}

// VMs that are away, or may be, count against the limit: an order without an
// answer may yet be carried out.
func TestNoMoreThanTheLimitAreAway(t *testing.T) {
	in := input(time.Hour, due("a", 0), due("b", 0))
	in.Unavailable = 1
	assert.Equal(t, len(Decide(in).Maintain), 1)
	in.Unavailable = 2
	assert.Equal(t, len(Decide(in).Maintain), 0)
}

// What runs on one VM stands still: the wave waits for it for ever.
func TestAVMThatDoesNotEmptyIsEvicted(t *testing.T) {
	stuck := due("stuck", 1)
	stuck.Cordoned, stuck.CordonedFor = true, evictAfter-time.Millisecond
	assert.Equal(t, len(Decide(input(time.Hour, stuck)).Evict), 0)
	stuck.CordonedFor = evictAfter
	assert.DeepEqual(t, Decide(input(time.Hour, stuck)).Evict, []string{"stuck"})
}

// A wave of forty VMs, four at a time, through pools that are busy three quarters
// of the time, ends in time and empties no VM early that could wait.
func TestAWaveThroughBusyPoolsEndsInTime(t *testing.T) {
	const each, total = 3 * time.Second, 60 * time.Second
	var vms []Candidate
	for i := range 40 {
		vms = append(vms, due(fmt.Sprintf("v%02d", i), 3))
	}
	back := make(map[string]time.Duration)
	now := time.Duration(0)
	for ; len(vms) > 0 && now < 2*total; now += 100 * time.Millisecond {
		busy := now%(4*time.Second) > time.Second
		in := Input{TimeLeft: total - now, TimePerVM: each, MaxAtATime: 4}
		for id, at := range back {
			if now < at {
				in.Unavailable++
			} else {
				delete(back, id)
			}
		}
		for i := range vms {
			vms[i].Backlog = busy
		}
		in.Due = vms
		d := Decide(in)
		for _, id := range d.Drain {
			for i := range vms {
				if vms[i].VM.ID == id {
					vms[i].Cordoned, vms[i].Tasks = true, max(0, vms[i].Tasks-1)
				}
			}
		}
		for _, id := range d.Maintain {
			back[id] = now + 2*time.Second
			for i := range vms {
				if vms[i].VM.ID == id {
					vms = append(vms[:i], vms[i+1:]...)
					break
				}
			}
		}
	}
	assert.Assert(t, now <= total, "took %s", now)
}
