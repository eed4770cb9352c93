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
	"github.com/pumicestage/pumicestage/internal/guard"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/jobfront"
	"github.com/pumicestage/pumicestage/internal/ownerlink"
	"github.com/pumicestage/pumicestage/internal/ownership"
	"github.com/pumicestage/pumicestage/platform"
	"github.com/pumicestage/pumicestage/policy/cutoff"
)

const (
	// platformTimeout ends a call to the platform that is not answered. Code that calls
	// the store sets shorter timeouts of its own.
	platformTimeout = 1500 * time.Millisecond
	// memoryShare is the share of the VM's memory that is set as the garbage collector's
	// soft limit; the rest is for stacks, kernel buffers and bursts.
	memoryShare = 0.75
)

// Node is the process of one entry VM: it serves callers, and runs the engines of the cells
// that it owns.
type Node struct {
	settings *Settings
	log      logr.Logger
	logs     *logWriter
	clock    bootClock

	store     *platform.Store
	reach     *reachability
	leases    *leaseEnder
	operator  *operatorState
	registry  *registry
	directory *ownership.Directory
	members   *entryVMs
	delay     *delayMeter
	link      *ownerlink.Client
	workers   *platform.Workers
	front     *jobfront.Front
	cutOff    *jobfront.CutOff // nil: requests are not ended when this entry VM is cut off
	metrics   *metrics
	duties    *duties
	// advisorCalls holds an element while a call to the advisor is under way.
	advisorCalls chan struct{}
	self         ownership.Record
	budget       *guard.Budget // of what callers make the process hold

	callers net.Listener
	ready   net.Listener
	peers   net.Listener
	meters  net.Listener // nil: none

	shuttingDown atomic.Bool
}

// New opens the listeners and creates the components; Run starts them. Log lines are written
// to out as JSON. The error tells which address could not be opened.
func New(s *Settings, out io.Writer) (*Node, error) {
	logs := newLogWriter(out)
	handler := newRateLimitedHandler(slog.NewJSONHandler(logs, &slog.HandlerOptions{Level: decisionLevel}))
	log := logr.FromSlogHandler(handler).WithValues("entry", s.Name)
	s.CallerLimits = s.CallerLimits.withDefaults()
	n := &Node{settings: s, log: log, logs: logs}
	limitMemory(s.MemoryMB)
	n.budget = guard.NewBudget(s.callersMemory(), guard.DefaultShares)
	peers := net.JoinHostPort(s.Address, strconv.Itoa(s.Peers[0]))
	if err := n.listen(peers); err != nil {
		n.closeListeners()
		return nil, trace.Wrap(err)
	}
	n.wire(peers)
	return n, nil
}

