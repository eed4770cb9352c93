package node

import (
	"context"
	"expvar"
	"io"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/jobfront"
	"github.com/pumicestage/pumicestage/internal/ownerlink"
	"github.com/pumicestage/pumicestage/internal/ownership"
	"github.com/pumicestage/pumicestage/platform"
)

// Limits of the callers' listener and of calls to the platform.
const (
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	// platformTimeout ends a call to the platform without an answer. Callers
	// of the store set tighter ones of their own.
	platformTimeout = 1500 * time.Millisecond
	// memoryShare is the part of the VM's memory at which the collector works
	// harder; the rest is for stacks, buffers of the kernel and bursts.
	memoryShare = 0.75
)

// Times of a graceful shutdown. The balancer takes two misses of a look a
// second to send new connections elsewhere; until then they must be answered.
const (
	unreadyFor  = 2600 * time.Millisecond
	drainMargin = 700 * time.Millisecond // before the process would be killed
)

// Node is one entry VM.
type Node struct {
	settings *Settings
	log      logr.Logger
	logs     *logWriter
	clock    bootClock

	store    infra.Store
	operator *operator
	registry *registry
	elector  *ownership.Elector
	front    *jobfront.Front
	metrics  *metrics

	callers net.Listener
	ready   net.Listener
	peers   net.Listener

	engine  atomic.Pointer[engine.Engine]
	leaving atomic.Bool
	// electing ends the wish to own; the callers' path goes on.
	electing     context.Context
	stopElecting context.CancelFunc
	elections    sync.WaitGroup
}

// New opens the listeners and wires the parts.
func New(s *Settings, out io.Writer) (*Node, error) {
	logs := newLogWriter(out)
	log := logr.FromSlogHandler(slog.NewJSONHandler(logs, &slog.HandlerOptions{Level: slog.LevelInfo})).WithValues("entry", s.Name)
	n := &Node{settings: s, log: log, logs: logs, metrics: newMetrics()}
	debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryShare * (1 << 20)))
	var err error
	if n.callers, err = net.Listen("tcp", s.Callers); err != nil {
		return nil, trace.Wrap(err)
	}
	if n.ready, err = net.Listen("tcp", s.Ready); err != nil {
		return nil, trace.Wrap(err)
	}
	peers := net.JoinHostPort(s.Address, strconv.Itoa(s.Peers[0]))
	if n.peers, err = net.Listen("tcp", peers); err != nil {
		return nil, trace.Wrap(err)
	}
	n.wire(peers)
	return n, nil
}

func (n *Node) wire(peers string) {
	n.store = platform.NewStore(n.settings.Store, platformTimeout)
	n.operator = newOperator(n.store, n.clock, n.log.WithName("operator"))
	n.registry = &registry{store: n.store, log: n.log.WithName("registry"), changed: n.registryChanged}
	self := ownership.Record{Entry: n.settings.Name, Address: peers}
	n.elector = ownership.New(ownership.Options{
		Store: n.store, Self: self, Clock: n.clock, Log: n.log.WithName("ownership"), Grace: engine.OwnerGrace,
		Own: n.own, Eligible: n.eligible,
	})
	n.front = jobfront.New(jobfront.Options{
		Store: n.store, Owners: n.elector.Owner, Local: n.local, Link: &ownerlink.Client{Log: n.log.WithName("link")},
		Self: self.Entry, Clock: n.clock, Log: n.log.WithName("front"),
	})
}

func (n *Node) registryChanged() {
	if e := n.engine.Load(); e != nil {
		e.RegistryChanged()
	}
}

func (n *Node) eligible() bool {
	c, _ := n.operator.current()
	return c != nil && !n.leaving.Load()
}

func (n *Node) local() jobfront.Owner {
	if e := n.engine.Load(); e != nil {
		return e
	}
	return nil
}

