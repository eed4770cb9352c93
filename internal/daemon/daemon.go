// Package daemon puts one entry VM together: three listeners and the parts
// behind them. It wires and orders start and stop; it decides nothing.
package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/claim"
	"github.com/pumicestage/pumicestage/internal/entry"
	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/gateway"
	"github.com/pumicestage/pumicestage/internal/infra/machineapi"
	"github.com/pumicestage/pumicestage/internal/infra/paced"
	"github.com/pumicestage/pumicestage/internal/jobs"
	"github.com/pumicestage/pumicestage/internal/operator/wiring"
	"github.com/pumicestage/pumicestage/internal/peer"
	"github.com/pumicestage/pumicestage/internal/prober"
	"github.com/pumicestage/pumicestage/internal/relay"
	"github.com/pumicestage/pumicestage/internal/settings"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// DialFunc opens a connection; tests put cuts between zones behind it.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options are what a Daemon is made of beside its settings.
type Options struct {
	Settings *settings.Settings
	Log      logr.Logger
	// Dial is the way to peers, targets and the platform; nil for plain TCP.
	Dial DialFunc
	// Store replaces the platform's store; nil for the one in the settings.
	Store infra.Store
	// FleetEvery is the reconciler's period while there is work; 0 for its own.
	FleetEvery time.Duration
}

// Daemon is one entry VM.
type Daemon struct {
	settings *settings.Settings
	log      logr.Logger
	self     view.EntryRecord

	callers   net.Listener
	operators net.Listener
	peers     net.Listener

	view     *view.Holder
	store    infra.Store
	machines infra.Machines
	mesh     *peer.Mesh
	relay    *relay.Relay
	registry *relay.Registry
	claims   *claim.Ledger
	entry    *entry.Server
	fleet    *fleet.Fleet
	prober   *prober.Prober
	jobs     *jobs.Jobs
	port     *wiring.Port

	maintenance     *maintenance
	operatorHandler http.Handler

	ready  atomic.Bool
	killed chan struct{}
	once   sync.Once
}

// New opens the listeners and wires the parts; nothing runs before Run.
func New(o Options) (*Daemon, error) {
	d := &Daemon{settings: o.Settings, log: o.Log, view: view.NewHolder(), killed: make(chan struct{})}
	if err := d.listen(); err != nil {
		d.closeListeners()
		return nil, trace.Wrap(err)
	}
	d.self = view.EntryRecord{
		ID:          o.Settings.ID,
		Zone:        o.Settings.Zone,
		Peer:        advertised(o.Settings.Peers, d.peers),
		Caller:      advertised(o.Settings.Callers, d.callers),
		Operator:    advertised(o.Settings.Operators, d.operators),
		Incarnation: incarnation(),
	}
	if err := d.secureListeners(); err != nil {
		d.closeListeners()
		return nil, trace.Wrap(err)
	}
	d.connectPlatform(o)
	if err := d.wire(o); err != nil {
		d.closeListeners()
		return nil, trace.Wrap(err)
	}
	if err := d.wireOperators(); err != nil {
		d.closeListeners()
		return nil, trace.Wrap(err)
	}
	return d, nil
}

func (d *Daemon) listen() (err error) {
	if d.callers, err = net.Listen("tcp", d.settings.Callers.Listen); err != nil {
		return err
	}
	if d.operators, err = net.Listen("tcp", d.settings.Operators.Listen); err != nil {
		return err
	}
	d.peers, err = net.Listen("tcp", d.settings.Peers.Listen)
	return err
}

func (d *Daemon) secureListeners() (err error) {
	if d.callers, err = secure(d.callers, d.settings.Callers, d.log.WithName("tls")); err != nil {
		return err
	}
	d.operators, err = secure(d.operators, d.settings.Operators, d.log.WithName("tls"))
	return err
}

func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.callers, d.operators, d.peers} {
		if l != nil {
			l.Close()
		}
	}
}

