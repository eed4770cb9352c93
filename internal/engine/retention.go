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
	// keepAfterStatus is how long a job's key stays after its state can no longer be
	// queried. The key prevents a second job with the same ID. Callers repeat a request
	// for seconds at most; minutes also cover differences between clocks.
	keepAfterStatus = 10 * time.Minute
	// retentionInterval separates passes. Each pass lists all job keys, some hundreds
	// with each call, and the store's calls are billed.
	retentionInterval = 5 * time.Minute
	// deletionEntries is the number of transaction entries for one key: a condition and a
	// deletion.
	deletionEntries = 2
)

// Retention deletes the job keys (see JobStub) of jobs that ended long ago. Without it the store
// would grow with every job. Only one entry VM at a time runs it.
type Retention struct {
	Store infra.Store
	Clock Clock
	Log   logr.Logger
	// StatusPeriod is how long after its end a job's state can be queried.
	StatusPeriod time.Duration
}

// Run makes a pass every retentionInterval until ctx ends. The first pass comes after one
// interval, as an entry VM may have this duty for moments only.
func (r *Retention) Run(ctx context.Context) {
	for sleep.For(ctx, retentionInterval) {
		deleted, err := r.Pass(ctx)
		if err != nil && ctx.Err() == nil {
			r.Log.Info("retention pass failed, the next pass deletes the rest", "deleted", deleted, "error", err.Error())
			continue
		}
		r.Log.Info("retention pass deleted keys of ended jobs", "deleted", deleted)
	}
}

// Pass deletes the job keys that have expired and returns their number. If a key has changed since
// it was read, the transaction that deletes it fails, and all keys of that transaction are left to
// the next pass. With an error, deleted is the number of keys deleted before it.
func (r *Retention) Pass(ctx context.Context) (deleted int, err error) {
	err = infra.RangePages(ctx, r.Store, infra.WorkJobPrefix, func(page []infra.KV) error {
		n, err := r.deleteExpired(ctx, page)
		deleted += n
		return err
	})
	return deleted, trace.Wrap(err)
}

// deleteExpired deletes those of the job keys that have expired; see Pass.
func (r *Retention) deleteExpired(ctx context.Context, kvs []infra.KV) (deleted int, err error) {
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

// expired reports whether the key belongs to a job whose end is more than StatusPeriod and
// keepAfterStatus ago.
func (r *Retention) expired(kv infra.KV) bool {
	var stub JobStub
	if err := json.Unmarshal(kv.Value, &stub); err != nil {
		r.Log.Error(err, "job key is malformed and is kept", "key", kv.Key)
		return false
	}
	return stub.State.Ended() && r.Clock.Wall().After(stub.Ended.Add(r.StatusPeriod+keepAfterStatus))
}
