package standin

import (
	"sync"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// Kind is a kind of call, as the service's limits see it.
type Kind string

// The kinds of call.
const (
	KindRange     Kind = "range"
	KindWrite     Kind = "write" // txn and put
	KindGrant     Kind = "grant"
	KindRevoke    Kind = "revoke"
	KindKeepAlive Kind = "keepalive"
	KindWatch     Kind = "watch"
	KindMachines  Kind = "machines" // questions to the machines
	KindEffect    Kind = "effect"   // orders to the machines
)

// writes reports whether the call changes something, so that its reply can be
// lost after the effect.
func (k Kind) writes() bool {
	switch k {
	case KindWrite, KindGrant, KindRevoke, KindEffect:
		return true
	}
	return false
}

// Counts is what the stand-in was asked since it began or since Reset.
type Counts struct {
	Calls    map[Kind]int
	Refused  int   // calls refused because of the limits
	Waiting  int   // watches that wait now
	BytesIn  int64 // bodies of requests
	BytesOut int64 // bodies of answers and streams
}

// Counter counts calls and enforces limits.
type Counter struct {
	clock clockwork.Clock

	mu     sync.Mutex
	counts Counts
	reads  *rate.Limiter
	writes *rate.Limiter
}

func newCounter(clock clockwork.Clock) *Counter {
	c := &Counter{clock: clock}
	c.Reset()
	c.SetLimits(0, 0)
	return c
}

// SetLimits enforces so many writes and reads a second, with bursts of as
// many; a waiting watch and a renewal count as reads. Zero is no limit.
func (c *Counter) SetLimits(writes, reads int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes, c.reads = limiter(writes), limiter(reads)
}

func limiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Reset sets the counts to zero, except for the watches that wait.
func (c *Counter) Reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts = Counts{Calls: make(map[Kind]int), Waiting: c.counts.Waiting}
}

// Counts returns the counts so far.
func (c *Counter) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counts
	out.Calls = make(map[Kind]int, len(c.counts.Calls))
	for k, n := range c.counts.Calls {
		out.Calls[k] = n
	}
	return out
}

// allow counts a call and reports whether the limits let it pass.
func (c *Counter) allow(kind Kind) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Calls[kind]++
	l := c.reads
	if kind.writes() {
		l = c.writes
	}
	if l.AllowN(c.clock.Now(), 1) {
		return true
	}
	c.counts.Refused++
	return false
}

func (c *Counter) waiting(delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Waiting += delta
}

func (c *Counter) bytes(in, out int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.BytesIn += in
	c.counts.BytesOut += out
}
