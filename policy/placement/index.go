package placement

import (
	"slices"

	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// bucketCPU is the width of a bucket in thousandths of a processor: one
	// processor.
	bucketCPU = 1000
	// maxBuckets bounds the number of buckets; workers with more free
	// processors share the last one.
	maxBuckets = 257
	// maxCandidates bounds the feasible workers scored for one job. Workers are
	// visited from the fullest on, so the best one for packing is among the
	// first; the others give a choice by memory, maintenance and accelerators.
	maxCandidates = 48
)

// index groups the workers by free processors, so that the search for a worker
// skips the thousands that are full.
type index struct {
	workers   []Worker
	probes    []int32             // positions in workers of those to be probed, visited first
	buckets   [maxBuckets][]int32 // positions in workers, in no particular order
	bucketPos []int32             // index within its bucket, by position in workers
}

func newIndex(workers []Worker) *index {
	ix := &index{workers: workers, bucketPos: make([]int32, len(workers))}
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
	ix.bucketPos[i] = int32(len(ix.buckets[b]))
	ix.buckets[b] = append(ix.buckets[b], i)
}

func (ix *index) remove(i int32) {
	b := bucketOf(ix.workers[i].free().MilliCPU)
	last := len(ix.buckets[b]) - 1
	moved := ix.buckets[b][last]
	ix.buckets[b][ix.bucketPos[i]] = moved
	ix.bucketPos[moved] = ix.bucketPos[i]
	ix.buckets[b] = ix.buckets[b][:last]
}

// allocate adds size to the worker's used capacity and updates its bucket.
func (ix *index) allocate(w *Worker, size model.Resources) {
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

// eachFeasible calls visit for workers that can run the request: first for those
// marked with Worker.Probe, then for those with the fewest free processors that
// suffice, and so on upward, bucket by bucket. Unless all is set, it stops after
// maxCandidates visits, not counting those to the first group.
func (ix *index) eachFeasible(r *Request, all bool, visit func(*Worker)) {
	for _, i := range ix.probes {
		if w := &ix.workers[i]; feasible(r, w) {
			visit(w)
		}
	}
	visited := 0
	for b := bucketOf(r.Size.MilliCPU); b < maxBuckets; b++ {
		for _, i := range ix.buckets[b] {
			w := &ix.workers[i]
			if !feasible(r, w) {
				continue
			}
			visit(w)
			visited++
			if !all && visited >= maxCandidates {
				return
			}
		}
	}
}
