package pools

import "time"

const (
	// peakSpan is how long a peak counts, in spans of half that. Nothing is concluded before
	// one has been seen whole: queues take turns, and a pool between two of its bursts looks
	// as if it needed nothing.
	peakSpan = 40 * time.Second
	halfSpan = peakSpan / 2
)

// Peak follows how many VMs of a pool are in use at most. The zero value has seen none.
type Peak struct {
	began        time.Duration // of the present half; 0: none yet
	before, most int           // of the half before, and of the present one
	whole        bool          // a half has been seen whole
}

// Saw notes how many are in use now. Before the first work there is nothing to see.
func (p *Peak) Saw(inUse int, now time.Duration) {
	switch {
	case p.began == 0 && inUse == 0:
		return
	case p.began == 0:
		p.began = now
	case now >= p.began+halfSpan:
		p.began, p.before, p.most, p.whole = now, p.most, 0, true
	}
	p.most = max(p.most, inUse)
}

// Most is how many were in use at most of late; 0 while not enough was seen.
func (p *Peak) Most() int {
	if !p.whole {
		return 0
	}
	return max(p.before, p.most)
}