func (d *Daemon) connectPlatform(o Options) {
	client := platformClient(o.Dial)
	d.store = o.Store
	if d.store == nil {
		d.store = gateway.New(gateway.Options{
			Endpoints:  o.Settings.Store,
			Zone:       string(o.Settings.Zone),
			Timeout:    o.Settings.PlatformTimeout,
			HTTPClient: client,
		})
	}
	machines := machineapi.New(machineapi.Options{
		Endpoints:  []string{o.Settings.Machines},
		Zone:       string(o.Settings.Zone),
		Timeout:    o.Settings.PlatformTimeout,
		HTTPClient: client,
	})
	d.machines = paced.New(machines, clockwork.NewRealClock())
}

// wire puts the parts together. They are tied by functions that are called only
// once all of them stand.
func (d *Daemon) wire(o Options) error {
	if err := d.wirePeers(o); err != nil {
		return err
	}
	d.wireRequests(o)
	d.wireFleet(o)
	return nil
}

// wirePeers makes the links to other entry VMs and what keeps the view by them.
func (d *Daemon) wirePeers(o Options) error {
	server, client, err := peerTLS(d.settings.Peers, d.log.WithName("tls"))
	if err != nil {
		return err
	}
	d.mesh = peer.New(peer.Options{
		Self:      d.self,
		Cluster:   d.settings.Cluster,
		Seeds:     d.settings.Seeds,
		View:      d.view,
		Listener:  d.peers,
		Dial:      peerDial(o.Dial),
		TLS:       server,
		ClientTLS: client,
		Fill:      d.fillDigest,
		Watching:  func() bool { return d.relay.Watching() },
		Log:       d.log.WithName("peer"),
	})
	ro := relay.Options{Self: d.self, Store: d.store, View: d.view, Peers: d.mesh, Log: d.log.WithName("relay")}
	d.relay = relay.New(ro)
	d.registry = relay.NewRegistry(ro)
	return nil
}

// wireRequests makes the callers' path.
func (d *Daemon) wireRequests(o Options) {
	d.claims = claim.NewLedger(claim.Options{
		Store:         d.store,
		Self:          d.self,
		Live:          d.liveEntries,
		KnownRevision: func() infra.Revision { return d.view.Load().Revision },
		Clocks:        d.mesh.Clocks,
		Log:           d.log.WithName("claim"),
	})
	d.entry = entry.New(entry.Options{
		View:   d.view,
		Loads:  d.mesh,
		Claims: d.claims,
		Log:    d.log.WithName("entry"),
		Zone:   d.self.Zone,
		Self:   d.self.ID,
		Limits: d.settings.Limits,
		Seed:   d.self.Incarnation,
		Dial:   o.Dial,
	})
}

// wireFleet makes what moves, maintains and uses VMs.
func (d *Daemon) wireFleet(o Options) {
	d.prober = prober.New(prober.Options{Self: d.self.ID, Zone: d.self.Zone, View: d.view, Peers: d.mesh, Dial: o.Dial})
	d.fleet = fleet.New(fleet.Options{
		Store:        d.store,
		Machines:     d.machines,
		View:         d.view,
		Acks:         d.registry,
		Health:       d.prober.Health,
		Log:          d.log.WithName("fleet"),
		Self:         d.self.ID,
		PassInterval: o.FleetEvery,
	})
	d.maintenance = &maintenance{fleet: d.fleet}
	d.jobs = jobs.New(jobs.Options{
		Store:           d.store,
		Machines:        d.machines,
		View:            d.view,
		Self:            d.self.ID,
		MaintenanceSoon: d.soon,
		Log:             d.log.WithName("jobs"),
	})
}

// fillDigest sets what peers are told beside what the mesh knows itself.
func (d *Daemon) fillDigest(dg *peer.Digest) {
	d.entry.FillDigest(dg)
	d.prober.FillDigest(dg)
}

