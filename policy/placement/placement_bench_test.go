package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// The benchmark fleet has 3,600 workers, four to a rack, in six zones; a tenth
// of them have accelerators.
const (
	benchWorkers = 3600
	benchJobs    = 20000
)

func benchFleet(n int) []Worker {
	out := make([]Worker, n)
	for i := range out {
		out[i] = Worker{
			ID: model.VMID(fmt.Sprintf("v%04d", i)), Rack: model.RackName(fmt.Sprintf("r%03d", i/4)),
			Zone: model.ZoneName(fmt.Sprintf("z%d", i/4%6)), Pool: "batch",
			Capacity: model.Resources{MilliCPU: 32000, MemoryMB: 65536},
		}
		if i%10 == 0 {
			out[i].Capacity.Accelerators = 4
		}
	}
	return out
}

// benchQueue returns many small jobs, some that take half a worker and a few that
// take nearly a whole one, heavy in processors or in memory. The large ones fit
// only if free capacity is not fragmented.
func benchQueue(rng *rand.Rand, n int) []Request {
	shapes := []struct {
		share int
		size  model.Resources
	}{
		{45, model.Resources{MilliCPU: 2000, MemoryMB: 2048}},
		{20, model.Resources{MilliCPU: 4000, MemoryMB: 12288}},
		{15, model.Resources{MilliCPU: 8000, MemoryMB: 8192}},
		{10, model.Resources{MilliCPU: 16000, MemoryMB: 40960}},
		{5, model.Resources{MilliCPU: 28000, MemoryMB: 49152}},
		{5, model.Resources{MilliCPU: 4000, MemoryMB: 8192, Accelerators: 2}},
	}
	out := make([]Request, n)
	for i := range out {
		pick, s := rng.IntN(100), 0
		for pick >= shapes[s].share {
			pick -= shapes[s].share
			s++
		}
		job := &model.Job{
			ID: model.JobID(fmt.Sprintf("j%05d", i)), Team: model.TeamName(fmt.Sprintf("t%02d", rng.IntN(82))),
			Kind: fmt.Sprintf("k%d", s), Class: model.ClassNormal, Repeatable: true, Checkpoints: s%2 == 0,
			SubmittedAt: time.Unix(int64(i), 0), Declared: shapes[s].size,
		}
		if rng.IntN(3) == 0 {
			job.Class = model.ClassDeferrable
		}
		out[i] = Request{Job: job, Size: job.Declared}
	}
	return out
}

// placer assigns a batch of requests to workers: MakePlan or a baseline.
type placer func(workers []Worker, waiting []Request, rng *rand.Rand) []Placement

func byPlan(workers []Worker, waiting []Request, _ *rand.Rand) []Placement {
	return MakePlan(Snapshot{Workers: workers, Waiting: waiting, Weights: WeightsOf(model.Weights{})}).Placements
}

func firstFit(workers []Worker, waiting []Request, _ *rand.Rand) []Placement {
	workers = append([]Worker(nil), workers...)
	var out []Placement
	for i := range waiting {
		for w := range workers {
			if feasible(&waiting[i], &workers[w]) {
				out = append(out, assign(&workers[w], &waiting[i]))
				break
			}
		}
	}
	return out
}

// randomFit tries as many random workers for a job as MakePlan scores.
func randomFit(workers []Worker, waiting []Request, rng *rand.Rand) []Placement {
	workers = append([]Worker(nil), workers...)
	var out []Placement
	for i := range waiting {
		for range maxCandidates {
			w := &workers[rng.IntN(len(workers))]
			if feasible(&waiting[i], w) {
				out = append(out, assign(w, &waiting[i]))
				break
			}
		}
	}
	return out
}

func assign(w *Worker, r *Request) Placement {
	w.Used = w.Used.Add(r.Size)
	return Placement{Job: r.Job.ID, VM: w.ID, Size: r.Size}
}

var placers = []struct {
	name  string
	place placer
}{{"plan", byPlan}, {"first-fit", firstFit}, {"random", randomFit}}

// BenchmarkFullPass measures one pass over 20,000 waiting jobs on an empty fleet.
func BenchmarkFullPass(b *testing.B) {
	for _, p := range placers {
		b.Run(p.name, func(b *testing.B) {
			rng := rand.New(rand.NewPCG(1, 2))
			workers, queue := benchFleet(benchWorkers), benchQueue(rng, benchJobs)
			for b.Loop() {
				p.place(workers, queue, rng)
			}
		})
	}
}

