package queue

import (
	"container/heap"
	"time"
)

// flow holds one caller's items within a level.
type flow struct {
	caller     string
	level      *level
	items      itemHeap
	cost       float64 // total cost of its items
	deficit    float64 // cost that it may still run in this round
	quantumDue bool    // it was given no quantum in this visit yet
}

// level holds the flows of one class in round-robin order.
type level struct {
	flows   map[string]*flow
	ring    []*flow
	current int // index in ring of the flow whose turn it is
}

func (l *level) flowOf(caller string) *flow {
	if f, ok := l.flows[caller]; ok {
		return f
	}
	f := &flow{caller: caller, level: l, quantumDue: true}
	l.flows[caller] = f
	l.ring = append(l.ring, f)
	return f
}

// removeFlow removes an empty flow together with its deficit: a caller that
// returns must not have credit for the time in which it sent no requests.
func (l *level) removeFlow(f *flow) {
	delete(l.flows, f.caller)
	for i, other := range l.ring {
		if other != f {
			continue
		}
		l.ring = append(l.ring[:i], l.ring[i+1:]...)
		if i < l.current {
			l.current--
		}
		break
	}
	if l.current >= len(l.ring) {
		l.current = 0
	}
}

// next returns the next item by deficit round robin and charges its flow, but
// does not remove the item; it returns nil if every item has expired. Each
// visit gives a flow a quantum of its weight, so that over time the cost that
// callers run is in proportion to their weights.
func (l *level) next(now time.Time, weight func(string) float64) *Item {
	for range l.maxVisits(now, weight) {
		f := l.ring[l.current]
		if f.quantumDue {
			f.deficit += max(weight(f.caller), minWeight)
			f.quantumDue = false
		}
		it := f.items.earliestUnexpired(now)
		if it != nil && it.Cost <= f.deficit {
			f.deficit -= it.Cost
			return it
		}
		f.quantumDue = true
		l.current = (l.current + 1) % len(l.ring)
	}
	return nil
}

// minWeight replaces smaller weights: with a weight of zero or less a caller
// would be starved for ever.
const minWeight = 0.01

// maxVisits bounds the search for the next item: after so many visits the flow
// that needs the fewest rounds has a deficit of at least its first item's cost.
func (l *level) maxVisits(now time.Time, weight func(string) float64) int {
	minRounds := -1
	for _, f := range l.ring {
		it := f.items.earliestUnexpired(now)
		if it == nil {
			continue
		}
		rounds := 2
		if missing := it.Cost - f.deficit; missing > 0 {
			rounds += int(missing / max(weight(f.caller), minWeight))
		}
		if minRounds < 0 || rounds < minRounds {
			minRounds = rounds
		}
	}
	return (minRounds + 1) * len(l.ring)
}

// cost returns the total cost of the level's items.
func (l *level) cost() float64 {
	sum := 0.0
	for _, f := range l.ring {
		sum += f.cost
	}
	return sum
}

// costAhead returns the cost that the level's callers may run before a further
// item of the caller, of cost 1, gets its turn after the caller's queued items.
func (l *level) costAhead(caller string, weight func(string) float64) float64 {
	own := 1.0
	if f, ok := l.flows[caller]; ok {
		own += f.cost
	}
	turns := own / max(weight(caller), minWeight)
	ahead := own - 1
	for _, f := range l.ring {
		if f.caller != caller {
			ahead += min(f.cost, turns*max(weight(f.caller), minWeight))
		}
	}
	return ahead
}

// mostLoaded returns the flow with the most items relative to its caller's
// weight; nil if the level is empty.
func (l *level) mostLoaded(weight func(string) float64) *flow {
	var found *flow
	maxLoad := 0.0
	for _, f := range l.ring {
		load := float64(len(f.items)) / max(weight(f.caller), minWeight)
		if found == nil || load > maxLoad {
			found, maxLoad = f, load
		}
	}
	return found
}

// itemHeap holds one flow's items by deadline.
type itemHeap []*Item

func (h itemHeap) Len() int           { return len(h) }
func (h itemHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h itemHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *itemHeap) Push(x any) {
	it := x.(*Item)
	it.index = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *itemHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.index = -1
	return it
}

// earliestUnexpired returns the item with the earliest deadline after now, nil if
// there is none. It scans all items only where the earliest has expired, which is
// rare, as TakeExpired removes those.
func (h itemHeap) earliestUnexpired(now time.Time) *Item {
	if len(h) > 0 && h[0].Deadline.After(now) {
		return h[0]
	}
	var found *Item
	for _, it := range h {
		if it.Deadline.After(now) && (found == nil || it.Deadline.Before(found.Deadline)) {
			found = it
		}
	}
	return found
}

// latest returns the item with the latest deadline; the heap must not be empty.
func (h itemHeap) latest() *Item {
	found := h[0]
	for _, it := range h {
		if it.Deadline.After(found.Deadline) {
			found = it
		}
	}
	return found
}

// deadlineHeap holds all items of a queue by deadline.
type deadlineHeap []*Item

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(i, j int) bool { return h[i].Deadline.Before(h[j].Deadline) }
func (h deadlineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expIndex, h[j].expIndex = i, j
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	it := x.(*Item)
	it.expIndex = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	it := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	it.expIndex = -1
	return it
}

var (
	_ heap.Interface = (*itemHeap)(nil)
	_ heap.Interface = (*deadlineHeap)(nil)
)
