// Package forward speaks with a cell's workers for its owner: itself while the cell
// is small, by way of other entry VMs once it is large. What they carry are whole
// orders, each with the owner's fencing token, so they need no right of their own
// and keep nothing.
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
	// avoidFor is how long an entry VM that did not answer is passed over. Cuts
	// and restarts last some seconds; each try costs orders of a plan their time.
	avoidFor = 3 * time.Second
	// forgetAfter is how long a worker that nobody called is counted. Workers in
	// use are polled each second; lives that ended with a move must not make a
	// small cell look large.
	forgetAfter = 2500 * time.Millisecond
)

// Peer is a live entry VM and where it is reached.
type Peer struct {
	forwarding.Member
	Address string
}

// Peers knows the live entry VMs.
type Peers interface {
	// Live returns them, and a number that changes with them.
	Live() ([]Peer, uint64)
}

// Options are what Workers are made of.
type Options struct {
	Direct engine.Workers
	Link   *ownerlink.Client
	Peers  Peers
	Self   string // own name
	Clock  engine.Clock
	Log    logr.Logger
	// SchedulingDelay is how long what is ready to run waits on this VM; nil: it does not.
	SchedulingDelay func() time.Duration
}

// Workers implements engine.Workers for one cell.
type Workers struct {
	Options

	mu      sync.Mutex
	workers map[work.WorkerID]*route
	swept   time.Duration
	active  bool // calls are forwarded
	peers   map[string]Peer
	members []forwarding.Member
	version uint64
	avoid   map[string]time.Duration // by name, until when
}

// route is how one worker is reached.
type route struct {
	used    time.Duration
	choices []string
	version uint64 // of the peers that the choices are from
	// past is how many choices were passed over as the worker did not answer by
	// them: a path may be cut while another is not.
	past int
}

var _ engine.Workers = (*Workers)(nil)

// New returns the workers of a cell.
func New(o Options) *Workers {
	return &Workers{Options: o, workers: make(map[work.WorkerID]*route), avoid: make(map[string]time.Duration)}
}

// via returns the entry VM to call the worker by; false for none.
func (w *Workers) via(to *engine.WorkerInfo) (Peer, bool) {
	now := w.Clock.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.routeLocked(to.ID, now)
	if !w.active {
		return Peer{}, false
	}
	w.refreshLocked()
	if r.choices == nil || r.version != w.version {
		r.choices, r.version = forwarding.Candidates(string(to.ID), to.Zone, w.Self, w.members), w.version
	}
	for i, name := range r.choices {
		if i >= r.past && now >= w.avoid[name] {
			return w.peers[name], true
		}
	}
	return Peer{}, false
}

// routeLocked returns the worker's route and decides anew whether the cell is large.
func (w *Workers) routeLocked(id work.WorkerID, now time.Duration) *route {
	r := w.workers[id]
	if r == nil {
		r = &route{}
		w.workers[id] = r
	}
	r.used = now
	if now >= w.swept+forgetAfter {
		w.swept = now
		for other, o := range w.workers {
			if now > o.used+forgetAfter {
				delete(w.workers, other)
			}
		}
	}
	if want := forwarding.ShouldForward(len(w.workers), w.active); want != w.active {
		w.active = want
		w.Log.Info("calls to workers are forwarded", "on", want, "workers", len(w.workers))
	}
	return r
}

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

// came takes over how far a forwarded call came.
func (w *Workers) came(to work.WorkerID, p Peer, reached ownerlink.ForwardResult, out engine.Outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if reached == ownerlink.ForwardUnanswered && w.SchedulingDelay != nil && overload.AnswerMayBeUnread(w.SchedulingDelay()) {
		return // its answer may lie here unread
	}
	if reached != ownerlink.ForwardAnswered {
		if _, known := w.avoid[p.Name]; !known || w.avoid[p.Name] <= w.Clock.Now() {
			w.Log.Info("entry VM does not forward", "entry", p.Name, "sent", reached == ownerlink.ForwardUnanswered)
		}
		w.avoid[p.Name] = w.Clock.Now() + avoidFor
		return
	}
	if r := w.workers[to]; r != nil && (out == engine.OutcomeUnknown || out == engine.OutcomeNotSent) {
		r.past++
	}
}

// directly notes a call that the owner made itself: where the worker does not
// answer that either, the other paths are tried again.
func (w *Workers) directly(to work.WorkerID, out engine.Outcome) {
	if out != engine.OutcomeUnknown && out != engine.OutcomeNotSent {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if r := w.workers[to]; r != nil {
		r.past = 0
	}
}

// call makes a call by way of another entry VM, or itself where there is none or
// where it is certain that nothing was sent. Both ways keep what they return for the
// caller themselves.
func (w *Workers) call(ctx context.Context, to *engine.WorkerInfo, forwarded func(f ownerlink.ForwardingClient) (engine.Outcome, ownerlink.ForwardResult), direct func() engine.Outcome) {
	if p, ok := w.via(to); ok {
		out, reached := forwarded(ownerlink.ForwardingClient{Link: w.Link, Address: p.Address})
		if errors.Is(ctx.Err(), context.Canceled) {
			return // the term is over; what the call came to says nothing of its path
		}
		w.came(to.ID, p, reached, out)
		if reached != ownerlink.ForwardNotSent {
			return
		}
	}
	w.directly(to.ID, direct())
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
