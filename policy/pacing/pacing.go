// Package pacing decides at which pace a best-effort task may run beside tasks
// that serve users. The pace is the percentage of the task's share of the worker
// that it may use.
//
// Load pattern: best-effort tasks run on processor time that others leave, and
// slow down serving tasks on the same worker by amounts that change within
// seconds. Unlimited, they keep the tail latency of the serving tasks over its
// target for as long as they run. The pace follows the worst tail latency on the
// worker: it is halved at once when that nears its target, and raised by a small
// step when it is well below. Too low a pace delays only deferrable work; too high
// a pace delays users.
package pacing

// Load is the load of the serving tasks on one worker.
type Load struct {
	// WorstTailRatio is the highest ratio of a task's tail latency to its target; 0 without
	// serving tasks.
	WorstTailRatio float64
}

// Thresholds as ratios of tail latency to its target, and paces in percent.
const (
	halveFrom  = 0.85 // the gauge of tail latency is rough: act before the target is exceeded
	stopFrom   = 1.15
	raiseBelow = 0.65
	raiseStep  = 15
	maxPace    = 100
	minPace    = 5 // below it a best-effort task makes almost no progress: stop it
)

// Next returns the pace that follows the pace now, both in percent of the task's
// share; 0 stops the task.
func Next(now int, l Load) int {
	switch {
	case l.WorstTailRatio >= stopFrom:
		return 0
	case l.WorstTailRatio >= halveFrom:
		half := now / 2
		if half < minPace {
			return 0
		}
		return half
	case l.WorstTailRatio < raiseBelow:
		return min(maxPace, now+raiseStep)
	}
	return now
}