// soon reports whether a VM is about to be maintained.
func (d *Daemon) soon(id model.VMID) bool {
	vm, known := d.view.Load().VMs[id]
	return known && d.maintenance.soon(&vm.VM)
}

func (d *Daemon) liveEntries() []model.EntryID {
	ids := []model.EntryID{d.self.ID}
	for _, p := range d.mesh.Peers() {
		if p.Live {
			ids = append(ids, p.Entry)
		}
	}
	return ids
}

// Self returns this entry VM's record, with the addresses it listens at.
func (d *Daemon) Self() view.EntryRecord { return d.self }

// View returns what this entry VM knows of the fleet.
func (d *Daemon) View() *view.Holder { return d.view }

// Ready reports whether this entry VM takes new requests: it has a
// configuration in force and is not leaving.
func (d *Daemon) Ready() bool {
	return d.ready.Load() && d.view.Load().Generation() > 0
}

// Run serves until ctx ends, then leaves gracefully: not ready, no new
// requests, those in flight finish, and what it holds is handed over.
func (d *Daemon) Run(ctx context.Context) error {
	d.warnExposed()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var parts sync.WaitGroup
	d.startParts(background, &parts)
	callers := d.callerServer()
	operators := &http.Server{Handler: d.operatorHandler, ReadHeaderTimeout: d.settings.Limits.HeaderTimeout}
	failed := make(chan error, 2)
	go func() { failed <- callers.Serve(d.callers) }()
	go func() { failed <- operators.Serve(d.operators) }()
	d.ready.Store(true)
	d.log.Info("serving", "callers", d.self.Caller, "operators", d.self.Operator, "peers", d.self.Peer)

	var err error
	select {
	case <-ctx.Done():
		err = d.leave(callers)
		d.flushTrail()
	case <-d.killed:
	case err = <-failed:
	}
	stop()
	parts.Wait()
	operators.Close()
	callers.Close()
	return trace.Wrap(err)
}

// Kill ends Run at once, with nothing handed over: what an operator gets who
// cannot wait for requests in flight.
func (d *Daemon) Kill() { d.once.Do(func() { close(d.killed) }) }

func (d *Daemon) startParts(ctx context.Context, parts *sync.WaitGroup) {
	parts.Go(func() { d.report("peer", d.mesh.Run(ctx)) })
	parts.Go(func() { d.relay.Run(ctx) })
	parts.Go(func() { d.claims.Run(ctx) })
	parts.Go(func() { d.report("entry", d.entry.Run(ctx)) })
	parts.Go(func() { d.prober.Run(ctx) })
	parts.Go(func() { d.report("fleet", d.fleet.Run(ctx)) })
	parts.Go(func() { d.wakeFleet(ctx) })
	parts.Go(func() { d.maintenance.run(ctx) })
	parts.Go(func() { d.report("jobs", d.jobs.Run(ctx)) })
	parts.Go(func() { d.port.Observer.Run(ctx) })
}

func (d *Daemon) report(part string, err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		d.log.Error(err, "part ended", "part", part)
	}
}

// incarnation tells this run of the daemon from earlier ones under its ID. It
// grows from run to run: peers and the store take the record with the highest
// for the one that runs, and would shut a successor with a lower one out until
// the lease of the earlier run has lapsed.
func incarnation() uint64 { return uint64(time.Now().UnixNano()) }

// Fleet returns the commands and questions on waves and VMs.
func (d *Daemon) Fleet() *fleet.Fleet { return d.fleet }

// Registry answers which entry VMs have what in force.
func (d *Daemon) Registry() *relay.Registry { return d.registry }

// Jobs returns the commands and questions on jobs.
func (d *Daemon) Jobs() *jobs.Jobs { return d.jobs }

// PeerTraffic returns what went over the peer connections since the start.
func (d *Daemon) PeerTraffic() peer.Traffic { return d.mesh.Traffic() }
