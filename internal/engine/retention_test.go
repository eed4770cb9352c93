package engine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Guards against a store that grows with every job. Job keys of jobs that ended long ago must be
// deleted. Keys of jobs that have not ended, whose state may still be queried or whose request may
// still be repeated must stay.
func TestKeysOfJobsThatEndedLongAgoAreDeleted(t *testing.T) {
	ctx := context.Background()
	store := memstore.New(clockwork.NewFakeClock())
	const status = 2 * time.Minute
	r := &Retention{Store: store, Clock: fixedClock{}, Log: logr.Discard(), StatusPeriod: status}
	put := func(id string, state work.State, ended time.Time) {
		ops, err := EndOps(work.JobID(id), JobStub{Cell: service, State: state, Ended: ended})
		assert.NilError(t, err)
		_, err = store.Txn(ctx, infra.Txn{Then: ops})
		assert.NilError(t, err)
	}
	edge := epoch.Add(-status - keepAfterStatus)
	for i := range 40 { // more than one transaction holds
		put(fmt.Sprintf("old%d", i), work.Completed, edge.Add(-time.Second))
	}
	put("cancelled", work.Cancelled, edge.Add(-time.Hour))
	put("recent", work.Completed, edge.Add(time.Second))
	put("open", "", time.Time{})

	deleted, err := r.Pass(ctx)
	assert.NilError(t, err)
	assert.Equal(t, deleted, 41)
	kvs, _, err := store.Range(ctx, infra.WorkJobPrefix)
	assert.NilError(t, err)
	assert.DeepEqual(t, keysOf(kvs), []string{infra.WorkJobKey("open"), infra.WorkJobKey("recent")})
}
