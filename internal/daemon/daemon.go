// Package daemon assembles the process of one entry VM: three listeners and the
// components that serve them. It wires the components and orders start and
// shutdown; all decisions are made in the components.
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

// DialFunc opens a connection. Tests replace it to simulate network partitions
// between zones.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Options configures a Daemon. Settings is required; a zero Log discards.
type Options struct {
	Settings *settings.Settings
	Log      logr.Logger
	// Dial opens connections to peers, targets and the platform; nil means
	// plain TCP.
	Dial DialFunc
	// Store replaces the platform's store; nil means the one in the settings.
	Store infra.Store
	// FleetPassInterval is the interval between the reconciler's passes while there is
	// work; 0 means its default.
	FleetPassInterval time.Duration
}

// Daemon is the process of one entry VM, with its listeners and components.
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

	ready    atomic.Bool
	killed   chan struct{}
	killOnce sync.Once
}

// New opens the listeners and wires the components; nothing runs before Run. It
// returns an error if an address can't be bound, or if certificates or tokens
// can't be loaded.
func New(o Options) (*Daemon, error) {
	d := &Daemon{settings: o.Settings, log: o.Log, view: view.NewHolder(), killed: make(chan struct{})}
	if err := d.listen(); err != nil {
		d.closeListeners()
		return nil, trace.Wrap(err)
	}
	d.self = view.EntryRecord{
		ID:          o.Settings.ID,
		Zone:        o.Settings.Zone,
		Peer:        advertisedAddress(o.Settings.Peers, d.peers),
		Caller:      advertisedAddress(o.Settings.Callers, d.callers),
		Operator:    advertisedAddress(o.Settings.Operators, d.operators),
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
	if d.callers, err = listenTLS(d.callers, d.settings.Callers, d.log.WithName("tls")); err != nil {
		return err
	}
	d.operators, err = listenTLS(d.operators, d.settings.Operators, d.log.WithName("tls"))
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

// wire creates the components. They refer to each other by functions, which are
// called only after all components exist.
func (d *Daemon) wire(o Options) error {
	if err := d.wirePeers(o); err != nil {
		return err
	}
	d.wireRequests(o)
	d.wireFleet(o)
	return nil
}

// wirePeers creates the peer mesh, and the relay and registry that use it to
// keep the view current.
func (d *Daemon) wirePeers(o Options) error {
	server, client, err := peerTLS(d.settings.Peers, d.log.WithName("tls"))
	if err != nil {
		return err
	}
	d.mesh = peer.New(peer.Options{
		Self:       d.self,
		Cluster:    d.settings.Cluster,
		Seeds:      d.settings.Seeds,
		View:       d.view,
		Listener:   d.peers,
		Dial:       peerDial(o.Dial),
		TLS:        server,
		ClientTLS:  client,
		FillDigest: d.fillDigest,
		Watching:   func() bool { return d.relay.Watching() },
		Log:        d.log.WithName("peer"),
	})
	ro := relay.Options{Self: d.self, Store: d.store, View: d.view, Peers: d.mesh, Log: d.log.WithName("relay")}
	d.relay = relay.New(ro)
	d.registry = relay.NewRegistry(ro)
	return nil
}

// wireRequests creates the components that serve callers' requests.
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

// wireFleet creates the components that assign and maintain VMs and run jobs on
// them.
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
		PassInterval: o.FleetPassInterval,
	})
	d.maintenance = &maintenance{fleet: d.fleet}
	d.jobs = jobs.New(jobs.Options{
		Store:           d.store,
		Machines:        d.machines,
		View:            d.view,
		Self:            d.self.ID,
		MaintenanceSoon: d.maintenancePending,
		Log:             d.log.WithName("jobs"),
	})
}

// fillDigest sets the fields of the digest that the mesh doesn't set itself.
func (d *Daemon) fillDigest(dg *peer.Digest) {
	d.entry.FillDigest(dg)
	d.prober.FillDigest(dg)
}

