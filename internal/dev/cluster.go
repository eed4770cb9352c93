package dev

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/daemon"
	"github.com/pumicestage/pumicestage/internal/entry"
	"github.com/pumicestage/pumicestage/internal/faketarget"
	"github.com/pumicestage/pumicestage/internal/infra/standin"
	"github.com/pumicestage/pumicestage/internal/settings"
	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// EntriesPerZone makes eight entry VMs in the example's four zones.
	EntriesPerZone = 2
	// CallerPort is the first entry VM's caller port; each further entry VM
	// is one port up.
	CallerPort = 18080
	// OperatorPort is the first entry VM's operator port, likewise.
	OperatorPort = 18180
	// PeerPort is the first entry VM's peer port, likewise.
	PeerPort = 18280
	// PlatformPort is the stand-in's.
	PlatformPort = 18380
	// rebootTime is how long a VM of the example is down for a reboot.
	rebootTime = 300 * time.Millisecond
	// fleetPassInterval is the reconcilers' period: VMs of the example boot in a
	// fraction of a second, not in minutes.
	fleetPassInterval = 100 * time.Millisecond
	// listLag is how old the platform's list is.
	listLag = 200 * time.Millisecond
)

// cluster is a whole deployment in one process.
type cluster struct {
	decl     *model.Declaration
	ports    bool // fixed ports; otherwise any
	log      logr.Logger
	platform *standin.Server
	base     string // the stand-in's base URL
	targets  map[model.VMID]*faketarget.Target
	entries  []*entryVM
	tasks    sync.WaitGroup

	// ignoreDrain lets targets go on taking work after an order to drain, as those do
	// whose drain the platform lost.
	ignoreDrain atomic.Bool
	// onDrained is called after a VM was ordered to drain; nil for nothing.
	onDrained atomic.Pointer[func(vm model.VMID)]
}

// entryVM is one running daemon.
type entryVM struct {
	*daemon.Daemon
	n    int
	wire *wire
	stop func()
	done chan struct{}
}

// kill ends the daemon as a lost VM does: nothing of it reaches anyone again.
func (e *entryVM) kill() {
	e.wire.cut()
	e.Kill()
	<-e.done
}

// startCluster starts the stand-in, a target for every declared VM, and entry
// daemons for every zone.
func startCluster(ctx context.Context, decl *model.Declaration, fixedPorts bool, log logr.Logger) (*cluster, error) {
	c := &cluster{decl: decl, ports: fixedPorts, log: log, targets: make(map[model.VMID]*faketarget.Target)}
	if err := c.startPlatform(); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := c.startTargets(); err != nil {
		c.stop()
		return nil, trace.Wrap(err)
	}
	if err := c.startEntries(ctx); err != nil {
		c.stop()
		return nil, trace.Wrap(err)
	}
	return c, nil
}

func (c *cluster) startPlatform() (err error) {
	c.platform = standin.New(clockwork.NewRealClock())
	c.platform.Machines.SetRebootTime(rebootTime)
	c.platform.Machines.SetListLag(listLag)
	c.base, err = c.platform.Listen(c.address(PlatformPort, 0))
	return err
}

func (c *cluster) startTargets() error {
	for i := range c.decl.VMs {
		vm := &c.decl.VMs[i]
		address := ""
		if c.ports {
			address = vm.Address
		}
		t, err := faketarget.Start(faketarget.Options{ID: string(vm.ID), Address: address, ServiceTime: serviceTime})
		if err != nil {
			return fmt.Errorf("target %s: %w", vm.ID, err)
		}
		vm.Address = t.Address()
		c.targets[vm.ID] = t
		c.platform.Network.Place(vm.Address, string(vm.Zone))
		c.platform.Machines.Add(vm.ID, vm.Capacity, c.runner(vm.ID, t))
	}
	return nil
}

