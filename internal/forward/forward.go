// Package forward calls a cell's workers for its owner: directly while the cell is small, and
// through other entry VMs (forwarders) once it is large. Each forwarded call is complete and
// carries the owner's fencing token, so a forwarder needs no authority of its own and keeps no
// state.
package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/ownerlink"
	"github.com/pumicestage/pumicestage/policy/forwarding"
	"github.com/pumicestage/pumicestage/policy/overload"
	"github.com/pumicestage/pumicestage/policy/work"
)

const (
	// avoidDuration is how long a forwarder that did not answer is not used. Network
	// partitions and restarts last some seconds, and each attempt delays scheduled calls.
	avoidDuration = 3 * time.Second
	// idleTimeout is how long a worker is counted after the last call to it. Workers in
	// use are polled each second; incarnations that ended when their VM was moved must
	// not make a small cell count as large.
	idleTimeout = 2500 * time.Millisecond
)

// Peer is a live entry VM and its address.
type Peer struct {
	forwarding.Member
	Address string
}

// Peers lists the live entry VMs.
type Peers interface {
	// Live returns the live entry VMs and a version that changes whenever the list does.
	Live() ([]Peer, uint64)
}

// Options are the dependencies of Workers.
type Options struct {
	Direct engine.Workers
	Link   *ownerlink.Client
	Peers  Peers
	Self   string // the name of this entry VM
	Clock  engine.Clock
	Log    logr.Logger
	// SchedulingDelay returns how long goroutines that are ready to run wait for a
	// processor on this VM; nil stands for no delay.
	SchedulingDelay func() time.Duration
}

// Workers implements engine.Workers for one cell. It is safe for concurrent use.
type Workers struct {
	Options

	mu           sync.Mutex
	workers      map[work.WorkerID]*route
	lastSweep    time.Duration
	forwardingOn bool // calls are forwarded
	peers        map[string]Peer
	members      []forwarding.Member
	version      uint64
	avoidUntil   map[string]time.Duration // by name of the entry VM
}

// route holds the forwarders of one worker.
type route struct {
	lastUsed   time.Duration
	candidates []string
	version    uint64 // version of the list of peers that the candidates are from
	// skipped is how many candidates, from the first on, are not used because the worker
	// did not answer through them: a partition may affect one path and not another.
	skipped int
}

var _ engine.Workers = (*Workers)(nil)

// New returns the workers of a cell.
func New(o Options) *Workers {
	return &Workers{Options: o, workers: make(map[work.WorkerID]*route), avoidUntil: make(map[string]time.Duration)}
}

// forwarderFor returns the forwarder to call the worker through, or false if the owner is to
// call it directly.
func (w *Workers) forwarderFor(to *engine.WorkerInfo) (Peer, bool) {
	now := w.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.routeLocked(to.ID, now)
	if !w.forwardingOn {
		return Peer{}, false
	}
	w.refreshLocked()
	if r.candidates == nil || r.version != w.version {
		r.candidates, r.version = forwarding.Candidates(string(to.ID), to.Zone, w.Self, w.members), w.version
	}
	for i, name := range r.candidates {
		if i >= r.skipped && now >= w.avoidUntil[name] {
			return w.peers[name], true
		}
	}
	return Peer{}, false
}

// routeLocked returns the worker's route and updates the decision whether calls are forwarded.
func (w *Workers) routeLocked(id work.WorkerID, now time.Duration) *route {
	r := w.workers[id]
	if r == nil {
		r = &route{}
		w.workers[id] = r
	}
	r.lastUsed = now
	if now >= w.lastSweep+idleTimeout {
		w.lastSweep = now
		for other, o := range w.workers {
			if now > o.lastUsed+idleTimeout {
				delete(w.workers, other)
			}
		}
	}
	if want := forwarding.ShouldForward(len(w.workers), w.forwardingOn); want != w.forwardingOn {
		w.forwardingOn = want
		w.Log.Info("forwarding of calls to workers switched", "on", want, "workers", len(w.workers))
	}
	return r
}

// refreshLocked updates the list of entry VMs if it has changed.
func (w *Workers) refreshLocked() {
	live, version := w.Peers.Live()
	if version == w.version && w.peers != nil {
		return
	}
	w.version = version
	w.members = w.members[:0]
	w.peers = make(map[string]Peer, len(live))
	for _, p := range live {
		w.members = append(w.members, p.Member)
		w.peers[p.Name] = p
	}
}

