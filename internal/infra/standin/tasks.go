package standin

import (
	"context"
	"sort"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// endedTaskRetention is how long an ended task stays in the list.
const endedTaskRetention = 10 * time.Minute

// Behaviour sets how the tasks of a job actually behave, regardless of what the
// job declares.
type Behaviour struct {
	Size    model.Resources // actual use; zero means what the task reserved
	RunTime time.Duration   // at full speed; zero means that it never ends
	Fails   bool            // fails instead of succeeding after RunTime
}

// task is a task on a VM, running or ended, as of advancedTo.
type task struct {
	infra.Task
	worker      *vm
	behaviour   Behaviour
	expires     time.Time
	advancedTo  time.Time     // time up to which workDone is computed
	workDone    time.Duration // run time at full speed that the work so far takes
	milliCPUCap int64         // in thousandths of a processor; 0 means no cap
	reportedAt  time.Time     // time of the latest usage report
	reportedUse model.Resources
	endedAt     time.Time
}

// SetBehaviour sets the behaviour of tasks of the job that start from now on.
func (m *Machines) SetBehaviour(job model.JobID, b Behaviour) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.behaviour[job] = b
}

// SetWorkerFails sets whether every task that starts on the VM fails at once.
func (m *Machines) SetWorkerFails(id model.VMID, fails bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if v, ok := m.vms[id]; ok {
		v.failsTasks = fails
	}
}

// SetUsageInterval sets the interval at which workers report usage, which is also the
// maximum age of a report. Zero means a new report for each query.
func (m *Machines) SetUsageInterval(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usageInterval = d
}

// StartTask implements infra.Machines. It returns KindConflict if the VM is not
// live, is draining, or has too little unreserved capacity.
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
	started := &task{Task: t, worker: v, behaviour: m.behaviour[t.Job], expires: now.Add(t.TTL), advancedTo: now, reportedAt: now, workDone: m.progress[t.Job]}
	m.tasks[t.Attempt] = started
	v.tasks[started] = struct{}{}
	m.tally.Starts[t.Job]++
	m.failUnfitLocked(v, started)
	m.recordLocked(v)
	return nil
}

// failUnfitLocked fails a task right after its start if its worker is set to fail
// tasks, or if it uses more memory than it reserved.
func (m *Machines) failUnfitLocked(v *vm, t *task) {
	used := t.actualSize()
	switch {
	case v.failsTasks:
		t.end(infra.TaskFailed, "the worker failed it")
	case t.Size.MemoryMB > 0 && used.MemoryMB > t.Size.MemoryMB:
		t.end(infra.TaskFailed, infra.ReasonMemoryGuard)
	}
}

// freeLocked returns the VM's capacity less what its running tasks have reserved.
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

// StopTask implements infra.Machines. Stopping an ended task has no effect.
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
		m.progress[t.Job] = t.workDone
		t.end(infra.TaskCheckpointed, "stopped at a checkpoint")
	}
	m.recordLocked(t.worker)
	return nil
}

// ThrottleTask implements infra.Machines.
func (m *Machines) ThrottleTask(_ context.Context, attempt model.AttemptID, milliCPU int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, err := m.runningTaskLocked("throttle task", attempt)
	if err == nil {
		t.milliCPUCap = milliCPU
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
		if t.State == infra.TaskRunning && t.reportedUse != (model.Resources{}) {
			out = append(out, infra.Usage{Attempt: t.Attempt, VM: t.VM, Used: t.reportedUse, At: t.reportedAt})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Attempt < out[j].Attempt })
	return out, nil
}

// runningTaskLocked returns a running task. It returns KindNotFound for an unknown
// attempt and KindLeaseNotFound for an ended task.
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

// advanceLocked updates every task to the current time and removes those that
// ended more than endedTaskRetention ago.
func (m *Machines) advanceLocked() {
	now := m.clock.Now()
	for attempt, t := range m.tasks {
		if t.State != infra.TaskRunning {
			if now.Sub(t.endedAt) > endedTaskRetention {
				delete(m.tasks, attempt)
			}
			continue
		}
		m.advanceTaskLocked(t, now)
		if t.State != infra.TaskRunning {
			m.recordLocked(t.worker)
		}
	}
}

// advanceTaskLocked updates a task to the current time, or to the expiry of its
// lease if that comes first. A task that completes by then ends as usual; one whose
// lease expires before it completes is lost.
func (m *Machines) advanceTaskLocked(t *task, now time.Time) {
	until := now
	if t.expires.Before(now) {
		until = t.expires
	}
	t.workDone += time.Duration(float64(until.Sub(t.advancedTo)) * t.speed())
	t.advancedTo = until
	t.updateUsage(now, m.usageInterval)
	switch {
	case t.behaviour.RunTime > 0 && t.workDone >= t.behaviour.RunTime && t.behaviour.Fails:
		t.end(infra.TaskFailed, "the job failed")
	case t.behaviour.RunTime > 0 && t.workDone >= t.behaviour.RunTime:
		t.end(infra.TaskSucceeded, "")
		m.tally.Finished[t.Job]++
	case !t.expires.After(now):
		t.end(infra.TaskLost, "lease lapsed")
	}
}

func (t *task) end(state infra.TaskState, reason string) {
	t.State, t.Reason = state, reason
	t.endedAt = t.advancedTo
	delete(t.worker.tasks, t)
}

// actualSize returns the resources that the task uses at full speed.
func (t *task) actualSize() model.Resources {
	if t.behaviour.Size == (model.Resources{}) {
		return t.Size
	}
	return t.behaviour.Size
}

// speed returns the fraction of full speed that the processor cap permits, at
// most 1.
func (t *task) speed() float64 {
	want := t.actualSize().MilliCPU
	if t.milliCPUCap <= 0 || t.milliCPUCap >= want {
		return 1
	}
	return float64(t.milliCPUCap) / float64(want)
}

// updateUsage replaces the usage report by the latest one that is due at the given
// interval. An interval of zero makes one at each call.
func (t *task) updateUsage(now time.Time, interval time.Duration) {
	age := now.Sub(t.reportedAt)
	if age < interval {
		return
	}
	t.reportedAt = now
	if interval > 0 {
		t.reportedAt = now.Add(-(age % interval))
	}
	t.reportedUse = t.actualSize()
	if t.milliCPUCap > 0 {
		t.reportedUse.MilliCPU = min(t.reportedUse.MilliCPU, t.milliCPUCap)
	}
}
