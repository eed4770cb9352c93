package ownership

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra/memstore"
)

// Guards against an owner that never gets its lease confirmed because its VM is overloaded: the store renews the
// lease at once, but the answer is read 0.6 s later. If the renewal were given up after 0.15 s, none would ever
// count, while no other VM could acquire the duty.
func TestARenewalThatIsReadLateCounts(t *testing.T) {
	const late = 600 * time.Millisecond
	testDutyIsKept(t, &lossyStore{answerTime: late}, func() time.Duration { return late / 2 })
}

// Guards against an overloaded owner that hands its duty over and is then the first to acquire it again.
func TestAVMThatGaveADutyUpLeavesItToOthers(t *testing.T) {
	e := newElector(t, memstore.New(clockwork.NewFakeClock()), &testClock{now: time.Minute}, "e1")
	term, err := e.acquire(context.Background())
	assert.NilError(t, err)
	term.cancel = func() {}
	var waited []time.Duration
	e.pause = func(_ context.Context, d time.Duration) bool {
		waited = append(waited, d)
		return true
	}
	e.pauseAfterHandOver(context.Background(), term)
	assert.Equal(t, len(waited), 0)
	term.HandOver()
	assert.Assert(t, !term.Certain())
	e.pauseAfterHandOver(context.Background(), term)
	assert.DeepEqual(t, waited, []time.Duration{handOverPause})
}
