package placement

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/pumicestage/pumicestage/policy/model"
)

// TestMain fixes the seed of the random snapshots, so that every run gives the
// same result. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func worker(id string, cpu, mem int64) Worker {
	return Worker{ID: model.VMID(id), Zone: "z", Rack: model.RackName("r" + id), Pool: "batch", Capacity: model.Resources{MilliCPU: cpu, MemoryMB: mem}}
}

func request(id string, class model.Class, cpu, mem int64) Request {
	job := &model.Job{ID: model.JobID(id), Team: "a", Kind: "k", Class: class, Repeatable: true, Declared: model.Resources{MilliCPU: cpu, MemoryMB: mem}}
	return Request{Job: job, Size: job.Declared}
}

func withChange(r Request, change func(*Request)) Request {
	change(&r)
	return r
}

func running(id, vm string, class model.Class, cpu int64, change func(*model.Job)) Task {
	job := &model.Job{ID: model.JobID(id), Team: "a", Kind: "k", Class: class, Repeatable: true, Checkpoints: true}
	change(job)
	return Task{Job: job, VM: model.VMID(vm), Size: model.Resources{MilliCPU: cpu, MemoryMB: 100}}
}

func unchanged(*model.Job) {}

func TestPlaceChoosesWorker(t *testing.T) {
	equalWorkers := []Worker{worker("1", 8000, 8000), worker("2", 8000, 8000)}
	changed := func(i int, change func(*Worker)) []Worker {
		ws := append([]Worker(nil), equalWorkers...)
		change(&ws[i])
		return ws
	}
	job := request("j", model.ClassNormal, 1000, 1000)
	for _, tc := range []struct {
		name    string
		workers []Worker
		request Request
		running []Task
		want    model.VMID
	}{
		{name: "lowest ID among equals", workers: equalWorkers, request: job, want: "1"},
		{name: "the fuller worker, against fragmentation", request: job, want: "2",
			workers: changed(1, func(w *Worker) { w.Used = model.Resources{MilliCPU: 4000, MemoryMB: 4000} })},
		{name: "not a worker about to be maintained", workers: changed(0, func(w *Worker) { w.MaintenanceSoon = true }), request: job, want: "2"},
		{name: "not a closed worker", workers: changed(0, func(w *Worker) { w.ClosedReason = "leaving" }), request: job, want: "2"},
		{name: "not a worker that the job failed on", workers: equalWorkers, request: withChange(job, func(r *Request) { r.Avoid = []model.VMID{"1"} }), want: "2"},
		{name: "the worker that it last ran on", workers: equalWorkers, request: withChange(job, func(r *Request) { r.LastVM = "2" }), want: "2"},
		{name: "accelerators are kept for jobs that need them", request: job, want: "2",
			workers: changed(0, func(w *Worker) { w.Capacity.Accelerators = 4 })},
		{name: "another rack than tasks of the same kind, if declared", workers: equalWorkers, want: "2",
			request: withChange(job, func(r *Request) { r.Job = &model.Job{ID: "j", Team: "a", Kind: "k", SpreadByRack: true} }),
			running: []Task{running("o", "1", model.ClassNormal, 100, func(j *model.Job) { j.SpreadByRack = true })}},
		{name: "a probed worker takes a repeatable job", workers: changed(1, func(w *Worker) { w.Probe = true }), request: job, want: "2"},
		{name: "a probed worker takes no job that is not repeatable", workers: changed(1, func(w *Worker) { w.Probe = true }), want: "1",
			request: withChange(job, func(r *Request) { r.Job = &model.Job{ID: "j", Team: "a"} })},
		{name: "a probed worker takes no urgent job", workers: changed(1, func(w *Worker) { w.Probe = true }), want: "1",
			request: request("j", model.ClassUrgent, 1000, 1000)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			plan := MakePlan(Snapshot{Workers: tc.workers, Waiting: []Request{tc.request}, Running: tc.running, Weights: WeightsOf(model.Weights{})})
			assert.Equal(t, len(plan.Placements), 1)
			assert.Equal(t, plan.Placements[0].VM, tc.want)
		})
	}
}

