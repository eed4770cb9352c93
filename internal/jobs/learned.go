package jobs

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/blame"
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/sizing"
)

const (
	// survivalTime is how long a task must have run to count as evidence that its
	// worker doesn't fail every task it starts.
	survivalTime = 10 * time.Second
	// saveInterval is the time between two writes of the learned state. It bounds
	// what is lost when another entry VM takes over, at two writes a minute.
	saveInterval = 30 * time.Second
	// usageInterval is how often usage is read. Reports lag by more than that, and
	// each list contains every task of the fleet.
	usageInterval = 5 * time.Second
	// maxQuarantineShare is the maximum share of workers in quarantine, though one
	// worker always may be. It is more than twice the 2% of workers that are known
	// to fail every task; if more seem faulty, the cause is not the workers.
	maxQuarantineShare = 0.05
)

// learnedState is the usage history of job kinds and the failure history of
// workers. It is stored under learnedKey for the next lease holder; only its
// exported fields are encoded.
type learnedState struct {
	Sizes *sizing.UsageHistory
	Blame *blame.Book

	loaded     bool
	dirty      bool
	saved      time.Time
	rev        infra.Revision
	recorded   map[model.AttemptID]blame.Outcome // outcome last recorded for an attempt
	lastReport map[model.AttemptID]time.Time     // time of the newest usage report processed for an attempt
	usageRead  time.Time                         // time of the last read of usage
}

func newLearned() *learnedState {
	return &learnedState{
		Sizes: sizing.NewUsageHistory(), Blame: blame.NewBook(),
		recorded: make(map[model.AttemptID]blame.Outcome), lastReport: make(map[model.AttemptID]time.Time),
	}
}

// workerStatus returns why the worker takes no new tasks, or "", and whether it may
// take a job as a probe.
func (l *learnedState) workerStatus(vm model.VMID, now time.Time) (string, bool) {
	return l.Blame.WorkerStatus(vm, now)
}

// jobToBlame reports whether failures on these workers are due to the job.
func (l *learnedState) jobToBlame(failedOn []model.VMID) bool { return l.Blame.JobToBlame(failedOn) }

// loadLearned loads the learned state of an earlier lease holder, once per
// process. An unreadable value is logged and replaced by an empty state.
func (j *Jobs) loadLearned(ctx context.Context) error {
	l := j.learned
	if l.loaded {
		return nil
	}
	kv, _, err := j.store.Get(ctx, learnedKey)
	if err != nil {
		return wrapError("read learned state", "", err)
	}
	l.loaded, l.saved, l.rev = true, j.clock.Now(), kv.ModRevision
	if kv.ModRevision == 0 {
		return nil
	}
	if err := json.Unmarshal(kv.Value, l); err != nil {
		j.log.Error(err, "learned state can't be decoded, starting with an empty one")
		l.Sizes, l.Blame = sizing.NewUsageHistory(), blame.NewBook()
	}
	return nil
}

// saveLearned stores the learned state if it has changed and saveInterval has
// passed. A lost write only means that sizes and faulty workers are learned again.
func (p *pass) saveLearned(ctx context.Context) error {
	l := p.learned
	if !l.dirty || p.now.Sub(l.saved) < saveInterval {
		return nil
	}
	value, err := json.Marshal(l)
	if err != nil || len(value) > infra.MaxValueBytes {
		return wrapError("encode learned state", "", infra.Errorf("encode", infra.KindTooLarge, "%d bytes: %v", len(value), err))
	}
	l.saved = p.now
	res, err := p.store.Txn(ctx, infra.Txn{
		If:   []infra.Cond{{Key: learnedKey, ModRevision: l.rev}},
		Then: []infra.Op{infra.Put(learnedKey, value)},
		Else: []infra.Op{infra.Read(learnedKey)},
	})
	if err != nil {
		return wrapError("save learned state", "", err)
	}
	l.rev = res.Revision
	if !res.Succeeded { // another lease holder wrote it; the next save overwrites it
		l.rev = res.Reads[0].ModRevision
		return nil
	}
	l.dirty = false
	return nil
}

// updateLearned records the outcomes and the resource usage of tasks, updates the
// quarantine of workers, and saves the learned state.
func (p *pass) updateLearned(ctx context.Context) error {
	p.recordOutcomes()
	maxQuarantined := max(1, int(maxQuarantineShare*float64(len(p.view.Load().VMs))))
	for _, vm := range p.learned.Blame.UpdateQuarantine(p.now, maxQuarantined) {
		p.log.Info("worker quarantined, it fails jobs that run on other workers", "vm", vm)
		p.learned.saved = time.Time{} // saved in this pass: rare, and costly to learn again
	}
	if err := p.recordUsage(ctx); err != nil {
		return err
	}
	p.pruneLearned()
	return p.saveLearned(ctx)
}

