package node

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// batchStore is a store whose watch delivers that many batches, all but the last incomplete.
type batchStore struct {
	infra.Store
	batches     int
	hadDeadline bool // the list was read with a deadline
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

// An owner started tasks on a draining worker for five more seconds: an answer of the watch
// holds 500 changes, 3000 workers make 2000 a second, and with a pause after every answer the
// watch lagged ever further behind. It pauses only after an answer that left nothing out.
func TestWatchPausesOnlyAfterACompleteAnswer(t *testing.T) {
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
	assert.Assert(t, !store.hadDeadline, "with one deadline a list of thousands of keys would never arrive from a slow store")
}