func TestRefusalReason(t *testing.T) {
	full := worker("1", 8000, 8000)
	full.Used = full.Capacity
	closed := worker("2", 8000, 8000)
	closed.ClosedReason = "down"
	teams := []model.Team{{Name: "a", Guaranteed: model.Resources{MilliCPU: 2000, MemoryMB: 8000}}}
	nonRepeatable := func(r *Request) { j := *r.Job; j.Repeatable = false; r.Job = &j }
	for _, tc := range []struct {
		name       string
		workers    []Worker
		teams      []model.Team
		request    Request
		running    []Task
		permanent  bool
		constraint Constraint
		nearest    model.VMID
	}{
		{name: "too many processors", workers: []Worker{worker("1", 4000, 9000), worker("2", 6000, 9000)},
			request: request("j", 1, 8000, 100), permanent: true, constraint: ConstraintCPU, nearest: "2"},
		{name: "the scarcest dimension is named", workers: []Worker{worker("1", 4000, 1000)},
			request: request("j", 1, 5000, 9000), permanent: true, constraint: ConstraintMemory, nearest: "1"},
		{name: "no free capacity now", workers: []Worker{full, worker("3", 100, 100)}, request: request("j", 1, 1000, 1000), constraint: ConstraintFreeCapacity, nearest: "1"},
		{name: "closed now", workers: []Worker{closed}, request: request("j", 1, 1000, 1000), constraint: ConstraintWorkersClosed, nearest: "2"},
		{name: "failed everywhere", workers: []Worker{full}, request: withChange(request("j", 1, 1000, 1000), func(r *Request) { r.Avoid = []model.VMID{"1"} }),
			permanent: true, constraint: ConstraintFailures},
		{name: "over the guarantee and not repeatable", workers: []Worker{worker("1", 8000, 8000)}, teams: teams,
			request: withChange(request("j", 1, 2000, 100), nonRepeatable), running: []Task{running("o", "1", 1, 1000, unchanged)}, constraint: ConstraintQuota},
		{name: "larger than the guarantee and not repeatable", workers: []Worker{worker("1", 8000, 8000)}, teams: teams,
			request: withChange(request("j", 1, 3000, 100), nonRepeatable), permanent: true, constraint: ConstraintQuota},
		{name: "no worker at all", request: request("j", 1, 1, 1), permanent: true, constraint: ConstraintPool},
	} {
		t.Run(tc.name, func(t *testing.T) {
			plan := MakePlan(Snapshot{Workers: tc.workers, Waiting: []Request{tc.request}, Running: tc.running, Teams: tc.teams})
			assert.Equal(t, len(plan.Refused), 1, "%+v", plan)
			got := plan.Refused[0]
			assert.Equal(t, got.Permanent, tc.permanent, got.Detail)
			assert.Equal(t, got.Constraint, tc.constraint, got.Detail)
			assert.Equal(t, got.Nearest, tc.nearest, got.Detail)
			assert.Assert(t, got.Detail != "" && (got.Constraint != ConstraintWorkersClosed || strings.Contains(got.Detail, "2: down")), got.Detail)
		})
	}
}

func TestPreemptionVictims(t *testing.T) {
	teams := []model.Team{{Name: "a", Guaranteed: model.Resources{MilliCPU: 4000, MemoryMB: 9000}}, {Name: "b", Guaranteed: model.Resources{MilliCPU: 4000, MemoryMB: 9000}}}
	urgent := request("u", model.ClassUrgent, 4000, 100)
	teamBRequest := withChange(request("j", model.ClassNormal, 4000, 100), func(r *Request) { r.Job.Team = "b" })
	nonRepeatable := func(j *model.Job) { j.Repeatable = false }
	for _, tc := range []struct {
		name    string
		request Request
		running []Task
		teams   []model.Team
		want    []model.JobID
	}{
		{"urgent stops deferrable", urgent, []Task{running("d", "1", 0, 8000, unchanged)}, nil, []model.JobID{"d"}},
		{"urgent stops no normal work", urgent, []Task{running("n", "1", 1, 8000, unchanged)}, nil, nil},
		{"nothing stops what is not repeatable", urgent, []Task{running("d", "1", 0, 8000, nonRepeatable)}, nil, nil},
		{"a task with checkpoints is stopped first", urgent, []Task{running("a", "1", 0, 4000, func(j *model.Job) { j.Checkpoints = false }), running("b", "1", 0, 4000, unchanged)}, nil, []model.JobID{"b"}},
		{"a task that is already stopping is not stopped again", urgent, []Task{func() Task { r := running("d", "1", 0, 8000, unchanged); r.Stopping = true; return r }()}, nil, nil},
		{"a team gets its guaranteed share back", teamBRequest, []Task{running("x", "1", 1, 4000, unchanged), running("y", "1", 1, 4000, unchanged)}, teams, []model.JobID{"x"}},
		{"but not from tasks within the other team's guarantee", teamBRequest, []Task{running("x", "1", 1, 4000, unchanged), running("y", "1", 1, 4000, nonRepeatable)}, teams, []model.JobID{"x"}},
		{"a borrower preempts nothing", withChange(teamBRequest, func(r *Request) { r.Size.MilliCPU = 5000 }), []Task{running("x", "1", 1, 8000, unchanged)}, teams, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := worker("1", 8000, 8000)
			for _, r := range tc.running {
				w.Used = w.Used.Add(r.Size)
			}
			plan := MakePlan(Snapshot{Workers: []Worker{w}, Waiting: []Request{tc.request}, Running: tc.running, Teams: tc.teams})
			var got []model.JobID
			for _, d := range plan.Preemptions {
				got = append(got, d.Task)
			}
			assert.DeepEqual(t, got, tc.want)
			assert.Equal(t, len(plan.Placements), 0, "a job is placed only once the worker reports the capacity as free")
		})
	}
}

