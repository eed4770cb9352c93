package crashes

import "time"

const (
	// baseRate is how often a worker is assumed to crash spontaneously, in crashes per second.
	// Workers of large fleets crash only once in days; it is far above that because crashes come
	// in bursts.
	baseRate = 0.01
	// rateWindow is how long crashes are remembered.
	rateWindow = 10 * time.Second
)

// Rate estimates how often workers crash spontaneously, that is, not because of a task. The
// zero value is ready for use and has seen no crash.
type Rate struct {
	seen []spontaneousCrash
}

type spontaneousCrash struct {
	at    time.Duration
	share float64 // probability that the crash was spontaneous, divided by the number of workers
}

// Crashed records the crash of one of the given number of workers. spontaneous is the
// probability that no task caused it.
func (r *Rate) Crashed(spontaneous float64, workers int, now time.Duration) {
	r.forget(now)
	r.seen = append(r.seen, spontaneousCrash{at: now, share: spontaneous / float64(max(1, workers))})
}

func (r *Rate) forget(now time.Duration) {
	for len(r.seen) > 0 && now > r.seen[0].at+rateWindow {
		r.seen = r.seen[1:]
	}
}

// PerWorker returns the rate in crashes per worker and second.
func (r *Rate) PerWorker(now time.Duration) float64 {
	r.forget(now)
	sum := 0.0
	for _, c := range r.seen {
		sum += c.share
	}
	return baseRate + sum/rateWindow.Seconds()
}
