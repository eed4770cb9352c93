package queue

import (
	"container/heap"
	"time"
)

// flow is one caller's items within a level.
type flow struct {
	caller  string
	level   *level
	items   itemHeap
	cost    float64 // of all items
	deficit float64 // cost it may still run in this round
	fresh   bool    // it has had no quantum in this visit yet
}

// level holds the flows of one class in round robin order.
type level struct {
	flows map[string]*flow
	ring  []*flow
	at    int // the flow whose turn it is
}

func (l *level) flowOf(caller string) *flow {
	if f, ok := l.flows[caller]; ok {
		return f
	}
	f := &flow{caller: caller, level: l, fresh: true}
	l.flows[caller] = f
	l.ring = append(l.ring, f)
	return f
}

// drop forgets an empty flow. Its deficit goes with it: a caller that was
// away must not come back with credit for the time it asked for nothing.
func (l *level) drop(f *flow) {
	delete(l.flows, f.caller)
	for i, other := range l.ring {
		if other != f {
			continue
		}
		l.ring = append(l.ring[:i], l.ring[i+1:]...)
		if i < l.at {
			l.at--
		}
		break
	}
	if l.at >= len(l.ring) {
		l.at = 0
	}
}

// next returns the item whose turn it is by deficit round robin, without
// taking it out; it charges the flow. Each visit gives a flow a quantum of its
// weight, so that over time callers get cost in proportion to weight.
func (l *level) next(now time.Time, weight func(string) float64) *Item {
	for range l.maxVisits(now, weight) {
		f := l.ring[l.at]
		if f.fresh {
			f.deficit += max(weight(f.caller), minWeight)
			f.fresh = false
		}
		it := f.items.earliestAlive(now)
		if it != nil && it.Cost <= f.deficit {
			f.deficit -= it.Cost
			return it
		}
		f.fresh = true
		l.at = (l.at + 1) % len(l.ring)
	}
	return nil
}

// minWeight keeps a weight of zero or less from starving a caller for ever.
const minWeight = 0.01

// maxVisits bounds the search for the next item: after so many visits the flow
// that needs the fewest rounds has collected its first item's cost.
func (l *level) maxVisits(now time.Time, weight func(string) float64) int {
	least := -1
	for _, f := range l.ring {
		it := f.items.earliestAlive(now)
		if it == nil {
			continue
		}
		rounds := 2
		if short := it.Cost - f.deficit; short > 0 {
			rounds += int(short / max(weight(f.caller), minWeight))
		}
		if least < 0 || rounds < least {
			least = rounds
		}
	}
	return (least + 1) * len(l.ring)
}

func (l *level) cost() float64 {
	sum := 0.0
	for _, f := range l.ring {
		sum += f.cost
	}
	return sum
}

// ahead returns what the level's callers may run until the caller's queued
// items and one more of cost 1 have run.
func (l *level) ahead(caller string, weight func(string) float64) float64 {
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

func (l *level) longest(weight func(string) float64) *flow {
	var found *flow
	most := 0.0
	for _, f := range l.ring {
		load := float64(len(f.items)) / max(weight(f.caller), minWeight)
		if found == nil || load > most {
			found, most = f, load
		}
	}
	return found
}

// itemHeap is one flow's items by deadline.
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

// earliestAlive returns the item with the earliest deadline after now. Expired
// items are rare, as the executor takes them out, so a scan does.
func (h itemHeap) earliestAlive(now time.Time) *Item {
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

func (h itemHeap) latest() *Item {
	found := h[0]
	for _, it := range h {
		if it.Deadline.After(found.Deadline) {
			found = it
		}
	}
	return found
}

// deadlineHeap is all items of a queue by deadline.
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
