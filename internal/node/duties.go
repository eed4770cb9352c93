package node

import (
	"context"
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/fleetowner"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/jobfront"
	"github.com/pumicestage/pumicestage/internal/ownerlink"
	"github.com/pumicestage/pumicestage/internal/ownership"
	"github.com/pumicestage/pumicestage/platform"
	"github.com/pumicestage/pumicestage/policy/work"
)

// The fleet's duty stands beside the cells', which bear their services' names
// after a prefix, so that no service can be mistaken for it.
const (
	fleetDuty  = "fleet"
	cellPrefix = "cell/"
)

func cellDuty(service string) string { return cellPrefix + service }

// duties are the electors of this entry VM and what it has.
type duties struct {
	node *Node

	mu      sync.Mutex
	ctx     context.Context // electors run until it ends; nil before the start
	running map[string]bool
	engines map[string]*engine.Engine // by cell
	load    ownership.Load
	wg      sync.WaitGroup
}

// start lets this entry VM try for duties until ctx ends.
func (d *duties) start(ctx context.Context) {
	d.mu.Lock()
	d.ctx = ctx
	d.mu.Unlock()
	d.ensure()
}

// ensure runs an elector for the fleet and for every service of the
// configuration. Those of services that went away stay: their jobs go on.
func (d *duties) ensure() {
	declared := d.node.operator.declared()
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ctx == nil || d.ctx.Err() != nil || len(declared.Services) == 0 {
		return
	}
	d.runLocked(fleetDuty, d.ownFleet)
	for name, s := range declared.Services {
		if s.Standby {
			continue
		}
		d.runLocked(cellDuty(name), func(ctx context.Context, t *ownership.Term) { d.ownCell(ctx, name, t) })
	}
}

func (d *duties) runLocked(duty string, own func(context.Context, *ownership.Term)) {
	if d.running[duty] {
		return
	}
	d.running[duty] = true
	n := d.node
	e := ownership.New(ownership.Options{
		Duty: duty, Store: n.store, Directory: n.directory, Self: n.self, Weight: n.settings.weight(),
		Clock: n.clock, Log: n.log.WithName("ownership"), Grace: engine.OwnerGrace, Load: &d.load,
		LeastTTL: n.settings.LeastTTL, Own: own, HandOver: n.leases.handOver, Behind: n.pressure.Behind,
	})
	ctx := d.ctx
	d.wg.Go(func() { e.Run(ctx) })
}

// engine returns the cell's engine while this entry VM owns it.
func (d *duties) engine(cell string) *engine.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.engines[cell]
}

func (d *duties) owner(cell string) ownerlink.Owner {
	if e := d.engine(cell); e != nil {
		return e
	}
	return nil
}

func (d *duties) set(cell string, e *engine.Engine) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e == nil {
		delete(d.engines, cell)
		return
	}
	d.engines[cell] = e
}

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

// ownCell runs the cell's engine for one term.
func (d *duties) ownCell(ctx context.Context, cell string, t *ownership.Term) {
	n := d.node
	n.registry.hold()
	defer n.registry.release()
	n.members.follow.hold()
	defer n.members.follow.release()
	n.pressure.follow.hold()
	defer n.pressure.follow.release()
	e := engine.New(engine.Options{
		Cell:     cell,
		Store:    n.store,
		Workers:  n.workersOf(cell),
		Machines: n.machines(),
		Advisor:  n.advisor(),
		Clock:    n.clock,
		Log:      n.log.WithName("engine").WithValues("cell", cell),
		Bounds: engine.Bounds{
			MaxHold: n.settings.MaxLease, PaceDelay: n.settings.PaceDelay, StopGrace: n.settings.StopGrace,
			ConfigWithin: n.settings.ConfigWithin, RoomWithin: n.settings.RoomWithin,
		},
		Term:     t,
		Listed:   n.registry.wait,
		Registry: func() []engine.WorkerInfo { return n.registry.list(cell) },
		Known:    n.registry.current,
		Lookup:   n.registry.lookup,
		Declared: n.operator.declared,
		Configs:  n.operator, OwnerKey: infra.WorkOwnerKey(cellDuty(cell)),
		TellCells: func(names []work.WorkspaceName) { d.tellCells(cell, names) },
		Metrics:   n.metrics.engine,
		ListRate:  n.settings.ListRate,
		Pressure:  n.pressure, Successor: n.successor,
	})
	d.set(cell, e)
	err := e.Run(ctx)
	d.set(cell, nil)
	n.log.Info("engine ended", "cell", cell, "token", t.Token(), "reason", endReason(err))
}

func endReason(err error) string {
	if err == nil {
		return "the term is over"
	}
	return err.Error()
}

// ownFleet looks after VMs, and after what the store keeps of ended jobs, for one term.
func (d *duties) ownFleet(ctx context.Context, t *ownership.Term) {
	n := d.node
	retention := &engine.Retention{Store: n.store, Clock: n.clock, Log: n.log.WithName("retention"), StatusPeriod: n.settings.Status}
	var beside sync.WaitGroup
	beside.Go(func() { retention.Run(ctx) })
	defer beside.Wait()
	machines := n.machines()
	if machines == nil {
		<-ctx.Done()
		return
	}
	fleetowner.New(fleetowner.Options{
		Store: n.store, Machines: machines, Waves: n.operator, Cells: d, Declared: n.operator.declared,
		Clock: n.clock, Term: t, Log: n.log.WithName("fleet"), Metrics: n.metrics.engine,
		ListRate: n.settings.ListRate,
	}).Run(ctx)
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

// tellTimeout ends the word to another cell's owner; one that misses it looks by itself.
const tellTimeout = 500 * time.Millisecond

// tellCells tells the owners of all other cells to look at the ledgers of the workspaces.
func (d *duties) tellCells(from string, names []work.WorkspaceName) {
	for cell, s := range d.node.operator.declared().Services {
		if cell == from || s.Standby {
			continue
		}
		go func() {
			if err := d.tellCell(cell, names); err != nil {
				d.node.log.V(1).Info("cell not told of limits", "cell", cell, "error", err.Error())
			}
		}()
	}
}

func (d *duties) tellCell(cell string, names []work.WorkspaceName) error {
	if e := d.engine(cell); e != nil {
		return e.LookAtLimits(names)
	}
	owner, known := d.cellOwner(cell)
	if !known || owner.Entry == d.node.self.Entry {
		return engine.ErrNotReady
	}
	ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
	defer cancel()
	return d.node.link.LookAtLimits(ctx, ownerlink.Peer{Cell: cell, Address: owner.Address}, names)
}

func (d *duties) cellOwner(cell string) (ownership.Record, bool) {
	return d.node.directory.Owner(cellDuty(cell))
}

// followOwners keeps the directory of owners.
func (n *Node) followOwners(ctx context.Context) {
	follow(ctx, n.store, n.log.WithName("owners"), source{
		prefix: infra.WorkOwnerPrefix, all: n.directory.Replace, each: n.directory.Change,
	})
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

var _ jobfront.Owner = (*engine.Engine)(nil)
