package audit

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/faulty"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/policy/model"
)

var (
	ctx   = context.Background()
	epoch = time.Date(2026, 3, 1, 3, 0, 0, 0, time.UTC)
)

func newTrail(store infra.Store, clock clockwork.Clock, self string) *Trail {
	return New(Options{Store: store, Self: model.EntryID(self), Clock: clock, Pace: -1})
}

func order(n int) Entry {
	return Entry{ID: fmt.Sprintf("id-%d", n), Who: "ana", From: "10.0.0.7", Change: model.ChangeID(fmt.Sprintf("c-%d", n)), What: "drain vm v1", Result: Asked}
}

func changes(t *testing.T, trail *Trail, f Filter) []string {
	t.Helper()
	entries, _, err := trail.Read(ctx, f)
	assert.NilError(t, err)
	var found []string
	for _, e := range entries {
		found = append(found, string(e.Change))
	}
	return found
}

// The way to the store fails in each manner while an entry is recorded. What
// Record calls certain is in the trail exactly once, what it calls certainly
// not recorded is not, and the trail goes on afterwards.
func TestRecordUnderFaults(t *testing.T) {
	rival := func(inner infra.Store, clock clockwork.Clock) func() {
		return func() { _ = newTrail(inner, clock, "e2").Record(ctx, order(9)) }
	}
	cases := []struct {
		name    string
		first   bool // an entry is recorded before, so that a segment is open
		fault   func(way *faulty.Store, rival func())
		wantErr bool
		certain bool
		want    []string // changes in the trail, c-3 being recorded after the fault
	}{
		{"none", true, func(*faulty.Store, func()) {}, false, false, []string{"c-1", "c-2", "c-3"}},
		{"down", true, func(way *faulty.Store, _ func()) { way.SetDown(true) }, true, true, []string{"c-1", "c-3"}},
		{"down, first segment", false, func(way *faulty.Store, _ func()) { way.SetDown(true) }, true, true, []string{"c-3"}},
		{"reply lost", true, func(way *faulty.Store, _ func()) { way.LoseReplies(1) }, false, false, []string{"c-1", "c-2", "c-3"}},
		{"reply lost, first segment", false, func(way *faulty.Store, _ func()) { way.LoseReplies(1) }, false, false, []string{"c-2", "c-3"}},
		{"request lost", true, func(way *faulty.Store, _ func()) { way.LoseRequests(1) }, false, false, []string{"c-1", "c-2", "c-3"}},
		{"every request lost", true, func(way *faulty.Store, _ func()) { way.LoseRequests(99) }, true, false, []string{"c-1", "c-3"}},
		{"another writer opens a segment first", false, func(way *faulty.Store, rival func()) { beforeWrite(way, 1, rival) },
			false, false, []string{"c-2", "c-3", "c-9"}},
		{"reply lost, then another writer opens a segment", false, func(way *faulty.Store, rival func()) {
			way.LoseReplies(1)
			beforeWrite(way, 2, rival)
		}, false, false, []string{"c-2", "c-3", "c-9"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(epoch)
			inner := memstore.New(clock)
			way := faulty.Wrap(inner)
			trail := newTrail(way, clock, "e1")
			if tc.first {
				assert.NilError(t, trail.Record(ctx, order(1)))
			}
			tc.fault(way, rival(inner, clock))
			err := trail.Record(ctx, order(2))
			assert.Equal(t, err != nil, tc.wantErr, "%v", err)
			var failed *Error
			if errors.As(err, &failed) {
				assert.Equal(t, failed.Certain, tc.certain)
			}
			way.SetDown(false)
			way.LoseReplies(0)
			way.LoseRequests(0)
			way.Before(nil)
			clock.Advance(time.Second)
			assert.NilError(t, trail.Record(ctx, order(3)))
			assert.NilError(t, trail.Record(ctx, order(3))) // a repeat is recorded once
			got := changes(t, trail, Filter{})
			sort.Strings(got) // two writers' entries of one instant have no order
			assert.DeepEqual(t, got, tc.want)
		})
	}
}

// A write is lost on the way and arrives after its caller was told that it is
// not certain. The trail goes on, and what it then calls certain is there.
func TestALateWriteDoesNoHarm(t *testing.T) {
	clock := clockwork.NewFakeClockAt(epoch)
	inner := memstore.New(clock)
	way := faulty.Wrap(inner)
	trail := newTrail(way, clock, "e1")
	assert.NilError(t, trail.Record(ctx, order(1)))
	var late infra.Txn
	way.Before(func(_ string, txn infra.Txn) { late = txn })
	way.LoseRequests(99)
	assert.Assert(t, trail.Record(ctx, order(2)) != nil)
	way.Before(nil)
	way.LoseRequests(0)
	res, err := inner.Txn(ctx, late)
	assert.NilError(t, err)
	assert.Assert(t, res.Succeeded)
	assert.NilError(t, trail.Record(ctx, order(3)))
	assert.NilError(t, trail.Record(ctx, order(4)))
	got := changes(t, trail, Filter{})
	sort.Strings(got)
	assert.DeepEqual(t, got, []string{"c-1", "c-2", "c-3", "c-4"})
}

