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
	// EntriesPerZone is the number of entry VMs in each zone: eight in the
	// example's four zones.
	EntriesPerZone = 2
	// CallerPort is the first entry VM's caller port; each further entry VM
	// is one port up.
	CallerPort = 18080
	// OperatorPort is the first entry VM's operator port; each further entry
	// VM is one port up.
	OperatorPort = 18180
	// PeerPort is the first entry VM's peer port; each further entry VM is one
	// port up.
	PeerPort = 18280
	// PlatformPort is the port of the platform stand-in.
	PlatformPort = 18380
	// rebootTime is how long a reboot of a VM in the example takes.
	rebootTime = 300 * time.Millisecond
	// fleetPassInterval is the reconcilers' period. It is short because VMs of
	// the example boot in a fraction of a second, not in minutes.
	fleetPassInterval = 100 * time.Millisecond
	// listLag is how far the platform's list of VMs lags its actual state.
	listLag = 200 * time.Millisecond
)

// cluster is a deployment that runs in one process: the platform stand-in,
// fake targets and entry daemons.
type cluster struct {
	decl     *model.Declaration
	ports    bool // use the documented ports; otherwise any free ones
	log      logr.Logger
	platform *standin.Server
	base     string // the stand-in's base URL
	targets  map[model.VMID]*faketarget.Target
	entries  []*entryVM
	tasks    sync.WaitGroup

	// ignoreDrain makes targets keep accepting work after an order to drain, as
	// if the platform had lost the order.
	ignoreDrain atomic.Bool
	// onDrained is called after a VM was ordered to drain; nil means no call.
	onDrained atomic.Pointer[func(vm model.VMID)]
}

// entryVM is one running entry daemon.
type entryVM struct {
	*daemon.Daemon
	n      int
	dialer *faultDialer
	stop   func()
	done   chan struct{}
}

// kill simulates the loss of the VM: it cuts all connections, ends the daemon
// without a shutdown and waits for it to return.
func (e *entryVM) kill() {
	e.dialer.cut()
	e.Kill()
	<-e.done
}

// startCluster starts the platform stand-in, a target for every declared VM and
// the entry daemons of every zone. On an error it stops what it has started.
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

// serviceTime returns how long a request of the example takes. It depends on
// the request's path: about one in fifty takes 400 ms, the others 5 to 24 ms.
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

// runner returns the hooks by which the stand-in's machines drain, stop and
// boot a fake target.
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
				c.log.Error(err, "fake target failed to boot", "vm", id)
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
	w := newFaultDialer(c.platform.Network.Dialer(string(zone)))
	d, err := daemon.New(daemon.Options{Settings: s, Log: c.log.WithValues("entry", s.ID), Dial: w.dial, FleetPassInterval: fleetPassInterval})
	if err != nil {
		return nil, err
	}
	c.platform.Network.Place(d.Self().Peer, string(zone))
	ctx, cancel := context.WithCancel(ctx)
	e := &entryVM{Daemon: d, n: n, dialer: w, stop: cancel, done: make(chan struct{})}
	c.tasks.Go(func() {
		err := d.Run(ctx)
		if err != nil {
			c.log.Error(err, "entry daemon ended with an error", "entry", s.ID)
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

// callerBases returns the caller base URLs of the entry VMs that are ready.
func (c *cluster) callerBases() []string {
	var bases []string
	for _, e := range c.entries {
		if e.Ready() {
			bases = append(bases, "http://"+e.Self().Caller)
		}
	}
	return bases
}

// stop stops the entry daemons first, then the targets and the platform.
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
