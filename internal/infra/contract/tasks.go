package contract

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/standin"
	"github.com/pumicestage/pumicestage/policy/model"
)

// endlessTask returns a task on VM v1 that uses a quarter of it and never ends.
func endlessTask(attempt model.AttemptID) infra.Task {
	return infra.Task{
		Attempt: attempt, Job: "job", VM: "v1", TTL: time.Minute,
		Size: model.Resources{MilliCPU: 1000, MemoryMB: 2048},
	}
}

func startTask(t *testing.T, m Machines, task infra.Task) {
	t.Helper()
	assert.NilError(t, m.Client.StartTask(ctxOf(t), task))
}

func stateOf(t *testing.T, m Machines, attempt model.AttemptID) infra.TaskState {
	t.Helper()
	tasks, err := m.Client.Tasks(ctxOf(t))
	assert.NilError(t, err)
	for _, task := range tasks {
		if task.Attempt == attempt {
			return task.State
		}
	}
	return ""
}

func usage(t *testing.T, m Machines) []infra.Usage {
	t.Helper()
	reports, err := m.Client.Usage(ctxOf(t))
	assert.NilError(t, err)
	return reports
}

var taskCases = []machinesCase{
	{name: "a task runs while its lease is renewed and is lost when the lease expires", run: func(t *testing.T, m Machines) {
		addVM(m, "v1")
		startTask(t, m, endlessTask("t1"))
		m.Advance(50 * time.Second)
		assert.NilError(t, m.Client.RenewTask(ctxOf(t), "t1"))
		m.Advance(50 * time.Second)
		assert.Equal(t, stateOf(t, m, "t1"), infra.TaskRunning)
		m.Advance(10 * time.Second)
		assert.Equal(t, stateOf(t, m, "t1"), infra.TaskLost)
		wantKind(t, m.Client.RenewTask(ctxOf(t), "t1"), infra.KindLeaseNotFound)
	}},
	{name: "a repeated start has no effect, even after the task has ended", run: func(t *testing.T, m Machines) {
		addVM(m, "v1")
		startTask(t, m, endlessTask("t1"))
		startTask(t, m, endlessTask("t1"))
		assert.NilError(t, m.Client.StopTask(ctxOf(t), "t1", false))
		assert.NilError(t, m.Client.StopTask(ctxOf(t), "t1", false))
		startTask(t, m, endlessTask("t1"))
		assert.Equal(t, stateOf(t, m, "t1"), infra.TaskStopped)
		assert.Equal(t, m.Control.Tally().Starts["job"], 1)
	}},
	{name: "the list of tasks returns what was started", run: func(t *testing.T, m Machines) {
		addVM(m, "v1")
		startTask(t, m, endlessTask("t/1 ?"))
		tasks, err := m.Client.Tasks(ctxOf(t))
		assert.NilError(t, err)
		want := endlessTask("t/1 ?")
		want.State = infra.TaskRunning
		assert.DeepEqual(t, tasks, []infra.Task{want})
		assert.NilError(t, m.Client.RenewTask(ctxOf(t), "t/1 ?"))
	}},
	{name: "a full, draining or dead worker accepts no task", run: func(t *testing.T, m Machines) {
		addVM(m, "v1")
		for _, a := range []model.AttemptID{"t1", "t2", "t3", "t4"} {
			startTask(t, m, endlessTask(a))
		}
		wantKind(t, m.Client.StartTask(ctxOf(t), endlessTask("t5")), infra.KindConflict)
		assert.NilError(t, m.Client.StopTask(ctxOf(t), "t1", false))
		assert.NilError(t, m.Client.Drain(ctxOf(t), "v1", "a1"))
		wantKind(t, m.Client.StartTask(ctxOf(t), endlessTask("t5")), infra.KindConflict)
		assert.NilError(t, m.Client.Undrain(ctxOf(t), "v1", "a1"))
		startTask(t, m, endlessTask("t5"))
		m.Control.Fail("v1")
		wantKind(t, m.Client.StartTask(ctxOf(t), endlessTask("t6")), infra.KindConflict)
		assert.Equal(t, stateOf(t, m, "t5"), infra.TaskLost)
	}},
	{name: "a task's final state depends on its job and its worker", run: func(t *testing.T, m Machines) {
		for _, c := range []struct {
			name      string
			behaviour standin.Behaviour
			badWorker bool
			want      infra.TaskState
		}{
			{name: "job ends", behaviour: standin.Behaviour{RunTime: 5 * time.Second}, want: infra.TaskSucceeded},
			{name: "job fails", behaviour: standin.Behaviour{RunTime: 5 * time.Second, Fails: true}, want: infra.TaskFailed},
			{name: "job outgrows its memory", behaviour: standin.Behaviour{Size: model.Resources{MemoryMB: 9999}}, want: infra.TaskFailed},
			{name: "worker fails everything", badWorker: true, want: infra.TaskFailed},
			{name: "job goes on", behaviour: standin.Behaviour{RunTime: time.Hour}, want: infra.TaskRunning},
		} {
			addVM(m, "v1")
			m.Control.SetBehaviour("job", c.behaviour)
			m.Control.SetWorkerFails("v1", c.badWorker)
			startTask(t, m, endlessTask(model.AttemptID(c.name)))
			m.Advance(10 * time.Second)
			assert.Equal(t, stateOf(t, m, model.AttemptID(c.name)), c.want, c.name)
		}
		assert.Equal(t, m.Control.Tally().Finished["job"], 1)
	}},
	{name: "a checkpoint keeps progress, a throttle slows the task", run: func(t *testing.T, m Machines) {
		addVM(m, "v1")
		m.Control.SetBehaviour("job", standin.Behaviour{RunTime: 30 * time.Second})
		startTask(t, m, endlessTask("t1"))
		m.Advance(20 * time.Second)
		assert.NilError(t, m.Client.StopTask(ctxOf(t), "t1", true))
		assert.Equal(t, stateOf(t, m, "t1"), infra.TaskCheckpointed)
		startTask(t, m, endlessTask("t2"))
		assert.NilError(t, m.Client.ThrottleTask(ctxOf(t), "t2", 250))
		m.Advance(39 * time.Second)
		assert.Equal(t, stateOf(t, m, "t2"), infra.TaskRunning)
		m.Advance(time.Second)
		assert.Equal(t, stateOf(t, m, "t2"), infra.TaskSucceeded)
	}},
	{name: "usage reports lag and show actual usage", run: func(t *testing.T, m Machines) {
		addVM(m, "v1")
		actual := model.Resources{MilliCPU: 3000, MemoryMB: 100}
		m.Control.SetBehaviour("job", standin.Behaviour{Size: actual})
		m.Control.SetUsageInterval(10 * time.Second)
		startedAt := listed(t, m).AsOf
		startTask(t, m, endlessTask("t1"))
		m.Advance(9 * time.Second)
		assert.Equal(t, len(usage(t, m)), 0)
		m.Advance(16 * time.Second)
		assert.NilError(t, m.Client.ThrottleTask(ctxOf(t), "t1", 500))
		got := usage(t, m)
		assert.Equal(t, len(got), 1)
		assert.Equal(t, got[0].Used, actual)
		assert.Equal(t, got[0].At.Sub(startedAt), 20*time.Second)
		m.Advance(5 * time.Second)
		assert.Equal(t, usage(t, m)[0].Used.MilliCPU, int64(500))
	}},
}
