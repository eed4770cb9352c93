package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/fleetowner"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/jobfront"
	"github.com/pumicestage/pumicestage/internal/ownerlink"
	"github.com/pumicestage/pumicestage/internal/ownership"
	"github.com/pumicestage/pumicestage/platform"
	"github.com/pumicestage/pumicestage/policy/capacity"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Names of duties in the store. A cell's duty is its service's name after a prefix, so
// that no service's name can collide with the fleet's duty.
const (
	fleetDuty  = "fleet"
	cellPrefix = "cell/"
)

func cellDuty(service string) string { return cellPrefix + service }

// duties runs this entry VM's electors, and holds the engines of the cells that it owns.
// A duty is a cell or the fleet; one entry VM at a time owns it.
type duties struct {
	node *Node

	mu       sync.Mutex
	ctx      context.Context                  // electors run until it ends; nil before start is called
	electing map[string]bool                  // duties with an elector
	engines  map[string]*engine.Engine        // by cell
	fleet    atomic.Pointer[fleetowner.Fleet] // while this entry VM owns the fleet
	load     ownership.DutyCounter
	wg       sync.WaitGroup
}

// start makes this entry VM a candidate, until ctx ends, for the ownership of the fleet and of the
// cells of the configuration's services.
func (d *duties) start(ctx context.Context) {
	d.mu.Lock()
	d.ctx = ctx
	d.mu.Unlock()
	d.ensureElectors()
}

// ensureElectors starts the missing electors: one for the fleet and one for every service
// of the configuration. Electors of services that were removed stay, as the jobs of those
// services still run.
func (d *duties) ensureElectors() {
	declared := d.node.operator.declared()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx == nil || d.ctx.Err() != nil || len(declared.Services) == 0 {
		return
	}
	d.startElectorLocked(fleetDuty, d.ownFleet)
	for name, s := range declared.Services {
		if s.Standby {
			continue
		}
		d.startElectorLocked(cellDuty(name), func(ctx context.Context, t *ownership.Term) { d.ownCell(ctx, name, t) })
	}
}

// startElectorLocked starts an elector for the duty unless it has one. own runs during each term and
// returns when its context ends. The calling function holds mu.
func (d *duties) startElectorLocked(duty string, own func(context.Context, *ownership.Term)) {
	if d.electing[duty] {
		return
	}
	d.electing[duty] = true
	n := d.node
	e := ownership.New(ownership.Options{
		Duty: duty, Store: n.store, Directory: n.directory, Self: n.self, Weight: n.settings.weight(),
		Clock: n.clock, Log: n.log.WithName("ownership"), Grace: engine.OwnerGrace, Duties: &d.load,
		MinTTL: n.settings.MinTTL, RunTerm: own, RevokeLater: n.leases.handOver, SchedulingDelay: n.delay.MaxDelay,
	})
	ctx := d.ctx
	d.wg.Go(func() { e.Run(ctx) })
}

// engine returns the cell's engine while this entry VM owns the cell, otherwise nil.
func (d *duties) engine(cell string) *engine.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engines[cell]
}

// owner returns the cell's engine as an ownerlink.Owner while this entry VM owns the cell,
// otherwise a nil interface, which a nil *engine.Engine would not be.
func (d *duties) owner(cell string) ownerlink.Owner {
	if e := d.engine(cell); e != nil {
		return e
	}
	return nil
}

// setEngine records the engine of a cell that this entry VM owns; nil removes it.
func (d *duties) setEngine(cell string, e *engine.Engine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e == nil {
		delete(d.engines, cell)
		return
	}
	d.engines[cell] = e
}

// registryChanged makes all engines read the registered workers again.
func (d *duties) registryChanged() {
	d.mu.Lock()
	engines := make([]*engine.Engine, 0, len(d.engines))
	for _, e := range d.engines {
		engines = append(engines, e)
	}
	d.mu.Unlock()
	for _, e := range engines {
		e.RegistryChanged()
	}
}

// ownCell runs the cell's engine for one term, i.e. for one ownership of the cell.
func (d *duties) ownCell(ctx context.Context, cell string, t *ownership.Term) {
	n := d.node
	n.registry.acquire()
	defer n.registry.release()
	n.members.watch.acquire()
	defer n.members.watch.release()
	n.delay.probing.acquire()
	defer n.delay.probing.release()
	e := engine.New(engine.Options{
		Cell:     cell,
		Store:    n.store,
		Workers:  n.workersOf(cell),
		Machines: n.machines(),
		Advisor:  n.advisor(),

		AdvisorCalls: n.advisorCalls,
		Clock:        n.clock,
		Log:          n.log.WithName("engine").WithValues("cell", cell),
		Bounds: engine.Bounds{
			MaxLease: n.settings.MaxLease, PaceDelay: n.settings.PaceDelay, StopGrace: n.settings.StopGrace,
			MaxConfigDelay: n.settings.ConfigWithin, MaxCapacityAge: n.settings.MaxCapacityAge,
			KeepJobsInZone: n.settings.KeepJobsInZone,
		},
		Term:               t,
		WaitForRegistry:    n.registry.waitListed,
		Registry:           func() []engine.WorkerInfo { return n.registry.list(cell) },
		RegistryCompleteAt: n.registry.knownUntil,
		Lookup:             n.registry.lookup,
		Declared:           n.operator.declared,
		Configs:            n.operator, OwnerKey: infra.WorkOwnerKey(cellDuty(cell)),
		NotifyCells:     func(names []work.WorkspaceName) { d.notifyCells(cell, names) },
		Metrics:         n.metrics.engine,
		Memory:          n.budget,
		ListRate:        n.settings.ListRate,
		SchedulingDelay: n.delay, Successor: n.successor,
	})
	d.setEngine(cell, e)
	err := e.Run(ctx)
	d.setEngine(cell, nil)
	n.log.Info("engine stopped", "cell", cell, "token", t.Token(), "reason", endReason(err))
}

