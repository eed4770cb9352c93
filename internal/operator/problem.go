package operator

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/pumicestage/pumicestage/internal/access"
	"github.com/pumicestage/pumicestage/internal/audit"
	"github.com/pumicestage/pumicestage/internal/command"
	"github.com/pumicestage/pumicestage/internal/config"
	"github.com/pumicestage/pumicestage/internal/lang"
	"github.com/pumicestage/pumicestage/internal/operator/api"
	"github.com/pumicestage/pumicestage/internal/query"
)

// problemOf converts an error of the lower layers to a problem document. The
// text of an error of unknown type is left out, since it may contain internal
// details or secrets; it is only logged.
func problemOf(err error) api.Problem {
	for _, convert := range []func(error) (api.Problem, bool){accessProblem, bodyProblem, configProblem, commandProblem, queryProblem} {
		if p, ok := convert(err); ok {
			p.Title = http.StatusText(p.Status)
			return p
		}
	}
	return api.Problem{Title: "Internal Server Error", Status: http.StatusInternalServerError, Code: api.CodeInternal, Detail: "see the log of this entry VM"}
}

func accessProblem(err error) (api.Problem, bool) {
	var denied *access.Error
	if !errors.As(err, &denied) {
		return api.Problem{}, false
	}
	if denied.Authenticated {
		return api.Problem{Status: http.StatusForbidden, Code: api.CodeForbidden, Detail: denied.Error()}, true
	}
	return api.Problem{Status: http.StatusUnauthorized, Code: api.CodeUnauthorized, Detail: denied.Error()}, true
}

// bodyError reports an invalid request: its body or parameters cannot be read,
// or tooLarge is set and the body exceeds api.MaxBodyBytes. Its text is sent to
// the client.
type bodyError struct {
	detail   string
	tooLarge bool
}

// Error implements error.
func (e *bodyError) Error() string { return e.detail }

func bodyProblem(err error) (api.Problem, bool) {
	var body *bodyError
	var syntax *lang.SyntaxError
	switch {
	case errors.As(err, &body) && body.tooLarge:
		return api.Problem{Status: http.StatusRequestEntityTooLarge, Code: api.CodeTooLarge, Detail: body.detail}, true
	case errors.As(err, &body):
		return api.Problem{Status: http.StatusBadRequest, Code: api.CodeInvalid, Detail: body.detail}, true
	case errors.As(err, &syntax):
		return api.Problem{Status: http.StatusBadRequest, Code: api.CodeSyntax, Detail: syntax.Error()}, true
	}
	return api.Problem{}, false
}

func configProblem(err error) (api.Problem, bool) {
	var invalid *config.InvalidError
	var conflict *config.ConflictError
	var removal *config.RemovalError
	var unavailable *config.UnavailableError
	var unknown *config.UnknownError
	switch {
	case errors.As(err, &invalid):
		return api.Problem{Status: http.StatusUnprocessableEntity, Code: api.CodeInvalid, Detail: invalid.Error(), Problems: invalid.Problems}, true
	case errors.As(err, &conflict):
		return api.Problem{Status: http.StatusConflict, Code: api.CodeConflict, Detail: conflict.Error(), Winner: &conflict.Winner, Differ: conflict.Differences}, true
	case errors.As(err, &removal):
		return api.Problem{Status: http.StatusConflict, Code: api.CodeRemoval, Detail: removal.Error(), Broken: removal.Broken}, true
	case errors.As(err, &unavailable):
		return api.Problem{Status: http.StatusServiceUnavailable, Code: api.CodeUnavailable, Detail: unavailable.Error()}, true
	case errors.As(err, &unknown):
		return api.Problem{Status: http.StatusBadGateway, Code: api.CodeUnknown, Detail: unknown.Error()}, true
	}
	return api.Problem{}, false
}

// refusalStatus maps the code of a refused order to its HTTP status.
var refusalStatus = map[command.Code]int{
	command.CodeNotFound:    http.StatusNotFound,
	command.CodeConflict:    http.StatusConflict,
	command.CodeRevision:    http.StatusConflict,
	command.CodeBudget:      http.StatusConflict,
	command.CodeState:       http.StatusConflict,
	command.CodeUnavailable: http.StatusServiceUnavailable,
	command.CodeInvalid:     http.StatusBadRequest,
}

func commandProblem(err error) (api.Problem, bool) {
	var refusal *command.Refusal
	var uncertain *command.UncertainError
	switch {
	case errors.As(err, &refusal):
		return api.Problem{Status: refusalStatus[refusal.Code], Code: api.CodeRefused, Reason: string(refusal.Code), Detail: refusal.Error()}, true
	case errors.As(err, &uncertain):
		return api.Problem{Status: http.StatusBadGateway, Code: api.CodeUnknown, Detail: uncertain.Error()}, true
	}
	return api.Problem{}, false
}

// queryStatus maps the code of a query error to the status and code of its
// problem document.
var queryStatus = map[query.Code]api.Problem{
	query.CodeNotFound:    {Status: http.StatusNotFound, Code: api.CodeNotFound},
	query.CodeUnavailable: {Status: http.StatusServiceUnavailable, Code: api.CodeUnavailable},
	query.CodeInvalid:     {Status: http.StatusBadRequest, Code: api.CodeInvalid},
}

func queryProblem(err error) (api.Problem, bool) {
	var failed *query.Error
	var trail *audit.Error
	switch {
	case errors.As(err, &failed):
		p := queryStatus[failed.Code]
		p.Detail = failed.Error()
		return p, true
	case errors.As(err, &trail):
		return api.Problem{Status: http.StatusServiceUnavailable, Code: api.CodeUnavailable, Detail: "the audit trail cannot be read now"}, true
	}
	return api.Problem{}, false
}

func writeProblem(w http.ResponseWriter, p api.Problem) {
	w.Header().Set("Content-Type", api.ContentProblem)
	if p.Status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
