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
	return New(Options{Store: store, Self: model.EntryID(self), Clock: clock, WriteInterval: -1})
}

func testEntry(n int) Entry {
	return Entry{ID: fmt.Sprintf("id-%d", n), Who: "ana", From: "10.0.0.7", Change: model.ChangeID(fmt.Sprintf("c-%d", n)), What: "drain vm v1", Result: Asked}
}

func readChanges(t *testing.T, trail *Trail, f Filter) []string {
	t.Helper()
	entries, _, err := trail.Read(ctx, f)
	assert.NilError(t, err)
	var found []string
	for _, e := range entries {
		found = append(found, string(e.Change))
	}
	return found
}

// Calls to the store fail in several stores while an entry is recorded. An entry
// that Record reports as recorded must be in the trail exactly once, one that it
// reports as certainly not recorded must not be there, and recording must work
// again afterwards.
func TestRecordUnderFaults(t *testing.T) {
	rival := func(inner infra.Store, clock clockwork.Clock) func() {
		return func() { _ = newTrail(inner, clock, "e2").Record(ctx, testEntry(9)) }
	}
	cases := []struct {
		name    string
		first   bool // whether an entry is recorded first, so that a segment is open
		fault   func(store *faulty.Store, rival func())
		wantErr bool
		certain bool
		want    []string // changes in the trail; c-3 is recorded after the fault
	}{
		{"none", true, func(*faulty.Store, func()) {}, false, false, []string{"c-1", "c-2", "c-3"}},
		{"down", true, func(store *faulty.Store, _ func()) { store.SetDown(true) }, true, true, []string{"c-1", "c-3"}},
		{"down, first segment", false, func(store *faulty.Store, _ func()) { store.SetDown(true) }, true, true, []string{"c-3"}},
		{"reply lost", true, func(store *faulty.Store, _ func()) { store.LoseReplies(1) }, false, false, []string{"c-1", "c-2", "c-3"}},
		{"reply lost, first segment", false, func(store *faulty.Store, _ func()) { store.LoseReplies(1) }, false, false, []string{"c-2", "c-3"}},
		{"request lost", true, func(store *faulty.Store, _ func()) { store.LoseRequests(1) }, false, false, []string{"c-1", "c-2", "c-3"}},
		{"every request lost", true, func(store *faulty.Store, _ func()) { store.LoseRequests(99) }, true, false, []string{"c-1", "c-3"}},
		{"another writer opens a segment first", false, func(store *faulty.Store, rival func()) { beforeWrite(store, 1, rival) },
			false, false, []string{"c-2", "c-3", "c-9"}},
		{"reply lost, then another writer opens a segment", false, func(store *faulty.Store, rival func()) {
			store.LoseReplies(1)
			beforeWrite(store, 2, rival)
		}, false, false, []string{"c-2", "c-3", "c-9"}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewFakeClockAt(epoch)
			inner := memstore.New(clock)
			store := faulty.Wrap(inner)
			trail := newTrail(store, clock, "e1")
			if tc.first {
				assert.NilError(t, trail.Record(ctx, testEntry(1)))
			}
			tc.fault(store, rival(inner, clock))
			err := trail.Record(ctx, testEntry(2))
			assert.Equal(t, err != nil, tc.wantErr, "%v", err)
			var failed *Error
			if errors.As(err, &failed) {
				assert.Equal(t, failed.Certain, tc.certain)
			}
			store.SetDown(false)
			store.LoseReplies(0)
			store.LoseRequests(0)
			store.BeforeWrite(nil)
			clock.Advance(time.Second)
			assert.NilError(t, trail.Record(ctx, testEntry(3)))
			assert.NilError(t, trail.Record(ctx, testEntry(3))) // an entry recorded again is stored once
			got := readChanges(t, trail, Filter{})
			sort.Strings(got) // entries of two writers with the same time have no order
			assert.DeepEqual(t, got, tc.want)
		})
	}
}

// A lost write arrives at the store after Record has reported an uncertain
// outcome. Entries recorded after that must be in the trail nevertheless.
func TestRecordAfterDelayedWrite(t *testing.T) {
	clock := clockwork.NewFakeClockAt(epoch)
	inner := memstore.New(clock)
	store := faulty.Wrap(inner)
	trail := newTrail(store, clock, "e1")
	assert.NilError(t, trail.Record(ctx, testEntry(1)))
	var late infra.Txn
	store.BeforeWrite(func(_ string, txn infra.Txn) { late = txn })
	store.LoseRequests(99)
	assert.Assert(t, trail.Record(ctx, testEntry(2)) != nil)
	store.BeforeWrite(nil)
	store.LoseRequests(0)
	res, err := inner.Txn(ctx, late)
	assert.NilError(t, err)
	assert.Assert(t, res.Succeeded)
	assert.NilError(t, trail.Record(ctx, testEntry(3)))
	assert.NilError(t, trail.Record(ctx, testEntry(4)))
	got := readChanges(t, trail, Filter{})
	sort.Strings(got)
	assert.DeepEqual(t, got, []string{"c-1", "c-2", "c-3", "c-4"})
}

func beforeWrite(store *faulty.Store, nth int, f func()) {
	seen := 0
	store.BeforeWrite(func(string, infra.Txn) {
		if seen++; seen == nth {
			f()
		}
	})
}

