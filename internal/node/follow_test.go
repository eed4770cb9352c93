package node

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// batchStore is a store whose watch answers with batches, all but the last of them full.
type batchStore struct {
	infra.Store
	batches     int
	hadDeadline bool // the list had to be read within a time
}

func (f *batchStore) Range(ctx context.Context, _ string) ([]infra.KV, infra.Revision, error) {
	_, f.hadDeadline = ctx.Deadline()
	return nil, 1, nil
}

func (f *batchStore) Watch(ctx context.Context, _ string, from infra.Revision) (<-chan infra.WatchBatch, error) {
	out := make(chan infra.WatchBatch)
	go func() {
		defer close(out)
		for i := range f.batches {
			rev := from + infra.Revision(i)
			b := infra.WatchBatch{Revision: rev, More: i+1 < f.batches, Events: []infra.Event{{KV: infra.KV{Key: "k", ModRevision: rev}}}}
			select {
			case out <- b:
			case <-ctx.Done():
				return
			}
		}
	}()
	return out, nil
}

// A worker said that it leaves, and its owner started tasks there for five seconds more: the
// watch brings five hundred changes with an answer, three thousand workers make two thousand
// a second, and a pause was made after each answer, so that it fell ever further behind. It
// pauses only where an answer left nothing out.
func TestAWatchThatLeftChangesOutIsReadOnAtOnce(t *testing.T) {
	const batches = 40
	ctx, cancel := context.WithCancel(t.Context())
	seen := 0
	store := &batchStore{batches: batches}
	followPrefix(ctx, store, logr.Discard(), source{
		minInterval: time.Hour,
		replace:     func([]infra.KV) {},
		apply: func(infra.Event) {
			if seen++; seen == batches {
				cancel()
			}
		},
	})
	assert.Equal(t, seen, batches)
	assert.Assert(t, !store.hadDeadline, "a list of thousands would never come from a slow store")
}
