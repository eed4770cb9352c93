package taskplan

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

func worker(id string, free int64) *Worker {
	return &Worker{
		ID: work.WorkerID(id), Total: work.Resources{MilliCPU: 8000, MemoryMB: 8000},
		Free: work.Resources{MilliCPU: free, MemoryMB: 8000}, Limit: -1, Slowness: 1,
	}
}

func step(job string, tasks int, spec work.Step) *Step {
	s := &Step{Ref: work.StepRef{Job: work.JobID(job)}, Step: &spec, OnWorker: make(map[work.WorkerID]int)}
	for i := range tasks {
		s.Tasks = append(s.Tasks, Task{Index: i})
	}
	return s
}

func spec(cpu int64) work.Step {
	return work.Step{Size: work.Resources{MilliCPU: cpu, MemoryMB: 100}}
}

func placements(ps []Placement) []string {
	var out []string
	for _, p := range ps {
		out = append(out, string(p.Step.Ref.Job)+">"+string(p.Worker))
	}
	return out
}

func TestPlacementsByCase(t *testing.T) {
	labelled := worker("b", 8000)
	labelled.Labels = []string{"gpu", "r7"}
	closed := worker("a", 8000)
	closed.Closed = true
	limited := worker("a", 8000)
	limited.Limit = 1
	slow := worker("a", 2000)
	slow.Slowness = 6
	failed := step("j", 1, spec(1000))
	failed.Tasks[0].Avoid = []work.WorkerID{"a"}
	withLabel := spec(1000)
	withLabel.Requires = "gpu"
	withDataRack := spec(1000)
	withDataRack.DataRack = "r7"
	withAntiAffinity := spec(1000)
	withAntiAffinity.AntiAffinity = 1
	maintenanceDue := worker("a", 1000)
	maintenanceDue.MaintenanceDue, maintenanceDue.LongRunning = true, 3
	longRunning := spec(1000)
	longRunning.LongRunning = true
	inDemand := worker("a", 1000)
	inDemand.LabelInDemand = true
	ticketed := step("j", 2, spec(1000))
	ticketed.Permitted = map[work.WorkerID]bool{"b": true}

	for _, c := range []struct {
		name    string
		workers []*Worker
		steps   []*Step
		want    []string
	}{
		{"short tasks go where the least capacity is free, so that VMs become empty", []*Worker{worker("a", 8000), worker("b", 3000)}, []*Step{step("j", 1, spec(1000))}, []string{"j>b"}},
		{"long-running tasks avoid VMs whose maintenance is to come", []*Worker{maintenanceDue, worker("b", 8000)}, []*Step{step("j", 1, longRunning)}, []string{"j>b"}},
		{"short tasks don't avoid VMs whose maintenance is to come", []*Worker{maintenanceDue, worker("b", 8000)}, []*Step{step("j", 1, spec(1000))}, []string{"j>a"}},
		{"work that requires no label avoids VMs whose label is in demand", []*Worker{inDemand, worker("b", 8000)}, []*Step{step("j", 1, spec(1000))}, []string{"j>b"}},
		{"later steps are placed if an earlier one doesn't fit", []*Worker{worker("a", 2000)}, []*Step{step("big", 1, spec(4000)), step("small", 1, spec(1000))}, []string{"small>a"}},
		{"closed workers get nothing", []*Worker{closed, worker("b", 8000)}, []*Step{step("j", 1, spec(1000))}, []string{"j>b"}},
		{"a worker with a limit of one gets one task", []*Worker{limited}, []*Step{step("j", 3, spec(1000))}, []string{"j>a"}},
		{"a required label is respected", []*Worker{worker("a", 1000), labelled}, []*Step{step("j", 1, withLabel)}, []string{"j>b"}},
		{"the rack of the data is preferred", []*Worker{worker("a", 1000), labelled}, []*Step{step("j", 1, withDataRack)}, []string{"j>b"}},
		{"no more of a step than anti-affinity allows", []*Worker{worker("a", 8000), worker("b", 8000)}, []*Step{step("j", 3, withAntiAffinity)}, []string{"j>a", "j>b"}},
		{"only where the advisor permits", []*Worker{worker("a", 1000), worker("b", 8000)}, []*Step{ticketed}, []string{"j>b", "j>b"}},
		{"a worker where the task failed is avoided", []*Worker{worker("a", 1000), worker("b", 8000)}, []*Step{failed}, []string{"j>b"}},
		{"slow workers are avoided", []*Worker{slow, worker("b", 8000)}, []*Step{step("j", 1, spec(1000))}, []string{"j>b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.DeepEqual(t, placements(Plan(c.workers, c.steps)), c.want)
		})
	}
}

