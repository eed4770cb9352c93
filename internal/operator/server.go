// Package operator is the operators' HTTP interface: declarations, questions,
// orders, the audit trail and the state of this entry VM.
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

// requestTimeout bounds the work on one request. The platform answers in
// milliseconds; an order on a whole zone makes a call for each VM.
const requestTimeout = 30 * time.Second

// Acks tells which live entry VMs hold a generation.
type Acks interface {
	InForce(ctx context.Context, generation uint64) (have, missing []model.EntryID, err error)
}

// Options are what the server works with; all but Access, Clock and Log are
// required.
type Options struct {
	Store    infra.Store
	View     *view.Holder
	Commands *command.Executor
	Queries  *query.Engine
	Trail    *audit.Trail
	Acks     Acks
	Access   access.Authorizer // access.Unauthenticated if nil
	Clock    clockwork.Clock   // the real one if nil
	Log      logr.Logger
}

// server answers the operators' requests.
type server struct {
	Options
}

// New returns the handler of the operator port, under /v1/.
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
	r.MethodNotAllowedHandler = http.HandlerFunc(notAllowed)
	return r
}

// operation answers one request with a value for the body, or an error.
type operation func(ctx context.Context, r *http.Request, who access.Identity) (any, error)

func (s *server) handle(r *mux.Router, method, path string, need access.Role, op operation) {
	r.Methods(method).Path(path).HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		// A client that goes away does not stop half an order.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(req.Context()), requestTimeout)
		defer cancel()
		who, err := s.Access.Authorize(req, need)
		if err != nil {
			s.refuse(w, req, who, err)
			return
		}
		req.Body = http.MaxBytesReader(w, req.Body, api.MaxBodyBytes)
		reply, err := op(ctx, req, who)
		if err != nil {
			s.fail(w, req, who, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(reply)
	})
}

// refuse answers a request that is not let in, and enters it in the trail.
func (s *server) refuse(w http.ResponseWriter, req *http.Request, who access.Identity, err error) {
	s.Log.Info("operator request not let in", "from", remote(req), "path", req.URL.Path, "reason", err.Error())
	if req.Method != http.MethodGet {
		s.Trail.RecordLimited(audit.Entry{Who: who.Name, From: remote(req), What: req.Method + " " + req.URL.Path, Result: audit.Refused, Detail: err.Error()})
	}
	writeProblem(w, problemOf(err))
}

func (s *server) fail(w http.ResponseWriter, req *http.Request, who access.Identity, err error) {
	p := problemOf(err)
	s.Log.V(1).Info("operator request failed", "who", who.Name, "path", req.URL.Path, "status", p.Status, "error", err.Error())
	if p.Code == api.CodeInternal {
		s.Log.Error(err, "operator request failed", "path", req.URL.Path)
	}
	writeProblem(w, p)
}

func notFound(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, api.Problem{Title: "Not Found", Status: http.StatusNotFound, Code: api.CodeNotFound, Detail: "no such path: " + strconv.Quote(r.URL.Path)})
}

func notAllowed(w http.ResponseWriter, r *http.Request) {
	writeProblem(w, api.Problem{Title: "Method Not Allowed", Status: http.StatusMethodNotAllowed, Code: api.CodeInvalid, Detail: r.Method + " is not taken here"})
}

// readBody reads the request's JSON. Unknown fields are errors: a misspelt
// condition would otherwise be taken as none.
func readBody(r *http.Request, into any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
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

func remote(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func actor(r *http.Request, who access.Identity) command.Actor {
	return command.Actor{Name: who.Name, From: remote(r)}
}
