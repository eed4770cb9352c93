package contract

import (
	"context"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
)

var watchCases = []storeCase{
	{name: "a watch delivers past and future changes of its prefix in order", run: func(t *testing.T, s Store) {
		put(t, s.Rival, "p/0", "before")
		from := put(t, s.Rival, "p/1", "1")
		put(t, s.Rival, "q/1", "other")
		ch := watch(t, s, "p/", from)
		last := put(t, s.Rival, "p/2", "2")
		one, two := nextBatch(t, ch), nextBatch(t, ch)
		assert.Equal(t, one.Revision, from)
		assert.Equal(t, one.Events[0].KV.Key, "p/1")
		assert.Equal(t, two.Revision, last)
		assert.Equal(t, string(two.Events[0].KV.Value), "2")
	}},
	{name: "changes of one transaction arrive in one batch, deletions with their revision", run: func(t *testing.T, s Store) {
		from := put(t, s.Rival, "p/1", "1") + 1
		ch := watch(t, s, "p/", from)
		res := txn(t, s.Rival, infra.Txn{Then: []infra.Op{infra.Put("p/2", nil), infra.Put("q", nil), infra.Delete("p/1")}})
		b := nextBatch(t, ch)
		assert.Equal(t, len(b.Events), 2)
		assert.Equal(t, b.Events[0].Kind, infra.EventPut)
		assert.Equal(t, b.Events[1].Kind, infra.EventDelete)
		assert.Equal(t, b.Events[1].KV.Key, "p/1")
		assert.Equal(t, b.Events[1].KV.ModRevision, res.Revision)
	}},
	{name: "a watch reports an expired lease without any call to the service", run: func(t *testing.T, s Store) {
		ch := watch(t, s, "", 1)
		lease := grant(t, s, 10*time.Second)
		putLeased(t, s, "a", lease)
		assert.Equal(t, nextBatch(t, ch).Events[0].Kind, infra.EventPut)
		s.Advance(11 * time.Second)
		if s.ExpireLeases != nil {
			s.ExpireLeases()
		}
		assert.Equal(t, nextBatch(t, ch).Events[0].Kind, infra.EventDelete)
	}},
	{name: "a watch from a compacted revision fails as compacted", run: func(t *testing.T, s Store) {
		old := put(t, s.Rival, "a", "1")
		s.Compact(put(t, s.Rival, "a", "2"))
		_, err := s.Client.Watch(ctxOf(t), "", old)
		wantKind(t, firstError(t, s, old, err), infra.KindCompacted)
		_, err = s.Client.Watch(ctxOf(t), "", 0)
		wantKind(t, firstError(t, s, 0, err), infra.KindCompacted)
	}},
	{name: "a canceled watch ends at the service too", run: func(t *testing.T, s Store) {
		ctx, cancel := context.WithCancel(context.Background())
		ch, err := s.Client.Watch(ctx, "", 1)
		assert.NilError(t, err)
		eventually(t, "the watch did not open at the service", func() bool { return s.OpenWatches() == 1 })
		cancel()
		wantClosed(t, ch)
		eventually(t, "the canceled watch is still open at the service", func() bool { return s.OpenWatches() == 0 })
	}},
	{name: "a slow reader misses nothing", run: func(t *testing.T, s Store) {
		ch := watch(t, s, "", 1)
		for i := range 200 {
			put(t, s.Rival, "a", strconv.Itoa(i))
		}
		for i := range 200 {
			assert.Equal(t, string(nextBatch(t, ch).Events[0].KV.Value), strconv.Itoa(i))
		}
	}},
	{
		name:  "a watch resumed after a lost connection has no gap and no duplicate",
		needs: func(s Store) bool { return s.Resumes },
		run:   cutAndResumed,
	},
	{
		name:  "a watch disconnected past a compaction fails as compacted and ends",
		needs: func(s Store) bool { return s.Resumes },
		run: func(t *testing.T, s Store) {
			ch := watch(t, s, "", put(t, s.Rival, "a", "1"))
			nextBatch(t, ch)
			s.Down(true)
			put(t, s.Rival, "a", "2")
			s.Compact(put(t, s.Rival, "a", "3"))
			s.Down(false)
			wantKind(t, nextBatch(t, ch).Err, infra.KindCompacted)
			wantClosed(t, ch)
		},
	},
	{
		name:  "a watch disconnected for long fails as unavailable and ends",
		needs: func(s Store) bool { return s.Down != nil },
		run: func(t *testing.T, s Store) {
			ch := watch(t, s, "", 1)
			put(t, s.Rival, "a", "1")
			nextBatch(t, ch)
			s.Down(true)
			wantKind(t, nextBatch(t, ch).Err, infra.KindUnavailable)
			wantClosed(t, ch)
			_, err := s.Client.Watch(ctxOf(t), "", 1)
			wantKind(t, err, infra.KindUnavailable)
		},
	},
}

// cutAndResumed interrupts the connection repeatedly while another client
// writes. The reader must see each change exactly once: after a gap a VM that is
// leaving would stay in use, and a duplicate would undo a newer view.
func cutAndResumed(t *testing.T, s Store) {
	ch := watch(t, s, "", 1)
	const rounds, each = 5, 4
	var want, got []string
	take := func() { got = append(got, string(nextBatch(t, ch).Events[0].KV.Value)) }
	for i := range rounds {
		s.Down(true)
		for j := range each {
			value := strconv.Itoa(i*each + j)
			put(t, s.Rival, "a", value)
			want = append(want, value)
		}
		s.Down(false)
		for range each / 2 {
			take()
		}
	}
	put(t, s.Rival, "a", "last")
	want = append(want, "last")
	for got[len(got)-1] != "last" {
		take()
	}
	assert.DeepEqual(t, got, want)
}

func watch(t *testing.T, s Store, prefix string, from infra.Revision) <-chan infra.WatchBatch {
	t.Helper()
	ch, err := s.Client.Watch(ctxOf(t), prefix, from)
	assert.NilError(t, err)
	return ch
}

// firstError returns the error of a failing watch: err if the call failed, else
// the error in the first batch of a watch from revision from.
func firstError(t *testing.T, s Store, from infra.Revision, err error) error {
	t.Helper()
	if err != nil {
		return err
	}
	return nextBatch(t, watch(t, s, "", from)).Err
}
