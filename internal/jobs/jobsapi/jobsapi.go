// Package jobsapi implements the HTTP API for jobs on the operator port:
//
//	POST   /v1/jobs              submit one or more jobs
//	GET    /v1/jobs              list jobs, filtered by query parameters
//	DELETE /v1/jobs              cancel the jobs selected by query parameters
//	GET    /v1/jobs/{id}         get one job with its history
//	DELETE /v1/jobs/{id}         cancel one job
//	PUT    /v1/jobs/{id}/outcome decide a job whose outcome is unknown
//
// Errors are RFC 9457 problem documents.
package jobsapi

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/gorilla/mux"

	"github.com/pumicestage/pumicestage/internal/access"
	"github.com/pumicestage/pumicestage/internal/audit"
	"github.com/pumicestage/pumicestage/internal/jobs"
	"github.com/pumicestage/pumicestage/internal/operator/api"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Prefix is the path prefix of all routes of the handler.
const Prefix = "/v1/jobs"

const (
	// maxBody bounds a request body in bytes: 5,000 jobs of one kilobyte.
	maxBody = 5 << 20
	// timeout ends a request whose writes the store doesn't accept.
	timeout = 30 * time.Second
)

// Options configures the handler. All fields but Log are required.
type Options struct {
	Jobs   *jobs.Jobs
	Access access.Authorizer
	Trail  *audit.Trail
	Log    logr.Logger
}

type handler struct {
	Options
}

// New returns the handler of the API.
func New(o Options) http.Handler {
	h := &handler{o}
	r := mux.NewRouter()
	h.handle(r, http.MethodPost, Prefix, access.RoleOperate, h.submit)
	h.handle(r, http.MethodGet, Prefix, access.RoleView, h.list)
	h.handle(r, http.MethodDelete, Prefix, access.RoleOperate, h.cancelMany)
	h.handle(r, http.MethodGet, Prefix+"/{id}", access.RoleView, h.get)
	h.handle(r, http.MethodDelete, Prefix+"/{id}", access.RoleOperate, h.cancelOne)
	h.handle(r, http.MethodPut, Prefix+"/{id}/outcome", access.RoleOperate, h.decide)
	return r
}

type operation func(ctx context.Context, r *http.Request, who access.Identity) (any, error)

func (h *handler) handle(r *mux.Router, method, path string, need access.Role, op operation) {
	r.Methods(method).Path(path).HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		// A request is completed even if the client disconnects, so that no
		// command is carried out only in part.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(req.Context()), timeout)
		defer cancel()
		who, err := h.Access.Authorize(req, need)
		if err == nil {
			req.Body = http.MaxBytesReader(w, req.Body, maxBody)
			var reply any
			if reply, err = op(ctx, req, who); err == nil {
				writeJSON(w, http.StatusOK, "application/json", reply)
				return
			}
		}
		var denied *access.Error
		if errors.As(err, &denied) && method != http.MethodGet {
			h.Trail.RecordLimited(audit.Entry{Who: who.Name, From: remoteHost(req), What: method + " " + req.URL.Path, Result: audit.Refused, Detail: denied.Error()})
		}
		p := problemOf(err)
		h.Log.V(1).Info("request on jobs failed", "who", who.Name, "status", p.Status, "error", err.Error())
		writeJSON(w, p.Status, "application/problem+json", p)
	})
}

func writeJSON(w http.ResponseWriter, status int, contentType string, body any) {
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected
}

// recordAudit records a command and its result in the audit trail. The entry is
// written in the background: a submit must not wait for a second write, because
// urgent jobs must start within 2.2 s.
func (h *handler) recordAudit(r *http.Request, who access.Identity, change model.ChangeID, what, detail string, err error) {
	e := audit.Entry{Who: who.Name, From: remoteHost(r), Change: change, What: what, Detail: detail, Result: audit.Done}
	var refusal *jobs.Refusal
	switch {
	case errors.As(err, &refusal):
		e.Result, e.Detail = audit.Refused, refusal.Error()
	case err != nil:
		e.Result, e.Detail = audit.Unknown, err.Error()
	}
	h.Trail.RecordLimited(e)
}

// remoteHost returns the client's address without its port.
func remoteHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func count(n int) string { return strconv.Itoa(n) }

// problemOf converts an error to a problem document. An unrecognized error is
// reported as unavailable.
func problemOf(err error) api.Problem {
	p := api.Problem{Status: http.StatusServiceUnavailable, Code: api.CodeUnavailable, Detail: err.Error()}
	var denied *access.Error
	var refusal *jobs.Refusal
	var platformErr *jobs.Error
	switch {
	case errors.As(err, &denied):
		p.Status, p.Code = http.StatusUnauthorized, api.CodeUnauthorized
		if denied.Authenticated {
			p.Status, p.Code = http.StatusForbidden, api.CodeForbidden
		}
	case errors.As(err, &refusal):
		p.Status, p.Code = statusOf(refusal.Code)
	case errors.As(err, &platformErr) && platformErr.Uncertain:
		p.Code = api.CodeUnknown
	}
	p.Title = http.StatusText(p.Status)
	return p
}

func statusOf(c jobs.Code) (int, api.Code) {
	switch c {
	case jobs.CodeNotFound:
		return http.StatusNotFound, api.CodeNotFound
	case jobs.CodeInvalid:
		return http.StatusBadRequest, api.CodeInvalid
	}
	return http.StatusConflict, api.CodeConflict
}
