package jobs

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra/standin"
	"github.com/pumicestage/pumicestage/policy/model"
)

// A job is placed, started once, succeeds, and is deleted from the store after
// endedRetention.
func TestJobRunsToItsEnd(t *testing.T) {
	w := newTestCluster(t, 4, 2)
	id := w.submit(smallJob())[0]
	w.behave(id, standin.Behaviour{RunTime: 30 * time.Second})
	assert.Equal(t, w.state(id), Waiting)
	w.run(time.Second)
	assert.Equal(t, w.state(id), Running)
	w.run(40 * time.Second)
	assert.Equal(t, w.state(id), Succeeded)
	assert.Equal(t, w.platform.Machines.Tally().Starts[id], 1)
	w.run(2 * time.Second)
	w.clock.Advance(endedRetention)
	w.step()
	kvs, _, err := w.store.Range(w.ctx(), groupPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(kvs), 0, "ended jobs are deleted after endedRetention")
}

// A job that no worker can ever run must be marked unplaceable by the first pass,
// with the violated constraint as the reason.
func TestUnplaceableJobIsReportedAtOnce(t *testing.T) {
	w := newTestCluster(t, 4, 1)
	for _, tc := range []struct {
		name   string
		change func(*model.Job)
		reason string
	}{
		{"memory", func(j *model.Job) { j.Declared.MemoryMB = 99999 }, "memory: needs 99999 MB of memory, the nearest worker v0000 has 16384 MB of memory"},
		{"zone", func(j *model.Job) { j.Zone = "z9" }, `zone: no worker of pool "" is in zone z9`},
		{"pool", func(j *model.Job) { j.Pool = "none" }, "pool: no worker is in pool none"},
		{"accelerators", func(j *model.Job) { j.Declared.Accelerators = 1 }, "accelerators: needs 1 accelerators, the nearest worker v0000 has 0 accelerators"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			job := smallJob()
			tc.change(&job)
			id := w.submit(job)[0]
			w.step()
			assert.Equal(t, w.state(id), Unplaceable)
			assert.Equal(t, w.get(id).Reason, tc.reason)
		})
	}
}

// Placing 1,000 jobs must share transactions rather than take a write per job.
func TestBurstCostsFewWrites(t *testing.T) {
	w := newTestCluster(t, 200, 1)
	before := w.entries[0].Counts().Writes
	ids := w.submit(copiesOf(1000, smallJob())...)
	w.step()
	all, err := w.entries[0].List(w.ctx())
	assert.NilError(t, err)
	for _, r := range all {
		assert.Equal(t, r.State, Running)
	}
	assert.Equal(t, len(all), len(ids))
	writes := w.entries[0].Counts().Writes - before
	assert.Assert(t, writes <= 32, "%d writes for 1000 placements", writes)
}