// recordForwarded records the result of a forwarded call. A forwarder that did not answer is
// avoided for a while. If it answered that the worker could not be reached, the next call to
// this worker uses the next candidate.
func (w *Workers) recordForwarded(to work.WorkerID, p Peer, result ownerlink.ForwardResult, out engine.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if result == ownerlink.ForwardUnanswered && w.SchedulingDelay != nil && overload.AnswerMayBeUnread(w.SchedulingDelay()) {
		return // the answer may have arrived without being read yet
	}
	if result != ownerlink.ForwardAnswered {
		if _, known := w.avoidUntil[p.Name]; !known || w.avoidUntil[p.Name] <= w.Clock.Now() {
			w.Log.Info("forwarding through an entry VM failed, avoiding it", "entry", p.Name, "sent", result == ownerlink.ForwardUnanswered)
		}
		w.avoidUntil[p.Name] = w.Clock.Now() + avoidDuration
		return
	}
	if r := w.workers[to]; r != nil && (out == engine.OutcomeUnknown || out == engine.OutcomeNotSent) {
		r.skipped++
	}
}

// recordDirect records the outcome of a direct call. If the worker did not answer that either,
// all forwarders are tried again.
func (w *Workers) recordDirect(to work.WorkerID, out engine.Outcome) {
	if out != engine.OutcomeUnknown && out != engine.OutcomeNotSent {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.workers[to]; r != nil {
		r.skipped = 0
	}
}

// call makes a call through a forwarder, or directly if there is none or if the call certainly
// did not leave. The functions forwarded and direct store further results themselves.
func (w *Workers) call(ctx context.Context, to *engine.WorkerInfo, forwarded func(f ownerlink.ForwardingClient) (engine.Outcome, ownerlink.ForwardResult), direct func() engine.Outcome) {
	if p, ok := w.forwarderFor(to); ok {
		out, result := forwarded(ownerlink.ForwardingClient{Link: w.Link, Address: p.Address})
		if errors.Is(ctx.Err(), context.Canceled) {
			return // the owner's term has ended; the outcome says nothing about the forwarder
		}
		w.recordForwarded(to.ID, p, result, out)
		if result != ownerlink.ForwardNotSent {
			return
		}
	}
	w.recordDirect(to.ID, direct())
}

// Start implements engine.Workers.
func (w *Workers) Start(ctx context.Context, to *engine.WorkerInfo, s engine.Start) (out engine.Outcome, clock time.Duration) {
	w.call(ctx, to, func(f ownerlink.ForwardingClient) (o engine.Outcome, reached ownerlink.ForwardResult) {
		out, clock, reached = f.Start(ctx, to, s)
		return out, reached
	}, func() engine.Outcome {
		out, clock = w.Direct.Start(ctx, to, s)
		return out
	})
	return out, clock
}

// Stop implements engine.Workers.
func (w *Workers) Stop(ctx context.Context, to *engine.WorkerInfo, task work.TaskRef, run int, token int64) (out engine.Outcome) {
	w.call(ctx, to, func(f ownerlink.ForwardingClient) (o engine.Outcome, reached ownerlink.ForwardResult) {
		out, reached = f.Stop(ctx, to, task, run, token)
		return out, reached
	}, func() engine.Outcome {
		out = w.Direct.Stop(ctx, to, task, run, token)
		return out
	})
	return out
}

// Hold implements engine.Workers.
func (w *Workers) Hold(ctx context.Context, to *engine.WorkerInfo, h engine.Hold) (l engine.Listing, out engine.Outcome) {
	w.call(ctx, to, func(f ownerlink.ForwardingClient) (o engine.Outcome, reached ownerlink.ForwardResult) {
		l, out, reached = f.Hold(ctx, to, h)
		return out, reached
	}, func() engine.Outcome {
		l, out = w.Direct.Hold(ctx, to, h)
		return out
	})
	return l, out
}

// Pace implements engine.Workers.
func (w *Workers) Pace(ctx context.Context, to *engine.WorkerInfo, task work.TaskRef, run, percent int, token int64) (out engine.Outcome) {
	w.call(ctx, to, func(f ownerlink.ForwardingClient) (o engine.Outcome, reached ownerlink.ForwardResult) {
		out, reached = f.Pace(ctx, to, task, run, percent, token)
		return out, reached
	}, func() engine.Outcome {
		out = w.Direct.Pace(ctx, to, task, run, percent, token)
		return out
	})
	return out
}
