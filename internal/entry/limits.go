package entry

import (
	"net/http"
	"time"
)

// Limits bound what one caller or target can hold of an entry VM. Zero fields
// take the default of DefaultLimits.
type Limits struct {
	// HeaderBytes is the most a request's header may take (431 above it).
	HeaderBytes int
	// BodyBytes is the most a request's body may take (413 above it).
	BodyBytes int64
	// BufferBytes is the most of a body that is read before the request
	// queues. A body within it is complete before it takes a slot, so a slow
	// sender holds none, and it can be sent to another target.
	BufferBytes int64
	// OnceBodyBytes is the most the body of a request that runs at most once
	// may take (413 above it): it is read in full before it is claimed, as its
	// digest belongs to the claim.
	OnceBodyBytes int64
	// BufferedBytes is the most that all bodies read ahead take together (503
	// above it).
	BufferedBytes int64
	// KeptAnswerBytes is the most of an answer that is recorded under an
	// Idempotency-Key; of a larger one only the outcome is kept.
	KeptAnswerBytes int64
	// HeaderTimeout is how long a caller may take to send a header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may stay without request.
	IdleTimeout time.Duration
	// BodyGrace and BodyRate (bytes per second) bound a slow sender: after
	// BodyGrace it must have kept the rate on average (408 below it).
	BodyGrace time.Duration
	BodyRate  int64
	// WriteTimeout is how long one write of an answer may stand still before
	// the caller is given up: a caller that does not read holds a slot.
	WriteTimeout time.Duration
	// DefaultTimeout is a request's where neither caller nor service has one.
	DefaultTimeout time.Duration
	// MaxTimeout is the most a caller may ask for.
	MaxTimeout time.Duration
	// Inside is the most requests inside the entry VM, waiting ones included.
	Inside int
	// ConnectTimeout is how long connecting to a target may take.
	ConnectTimeout time.Duration
}

// DefaultLimits returns the defaults. An entry VM is small (256 MB). With every
// caller at every limit at once it holds BufferedBytes and Inside headers,
// 64 MiB + 4096 x 32 KiB = 192 MiB.
func DefaultLimits() Limits {
	return Limits{
		HeaderBytes:     32 << 10,         // four times what browsers and balancers send
		BodyBytes:       64 << 20,         // a respondent file of a large panel, with margin
		BufferBytes:     16 << 10,         // orders, queries and bookings fit
		OnceBodyBytes:   1 << 20,          // an incentive batch of thousands of respondents
		BufferedBytes:   64 << 20,         // a quarter of a small VM's memory
		KeptAnswerBytes: 16 << 10,         // confirmations fit; a value of the store holds 1 MB
		HeaderTimeout:   5 * time.Second,  // a header is one packet or a few
		IdleTimeout:     75 * time.Second, // above the 60 s of common balancers, so that they close first
		BodyGrace:       5 * time.Second,  // a lost packet or two must not fail an upload
		BodyRate:        4 << 10,          // a poor mobile link in the field
		WriteTimeout:    10 * time.Second, // a stalled reader, beyond any retransmission worth waiting for
		DefaultTimeout:  30 * time.Second, // an analyst with a client on the line has given up by then
		MaxTimeout:      15 * time.Minute, // the longest weighting run as a request; longer work is a job
		Inside:          4096,
		ConnectTimeout:  1 * time.Second, // zones are 1.5 ms apart; one lost SYN is sent again after 1 s
	}
}

// withDefaults fills zero fields.
func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	setDefault(&l.HeaderBytes, d.HeaderBytes)
	setDefault(&l.BodyBytes, d.BodyBytes)
	setDefault(&l.BufferBytes, d.BufferBytes)
	setDefault(&l.OnceBodyBytes, d.OnceBodyBytes)
	setDefault(&l.BufferedBytes, d.BufferedBytes)
	setDefault(&l.KeptAnswerBytes, d.KeptAnswerBytes)
	setDefault(&l.HeaderTimeout, d.HeaderTimeout)
	setDefault(&l.IdleTimeout, d.IdleTimeout)
	setDefault(&l.BodyGrace, d.BodyGrace)
	setDefault(&l.BodyRate, d.BodyRate)
	setDefault(&l.WriteTimeout, d.WriteTimeout)
	setDefault(&l.DefaultTimeout, d.DefaultTimeout)
	setDefault(&l.MaxTimeout, d.MaxTimeout)
	setDefault(&l.Inside, d.Inside)
	setDefault(&l.ConnectTimeout, d.ConnectTimeout)
	return l
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// headerSlack is how far above HeaderBytes net/http reads on, so that the
// contract's problem document can be sent in place of its bare 431.
const headerSlack = 4

// Apply sets the connection limits on the server that carries the handler.
func (l Limits) Apply(srv *http.Server) {
	l = l.withDefaults()
	srv.ReadHeaderTimeout = l.HeaderTimeout
	srv.IdleTimeout = l.IdleTimeout
	srv.MaxHeaderBytes = headerSlack * l.HeaderBytes
}
