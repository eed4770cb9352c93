package jobs

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/standin"
	"github.com/pumicestage/pumicestage/policy/blame"
	"github.com/pumicestage/pumicestage/policy/model"
)

// load keeps a number of jobs waiting in a test cluster and counts their outcomes.
type load struct {
	*testCluster
	rng       *rand.Rand
	job       jobGenerator
	submitted int
	// afterPass is called after each reconciliation pass of an entry VM. Benchmarks
	// that compare with a run without failure history clear n.learned.Blame in it.
	afterPass func(n *testEntry)
}

// loadResult holds the results of a load.
type loadResult struct {
	usedCPU      float64 // mean share of the workers' processors used by tasks
	usedMemory   float64 // mean share of the workers' memory used by tasks
	excessCPU    float64 // processors demanded beyond the workers' capacity, as a share of that capacity
	failures     map[string]int
	states       map[State]int
	starts       int
	startedTwice int // jobs that are not repeatable and were started more than once
	missingJobs  int // submitted jobs without a record
}

// simulate runs the cluster for d and tops up the waiting jobs to the given number
// every 5 seconds. Usage is averaged over the second half.
func (l *load) simulate(d time.Duration, waiting int) loadResult {
	var out loadResult
	out.failures = make(map[string]int)
	out.states = make(map[State]int)
	seen := make(map[model.AttemptID]bool)
	behaviours := make(map[model.JobID]standin.Behaviour)
	samples := 0
	for second := range int(d / time.Second) {
		if second%5 == 0 {
			l.refill(waiting, behaviours)
		}
		l.clock.Advance(time.Second)
		for _, n := range l.entries {
			if err := n.Step(l.ctx()); err != nil {
				l.t.Fatal(err)
			}
			l.afterPass(n)
		}
		tasks, _ := l.platform.Machines.Tasks(l.ctx())
		byVM := make(map[model.VMID]model.Resources)
		for _, t := range tasks {
			if t.State == infra.TaskFailed && !seen[t.Attempt] {
				seen[t.Attempt] = true
				out.failures[t.Reason]++
			}
			if t.State == infra.TaskRunning {
				byVM[t.VM] = byVM[t.VM].Add(behaviours[t.Job].Size)
			}
		}
		if second > int(d/time.Second)/2 {
			used, excess := inUse(byVM)
			out.excessCPU += float64(excess) / float64(workerSize.MilliCPU*int64(len(l.snap.VMs)))
			out.usedCPU += float64(used.MilliCPU) / float64(workerSize.MilliCPU*int64(len(l.snap.VMs)))
			out.usedMemory += float64(used.MemoryMB) / float64(workerSize.MemoryMB*int64(len(l.snap.VMs)))
			samples++
		}
	}
	out.usedCPU /= float64(samples)
	out.usedMemory /= float64(samples)
	out.excessCPU /= float64(samples)
	l.count(&out)
	return out
}

// inUse returns the resources in use on all workers, each bounded by the worker's
// capacity, and the milli-CPUs demanded beyond it. Real tasks would be slowed by
// that excess; the stand-in doesn't simulate it.
func inUse(byVM map[model.VMID]model.Resources) (sum model.Resources, excess int64) {
	for _, used := range byVM {
		excess += max(used.MilliCPU-workerSize.MilliCPU, 0)
		used.MilliCPU = min(used.MilliCPU, workerSize.MilliCPU)
		used.MemoryMB = min(used.MemoryMB, workerSize.MemoryMB)
		sum = sum.Add(used)
	}
	return sum, excess
}

func (l *load) refill(waiting int, behaviours map[model.JobID]standin.Behaviour) {
	all, _ := l.entries[0].List(l.ctx())
	for _, r := range all {
		if r.State == Waiting {
			waiting--
		}
	}
	var jobs []model.Job
	var newBehaviours []standin.Behaviour
	for range max(waiting, 0) {
		job, b := l.job(l.rng, l.submitted+len(jobs))
		jobs, newBehaviours = append(jobs, job), append(newBehaviours, b)
	}
	if len(jobs) == 0 {
		return
	}
	for i, id := range l.submit(jobs...) {
		l.behave(id, newBehaviours[i])
		behaviours[id] = newBehaviours[i]
	}
	l.submitted += len(jobs)
}

func (l *load) count(out *loadResult) {
	all, _ := l.entries[0].List(l.ctx())
	for _, r := range all {
		out.states[r.State]++
	}
	out.missingJobs = l.submitted - len(all)
	tally := l.platform.Machines.Tally()
	for _, r := range all {
		out.starts += tally.Starts[r.ID]
		if !r.Repeatable && tally.Starts[r.ID] > 1 {
			out.startedTwice++
		}
	}
}

