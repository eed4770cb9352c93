// Package operator serves the operators' HTTP API: the declaration (the desired
// configuration), queries, orders, the audit trail and the status of this entry
// VM.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/access"
	"github.com/pumicestage/pumicestage/internal/audit"
	"github.com/pumicestage/pumicestage/internal/command"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/operator/api"
	"github.com/pumicestage/pumicestage/internal/query"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// requestTimeout bounds the processing of one request. A platform call takes
// milliseconds, but an order on a whole zone makes one call per VM.
const requestTimeout = 30 * time.Second

// Acks reports which live entry VMs have a generation of the declaration, or a
// later one, in force, and which are not known to.
type Acks interface {
	InForce(ctx context.Context, generation uint64) (have, missing []model.EntryID, err error)
}

// Options holds the server's dependencies. All but Access, Clock and Log are
// required.
type Options struct {
	Store    infra.Store
	View     *view.Holder
	Commands *command.Executor
	Queries  *query.Engine
	Trail    *audit.Trail
	Acks     Acks
	Access   access.Authorizer // nil means access.Unauthenticated with names from api.HeaderOperator
	Clock    clockwork.Clock   // nil means the real clock
	Log      logr.Logger
}

// server implements the handlers of the operator API.
type server struct {
	Options
}

// New returns the HTTP handler of the operator API, whose paths begin with /v1/.
func New(o Options) http.Handler {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Access == nil {
		o.Access = access.Unauthenticated{NameHeader: api.HeaderOperator}
	}
	s := &server{o}
	r := mux.NewRouter()
	s.handle(r, http.MethodGet, api.PathDeclaration, access.RoleView, s.getDeclaration)
	s.handle(r, http.MethodPost, api.PathDeclaration, access.RoleView, s.postDeclaration)
	s.handle(r, http.MethodGet, api.PathInForce, access.RoleView, s.getInForce)
	s.handle(r, http.MethodPost, api.PathQuery, access.RoleView, s.postQuery)
	s.handle(r, http.MethodPost, api.PathDo, access.RoleOperate, s.postDo)
	s.handle(r, http.MethodGet, api.PathAudit, access.RoleView, s.getAudit)
	s.handle(r, http.MethodGet, api.PathStatus, access.RoleView, s.getStatus)
	r.NotFoundHandler = http.HandlerFunc(notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(methodNotAllowed)
	return r
}

// operation handles one request. It returns the value to encode as the response
// body, or an error, which is answered with a problem document.
type operation func(ctx context.Context, r *http.Request, who access.Identity) (any, error)

// handle registers op for a method and path. Operators without requiredRole
// are denied.
func (s *server) handle(r *mux.Router, method, path string, requiredRole access.Role, op operation) {
	r.Methods(method).Path(path).HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		// An order that is cancelled half-way would leave some of its VMs changed
		// and others not, so it runs on when the client disconnects.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(req.Context()), requestTimeout)
		defer cancel()
		who, err := s.Access.Authorize(req, requiredRole)
		if err != nil {
			s.writeDenied(w, req, who, err)
			return
		}
		req.Body = http.MaxBytesReader(w, req.Body, api.MaxBodyBytes)
		reply, err := op(ctx, req, who)
		if err != nil {
			s.writeError(w, req, who, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(reply)
	})
}

// writeDenied answers a request that the access check rejected. Rejected
// requests other than GET are recorded in the audit trail.
func (s *server) writeDenied(w http.ResponseWriter, req *http.Request, who access.Identity, err error) {
	s.Log.Info("operator request denied", "from", remoteHost(req), "path", req.URL.Path, "reason", err.Error())
	if req.Method != http.MethodGet {
		s.Trail.RecordLimited(audit.Entry{Who: who.Name, From: remoteHost(req), What: req.Method + " " + req.URL.Path, Result: audit.Refused, Detail: err.Error()})
	}
	writeProblem(w, problemOf(err))
}

// writeError answers a request whose operation failed. The cause of an internal
// error is only logged: the response doesn't show it.
func (s *server) writeError(w http.ResponseWriter, req *http.Request, who access.Identity, err error) {
	p := problemOf(err)
	s.Log.V(1).Info("operator request failed", "who", who.Name, "path", req.URL.Path, "status", p.Status, "error", err.Error())
	if p.Code == api.CodeInternal {
		s.Log.Error(err, "operator request failed with an internal error", "path", req.URL.Path)
	}
	writeProblem(w, p)
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, api.Problem{Title: "Not Found", Status: http.StatusNotFound, Code: api.CodeNotFound, Detail: "no such path: " + strconv.Quote(r.URL.Path)})
}

func methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, api.Problem{Title: "Method Not Allowed", Status: http.StatusMethodNotAllowed, Code: api.CodeInvalid, Detail: r.Method + " is not taken here"})
}

// readBody decodes the request's JSON body into dest. It returns a bodyError if
// the body is too large, is not one JSON value, or has unknown fields: if they
// were ignored, a misspelt condition such as ifRevision would be dropped and the
// request carried out unconditionally.
func readBody(r *http.Request, dest any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(dest); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return &bodyError{detail: "the body is over " + strconv.Itoa(api.MaxBodyBytes) + " bytes", tooLarge: true}
		}
		return &bodyError{detail: "the body cannot be read: " + err.Error()}
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return &bodyError{detail: "the body has more after its JSON value"}
	}
	return nil
}

// remoteHost returns the client's address without its port.
func remoteHost(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func actor(r *http.Request, who access.Identity) command.Actor {
	return command.Actor{Name: who.Name, From: remoteHost(r)}
}