// serviceTime is how long a request of the example takes: long ones among
// short ones, by the request's name.
func serviceTime(r *http.Request) time.Duration {
	n := 0
	for _, c := range r.URL.Path {
		n += int(c)
	}
	if n%50 == 0 {
		return 400 * time.Millisecond
	}
	return time.Duration(5+n%20) * time.Millisecond
}

// runner lets the stand-in's machines act on a fake target.
func (c *cluster) runner(id model.VMID, t *faketarget.Target) standin.Runner {
	return standin.Hooks{
		OnDrain: func() {
			if !c.ignoreDrain.Load() {
				t.Drain()
			}
			if f := c.onDrained.Load(); f != nil {
				(*f)(id)
			}
		},
		OnUndrain: t.Undrain,
		OnStop: func() int {
			before := t.Counts().Interrupted
			t.Down()
			return t.Counts().Interrupted - before
		},
		OnStart: func() {
			if err := t.Boot(); err != nil {
				c.log.Error(err, "VM stays down", "vm", id)
			}
		},
		Requests: t.InFlight,
	}
}

func (c *cluster) startEntries(ctx context.Context) error {
	var seeds []string
	for z, zone := range c.decl.Zones {
		for k := range EntriesPerZone {
			n := z*EntriesPerZone + k
			e, err := c.startEntry(ctx, n, zone, seeds)
			if err != nil {
				return fmt.Errorf("entry VM %d: %w", n+1, err)
			}
			c.entries = append(c.entries, e)
			seeds = append(seeds, e.Self().Peer)
		}
	}
	return nil
}

func (c *cluster) startEntry(ctx context.Context, n int, zone model.ZoneName, seeds []string) (*entryVM, error) {
	s := c.settings(n, zone, seeds)
	w := newWire(c.platform.Network.Dialer(string(zone)))
	d, err := daemon.New(daemon.Options{Settings: s, Log: c.log.WithValues("entry", s.ID), Dial: w.dial, FleetPassInterval: fleetPassInterval})
	if err != nil {
		return nil, err
	}
	c.platform.Network.Place(d.Self().Peer, string(zone))
	ctx, cancel := context.WithCancel(ctx)
	e := &entryVM{Daemon: d, n: n, wire: w, stop: cancel, done: make(chan struct{})}
	c.tasks.Go(func() {
		err := d.Run(ctx)
		if err != nil {
			c.log.Error(err, "entry VM ended", "entry", s.ID)
		}
		close(e.done)
	})
	return e, nil
}

func (c *cluster) settings(n int, zone model.ZoneName, seeds []string) *settings.Settings {
	return &settings.Settings{
		ID:              model.EntryID("e" + strconv.Itoa(n+1)),
		Zone:            zone,
		Cluster:         c.decl.Deployment,
		Callers:         c.listener(CallerPort, n),
		Operators:       c.listener(OperatorPort, n),
		Peers:           c.listener(PeerPort, n),
		Seeds:           seeds,
		Store:           []string{c.base},
		Machines:        c.base,
		PlatformTimeout: 2 * time.Second,
		Drain:           30 * time.Second,
		Limits:          entry.DefaultLimits(),
	}
}

func (c *cluster) listener(port, n int) settings.Listener {
	address := c.address(port, n)
	return settings.Listener{Listen: address, Advertise: address}
}

func (c *cluster) address(port, n int) string {
	if !c.ports {
		return "127.0.0.1:0"
	}
	return net.JoinHostPort("127.0.0.1", strconv.Itoa(port+n))
}

// callerBases returns the base URLs of the entry VMs that are ready.
func (c *cluster) callerBases() []string {
	var bases []string
	for _, e := range c.entries {
		if e.Ready() {
			bases = append(bases, "http://"+e.Self().Caller)
		}
	}
	return bases
}

// stop ends entry daemons first, then targets and the platform.
func (c *cluster) stop() {
	for _, e := range c.entries {
		e.stop()
	}
	c.tasks.Wait()
	for _, t := range c.targets {
		t.Down()
	}
	c.platform.Close()
}
