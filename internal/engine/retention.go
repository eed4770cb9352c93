package engine

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
)

const (
	// keepAfterStatus is how long a job's short key stays beyond the time for which
	// its state may be asked. The key keeps the ID from becoming a second job, and
	// callers repeat a request for seconds at most; minutes also cover clocks that
	// differ.
	keepAfterStatus = 10 * time.Minute
	// retentionInterval separates passes. Each lists all short keys, some hundreds a
	// priced call.
	retentionInterval = 5 * time.Minute
	// deletionEntries is what one key takes of a transaction: a condition and a
	// deletion.
	deletionEntries = 2
)

// Retention deletes the short keys of jobs that ended long ago. Without it the store
// grows with every job there ever was. One entry VM at a time runs it.
type Retention struct {
	Store infra.Store
	Clock Clock
	Log   logr.Logger
	// StatusPeriod is for how long a job's state may be asked after its end.
	StatusPeriod time.Duration
}

// Run makes passes until ctx ends. The first comes after the pause: an entry VM may
// have the duty for moments only.
func (r *Retention) Run(ctx context.Context) {
	for sleep.For(ctx, retentionInterval) {
		deleted, err := r.Pass(ctx)
		if err != nil && ctx.Err() == nil {
			r.Log.Info("ended jobs not deleted; the next pass does it", "deleted", deleted, "error", err.Error())
			continue
		}
		r.Log.Info("ended jobs deleted", "deleted", deleted)
	}
}

// Pass deletes what is old enough now and returns how much.
func (r *Retention) Pass(ctx context.Context) (deleted int, err error) {
	kvs, _, err := r.Store.Range(ctx, infra.WorkJobPrefix)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	old := slices.DeleteFunc(kvs, func(kv infra.KV) bool { return !r.expired(kv) })
	for part := range slices.Chunk(old, txnEntries/deletionEntries) {
		var t infra.Txn
		for _, kv := range part {
			t.If = append(t.If, infra.Cond{Key: kv.Key, ModRevision: kv.ModRevision})
			t.Then = append(t.Then, infra.Delete(kv.Key))
		}
		res, err := r.Store.Txn(ctx, t)
		if err != nil {
			return deleted, trace.Wrap(err)
		}
		if res.Succeeded {
			deleted += len(part)
		}
	}
	return deleted, nil
}

// expired reports whether the key is of a job that ended long enough ago.
func (r *Retention) expired(kv infra.KV) bool {
	var stub JobStub
	if err := json.Unmarshal(kv.Value, &stub); err != nil {
		r.Log.Error(err, "job's key is malformed and stays", "key", kv.Key)
		return false
	}
	return stub.State.Ended() && r.Clock.Wall().After(stub.Ended.Add(r.StatusPeriod+keepAfterStatus))
}
