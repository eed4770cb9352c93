package engine

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/overload"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Errors of an engine's calls.
var (
	// ErrNotReady: this entry VM does not own the workers (any more) or has
	// not read what is stored yet. Nothing was done.
	ErrNotReady = errors.New("engine: not the owner, or not ready")
	// ErrStore: the store can't take the job now. Nothing was or will be stored.
	ErrStore = errors.New("engine: the store does not answer")
	// ErrUncertain: the store was sent the change and did not answer.
	ErrUncertain = errors.New("engine: the store did not confirm")
	// ErrUnknownJob: no such job, or another workspace's: a caller learns nothing of those.
	ErrUnknownJob = errors.New("engine: no such job")
	// ErrOtherWorkspace: a job of another workspace has the ID. Nothing was stored.
	ErrOtherWorkspace = errors.New("engine: the ID is a job of another workspace")
	// ErrBehind: the caller's entry VM goes by an older configuration than the owner's. Nothing
	// was done; it is told what is in force and decides anew.
	ErrBehind = errors.New("engine: a newer configuration is in force")
)

// Clock is where an engine's time comes from.
type Clock interface {
	// Now is the time since the VM's start, suspended spells included.
	Now() time.Duration
	// Wall is the time of day.
	Wall() time.Time
}

// Term is one spell of ownership.
type Term interface {
	// Token is the fencing token of all orders of the term.
	Token() int64
	// AllowedUntil is until when orders may be given without another check of
	// the lease, on the engine's clock.
	AllowedUntil() time.Duration
	// Certain reports whether no other owner can exist now.
	Certain() bool
	// End gives the term up.
	End(reason string)
	// Relieve gives it up to another entry VM, as this one is behind its work.
	Relieve()
}

// Configs tells how sure the entry VM is of its configuration.
type Configs interface {
	// Confirmed is when it was last known to be the newest, on the engine's clock.
	Confirmed() time.Duration
	// Confirm reads the newest.
	Confirm(ctx context.Context) error
}

// Options are what an Engine is made of.
type Options struct {
	Cell     string // the service whose workers and jobs these are
	Store    infra.Store
	Workers  Workers
	Machines Machines
	Advisor  Advisor // nil: no queue is advised
	Clock    Clock
	Log      logr.Logger
	Bounds   Bounds
	Term     Term
	// Listed returns once the registered workers were listed, or could not be for a
	// while.
	Listed func(ctx context.Context)
	// Registry returns the service's workers that are registered now.
	Registry func() []WorkerInfo
	// Known is until when all registrations are in Registry, on the engine's clock; nil: always.
	Known func() time.Duration
	// Lookup has the registrations of these workers read one by one, without waiting for
	// them; nil: it can't.
	Lookup func(ids []work.WorkerID)
	// Declared returns the operator's configuration in force.
	Declared func() Declared
	// Configs tells how sure it is that the configuration is the newest; nil: always.
	Configs Configs
	// TellCells tells the owners of the other cells to look at the ledgers of these workspaces,
	// without waiting for them; nil: it can't.
	TellCells func(names []work.WorkspaceName)
	// OwnerKey is the key of the cell's owner, whose revision is the term's token.
	OwnerKey string
	Metrics  *Metrics
	Pressure Pressure // nil: not measured
	// Successor tells what other entry VM could take the cell over; nil: none.
	Successor func() overload.Successor
	// ListRate is how many reads of the list of VMs the platform takes a second, from
	// all entry VMs together; 0: any number.
	ListRate float64
}

// Engine runs a Core for one term.
type Engine struct {
	Options

	ctx context.Context // of the term, set by Run

	mu       sync.Mutex
	core     *Core
	sessions map[work.WorkerID]*session
	restored bool
	// fleetToken is of the last owner of the fleet that gave orders.
	fleetToken int64

	relief overload.Handover
	began  time.Duration // of the term
	starts atomic.Int64  // given and not answered yet

	planKick  chan struct{}
	storeKick chan struct{}
	shareKick chan struct{}
	writer    *writer
	lives     *incarnationWatcher
	wg        sync.WaitGroup
}

// New returns an engine for the term.
func New(o Options) *Engine {
	e := &Engine{
		Options:   o,
		sessions:  make(map[work.WorkerID]*session),
		planKick:  make(chan struct{}, 1),
		storeKick: make(chan struct{}, 1),
		shareKick: make(chan struct{}, 1),
	}
	e.core = NewCore(o.Cell, o.Term.Token(), o.Bounds, o.Log.WithName("core"))
	e.core.metrics = o.Metrics
	e.writer = newWriter(e)
	e.lives = &incarnationWatcher{engine: e}
	return e
}

// Run takes over what earlier owners left and carries jobs out until ctx ends
// or the term is lost.
func (e *Engine) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		e.wg.Wait()
	}()
	e.ctx = ctx
	e.began = e.Clock.Now()
	if err := e.restore(ctx); err != nil {
		return err
	}
	e.Log.Info("took over", "cell", e.Cell, "token", e.Term.Token(), "jobs", len(e.core.jobs), "open", len(e.core.open), "took", (e.Clock.Now() - e.began).String())
	e.mu.Lock()
	e.restored = true
	e.mu.Unlock()
	e.wg.Go(func() { e.writer.run(ctx) })
	e.wg.Go(func() { e.readInbox(ctx) })
	e.wg.Go(func() { e.runShares(ctx) })
	if e.Machines != nil {
		e.wg.Go(func() { e.lives.run(ctx) })
	}
	e.RegistryChanged()
	return e.planLoop(ctx)
}

