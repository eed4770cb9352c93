package standin

import (
	"sync"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"
)

// Kind is a kind of API call. Calls are counted by kind, and the kind decides
// which rate limit applies.
type Kind string

// The kinds of call.
const (
	KindRange     Kind = "range"
	KindWrite     Kind = "write" // txn and put
	KindGrant     Kind = "grant"
	KindRevoke    Kind = "revoke"
	KindKeepAlive Kind = "keepalive"
	KindWatch     Kind = "watch"
	KindMachines  Kind = "machines" // reads of the machines API
	KindEffect    Kind = "effect"   // state-changing calls of the machines API
)

// writes reports whether calls of this kind change state. They count against
// the limit of writes, and the faults that lose requests or replies apply to
// them only.
func (k Kind) writes() bool {
	switch k {
	case KindWrite, KindGrant, KindRevoke, KindEffect:
		return true
	}
	return false
}

// Counts holds the calls that the stand-in received since its start or the last
// Reset.
type Counts struct {
	Calls    map[Kind]int
	Refused  int   // calls rejected by the rate limits
	Waiting  int   // watches open now
	BytesIn  int64 // request bodies, in bytes
	BytesOut int64 // response bodies and watch streams, in bytes
}

// Counter counts calls and enforces rate limits.
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

// SetLimits sets the writes and reads allowed per second, with bursts of the
// same size. Opening a watch and renewing a lease count as reads. Zero means no
// limit.
func (c *Counter) SetLimits(writes, reads int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes, c.reads = newLimiter(writes), newLimiter(reads)
}

func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Reset sets the counts to zero, except for the number of open watches.
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

// allow counts a call and reports whether the rate limits admit it.
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

func (c *Counter) addWaiting(delta int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Waiting += delta
}

func (c *Counter) addBytes(in, out int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.BytesIn += in
	c.counts.BytesOut += out
}