// own runs the engine for one term.
func (n *Node) own(ctx context.Context, t *ownership.Term) {
	term, cancel := context.WithCancel(ctx)
	defer cancel()
	e := engine.New(engine.Options{
		Store:    n.store,
		Workers:  platform.NewWorkers(n.log.WithName("workers")),
		Machines: n.machines(),
		Advisor:  n.advisor(),
		Waves:    n.operator,
		Clock:    n.clock,
		Log:      n.log.WithName("engine"),
		Bounds: engine.Bounds{
			MaxHold: n.settings.MaxLease, StopGrace: n.settings.StopTime,
			Notice: n.settings.Notice, PaceDelay: n.settings.PaceDelay,
		},
		Term:     t,
		Registry: n.registry.list,
		Declared: n.operator.declared,
		Metrics:  n.metrics.engine,
	})
	n.registry.forget()
	var follower sync.WaitGroup
	follower.Go(func() { n.registry.run(term) })
	n.registry.wait(term)
	n.engine.Store(e)
	err := e.Run(term)
	n.engine.Store(nil)
	cancel()
	follower.Wait()
	n.log.Info("engine ended", "token", t.Token(), "error", errText(err))
}

func (n *Node) machines() engine.Machines {
	if n.settings.VMs == "" {
		return nil
	}
	return platform.NewMachines(n.settings.VMs, n.settings.Name, platformTimeout, n.log.WithName("vms"))
}

func (n *Node) advisor() engine.Advisor {
	if n.settings.Advisor == "" {
		return nil
	}
	return platform.NewAdvisor(n.settings.Advisor, platformTimeout)
}

// Run serves until ctx ends, then leaves gracefully.
func (n *Node) Run(ctx context.Context) error {
	defer n.logs.Close()
	n.log.Info("start", "zone", n.settings.Zone, "callers", n.settings.Callers, "store", n.settings.Store)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.electing, n.stopElecting = context.WithCancel(background)
	var parts sync.WaitGroup
	parts.Go(func() { n.operator.run(background) })
	n.elections.Go(func() { n.elector.Run(n.electing) })
	peers := &ownerlink.Server{Listener: n.peers, Owner: n.owner, Log: n.log.WithName("link")}
	parts.Go(func() { peers.Run(background) })

	callers := n.callerServer()
	ready := &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 2)
	go func() { failed <- callers.Serve(n.callers) }()
	go func() { failed <- ready.Serve(n.ready) }()

	var err error
	select {
	case <-ctx.Done():
		err = n.leave(callers)
	case err = <-failed:
	}
	stop()
	ready.Close()
	callers.Close()
	n.elections.Wait()
	parts.Wait()
	n.log.Info("stop", "error", errText(err))
	return trace.Wrap(err)
}

// owner is what peers' calls are answered by.
func (n *Node) owner() ownerlink.Owner {
	if e := n.engine.Load(); e != nil {
		return e
	}
	return nil
}

func (n *Node) callerServer() *http.Server {
	ingress := &platform.Ingress{
		Jobs: n.front, Config: n.operator.current, Wall: n.clock.Wall, Log: n.log.WithName("callers"), Done: n.metrics.request,
	}
	return &http.Server{Handler: ingress.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// serveReady answers the balancer: ready once the configuration is known.
func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/debug/vars" {
		expvar.Handler().ServeHTTP(w, r)
		return
	}
	c, _ := n.operator.current()
	if c == nil || n.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// leave hands ownership over at once and goes on answering until the balancer
// has noticed; connections are closed after their present answer.
func (n *Node) leave(callers *http.Server) error {
	began := n.clock.Now()
	n.leaving.Store(true)
	n.log.Info("leaving", "within", n.settings.Shutdown.String())
	n.stopElecting()
	n.elections.Wait()
	n.log.Info("ownership handed over", "took", (n.clock.Now() - began).String())
	callers.SetKeepAlivesEnabled(false)
	pause(context.Background(), min(unreadyFor, n.settings.Shutdown/2)-(n.clock.Now()-began))
	left := n.settings.Shutdown - drainMargin - (n.clock.Now() - began)
	ctx, cancel := context.WithTimeout(context.Background(), left)
	defer cancel()
	return callers.Shutdown(ctx)
}
