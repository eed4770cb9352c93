package standin

import (
	"context"
	"sort"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// endedKept is how long an ended task stays in the list.
const endedKept = 10 * time.Minute

// Behaviour is how a job's tasks really are, whatever was declared.
type Behaviour struct {
	Size    model.Resources // really used; zero for what the task set aside
	RunTime time.Duration   // at full speed; zero for ever
	Fails   bool            // fails at the end of RunTime
}

type task struct {
	infra.Task
	worker    *vm
	behaviour Behaviour
	expires   time.Time
	seen      time.Time     // up to when done is worked out
	done      time.Duration // progress at full speed
	throttled int64         // thousandths of a processor; 0 for no cap
	usedAt    time.Time     // the newest usage report
	used      model.Resources
	endedAt   time.Time
}

// SetBehaviour says how tasks of the job that start from now on behave.
func (m *Machines) SetBehaviour(job model.JobID, b Behaviour) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.behaviour[job] = b
}

// SetWorkerFails makes every task that starts on the VM fail at once.
func (m *Machines) SetWorkerFails(id model.VMID, fails bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v, ok := m.vms[id]; ok {
		v.allFail = fails
	}
}

// SetUsageEvery sets how often workers report usage; a report is as old as
// that at most. Zero reports at each question.
func (m *Machines) SetUsageEvery(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usageEvery = d
}

// StartTask implements infra.Machines. It refuses with KindConflict where
// the VM is not live, is draining, or has set aside all it has.
func (m *Machines) StartTask(_ context.Context, t infra.Task) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advanceLocked()
	if _, ok := m.tasks[t.Attempt]; ok {
		return nil
	}
	v, ok := m.vms[t.VM]
	if !ok {
		return infra.Errorf("start task", infra.KindNotFound, "VM %s", t.VM)
	}
	if t.Attempt == "" || t.TTL <= 0 {
		return infra.Errorf("start task", infra.KindInvalid, "a task needs an attempt and a lease")
	}
	if !v.live || v.draining {
		return infra.Errorf("start task", infra.KindConflict, "VM %s takes no work", t.VM)
	}
	if !t.Size.Fits(m.freeLocked(v)) {
		return infra.Errorf("start task", infra.KindConflict, "VM %s has too little left", t.VM)
	}
	now := m.clock.Now()
	t.State, t.Reason = infra.TaskRunning, ""
	started := &task{Task: t, worker: v, behaviour: m.behaviour[t.Job], expires: now.Add(t.TTL), seen: now, usedAt: now, done: m.progress[t.Job]}
	m.tasks[t.Attempt] = started
	v.tasks[started] = struct{}{}
	m.tally.Starts[t.Job]++
	m.judgeLocked(v, started)
	m.noteLocked(v)
	return nil
}

// judgeLocked ends a task that cannot live on its worker.
func (m *Machines) judgeLocked(v *vm, t *task) {
	used := t.realSize()
	switch {
	case v.allFail:
		t.end(infra.TaskFailed, "the worker failed it")
	case t.Size.MemoryMB > 0 && used.MemoryMB > t.Size.MemoryMB:
		t.end(infra.TaskFailed, infra.ReasonMemoryGuard)
	}
}

func (m *Machines) freeLocked(v *vm) model.Resources {
	free := v.capacity
	for t := range v.tasks {
		free = free.Sub(t.Size)
	}
	return free
}

// RenewTask implements infra.Machines.
func (m *Machines) RenewTask(_ context.Context, attempt model.AttemptID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, err := m.runningTaskLocked("renew task", attempt)
	if err == nil {
		t.expires = m.clock.Now().Add(t.TTL)
	}
	return err
}

// StopTask implements infra.Machines. Stopping an ended task does nothing.
func (m *Machines) StopTask(_ context.Context, attempt model.AttemptID, checkpoint bool) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, err := m.runningTaskLocked("stop task", attempt)
	if infra.IsKind(err, infra.KindLeaseNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if !checkpoint {
		t.end(infra.TaskStopped, "stopped")
	} else {
		m.progress[t.Job] = t.done
		t.end(infra.TaskCheckpointed, "stopped at a checkpoint")
	}
	m.noteLocked(t.worker)
	return nil
}