// Eight entry VMs record concurrently, and their processes are replaced half-store.
// Every entry reported as recorded must be there exactly once. Concurrent entries
// must be written in batches, with far fewer writes than entries.
func TestManyWriters(t *testing.T) {
	const writers, each = 8, 50
	clock := clockwork.NewFakeClockAt(epoch)
	inner := memstore.New(clock)
	var wg sync.WaitGroup
	var recorded sync.Map
	writes := 0
	for run := range 2 {
		stores := make([]*faulty.Store, writers)
		for w := range writers {
			stores[w] = faulty.Wrap(inner)
			trail := newTrail(stores[w], clock, fmt.Sprintf("e%d", w))
			for i := range each {
				n := (run*writers+w)*each + i
				wg.Go(func() {
					if trail.Record(ctx, testEntry(n)) == nil {
						recorded.Store(fmt.Sprintf("c-%d", n), true)
					}
				})
			}
		}
		wg.Wait()
		for _, store := range stores {
			writes += store.Calls().Writes
		}
	}
	seen := make(map[string]int)
	for _, c := range readChanges(t, newTrail(inner, clock, "reader"), Filter{Limit: 10000}) {
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
		e := testEntry(n)
		e.Detail = long
		assert.NilError(t, trail.Record(ctx, e))
		clock.Advance(time.Second)
	}
	kvs, _, err := store.Range(ctx, infra.AuditPrefix)
	assert.NilError(t, err)
	assert.Assert(t, len(kvs) > 5, "%d keys", len(kvs))
	for _, kv := range kvs {
		assert.Assert(t, len(kv.Value) < maxSegmentBytes+maxBatch*8*maxTextBytes, "%s: %d bytes", kv.Key, len(kv.Value))
	}
	assert.Equal(t, len(readChanges(t, trail, Filter{})), 200)

	// Opening the next segment deletes the ones beyond the retention time, a
	// bounded number at a time.
	clock.Advance(retention + maxSegmentAge)
	assert.NilError(t, trail.Record(ctx, testEntry(999)))
	assert.DeepEqual(t, readChanges(t, trail, Filter{}), []string{"c-999"})
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
		e := testEntry(n)
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
			assert.DeepEqual(t, readChanges(t, trail, tc.f), tc.want)
		})
	}
	_, more, err := trail.Read(ctx, Filter{Limit: 2})
	assert.NilError(t, err)
	assert.Assert(t, more)
}

// A script repeats a refused order a thousand times in a few minutes. The trail
// must keep the first entries and the number of the others, and all entries that
// an operator causes at the same time.
func TestRepeatedRefusalsAreSummedUp(t *testing.T) {
	clock := clockwork.NewFakeClockAt(epoch)
	trail := newTrail(memstore.New(clock), clock, "e1")
	for range 1000 {
		trail.RecordLimited(Entry{Who: "script", From: "10.0.0.9", What: "drain vm v2", Result: Refused})
		clock.Advance(100 * time.Millisecond)
	}
	trail.RecordLimited(Entry{Who: "ana", From: "10.0.0.7", What: "drain vm v3", Result: Refused})
	assert.NilError(t, trail.Flush(ctx))
	entries, _, err := trail.Read(ctx, Filter{Who: "script"})
	assert.NilError(t, err)
	assert.Assert(t, len(entries) >= sourceBurst && len(entries) <= sourceBurst+25, "%d entries", len(entries))
	assert.Assert(t, strings.Contains(entries[len(entries)-1].Detail, "more of this source not listed"))
	entries, _, err = trail.Read(ctx, Filter{Who: "ana"})
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 1)
}

// BenchmarkDay records a day of 5,000 orders, each with its outcome, and as many
// refusals, spread over eight entry VMs, and reports the load on the store.
func BenchmarkDay(b *testing.B) {
	const entryVMs, perDay = 8, 5000
	for b.Loop() {
		clock := clockwork.NewFakeClockAt(epoch)
		inner := memstore.New(clock)
		var stores []*countingStore
		var trails []*Trail
		for i := range entryVMs {
			store := &countingStore{Store: inner}
			stores = append(stores, store)
			trails = append(trails, newTrail(store, clock, fmt.Sprintf("e%d", i)))
		}
		for n := range perDay {
			trail := trails[n%entryVMs]
			for stage, result := range []Result{Asked, Done} {
				e := testEntry(n)
				e.ID = fmt.Sprintf("%d-%d", n, stage)
				e.Result = result
				e.Detail = "~ service preview: limit 0 -> 40"
				if err := trail.Record(ctx, e); err != nil {
					b.Fatal(err)
				}
			}
			trail.RecordLimited(Entry{Who: fmt.Sprintf("o%d", n%100), From: "10.0.0.9", What: "drain vm v2", Result: Refused})
			clock.Advance(24 * time.Hour / perDay)
		}
		var writes, reads, written int
		for i, store := range stores {
			if err := trails[i].Flush(ctx); err != nil {
				b.Fatal(err)
			}
			writes += store.writes
			reads += store.reads
			written += store.bytes
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

// countingStore counts reads, writes and the bytes written.
type countingStore struct {
	infra.Store
	mu                   sync.Mutex
	writes, reads, bytes int
}

func (c *countingStore) Get(ctx context.Context, key string) (infra.KV, infra.Revision, error) {
	c.mu.Lock()
	c.reads++
	c.mu.Unlock()
	return c.Store.Get(ctx, key)
}

func (c *countingStore) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	c.mu.Lock()
	c.writes++
	for _, op := range txn.Then {
		c.bytes += len(op.Value)
	}
	c.mu.Unlock()
	return c.Store.Txn(ctx, txn)
}
