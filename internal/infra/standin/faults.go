package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra/etcdjson"
	"github.com/pumicestage/pumicestage/internal/infra/httpcall"
)

// PathFaults is the HTTP path on which the injected faults are read (GET) and
// set (PUT).
const PathFaults = "/faults"

// AnyZone selects all clients: those of every zone and those that send no zone
// header.
const AnyZone = ""

// Fault describes the faults injected for the clients of one zone.
type Fault struct {
	// Down aborts every call without a reply. Clients that dial through the
	// Network are refused the connection instead, before they send anything.
	Down bool `json:"down,omitempty"`
	// Paused holds every call and executes it when the pause ends, even if its
	// client has given up.
	Paused bool `json:"paused,omitempty"`
	// Slow delays every call before it executes, on the stand-in's clock.
	Slow time.Duration `json:"slow,omitempty"`
	// LoseReplies is how many further writes take effect but get no reply.
	LoseReplies int `json:"lose_replies,omitempty"`
	// LoseRequests is how many further writes are lost: no effect, no reply.
	LoseRequests int `json:"lose_requests,omitempty"`
	// Garble is how many further calls, other than watches, take effect but get
	// a truncated reply.
	Garble int `json:"garble,omitempty"`
	// StaleList freezes the list of machines at its current state.
	StaleList bool `json:"stale_list,omitempty"`
}

// Faults holds the injected faults by the zone of the client.
type Faults struct {
	network *Network

	mu     sync.Mutex
	held   int // calls waiting for the end of a pause
	byZone map[string]*Fault
	change chan struct{} // closed and replaced at each change
}

func newFaults() *Faults {
	return &Faults{byZone: make(map[string]*Fault), change: make(chan struct{})}
}

// Set replaces the faults of the clients of zone. With AnyZone it replaces those
// that apply to all clients in addition to their zone's.
func (f *Faults) Set(zone string, fault Fault) {
	f.mu.Lock()
	f.byZone[zone] = &fault
	close(f.change)
	f.change = make(chan struct{})
	f.mu.Unlock()
	f.applyDown(zone, fault.Down)
}

// applyDown makes the Network refuse connections from zone to the platform, or
// allows them again. AnyZone stands for all zones.
func (f *Faults) applyDown(zone string, down bool) {
	switch {
	case zone == AnyZone:
		f.network.Isolate(PlatformZone, down)
	case down:
		f.network.Cut(zone, PlatformZone)
	default:
		f.network.Heal(zone, PlatformZone)
	}
}

// Held returns the number of calls waiting for the end of a pause.
func (f *Faults) Held() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held
}

func (f *Faults) addHeld(delta int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held += delta
}

// Clear removes all faults.
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

// state returns the faults that apply to zone now, except for the counted ones,
// and a channel that is closed when any fault changes.
func (f *Faults) state(zone string) (Fault, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var sum Fault
	for _, fault := range f.matchingLocked(zone) {
		sum.Down = sum.Down || fault.Down
		sum.Paused = sum.Paused || fault.Paused
		sum.Slow += fault.Slow
		sum.StaleList = sum.StaleList || fault.StaleList
	}
	return sum, f.change
}

// outcome tells how a counted fault alters one call.
type outcome int8

const (
	outcomeNormal outcome = iota
	outcomeLoseRequest
	outcomeLoseReply
	outcomeTruncateReply
)

// takeOutcome decides the outcome of a call of the given kind. It uses up one of
// the counted faults of zone if one applies.
func (f *Faults) takeOutcome(zone string, kind Kind) outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, fault := range f.matchingLocked(zone) {
		switch {
		case kind.writes() && fault.LoseRequests > 0:
			fault.LoseRequests--
			return outcomeLoseRequest
		case kind.writes() && fault.LoseReplies > 0:
			fault.LoseReplies--
			return outcomeLoseReply
		case kind != KindWatch && fault.Garble > 0:
			fault.Garble--
			return outcomeTruncateReply
		}
	}
	return outcomeNormal
}

// matchingLocked returns the faults that apply to clients of zone: its own and
// those of AnyZone.
func (f *Faults) matchingLocked(zone string) []*Fault {
	var found []*Fault
	if fault, ok := f.byZone[zone]; ok {
		found = append(found, fault)
	}
	if fault, ok := f.byZone[AnyZone]; ok && zone != AnyZone {
		found = append(found, fault)
	}
	return found
}

// withFaults wraps the handler of one kind of call with rate limits and fault
// injection.
func (s *Server) withFaults(kind Kind, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		zone := r.Header.Get(httpcall.ZoneHeader)
		body := readBody(w, r)
		s.waitWhileFaulty(zone)
		if !s.Counts.allow(kind) {
			writeError(w, http.StatusTooManyRequests, etcdjson.CodeResourceExhausted, "etcdserver: too many requests")
			return
		}
		outcome := s.Faults.takeOutcome(zone, kind)
		if outcome == outcomeLoseRequest {
			panic(http.ErrAbortHandler) // closes the connection without a reply
		}
		out := newResponseWriter(w, outcome)
		h(out, r)
		if kind != KindWatch { // a watch counts its bytes as it sends them
			s.Counts.addBytes(int64(body), out.size)
		}
		out.finish()
	}
}

// waitWhileFaulty delays a call while its zone is paused or slow, and aborts it if
// the zone is down or the server closes. It ignores whether the client is still
// connected: a slow or paused service also executes the requests it has read if
// their clients have given up.
func (s *Server) waitWhileFaulty(zone string) {
	slept := false
	for {
		fault, change := s.Faults.state(zone)
		switch {
		case fault.Down:
			panic(http.ErrAbortHandler)
		case fault.Paused:
			s.Faults.addHeld(1)
			select {
			case <-change:
				s.Faults.addHeld(-1)
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

// putFaults replaces the faults of the zones in the body and leaves other zones
// unchanged.
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
