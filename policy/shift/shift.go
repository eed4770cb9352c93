// Package shift bounds how fast work moves away from the own zone.
//
// It answers a zone whose targets have grown slow. Without it two things go
// wrong: entry VMs that stay with their zone make every caller there wait, and
// entry VMs that all leave at once overrun the next zone, find their own idle
// and quick again, and come back, for as long as the cause lasts. Work leaves
// in steps, returns in smaller ones, and nothing moves on a difference that
// noise explains.
package shift

import "time"

const (
	// leaveFactor and returnFactor are the ratios of the own zone's cost to the
	// others' beyond which work leaves and below which it returns. Between them
	// nothing moves. Medians of a few targets differ by half by chance.
	leaveFactor  = 2.0
	returnFactor = 1.3
	// leaveRate and returnRate are the most that moves in a second, as shares
	// of the zone's work: it is gone after 4 s, and back after 20 s, longer
	// than the estimates take to follow, so that a step's effect is seen before
	// the next one.
	leaveRate  = 0.25
	returnRate = 0.05
	// maxShare of the work leaves. The rest keeps the zone's estimates alive;
	// without it nobody would see the zone recover.
	maxShare = 0.9
	// maxStep bounds the time one step accounts for, after a quiet time.
	maxStep = time.Second
)

// Shifter holds how much of an entry VM's work for a service prefers another
// zone. The zero value prefers the own zone.
type Shifter struct {
	share float64
	at    time.Time
}

// Step takes in what a request costs at home and elsewhere (the hop included;
// 0 where unknown) and returns the share of work, 0..1, that goes elsewhere
// first.
func (s *Shifter) Step(home, elsewhere time.Duration, now time.Time) float64 {
	span := now.Sub(s.at)
	if s.at.IsZero() || span < 0 {
		span = 0
	}
	s.at = now
	seconds := min(span, maxStep).Seconds()
	switch {
	case home <= 0 || elsewhere <= 0:
	case float64(home) > leaveFactor*float64(elsewhere):
		s.share = min(maxShare, s.share+leaveRate*seconds)
	case float64(home) < returnFactor*float64(elsewhere):
		s.share = max(0, s.share-returnRate*seconds)
	}
	return s.share
}

// Share returns the share of work that goes elsewhere first.
func (s *Shifter) Share() float64 { return s.share }
