package audit

import (
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

const (
	// sourceRate (entries per second) and sourceBurst limit the entries kept
	// per source: all refusals that a person causes by mistake, but only one in
	// five seconds of a script that repeats a refused order.
	sourceRate  = rate.Limit(0.2)
	sourceBurst = 20
	// maxSources is the maximum number of sources with a limiter of their own;
	// all further sources share one.
	maxSources = 256
	// sharedSource is the name of the shared limiter.
	sharedSource = "others"
)

// sourceLimiter limits the entries of each source. A source is one operator at one
// address, that is, all entries with the same Who and From. Without the limit, a
// script that is refused repeatedly, because of an old token or an order in a
// loop, would fill the trail, whose size is bounded, and push out important
// entries.
type sourceLimiter struct {
	clock clockwork.Clock

	mu      sync.Mutex
	sources map[string]*source
}

// source limits the entries of one source and counts the suppressed ones.
type source struct {
	limiter    *rate.Limiter
	suppressed int       // entries suppressed since the last one that was recorded
	since      time.Time // when the first of them was suppressed
}

func newSourceLimiter(clock clockwork.Clock) *sourceLimiter {
	return &sourceLimiter{clock: clock, sources: make(map[string]*source)}
}

// admit reports whether the entry is to be recorded. An entry that is recorded
// after others were suppressed gets their number added to its Detail.
func (l *sourceLimiter) admit(e Entry) (Entry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	s := l.source(e.Who + " " + e.From)
	if !s.limiter.AllowN(now, 1) {
		if s.suppressed == 0 {
			s.since = now
		}
		s.suppressed++
		return e, false
	}
	if s.suppressed > 0 {
		e.Detail += fmt.Sprintf(" (%d more of this source not listed since %s)", s.suppressed, s.since.UTC().Format(time.RFC3339))
		s.suppressed = 0
	}
	return e, true
}

// source returns the source of that name, or the shared one if the name is new and
// there are maxSources already.
func (l *sourceLimiter) source(name string) *source {
	if s, ok := l.sources[name]; ok {
		return s
	}
	if len(l.sources) >= maxSources {
		name = sharedSource
		if s, ok := l.sources[name]; ok {
			return s
		}
	}
	s := &source{limiter: rate.NewLimiter(sourceRate, sourceBurst)}
	l.sources[name] = s
	return s
}
