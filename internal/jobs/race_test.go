package jobs

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/standin"
	"github.com/pumicestage/pumicestage/policy/model"
)

// raceSimulation simulates entry VMs that place jobs concurrently. Before each
// write and each start, another entry VM may do a whole pass, time may pass, a
// worker may fail or recover, a job may be cancelled, and replies and requests may
// be lost.
type raceSimulation struct {
	*testCluster
	rng           *rand.Rand
	inPass        map[*testEntry]bool
	ids           []model.JobID
	nonRepeatable map[model.JobID]bool // whether a job is not repeatable
	depth         int
	faultsOff     bool // no more faults are injected
}

// maxNesting bounds how many passes may be nested in each other.
const maxNesting = 2

func (s *raceSimulation) chance(percent int) bool { return !s.faultsOff && s.rng.IntN(100) < percent }

func (s *raceSimulation) installHooks(n *testEntry) {
	n.store.BeforeWrite(func(string, infra.Txn) { s.interleave(n) })
	n.machines.before = func(infra.Task) { s.interleave(n) }
}

// interleave simulates what happens while n waits for the store or the platform. At
// random, time passes, another entry VM does a pass, a job is cancelled, replies and
// requests of n are lost, and a worker fails or recovers.
func (s *raceSimulation) interleave(n *testEntry) {
	if s.faultsOff || s.depth > maxNesting {
		return
	}
	s.depth++
	defer func() { s.depth-- }()
	if s.chance(10) {
		s.clock.Advance([]time.Duration{time.Second, maxIntentAge + time.Second, startGrace, taskTTL + time.Second}[s.rng.IntN(4)])
	}
	if s.chance(20) {
		s.stepOne(s.entries[s.rng.IntN(len(s.entries))])
	}
	if s.chance(8) && len(s.ids) > 0 {
		id := s.ids[s.rng.IntN(len(s.ids))]
		_, _ = s.entries[s.rng.IntN(len(s.entries))].Cancel(s.ctx(), model.ChangeID(fmt.Sprint("cancel-", id)), "", []model.JobID{id})
	}
	if s.chance(6) {
		n.store.LoseReplies(1)
	}
	if s.chance(4) {
		n.store.LoseRequests(1)
	}
	s.injectMachineFaults(n)
}

func (s *raceSimulation) injectMachineFaults(n *testEntry) {
	n.machines.mu.Lock()
	if s.chance(8) {
		n.machines.loseReplies = 1 + s.rng.IntN(maxStartTries)
	}
	if s.chance(4) {
		n.machines.loseRequests = 1 + s.rng.IntN(maxStartTries)
	}
	n.machines.mu.Unlock()
	vm := model.VMID(fmt.Sprintf("v%04d", s.rng.IntN(len(s.snap.VMs))))
	if s.chance(2) {
		s.platform.Machines.Fail(vm)
	} else if s.chance(10) {
		s.platform.Machines.Recover(vm)
	}
}

// stepOne does a pass on an entry VM unless it is in the middle of one.
func (s *raceSimulation) stepOne(n *testEntry) {
	if s.inPass[n] {
		return
	}
	s.inPass[n] = true
	defer delete(s.inPass, n)
	_ = n.Step(s.ctx()) // lost replies and conflicts are expected
	s.checkInvariants()
}

// checkInvariants checks what must hold at any time: no worker runs more than its
// capacity, and no job that is not repeatable is started twice.
func (s *raceSimulation) checkInvariants() {
	s.t.Helper()
	tasks, err := s.platform.Machines.Tasks(s.ctx())
	assert.NilError(s.t, err)
	used := make(map[model.VMID]model.Resources)
	for _, task := range tasks {
		if task.State == infra.TaskRunning {
			used[task.VM] = used[task.VM].Add(task.Size)
		}
	}
	for vm, u := range used {
		assert.Assert(s.t, u.Fits(s.snap.VMs[vm].Capacity), "VM %s runs more than it has", vm)
	}
	starts := s.platform.Machines.Tally().Starts
	for id, nonRepeatable := range s.nonRepeatable {
		if !nonRepeatable {
			continue
		}
		assert.Assert(s.t, starts[id] <= 1, "job %s is not repeatable and was started %d times", id, starts[id])
	}
}

