package entry

import (
	"net/http"
	"time"

	"github.com/pumicestage/pumicestage/internal/guard"
)

// Limits bounds the resources of an entry VM that callers and targets can use.
// Zero fields take the value from DefaultLimits.
type Limits struct {
	guard.Limits
	// BodyBytes is the maximum size of a request body (413 above it).
	BodyBytes int64
	// BufferBytes is the maximum size of a body that is read in full before
	// the request queues. Such a request takes a slot only when its body is
	// complete, so a slow sender holds none, and it can be sent to another
	// target if the first one refuses it.
	BufferBytes int64
	// OnceBodyBytes is the maximum size of the body of a request that runs at
	// most once (413 above it): it is read in full before the request is
	// claimed, because the claim includes its digest.
	OnceBodyBytes int64
	// TotalBufferBytes is the maximum total size of all bodies that are read
	// before their requests queue (503 above it).
	TotalBufferBytes int64
	// KeptAnswerBytes is the maximum size of a response body that is recorded
	// under an Idempotency-Key; of a larger response only the status and header
	// are recorded.
	KeptAnswerBytes int64
	// DefaultTimeout is the timeout of a request if neither its caller nor its
	// service sets one.
	DefaultTimeout time.Duration
	// MaxTimeout is the maximum timeout of a request. Longer ones are cut to it.
	MaxTimeout time.Duration
	// MaxInFlight is the maximum number of requests in flight at the entry VM, those
	// that wait for a slot included (503 above it).
	MaxInFlight int
	// ConnectTimeout is the maximum time to connect to a target.
	ConnectTimeout time.Duration
}

// DefaultLimits returns the default limits. They are sized for an entry VM with
// 256 MB of memory: if all limits are reached at once, it holds TotalBufferBytes of
// bodies and MaxInFlight headers, 64 MiB + 4096 x 32 KiB = 192 MiB.
func DefaultLimits() Limits {
	return Limits{
		Limits:           guard.DefaultLimits(),
		BodyBytes:        64 << 20,         // a respondent file of a large panel, with margin
		BufferBytes:      16 << 10,         // fits orders, queries and bookings
		OnceBodyBytes:    1 << 20,          // an incentive batch of thousands of respondents
		TotalBufferBytes: 64 << 20,         // a quarter of a small VM's memory
		KeptAnswerBytes:  16 << 10,         // fits confirmations; a value in the store holds up to 1 MB
		DefaultTimeout:   30 * time.Second, // interactive users have given up by then
		MaxTimeout:       15 * time.Minute, // the longest weighting run that is made as a request; longer work is submitted as a job
		MaxInFlight:      4096,
		ConnectTimeout:   1 * time.Second, // zones are 1.5 ms apart; a lost SYN is retransmitted only after 1 s
	}
}

// withDefaults returns l with zero fields set to their defaults.
func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	l.Limits = l.Limits.WithDefaults()
	setDefault(&l.BodyBytes, d.BodyBytes)
	setDefault(&l.BufferBytes, d.BufferBytes)
	setDefault(&l.OnceBodyBytes, d.OnceBodyBytes)
	setDefault(&l.TotalBufferBytes, d.TotalBufferBytes)
	setDefault(&l.KeptAnswerBytes, d.KeptAnswerBytes)
	setDefault(&l.DefaultTimeout, d.DefaultTimeout)
	setDefault(&l.MaxTimeout, d.MaxTimeout)
	setDefault(&l.MaxInFlight, d.MaxInFlight)
	setDefault(&l.ConnectTimeout, d.ConnectTimeout)
	return l
}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// headerSlack is the factor between HeaderBytes and the limit set in net/http.
// In between, this package responds with its own problem document rather than
// the plain 431 of net/http.
const headerSlack = 4

// Apply sets the limits that net/http enforces on srv, which serves the handler.
func (l Limits) Apply(srv *http.Server) {
	l = l.withDefaults()
	l.Limits.Apply(srv)
	srv.MaxHeaderBytes = headerSlack * l.HeaderBytes
}