func beforeWrite(way *faulty.Store, nth int, f func()) {
	seen := 0
	way.Before(func(string, infra.Txn) {
		if seen++; seen == nth {
			f()
		}
	})
}

// Eight entry VMs record at once, and their processes are replaced half way.
// Every entry that was called certain is there once, and the writes stay far
// below one for each entry: what comes together is written together.
func TestManyWriters(t *testing.T) {
	const writers, each = 8, 50
	clock := clockwork.NewFakeClockAt(epoch)
	inner := memstore.New(clock)
	var wg sync.WaitGroup
	var recorded sync.Map
	writes := 0
	for run := range 2 {
		ways := make([]*faulty.Store, writers)
		for w := range writers {
			ways[w] = faulty.Wrap(inner)
			trail := newTrail(ways[w], clock, fmt.Sprintf("e%d", w))
			for i := range each {
				n := (run*writers+w)*each + i
				wg.Go(func() {
					if trail.Record(ctx, order(n)) == nil {
						recorded.Store(fmt.Sprintf("c-%d", n), true)
					}
				})
			}
		}
		wg.Wait()
		for _, way := range ways {
			writes += way.Calls().Writes
		}
	}
	seen := make(map[string]int)
	for _, c := range changes(t, newTrail(inner, clock, "reader"), Filter{Limit: 10000}) {
		seen[c]++
	}
	recorded.Range(func(change, _ any) bool {
		assert.Equal(t, seen[change.(string)], 1, change)
		return true
	})
	assert.Equal(t, len(seen), 2*writers*each)
	assert.Assert(t, writes < 2*writers*each/2, "%d writes", writes)
}

func TestSegmentsAreBounded(t *testing.T) {
	clock := clockwork.NewFakeClockAt(epoch)
	store := memstore.New(clock)
	trail := newTrail(store, clock, "e1")
	long := strings.Repeat("x", 5000)
	for n := range 200 {
		e := order(n)
		e.Detail = long
		assert.NilError(t, trail.Record(ctx, e))
		clock.Advance(time.Second)
	}
	kvs, _, err := store.Range(ctx, infra.AuditPrefix)
	assert.NilError(t, err)
	assert.Assert(t, len(kvs) > 5, "%d keys", len(kvs))
	for _, kv := range kvs {
		assert.Assert(t, len(kv.Value) < maxSegmentBytes+maxBatch*8*maxText, "%s: %d bytes", kv.Key, len(kv.Value))
	}
	assert.Equal(t, len(changes(t, trail, Filter{})), 200)

	// What is older than the retention goes with the next segment, a bounded
	// number at a time.
	clock.Advance(retention + maxSegmentAge)
	assert.NilError(t, trail.Record(ctx, order(999)))
	assert.DeepEqual(t, changes(t, trail, Filter{}), []string{"c-999"})
	kvs, _, err = store.Range(ctx, segmentPrefix)
	assert.NilError(t, err)
	assert.Equal(t, len(kvs), 1)
}

func TestIndexIsBounded(t *testing.T) {
	var ix index
	for n := range maxSegments + 100 {
		key := fmt.Sprintf("k%d", n)
		ix.advance(segmentRef{}, segmentRef{Key: key, From: epoch.Add(time.Duration(n) * time.Second)}, "x")
	}
	assert.Equal(t, len(ix.Segments), maxSegments)
	assert.Equal(t, ix.Segments[0].Key, "k100")
}

