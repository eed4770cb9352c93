package dev

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra/standin"
	"github.com/pumicestage/pumicestage/internal/jobs"
	"github.com/pumicestage/pumicestage/policy/model"
)

// A wave reboots VMs on which jobs run, the platform loses replies, and the entry
// VM that places the jobs is lost. A job that is not repeatable must start
// exactly once and finish, after an operator's verdict if its start was not
// answered. A reboot must wait for every task, or move it if it checkpoints.
func TestWaveNeitherCutsNorRepeatsJobs(t *testing.T) {
	t.Parallel()
	c := startSmall(t)
	ctx := context.Background()
	ids, err := c.entries[0].Jobs().Submit(ctx, "jobs", testJobs(24))
	assert.NilError(t, err)
	for n, id := range ids {
		c.platform.Machines.SetBehaviour(id, standin.Behaviour{RunTime: time.Duration(500+n*150) * time.Millisecond})
	}
	c.await(t, "tasks on the VMs", func() bool { return len(c.platform.Machines.Tally().Starts) >= len(ids)/2 })
	c.startQuickWave(t)
	for range 4 {
		c.platform.Faults.Set(standin.AnyZone, standin.Fault{LoseReplies: 6, LoseRequests: 3})
		time.Sleep(300 * time.Millisecond)
	}
	c.platform.Faults.Clear()
	lost := c.entries[0].Self().ID
	c.entries[0].kill()

	defer func() {
		if t.Failed() {
			all, err := c.entries[1].Jobs().List(ctx)
			t.Logf("jobs: %+v, error: %v, VMs: %+v", all, err, c.platform.Machines.Tally())
		}
	}()
	c.await(t, "the end of every job", func() bool {
		all, err := c.entries[1].Jobs().List(ctx)
		c.decideUnsent(t, all, lost)
		for _, r := range all {
			if r.State != jobs.Succeeded {
				return false
			}
		}
		return err == nil && len(all) == len(ids)
	})
	c.resumeUntilEnd(t)
	tally := c.platform.Machines.Tally()
	assert.Equal(t, tally.TasksCut, 0)
	assert.Assert(t, tally.Reboots >= 4)
	for n, id := range ids {
		assert.Check(t, tally.Finished[id] == 1, "job %d ended %d times", n, tally.Finished[id])
		assert.Check(t, tally.Starts[id] == 1 || checkpoints(n), "job %d started %d times", n, tally.Starts[id])
	}
}

// decideUnsent gives the verdict not-run on jobs whose outcome is unknown as the lost
// entry VM was to start them and no VM has, as an operator does who looks at the VMs.
// No other job may become unknown.
func (c *cluster) decideUnsent(t *testing.T, all []jobs.Record, lost model.EntryID) {
	t.Helper()
	tally := c.platform.Machines.Tally()
	for _, r := range all {
		if r.State != jobs.Unknown {
			continue
		}
		t.Logf("job %s is unknown: %s", r.ID, r.Reason)
		assert.Assert(t, strings.HasPrefix(r.Owner, string(lost)+"/"), "it was to be started by %s, not by the lost %s", r.Owner, lost)
		assert.Equal(t, tally.Starts[r.ID], 0, "a VM started it")
		assert.NilError(t, c.entries[1].Jobs().Decide(context.Background(), r.ID, jobs.VerdictNotRun, "test"))
	}
}

// checkpoints reports whether the nth job can be stopped and resumed elsewhere.
func checkpoints(n int) bool { return n%4 == 0 }

func testJobs(n int) []model.Job {
	var all []model.Job
	for i := range n {
		all = append(all, model.Job{
			Team: "panel", Kind: fmt.Sprint("kind-", i%3), Class: model.ClassNormal, RunTime: time.Second,
			Declared: model.Resources{MilliCPU: 2000, MemoryMB: 2048}, Checkpoints: checkpoints(i), Repeatable: checkpoints(i),
		})
	}
	return all
}