func TestConcurrentPlacers(t *testing.T) {
	// Three entry VMs place the same jobs concurrently while the platform loses
	// replies, workers fail and operators cancel jobs. No job that is not
	// repeatable may be started twice, and no worker may run more than its
	// capacity. After the faults, every job must have ended or be in state
	// Unknown: none is lost and no task runs without a record.
	for seed := range uint64(20) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := &raceSimulation{testCluster: newTestCluster(t, 6, 3), rng: rand.New(rand.NewPCG(seed, 7)), inPass: make(map[*testEntry]bool), nonRepeatable: make(map[model.JobID]bool)}
			for _, n := range s.entries {
				n.parallel = 1
				s.installHooks(n)
			}
			for round := range 12 {
				if round%3 == 0 {
					s.submitMix()
				}
				s.clock.Advance(time.Second)
				for _, n := range s.entries {
					s.stepOne(n)
				}
			}
			s.endFaults()
			s.checkFinalState()
		})
	}
}

func (s *raceSimulation) submitMix() {
	for range 4 {
		all := []model.Job{nonRepeatableJob(), smallJob(), nonRepeatableJob()}
		all[0].Class = model.ClassUrgent
		all[1].Class, all[1].Checkpoints = model.ClassDeferrable, true
		change := model.ChangeID(fmt.Sprint("c", len(s.ids)))
		for i := range all {
			id := jobID(change, i)
			s.behave(id, standin.Behaviour{RunTime: time.Duration(1+s.rng.IntN(40)) * time.Second, Fails: s.rng.IntN(8) == 0})
			s.ids = append(s.ids, id)
			s.nonRepeatable[id] = !all[i].Repeatable
		}
		n := s.entries[s.rng.IntN(len(s.entries))]
		if s.chance(30) {
			n.store.LoseReplies(1)
		}
		s.depth = maxNesting + 1 // disables interleave: Submit writes in another goroutine
		_, err := n.Submit(s.ctx(), change, all)
		s.depth = 0
		assert.NilError(s.t, err)
	}
}

func (s *raceSimulation) endFaults() {
	s.faultsOff = true
	for _, n := range s.entries {
		n.store.LoseReplies(0)
		n.store.LoseRequests(0)
		n.machines.loseReplies, n.machines.loseRequests = 0, 0
	}
	for vm := range s.snap.VMs {
		s.platform.Machines.Recover(vm)
	}
	for range 48 {
		s.clock.Advance(5 * time.Second)
		s.step()
	}
}

// checkFinalState checks what must hold after the faults: every job is recorded
// and has ended or is in state Unknown, and every running task belongs to the
// current attempt of a running job.
func (s *raceSimulation) checkFinalState() {
	s.checkInvariants()
	all, err := s.entries[0].List(s.ctx())
	assert.NilError(s.t, err)
	known := make(map[model.JobID]Record)
	for _, r := range all {
		known[r.ID] = r
	}
	finished := s.platform.Machines.Tally().Finished
	for _, id := range s.ids {
		r, ok := known[id]
		assert.Assert(s.t, ok, "job %s is lost", id)
		assert.Assert(s.t, r.State.Ended() || r.State == Unknown && !r.Repeatable, "job %s is %s: %v", id, r.State, r.History)
		if r.State == Succeeded {
			assert.Assert(s.t, finished[id] > 0, "job %s is called succeeded and never finished", id)
		}
	}
	tasks, err := s.platform.Machines.Tasks(s.ctx())
	assert.NilError(s.t, err)
	for _, task := range tasks {
		r := known[task.Job]
		assert.Assert(s.t, task.State != infra.TaskRunning || r.State == Running && r.Attempt == task.Attempt, "task %s runs without a record", task.Attempt)
	}
}
