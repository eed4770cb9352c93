package entry

import (
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Header names of the contract with callers and targets.
const (
	HeaderKey     = "Idempotency-Key"
	HeaderCaller  = "Pumicestage-Caller"
	HeaderTimeout = "Pumicestage-Timeout"
	HeaderClass   = "Pumicestage-Class"
	HeaderOutcome = "Pumicestage-Outcome"
)

// Outcome says what is certain about a request.
type Outcome string

// The outcomes. NotRun is said only where nothing was sent to a target, or
// where the target itself said that it refused before starting.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// AnonymousCaller is who calls where Pumicestage-Caller is missing: all such
// callers share one share.
const AnonymousCaller = "anonymous"

// call is one request of a caller, as the contract reads it.
type call struct {
	service  model.Service
	path     string // escaped, with the service's prefix removed
	caller   string
	key      string
	class    model.Class
	arrived  time.Time
	deadline time.Time
}

// parseCall reads the contract's headers. Everything it refuses was not run.
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

// Bounds of what is kept per caller and per key in memory and in the store.
const (
	maxCallerLength = 128
	maxKeyLength    = 255
)

// parseKey reads the Idempotency-Key. The IETF draft makes it a structured
// string in double quotes; bare tokens are widely sent and taken as well.
func (c *call) parseKey(h http.Header) *Problem {
	values := h.Values(HeaderKey)
	if len(values) > 1 {
		return problemBadHeader(HeaderKey, "must be given once")
	}
	c.key = strings.TrimSpace(h.Get(HeaderKey))
	if len(c.key) >= 2 && c.key[0] == '"' && c.key[len(c.key)-1] == '"' {
		c.key = c.key[1 : len(c.key)-1]
	}
	if c.key == "" && (!c.service.Repeatable || len(values) > 0) {
		return problemKeyMissing(c.service.Name)
	}
	if len(c.key) > maxKeyLength {
		return problemBadHeader(HeaderKey, "must be at most 255 bytes")
	}
	return nil
}

// parseClass lowers the service's class where the caller asks for it. A caller
// that asks for a higher one keeps the service's.
func (c *call) parseClass(h http.Header) *Problem {
	c.class = c.service.Class
	word := h.Get(HeaderClass)
	if word == "" {
		return nil
	}
	asked, ok := model.ParseClass(word)
	if !ok {
		return problemBadHeader(HeaderClass, "must be urgent, normal or deferrable")
	}
	c.class = min(c.class, asked)
	return nil
}

func (c *call) parseTimeout(h http.Header, l Limits) *Problem {
	timeout := c.service.Timeout
	if timeout <= 0 {
		timeout = l.DefaultTimeout
	}
	if word := h.Get(HeaderTimeout); word != "" {
		asked, err := time.ParseDuration(word)
		if err != nil || asked <= 0 {
			return problemBadHeader(HeaderTimeout, "must be a positive duration such as 800ms or 30s")
		}
		timeout = asked
	}
	c.deadline = c.arrived.Add(min(timeout, l.MaxTimeout))
	return nil
}

// targetPath returns the escaped path with the prefix /services/{service}
// removed. It is cut from the escaped path so that %2F stays what it is.
func targetPath(r *http.Request, name model.ServiceName) string {
	escaped := strings.TrimPrefix(r.URL.EscapedPath(), "/services/")
	_, rest, _ := strings.Cut(escaped, "/")
	return "/" + rest
}

// headerSize is what the header takes on the wire, without the request line.
func headerSize(h http.Header) int {
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v) + len(": \r\n")
		}
	}
	return size
}