// ThrottleTask implements infra.Machines.
func (m *Machines) ThrottleTask(_ context.Context, attempt model.AttemptID, milliCPU int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, err := m.runningTaskLocked("throttle task", attempt)
	if err == nil {
		t.throttled = milliCPU
	}
	return err
}

// Tasks implements infra.Machines.
func (m *Machines) Tasks(context.Context) ([]infra.Task, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advanceLocked()
	var out []infra.Task
	for _, t := range m.tasks {
		out = append(out, t.Task)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Attempt < out[j].Attempt })
	return out, nil
}

// Usage implements infra.Machines.
func (m *Machines) Usage(context.Context) ([]infra.Usage, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advanceLocked()
	var out []infra.Usage
	for _, t := range m.tasks {
		if t.State == infra.TaskRunning && t.used != (model.Resources{}) {
			out = append(out, infra.Usage{Attempt: t.Attempt, VM: t.VM, Used: t.used, At: t.usedAt})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Attempt < out[j].Attempt })
	return out, nil
}

func (m *Machines) runningTaskLocked(op string, attempt model.AttemptID) (*task, error) {
	m.advanceLocked()
	t, ok := m.tasks[attempt]
	if !ok {
		return nil, infra.Errorf(op, infra.KindNotFound, "task %s", attempt)
	}
	if t.State != infra.TaskRunning {
		return t, infra.Errorf(op, infra.KindLeaseNotFound, "task %s is %s", attempt, t.State)
	}
	return t, nil
}

// advanceLocked brings every task up to now.
func (m *Machines) advanceLocked() {
	now := m.clock.Now()
	for attempt, t := range m.tasks {
		if t.State != infra.TaskRunning {
			if now.Sub(t.endedAt) > endedKept {
				delete(m.tasks, attempt)
			}
			continue
		}
		m.advanceTaskLocked(t, now)
		if t.State != infra.TaskRunning {
			m.noteLocked(t.worker)
		}
	}
}

// advanceTaskLocked works out what came first, the task's end or its lease's.
func (m *Machines) advanceTaskLocked(t *task, now time.Time) {
	until := now
	if t.expires.Before(now) {
		until = t.expires
	}
	t.done += time.Duration(float64(until.Sub(t.seen)) * t.speed())
	t.seen = until
	t.report(now, m.usageEvery)
	switch {
	case t.behaviour.RunTime > 0 && t.done >= t.behaviour.RunTime && t.behaviour.Fails:
		t.end(infra.TaskFailed, "the job failed")
	case t.behaviour.RunTime > 0 && t.done >= t.behaviour.RunTime:
		t.end(infra.TaskSucceeded, "")
		m.tally.Finished[t.Job]++
	case !t.expires.After(now):
		t.end(infra.TaskLost, "lease lapsed")
	}
}

func (t *task) end(state infra.TaskState, reason string) {
	t.State, t.Reason = state, reason
	t.endedAt = t.seen
	delete(t.worker.tasks, t)
}

func (t *task) realSize() model.Resources {
	if t.behaviour.Size == (model.Resources{}) {
		return t.Size
	}
	return t.behaviour.Size
}

// speed is the share of full speed that the throttle leaves.
func (t *task) speed() float64 {
	want := t.realSize().MilliCPU
	if t.throttled <= 0 || t.throttled >= want {
		return 1
	}
	return float64(t.throttled) / float64(want)
}

// report takes the newest usage report that is due.
func (t *task) report(now time.Time, every time.Duration) {
	age := now.Sub(t.usedAt)
	if age < every {
		return
	}
	t.usedAt = now
	if every > 0 {
		t.usedAt = now.Add(-(age % every))
	}
	t.used = t.realSize()
	if t.throttled > 0 {
		t.used.MilliCPU = min(t.used.MilliCPU, t.throttled)
	}
}
