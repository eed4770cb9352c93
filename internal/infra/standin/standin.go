// Package standin simulates the users' platform for tests and the command dev: a
// key-value service that speaks the protocol of the etcd v3 JSON gateway, and a
// machines API in plain HTTP and JSON. Faults can be injected while it runs. It
// counts the calls it receives and can enforce the rate limits of the real
// service.
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

// leaseCheckInterval is how often expired leases are removed even if no call
// arrives, so that watchers learn of the expiry in time.
const leaseCheckInterval = 100 * time.Millisecond

// maxBodyBytes limits the size of a request body. It leaves enough for a value of
// 1 MB, which takes 1.4 MB in base64.
const maxBodyBytes = 4 << 20

// Server is the simulated platform. It is an http.Handler. Its fields inject
// faults and control the machines, the rate limits and the stored data.
type Server struct {
	Faults   *Faults
	Network  *Network
	Machines *Machines
	Counts   *Counter
	// Store holds the data of the key-value service. A test may write to it or
	// compact it directly, bypassing the API.
	Store *memstore.Store

	clock     clockwork.Clock
	router    *mux.Router
	done      chan struct{}
	closeOnce sync.Once

	mu      sync.Mutex
	servers []*http.Server
}

// readHeaderTimeout closes connections that do not send their request headers in
// time.
const readHeaderTimeout = 10 * time.Second

// New returns a running Server whose leases, machines, rate limits and delays
// follow clock. Close releases its resources.
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
	go s.expireLeases()
	return s
}

// Listen starts serving on addr (host:port; port 0 picks a free one) and returns
// the base URL for clients.
func (s *Server) Listen(addr string) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", trace.Wrap(err)
	}
	srv := &http.Server{Handler: s, ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = srv.Serve(ln) }() // ends when Close closes the listener
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers = append(s.servers, srv)
	return "http://" + ln.Addr().String(), nil
}

// Close stops the servers that Listen started and aborts watches and delayed
// calls.
func (s *Server) Close() {
	s.closeOnce.Do(func() { close(s.done) })
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, srv := range s.servers {
		_ = srv.Close() // clients see their connections end even if Close fails
	}
	s.servers = nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// expireLeases removes expired leases every leaseCheckInterval until Close.
func (s *Server) expireLeases() {
	t := s.clock.NewTicker(leaseCheckInterval)
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
	_ = json.NewEncoder(w).Encode(body) // fails only if the client has disconnected or gets a truncated response
}

// readJSON decodes the request body into the given value. If that fails, it answers
// with status 400 and returns false.
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
