package guard

import (
	"cmp"
	"net/http"
	"time"
)

// Limits bound the size and the time of a caller's request at one listener.
type Limits struct {
	// HeaderBytes is the maximum size of a request header (431 above it).
	HeaderBytes int
	// HeaderTimeout is the maximum time for a caller to send a request header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may be idle between requests.
	IdleTimeout time.Duration
	// BodyGrace and MinBodyRate (bytes per second) bound a slow sender: after
	// BodyGrace, a body must arrive at MinBodyRate or faster on average (408 below
	// it).
	BodyGrace   time.Duration
	MinBodyRate int
	// WriteTimeout is the maximum time for one write of a response. Beyond it
	// the connection is aborted, because a caller that does not read holds
	// memory, and may hold a slot.
	WriteTimeout time.Duration
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		HeaderBytes:   32 << 10,         // four times what browsers and load balancers send
		HeaderTimeout: 5 * time.Second,  // a header is one packet or a few
		IdleTimeout:   75 * time.Second, // above the 60 s of common load balancers, so that they close first
		BodyGrace:     5 * time.Second,  // one or two lost packets must not fail an upload
		MinBodyRate:   4 << 10,          // a poor mobile link
		WriteTimeout:  10 * time.Second, // longer than useful TCP retransmissions take, so the reader has stalled
	}
}

// WithDefaults returns l with zero fields set to their defaults.
func (l Limits) WithDefaults() Limits {
	d := DefaultLimits()
	l.HeaderBytes = cmp.Or(l.HeaderBytes, d.HeaderBytes)
	l.HeaderTimeout = cmp.Or(l.HeaderTimeout, d.HeaderTimeout)
	l.IdleTimeout = cmp.Or(l.IdleTimeout, d.IdleTimeout)
	l.BodyGrace = cmp.Or(l.BodyGrace, d.BodyGrace)
	l.MinBodyRate = cmp.Or(l.MinBodyRate, d.MinBodyRate)
	l.WriteTimeout = cmp.Or(l.WriteTimeout, d.WriteTimeout)
	return l
}

// Apply sets the limits that net/http enforces on srv.
func (l Limits) Apply(srv *http.Server) {
	srv.ReadHeaderTimeout = l.HeaderTimeout
	srv.IdleTimeout = l.IdleTimeout
	srv.MaxHeaderBytes = l.HeaderBytes
}

// BodyDeadline returns when the next read of a body must end that began to arrive at start and of
// which read bytes have arrived.
func (l Limits) BodyDeadline(start time.Time, read int64) time.Time {
	return start.Add(l.BodyGrace + time.Duration(read)*time.Second/time.Duration(l.MinBodyRate))
}
