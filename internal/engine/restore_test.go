package engine

import (
	"context"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// rangeCounter is a store that notes whether lists had to be read within a time.
type rangeCounter struct {
	infra.Store
	ranges, withDeadline atomic.Int32 // they are read side by side
}

func (u *rangeCounter) Range(ctx context.Context, prefix string) ([]infra.KV, infra.Revision, error) {
	u.ranges.Add(1)
	if _, is := ctx.Deadline(); is {
		u.withDeadline.Add(1)
	}
	return u.Store.Range(ctx, prefix)
}

// A cell stays without an owner while the store is slow: thousands of open jobs are dozens of
// pages of a fifth of a second each, and the time for all of them was over before the last,
// again and again. Each page has its own time, at the store's client.
func TestTakeOverReadsHaveNoOverallDeadline(t *testing.T) {
	e, inner := newEngine(t, &fakeTerm{certain: true})
	store := &rangeCounter{Store: inner}
	e.Store = store
	assert.NilError(t, e.load(t.Context(), true))
	assert.Equal(t, store.ranges.Load(), int32(3), "open jobs, their progress, ledgers of limits")
	assert.Equal(t, store.withDeadline.Load(), int32(0))
}
