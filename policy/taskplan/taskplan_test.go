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

func on(ps []Placement) []string {
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
	needs := spec(1000)
	needs.Requires = "gpu"
	near := spec(1000)
	near.DataRack = "r7"
	apart := spec(1000)
	apart.AntiAffinity = 1
	dueSoon := worker("a", 1000)
	dueSoon.MaintenanceDue, dueSoon.LongRunning = true, 3
	lasting := spec(1000)
	lasting.LongRunning = true
	sought := worker("a", 1000)
	sought.LabelInDemand = true
	ticketed := step("j", 2, spec(1000))
	ticketed.Permitted = map[work.WorkerID]bool{"b": true}

	for _, c := range []struct {
		name    string
		workers []*Worker
		steps   []*Step
		want    []string
	}{
		{"short tasks go where least is left, so that VMs become empty", []*Worker{worker("a", 8000), worker("b", 3000)}, []*Step{step("j", 1, spec(1000))}, []string{"j>b"}},
		{"lasting tasks keep off VMs whose maintenance is to come", []*Worker{dueSoon, worker("b", 8000)}, []*Step{step("j", 1, lasting)}, []string{"j>b"}},
		{"short ones do not", []*Worker{dueSoon, worker("b", 8000)}, []*Step{step("j", 1, spec(1000))}, []string{"j>a"}},
		{"work without a label keeps off VMs whose label is sought", []*Worker{sought, worker("b", 8000)}, []*Step{step("j", 1, spec(1000))}, []string{"j>b"}},
		{"what does not fit lets later steps pass", []*Worker{worker("a", 2000)}, []*Step{step("big", 1, spec(4000)), step("small", 1, spec(1000))}, []string{"small>a"}},
		{"closed workers get nothing", []*Worker{closed, worker("b", 8000)}, []*Step{step("j", 1, spec(1000))}, []string{"j>b"}},
		{"a worker on probation gets one", []*Worker{limited}, []*Step{step("j", 3, spec(1000))}, []string{"j>a"}},
		{"a label is needed", []*Worker{worker("a", 1000), labelled}, []*Step{step("j", 1, needs)}, []string{"j>b"}},
		{"data is near where it can be", []*Worker{worker("a", 1000), labelled}, []*Step{step("j", 1, near)}, []string{"j>b"}},
		{"no more of a step than anti-affinity allows", []*Worker{worker("a", 8000), worker("b", 8000)}, []*Step{step("j", 3, apart)}, []string{"j>a", "j>b"}},
		{"only where the advisor permits", []*Worker{worker("a", 1000), worker("b", 8000)}, []*Step{ticketed}, []string{"j>b", "j>b"}},
		{"not again where it failed", []*Worker{worker("a", 1000), worker("b", 8000)}, []*Step{failed}, []string{"j>b"}},
		{"slow workers last", []*Worker{slow, worker("b", 8000)}, []*Step{step("j", 1, spec(1000))}, []string{"j>b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.DeepEqual(t, on(Plan(c.workers, c.steps)), c.want)
		})
	}
}

// Members of a gang hold room and do no work until all are there: all or none.
func TestAGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	gang := spec(4000)
	gang.Gang = true
	workers := []*Worker{worker("a", 8000), worker("b", 4000)}
	assert.Equal(t, len(Plan(workers, []*Step{step("g", 4, gang)})), 0)
	assert.Equal(t, workers[0].Free.MilliCPU, int64(8000), "room taken for it is given back")
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

// A serving task's tail latency goes up beside fill tasks, so they are kept
// apart while there is another place.
func TestFillAndServingTasksAreKeptApart(t *testing.T) {
	serving := spec(1000)
	serving.LongRunning, serving.TargetTail = true, 1
	fill := spec(6000)
	fill.BestEffort = true
	a, b := worker("a", 8000), worker("b", 8000)
	placed := on(Plan([]*Worker{a, b}, []*Step{step("s", 1, serving), step("f", 2, fill)}))
	assert.DeepEqual(t, placed, []string{"s>a", "f>b", "f>b"})
}

// Lasting tasks share VMs with others that last: one on each VM would leave none
// that can be maintained or moved without moving them.
func TestLastingTasksShareVMs(t *testing.T) {
	lasting := spec(1000)
	lasting.LongRunning = true
	a, b := worker("a", 8000), worker("b", 6000)
	a.LongRunning = 2
	assert.DeepEqual(t, on(Plan([]*Worker{a, b}, []*Step{step("s", 2, lasting)})), []string{"s>a", "s>a"})
}

// The operator asks why a job does not run and is told what binds.
func TestBindingNamesWhatKeepsAStepFromEachWorker(t *testing.T) {
	closed := worker("a", 8000)
	closed.Closed = true
	needs := spec(1000)
	needs.Requires = "gpu"
	got := CountRejections([]*Worker{closed, worker("b", 100), worker("c", 8000)}, step("j", 1, needs))
	assert.DeepEqual(t, got, map[Reason]int{ReasonClosed: 1, ReasonCapacity: 1, ReasonLabel: 1})
}

// Sound work is lost again and again with a task that crashes its workers: it is placed beside
// it, or it beside as much as fits.
func TestASuspectIsPlacedApart(t *testing.T) {
	full, empty := worker("a", 3000), worker("b", 8000)
	full.Tasks = 3
	bad := step("bad", 1, spec(1000))
	bad.Tasks[0].Suspect = true
	got := on(Plan([]*Worker{full, empty}, []*Step{bad, step("sound", 3, spec(1000))}))
	assert.DeepEqual(t, got, []string{"bad>b", "sound>a", "sound>a", "sound>a"})

	alone := worker("a", 8000)
	two := step("bad", 2, spec(1000))
	two.Tasks[0].Suspect, two.Tasks[1].Suspect = true, true
	assert.DeepEqual(t, on(Plan([]*Worker{alone}, []*Step{two, step("sound", 1, spec(1000))})), []string{"bad>a", "bad>a"})

	other, first := step("other", 1, spec(1000)), step("bad", 1, spec(1000))
	other.Tasks[0].Suspect, first.Tasks[0].Suspect = true, true
	assert.DeepEqual(t, on(Plan([]*Worker{worker("a", 8000)}, []*Step{first, other})), []string{"bad>a"})

	gang := spec(1000)
	gang.Gang = true
	members := step("gang", 2, gang)
	members.Tasks[0].Suspect = true
	assert.DeepEqual(t, on(Plan([]*Worker{worker("a", 8000)}, []*Step{members, step("sound", 1, spec(1000))})), []string{"gang>a", "gang>a"})
}

// Suspects take a whole pool down: each is placed on a worker of its own.
func TestSuspectsArePlacedOnSoManyWorkersAtATime(t *testing.T) {
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
	assert.DeepEqual(t, on(got), []string{"x>a", "x>b", "y>b", "z>b"})
}

// Lasting work goes down with short work of a kind that crashes many workers.
func TestHazardousWorkKeepsAwayFromLastingWork(t *testing.T) {
	a, b := worker("a", 3000), worker("b", 8000)
	a.LongRunning, a.Tasks = 1, 1
	s := step("s", 2, spec(1000))
	s.Hazardous = true
	assert.DeepEqual(t, on(Plan([]*Worker{a, b}, []*Step{s})), []string{"s>b", "s>b"})
}
