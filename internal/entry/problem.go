package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pumicestage/pumicestage/policy/dispatch"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Problem is an RFC 9457 problem document, which a caller receives if no
// response of a target can be relayed.
type Problem struct {
	Type       string        `json:"type"` // one of the Type constants below
	Title      string        `json:"title"`
	Status     int           `json:"status"`
	Detail     string        `json:"detail"`
	Outcome    Outcome       `json:"outcome"`
	RetryAfter time.Duration `json:"-"` // sent as Retry-After; 0 if retrying later does not help
}

// Error implements error.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

// Problem types. They are relative URI references that clients may switch on.
const (
	TypeBadHeader     = "/problems/bad-header"
	TypeKeyMissing    = "/problems/idempotency-key-missing"
	TypeKeyReused     = "/problems/idempotency-key-reused"
	TypeKeyRunning    = "/problems/idempotency-key-running"
	TypeKeyUnknown    = "/problems/outcome-unknown"
	TypeNoService     = "/problems/no-such-service"
	TypeHeaderLarge   = "/problems/header-too-large"
	TypeBodyLarge     = "/problems/body-too-large"
	TypeSlowSender    = "/problems/slow-sender"
	TypeBadBody       = "/problems/bad-body"
	TypeOverload      = "/problems/overload"
	TypeCallerLimit   = "/problems/caller-over-share"
	TypeTimeout       = "/problems/timeout"
	TypeNoTarget      = "/problems/no-target"
	TypeRefused       = "/problems/target-refused"
	TypeTargetBroken  = "/problems/target-failed"
	TypeDraining      = "/problems/entry-draining"
	TypeStoreDown     = "/problems/store-unavailable"
	TypeAnswerNotKept = "/problems/answer-not-kept"
)

// write sends the document. closeConn must be set if the request's body was not
// read to its end, because the start of the next request on the connection is
// then unknown.
func (p *Problem) write(w http.ResponseWriter, closeConn bool) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderOutcome, string(p.Outcome))
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(retryAfterSeconds(p.RetryAfter)))
	}
	if closeConn {
		h.Set("Connection", "close")
	}
	body, err := json.Marshal(p)
	if err != nil {
		body = []byte("{}")
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.Status)
	_, _ = w.Write(body) // if this fails, the caller has disconnected and there is nobody to inform
}

// retryAfterSeconds rounds up to whole seconds, the unit of the header: a caller
// that retries too early would be rejected again.
func retryAfterSeconds(d time.Duration) int {
	return max(1, int((d+time.Second-1)/time.Second))
}

// problemOf converts policy's refusal of a request to a problem document.
func problemOf(r *dispatch.Refusal, name model.ServiceName) *Problem {
	switch r.Reason {
	case dispatch.NoService:
		return problemNoService(name)
	case dispatch.NoTarget:
		return problemNoTarget(r.RetryAfter)
	case dispatch.OverShare:
		return problemCallerLimit(r.RetryAfter)
	case dispatch.NoOtherTarget:
		return problemRefused(r.RetryAfter)
	case dispatch.DeadlineExceeded:
		return problemTimeout("no slot came free in time", NotRun)
	}
	return problemOverload("the answer would be late: a wait of "+r.Wait.Round(time.Millisecond).String()+" is predicted", r.RetryAfter)
}

func problemBadHeader(name, want string) *Problem {
	return &Problem{Type: TypeBadHeader, Title: "Bad request header", Status: http.StatusBadRequest,
		Detail: name + " " + want, Outcome: NotRun}
}

func problemKeyMissing(name model.ServiceName) *Problem {
	return &Problem{Type: TypeKeyMissing, Title: "Idempotency-Key is missing", Status: http.StatusBadRequest,
		Detail:  fmt.Sprintf("service %s is not repeatable: each request needs an Idempotency-Key", name),
		Outcome: NotRun}
}

func problemKeyReused() *Problem {
	return &Problem{Type: TypeKeyReused, Title: "Idempotency-Key is already used", Status: http.StatusUnprocessableEntity,
		Detail: "the key was used for a request with another method, path or body", Outcome: NotRun}
}

func problemKeyRunning() *Problem {
	return &Problem{Type: TypeKeyRunning, Title: "A request is outstanding for this Idempotency-Key", Status: http.StatusConflict,
		Detail: "the first request with this key may still be running; ask again for its outcome", Outcome: Unknown,
		RetryAfter: time.Second}
}

func problemKeyUnknown() *Problem {
	return &Problem{Type: TypeKeyUnknown, Title: "The outcome is not known", Status: http.StatusConflict,
		Detail:  "the first request with this key was lost while it may have been running; it is never run again",
		Outcome: Unknown}
}