// BenchmarkSizesOff runs 20 kinds of jobs, of which 3 declare four times and 3 a
// quarter of the resources that they use. Usage is reported every 10 seconds. It
// compares sizes learned per kind with the declared sizes.
func BenchmarkSizesOff(b *testing.B) {
	job := func(rng *rand.Rand, n int) (model.Job, standin.Behaviour) {
		kind := rng.IntN(20)
		real := model.Resources{MilliCPU: int64(500 + 100*(kind%8)), MemoryMB: int64(600 + 150*(kind%8))}
		off := [...]float64{4, 4, 4, 0.25, 0.25, 0.25}
		factor := 1.2
		if kind < len(off) {
			factor = off[kind]
		}
		declared := model.Resources{MilliCPU: int64(float64(real.MilliCPU) * factor), MemoryMB: int64(float64(real.MemoryMB) * factor)}
		spread := 0.85 + 0.3*rng.Float64()
		real.MilliCPU, real.MemoryMB = int64(float64(real.MilliCPU)*spread), int64(float64(real.MemoryMB)*spread)
		j := smallJob()
		j.Kind, j.Declared = fmt.Sprintf("k%d", kind), declared
		return j, standin.Behaviour{Size: real, RunTime: time.Duration(60+rng.IntN(60)) * time.Second}
	}
	for _, name := range []string{"learned", "trust-declaration"} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				l := &load{testCluster: newTestCluster(b, 60, 1), rng: rand.New(rand.NewPCG(1, 1)), job: job, afterPass: func(*testEntry) {}}
				if name != "learned" {
					l.job = withOwnKind(job) // a kind with a single job has no usage history
				}
				l.platform.Machines.SetUsageInterval(10 * time.Second)
				got := l.simulate(20*time.Minute, 150)
				b.ReportMetric(100*got.usedCPU, "cpu%")
				b.ReportMetric(100*got.usedMemory, "mem%")
				b.ReportMetric(100*got.excessCPU, "cpu-excess%")
				b.ReportMetric(float64(got.failures[infra.ReasonMemoryGuard]), "memory-stops")
				b.ReportMetric(float64(got.states[Succeeded]), "succeeded")
			}
		})
	}
}

type jobGenerator func(rng *rand.Rand, n int) (model.Job, standin.Behaviour)

// withOwnKind returns a generator that gives each job a kind of its own.
func withOwnKind(job jobGenerator) jobGenerator {
	return func(rng *rand.Rand, n int) (model.Job, standin.Behaviour) {
		j, behaviour := job(rng, n)
		j.Kind = fmt.Sprint(j.Kind, "-", n)
		return j, behaviour
	}
}

// BenchmarkBadWorkers runs jobs on 200 workers of which 4 fail every task
// immediately, with and without the failure history of workers. It reports the
// failed starts and the jobs that end as failed.
func BenchmarkBadWorkers(b *testing.B) {
	job := func(rng *rand.Rand, n int) (model.Job, standin.Behaviour) {
		j := smallJob()
		j.Kind = fmt.Sprintf("k%d", rng.IntN(20))
		j.Repeatable = rng.IntN(10) != 0
		return j, standin.Behaviour{Size: j.Declared, RunTime: time.Duration(30+rng.IntN(60)) * time.Second}
	}
	for _, c := range []struct {
		name string
		each func(*testEntry)
	}{
		{"blame", func(*testEntry) {}},
		{"no-blame", func(n *testEntry) { n.learned.Blame = blame.NewBook() }},
	} {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				l := &load{testCluster: newTestCluster(b, 200, 1), rng: rand.New(rand.NewPCG(2, 2)), job: job, afterPass: c.each}
				for i := range 4 {
					l.platform.Machines.SetWorkerFails(model.VMID(fmt.Sprintf("v%04d", 50*i+7)), true)
				}
				got := l.simulate(5*time.Minute, 200)
				b.ReportMetric(float64(got.failures["the worker failed it"]), "failed-starts")
				b.ReportMetric(float64(got.states[Failed]), "jobs-failed")
				b.ReportMetric(float64(got.states[Succeeded]), "succeeded")
				b.ReportMetric(float64(wronglyQuarantined(l)), "wrongly-quarantined")
				b.ReportMetric(float64(got.startedTwice), "started-twice")
			}
		})
	}
}

