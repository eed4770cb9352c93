package queue

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/model"
)

var t0 = time.Unix(1_000_000, 0)

func item(caller string, class model.Class, deadline time.Duration, cost float64) *Item {
	return &Item{Caller: caller, Class: class, Arrived: t0, Deadline: t0.Add(deadline), Cost: cost, Data: caller}
}

// order pops all items and returns their Data, joined in that order.
func order(q *Queue, now time.Time) string {
	s := ""
	for it := q.Pop(now, true); it != nil; it = q.Pop(now, true) {
		s += it.Data.(string)
	}
	return s
}

func TestOrder(t *testing.T) {
	const n, u, d = model.ClassNormal, model.ClassUrgent, model.ClassDeferrable
	cases := []struct {
		name   string
		weight map[string]float64
		items  []*Item
		at     time.Duration
		want   string
	}{
		{"earliest deadline within a caller", nil,
			[]*Item{{Caller: "a", Class: n, Deadline: t0.Add(3), Data: "3"}, {Caller: "a", Class: n, Deadline: t0.Add(1), Data: "1"}, {Caller: "a", Class: n, Deadline: t0.Add(2), Data: "2"}}, 0, "123"},
		{"callers take turns whatever their deadlines", nil,
			[]*Item{item("a", n, 1, 1), item("a", n, 1, 1), item("a", n, 1, 1), item("b", n, 9, 1)}, 0, "abaa"},
		{"class before callers and deadlines", nil,
			[]*Item{item("d", d, 1, 1), item("n", n, 2, 1), item("u", u, 9, 1)}, 0, "und"},
		{"weights", map[string]float64{"a": 2},
			[]*Item{item("a", n, 9, 1), item("a", n, 9, 1), item("a", n, 9, 1), item("a", n, 9, 1), item("b", n, 9, 1), item("b", n, 9, 1)}, 0, "aabaab"},
		{"turns count by cost", nil,
			[]*Item{item("a", n, 9, 3), item("a", n, 9, 3), item("b", n, 9, 1), item("b", n, 9, 1), item("b", n, 9, 1), item("b", n, 9, 1)}, 0, "bbabba"},
		{"a weight of zero still gets its turn", map[string]float64{"a": 0},
			[]*Item{item("a", n, 9, 1), item("b", n, 9, 1)}, 0, "ba"},
		{"expired items are not run", nil,
			[]*Item{item("a", n, 1, 1), item("b", n, 5, 1)}, 2, "b"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			q := New(Config{Weight: func(c string) float64 {
				if w, ok := tc.weight[c]; ok {
					return w
				}
				return 1
			}})
			for _, it := range tc.items {
				assert.Assert(t, q.Push(it) == nil)
			}
			assert.Equal(t, order(q, t0.Add(tc.at)), tc.want)
		})
	}
}

func TestDeferrableWaitsForIdleSlotsAndAges(t *testing.T) {
	q := New(Config{})
	q.Push(item("d", model.ClassDeferrable, time.Hour, 1))
	assert.Assert(t, q.Pop(t0, false) == nil)
	assert.Assert(t, q.Pop(t0.Add(DeferrableAge-1), false) == nil)
	assert.Assert(t, q.Pop(t0.Add(DeferrableAge), false) != nil)
	assert.Equal(t, q.Len(), 0)
}

func TestFullQueueEvictsFromTheMostLoadedCaller(t *testing.T) {
	cases := []struct {
		name   string
		pushed *Item
		want   string // whose item is evicted
	}{
		{"a light caller gets in", item("light", model.ClassNormal, 5, 1), "heavy"},
		{"the most loaded caller does not", item("heavy", model.ClassNormal, 50, 1), "heavy"},
		{"less urgent work is evicted first", item("x", model.ClassDeferrable, 5, 1), "x"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			q := New(Config{Max: 4})
			for i := range 3 {
				q.Push(item("heavy", model.ClassNormal, time.Duration(10+i), 1))
			}
			q.Push(item("other", model.ClassNormal, 1, 1))
			evicted := q.Push(tc.pushed)
			assert.Equal(t, evicted.Caller, tc.want)
			assert.Equal(t, q.Len(), 4)
			assert.Assert(t, !q.Remove(evicted), "it is no longer queued")
		})
	}
}

func TestRemoveAndExpire(t *testing.T) {
	q := New(Config{})
	removed, late, kept := item("a", model.ClassNormal, 5, 1), item("a", model.ClassUrgent, 1, 1), item("b", model.ClassNormal, 5, 1)
	for _, it := range []*Item{removed, late, kept} {
		q.Push(it)
	}
	assert.Assert(t, q.Remove(removed))
	assert.Equal(t, q.LenOf("a"), 1)
	expired := q.TakeExpired(t0.Add(2))
	assert.Equal(t, len(expired), 1)
	assert.Assert(t, expired[0] == late)
	assert.Assert(t, q.Pop(t0, true) == kept)
}

func TestCostAhead(t *testing.T) {
	q := New(Config{})
	for range 10 {
		q.Push(item("heavy", model.ClassNormal, 5, 1))
	}
	q.Push(item("u", model.ClassUrgent, 5, 2))
	cases := []struct {
		name   string
		caller string
		class  model.Class
		want   float64
	}{
		{"a new caller waits for one item of each other caller and all urgent ones", "light", model.ClassNormal, 3},
		{"a caller with queued items waits for its own, too", "heavy", model.ClassNormal, 12},
		{"an urgent request waits for urgent ones only", "light", model.ClassUrgent, 1},
		{"a deferrable request waits for all", "light", model.ClassDeferrable, 12},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, q.CostAhead(tc.caller, tc.class), tc.want)
		})
	}
}

// Callers with ever new names send deferrable work that is removed again. If the
// queue kept anything for each of them, its memory would grow without bound.
func TestMemoryIsBounded(t *testing.T) {
	q := New(Config{Max: 8})
	keep := item("k", model.ClassDeferrable, time.Hour, 1)
	q.Push(keep)
	for i := range 1000 {
		it := item(fmt.Sprint(i), model.ClassDeferrable, time.Hour, 1)
		q.Push(it)
		q.Remove(it)
	}
	assert.Assert(t, len(q.deferred) <= 17, "%d", len(q.deferred))
	assert.Equal(t, len(q.callers), 1)
	assert.Equal(t, len(q.levels[model.ClassDeferrable].flows), 1)
}
