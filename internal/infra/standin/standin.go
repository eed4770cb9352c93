// Package standin is a small stand-in for the users' platform: the key-value
// service behind the etcd v3 JSON gateway's protocol, and the machines behind
// plain HTTP and JSON. Its faults are switched while it runs. It counts the
// calls it gets and can enforce the service's limits.
package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/infra/etcdjson"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
)

// leaseTick is how often due leases are looked for while nobody calls, so
// that watchers hear of a lapsed lease in time.
const leaseTick = 100 * time.Millisecond

// maxBodyBytes bounds a request's body: a value of 1 MB is 1.4 MB in base64.
const maxBodyBytes = 4 << 20

// Server is the stand-in. It is an http.Handler, and its methods are the
// control of its faults.
type Server struct {
	Faults   *Faults
	Network  *Network
	Machines *Machines
	Counts   *Counter
	// Store is the engine; a test may write or compact behind the API.
	Store *memstore.Store

	clock  clockwork.Clock
	router *mux.Router
	done   chan struct{}
	once   sync.Once

	mu      sync.Mutex
	servers []*http.Server
}

// headerTimeout ends connections that never say what they want.
const headerTimeout = 10 * time.Second

// New returns a running stand-in whose leases, machines and delays follow
// clock. Close ends it.
func New(clock clockwork.Clock) *Server {
	s := &Server{
		Faults:   newFaults(),
		Network:  newNetwork(),
		Machines: newMachines(clock),
		Counts:   newCounter(clock),
		Store:    memstore.New(clock),
		clock:    clock,
		router:   mux.NewRouter().UseEncodedPath(),
		done:     make(chan struct{}),
	}
	s.Faults.network = s.Network
	s.routeStore()
	s.routeMachines()
	s.router.HandleFunc(PathFaults, s.getFaults).Methods(http.MethodGet)
	s.router.HandleFunc(PathFaults, s.putFaults).Methods(http.MethodPut)
	go s.tick()
	return s
}

// Listen serves on addr, host:port with port 0 for any, and returns the base
// address for clients.
func (s *Server) Listen(addr string) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", trace.Wrap(err)
	}
	srv := &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout}
	go func() { _ = srv.Serve(ln) }() // ends when Close closes the listener
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, srv)
	return "http://" + ln.Addr().String(), nil
}

// Close ends every call and watch, and what Listen began.
func (s *Server) Close() {
	s.once.Do(func() { close(s.done) })
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range s.servers {
		_ = srv.Close() // clients see the cut
	}
	s.servers = nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

func (s *Server) tick() {
	t := s.clock.NewTicker(leaseTick)
	defer t.Stop()
	for {
		select {
		case <-t.Chan():
			s.Store.ExpireLeases()
		case <-s.done:
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the client may be gone; it sees a cut answer
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil {
		return true
	}
	writeError(w, http.StatusBadRequest, etcdjson.CodeInvalidArgument, err.Error())
	return false
}

func writeError(w http.ResponseWriter, status int, code etcdjson.Code, message string) {
	writeJSON(w, status, etcdjson.Error{Error: message, Code: code, Message: message})
}
