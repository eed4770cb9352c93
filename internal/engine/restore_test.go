package engine

import (
	"context"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// rangeCounter is a store that counts the reads of prefixes, and those with a deadline.
type rangeCounter struct {
	infra.Store
	ranges, withDeadline atomic.Int32 // atomic: reads run in parallel
}

func (u *rangeCounter) Range(ctx context.Context, prefix string) ([]infra.KV, infra.Revision, error) {
	u.ranges.Add(1)
	if _, limited := ctx.Deadline(); limited {
		u.withDeadline.Add(1)
	}
	return u.Store.Range(ctx, prefix)
}

// Guards against a cell that stays without an owner while the store is slow: thousands of open jobs are
// dozens of pages that take a fifth of a second each, and a deadline for all of them expired before the
// last page in each attempt. Only the store's client sets a deadline, for each page.
func TestTakeOverReadsHaveNoOverallDeadline(t *testing.T) {
	e, inner := newEngine(t, &fakeTerm{certain: true})
	store := &rangeCounter{Store: inner}
	e.Store = store
	assert.NilError(t, e.load(t.Context(), true))
	assert.Equal(t, store.ranges.Load(), int32(3), "open jobs, their progress, ledgers of limits")
	assert.Equal(t, store.withDeadline.Load(), int32(0))
}
