// Package faketarget provides a fake target for tests: a plain HTTP server with
// a number of slots that can be drained and rebooted and injects faults. It
// counts what happened to each request, so that tests check guarantees against
// what the target observed and not against what the code under test reports.
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

// Options configures a Target.
type Options struct {
	ID    string
	Slots int // maximum number of concurrent requests, more are refused; 0 for 8
	// ServiceTime returns how long a request takes; nil for no time.
	ServiceTime func(r *http.Request) time.Duration
	// IgnoreSlots accepts requests beyond Slots, so that a test can detect that
	// too many were sent.
	IgnoreSlots bool
	// Address to listen on; empty for a free port on loopback.
	Address string
}

// Counts are a Target's counters. Started = Finished + Interrupted + Abandoned + Running.
type Counts struct {
	Started     int
	Finished    int // handled as configured, faulty responses included
	Interrupted int // in flight when the target was rebooted
	Abandoned   int // the client closed its connection first
	Refused     int // refused before they started
	Running     int
	Peak        int            // maximum of Running so far
	Runs        map[string]int // started requests per Idempotency-Key
	LastStart   time.Time      // when the latest request started
}

// Target is a fake target. It is safe for concurrent use.
type Target struct {
	opts Options

	mu      sync.Mutex
	counts  Counts
	leaving bool
	// reportsLeaving makes only the health response report leaving; requests are
	// still accepted.
	reportsLeaving bool
	fault          Fault
	faultsLeft     int // requests that the fault still applies to, negative for all
	slowFactor     float64
	server         *http.Server
	address        string
	cancelBoot     context.CancelCauseFunc
	bootCtx        context.Context
}

// Start returns a Target that is listening.
func Start(o Options) (*Target, error) {
	if o.Slots <= 0 {
		o.Slots = 8
	}
	if o.Address == "" {
		o.Address = loopback.Reserve()
	}
	t := &Target{opts: o, slowFactor: 1}
	t.counts.Runs = make(map[string]int)
	if err := t.Boot(); err != nil {
		return nil, trace.Wrap(err)
	}
	return t, nil
}

// Address returns the target's host:port. A reboot does not change it.
func (t *Target) Address() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.address
}

// errRebooted is the cancellation cause of requests that Down interrupted.
var errRebooted = errors.New("target rebooted")

// Boot starts a target that is down, and does nothing if it is up. A target that
// was drained before accepts requests again.
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
	t.leaving, t.reportsLeaving = false, false
	t.bootCtx, t.cancelBoot = context.WithCancelCause(context.Background())
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve), ReadHeaderTimeout: time.Minute}
	srv := t.server
	go func() { _ = srv.Serve(l) }() // returns when Down closes it
	return nil
}

// Down stops the target immediately. Requests in flight are interrupted, and
// counted as such.
func (t *Target) Down() {
	t.mu.Lock()
	srv, cancel := t.server, t.cancelBoot
	t.server = nil
	t.mu.Unlock()
	if srv == nil {
		return
	}
	cancel(errRebooted)
	_ = srv.Close() // a listener that fails to close cannot be helped
}

// Reboot calls Down and then Boot.
func (t *Target) Reboot() error {
	t.Down()
	return trace.Wrap(t.Boot())
}

// Drain makes the target report leaving in its health response and refuse new
// requests. Requests in flight finish.
func (t *Target) Drain() { t.setLeaving(true) }

// ReportLeaving makes the target report leaving in its health response, while it
// still accepts requests.
func (t *Target) ReportLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.reportsLeaving = true
}

// Undrain reverts Drain and ReportLeaving.
func (t *Target) Undrain() { t.setLeaving(false) }

func (t *Target) setLeaving(leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = leaving
	t.reportsLeaving = t.reportsLeaving && leaving
}

// SetSlow makes requests that start from now on take factor times their service
// time.
func (t *Target) SetSlow(factor float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.slowFactor = factor
}

// SetFault applies the fault to the next n requests, to all if n < 0.
func (t *Target) SetFault(f Fault, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault, t.faultsLeft = f, n
}

// Counts returns a copy of the counters.
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

// InFlight returns the number of requests that are running, as a runner would
// report it.
func (t *Target) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counts.Running
}

// HealthPath is the path of a target's health check.
const HealthPath = "/healthz"

// serve handles the health check and all other requests.
func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == HealthPath {
		t.serveHealth(w)
		return
	}
	f, ok := t.start(r)
	if !ok {
		if f == RefuseAfterBody {
			_, _ = io.Copy(io.Discard, r.Body) // refused whether or not the body can be read
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
	resp := newResponse(t.opts.ID, r)
	end := t.work(r, f)
	if end == completed {
		end = f.respond(w, r, resp)
	}
	t.finish(end)
	if end != completed {
		panic(http.ErrAbortHandler)
	}
}

func (t *Target) serveHealth(w http.ResponseWriter) {
	t.mu.Lock()
	leaving := t.leaving || t.reportsLeaving
	t.mu.Unlock()
	if leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("leaving"))
		return
	}
	_, _ = w.Write([]byte("ok"))
}

// start counts the request as started or refused. It returns the request's fault,
// and false if the request is refused.
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

// nextFault returns the fault of the next request and counts it down. The caller
// holds mu.
func (t *Target) nextFault() Fault {
	if t.faultsLeft == 0 {
		return None
	}
	if t.faultsLeft > 0 {
		t.faultsLeft--
	}
	return t.fault
}

// ending is how a request ended at the target.
type ending int8

const (
	completed ending = iota
	interrupted
	abandoned
)

// work waits for the request's service time, or until the target goes down or the
// client disconnects.
func (t *Target) work(r *http.Request, f Fault) ending {
	d := time.Duration(0)
	if t.opts.ServiceTime != nil {
		d = t.opts.ServiceTime(r)
	}
	t.mu.Lock()
	d = time.Duration(float64(d) * t.slowFactor)
	booted := t.bootCtx
	t.mu.Unlock()
	if f == Late {
		d += lateDelay
	}
	if d <= 0 {
		return completed
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return completed
	case <-booted.Done():
		return interrupted
	case <-r.Context().Done():
		if booted.Err() != nil {
			return interrupted
		}
		return abandoned
	}
}

// finish counts a started request by how it ended.
func (t *Target) finish(h ending) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.Running--
	switch h {
	case completed:
		t.counts.Finished++
	case interrupted:
		t.counts.Interrupted++
	default:
		t.counts.Abandoned++
	}
}
