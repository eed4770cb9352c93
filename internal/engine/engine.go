package engine

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/guard"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/overload"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Errors of an engine's calls.
var (
	// ErrNotReady means that this entry VM does not own the cell, or has not restored the
	// stored state yet. Nothing was done.
	ErrNotReady = errors.New("engine: not the owner, or not ready")
	// ErrStore means that the store is unavailable. Nothing was stored or will be.
	ErrStore = errors.New("engine: the store does not answer")
	// ErrUncertain means that the change was sent to the store and not confirmed: it may or
	// may not be stored.
	ErrUncertain = errors.New("engine: the store did not confirm")
	// ErrUnknownJob means that there is no such job, or that it belongs to another workspace:
	// callers learn nothing about other workspaces' jobs.
	ErrUnknownJob = errors.New("engine: no such job")
	// ErrOtherWorkspace means that a job of another workspace has the ID. Nothing was stored.
	ErrOtherWorkspace = errors.New("engine: the ID is a job of another workspace")
	// ErrCancelledEarly means that the job was cancelled before a submission of it was stored.
	// Nothing was stored or will be.
	ErrCancelledEarly = errors.New("engine: the job was cancelled before it was submitted")
	// ErrNoMemory means that the owner holds as many jobs as it may. Nothing was stored or will be.
	ErrNoMemory = errors.New("engine: the owner holds as many jobs as it may")
	// ErrTooLarge means that the job is larger than the owner or the store can hold. Nothing was
	// stored or will be.
	ErrTooLarge = errors.New("engine: the job is too large")
	// ErrStaleConfig means that the calling entry VM uses an older configuration than the
	// owner. Nothing was done; the entry VM is sent the newer one and handles the request again.
	ErrStaleConfig = errors.New("engine: a newer configuration is in force")
)

// Clock is an engine's source of time.
type Clock interface {
	// Now returns the time since the VM started, including time in which it was suspended.
	Now() time.Duration
	// Wall returns the time of day.
	Wall() time.Time
}

// Term is one ownership of a cell. All its orders carry its fencing token, by which workers
// and the store refuse earlier owners.
type Term interface {
	// Token returns the fencing token. A later term has a greater one.
	Token() int64
	// AllowedUntil returns the time, on the engine's clock, until which orders may be given
	// without another check of the owner's lease.
	AllowedUntil() time.Duration
	// Certain reports whether it is certain that no other owner exists now.
	Certain() bool
	// End ends the term for the reason, which is logged.
	End(reason string)
	// HandOver ends the term so that another entry VM takes over, because this one is
	// overloaded.
	HandOver()
}

// Configs tells how recently the entry VM's configuration was known to be the newest.
type Configs interface {
	// Confirmed returns when it was last known to be the newest, on the engine's clock.
	Confirmed() time.Duration
	// Confirm reads the newest configuration.
	Confirm(ctx context.Context) error
}

// Options configure an Engine.
type Options struct {
	Cell     string // the service whose workers and jobs these are
	Store    infra.Store
	Workers  Workers
	Machines Machines
	Advisor  Advisor // nil: there is none, and jobs of advised queues wait
	// AdvisorCalls holds an element for each call to the advisor that is under way, of all engines of
	// this entry VM: the advisor handles one at a time. nil: no other engine calls it.
	AdvisorCalls chan struct{}
	Clock        Clock
	Log          logr.Logger
	Bounds       Bounds
	Term         Term
	// WaitForRegistry returns once the registered workers are listed, or after a timeout if
	// they can't be.
	WaitForRegistry func(ctx context.Context)
	// Registry returns the workers of the service that are registered now.
	Registry func() []WorkerInfo
	// RegistryCompleteAt returns the time, on the engine's clock, up to which Registry contains
	// every registration; nil: it is always complete.
	RegistryCompleteAt func() time.Duration
	// Lookup requests that the registrations of these workers are read one by one, and
	// returns at once; nil: not supported.
	Lookup func(ids []work.WorkerID)
	// Declared returns the operator's configuration in force.
	Declared func() Declared
	// Configs tells how recent the configuration is; nil: it is always the newest.
	Configs Configs
	// NotifyCells asks the owners of the other cells to read the ledgers of these workspaces,
	// and returns at once; nil: not supported.
	NotifyCells func(names []work.WorkspaceName)
	// OwnerKey is the store key of the cell's owner. Its revision is the term's token.
	OwnerKey string
	Metrics  *Metrics
	// Memory is what callers can make this entry VM hold, of which accepted jobs are a part; nil: not
	// bounded.
	Memory          *guard.Budget
	SchedulingDelay DelayMeter // nil: not measured, taken as 0
	// Successor tells which kind of other entry VM could take the cell over; nil: none can.
	Successor func() overload.Successor
	// ListRate is how often per second the platform allows the list of VMs to be read, by all
	// entry VMs together; 0: unlimited.
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
	// fleetToken is the fencing token of the latest owner of the fleet that gave orders.
	fleetToken int64

	handover         overload.Handover
	startWindow      overload.StartWindow
	startedAt        time.Duration // when Run began
	unansweredStarts atomic.Int64  // start orders sent and not answered yet

	planKick  chan struct{}
	storeKick chan struct{}
	shareKick chan struct{}
	writer    *writer
	vmLister  *incarnationWatcher
	wg        sync.WaitGroup
}

// New returns an engine for the term o.Term. Run starts it.
func New(o Options) *Engine {
	e := &Engine{
		Options:   o,
		sessions:  make(map[work.WorkerID]*session),
		planKick:  make(chan struct{}, 1),
		storeKick: make(chan struct{}, 1),
		shareKick: make(chan struct{}, 1),
	}
	e.core = NewCore(o.Cell, o.Term.Token(), o.Bounds, o.Log.WithName("core"))
	e.core.metrics, e.core.memory = o.Metrics, o.Memory
	e.writer = newWriter(e)
	e.vmLister = &incarnationWatcher{engine: e}
	return e
}

