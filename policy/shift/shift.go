// Package shift limits how fast work moves from the own zone to other zones.
//
// It handles a zone whose targets have become slow. Two failures must be
// avoided: if entry VMs always use their own zone, every caller there waits; if
// all entry VMs leave at the same time, they overload the next zone, find their
// own idle and fast again, and return, for as long as the cause lasts. So work
// leaves in steps, returns in smaller steps, and does not move on a difference
// that noise explains.
package shift

import "time"

const (
	// Work leaves if the ratio of the own zone's cost to that of the others
	// exceeds leaveFactor, and returns if it is below returnFactor. Between the
	// two nothing moves. Medians of a few targets can differ by half by chance.
	leaveFactor  = 2.0
	returnFactor = 1.3
	// leaveRate and returnRate limit how much work moves in a second, as shares
	// of the zone's work: it leaves within 4 s and returns within 20 s. This is
	// longer than the latency estimates need to follow, so that the effect of a
	// step is visible before the next one.
	leaveRate  = 0.25
	returnRate = 0.05
	// maxRemoteShare is the largest share of work that leaves. The rest keeps
	// the latency estimates of the own zone current; without it, the zone's
	// recovery would not be noticed.
	maxRemoteShare = 0.9
	// maxStepTime limits the time that one step accounts for after a pause
	// without requests.
	maxStepTime = time.Second
)

// Shifter holds the share of an entry VM's work for a service that prefers
// other zones. The zero value sends all work to the own zone.
type Shifter struct {
	share     float64
	updatedAt time.Time
}

// Step updates and returns the share of work, 0 to 1, that prefers other zones.
// local and remote are the latencies of a request in the own zone and in the
// others, the latter including the hop between zones; 0 means unknown and
// leaves the share unchanged.
func (s *Shifter) Step(local, remote time.Duration, now time.Time) float64 {
	elapsed := now.Sub(s.updatedAt)
	if s.updatedAt.IsZero() || elapsed < 0 {
		elapsed = 0
	}
	s.updatedAt = now
	seconds := min(elapsed, maxStepTime).Seconds()
	switch {
	case local <= 0 || remote <= 0:
	case float64(local) > leaveFactor*float64(remote):
		s.share = min(maxRemoteShare, s.share+leaveRate*seconds)
	case float64(local) < returnFactor*float64(remote):
		s.share = max(0, s.share-returnRate*seconds)
	}
	return s.share
}

// Share returns the share of work, 0 to 1, that prefers other zones.
func (s *Shifter) Share() float64 { return s.share }
