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
	{name: "a watch gives past and coming changes of its prefix in order", run: func(t *testing.T, s Store) {
		put(t, s.Rival, "p/0", "before")
		from := put(t, s.Rival, "p/1", "1")
		put(t, s.Rival, "q/1", "other")
		ch := watch(t, s, "p/", from)
		last := put(t, s.Rival, "p/2", "2")
		one, two := next(t, ch), next(t, ch)
		assert.Equal(t, one.Revision, from)
		assert.Equal(t, one.Events[0].KV.Key, "p/1")
		assert.Equal(t, two.Revision, last)
		assert.Equal(t, string(two.Events[0].KV.Value), "2")
	}},
	{name: "changes of one transaction arrive together, deletions with their revision", run: func(t *testing.T, s Store) {
		from := put(t, s.Rival, "p/1", "1") + 1
		ch := watch(t, s, "p/", from)
		res := txn(t, s.Rival, infra.Txn{Then: []infra.Op{infra.Put("p/2", nil), infra.Put("q", nil), infra.Delete("p/1")}})
		b := next(t, ch)
		assert.Equal(t, len(b.Events), 2)
		assert.Equal(t, b.Events[0].Kind, infra.EventPut)
		assert.Equal(t, b.Events[1].Kind, infra.EventDelete)
		assert.Equal(t, b.Events[1].KV.Key, "p/1")
		assert.Equal(t, b.Events[1].KV.ModRevision, res.Revision)
	}},
	{name: "a watch hears of a lapsed lease though nobody calls", run: func(t *testing.T, s Store) {
		ch := watch(t, s, "", 1)
		lease := grant(t, s, 10*time.Second)
		putLeased(t, s, "a", lease)
		assert.Equal(t, next(t, ch).Events[0].Kind, infra.EventPut)
		s.Advance(11 * time.Second)
		if s.Tick != nil {
			s.Tick()
		}
		assert.Equal(t, next(t, ch).Events[0].Kind, infra.EventDelete)
	}},
	{name: "a watch from a compacted revision says so", run: func(t *testing.T, s Store) {
		old := put(t, s.Rival, "a", "1")
		s.Compact(put(t, s.Rival, "a", "2"))
		_, err := s.Client.Watch(ctxOf(t), "", old)
		wantKind(t, firstError(t, s, old, err), infra.KindCompacted)
		_, err = s.Client.Watch(ctxOf(t), "", 0)
		wantKind(t, firstError(t, s, 0, err), infra.KindCompacted)
	}},
	{name: "a watch that is no longer wanted ends at the service too", run: func(t *testing.T, s Store) {
		ctx, cancel := context.WithCancel(context.Background())
		ch, err := s.Client.Watch(ctx, "", 1)
		assert.NilError(t, err)
		eventually(t, "no watch waits", func() bool { return s.Waiting() == 1 })
		cancel()
		ended(t, ch)
		eventually(t, "the watch still waits", func() bool { return s.Waiting() == 0 })
	}},
	{name: "a slow reader misses nothing", run: func(t *testing.T, s Store) {
		ch := watch(t, s, "", 1)
		for i := range 200 {
			put(t, s.Rival, "a", strconv.Itoa(i))
		}
		for i := range 200 {
			assert.Equal(t, string(next(t, ch).Events[0].KV.Value), strconv.Itoa(i))
		}
	}},
	{
		name:  "a watch cut and resumed has no gap and no duplicate",
		needs: func(s Store) bool { return s.Resumes },
		run:   cutAndResumed,
	},
	{
		name:  "a watch cut past compaction says so and ends",
		needs: func(s Store) bool { return s.Resumes },
		run: func(t *testing.T, s Store) {
			ch := watch(t, s, "", put(t, s.Rival, "a", "1"))
			next(t, ch)
			s.Down(true)
			put(t, s.Rival, "a", "2")
			s.Compact(put(t, s.Rival, "a", "3"))
			s.Down(false)
			wantKind(t, next(t, ch).Err, infra.KindCompacted)
			ended(t, ch)
		},
	},
	{
		name:  "a watch cut for long says so and ends",
		needs: func(s Store) bool { return s.Down != nil },
		run: func(t *testing.T, s Store) {
			ch := watch(t, s, "", 1)
			put(t, s.Rival, "a", "1")
			next(t, ch)
			s.Down(true)
			wantKind(t, next(t, ch).Err, infra.KindUnavailable)
			ended(t, ch)
			_, err := s.Client.Watch(ctxOf(t), "", 1)
			wantKind(t, err, infra.KindUnavailable)
		},
	},
}

// The way to the service goes down again and again while a rival writes. The
// reader must see each change once: a gap would leave a leaving VM in use, a
// duplicate would undo a newer view.
func cutAndResumed(t *testing.T, s Store) {
	ch := watch(t, s, "", 1)
	const rounds, each = 5, 4
	var want, got []string
	take := func() { got = append(got, string(next(t, ch).Events[0].KV.Value)) }
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

// firstError is the error of a watch that fails, at the call or on its channel.
func firstError(t *testing.T, s Store, from infra.Revision, err error) error {
	t.Helper()
	if err != nil {
		return err
	}
	return next(t, watch(t, s, "", from)).Err
}
