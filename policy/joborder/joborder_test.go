package joborder

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestOrderByCase(t *testing.T) {
	small := Job{Objective: 2 * time.Second, CriticalPath: time.Second, RemainingWork: 10, TotalWork: 10, MeanWork: 10}
	for _, c := range []struct {
		name        string
		first, next Job
	}{
		{"a long-running job goes before any other", Job{LongRunning: true}, small},
		{"a job that can be in time goes before one that can't", small, Job{Objective: time.Second, CriticalPath: 2 * time.Second, RemainingWork: 1, TotalWork: 10, MeanWork: 10}},
		{"a late job goes before one that is too late to be of use", Job{Age: 2 * time.Second, Objective: time.Second, RemainingWork: 10, TotalWork: 10, MeanWork: 10}, Job{Age: 9 * time.Second, Objective: time.Second, RemainingWork: 1, TotalWork: 10, MeanWork: 10}},
		{"priority 0 goes before 1", small, Job{Priority: 1, Objective: 2 * time.Second, CriticalPath: time.Second, RemainingWork: 1, TotalWork: 10, MeanWork: 10}},
		{"less remaining work goes before more", Job{Objective: 2 * time.Second, RemainingWork: 2, TotalWork: 10, MeanWork: 10}, small},
		{"a started job goes before one of equal size", Job{Started: true, Objective: 2 * time.Second, CriticalPath: time.Second, RemainingWork: 10, TotalWork: 10, MeanWork: 10}, small},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Assert(t, RankOf(c.first).Before(RankOf(c.next)))
			assert.Assert(t, !RankOf(c.next).Before(RankOf(c.first)))
		})
	}
}

// queued is a job of a burst. All of a burst arrive at once and need several times
// what the pool can do in time.
type queued struct {
	size  float64 // core-seconds
	chain time.Duration
}

const poolCores = 100.0

// valueInTime runs the jobs one after the other in the given order. It returns the
// total value of those that finish in time, and the fraction of the largest tenth
// that does.
func valueInTime(jobs []queued, mean float64, before func(a, b queued) bool) (value, largeInTime float64) {
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
	largeThreshold := sizes[len(sizes)*9/10]
	workDone, largeDone, largeAll := 0.0, 0, 0
	for _, j := range jobs {
		workDone += j.size
		done := time.Duration(workDone/poolCores*float64(time.Second)) + j.chain
		inTime := float64(done) <= 1.6*float64(j.chain)+float64(600*time.Millisecond)
		if j.size >= largeThreshold {
			largeAll++
		}
		if !inTime {
			continue
		}
		value += min(maxValue, baseValue+workValue*j.size/mean)
		if j.size >= largeThreshold {
			largeDone++
		}
	}
	return value, float64(largeDone) / float64(largeAll)
}

// In a burst of three times what the pool can do in time, the order must earn
// clearly more value in time than first come, first served, where nearly every job
// is late.
func TestOrderServesMoreValueThanFirstComeFirstServed(t *testing.T) {
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
		return RankOf(Job{Objective: time.Duration(1.6*float64(j.chain)) + 600*time.Millisecond, CriticalPath: j.chain, RemainingWork: j.size, TotalWork: j.size, MeanWork: mean})
	}
	ordered, large := valueInTime(jobs, mean, func(a, b queued) bool { return rank(a).Before(rank(b)) })
	arrival, _ := valueInTime(jobs, mean, func(a, b queued) bool { return false })
	t.Logf("value in time: by order %.1f, first come, first served %.1f; largest tenth in time %.2f", ordered, arrival, large)
	assert.Assert(t, ordered > 1.2*arrival, "%.1f against %.1f", ordered, arrival)
}
