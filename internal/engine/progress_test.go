package engine

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

// decodeProgress returns the progress in a change; nil if the job has ended.
func decodeProgress(t testing.TB, ch Change) *Progress {
	t.Helper()
	if ch.Final != "" {
		return nil
	}
	p := new(Progress)
	assert.NilError(t, json.Unmarshal(ch.Progress, p))
	return p
}

// Guards against a task that runs again after a take-over: a later transaction completed before an
// earlier one, and all ends up to the later one's were acknowledged. The worker then forgot an end whose
// effect was not stored yet.
func TestEndsAreAcknowledgedUpToTheFirstTransactionUnderWay(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(2))
	b.accept("j2", short(2))
	o := b.plan()
	b.answer(o, OutcomeOK)
	of := func(id work.JobID) StartOrder {
		for _, s := range o.Starts {
			if s.Start.Task.Job == id {
				return s
			}
		}
		t.Fatal("no start of ", id)
		return StartOrder{}
	}
	b.poll("w1", Listing{Brief: true, Ended: []RunEnd{ended(1, of("j1"), work.Done)}})
	first := b.core.TakeFlush(progressEntries)
	b.poll("w1", Listing{Brief: true, Ended: []RunEnd{ended(2, of("j2"), work.Done)}})
	second := b.core.TakeFlush(progressEntries)
	assert.Equal(t, second.Changes[0].Job, work.JobID("j2"))
	assert.Equal(t, len(b.core.Flushed(second, nil)), 0)
	assert.Equal(t, b.core.workers["w1"].stored, int64(0))
	b.core.Flushed(first, nil)
	assert.Equal(t, b.core.workers["w1"].stored, int64(2))
}

// Guards against a job's progress going back, because an older change took effect after a newer one. A
// job with a change in flight must be in no other transaction until the outcome is known.
func TestAJobIsInOneTransactionAtATime(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.accept("j1", short(2))
	o := b.plan()
	b.answer(o, OutcomeOK)
	b.poll("w1", Listing{Brief: true, Ended: []RunEnd{ended(1, o.Starts[0], work.Done)}})
	first := b.core.TakeFlush(100)
	b.poll("w1", Listing{Brief: true, Ended: []RunEnd{ended(2, o.Starts[1], work.Done)}})
	assert.Equal(t, len(b.core.TakeFlush(100).Changes), 0)
	all, final := b.core.Dirty()
	assert.Equal(t, all+final, 0, "nothing can be sent")
	b.core.Flushed(first, ErrUncertain)
	again := b.core.TakeFlush(100)
	assert.Equal(t, again.Changes[0].Final, work.Completed)
	assert.Assert(t, again.Changes[0].DeleteProgress, "the first may have taken effect")
}
