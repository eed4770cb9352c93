// Package queue orders the requests of one service that wait for a slot.
//
// Load patterns: a burst that exceeds the slots, one caller with most of the
// load, and urgent work that arrives after work that can wait. Requests are
// ordered by class, then by deficit round robin between callers (weighted, in
// units of expected service time), then by earliest deadline within a caller.
// Deferrable work runs only on slots that would otherwise be idle, and is
// treated as normal once it has waited DeferrableAge.
package queue

import (
	"container/heap"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// DefaultMax bounds the requests that wait for one service at one entry VM. An
// entry VM has about 10 slots of a service, so 512 requests wait for 50 service
// times, longer than any answer is of use. The bound is there to limit memory
// as the load grows; package admission limits the wait.
const DefaultMax = 512

// DeferrableAge is how long deferrable work yields to all other work. Such work,
// panel cleaning for example, may wait for minutes, but a steady normal load must
// not starve it: after this time it competes as normal work within its caller's
// share.
const DeferrableAge = 30 * time.Second

// Item is one waiting request. It belongs to the user of this package, who must
// not change it while it is queued.
type Item struct {
	Caller   string
	Class    model.Class
	Arrived  time.Time
	Deadline time.Time // the answer is of no use after it
	Cost     float64   // expected service time relative to the service's mean; 0 counts as 1
	Data     any       // opaque to this package

	flow     *flow
	index    int // in flow.items, -1 when not queued
	expIndex int // in Queue.byDeadline
}

// Config sets a Queue's bounds.
type Config struct {
	Max    int                         // bound on the queued items; 0 for DefaultMax
	Weight func(caller string) float64 // weight of a caller's share; nil for equal shares
}

// Queue holds waiting requests. It is not safe for concurrent use.
type Queue struct {
	max        int
	weight     func(string) float64
	levels     [levels]level
	callers    map[string]int // queued items per caller, all classes
	byDeadline deadlineHeap
	deferred   []*Item // deferrable items in order of arrival, and some that have left the queue or aged
}

// levels is the number of classes. The index of a class's level is the value of
// the class; greater ones are served first.
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

// Len returns the number of queued items of all callers.
func (q *Queue) Len() int { return len(q.byDeadline) }

// LenOf returns the number of the caller's queued items.
func (q *Queue) LenOf(caller string) int { return q.callers[caller] }

// CostAhead returns the cost that runs before a further request of the caller
// and class: that of all items of more urgent classes and, of its own class,
// what each caller may run until this caller's queued items have had their turn.
func (q *Queue) CostAhead(caller string, class model.Class) float64 {
	ahead := 0.0
	for l := levels - 1; l > int(class); l-- {
		ahead += q.levels[l].cost()
	}
	return ahead + q.levels[class].costAhead(caller, q.weight)
}

// Push queues the item. If the queue is then over its bound, it evicts an item
// of the least urgent class: the one with the latest deadline of the caller that
// has the most queued relative to its weight. The evicted item, which may be the
// pushed one, is returned and will not run; nil if none was evicted.
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

// Pop removes and returns the item to run next, nil if there is none. idle tells
// that more slots are free than urgent and normal work may need at once; without
// it deferrable work stays queued. Items whose deadline is not after now are
// never returned; TakeExpired returns those.
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

// TakeExpired removes and returns every item whose deadline is not after now.
func (q *Queue) TakeExpired(now time.Time) []*Item {
	var expired []*Item
	for len(q.byDeadline) > 0 && !q.byDeadline[0].Deadline.After(now) {
		it := q.byDeadline[0]
		q.Remove(it)
		expired = append(expired, it)
	}
	return expired
}

// Remove removes the item, for example because its caller has disconnected. It
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
		f.level.removeFlow(f)
	}
	q.callers[it.Caller]--
	if q.callers[it.Caller] == 0 {
		delete(q.callers, it.Caller)
	}
	return true
}

// insert queues the item at the level with the index lvl.
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

// compactDeferred removes items from the list that left the queue other than by
// ageing, so that the list stays within twice the queue's bound.
func (q *Queue) compactDeferred() {
	if len(q.deferred) <= 2*q.max {
		return
	}
	q.deferred = slices.DeleteFunc(q.deferred, func(it *Item) bool { return !q.isDeferred(it) })
}

// isDeferred reports whether the item is queued at the deferrable level.
func (q *Queue) isDeferred(it *Item) bool {
	return it.flow != nil && it.flow.level == &q.levels[model.ClassDeferrable]
}

// age moves deferrable items that have waited DeferrableAge to the normal level.
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

// victim returns the item to evict: of the least urgent class that has any item,
// the one with the latest deadline of the most loaded caller.
func (q *Queue) victim() *Item {
	for l := range q.levels {
		if f := q.levels[l].mostLoaded(q.weight); f != nil {
			return f.items.latest()
		}
	}
	return nil
}
