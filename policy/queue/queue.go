// Package queue orders the requests of one service that wait for a slot.
//
// It answers three patterns of load: a burst longer than the slots, one caller
// with most of the load, and urgent work that arrives behind work that can
// wait. Order is by class first, then by deficit round robin between callers
// (weighted, in units of expected service time), then by earliest deadline
// within one caller. Deferrable work is taken only where slots would otherwise
// be idle, and is treated as normal once it has waited DeferrableAge.
package queue

import (
	"container/heap"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// DefaultMax bounds the requests that wait for one service at one entry VM.
// 512 requests over the about 10 slots one entry VM has of a service are 50
// service times of waiting, longer than any answer is of use; what a bound
// must stop is memory growing with the load, not waiting (admission does that).
const DefaultMax = 512

// DeferrableAge is how long deferrable work yields to all other. Panel
// cleaning may wait for minutes, but a steady normal load must not starve it:
// after this time it competes as normal work within its caller's share.
const DeferrableAge = 30 * time.Second

// Item is one waiting request. The caller of this package owns it; a queued
// Item must not be changed.
type Item struct {
	Caller   string
	Class    model.Class
	Arrived  time.Time
	Deadline time.Time // after it nobody wants the answer
	Cost     float64   // expected service time relative to the service's mean; 0 counts as 1
	Data     any       // the executor's own

	flow     *flow
	index    int // in flow.items, -1 when not queued
	expIndex int // in Queue.byDeadline
}

// Config sets a Queue's bounds.
type Config struct {
	Max    int                         // most items; 0 for DefaultMax
	Weight func(caller string) float64 // share of a caller; nil for equal shares
}

// Queue holds waiting requests. It is not safe for concurrent use.
type Queue struct {
	max        int
	weight     func(string) float64
	levels     [levels]level
	callers    map[string]int // queued items per caller, all classes
	byDeadline deadlineHeap
	deferred   []*Item // deferrable items in order of arrival, nil where gone
}

// levels is the number of classes; the level of a class is its value, so that
// a greater level is served first.
const levels = int(model.ClassUrgent) + 1

// New returns an empty Queue.
func New(cfg Config) *Queue {
	q := &Queue{max: cfg.Max, weight: cfg.Weight, callers: make(map[string]int)}
	if q.max <= 0 {
		q.max = DefaultMax
	}
	if q.weight == nil {
		q.weight = func(string) float64 { return 1 }
	}
	for i := range q.levels {
		q.levels[i].flows = make(map[string]*flow)
	}
	return q
}

// Len returns the number of queued items.
func (q *Queue) Len() int { return len(q.byDeadline) }

// LenOf returns the number of the caller's queued items.
func (q *Queue) LenOf(caller string) int { return q.callers[caller] }

// CostAhead returns the cost that runs before a further request of the caller and
// class: all of more urgent classes, and of its own class what each caller may
// run while this caller's own items get their turn.
func (q *Queue) CostAhead(caller string, class model.Class) float64 {
	ahead := 0.0
	for l := levels - 1; l > int(class); l-- {
		ahead += q.levels[l].cost()
	}
	return ahead + q.levels[class].ahead(caller, q.weight)
}

// Push queues the item. Where the queue is full, room is made by taking out
// the least urgent item of the caller that has most queued relative to its
// weight; that item, which may be the pushed one, is returned and will not run.
func (q *Queue) Push(it *Item) (evicted *Item) {
	if it.Cost <= 0 {
		it.Cost = 1
	}
	q.insert(it, int(it.Class))
	if q.Len() <= q.max {
		return nil
	}
	evicted = q.victim()
	q.Remove(evicted)
	return evicted
}

// Pop takes out the item to run next, nil if there is none. idle tells that
// slots are free beyond what urgent and normal work may need at once; without
// it deferrable work stays queued. Items past their deadline at now are never
// returned; TakeExpired returns those.
func (q *Queue) Pop(now time.Time, idle bool) *Item {
	q.age(now)
	lowest := int(model.ClassNormal)
	if idle {
		lowest = int(model.ClassDeferrable)
	}
	for l := levels - 1; l >= lowest; l-- {
		if it := q.levels[l].next(now, q.weight); it != nil {
			q.Remove(it)
			return it
		}
	}
	return nil
}

// TakeExpired takes out every item whose deadline is not after now.
func (q *Queue) TakeExpired(now time.Time) []*Item {
	var expired []*Item
	for len(q.byDeadline) > 0 && !q.byDeadline[0].Deadline.After(now) {
		it := q.byDeadline[0]
		q.Remove(it)
		expired = append(expired, it)
	}
	return expired
}

// Remove takes the item out, for example because its caller went away. It
// reports whether the item was queued.
func (q *Queue) Remove(it *Item) bool {
	if it.flow == nil {
		return false
	}
	heap.Remove(&q.byDeadline, it.expIndex)
	f := it.flow
	heap.Remove(&f.items, it.index)
	f.cost -= it.Cost
	it.flow = nil
	if len(f.items) == 0 {
		f.level.drop(f)
	}
	q.callers[it.Caller]--
	if q.callers[it.Caller] == 0 {
		delete(q.callers, it.Caller)
	}
	return true
}

func (q *Queue) insert(it *Item, lvl int) {
	l := &q.levels[lvl]
	f := l.flowOf(it.Caller)
	it.flow = f
	f.cost += it.Cost
	heap.Push(&f.items, it)
	heap.Push(&q.byDeadline, it)
	q.callers[it.Caller]++
	if lvl == int(model.ClassDeferrable) {
		q.deferred = append(q.deferred, it)
		q.compactDeferred()
	}
}

// compactDeferred drops items that left the queue otherwise than by ageing, so
// that the list stays within twice the queue's bound.
func (q *Queue) compactDeferred() {
	if len(q.deferred) <= 2*q.max {
		return
	}
	q.deferred = slices.DeleteFunc(q.deferred, func(it *Item) bool { return !q.isDeferred(it) })
}

func (q *Queue) isDeferred(it *Item) bool {
	return it.flow != nil && it.flow.level == &q.levels[model.ClassDeferrable]
}

// age moves deferrable items that waited DeferrableAge to the normal level.
func (q *Queue) age(now time.Time) {
	for len(q.deferred) > 0 {
		it := q.deferred[0]
		queued := q.isDeferred(it)
		if queued && now.Sub(it.Arrived) < DeferrableAge {
			return
		}
		q.deferred = q.deferred[1:]
		if queued {
			q.Remove(it)
			q.insert(it, int(model.ClassNormal))
		}
	}
}

// victim returns the item to evict: of the least urgent class that has any,
// the latest deadline of the caller with most queued per weight.
func (q *Queue) victim() *Item {
	for l := range q.levels {
		if f := q.levels[l].longest(q.weight); f != nil {
			return f.items.latest()
		}
	}
	return nil
}
