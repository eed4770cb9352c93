// Package pacing decides how much of its share a task that runs on leftovers
// may use beside tasks that serve users.
//
// Load pattern: fill tasks take what others leave and disturb serving tasks
// beside them, by amounts that change within seconds. Left alone they push the
// serving tasks' tail latency over its target for as long as they run. The pace
// follows the worst tail on the worker: down by half at once when it nears the
// target, up by a small step when there is room, as too slow costs only deferrable
// work and too fast costs users.
package pacing

// Load is what is known of the serving tasks on one worker.
type Load struct {
	// WorstTailRatio is the highest tail latency over its target; 0 without serving tasks.
	WorstTailRatio float64
}

// Thresholds, as parts of the target, and steps in percent.
const (
	slowFrom  = 0.85 // the gauge is rough: act before the target is passed
	stopFrom  = 1.15
	raiseFrom = 0.65
	raiseStep = 15
	full      = 100
	floor     = 5 // below it a fill task does next to nothing: stop it
)

// Next returns the pace after now, in percent of the task's share.
func Next(now int, l Load) int {
	switch {
	case l.WorstTailRatio >= stopFrom:
		return 0
	case l.WorstTailRatio >= slowFrom:
		half := now / 2
		if half < floor {
			return 0
		}
		return half
	case l.WorstTailRatio < raiseFrom:
		return min(full, now+raiseStep)
	}
	return now
}
