package claim

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// If the clock of an entry VM is a day ahead or behind, a claim that it writes or
// sweeps must still be kept for its whole retention time.
func TestClockDifferences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t)
		b.clocks = func() (earliest, latest time.Time) {
			return time.Now().Add(-24 * time.Hour), time.Now().Add(24 * time.Hour)
		}
		a := b.start("a", 1)
		defer a.stop()
		a.claim(t, request("k", 1))
		kvs, _, err := b.store.Range(t.Context(), infra.ClaimPrefix)
		assert.NilError(t, err)
		assert.Equal(t, len(kvs), 1)
		for day, want := range []int{1, 1, 1, 0} {
			later := a.earliestClock().Add(time.Duration(day)*24*time.Hour + clockTolerance)
			assert.NilError(t, a.sweepShard(t.Context(), infra.ClaimPrefix, later))
			kvs, _, err = b.store.Range(t.Context(), infra.ClaimPrefix)
			assert.NilError(t, err)
			assert.Equal(t, len(kvs), want, "after %d days", day)
		}
	})
}

// Expired claims are deleted and others are kept; each shard is swept by one
// entry VM.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t)
		b.live = func() []model.EntryID { return []model.EntryID{"a", "c"} }
		a, c := b.start("a", 1), b.start("c", 1)
		defer a.stop()
		defer c.stop()
		for i := range 20 {
			req := request(fmt.Sprint("k", i), 1)
			req.Remember = time.Duration(1+i%2) * 24 * time.Hour
			assert.NilError(t, a.Record(t.Context(), a.claim(t, req).Ticket, Answer{Status: 200}))
		}
		left := func() int {
			kvs, _, err := b.store.Range(t.Context(), infra.ClaimPrefix)
			assert.NilError(t, err)
			return len(kvs)
		}
		time.Sleep(24*time.Hour + clockTolerance - time.Second)
		assert.Equal(t, left(), 20, "no claim is deleted before its retention time ends")
		time.Sleep(sweepCycle + time.Minute)
		assert.Equal(t, left(), 10)
		time.Sleep(24 * time.Hour)
		assert.Equal(t, left(), 0)
		reads := a.faults.Calls().Reads + c.faults.Calls().Reads
		rounds := int((52*time.Hour + clockTolerance + time.Minute) / shardInterval)
		assert.Assert(t, reads <= rounds+1, "%d reads for %d shards", reads, rounds)
	})
}