func (n *Node) listen(peers string) error {
	small := net.ListenConfig{Control: guard.LimitReceiveBuffer}
	for _, l := range []struct {
		into    *net.Listener
		address string
		config  net.ListenConfig
	}{{&n.callers, n.settings.Callers, small}, {&n.ready, n.settings.Ready, small}, {&n.peers, peers, net.ListenConfig{}}, {&n.meters, n.settings.Metrics, small}} {
		if l.address == "" {
			continue
		}
		opened, err := listen(l.config, l.address, time.Sleep, n.log)
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
	n.delay = newDelayMeter(n.clock)
	n.metrics = newMetrics(n.delay, n.budget)
	n.advisorCalls = make(chan struct{}, 1)
	n.duties = &duties{node: n, electing: make(map[string]bool), engines: make(map[string]*engine.Engine)}
	n.duties.load.CanTake = func() bool { return !n.shuttingDown.Load() }
	n.operator = newOperatorState(n.store, n.clock, n.log.WithName("operator"), n.duties.ensureElectors)
	n.link = &ownerlink.Client{Log: n.log.WithName("link"), SchedulingDelay: n.delay.MaxDelay, Configs: n.operator}
	n.registry = newRegistry(n.store, n.log.WithName("registry"), n.duties.registryChanged)
	n.members = newEntryVMs(n.store, n.log.WithName("members"))
	n.reach = &reachability{
		zone: n.settings.Zone, store: n.store, ping: n.link.Ping, clock: n.clock, log: n.log.WithName("reach"),
		concurrent: n.settings.RepeatWhenCutOff,
	}
	if n.settings.RepeatWhenCutOff {
		n.cutOff = new(jobfront.CutOff)
	}
	n.leases = &leaseEnder{
		store: n.store, send: n.link.EndLease, log: n.log.WithName("leases"),
		recipients: func() []cutoff.Peer { return cutoff.SelectPeers(n.reach.otherEntryVMs(), n.settings.Zone) },
	}
	n.front = jobfront.New(jobfront.Options{
		Store: n.store, Owners: n.duties.cellOwner, Local: n.duties.owner, Link: n.link,
		Self: n.self.Entry, Clock: n.clock, Log: n.log.WithName("front"),
		CutOff: n.cutOff, Uncertain: n.metrics.uncertain, CutOffRefusals: n.metrics.cutOffRefusals,
	})
}

// Run serves until ctx ends, then shuts down gracefully. It returns an error if a listener
// fails, or if callers' connections did not end within the time allowed.
func (n *Node) Run(ctx context.Context) error {
	defer n.logs.Close()
	n.log.Info("start", "zone", n.settings.Zone, "callers", n.settings.Callers, "store", n.settings.Store)
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	electionCtx, stopElections := context.WithCancel(background)
	defer stopElections()
	n.duties.start(electionCtx)
	var tasks sync.WaitGroup
	tasks.Go(func() { n.operator.run(background) })
	tasks.Go(func() { n.followOwners(background) })
	peers := &ownerlink.Server{Listener: n.peers, Owner: n.duties.owner, Workers: n.workers, Configs: n.operator, Memory: n.budget, Log: n.log.WithName("link")}
	peers.EndLease = func(lease int64) { go n.leases.revoke(background, infra.LeaseID(lease)) }
	tasks.Go(func() { peers.Run(background) })
	tasks.Go(func() { n.publisher().Run(electionCtx) })

	callers := n.callerServer()
	n.reach.onCutOffChange = func(cutOff bool) {
		// Before requests are ended, so that their answers close the connections.
		callers.SetKeepAlivesEnabled(!cutOff && !n.shuttingDown.Load())
		n.cutOff.Set(cutOff, n.clock.Now())
	}
	tasks.Go(func() { n.reach.run(background) })
	ready := &http.Server{Handler: http.HandlerFunc(n.serveReady)}
	failed := make(chan error, 3)
	n.serve(callers, n.guarded(n.callers, callersListener), failed)
	n.serve(ready, n.guarded(n.ready, readyListener), failed)
	if n.meters != nil {
		meters := &http.Server{Handler: n.inspectHandler()}
		defer meters.Close()
		n.serve(meters, n.guarded(n.meters, metricsListener), failed)
	}

	var err error
	select {
	case <-ctx.Done():
		err = n.shutDown(callers, stopElections)
	case err = <-failed:
	}
	stop()
	ready.Close()
	callers.Close()
	n.duties.wg.Wait()
	tasks.Wait()
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
	authenticator := &jobfront.KeyAuthenticator{Configs: n.operator, Log: n.log.WithName("gate"), Refusals: n.metrics.keyRefusals}
	if n.settings.RevokeEverywhere {
		authenticator.MaxConfigAge = n.settings.RevokeWithin
	}
	ingress := &platform.Ingress{
		Jobs: n.front, Authenticator: authenticator, Config: n.operator.current, Wall: n.clock.Wall, Log: n.log.WithName("callers"), Observe: n.metrics.recordRequest,
		Limits: n.settings.CallerLimits.SubmissionLimits,
	}
	return &http.Server{Handler: ingress.Handler()}
}

// serveReady answers the balancer's readiness probe: ready once the configuration is known,
// unless this entry VM is shutting down or cut off from the other zones.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	c, _ := n.operator.current()
	if c == nil || n.shuttingDown.Load() || n.reach.cutOff.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