func problemAnswerNotKept(status int) *Problem {
	return &Problem{Type: TypeAnswerNotKept, Title: "The answer was not kept", Status: http.StatusConflict,
		Detail:  fmt.Sprintf("the request ran and was answered with status %d; the answer was too large to keep", status),
		Outcome: Ran}
}

func problemNoService(name model.ServiceName) *Problem {
	return &Problem{Type: TypeNoService, Title: "No such service", Status: http.StatusNotFound,
		Detail: fmt.Sprintf("no service %q is declared", name), Outcome: NotRun}
}

func problemHeaderTooLarge(limit int) *Problem {
	return &Problem{Type: TypeHeaderLarge, Title: "Header too large", Status: http.StatusRequestHeaderFieldsTooLarge,
		Detail: fmt.Sprintf("the header may take at most %d bytes", limit), Outcome: NotRun}
}

func problemBodyTooLarge(limit int64, o Outcome) *Problem {
	return &Problem{Type: TypeBodyLarge, Title: "Body too large", Status: http.StatusRequestEntityTooLarge,
		Detail: fmt.Sprintf("the body may take at most %d bytes", limit), Outcome: o}
}

func problemSlowSender(o Outcome) *Problem {
	return &Problem{Type: TypeSlowSender, Title: "Body sent too slowly", Status: http.StatusRequestTimeout,
		Detail: "the body fell behind the least rate", Outcome: o}
}

func problemBadBody(o Outcome) *Problem {
	return &Problem{Type: TypeBadBody, Title: "Body is broken", Status: http.StatusBadRequest,
		Detail: "the body ended before its end", Outcome: o}
}

func problemOverload(detail string, wait time.Duration) *Problem {
	return &Problem{Type: TypeOverload, Title: "Service is overloaded", Status: http.StatusServiceUnavailable,
		Detail: detail, Outcome: NotRun, RetryAfter: max(wait, time.Second)}
}

func problemCallerLimit(wait time.Duration) *Problem {
	return &Problem{Type: TypeCallerLimit, Title: "Caller is over its share", Status: http.StatusTooManyRequests,
		Detail:  "the service is overloaded and this caller has more waiting than its share",
		Outcome: NotRun, RetryAfter: max(wait, time.Second)}
}

func problemTimeout(detail string, o Outcome) *Problem {
	p := &Problem{Type: TypeTimeout, Title: "Timeout", Status: http.StatusGatewayTimeout, Detail: detail, Outcome: o}
	if o == NotRun {
		p.RetryAfter = time.Second
	}
	return p
}

func problemNoTarget(wait time.Duration) *Problem {
	return &Problem{Type: TypeNoTarget, Title: "No target", Status: http.StatusServiceUnavailable,
		Detail: "no target of the service takes requests now", Outcome: NotRun, RetryAfter: max(wait, time.Second)}
}

func problemRefused(wait time.Duration) *Problem {
	return &Problem{Type: TypeRefused, Title: "Target refused the request", Status: http.StatusServiceUnavailable,
		Detail: "each target asked refused the request before starting it", Outcome: NotRun, RetryAfter: max(wait, time.Second)}
}

func problemUnreachable() *Problem {
	return &Problem{Type: TypeTargetBroken, Title: "Target not reached", Status: http.StatusBadGateway,
		Detail: "no connection to a target could be made; nothing was sent", Outcome: NotRun, RetryAfter: time.Second}
}

func problemTargetFailed() *Problem {
	return &Problem{Type: TypeTargetBroken, Title: "Target failed", Status: http.StatusBadGateway,
		Detail: "the target's answer broke off or could not be read; the request may have run", Outcome: Unknown}
}

func problemDraining() *Problem {
	return &Problem{Type: TypeDraining, Title: "Entry VM is leaving", Status: http.StatusServiceUnavailable,
		Detail: "this entry VM takes no new requests; ask again to reach another", Outcome: NotRun, RetryAfter: time.Second}
}

// problemStarting is sent before the first declaration is known: "no such
// service" would make callers give up on a service that exists.
func problemStarting() *Problem {
	return &Problem{Type: TypeDraining, Title: "Entry VM is starting", Status: http.StatusServiceUnavailable,
		Detail: "this entry VM does not know the services yet; ask again to reach another", Outcome: NotRun, RetryAfter: time.Second}
}

func problemStoreDown(wait time.Duration) *Problem {
	return &Problem{Type: TypeStoreDown, Title: "Requests that run at most once cannot be taken", Status: http.StatusServiceUnavailable,
		Detail:  "the platform's store could not be asked, and without it a second run cannot be ruled out",
		Outcome: NotRun, RetryAfter: max(wait, time.Second)}
}

func problemClaimUncertain() *Problem {
	return &Problem{Type: TypeKeyUnknown, Title: "The claim is not certain", Status: http.StatusServiceUnavailable,
		Detail:  "the request was not sent, but its key may be taken; ask again with the same key",
		Outcome: Unknown, RetryAfter: time.Second}
}
