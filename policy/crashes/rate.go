package crashes

import "time"

const (
	// usualRate is how often one worker crashes by itself in a second where nothing is known.
	// Workers of large fleets crash once in days; it is far above that, as crashes come in
	// bursts.
	usualRate = 0.01
	// rateWindow is for how long crashes are remembered.
	rateWindow = 10 * time.Second
)

// Rate estimates how often workers crash by themselves. The zero value has seen none.
type Rate struct {
	seen []ownCrash
}

type ownCrash struct {
	at    time.Duration
	share float64 // of a crash by itself, for each worker there was
}

// Crashed notes a crash of one worker of so many, and how likely it was by itself.
func (r *Rate) Crashed(byItself float64, among int, now time.Duration) {
	r.forget(now)
	r.seen = append(r.seen, ownCrash{at: now, share: byItself / float64(max(1, among))})
}

func (r *Rate) forget(now time.Duration) {
	for len(r.seen) > 0 && now > r.seen[0].at+rateWindow {
		r.seen = r.seen[1:]
	}
}

// PerWorker is the rate in crashes of one worker a second.
func (r *Rate) PerWorker(now time.Duration) float64 {
	r.forget(now)
	sum := 0.0
	for _, c := range r.seen {
		sum += c.share
	}
	return usualRate + sum/rateWindow.Seconds()
}
