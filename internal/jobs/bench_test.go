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

// load keeps jobs waiting on a world and counts what becomes of them.
type load struct {
	*testCluster
	rng       *rand.Rand
	job       jobGenerator
	submitted int
	// afterStep is called after afterStep step; a baseline takes its knowledge away in it.
	afterStep func(n *testEntry)
}

// tally is what a load came to.
type benchTally struct {
	usedCPU      float64 // share of the workers' processors that tasks really used
	usedMemory   float64 // share of their memory
	excessCPU    float64 // processors wanted beyond what the workers have, as a share of those
	failures     map[string]int
	states       map[State]int
	starts       int
	startedTwice int // jobs that may not be repeated and were started more than once
	missingJobs  int // jobs that are in no state at all
}

// simulate runs for a time and keeps so many jobs waiting.
func (l *load) simulate(d time.Duration, waiting int) benchTally {
	var out benchTally
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
			l.afterStep(n)
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

// inUse counts a worker on which tasks want more processors than it has as
// fully used, and returns what they want beyond. Such tasks would be slowed by
// as much, which the stand-in doesn't play.
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

func (l *load) count(out *benchTally) {
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

// BenchmarkSizesOff has 20 kinds of job of which 6 were declared wrong by four
// times, half of them too large. Usage reports are ten seconds apart.
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
				l := &load{testCluster: newTestCluster(b, 60, 1), rng: rand.New(rand.NewPCG(1, 1)), job: job, afterStep: func(*testEntry) {}}
				if name != "learned" {
					l.job = withOwnKind(job) // nothing is learned of a kind of one job
				}
				l.platform.Machines.SetUsageEvery(10 * time.Second)
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

// withOwnKind gives each job a kind of its own.
func withOwnKind(job jobGenerator) jobGenerator {
	return func(rng *rand.Rand, n int) (model.Job, standin.Behaviour) {
		j, behaviour := job(rng, n)
		j.Kind = fmt.Sprint(j.Kind, "-", n)
		return j, behaviour
	}
}

// BenchmarkBadWorkers has 4 of 200 workers fail everything at once. What is
// lost are starts that fail on them and jobs that end as failed.
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
				l := &load{testCluster: newTestCluster(b, 200, 1), rng: rand.New(rand.NewPCG(2, 2)), job: job, afterStep: c.each}
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

// BenchmarkPoisonedKind submits 1,000 jobs that always fail, at once or late,
// among good ones.
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
				l.afterStep = func(*testEntry) { maxWrong = max(maxWrong, wronglyQuarantined(l)) }
				got := l.simulate(6*time.Minute, 1500)
				b.ReportMetric(float64(maxWrong), "wrongly-quarantined")
				b.ReportMetric(float64(got.states[Failed]), "jobs-stopped")
				b.ReportMetric(float64(got.failures["the job failed"])/1000, "starts/poisoned-job")
			}
		})
	}
}

// BenchmarkScale submits 20,000 jobs to 3,600 workers, of which three quarters
// fit at once, loses a reply in each second, and runs until all are over.
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
		var got benchTally
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

// drain passes until no job is left, and returns the mean share of processors
// set aside while jobs waited.
func (w *testCluster) drain(n *testEntry) (used float64, passes int) {
	samples := 0
	for passes = 1; passes < 200; passes++ {
		w.clock.Advance(time.Second)
		n.machines.mu.Lock()
		n.machines.loseReplies = 1
		n.machines.mu.Unlock()
		n.store.LoseReplies(1)
		_ = n.Step(w.ctx()) // a lost reply is found out about by the next
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
