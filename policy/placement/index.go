package placement

import (
	"slices"

	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// bucketCPU is the width of a bucket of free processors: a whole one.
	bucketCPU = 1000
	// maxBuckets bounds the buckets; larger workers share the last.
	maxBuckets = 257
	// candidates is how many feasible workers are scored for one job. They
	// come from the fullest up, so the best for packing is among the first;
	// the others are there for memory, maintenance and accelerators.
	candidates = 48
)

// index keeps the workers by free processors, so that a job doesn't look at
// the thousands that are full.
type index struct {
	workers []Worker
	probes  []int32             // workers on probe, which are looked at first
	buckets [maxBuckets][]int32 // positions in workers, in no particular order
	at      []int32             // place of a worker in its bucket
}

func newIndex(workers []Worker) *index {
	ix := &index{workers: workers, at: make([]int32, len(workers))}
	for i := range workers {
		ix.insert(int32(i))
		if workers[i].Probe {
			ix.probes = append(ix.probes, int32(i))
		}
	}
	return ix
}

func bucketOf(free int64) int {
	return int(min(max(free, 0)/bucketCPU, maxBuckets-1))
}

func (ix *index) insert(i int32) {
	b := bucketOf(ix.workers[i].free().MilliCPU)
	ix.at[i] = int32(len(ix.buckets[b]))
	ix.buckets[b] = append(ix.buckets[b], i)
}

func (ix *index) remove(i int32) {
	b := bucketOf(ix.workers[i].free().MilliCPU)
	last := len(ix.buckets[b]) - 1
	moved := ix.buckets[b][last]
	ix.buckets[b][ix.at[i]] = moved
	ix.at[moved] = ix.at[i]
	ix.buckets[b] = ix.buckets[b][:last]
}

// use takes size of the worker.
func (ix *index) use(w *Worker, size model.Resources) {
	i, _ := slices.BinarySearchFunc(ix.workers, w.ID, func(a Worker, id model.VMID) int {
		if a.ID < id {
			return -1
		} else if a.ID > id {
			return 1
		}
		return 0
	})
	ix.remove(int32(i))
	w.Used = w.Used.Add(size)
	ix.insert(int32(i))
}

// each calls look for feasible workers, from the fullest bucket up: all of
// them, or a bounded number.
func (ix *index) each(r *Request, all bool, look func(*Worker)) {
	for _, i := range ix.probes {
		if w := &ix.workers[i]; feasible(r, w) {
			look(w)
		}
	}
	seen := 0
	for b := bucketOf(r.Size.MilliCPU); b < maxBuckets; b++ {
		for _, i := range ix.buckets[b] {
			w := &ix.workers[i]
			if !feasible(r, w) {
				continue
			}
			look(w)
			seen++
			if !all && seen >= candidates {
				return
			}
		}
	}
}