func TestUrgentBeforeOldDeferrable(t *testing.T) {
	old := withChange(request("old", model.ClassDeferrable, 8000, 100), func(r *Request) { r.Job.SubmittedAt = time.Unix(1, 0) })
	fresh := withChange(request("new", model.ClassUrgent, 8000, 100), func(r *Request) { r.Job.SubmittedAt = time.Unix(9, 0) })
	plan := MakePlan(Snapshot{Workers: []Worker{worker("1", 8000, 8000)}, Waiting: []Request{old, fresh}})
	assert.Equal(t, plan.Placements[0].Job, model.JobID("new"))
}

func TestOwnerBeforeBorrower(t *testing.T) {
	// Team a uses nothing, but its job is larger than its guarantee. Team b uses
	// part of its guarantee. The free worker must go to b: a job of a would be
	// preempted for it by the next plan.
	s := Snapshot{
		Workers: []Worker{worker("1", 2000, 2000), worker("2", 1000, 1000)},
		Teams:   []model.Team{{Name: "a", Guaranteed: model.Resources{MilliCPU: 1000, MemoryMB: 1000}}, {Name: "b", Guaranteed: model.Resources{MilliCPU: 4000, MemoryMB: 4000}}},
		Running: []Task{running("r", "2", 1, 1000, func(j *model.Job) { j.Team = "b" })},
		Waiting: []Request{request("borrower", 1, 2000, 100), withChange(request("owner", 1, 2000, 100), func(r *Request) { r.Job.Team = "b" })},
	}
	s.Workers[1].Used = model.Resources{MilliCPU: 1000, MemoryMB: 100}
	plan := MakePlan(s)
	assert.Equal(t, len(plan.Placements), 1)
	assert.Equal(t, plan.Placements[0].Job, model.JobID("owner"))
}

func TestFloodOfOneTeamDoesNotStarveOthers(t *testing.T) {
	s := Snapshot{Teams: []model.Team{{Name: "a", Guaranteed: model.Resources{MilliCPU: 1, MemoryMB: 1}}, {Name: "b", Guaranteed: model.Resources{MilliCPU: 1, MemoryMB: 1}}}}
	for i := range 10 {
		s.Workers = append(s.Workers, worker(fmt.Sprint(i), 1000, 1000))
	}
	for i := range 100 {
		s.Waiting = append(s.Waiting, request(fmt.Sprintf("a%03d", i), 1, 1000, 1000))
	}
	for i := range 10 {
		s.Waiting = append(s.Waiting, withChange(request(fmt.Sprintf("b%d", i), 1, 1000, 1000), func(r *Request) { r.Job.Team = "b"; r.Job.SubmittedAt = time.Unix(9, 0) }))
	}
	byTeam := make(map[byte]int)
	for _, p := range MakePlan(s).Placements {
		byTeam[p.Job[0]]++
	}
	assert.DeepEqual(t, byTeam, map[byte]int{'a': 5, 'b': 5})
}

