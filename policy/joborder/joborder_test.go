package joborder

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOrderByCase(t *testing.T) {
	small := Job{Objective: 2 * time.Second, CriticalPath: time.Second, Work: 10, Size: 10, MeanSize: 10}
	for _, c := range []struct {
		name        string
		first, next Job
	}{
		{"what serves users now goes before what is computed", Job{LongRunning: true}, small},
		{"what can be in time goes before what cannot", small, Job{Objective: time.Second, CriticalPath: 2 * time.Second, Work: 1, Size: 10, MeanSize: 10}},
		{"what is late goes before what is of no use any more", Job{Waited: 2 * time.Second, Objective: time.Second, Work: 10, Size: 10, MeanSize: 10}, Job{Waited: 9 * time.Second, Objective: time.Second, Work: 1, Size: 10, MeanSize: 10}},
		{"priority 0 goes before 1", small, Job{Priority: 1, Objective: 2 * time.Second, CriticalPath: time.Second, Work: 1, Size: 10, MeanSize: 10}},
		{"little left goes before much", Job{Objective: 2 * time.Second, Work: 2, Size: 10, MeanSize: 10}, small},
		{"a begun job goes before one as large", Job{Started: true, Objective: 2 * time.Second, CriticalPath: time.Second, Work: 10, Size: 10, MeanSize: 10}, small},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Assert(t, RankOf(c.first).Before(RankOf(c.next)))
			assert.Assert(t, !RankOf(c.next).Before(RankOf(c.first)))
		})
	}
}

// burst is one turn: jobs that come at once, several times what the pool can do
// in time.
type queued struct {
	size  float64 // core-seconds
	chain time.Duration
}

const poolCores = 100.0

// useful works the jobs off one after the other and returns the value of those
// in time and the share of the largest tenth that was.
func useful(jobs []queued, mean float64, before func(a, b queued) bool) (value, large float64) {
	jobs = slices.Clone(jobs)
	slices.SortStableFunc(jobs, func(a, b queued) int {
		if before(a, b) {
			return -1
		}
		if before(b, a) {
			return 1
		}
		return 0
	})
	sizes := make([]float64, len(jobs))
	for i, j := range jobs {
		sizes[i] = j.size
	}
	slices.Sort(sizes)
	border := sizes[len(sizes)*9/10]
	busy, largeDone, largeAll := 0.0, 0, 0
	for _, j := range jobs {
		busy += j.size
		done := time.Duration(busy/poolCores*float64(time.Second)) + j.chain
		inTime := float64(done) <= 1.6*float64(j.chain)+float64(600*time.Millisecond)
		if j.size >= border {
			largeAll++
		}
		if !inTime {
			continue
		}
		value += min(maxValue, baseValue+workValue*j.size/mean)
		if j.size >= border {
			largeDone++
		}
	}
	return value, float64(largeDone) / float64(largeAll)
}

// A burst of three times what the pool can do in time: value served in time
// against first come first served and against chance.
func TestABurstServesMoreValueThanFirstComeFirstServed(t *testing.T) {
	rng := rand.New(rand.NewPCG(7, 7))
	var jobs []queued
	sum := 0.0
	for range 120 {
		j := queued{size: 2 + 12*rng.Float64()*rng.Float64(), chain: time.Duration(400+800*rng.Float64()) * time.Millisecond}
		jobs = append(jobs, j)
		sum += j.size
	}
	mean := sum / float64(len(jobs))
	rank := func(j queued) Rank {
		return RankOf(Job{Objective: time.Duration(1.6*float64(j.chain)) + 600*time.Millisecond, CriticalPath: j.chain, Work: j.size, Size: j.size, MeanSize: mean})
	}
	ordered, large := useful(jobs, mean, func(a, b queued) bool { return rank(a).Before(rank(b)) })
	arrival, _ := useful(jobs, mean, func(a, b queued) bool { return false })
	t.Logf("value in time: by order %.1f, first come first served %.1f; largest tenth in time %.2f", ordered, arrival, large)
	assert.Assert(t, ordered > 1.2*arrival, "%.1f against %.1f", ordered, arrival)
}
