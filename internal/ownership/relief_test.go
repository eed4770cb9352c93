package ownership

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra/memstore"
)

// The store renews the lease at once, and the answer is read half a second later, as the
// VM's processor is slow. Given up after 0.15 s, no renewal would ever count: the duty stands
// at the store, and its owner does not dare to use it.
func TestARenewalThatIsReadLateCounts(t *testing.T) {
	const late = 600 * time.Millisecond
	keepsTheDuty(t, &losing{needs: late}, func() time.Duration { return late / 2 })
}

// An owner that is behind gives its duty up and would be the first to take it again.
func TestAVMThatGaveADutyUpLeavesItToOthers(t *testing.T) {
	e := newElector(t, memstore.New(clockwork.NewFakeClock()), &testClock{now: time.Minute}, "e1")
	term, err := e.take(context.Background())
	assert.NilError(t, err)
	term.cancel = func() {}
	var waited []time.Duration
	e.pause = func(_ context.Context, d time.Duration) bool {
		waited = append(waited, d)
		return true
	}
	e.standBack(context.Background(), term)
	assert.Equal(t, len(waited), 0)
	term.Relieve()
	assert.Assert(t, !term.Certain())
	e.standBack(context.Background(), term)
	assert.DeepEqual(t, waited, []time.Duration{standBackFor})
}
