package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Names of the headers that callers, entry VMs and targets exchange.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderCaller         = "Pumicestage-Caller"
	HeaderTimeout        = "Pumicestage-Timeout"
	HeaderClass          = "Pumicestage-Class"
	HeaderOutcome        = "Pumicestage-Outcome"
)

// Outcome tells a caller whether its request was run.
type Outcome string

// The outcomes. NotRun is reported only if nothing was sent to a target, or if
// the target itself reported that it refused the request before starting it.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// AnonymousCaller is the caller's name if Pumicestage-Caller is missing. All
// such callers together have the fair share of one caller.
const AnonymousCaller = "anonymous"

// call holds the parsed path and headers of a caller's request.
type call struct {
	service  model.Service
	path     string // escaped, with the service's prefix removed
	caller   string
	key      string
	class    model.Class // priority class
	arrived  time.Time
	deadline time.Time
}

// parseCall parses and validates the path and headers of a request. A problem
// that it returns always has the outcome NotRun.
func (s *Server) parseCall(r *http.Request, now time.Time) (*call, *Problem) {
	if headerSize(r.Header) > s.limits.HeaderBytes {
		return nil, problemHeaderTooLarge(s.limits.HeaderBytes)
	}
	if r.ContentLength > s.limits.BodyBytes {
		return nil, problemBodyTooLarge(s.limits.BodyBytes, NotRun)
	}
	name := model.ServiceName(mux.Vars(r)["service"])
	svc := s.service(name)
	if svc == nil {
		return nil, problemNoService(name)
	}
	c := &call{service: *svc, path: targetPath(r, name), caller: r.Header.Get(HeaderCaller), arrived: now}
	if c.caller == "" {
		c.caller = AnonymousCaller
	}
	if len(c.caller) > maxCallerLength {
		return nil, problemBadHeader(HeaderCaller, "must be at most 128 bytes")
	}
	if p := c.parseKey(r.Header); p != nil {
		return nil, p
	}
	if p := c.parseClass(r.Header); p != nil {
		return nil, p
	}
	if p := c.parseTimeout(r.Header, s.limits); p != nil {
		return nil, p
	}
	return c, nil
}

// Length limits in bytes. Callers' names and idempotency keys are kept in memory
// and in the store.
const (
	maxCallerLength = 128
	maxKeyLength    = 255
)

// parseKey parses the Idempotency-Key. The IETF draft defines it as a structured
// string in double quotes; bare tokens are in wide use and accepted as well.
func (c *call) parseKey(h http.Header) *Problem {
	values := h.Values(HeaderIdempotencyKey)
	if len(values) > 1 {
		return problemBadHeader(HeaderIdempotencyKey, "must be given once")
	}
	c.key = strings.TrimSpace(h.Get(HeaderIdempotencyKey))
	if len(c.key) >= 2 && c.key[0] == '"' && c.key[len(c.key)-1] == '"' {
		c.key = c.key[1 : len(c.key)-1]
	}
	if c.key == "" && (!c.service.Repeatable || len(values) > 0) {
		return problemKeyMissing(c.service.Name)
	}
	if len(c.key) > maxKeyLength {
		return problemBadHeader(HeaderIdempotencyKey, "must be at most 255 bytes")
	}
	return nil
}

// parseClass sets the class to the lower of the service's class and the one that
// the caller requests.
func (c *call) parseClass(h http.Header) *Problem {
	c.class = c.service.Class
	value := h.Get(HeaderClass)
	if value == "" {
		return nil
	}
	requested, ok := model.ParseClass(value)
	if !ok {
		return problemBadHeader(HeaderClass, "must be urgent, normal or deferrable")
	}
	c.class = min(c.class, requested)
	return nil
}

// parseTimeout sets the deadline from the caller's timeout, the service's or the
// default, in this order, and caps it at MaxTimeout.
func (c *call) parseTimeout(h http.Header, l Limits) *Problem {
	timeout := c.service.Timeout
	if timeout <= 0 {
		timeout = l.DefaultTimeout
	}
	if value := h.Get(HeaderTimeout); value != "" {
		requested, err := time.ParseDuration(value)
		if err != nil || requested <= 0 {
			return problemBadHeader(HeaderTimeout, "must be a positive duration such as 800ms or 30s")
		}
		timeout = requested
	}
	c.deadline = c.arrived.Add(min(timeout, l.MaxTimeout))
	return nil
}

// targetPath returns the escaped path with the prefix /services/{service}
// removed. It works on the escaped path so that %2F is not turned into a slash.
func targetPath(r *http.Request, name model.ServiceName) string {
	escaped := strings.TrimPrefix(r.URL.EscapedPath(), "/services/")
	_, rest, _ := strings.Cut(escaped, "/")
	return "/" + rest
}

// headerSize returns the size of the header on the wire in bytes, without the
// request line.
func headerSize(h http.Header) int {
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return size
}