// recordOutcomes records the outcome of each attempt for its worker, once. An
// attempt recorded as survived is recorded again when it succeeds or fails.
func (p *pass) recordOutcomes() {
	l := p.learned
	for _, r := range p.records {
		t, ok := p.tasks[r.Attempt]
		if !ok || r.Attempt == "" {
			continue
		}
		before, seen := l.recorded[r.Attempt]
		outcome, ok := outcomeOf(r, t, p.now, seen && before == blame.Survived)
		if !ok || seen && (before != blame.Survived || outcome == blame.Survived) {
			continue
		}
		l.recorded[r.Attempt] = outcome
		l.Blame.Record(blame.Event{VM: t.VM, Kind: r.Kind, Outcome: outcome, At: p.now})
		l.dirty = true
	}
}

// outcomeOf returns what the state of a task says about its worker, and false if
// it says nothing. Running out of memory says nothing: the job was given too
// little and would have failed on any worker. survived tells whether the task was
// recorded as survived before.
func outcomeOf(r *Record, t infra.Task, now time.Time, survived bool) (blame.Outcome, bool) {
	switch {
	case t.State == infra.TaskSucceeded:
		return blame.Succeeded, true
	case t.State == infra.TaskRunning && r.State == Running && now.Sub(r.Since) >= survivalTime:
		return blame.Survived, true
	case t.State != infra.TaskFailed || t.Reason == infra.ReasonMemoryGuard:
		return 0, false
	case survived:
		return blame.FailedLate, true
	}
	return blame.FailedEarly, true
}

// recordUsage records new usage reports and enforces the memory limits of tasks.
// It does nothing within usageInterval of the last read.
func (p *pass) recordUsage(ctx context.Context) error {
	if p.now.Sub(p.learned.usageRead) < usageInterval {
		return nil
	}
	p.learned.usageRead = p.now
	reports, err := p.machines.Usage(ctx)
	if err != nil {
		return wrapError("read usage", "", err)
	}
	inUse := make(map[model.VMID]model.Resources)
	for _, u := range reports {
		inUse[u.VM] = inUse[u.VM].Add(u.Used)
	}
	for _, u := range reports {
		t, ok := p.tasks[u.Attempt]
		r, known := p.mirror.find(t.Job)
		if !ok || !known || !u.At.After(p.learned.lastReport[u.Attempt]) {
			continue
		}
		p.learned.lastReport[u.Attempt] = u.At
		p.learned.Sizes.Report(r.Kind, r.ID, u.Used, r.Size)
		p.learned.dirty = true
		if err := p.enforceMemory(ctx, r, u, inUse[u.VM]); err != nil {
			return err
		}
	}
	return nil
}

// enforceMemory throttles, checkpoints or stops a task that exceeds its memory,
// according to sizing.OverrunAction.
func (p *pass) enforceMemory(ctx context.Context, r *Record, u infra.Usage, inUse model.Resources) error {
	memoryShort := inUse.MemoryMB > p.view.Load().VMs[u.VM].Capacity.MemoryMB
	switch sizing.OverrunAction(&r.Job, r.Size, u.Used, memoryShort) {
	case sizing.Throttle:
		return wrapError("throttle task", "", p.machines.ThrottleTask(ctx, u.Attempt, max(r.Size.MilliCPU/throttleDivisor, 1)))
	case sizing.Checkpoint:
		return wrapError("stop task", "", p.machines.StopTask(ctx, u.Attempt, true))
	case sizing.Stop:
		return wrapError("stop task", "", p.machines.StopTask(ctx, u.Attempt, false))
	}
	return nil
}

// throttleDivisor divides the processors of a throttled task. A quarter of them
// slows the growth of its memory and still lets the task finish.
const throttleDivisor = 4

// sizeOf returns the resources to reserve for the job.
func (p *pass) sizeOf(r *Record) model.Resources { return p.learned.Sizes.Size(&r.Job, r.MinMemoryMB) }

// pruneLearned removes attempts that the platform no longer lists and workers that
// are no longer in the view.
func (p *pass) pruneLearned() {
	for a := range p.learned.recorded {
		if _, ok := p.tasks[a]; !ok {
			delete(p.learned.recorded, a)
			delete(p.learned.lastReport, a)
		}
	}
	for a := range p.learned.lastReport {
		if _, ok := p.tasks[a]; !ok {
			delete(p.learned.lastReport, a)
		}
	}
	snap := p.view.Load()
	p.learned.Blame.Forget(func(vm model.VMID) bool { _, ok := snap.VMs[vm]; return ok })
}