// Run restores the state that earlier owners stored and runs jobs until ctx ends or the term
// does. It returns the error of ctx, ErrNotReady once the term has ended, or the error of
// restoring.
func (e *Engine) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		e.wg.Wait()
		e.mu.Lock()
		e.core.returnMemory()
		e.mu.Unlock()
	}()
	e.ctx = ctx
	e.startedAt = e.Clock.Now()
	if err := e.restore(ctx); err != nil {
		return err
	}
	e.Log.Info("took over cell", "cell", e.Cell, "token", e.Term.Token(), "jobs", len(e.core.jobs), "open", len(e.core.open), "took", (e.Clock.Now() - e.startedAt).String())
	e.mu.Lock()
	e.restored = true
	e.mu.Unlock()
	e.wg.Go(func() { e.writer.run(ctx) })
	e.wg.Go(func() { e.readInbox(ctx) })
	e.wg.Go(func() { e.runShares(ctx) })
	if e.Machines != nil {
		e.wg.Go(func() { e.vmLister.run(ctx) })
	}
	e.RegistryChanged()
	return e.planLoop(ctx)
}

// Timing of plans.
const (
	// planInterval is the time between plans when no event causes one: leases run out and
	// backoffs end.
	planInterval = 100 * time.Millisecond
	// planPause is the delay from an event to its plan, so that events that come together
	// share a plan.
	planPause = 2 * time.Millisecond
	// planTimeDivisor limits the processor time of plans: the pause after a plan is this many
	// times its duration, up to planInterval. If a long plan followed every answer of a hundred
	// busy workers, it would delay the answers themselves, and leases would run out.
	planTimeDivisor = 5
)

func (e *Engine) planLoop(ctx context.Context) error {
	tick := time.NewTicker(planInterval)
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
		pause = min(planInterval, max(planPause, planTimeDivisor*(e.Clock.Now()-began)))
		if !ok {
			e.Term.End("a later owner is known")
			return ErrNotReady
		}
		if e.handOverDue() {
			e.Term.HandOver()
			return ErrNotReady
		}
	}
}

// plan makes a plan and sends its orders. It returns false if the core is deposed.
func (e *Engine) plan(ctx context.Context) bool {
	now := e.Clock.Now()
	e.mu.Lock()
	e.updateAuthority()
	e.core.ObserveRunning(now)
	e.core.Configure(e.Declared())
	if e.Configs != nil {
		e.core.Confirm(e.Configs.Confirmed())
	}
	if e.RegistryCompleteAt != nil {
		e.core.CapacityKnownAt(e.RegistryCompleteAt())
	}
	e.core.AdjustLoad(e.minSchedulingDelay(), now)
	unanswered := int(e.unansweredStarts.Load())
	e.core.LimitStarts(unanswered)
	e.core.CapStarts(e.startWindow.Left(unanswered))
	orders := e.core.Plan(now, e.Clock.Wall())
	deposed := e.core.Deposed()
	all, final := e.core.Dirty()
	ack := e.core.hasUnacknowledgedEnds()
	wants := e.core.hasUnrecordedNeed()
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

// updateAuthority tells the core until when it may give orders, and whether a later owner can
// exist. e.mu must be held.
func (e *Engine) updateAuthority() {
	e.core.AllowUntil(e.Term.AllowedUntil())
	e.core.SetCertain(e.Term.Certain())
}

// Submit accepts a job. nil means that the job is stored, now or by an earlier call with the
// same ID; other errors are ErrNotReady, ErrOtherWorkspace, ErrCancelledEarly, ErrNoMemory, ErrTooLarge,
// ErrStore and ErrUncertain.
func (e *Engine) Submit(ctx context.Context, j *work.Job, q Queue) error {
	size := AcceptedBytes(j)
	e.mu.Lock()
	ready, known, repeat := e.restored, e.core.Known(j.ID), e.core.checkRepeat(j)
	// Small jobs that only wait leave the last of the memory to those that can run.
	waitsInVain := size <= guard.SmallBytes && e.core.memoryShort() && !e.core.canRun(j)
	e.mu.Unlock()
	switch {
	case !ready:
		return ErrNotReady
	case known:
		return repeat
	case waitsInVain:
		return ErrNoMemory
	}
	switch err := e.Memory.Reserve(guard.Jobs, size); {
	case errors.Is(err, guard.ErrTooLarge):
		return ErrTooLarge
	case err != nil:
		return ErrNoMemory
	}
	return e.writer.create(ctx, j, q, size)
}

// jobStored passes a stored job to the core.
func (e *Engine) jobStored(j *work.Job, q Queue) {
	e.mu.Lock()
	e.core.Accept(j, q, e.Clock.Now())
	e.mu.Unlock()
	kick(e.planKick)
}

// State returns the job's state as callers of the workspace see it, ErrNotReady or
// ErrUnknownJob.
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

// Cancel cancels the job for a caller of the workspace. nil means that the job's end is
// stored; ErrUncertain that ctx ended before that was known.
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

// Waiting returns the number of the queue's jobs of which no task has started, or ErrNotReady.
func (e *Engine) Waiting(queue string) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.restored {
		return 0, ErrNotReady
	}
	return e.core.Waiting(queue), nil
}

// RegistryChanged makes the engine read the registered workers again. It does nothing before
// the stored state is restored.
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

// kick wakes the reader of c, unless a wake-up is pending.
func kick(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