// BenchmarkUrgent measures a pass that places one urgent job on a full fleet,
// with that job alone and with 20,000 other jobs waiting.
func BenchmarkUrgent(b *testing.B) {
	s := fullFleet(benchWorkers)
	for t := range 82 {
		s.Teams = append(s.Teams, model.Team{Name: model.TeamName(fmt.Sprintf("t%02d", t)), Guaranteed: model.Resources{MilliCPU: 1400000, MemoryMB: 2800000, Accelerators: 17}})
	}
	urgent := Request{Size: model.Resources{MilliCPU: 16000, MemoryMB: 32768}, Job: &model.Job{
		ID: "urgent", Team: "t01", Kind: "quote", Class: model.ClassUrgent, Repeatable: true,
	}}
	waiting := s.Waiting
	for _, c := range []struct {
		name    string
		waiting []Request
	}{{"alone", []Request{urgent}}, {"with-all-waiting", append(append([]Request(nil), waiting...), urgent)}} {
		b.Run(c.name, func(b *testing.B) {
			s.Waiting = c.waiting
			for b.Loop() {
				plan := MakePlan(s)
				if len(plan.Preemptions) == 0 {
					b.Fatal("the urgent job preempted nothing")
				}
			}
		})
	}
}

// fullFleet returns a fleet after a first pass over 20,000 jobs, with another
// 20,000 waiting.
func fullFleet(workers int) Snapshot {
	rng := rand.New(rand.NewPCG(3, 4))
	queue := benchQueue(rng, benchJobs)
	byID := make(map[model.JobID]*model.Job, len(queue))
	for _, r := range queue {
		byID[r.Job.ID] = r.Job
	}
	s := Snapshot{Workers: benchFleet(workers), Waiting: queue, Weights: WeightsOf(model.Weights{})}
	for _, p := range MakePlan(s).Placements {
		i := int(indexOf(p.VM))
		s.Workers[i].Used = s.Workers[i].Used.Add(p.Size)
		s.Running = append(s.Running, Task{Job: byID[p.Job], VM: p.VM, Size: p.Size})
	}
	s.Waiting = benchQueue(rng, benchJobs)
	for i := range s.Waiting {
		s.Waiting[i].Job.ID = "w" + s.Waiting[i].Job.ID
	}
	return s
}

func indexOf(id model.VMID) (n int64) {
	_, _ = fmt.Sscanf(string(id), "v%d", &n)
	return n
}

// BenchmarkCapacity simulates rounds in which a tenth of the tasks end and new
// jobs refill the queue. It reports the percentages of processors and memory in
// use and of the large jobs that were placed.
func BenchmarkCapacity(b *testing.B) {
	for _, p := range placers {
		b.Run(p.name, func(b *testing.B) {
			for b.Loop() {
				cpu, mem, large := simulateRounds(p.place, 360, 2000, 30)
				b.ReportMetric(100*cpu, "cpu%")
				b.ReportMetric(100*mem, "mem%")
				b.ReportMetric(100*large, "large%")
			}
		})
	}
}

func simulateRounds(place placer, n, queueLen, rounds int) (cpu, mem, large float64) {
	rng := rand.New(rand.NewPCG(5, 6))
	workers := benchFleet(n)
	var running []Placement
	var waiting []Request
	var largeSeen, largePlaced, samples, next int
	for round := range rounds {
		fresh := benchQueue(rng, max(queueLen-len(waiting), 0))
		for i := range fresh {
			fresh[i].Job.ID = model.JobID(fmt.Sprintf("j%07d", next))
			fresh[i].Job.SubmittedAt = time.Unix(int64(next), 0)
			next++
			if isLarge(fresh[i].Size) {
				largeSeen++
			}
		}
		waiting = append(waiting, fresh...)
		placed := make(map[model.JobID]bool)
		for _, p := range place(workers, waiting, rng) {
			placed[p.Job] = true
			w := &workers[indexOf(p.VM)]
			w.Used = w.Used.Add(p.Size)
			running = append(running, p)
			if isLarge(p.Size) {
				largePlaced++
			}
		}
		var remaining []Request
		for _, r := range waiting {
			if !placed[r.Job.ID] {
				remaining = append(remaining, r)
			}
		}
		waiting = remaining
		if round >= rounds/3 {
			var used, all model.Resources
			for i := range workers {
				used, all = used.Add(workers[i].Used), all.Add(workers[i].Capacity)
			}
			cpu += share(used.MilliCPU, all.MilliCPU)
			mem += share(used.MemoryMB, all.MemoryMB)
			samples++
		}
		var stillRunning []Placement
		for _, t := range running {
			if rng.IntN(10) != 0 {
				stillRunning = append(stillRunning, t)
				continue
			}
			w := &workers[indexOf(t.VM)]
			w.Used = w.Used.Sub(t.Size)
		}
		running = stillRunning
	}
	return cpu / float64(samples), mem / float64(samples), float64(largePlaced) / float64(max(largeSeen, 1))
}

func isLarge(r model.Resources) bool { return r.MilliCPU >= 28000 }
