// Package faketarget is a stand-in for a target: a plain HTTP server that
// works on requests in slots, can be drained and rebooted, misbehaves on
// order, and counts what happened to each request by itself, so that promises
// are checked by what the target saw and not by the code under test.
package faketarget

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/loopback"
)

// Options configure a Target.
type Options struct {
	ID    string
	Slots int // requests worked on at once; more are refused; 0 for 8
	// ServiceTime returns how long a request takes; nil for no time at all.
	ServiceTime func(r *http.Request) time.Duration
	// IgnoreSlots takes requests beyond its slots as well, to see an overrun.
	IgnoreSlots bool
	// Address to listen at; empty for a free port on loopback.
	Address string
}

// Counts is what a Target saw. Started = Finished + Cut + Abandoned + running.
type Counts struct {
	Started   int
	Finished  int // answered as ordered
	Cut       int // in flight when the target was rebooted
	Abandoned int // the other side closed its connection first
	Refused   int // refused before start
	Running   int
	Peak      int            // most running at once
	Runs      map[string]int // started requests per Idempotency-Key
	LastStart time.Time      // of the latest request started
}

// Target is one fake target.
type Target struct {
	opts Options

	mu      sync.Mutex
	counts  Counts
	leaving bool
	// saysLeaving is told by the health answer alone.
	saysLeaving bool
	fault       Fault
	faults      int // requests the fault still applies to, -1 for all
	slow        float64
	server      *http.Server
	address     string
	boot        context.CancelCauseFunc
	booted      context.Context
}

// Start starts a Target.
func Start(o Options) (*Target, error) {
	if o.Slots <= 0 {
		o.Slots = 8
	}
	if o.Address == "" {
		o.Address = loopback.Reserve()
	}
	t := &Target{opts: o, slow: 1}
	t.counts.Runs = make(map[string]int)
	if err := t.Boot(); err != nil {
		return nil, trace.Wrap(err)
	}
	return t, nil
}

// Address returns its host:port, the same after a reboot.
func (t *Target) Address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.address
}

// errRebooted is the cause of requests that a reboot cut.
var errRebooted = errors.New("target rebooted")

// Boot starts a target that is down. It takes work, leaving or not before.
func (t *Target) Boot() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.server != nil {
		return nil
	}
	address := t.address
	if address == "" {
		address = t.opts.Address
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return trace.Wrap(err)
	}
	t.address = l.Addr().String()
	t.leaving, t.saysLeaving = false, false
	t.booted, t.boot = context.WithCancelCause(context.Background())
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve), ReadHeaderTimeout: time.Minute}
	srv := t.server
	go func() { _ = srv.Serve(l) }() // returns when Down closes it
	return nil
}

// Down stops the target at once. Requests in flight are cut, and counted so.
func (t *Target) Down() {
	t.mu.Lock()
	srv, cancel := t.server, t.boot
	t.server = nil
	t.mu.Unlock()
	if srv == nil {
		return
	}
	cancel(errRebooted)
	_ = srv.Close() // nothing to do about a listener that does not close
}

// Reboot is Down and Boot.
func (t *Target) Reboot() error {
	t.Down()
	return trace.Wrap(t.Boot())
}

// Drain makes the target leave: its health answer says so and it refuses
// requests. Those in flight finish.
func (t *Target) Drain() { t.setLeaving(true) }

// SayLeaving makes the health answer say that it leaves, while requests are
// still taken.
func (t *Target) SayLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.saysLeaving = true
}

// Undrain takes Drain back.
func (t *Target) Undrain() { t.setLeaving(false) }

func (t *Target) setLeaving(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = leaving
	t.saysLeaving = t.saysLeaving && leaving
}

// SetSlow makes requests take factor times their service time.
func (t *Target) SetSlow(factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slow = factor
}

// SetFault makes the next n requests meet the fault; n < 0 for all.
func (t *Target) SetFault(f Fault, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault, t.faults = f, n
}

// Counts returns a copy of what the target saw so far.
func (t *Target) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counts
	c.Runs = make(map[string]int, len(t.counts.Runs))
	for key, n := range t.counts.Runs {
		c.Runs[key] = n
	}
	return c
}

// InFlight returns the requests it is working on, as a runner reports them.
func (t *Target) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts.Running
}

// HealthPath is where a target tells its health.
const HealthPath = "/healthz"

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == HealthPath {
		t.serveHealth(w)
		return
	}
	f, ok := t.start(r)
	if !ok {
		if f == RefuseAfterBody {
			_, _ = io.Copy(io.Discard, r.Body) // refused whatever it is
		}
		w.Header().Set("Pumicestage-Outcome", "not-run")
		w.Header().Set("Retry-After", "1")
		http.Error(w, "refused before start", http.StatusServiceUnavailable)
		return
	}
	if f == Echo {
		t.finish(echo(w, r))
		return
	}
	a := newAnswer(t.opts.ID, r)
	how := t.work(r, f)
	if how == done {
		how = f.answer(w, r, a)
	}
	t.finish(how)
	if how != done {
		panic(http.ErrAbortHandler)
	}
}

func (t *Target) serveHealth(w http.ResponseWriter) {
	t.mu.Lock()
	leaving := t.leaving || t.saysLeaving
	t.mu.Unlock()
	if leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("leaving"))
		return
	}
	_, _ = w.Write([]byte("ok"))
}

// start counts the request in, or refuses it.
func (t *Target) start(r *http.Request) (Fault, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	full := t.counts.Running >= t.opts.Slots && !t.opts.IgnoreSlots
	f := t.nextFault()
	if t.leaving || full || f == Refuse || f == RefuseAfterBody {
		t.counts.Refused++
		return f, false
	}
	t.counts.Started++
	t.counts.Running++
	t.counts.Peak = max(t.counts.Peak, t.counts.Running)
	t.counts.LastStart = time.Now()
	if key := strings.Trim(r.Header.Get("Idempotency-Key"), `"`); key != "" {
		t.counts.Runs[key]++
	}
	return f, true
}

func (t *Target) nextFault() Fault {
	if t.faults == 0 {
		return None
	}
	if t.faults > 0 {
		t.faults--
	}
	return t.fault
}

// how a request ended at the target.
type how int8

const (
	done how = iota
	cut
	abandoned
)

// work takes the service time.
func (t *Target) work(r *http.Request, f Fault) how {
	d := time.Duration(0)
	if t.opts.ServiceTime != nil {
		d = t.opts.ServiceTime(r)
	}
	t.mu.Lock()
	d = time.Duration(float64(d) * t.slow)
	booted := t.booted
	t.mu.Unlock()
	if f == Late {
		d += lateBy
	}
	if d <= 0 {
		return done
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return done
	case <-booted.Done():
		return cut
	case <-r.Context().Done():
		if booted.Err() != nil {
			return cut
		}
		return abandoned
	}
}

func (t *Target) finish(h how) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Running--
	switch h {
	case done:
		t.counts.Finished++
	case cut:
		t.counts.Cut++
	default:
		t.counts.Abandoned++
	}
}