// Members of a gang that wait for the others hold capacity without making progress, so a gang
// is placed as a whole or not at all.
func TestAGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	gang := spec(4000)
	gang.Gang = true
	workers := []*Worker{worker("a", 8000), worker("b", 4000)}
	assert.Equal(t, len(Plan(workers, []*Step{step("g", 4, gang)})), 0)
	assert.Equal(t, workers[0].Free.MilliCPU, int64(8000), "capacity allocated to the gang is released")
	assert.Equal(t, len(Plan(workers, []*Step{step("g", 3, gang)})), 3)
}

func TestARackSensitiveGangGoesIntoOneRackWhereOneSuffices(t *testing.T) {
	gang := spec(4000)
	gang.Gang, gang.RackSensitive = true, true
	var workers []*Worker
	for i, rack := range []string{"r1", "r2", "r2"} {
		w := worker(fmt.Sprintf("w%d", i), 8000)
		w.Rack = rack
		workers = append(workers, w)
	}
	for _, p := range Plan(workers, []*Step{step("g", 4, gang)}) {
		assert.Assert(t, p.Worker != "w0")
	}
}

// The tail latency of a serving task rises beside best-effort tasks, so the two are kept apart
// while another worker has capacity.
func TestBestEffortAndServingTasksAreKeptApart(t *testing.T) {
	serving := spec(1000)
	serving.LongRunning, serving.TargetTail = true, 1
	bestEffort := spec(6000)
	bestEffort.BestEffort = true
	a, b := worker("a", 8000), worker("b", 8000)
	placed := placements(Plan([]*Worker{a, b}, []*Step{step("s", 1, serving), step("f", 2, bestEffort)}))
	assert.DeepEqual(t, placed, []string{"s>a", "f>b", "f>b"})
}

// Long-running tasks share VMs with other long-running ones: with one on each VM, none could be
// maintained or moved without moving them.
func TestLongRunningTasksShareVMs(t *testing.T) {
	longRunning := spec(1000)
	longRunning.LongRunning = true
	a, b := worker("a", 8000), worker("b", 6000)
	a.LongRunning = 2
	assert.DeepEqual(t, placements(Plan([]*Worker{a, b}, []*Step{step("s", 2, longRunning)})), []string{"s>a", "s>a"})
}

// Operators ask why a job doesn't run, and are shown the number of workers for each reason.
func TestCountRejectionsNamesWhatKeepsAStepFromEachWorker(t *testing.T) {
	closed := worker("a", 8000)
	closed.Closed = true
	withLabel := spec(1000)
	withLabel.Requires = "gpu"
	got := CountRejections([]*Worker{closed, worker("b", 100), worker("c", 8000)}, step("j", 1, withLabel))
	assert.DeepEqual(t, got, map[Reason]int{ReasonClosed: 1, ReasonCapacity: 1, ReasonLabel: 1})
}

// Sound tasks are lost each time a task beside them crashes their worker. This happens if they
// are placed beside a suspect, or if a suspect is placed beside more of them than necessary.
func TestASuspectIsPlacedApart(t *testing.T) {
	busy, empty := worker("a", 3000), worker("b", 8000)
	busy.Tasks = 3
	bad := step("bad", 1, spec(1000))
	bad.Tasks[0].Suspect = true
	got := placements(Plan([]*Worker{busy, empty}, []*Step{bad, step("sound", 3, spec(1000))}))
	assert.DeepEqual(t, got, []string{"bad>b", "sound>a", "sound>a", "sound>a"})

	alone := worker("a", 8000)
	two := step("bad", 2, spec(1000))
	two.Tasks[0].Suspect, two.Tasks[1].Suspect = true, true
	assert.DeepEqual(t, placements(Plan([]*Worker{alone}, []*Step{two, step("sound", 1, spec(1000))})), []string{"bad>a", "bad>a"})

	other, first := step("other", 1, spec(1000)), step("bad", 1, spec(1000))
	other.Tasks[0].Suspect, first.Tasks[0].Suspect = true, true
	assert.DeepEqual(t, placements(Plan([]*Worker{worker("a", 8000)}, []*Step{first, other})), []string{"bad>a"})

	gang := spec(1000)
	gang.Gang = true
	members := step("gang", 2, gang)
	members.Tasks[0].Suspect = true
	assert.DeepEqual(t, placements(Plan([]*Worker{worker("a", 8000)}, []*Step{members, step("sound", 1, spec(1000))})), []string{"gang>a", "gang>a"})
}

