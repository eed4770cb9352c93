package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra/etcdjson"
	"github.com/pumicestage/pumicestage/internal/infra/httpcall"
)

// PathFaults is where the faults are read (GET) and switched (PUT) over HTTP.
const PathFaults = "/faults"

// AnyZone selects the clients of all zones, and those that name none.
const AnyZone = ""

// Fault is what goes wrong for the clients of one zone.
type Fault struct {
	// Down closes every connection unread. Clients that dial through the
	// Network are refused unsent instead.
	Down bool `json:"down,omitempty"`
	// Paused holds every call, and carries it out when the pause ends, also
	// where its client has given up.
	Paused bool `json:"paused,omitempty"`
	// Slow delays every call before its effect, on the stand-in's clock.
	Slow time.Duration `json:"slow,omitempty"`
	// LoseReplies is how many more writes take effect without a reply.
	LoseReplies int `json:"lose_replies,omitempty"`
	// LoseRequests is how many more writes vanish without effect or reply.
	LoseRequests int `json:"lose_requests,omitempty"`
	// Garble is how many more calls take effect and get a reply cut short.
	Garble int `json:"garble,omitempty"`
	// StaleList freezes the list of machines as it is now.
	StaleList bool `json:"stale_list,omitempty"`
}

// Faults are the switched faults by the zone of the client.
type Faults struct {
	network *Network

	mu     sync.Mutex
	held   int // calls that wait for the end of a pause
	byZone map[string]*Fault
	change chan struct{} // closed and replaced at each change
}

func newFaults() *Faults {
	return &Faults{byZone: make(map[string]*Fault), change: make(chan struct{})}
}

// Set replaces the faults of the clients of zone, or of all with AnyZone.
func (f *Faults) Set(zone string, fault Fault) {
	f.mu.Lock()
	f.byZone[zone] = &fault
	close(f.change)
	f.change = make(chan struct{})
	f.mu.Unlock()
	f.cutOff(zone, fault.Down)
}

// cutOff makes clients that dial through the Network see a refused dial.
func (f *Faults) cutOff(zone string, down bool) {
	switch {
	case zone == AnyZone:
		f.network.Isolate(PlatformZone, down)
	case down:
		f.network.Cut(zone, PlatformZone)
	default:
		f.network.Heal(zone, PlatformZone)
	}
}

// Held returns how many calls wait for the end of a pause.
func (f *Faults) Held() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held
}

func (f *Faults) hold(delta int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held += delta
}

// Clear switches every fault off.
func (f *Faults) Clear() {
	for zone := range f.All() {
		f.Set(zone, Fault{})
	}
}

// All returns the faults by zone.
func (f *Faults) All() map[string]Fault {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make(map[string]Fault, len(f.byZone))
	for zone, fault := range f.byZone {
		out[zone] = *fault
	}
	return out
}

// state is what is wrong for zone now, and a channel that says when to look
// again.
func (f *Faults) state(zone string) (Fault, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var sum Fault
	for _, fault := range f.selectLocked(zone) {
		sum.Down = sum.Down || fault.Down
		sum.Paused = sum.Paused || fault.Paused
		sum.Slow += fault.Slow
		sum.StaleList = sum.StaleList || fault.StaleList
	}
	return sum, f.change
}

// fate is what becomes of one call.
type fate int8

const (
	fatePass fate = iota
	fateLoseRequest
	fateLoseReply
	fateGarble
)

// draw uses up one of the counted faults of zone, if there is one for a call
// of the kind.
func (f *Faults) draw(zone string, kind Kind) fate {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fault := range f.selectLocked(zone) {
		switch {
		case kind.writes() && fault.LoseRequests > 0:
			fault.LoseRequests--
			return fateLoseRequest
		case kind.writes() && fault.LoseReplies > 0:
			fault.LoseReplies--
			return fateLoseReply
		case kind != KindWatch && fault.Garble > 0:
			fault.Garble--
			return fateGarble
		}
	}
	return fatePass
}

func (f *Faults) selectLocked(zone string) []*Fault {
	var found []*Fault
	if fault, ok := f.byZone[zone]; ok {
		found = append(found, fault)
	}
	if fault, ok := f.byZone[AnyZone]; ok && zone != AnyZone {
		found = append(found, fault)
	}
	return found
}

// guarded puts the limits and the faults in front of a handler of one call.
func (s *Server) guarded(kind Kind, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		zone := r.Header.Get(httpcall.ZoneHeader)
		body := readAll(w, r)
		s.await(zone)
		if !s.Counts.allow(kind) {
			writeError(w, http.StatusTooManyRequests, etcdjson.CodeResourceExhausted, "etcdserver: too many requests")
			return
		}
		fate := s.Faults.draw(zone, kind)
		if fate == fateLoseRequest {
			panic(http.ErrAbortHandler) // closes the connection without a reply
		}
		out := newOutput(w, fate)
		h(out, r)
		if kind != KindWatch { // a watch counts what it sends as it goes
			s.Counts.bytes(int64(body), out.size)
		}
		out.finish()
	}
}

// await holds a call while its zone's faults say so. It does not look at the
// client: a service that was slow or paused carries out what it has read, also
// when nobody waits for the answer any more.
func (s *Server) await(zone string) {
	slept := false
	for {
		fault, change := s.Faults.state(zone)
		switch {
		case fault.Down:
			panic(http.ErrAbortHandler)
		case fault.Paused:
			s.Faults.hold(1)
			select {
			case <-change:
				s.Faults.hold(-1)
			case <-s.done:
				panic(http.ErrAbortHandler)
			}
		case fault.Slow > 0 && !slept:
			slept = true
			select {
			case <-s.clock.After(fault.Slow):
			case <-s.done:
				panic(http.ErrAbortHandler)
			}
		default:
			return
		}
	}
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Faults.All())
}

// putFaults replaces the faults of the zones that the body names.
func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	faults := make(map[string]Fault)
	if !readJSON(w, r, &faults) {
		return
	}
	for zone, fault := range faults {
		s.Faults.Set(zone, fault)
	}
	writeJSON(w, http.StatusOK, s.Faults.All())
}