// wronglyQuarantined returns how many workers the first entry VM has in quarantine,
// or is to probe with a job. Every 50th worker from the 7th on is not counted, as
// these fail every task in BenchmarkBadWorkers.
func wronglyQuarantined(l *load) int {
	n := 0
	for vm := range l.entries[0].learned.Blame.Workers {
		closed, probe := l.entries[0].learned.Blame.WorkerStatus(vm, l.clock.Now())
		var i int
		_, _ = fmt.Sscanf(string(vm), "v%d", &i)
		if (closed != "" || probe) && i%50 != 7 {
			n++
		}
	}
	return n
}

// BenchmarkPoisonedKind submits 1,000 jobs that always fail, early or late, among
// jobs that succeed. It reports the workers that are quarantined wrongly.
func BenchmarkPoisonedKind(b *testing.B) {
	for _, after := range []time.Duration{time.Second, 25 * time.Second} {
		b.Run("after-"+after.String(), func(b *testing.B) {
			for b.Loop() {
				maxWrong := 0
				l := &load{testCluster: newTestCluster(b, 200, 1), rng: rand.New(rand.NewPCG(3, 3))}
				l.job = func(rng *rand.Rand, n int) (model.Job, standin.Behaviour) {
					j := smallJob()
					if n >= 500 && n < 1500 {
						j.Kind = "poisoned"
						return j, standin.Behaviour{Size: j.Declared, RunTime: after, Fails: true}
					}
					return j, standin.Behaviour{Size: j.Declared, RunTime: time.Duration(30+rng.IntN(60)) * time.Second}
				}
				l.afterPass = func(*testEntry) { maxWrong = max(maxWrong, wronglyQuarantined(l)) }
				got := l.simulate(6*time.Minute, 1500)
				b.ReportMetric(float64(maxWrong), "wrongly-quarantined")
				b.ReportMetric(float64(got.states[Failed]), "jobs-stopped")
				b.ReportMetric(float64(got.failures["the job failed"])/1000, "starts/poisoned-job")
			}
		})
	}
}

// BenchmarkScale submits 20,000 jobs to 3,600 workers, which can run three quarters
// of them concurrently, loses a reply of the store and of the platform in every
// pass, and runs until all jobs have ended.
func BenchmarkScale(b *testing.B) {
	for b.Loop() {
		w := newTestCluster(b, 3600, 1)
		n := w.entries[0]
		job := smallJob()
		job.Declared.MilliCPU = 2000
		for part := range 4 {
			all := copiesOf(5000, job)
			for i := range all {
				all[i].Repeatable = i%2 == 0
				all[i].Team = model.TeamName(fmt.Sprint("t", i%82))
			}
			ids, err := n.Submit(w.ctx(), model.ChangeID(fmt.Sprint("p", part)), all)
			if err != nil {
				b.Fatal(err)
			}
			for _, id := range ids {
				w.behave(id, standin.Behaviour{RunTime: 20 * time.Second})
			}
		}
		begun, submits := time.Now(), n.Counts().Writes
		used, passes := w.drain(n)
		counts := n.Counts()
		l := &load{testCluster: w, submitted: 20000}
		var got loadResult
		got.states = make(map[State]int)
		l.count(&got)
		b.ReportMetric(time.Since(begun).Seconds()/float64(passes), "s/pass")
		b.ReportMetric(float64(counts.Writes-submits)/20000, "writes/placement")
		b.ReportMetric(float64(submits), "submit-writes")
		b.ReportMetric(100*used, "cpu%-while-waiting")
		b.ReportMetric(float64(got.missingJobs+20000-got.states[Succeeded]), "lost")
		b.ReportMetric(float64(got.startedTwice), "started-twice")
	}
}

// drain does passes until all jobs have ended, at most 200. It returns the mean
// share of processors reserved while jobs waited, and the number of passes.
func (w *testCluster) drain(n *testEntry) (used float64, passes int) {
	samples := 0
	for passes = 1; passes < 200; passes++ {
		w.clock.Advance(time.Second)
		n.machines.mu.Lock()
		n.machines.loseReplies = 1
		n.machines.mu.Unlock()
		n.store.LoseReplies(1)
		_ = n.Step(w.ctx()) // the next pass recovers from a lost reply
		all, _ := n.List(w.ctx())
		var waiting, left int
		var cpu int64
		for i := range all {
			switch {
			case all[i].State == Waiting:
				waiting++
			case all[i].State.holdsCapacity():
				cpu += all[i].Size.MilliCPU
			}
			if !all[i].State.Ended() {
				left++
			}
		}
		if waiting > 0 && passes > 20000/maxPlacements {
			used += float64(cpu) / float64(workerSize.MilliCPU*int64(len(w.snap.VMs)))
			samples++
		}
		if left == 0 {
			break
		}
	}
	return used / float64(max(samples, 1)), passes
}
