package upkeep

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

func candidate(id string, tasks int) Candidate {
	return Candidate{VM: work.VM{ID: id, State: work.VMUp}, Tasks: tasks}
}

func input(left time.Duration, cs ...Candidate) Input {
	return Input{TimeLeft: left, TimePerVM: 5 * time.Second, MaxAtATime: 2, Remaining: cs}
}

func TestParkedAndEmptyVMsGoFirst(t *testing.T) {
	parked := candidate("parked", 0)
	parked.Parked = true
	d := Decide(input(time.Hour, candidate("used", 4), candidate("empty", 0), parked))
	assert.DeepEqual(t, d.Maintain, []string{"parked", "empty"})
	assert.Equal(t, len(d.Drain), 0)
}

// A pool in the middle of a burst keeps its VMs while there is time, and gives them
// up when the wave would otherwise be late.
func TestBurstDelaysWaveOnlyWhileTimeRemains(t *testing.T) {
	busyVM := candidate("busy", 4)
	busyVM.Backlog = true
	assert.Equal(t, len(Decide(input(time.Hour, busyVM)).Drain), 0)
	assert.DeepEqual(t, Decide(input(6*time.Second, busyVM)).Drain, []string{"busy"})
}

// Guards against a wave that misses its deadline. The tasks of a step of a job move one
// after the other if they are long-running. With a dozen of them on VMs of the wave, it
// is too late to begin draining when the burst of jobs in the VMs' pool has ended, so
// such VMs are drained at once, after the empty ones. With two or three tasks, draining
// waits for the end of the burst, in which the pool needs the VMs.
func TestVMsWithSlowMovesDrainFromTheStart(t *testing.T) {
	longRunning := candidate("long-running", 3)
	longRunning.Backlog, longRunning.LongRunning, longRunning.SerialMoveTime = true, 2, 30*time.Second
	short := candidate("short", 3)
	short.Backlog, short.SerialMoveTime = true, longRunning.SerialMoveTime
	d := Decide(input(27*time.Second, short, longRunning, candidate("empty", 0)))
	assert.DeepEqual(t, d.Maintain, []string{"empty"})
	assert.DeepEqual(t, d.Drain, []string{"long-running"})
	longRunning.SerialMoveTime = 7500 * time.Millisecond
	assert.Equal(t, len(Decide(input(27*time.Second, longRunning)).Drain), 0)
	assert.DeepEqual(t, Decide(input(14*time.Second, longRunning)).Drain, []string{"long-running"})
}

// VMs that are or may be unavailable count against the limit: an order without an
// answer may still be carried out.
func TestUnavailableVMsCountAgainstTheLimit(t *testing.T) {
	in := input(time.Hour, candidate("a", 0), candidate("b", 0))
	in.Unavailable = 1
	assert.Equal(t, len(Decide(in).Maintain), 1)
	in.Unavailable = 2
	assert.Equal(t, len(Decide(in).Maintain), 0)
}

// Guards against a wave that never ends, as the task on one of its VMs is stalled.
func TestVMThatDoesNotDrainIsEvicted(t *testing.T) {
	stuck := candidate("stuck", 1)
	stuck.Cordoned, stuck.CordonedFor = true, evictAfter-time.Millisecond
	assert.Equal(t, len(Decide(input(time.Hour, stuck)).Evict), 0)
	stuck.CordonedFor = evictAfter
	assert.DeepEqual(t, Decide(input(time.Hour, stuck)).Evict, []string{"stuck"})
}

// A wave of forty VMs, four at a time, through pools that are busy three quarters of
// the time must end in time.
func TestAWaveThroughBusyPoolsEndsInTime(t *testing.T) {
	const each, total = 3 * time.Second, 60 * time.Second
	var vms []Candidate
	for i := range 40 {
		vms = append(vms, candidate(fmt.Sprintf("v%02d", i), 3))
	}
	returnsAt := make(map[string]time.Duration)
	now := time.Duration(0)
	for ; len(vms) > 0 && now < 2*total; now += 100 * time.Millisecond {
		busyPhase := now%(4*time.Second) > time.Second
		in := Input{TimeLeft: total - now, TimePerVM: each, MaxAtATime: 4}
		for id, at := range returnsAt {
			if now < at {
				in.Unavailable++
			} else {
				delete(returnsAt, id)
			}
		}
		for i := range vms {
			vms[i].Backlog = busyPhase
		}
		in.Remaining = vms
		d := Decide(in)
		for _, id := range d.Drain {
			for i := range vms {
				if vms[i].VM.ID == id {
					vms[i].Cordoned, vms[i].Tasks = true, max(0, vms[i].Tasks-1)
				}
			}
		}
		for _, id := range d.Maintain {
			returnsAt[id] = now + 2*time.Second
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

// Guards against a wave that stands still, as a VM that can't be emptied takes the place of another.
func TestAPostponedVMTakesNoPlace(t *testing.T) {
	postponed := candidate("postponed", 1)
	postponed.Postponed, postponed.Cordoned = true, true
	in := input(time.Second, postponed, candidate("other", 2))
	in.MaxAtATime = 1
	d := Decide(in)
	assert.DeepEqual(t, d.Drain, []string{"other"})
	assert.Equal(t, len(d.Maintain), 0)
}