// randomSnapshot returns a random snapshot that is only consistent in itself.
func randomSnapshot(t *rapid.T) Snapshot {
	var s Snapshot
	for i := range rapid.IntRange(0, 3).Draw(t, "teams") {
		s.Teams = append(s.Teams, model.Team{Name: model.TeamName(fmt.Sprint(i)), Guaranteed: randomSize(t, 12)})
	}
	for i := range rapid.IntRange(0, 8).Draw(t, "workers") {
		w := worker(fmt.Sprint(i), 8, 8)
		w.Capacity.Accelerators = rapid.Int64Range(0, 2).Draw(t, "accelerators")
		w.Zone = model.ZoneName(fmt.Sprint(i % 2))
		w.Probe = rapid.IntRange(0, 9).Draw(t, "probe") == 0
		if rapid.IntRange(0, 9).Draw(t, "closed") == 0 {
			w.ClosedReason = "closed"
		}
		s.Workers = append(s.Workers, w)
	}
	for i := range rapid.IntRange(0, 25).Draw(t, "jobs") {
		job := &model.Job{
			ID: model.JobID(fmt.Sprint(i)), Team: model.TeamName(fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "team"))),
			Kind: "k", Class: model.Class(rapid.IntRange(0, 2).Draw(t, "class")), Repeatable: rapid.Bool().Draw(t, "repeatable"),
			Checkpoints: rapid.Bool().Draw(t, "checkpoints"), SpreadByRack: rapid.Bool().Draw(t, "spread"),
		}
		size := randomSize(t, 5)
		if len(s.Workers) > 0 && rapid.Bool().Draw(t, "running") {
			w := &s.Workers[rapid.IntRange(0, len(s.Workers)-1).Draw(t, "vm")]
			if size.Fits(w.free()) {
				w.Used = w.Used.Add(size)
				s.Running = append(s.Running, Task{Job: job, VM: w.ID, Size: size})
				continue
			}
		}
		s.Waiting = append(s.Waiting, Request{Job: job, Size: size})
	}
	s.Weights = WeightsOf(model.Weights{})
	return s
}

func randomSize(t *rapid.T, maxUnits int64) model.Resources {
	return model.Resources{MilliCPU: rapid.Int64Range(1, maxUnits).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(1, maxUnits).Draw(t, "mem"), Accelerators: rapid.Int64Range(0, 1).Draw(t, "acc")}
}

func TestPlanInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := randomSnapshot(t)
		plan := MakePlan(s)
		assert.DeepEqual(t, plan, MakePlan(s))
		checkCapacity(t, s, plan)
		checkTeams(t, s, plan)
		assert.Equal(t, len(plan.Placements)+len(plan.Refused), len(s.Waiting), "each job is placed or refused")
		jobs := make(map[model.JobID]*model.Job)
		for _, r := range s.Running {
			jobs[r.Job.ID] = r.Job
		}
		for _, d := range plan.Preemptions {
			assert.Assert(t, jobs[d.Task].Repeatable, "work that is not repeatable is never stopped")
			assert.Assert(t, jobs[d.Task].Class != model.ClassUrgent)
		}
	})
}

// checkCapacity checks that running and placed tasks fit on their workers.
// Preempted tasks count, as they still run.
func checkCapacity(t *rapid.T, s Snapshot, plan Plan) {
	used := make(map[model.VMID]model.Resources)
	for _, r := range s.Running {
		used[r.VM] = used[r.VM].Add(r.Size)
	}
	for _, p := range plan.Placements {
		used[p.VM] = used[p.VM].Add(p.Size)
	}
	for _, w := range s.Workers {
		assert.Assert(t, used[w.ID].Fits(w.Capacity), "worker %s has %v, used %v", w.ID, w.Capacity, used[w.ID])
	}
}

// checkTeams checks that a plan lets a team exceed its guarantee only by jobs
// that can be preempted.
func checkTeams(t *rapid.T, s Snapshot, plan Plan) {
	if len(s.Teams) == 0 {
		return
	}
	share := make(map[model.TeamName]model.Resources)
	for _, team := range s.Teams {
		share[team.Name] = team.Guaranteed
	}
	nonRepeatable, newlyPlaced := make(map[model.TeamName]model.Resources), make(map[model.TeamName]bool)
	for _, r := range s.Running {
		if !r.Job.Repeatable {
			nonRepeatable[r.Job.Team] = nonRepeatable[r.Job.Team].Add(r.Size)
		}
	}
	for _, w := range s.Waiting {
		for _, p := range plan.Placements {
			if p.Job == w.Job.ID && !w.Job.Repeatable {
				nonRepeatable[w.Job.Team] = nonRepeatable[w.Job.Team].Add(p.Size)
				newlyPlaced[w.Job.Team] = true
			}
		}
	}
	for team := range newlyPlaced {
		assert.Assert(t, nonRepeatable[team].Fits(share[team]), "team %s borrowed capacity for jobs that can't be preempted", team)
	}
}