// Suspects could crash a whole pool at once if each was placed on a worker of its own.
func TestSuspectsArePlacedOnALimitedNumberOfWorkers(t *testing.T) {
	var steps []*Step
	for _, name := range []string{"x", "y", "z"} {
		s := step(name, 2, spec(1000))
		s.Tasks[0].Suspect = true
		steps = append(steps, s)
	}
	p := NewPlanner([]*Worker{worker("a", 8000), worker("b", 8000), worker("c", 8000)})
	p.TrialWorkersLeft = 1
	var got []Placement
	for _, s := range steps {
		got = append(got, p.Place(s)...)
	}
	assert.DeepEqual(t, placements(got), []string{"x>a", "x>b", "y>b", "z>b"})
}

// Long-running tasks are lost beside short tasks of a kind that crashes many workers.
func TestHazardousWorkIsKeptAwayFromLongRunningWork(t *testing.T) {
	a, b := worker("a", 3000), worker("b", 8000)
	a.LongRunning, a.Tasks = 1, 1
	s := step("s", 2, spec(1000))
	s.Hazardous = true
	assert.DeepEqual(t, placements(Plan([]*Worker{a, b}, []*Step{s})), []string{"s>b", "s>b"})
}

// Guards against a worker on trial that is closed again and again by tasks that fail anywhere,
// while others wait.
func TestTasksThatFailedBeforeGetNoTrialUnlessAllowed(t *testing.T) {
	w := worker("a", 8000)
	w.Limit = 1
	failed, sound := step("failed", 2, spec(1000)), step("sound", 1, spec(1000))
	failed.Tasks[0].Avoid = []work.WorkerID{"b"}
	p := NewPlanner([]*Worker{w})
	assert.Equal(t, len(p.Place(&Step{Ref: failed.Ref, Step: failed.Step, OnWorker: failed.OnWorker, Tasks: failed.Tasks[:1]})), 0)
	assert.DeepEqual(t, placements(p.Place(sound)), []string{"sound>a"})
	assert.Assert(t, !p.LimitsLeft())
	w.Limit = 1
	got := p.Place(failed)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Index, 1, "the task that has not failed")
	w.Limit, failed.RetryTrials = 1, true
	got = p.Place(failed)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Index, 0)
}

// Guards against gangs that can't be placed on workers on trial, as each member counts, and against
// members that are placed beside another trial.
func TestAGangCountsOnceAgainstALimit(t *testing.T) {
	gang := spec(1000)
	gang.Gang = true
	a, b := worker("a", 2000), worker("b", 8000)
	a.Limit, b.Limit = 1, 2
	p := NewPlanner([]*Worker{a, b})
	assert.Equal(t, len(p.Place(step("g1", 4, gang))), 4)
	assert.Equal(t, a.Limit, 0)
	assert.Equal(t, b.Limit, 1)
	assert.Equal(t, len(p.Place(step("g2", 9, gang))), 0, "too large")
	assert.Equal(t, b.Limit, 1)
	b.Limit = 0
	assert.Equal(t, len(p.Place(step("g3", 1, gang))), 0)
}

// Guards against an advisor that is asked about workers which can't take the step, or about fewer than
// its tasks need.
func TestCandidatesCouldTakeATaskIfTheyWerePermitted(t *testing.T) {
	closed, full, limited := worker("closed", 8000), worker("full", 500), worker("limited", 8000)
	closed.Closed, limited.Limit = true, 1
	one, other := worker("one", 2500), worker("other", 8000)
	s := step("j", 5, spec(1000))
	s.Permitted = map[work.WorkerID]bool{}
	s.Step.AntiAffinity = 3
	s.OnWorker["other"] = 1
	assert.DeepEqual(t, Candidates([]*Worker{other, closed, full, limited, one}, s), []Candidate{{"one", 2}, {"other", 2}, {"limited", 1}})

	one.Rack, other.Rack, limited.Rack = "r1", "r2", "r2"
	s.Step.RackSensitive = true
	assert.DeepEqual(t, Candidates([]*Worker{one, other, limited}, s), []Candidate{{"other", 2}, {"limited", 1}, {"one", 2}})
}

// Guards against a check whether a gang could be placed that takes capacity, or that counts each member
// alone.
func TestCanPlaceChecksTheWholeGangAndPlacesNothing(t *testing.T) {
	for members, can := range map[int]bool{3: true, 4: false} {
		gang := spec(4000)
		gang.Gang = true
		workers := []*Worker{worker("a", 8000), worker("b", 4000)}
		p := NewPlanner(workers)
		s := step("j", members, gang)
		for range 2 {
			assert.Equal(t, p.CanPlace(s), can, "%d members", members)
		}
		assert.Equal(t, workers[0].Free.MilliCPU+workers[1].Free.MilliCPU, int64(12000))
		assert.Equal(t, len(p.Place(s)) == members, can)
	}
}