func endReason(err error) string {
	if err == nil {
		return "the term is over"
	}
	return err.Error()
}

// ownFleet manages the fleet's VMs, and removes the stored states of ended jobs once they
// have expired, for one term.
func (d *duties) ownFleet(ctx context.Context, t *ownership.Term) {
	n := d.node
	retention := &engine.Retention{Store: n.store, Clock: n.clock, Log: n.log.WithName("retention"), StatusPeriod: n.settings.StatusRetention}
	var background sync.WaitGroup
	background.Go(func() { retention.Run(ctx) })
	defer background.Wait()
	machines := n.machines()
	if machines == nil {
		<-ctx.Done()
		return
	}
	c := n.settings.Capacity
	fleet := fleetowner.New(fleetowner.Options{
		Store: n.store, Machines: machines, Waves: n.operator, Cells: d, Declared: n.operator.declared,
		Clock: n.clock, Term: t, Log: n.log.WithName("fleet"), Metrics: n.metrics.engine,
		ListRate: n.settings.ListRate, OwnerKey: infra.WorkOwnerKey(fleetDuty),
		Capacity: fleetowner.CapacityOptions{Costs: capacity.Costs{Move: c.MoveCost, Idle: c.IdleCost}, HalfLife: c.HalfLife, Floors: c.Floor, MaxVMs: c.MaxVMs},
	})
	d.fleet.Store(fleet)
	defer d.fleet.Store(nil)
	fleet.Run(ctx)
}

// Sync implements fleetowner.Cells.
func (d *duties) Sync(ctx context.Context, cell string, s engine.CellSync) (engine.CellAnswer, error) {
	if e := d.engine(cell); e != nil {
		return e.Sync(s)
	}
	owner, known := d.cellOwner(cell)
	if !known || owner.Entry == d.node.self.Entry {
		return engine.CellAnswer{}, engine.ErrNotReady
	}
	return d.node.link.Sync(ctx, ownerlink.Peer{Cell: cell, Address: owner.Address}, s)
}

// notifyTimeout ends one notification to another cell's owner. An owner that misses it
// finds the change with its own next read.
const notifyTimeout = 500 * time.Millisecond

// notifyCells tells the owners of all other cells to read the limit ledgers of the
// workspaces again. It does not wait for them.
func (d *duties) notifyCells(from string, names []work.WorkspaceName) {
	for cell, s := range d.node.operator.declared().Services {
		if cell == from || s.Standby {
			continue
		}
		go func() {
			if err := d.notifyCell(cell, names); err != nil {
				d.node.log.V(1).Info("cell's owner not notified of changed limits", "cell", cell, "error", err.Error())
			}
		}()
	}
}

// notifyCell tells one cell's owner, which may be this entry VM, to read the limit ledgers again. It
// returns engine.ErrNotReady if no owner is known, or if this entry VM is the owner and has no
// engine for the cell.
func (d *duties) notifyCell(cell string, names []work.WorkspaceName) error {
	if e := d.engine(cell); e != nil {
		return e.RecheckLimits(names)
	}
	owner, known := d.cellOwner(cell)
	if !known || owner.Entry == d.node.self.Entry {
		return engine.ErrNotReady
	}
	ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
	defer cancel()
	return d.node.link.RecheckLimits(ctx, ownerlink.Peer{Cell: cell, Address: owner.Address}, names)
}

// cellOwner returns the cell's owner as last read from the store, or false if none is known.
func (d *duties) cellOwner(cell string) (ownership.Record, bool) {
	return d.node.directory.Owner(cellDuty(cell))
}

// followOwners keeps the directory of owners up to date until ctx ends.
func (n *Node) followOwners(ctx context.Context) {
	followPrefix(ctx, n.store, n.log.WithName("owners"), source{
		prefix: infra.WorkOwnerPrefix, replace: n.directory.Replace, apply: n.directory.Change,
	})
}

// machines returns the client of the platform's VM service; nil if none is configured.
func (n *Node) machines() engine.Machines {
	if n.settings.VMs == "" {
		return nil
	}
	return platform.NewMachines(n.settings.VMs, n.settings.Name, platformTimeout, n.log.WithName("vms"))
}

// maxAdvisorCall ends any call to the advisor. Engines set a timeout of their own by the queue's
// configuration.
const maxAdvisorCall = 1 * time.Hour

// advisor returns the client of the advisor; nil if none is configured.
func (n *Node) advisor() engine.Advisor {
	if n.settings.Advisor == "" {
		return nil
	}
	return platform.NewAdvisor(n.settings.Advisor, maxAdvisorCall)
}

var _ jobfront.Owner = (*engine.Engine)(nil)