// maintenancePending reports whether a running wave has yet to maintain the VM.
func (d *Daemon) maintenancePending(id model.VMID) bool {
	vm, known := d.view.Load().VMs[id]
	return known && d.maintenance.isPending(&vm.VM)
}

// liveEntries returns the IDs of this entry VM and of its live peers.
func (d *Daemon) liveEntries() []model.EntryID {
	ids := []model.EntryID{d.self.ID}
	for _, p := range d.mesh.Peers() {
		if p.Live {
			ids = append(ids, p.Entry)
		}
	}
	return ids
}

// Self returns this entry VM's record, with its advertised addresses.
func (d *Daemon) Self() view.EntryRecord { return d.self }

// View returns the holder of this entry VM's view of the fleet.
func (d *Daemon) View() *view.Holder { return d.view }

// Ready reports whether this entry VM accepts new requests: it has applied a
// configuration and is not shutting down.
func (d *Daemon) Ready() bool {
	return d.ready.Load() && d.view.Load().Generation() > 0
}

// Run serves until ctx ends, then shuts down gracefully: it reports not ready,
// refuses new requests, lets those in flight finish, and releases what it
// holds to other entry VMs. It returns an error if a listener fails or if
// requests are still in flight at the end of the drain timeout.
func (d *Daemon) Run(ctx context.Context) error {
	d.warnInsecureListeners()
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var components sync.WaitGroup
	d.startComponents(background, &components)
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
		err = d.shutDown(callers)
		d.flushAuditTrail()
	case <-d.killed:
	case err = <-failed:
	}
	stop()
	components.Wait()
	operators.Close()
	callers.Close()
	return trace.Wrap(err)
}

// Kill ends Run at once: requests in flight are cut off and nothing is handed
// over. It is for operators who can't wait for a graceful shutdown.
func (d *Daemon) Kill() { d.killOnce.Do(func() { close(d.killed) }) }

func (d *Daemon) startComponents(ctx context.Context, components *sync.WaitGroup) {
	components.Go(func() { d.logFailure("peer", d.mesh.Run(ctx)) })
	components.Go(func() { d.relay.Run(ctx) })
	components.Go(func() { d.claims.Run(ctx) })
	components.Go(func() { d.logFailure("entry", d.entry.Run(ctx)) })
	components.Go(func() { d.prober.Run(ctx) })
	components.Go(func() { d.logFailure("fleet", d.fleet.Run(ctx)) })
	components.Go(func() { d.wakeFleet(ctx) })
	components.Go(func() { d.maintenance.run(ctx) })
	components.Go(func() { d.logFailure("jobs", d.jobs.Run(ctx)) })
	components.Go(func() { d.port.Observer.Run(ctx) })
}

// logFailure logs why a component ended, unless its context was canceled.
func (d *Daemon) logFailure(component string, err error) {
	if err != nil && !errors.Is(err, context.Canceled) {
		d.log.Error(err, "component failed", "part", component)
	}
}

// incarnation returns a number that distinguishes this run of the daemon from
// earlier ones under the same ID. It must increase with each run: peers and the
// store treat the record with the highest incarnation as the running one, and
// would reject a successor with a lower one until the lease of the earlier run
// expires.
func incarnation() uint64 { return uint64(time.Now().UnixNano()) }

// Fleet returns the component with the commands and queries for waves and VMs.
func (d *Daemon) Fleet() *fleet.Fleet { return d.fleet }

// Registry returns the registry that tells which entry VMs have applied a
// revision or declaration.
func (d *Daemon) Registry() *relay.Registry { return d.registry }

// Jobs returns the component with the commands and queries for jobs.
func (d *Daemon) Jobs() *jobs.Jobs { return d.jobs }

// PeerTraffic returns the bytes and frames sent and received over the peer
// connections since the start.
func (d *Daemon) PeerTraffic() peer.Traffic { return d.mesh.Traffic() }
