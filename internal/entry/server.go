// Package entry is the caller's path through an entry VM: accept a request,
// claim it where it may run at most once, let it wait for a slot, send it to a
// target, and give back the whole answer or a connection that is visibly
// broken. What is let in, waits and goes where is decided in policy/.
package entry

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/claim"
	"github.com/pumicestage/pumicestage/internal/peer"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Options configure a Server.
type Options struct {
	View   *view.Holder    // required
	Loads  peer.Loads      // nil where there are no peers
	Claims claim.Claims    // nil: requests that are not repeatable are not taken
	Clock  clockwork.Clock // nil for the real one
	Log    logr.Logger
	Zone   model.ZoneName
	Self   model.EntryID
	Limits Limits // zero fields take their defaults
	Seed   uint64 // of the random choices between targets
	// Dial is the way to targets; nil for plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Server takes callers' requests. It is an http.Handler for the caller port.
type Server struct {
	opts     Options
	limits   Limits
	clock    clockwork.Clock
	log      logr.Logger
	dispatch *dispatcher
	forward  *forwarder
	router   *mux.Router
	metrics  *metrics
	prober   *prober
	ownKeys  ownKeys

	gate     *gate        // requests, and what outlives their caller
	buffered atomic.Int64 // bytes of bodies read ahead, at most
}

// New returns a Server. Run must be running for it to follow its view.
func New(o Options) *Server {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	s := &Server{opts: o, limits: o.Limits.withDefaults(), clock: o.Clock, log: o.Log, metrics: newMetrics(), gate: newGate()}
	s.dispatch = newDispatcher(o)
	s.forward = newForwarder(o.Dial, s.limits, o.Clock)
	s.metrics.all.Set("services", expvar.Func(func() any { return s.dispatch.services() }))
	s.metrics.all.Set("targets", expvar.Func(func() any { return s.dispatch.states() }))
	s.metrics.all.Set("inside", expvar.Func(func() any { return s.gate.inside() }))
	s.prober = newProber(s.forward.spares.dial, s.dispatch)
	s.router = mux.NewRouter().UseEncodedPath().SkipClean(true)
	s.router.HandleFunc("/services/{service}", s.serve)
	s.router.HandleFunc("/services/{service}/{path:.*}", s.serve)
	s.router.NotFoundHandler = http.HandlerFunc(s.notFound)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// tick is how often waiting work is looked at for what no event tells: slots
// that peers' digests show free, work that aged. Digests come a few times a
// second, so that a shorter tick would find nothing new.
const tick = 50 * time.Millisecond

// Run follows the view and asks targets for their health until ctx is done.
func (s *Server) Run(ctx context.Context) error {
	ticker := s.clock.NewTicker(tick)
	defer ticker.Stop()
	defer s.forward.spares.close()
	defer s.prober.close()
	for {
		changed := s.opts.View.Changed()
		select {
		case <-ctx.Done():
			return trace.Wrap(ctx.Err())
		case <-changed:
		case <-ticker.Chan():
		}
		s.dispatch.tick()
		s.prober.step(ctx)
	}
}

// Ready reports whether new requests are taken: a declaration is known, and the
// entry VM does not leave.
func (s *Server) Ready() bool { return !s.gate.isShut() && s.opts.View.Load().Declaration != nil }

// Drain stops taking new requests and waits until those inside, queued ones
// included, have their answers and outcomes are recorded. It returns ctx's
// error where that takes longer; the requests go on.
func (s *Server) Drain(ctx context.Context) error {
	select {
	case <-s.gate.close():
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err(), "requests still inside: %d", s.gate.inside())
	}
}

// enter counts a request in, unless the entry VM is full, starting or leaving.
func (s *Server) enter() *Problem {
	if s.opts.View.Load().Declaration == nil {
		return problemStarting()
	}
	switch s.gate.enter(s.limits.Inside) {
	case isShut:
		return problemDraining()
	case isFull:
		return problemOverload("the entry VM has as many requests inside as it may", time.Second)
	}
	return nil
}

// service returns the declared service, or nil.
func (s *Server) service(name model.ServiceName) *model.Service {
	d := s.opts.View.Load().Declaration
	if d == nil {
		return nil
	}
	return d.Service(name)
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	s.answer(w, r, problemNoService(model.ServiceName(r.URL.Path)), r.ContentLength != 0)
}
