package audit

import (
	"fmt"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

const (
	// noteRate and noteBurst are how many notes of one source are kept: a
	// person's slips all, of a script that repeats a refused order one in
	// five seconds.
	noteRate  = rate.Limit(0.2)
	noteBurst = 20
	// maxSources bounds the sources told apart; the rest share one budget.
	maxSources = 256
	// otherSources is the shared budget's name.
	otherSources = "others"
)

// noteLimiter answers the pattern of one source that is refused over and over
// (a script with an old token, an order in a loop). Without it the trail's
// bounded segments would fill with that and drop what matters.
type noteLimiter struct {
	clock clockwork.Clock

	mu      sync.Mutex
	sources map[string]*source
}

type source struct {
	limit      *rate.Limiter
	suppressed int
	since      time.Time
}

func newNoteLimiter(clock clockwork.Clock) *noteLimiter {
	return &noteLimiter{clock: clock, sources: make(map[string]*source)}
}

// admit reports whether the entry is to be kept. An entry that is kept says
// how many of its source were left out before it.
func (l *noteLimiter) admit(e Entry) (Entry, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	s := l.source(e.Who + " " + e.From)
	if !s.limit.AllowN(now, 1) {
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

func (l *noteLimiter) source(name string) *source {
	if s, ok := l.sources[name]; ok {
		return s
	}
	if len(l.sources) >= maxSources {
		name = otherSources
		if s, ok := l.sources[name]; ok {
			return s
		}
	}
	s := &source{limit: rate.NewLimiter(noteRate, noteBurst)}
	l.sources[name] = s
	return s
}
