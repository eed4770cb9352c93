package node

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/http"
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
	"github.com/pumicestage/pumicestage/policy/cutoff"
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

// Node is one entry VM.
type Node struct {
	settings *Settings
	log      logr.Logger
	logs     *logWriter
	clock    bootClock

	store     *platform.Store
	reach     *reach
	leases    *leases
	operator  *operator
	registry  *registry
	directory *ownership.Directory
	members   *entryVMs
	pressure  *pressure
	link      *ownerlink.Client
	workers   *platform.Workers
	front     *jobfront.Front
	metrics   *metrics
	duties    *duties
	self      ownership.Record

	callers net.Listener
	ready   net.Listener
	peers   net.Listener
	meters  net.Listener // nil: none

	leaving atomic.Bool
}

// New opens the listeners and wires the parts.
func New(s *Settings, out io.Writer) (*Node, error) {
	logs := newLogWriter(out)
	handler := newBoundedHandler(slog.NewJSONHandler(logs, &slog.HandlerOptions{Level: levelDecisions}))
	log := logr.FromSlogHandler(handler).WithValues("entry", s.Name)
	n := &Node{settings: s, log: log, logs: logs}
	limitMemory(s.MemoryMB)
	peers := net.JoinHostPort(s.Address, strconv.Itoa(s.Peers[0]))
	if err := n.listen(peers); err != nil {
		n.closeListeners()
		return nil, trace.Wrap(err)
	}
	n.wire(peers)
	return n, nil
}

func (n *Node) listen(peers string) error {
	for _, l := range []struct {
		into    *net.Listener
		address string
	}{{&n.callers, n.settings.Callers}, {&n.ready, n.settings.Ready}, {&n.peers, peers}, {&n.meters, n.settings.Metrics}} {
		if l.address == "" {
			continue
		}
		opened, err := listen(l.address, time.Sleep, n.log)
		if err != nil {
			return err
		}
		*l.into = opened
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, l := range []net.Listener{n.callers, n.ready, n.peers, n.meters} {
		if l != nil {
			l.Close()
		}
	}
}

func (n *Node) wire(peers string) {
	n.self = ownership.Record{Entry: n.settings.Name, Address: peers}
	n.store = platform.NewStore(n.settings.Store, platformTimeout)
	n.store.Now = n.clock.Now
	n.workers = platform.NewWorkers(n.log.WithName("workers"))
	n.directory = &ownership.Directory{Log: n.log.WithName("owners")}
	n.pressure = newPressure(n.clock)
	n.metrics = newMetrics(n.pressure)
	n.duties = &duties{node: n, running: make(map[string]bool), engines: make(map[string]*engine.Engine)}
	n.duties.load.May = func() bool { return !n.leaving.Load() }
	n.operator = newOperator(n.store, n.clock, n.log.WithName("operator"), n.duties.ensure)
	n.link = &ownerlink.Client{Log: n.log.WithName("link"), SchedulingDelay: n.pressure.Behind, Configs: n.operator}
	n.registry = newRegistry(n.store, n.log.WithName("registry"), n.duties.registryChanged)
	n.members = newEntryVMs(n.store, n.log.WithName("members"))
	n.reach = &reach{
		zone: n.settings.Zone, store: n.store, ping: n.link.Ping, clock: n.clock, log: n.log.WithName("reach"),
	}
	n.leases = &leases{
		store: n.store, give: n.link.EndLease, log: n.log.WithName("leases"),
		others: func() []cutoff.Peer { return cutoff.SelectPeers(n.reach.others(), n.settings.Zone) },
	}
	n.front = jobfront.New(jobfront.Options{
		Store: n.store, Owners: n.duties.cellOwner, Local: n.duties.owner, Link: n.link,
		Self: n.self.Entry, Clock: n.clock, Log: n.log.WithName("front"),
	})
}

// Run serves until ctx ends, then leaves gracefully.
func (n *Node) Run(ctx context.Context) error {
	defer n.logs.Close()
	n.log.Info("start", "zone", n.settings.Zone, "callers", n.settings.Callers, "store", n.settings.Store)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	electing, stopElecting := context.WithCancel(background)
	defer stopElecting()
	n.duties.start(electing)
	var parts sync.WaitGroup
	parts.Go(func() { n.operator.run(background) })
	parts.Go(func() { n.followOwners(background) })
	peers := &ownerlink.Server{Listener: n.peers, Owner: n.duties.owner, Workers: n.workers, Configs: n.operator, Log: n.log.WithName("link")}
	peers.EndLease = func(lease int64) { go n.leases.end(background, infra.LeaseID(lease)) }
	parts.Go(func() { peers.Run(background) })
	parts.Go(func() { n.publisher().Run(electing) })

	callers := n.callerServer()
	n.reach.turned = func(cutOff bool) { callers.SetKeepAlivesEnabled(!cutOff && !n.leaving.Load()) }
	parts.Go(func() { n.reach.run(background) })
	ready := &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 3)
	go func() { failed <- callers.Serve(n.callers) }()
	go func() { failed <- ready.Serve(n.ready) }()

	if n.meters != nil {
		meters := &http.Server{Handler: n.inspectHandler(), ReadHeaderTimeout: headerTimeout}
		defer meters.Close()
		go func() { failed <- meters.Serve(n.meters) }()
	}

	var err error
	select {
	case <-ctx.Done():
		err = n.leave(callers, stopElecting)
	case err = <-failed:
	}
	stop()
	ready.Close()
	callers.Close()
	n.duties.wg.Wait()
	parts.Wait()
	n.log.Info("stop", "reason", stopReason(err))
	return trace.Wrap(err)
}

func stopReason(err error) string {
	if err == nil {
		return "shut down"
	}
	return err.Error()
}

func (n *Node) callerServer() *http.Server {
	gate := &jobfront.Gate{Configs: n.operator, Log: n.log.WithName("gate"), Refused: n.metrics.turnedAway}
	if n.settings.RevokeEverywhere {
		gate.Most = n.settings.RevokeWithin
	}
	ingress := &platform.Ingress{
		Jobs: n.front, Authenticator: gate, Config: n.operator.current, Wall: n.clock.Wall, Log: n.log.WithName("callers"), Observe: n.metrics.request,
	}
	return &http.Server{Handler: ingress.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
}

// serveReady answers the balancer: ready once the configuration is known, unless callers
// are better served elsewhere.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	c, _ := n.operator.current()
	if c == nil || n.leaving.Load() || n.reach.cutOff.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