func TestReadFilters(t *testing.T) {
	clock := clockwork.NewFakeClockAt(epoch)
	store := memstore.New(clock)
	trail := newTrail(store, clock, "e1")
	for n := range 10 {
		e := order(n)
		if n%2 == 1 {
			e.Who, e.What = "bea", "pause wave spring"
		}
		assert.NilError(t, trail.Record(ctx, e))
		clock.Advance(time.Minute)
	}
	cases := []struct {
		name string
		f    Filter
		want []string
	}{
		{"since", Filter{Since: epoch.Add(8 * time.Minute)}, []string{"c-8", "c-9"}},
		{"until", Filter{Until: epoch.Add(time.Minute)}, []string{"c-0", "c-1"}},
		{"who", Filter{Who: "bea", Since: epoch.Add(6 * time.Minute)}, []string{"c-7", "c-9"}},
		{"what", Filter{What: "wave spring", Until: epoch.Add(2 * time.Minute)}, []string{"c-1"}},
		{"change", Filter{What: "c-4"}, []string{"c-4"}},
		{"subject", Filter{Subject: "wave spring", Until: epoch.Add(2 * time.Minute)}, []string{"c-1"}},
		{"not a part of a name", Filter{Subject: "wave spri"}, nil},
		{"newest", Filter{Limit: 2}, []string{"c-8", "c-9"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			assert.DeepEqual(t, changes(t, trail, tc.f), tc.want)
		})
	}
	_, more, err := trail.Read(ctx, Filter{Limit: 2})
	assert.NilError(t, err)
	assert.Assert(t, more)
}

// A script repeats an order that is refused, a thousand times in a few
// minutes. The trail keeps the first ones and the count of the others, and an
// operator's entries beside them are all kept.
func TestRepeatedRefusalsAreSummedUp(t *testing.T) {
	clock := clockwork.NewFakeClockAt(epoch)
	trail := newTrail(memstore.New(clock), clock, "e1")
	for range 1000 {
		trail.Note(Entry{Who: "script", From: "10.0.0.9", What: "drain vm v2", Result: Refused})
		clock.Advance(100 * time.Millisecond)
	}
	trail.Note(Entry{Who: "ana", From: "10.0.0.7", What: "drain vm v3", Result: Refused})
	assert.NilError(t, trail.Flush(ctx))
	entries, _, err := trail.Read(ctx, Filter{Who: "script"})
	assert.NilError(t, err)
	assert.Assert(t, len(entries) >= noteBurst && len(entries) <= noteBurst+25, "%d entries", len(entries))
	assert.Assert(t, strings.Contains(entries[len(entries)-1].Detail, "more of this source not listed"))
	entries, _, err = trail.Read(ctx, Filter{Who: "ana"})
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 1)
}

// BenchmarkDay records a day of 5,000 orders, each with its outcome, and as
// many refusals, spread over eight entry VMs, and reports what the platform
// sees of it.
func BenchmarkDay(b *testing.B) {
	const entryVMs, perDay = 8, 5000
	for b.Loop() {
		clock := clockwork.NewFakeClockAt(epoch)
		inner := memstore.New(clock)
		var ways []*counting
		var trails []*Trail
		for i := range entryVMs {
			way := &counting{Store: inner}
			ways = append(ways, way)
			trails = append(trails, newTrail(way, clock, fmt.Sprintf("e%d", i)))
		}
		for n := range perDay {
			trail := trails[n%entryVMs]
			for stage, result := range []Result{Asked, Done} {
				e := order(n)
				e.ID = fmt.Sprintf("%d-%d", n, stage)
				e.Result = result
				e.Detail = "~ service preview: limit 0 -> 40"
				if err := trail.Record(ctx, e); err != nil {
					b.Fatal(err)
				}
			}
			trail.Note(Entry{Who: fmt.Sprintf("o%d", n%100), From: "10.0.0.9", What: "drain vm v2", Result: Refused})
			clock.Advance(24 * time.Hour / perDay)
		}
		var writes, reads, written int
		for i, way := range ways {
			if err := trails[i].Flush(ctx); err != nil {
				b.Fatal(err)
			}
			writes += way.writes
			reads += way.reads
			written += way.bytes
		}
		kvs, _, _ := inner.Range(ctx, infra.AuditPrefix)
		held := 0
		for _, kv := range kvs {
			held += len(kv.Value)
		}
		b.ReportMetric(float64(writes), "writes/day")
		b.ReportMetric(float64(reads), "reads/day")
		b.ReportMetric(float64(written)/(24*3600), "written-bytes/s")
		b.ReportMetric(float64(held), "held-bytes")
		b.ReportMetric(float64(len(kvs)), "keys")
	}
}

// counting counts calls and the bytes written.
type counting struct {
	infra.Store
	mu                   sync.Mutex
	writes, reads, bytes int
}

func (c *counting) Get(ctx context.Context, key string) (infra.KV, infra.Revision, error) {
	c.mu.Lock()
	c.reads++
	c.mu.Unlock()
	return c.Store.Get(ctx, key)
}

func (c *counting) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	c.mu.Lock()
	c.writes++
	for _, op := range txn.Then {
		c.bytes += len(op.Value)
	}
	c.mu.Unlock()
	return c.Store.Txn(ctx, txn)
}
