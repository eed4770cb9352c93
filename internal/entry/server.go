// Package entry serves callers' requests at an entry VM. It accepts a request,
// claims its idempotency key if it may run at most once, queues it for a slot,
// sends it to a target, and either relays the complete response or visibly aborts
// the connection. Admission, queueing and target selection are decided in
// policy/.
package entry

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/gorilla/mux"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/claim"
	"github.com/pumicestage/pumicestage/internal/guard"
	"github.com/pumicestage/pumicestage/internal/peer"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Options configures a Server.
type Options struct {
	View   *view.Holder    // required
	Loads  peer.Loads      // nil if there are no peers
	Claims claim.Claims    // if nil, requests that are not repeatable are refused
	Clock  clockwork.Clock // nil for the real clock
	Log    logr.Logger
	Zone   model.ZoneName
	Self   model.EntryID
	Limits Limits // zero fields take their defaults
	Seed   uint64 // seeds the random choices between targets
	// Dial opens connections to targets; nil for plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Server serves callers' requests. It is the http.Handler of the caller port.
type Server struct {
	opts      Options
	limits    Limits
	clock     clockwork.Clock
	log       logr.Logger
	dispatch  *dispatcher
	forward   *forwarder
	router    *mux.Router
	metrics   *metrics
	prober    *prober
	localKeys localKeys

	admission *admission    // requests in flight, and their work that outlives the caller's connection
	bodies    *guard.Budget // of the bodies that are buffered
}

// New returns a Server. It follows changes of its view only while Run is running.
func New(o Options) *Server {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	s := &Server{opts: o, limits: o.Limits.withDefaults(), clock: o.Clock, log: o.Log, metrics: newMetrics(), admission: newAdmission()}
	s.bodies = guard.NewBudget(s.limits.TotalBufferBytes, guard.Shares{guard.Requests: 1})
	s.dispatch = newDispatcher(o)
	s.forward = newForwarder(o.Dial, s.limits, o.Clock)
	s.metrics.all.Set("services", expvar.Func(func() any { return s.dispatch.services() }))
	s.metrics.all.Set("targets", expvar.Func(func() any { return s.dispatch.states() }))
	s.metrics.all.Set("inside", expvar.Func(func() any { return s.admission.inFlight() }))
	s.prober = newProber(s.forward.spares.dial, s.dispatch)
	s.router = mux.NewRouter().UseEncodedPath().SkipClean(true)
	s.router.HandleFunc("/services/{service}", s.serve)
	s.router.HandleFunc("/services/{service}/{path:.*}", s.serve)
	s.router.NotFoundHandler = http.HandlerFunc(s.notFound)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.router.ServeHTTP(w, r) }

// tickInterval is how often the queues are examined for changes that no event
// signals: slots that peers' digests show as free, and requests that have aged.
// Digests arrive a few times a second, so a shorter interval would find nothing
// new.
const tickInterval = 50 * time.Millisecond

// Run dispatches queued requests whenever the fleet's state (Options.View) changes
// and at every tickInterval, and probes the health of targets, until ctx is done.
// It returns ctx's error.
func (s *Server) Run(ctx context.Context) error {
	ticker := s.clock.NewTicker(tickInterval)
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
		s.prober.startDue(ctx)
	}
}

// Ready reports whether new requests are accepted: a declaration is known, and
// the entry VM is not draining.
func (s *Server) Ready() bool {
	return !s.admission.isClosed() && s.opts.View.Load().Declaration != nil
}

// Drain stops accepting new requests and waits until those in flight, queued ones
// included, are answered and their outcomes are recorded. If ctx ends first, it
// returns ctx's error, and the requests continue.
func (s *Server) Drain(ctx context.Context) error {
	select {
	case <-s.admission.close():
		return nil
	case <-ctx.Done():
		return trace.Wrap(ctx.Err(), "requests still in flight: %d", s.admission.inFlight())
	}
}

// admit counts a request as in flight, or returns a problem if the entry VM is
// full, starting or draining.
func (s *Server) admit() *Problem {
	if s.opts.View.Load().Declaration == nil {
		return problemStarting()
	}
	switch s.admission.admit(s.limits.MaxInFlight) {
	case rejectedClosed:
		return problemDraining()
	case rejectedFull:
		return problemOverload("the entry VM has as many requests inside as it may", time.Second)
	}
	return nil
}

// service returns the declared service, nil if there is none of that name.
func (s *Server) service(name model.ServiceName) *model.Service {
	d := s.opts.View.Load().Declaration
	if d == nil {
		return nil
	}
	return d.Service(name)
}

// notFound handles requests whose path is not below /services/.
func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	s.answer(w, r, problemNoService(model.ServiceName(r.URL.Path)), r.ContentLength != 0)
}