// Pace of planning.
const (
	// planEvery replans although nothing happened: leases run out, pauses end.
	planEvery = 100 * time.Millisecond
	// planPause lets what happens together be planned together.
	planPause = 2 * time.Millisecond
	// planShare bounds the share of time that plans take, as one to so many:
	// at every answer of a hundred busy workers a long plan would take the
	// processor from the answers themselves, and leases would run out.
	planShare = 5
)

func (e *Engine) planLoop(ctx context.Context) error {
	tick := time.NewTicker(planEvery)
	defer tick.Stop()
	pause := planPause
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.planKick:
			sleep.For(ctx, pause)
		case <-tick.C:
		}
		began := e.Clock.Now()
		ok := e.plan(ctx)
		pause = min(planEvery, max(planPause, planShare*(e.Clock.Now()-began)))
		if !ok {
			e.Term.End("a later owner is known")
			return ErrNotReady
		}
		if e.relieved() {
			e.Term.Relieve()
			return ErrNotReady
		}
	}
}

// plan plans and sends the orders; false where the core is deposed.
func (e *Engine) plan(ctx context.Context) bool {
	now := e.Clock.Now()
	e.mu.Lock()
	e.authority()
	e.core.Declare(e.Declared())
	if e.Configs != nil {
		e.core.Confirm(e.Configs.Confirmed())
	}
	if e.Known != nil {
		e.core.RoomKnown(e.Known())
	}
	e.core.Strain(e.standing(), now)
	e.core.LimitStarts(int(e.starts.Load()))
	orders := e.core.Plan(now, e.Clock.Wall())
	deposed := e.core.Deposed()
	all, final := e.core.Dirty()
	ack := e.core.unacknowledged()
	wants := e.core.wantsShares()
	e.mu.Unlock()
	if deposed {
		return false
	}
	if all > 0 || final > 0 || ack {
		kick(e.storeKick)
	}
	if wants {
		kick(e.shareKick)
	}
	e.send(ctx, &orders)
	return true
}

// authority tells the core how far its orders may go. The engine is locked.
func (e *Engine) authority() {
	e.core.AllowUntil(e.Term.AllowedUntil())
	e.core.SetCertain(e.Term.Certain())
}

// Submit accepts a job: it is stored when nil is returned.
func (e *Engine) Submit(ctx context.Context, j *work.Job, q Queue) error {
	e.mu.Lock()
	ready, known, other := e.restored, e.core.Known(j.ID), !e.core.isOf(j.ID, j.Workspace)
	e.mu.Unlock()
	switch {
	case !ready:
		return ErrNotReady
	case known && other:
		return ErrOtherWorkspace
	case known:
		return nil
	}
	return e.writer.create(ctx, j, q)
}

// accepted hands a stored job to the core.
func (e *Engine) accepted(j *work.Job, q Queue) {
	e.mu.Lock()
	e.core.Accept(j, q, e.Clock.Now())
	e.mu.Unlock()
	kick(e.planKick)
}

// State returns what a caller of the workspace is told of the job.
func (e *Engine) State(id work.JobID, workspace work.WorkspaceName) (work.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.restored {
		return "", ErrNotReady
	}
	s, known := e.core.State(id)
	if !known || !e.core.shows(id, workspace) {
		return "", ErrUnknownJob
	}
	return s, nil
}

// Cancel cancels the job for a caller of the workspace; it is stored when nil is returned.
func (e *Engine) Cancel(ctx context.Context, id work.JobID, workspace work.WorkspaceName) error {
	done := make(chan error, 1)
	e.mu.Lock()
	if !e.restored {
		e.mu.Unlock()
		return ErrNotReady
	}
	known := e.core.shows(id, workspace) && e.core.Cancel(id, func(err error) { done <- err })
	e.mu.Unlock()
	if !known {
		return ErrUnknownJob
	}
	kick(e.storeKick)
	kick(e.planKick)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ErrUncertain
	}
}

// Waiting counts the queue's jobs that have not begun.
func (e *Engine) Waiting(queue string) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.restored {
		return 0, ErrNotReady
	}
	return e.core.Waiting(queue), nil
}

// RegistryChanged makes the engine read the registered workers again.
func (e *Engine) RegistryChanged() {
	e.mu.Lock()
	if !e.restored {
		e.mu.Unlock()
		return
	}
	var ask []work.WorkerID
	for _, info := range e.Registry() {
		if e.core.WorkerRegistered(info) {
			ask = append(ask, info.ID)
		}
		if e.sessions[info.ID] == nil && e.core.workers[info.ID] != nil {
			e.sessions[info.ID] = newSession(e, info.ID)
		}
	}
	e.mu.Unlock()
	e.startSessions()
	for _, id := range ask {
		e.wake(id)
	}
	kick(e.planKick)
}

func kick(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
