package jobfront_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/internal/jobfront"
	"github.com/pumicestage/pumicestage/internal/ownership"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/work"
)

const (
	modelQueue   = "weights"
	modelEntries = 3
	modelWorkers = 2 // of each cell
	modelJobs    = 60
	burstJobs    = 120 // with bursts, more than one transaction takes
	// burstInterval separates bursts of submissions.
	burstInterval = 4 * time.Second
	// maxLateness is how long after it was sent a call without an answer may still take effect.
	maxLateness = 5 * time.Second
)

// modelCells are the services. The queue moves from the first to the second during a run.
var modelCells = []string{"weighting", "weighting-2"}

// modelClock is the fake time of a test's bubble, as the engines and fronts see it.
type modelClock struct{ start time.Time }

func (c modelClock) Now() time.Duration { return time.Minute + time.Since(c.start) }
func (c modelClock) Wall() time.Time    { return time.Now() }

// randomSource makes the random choices of one part of the model. Each part has its own, so that a choice of one
// part changes as little as possible of what others do with the same seed.
type randomSource struct {
	mu  sync.Mutex
	rng *rand.Rand
}

// newRandomSource returns the randomSource of the named part.
func newRandomSource(seed uint64, part string) *randomSource {
	h := fnv.New64a()
	h.Write([]byte(part)) // never returns an error
	return &randomSource{rng: rand.New(rand.NewPCG(seed, h.Sum64()))}
}

func (d *randomSource) intN(n int) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rng.IntN(n)
}

func (d *randomSource) chance(percent int) bool { return d.intN(100) < percent }

// between returns a random time of at least from and less than to milliseconds.
func (d *randomSource) between(from, to int) time.Duration {
	return time.Duration(from*1000+d.intN((to-from)*1000)) * time.Microsecond
}

// cancelModel simulates what surrounds the fronts and engines of several entry VMs: the store, the network
// between all of them, ownership, workers and callers.
type cancelModel struct {
	t       *testing.T
	ctx     context.Context // of the whole run
	stop    context.CancelFunc
	seed    uint64
	bursts  int // bursts of submissions; 0: submissions are spread
	pauses  int // factor of the pauses between faults
	tasks   sync.WaitGroup
	clock   modelClock
	store   *memstore.Store
	entries []*entryVM
	workers []*modelWorker
	jobs    []*modelJob

	*randomSource // for the layout of the model

	mu         sync.Mutex
	healed     bool
	tokens     int64
	owners     map[string]*modelTerm // by cell: the latest term
	doneAcked  map[work.TaskRef]bool // tasks whose end as done was acknowledged to the worker
	violations []string
	suspect    map[work.JobID]bool // jobs with violations
	lines      []string
	counts     map[string]int
}

func newCancelModel(t *testing.T, seed uint64) *cancelModel {
	m := &cancelModel{
		t: t, clock: modelClock{time.Now()}, store: memstore.New(clockwork.NewRealClock()), randomSource: newRandomSource(seed, "layout"), seed: seed,
		owners: make(map[string]*modelTerm), suspect: make(map[work.JobID]bool), counts: make(map[string]int),
		doneAcked: make(map[work.TaskRef]bool),
	}
	m.ctx, m.stop = context.WithCancel(t.Context())
	for _, cell := range modelCells {
		for range modelWorkers {
			m.workers = append(m.workers, &modelWorker{
				m: m, randomSource: newRandomSource(seed, fmt.Sprint("worker", len(m.workers))), id: work.WorkerID(fmt.Sprintf("w%d", len(m.workers))), cell: cell,
				running: make(map[work.TaskRef]*modelRun), highest: make(map[work.TaskRef]int),
			})
		}
	}
	moveAt := m.now() + m.between(2000, 12000)
	for i := range modelEntries {
		v := &entryVM{m: m, randomSource: newRandomSource(seed, fmt.Sprint("entry", i)), name: fmt.Sprintf("e%d", i), engines: make(map[string]*engine.Engine), believed: make(map[string]*modelTerm)}
		v.configuredAt = moveAt + m.between(0, 2000)
		v.store = &modelStore{m: m, randomSource: newRandomSource(seed, fmt.Sprint("store", i)), vm: v, Store: m.store}
		v.cutOff = &jobfront.CutOff{}
		v.log = funcr.New(func(prefix, args string) { m.logf("%s %s %s", v.name, prefix, args) }, funcr.Options{Verbosity: 1})
		o := jobfront.Options{
			Store: v.store, Self: v.name, Clock: m.clock, Log: v.log.WithName("front"),
			Owners: func(string) (ownership.Record, bool) { return ownership.Record{}, false },
			Local:  v.owner,
		}
		if i > 0 {
			o.CutOff = v.cutOff
		}
		v.front = jobfront.New(o)
		m.entries = append(m.entries, v)
	}
	m.pauses = 1 + 3*m.intN(2)
	jobs := modelJobs
	if m.chance(50) {
		m.bursts = 1 + m.intN(3)
		jobs = burstJobs
	}
	for i := range jobs {
		j := &modelJob{randomSource: newRandomSource(seed, fmt.Sprint("job", i)), id: work.JobID(fmt.Sprintf("%016x", 0xa00+i)), step: work.Step{Count: 1 + m.intN(3), Size: work.Resources{MilliCPU: 100, MemoryMB: 100}}}
		if m.chance(50) {
			j.step.LongRunning = true
		} else {
			j.step.Estimate = m.between(100, 2500)
		}
		if m.chance(40) {
			j.workspace = "own"
		}
		j.kept = m.chance(30)
		m.jobs = append(m.jobs, j)
	}
	return m
}

// begin starts everything but the callers.
func (m *cancelModel) begin() {
	for i, v := range m.entries {
		m.tasks.Go(func() { v.injectFaults(newRandomSource(m.seed, fmt.Sprint("faults", i))) })
	}
	for _, cell := range modelCells {
		d := newRandomSource(m.seed, cell)
		m.beginTerm(d, cell)
		m.tasks.Go(func() { m.changeOwners(d, cell) })
	}
	m.tasks.Go(m.tickWorkers)
	m.tasks.Go(func() { m.loseAnswersInBursts(newRandomSource(m.seed, "bursts")) })
}

func (m *cancelModel) now() time.Duration { return m.clock.Now() }

func (m *cancelModel) locked(f func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f()
}

// wait sleeps for a random time of so many milliseconds.
func (m *cancelModel) wait(d *randomSource, from, to int) { sleep.For(m.ctx, d.between(from, to)) }

func (m *cancelModel) faulty() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.healed
}

// anyEntry returns an entry VM that the source chooses.
func (m *cancelModel) anyEntry(d *randomSource) *entryVM { return m.entries[d.intN(len(m.entries))] }

func (m *cancelModel) count(what string) { m.locked(func() { m.counts[what]++ }) }

func (m *cancelModel) logf(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.logLocked(format, args...)
}

func (m *cancelModel) logLocked(format string, args ...any) {
	m.lines = append(m.lines, fmt.Sprintf("%8.3f %s", m.now().Seconds(), fmt.Sprintf(format, args...)))
}

func (m *cancelModel) violate(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.violateLocked(format, args...)
}

func (m *cancelModel) violateLocked(format string, args ...any) {
	m.violations = append(m.violations, fmt.Sprintf(format, args...))
	m.logLocked("VIOLATION: "+format, args...)
	for _, a := range args {
		if id, ok := a.(work.JobID); ok {
			m.suspect[id] = true
		}
	}
}

// heal ends all faults. Late calls still take effect.
func (m *cancelModel) heal() {
	m.mu.Lock()
	m.healed = true
	m.mu.Unlock()
	for _, v := range m.entries {
		v.cutOff.Set(false, m.now())
		m.locked(func() { v.frozenUntil, v.linkFaults = 0, 0 })
		v.store.setMode(storeOK, 0)
	}
	m.logf("the faults end")
}

// end ends the run.
func (m *cancelModel) end() {
	m.stop()
	m.tasks.Wait()
}

// job returns the job with the ID.
func (m *cancelModel) job(id work.JobID) *modelJob {
	return m.jobs[slices.IndexFunc(m.jobs, func(j *modelJob) bool { return j.id == id })]
}

// storedState returns the state of the job's stub in the store.
func (m *cancelModel) storedState(id work.JobID) work.State {
	kv, _, err := m.store.Get(context.Background(), infra.WorkJobKey(string(id)))
	var stub engine.JobStub
	if err != nil || json.Unmarshal(kv.Value, &stub) != nil {
		return ""
	}
	return stub.State
}

// entryVM is an entry VM: a front, the engines of the cells that it owns, and its connections.
type entryVM struct {
	*randomSource
	m            *cancelModel
	name         string
	front        *jobfront.Front
	store        *modelStore
	cutOff       *jobfront.CutOff
	log          logr.Logger
	configuredAt time.Duration // when it learns that the queue has moved

	// Guarded by cancelModel.mu.
	frozenUntil time.Duration
	linkFaults  int                       // percentage of calls to workers and entry VMs that fail
	engines     map[string]*engine.Engine // by cell
	believed    map[string]*modelTerm     // by cell: the owner as far as this entry VM knows
	calmFrom    time.Duration             // when the last disturbance of the entry VM ends or ended
}

// disturbedLocked records that the entry VM is disturbed, or the end of a disturbance. The caller holds
// cancelModel.mu.
func (v *entryVM) disturbedLocked(lasts time.Duration) {
	v.calmFrom = max(v.calmFrom, v.m.now()+lasts)
	if v.store.mode != storeOK || v.linkFaults > 0 {
		v.calmFrom = 1 << 62
	} else if v.calmFrom == 1<<62 {
		v.calmFrom = max(v.m.now()+lasts, v.frozenUntil)
	}
}

// thaw waits while the entry VM is frozen. All its calls begin and end with it.
func (v *entryVM) thaw() {
	for v.m.ctx.Err() == nil {
		var left time.Duration
		v.m.locked(func() { left = v.frozenUntil - v.m.now() })
		if left <= 0 {
			return
		}
		sleep.For(v.m.ctx, min(left, 100*time.Millisecond))
	}
}

// injectFaults changes the entry VM's connections at random until the faults end.
func (v *entryVM) injectFaults(d *randomSource) {
	m := v.m
	for m.faulty() && m.ctx.Err() == nil {
		m.wait(d, 100, 2500*m.pauses)
		if !m.faulty() {
			return
		}
		switch d.intN(12) {
		case 0, 1, 8, 9, 10, 11: // what it wrote shows elsewhere before it knows
			v.store.setMode(storeLosesAnswers, 70+d.intN(31))
		case 2:
			v.store.setMode(storeActsLate, 30+d.intN(60))
		case 3:
			v.store.setMode(storeRefuses, 50+d.intN(51))
		case 4:
			v.store.setMode(storeSilent, 50+d.intN(51))
		case 5:
			v.store.setMode(storeSlow, 50+d.intN(51))
		case 6:
			m.locked(func() {
				v.linkFaults = 10 + d.intN(60)
				v.disturbedLocked(0)
			})
		case 7:
			v.store.setMode(storeRefuses, 100)
			if d.chance(50) {
				m.count("cut off")
				v.cutOff.Set(true, m.now())
			}
		}
		m.wait(d, 200, 3500)
		v.store.setMode(storeOK, 0)
		v.cutOff.Set(false, m.now())
		m.locked(func() {
			v.linkFaults = 0
			v.disturbedLocked(0)
		})
	}
}

// loseAnswersInBursts has the answers to an owner's transactions lost while bursts of submissions come, so
// that many jobs are stored before their owner knows.
func (m *cancelModel) loseAnswersInBursts(d *randomSource) {
	for range m.bursts {
		sleep.For(m.ctx, burstInterval)
		if !m.faulty() || d.chance(30) {
			continue
		}
		v := m.owner(modelCells[d.intN(2)]).vm
		v.store.setMode(storeLosesAnswers, 100)
		m.tasks.Go(func() {
			m.wait(d, 700, 3000)
			v.store.setMode(storeOK, 0)
		})
	}
}

// request carries out a caller's request at the entry VM. answered tells whether the answer arrives within
// the caller's time; a request may be carried out although it doesn't.
func (m *cancelModel) request(d *randomSource, v *entryVM, f func(ctx context.Context) error) (err error, answered bool) {
	timeout := d.between(500, 3000)
	end := m.now() + timeout
	// A caller that stops waiting closes its channel, of which the entry VM may not learn.
	closes := d.chance(50)
	late := time.Duration(0)
	if m.faulty() && d.chance(5) {
		late = d.between(0, 4000)
	}
	loseAnswer := m.faulty() && d.chance(5)
	transit := d.between(0, 5)
	result := make(chan error, 1)
	caller, stop := context.WithTimeout(m.ctx, timeout)
	defer stop()
	m.tasks.Go(func() {
		sleep.For(m.ctx, transit+late)
		v.thaw()
		parent := m.ctx
		if closes {
			parent = caller
		}
		ctx, cancel := context.WithTimeout(parent, timeout)
		defer cancel()
		err := f(ctx)
		v.thaw()
		if m.now() < end && !loseAnswer {
			result <- err
		}
	})
	select {
	case err := <-result:
		return err, true
	case <-caller.Done():
		m.count("requests without an answer")
		return nil, false
	}
}

// owner returns the owner of the cell as far as the entry VM knows: itself, or a connection to another.
func (v *entryVM) owner(cell string) jobfront.Owner {
	v.m.mu.Lock()
	defer v.m.mu.Unlock()
	if e := v.engines[cell]; e != nil {
		return e
	}
	t := v.believed[cell]
	if t == nil || t.vm == v {
		return nil
	}
	return &modelLink{m: v.m, from: v, to: t.vm, cell: cell}
}

// modelLink is the connection from one entry VM to another, the cell's owner. A call that leaves may be
// carried out late, and its answer may be lost. Only the methods that the model needs are implemented.
type modelLink struct {
	jobfront.Owner
	m        *cancelModel
	from, to *entryVM
	cell     string
}

func (l *modelLink) Submit(ctx context.Context, j *work.Job, q engine.Queue) error {
	return l.call(ctx, func(ctx context.Context, e *engine.Engine) error { return e.Submit(ctx, j, q) })
}

func (l *modelLink) Cancel(ctx context.Context, id work.JobID, by work.WorkspaceName) error {
	return l.call(ctx, func(ctx context.Context, e *engine.Engine) error { return e.Cancel(ctx, id, by) })
}

// linkServeTimeout is how long the called entry VM works on a call.
const linkServeTimeout = 4 * time.Second

func (l *modelLink) call(ctx context.Context, f func(ctx context.Context, e *engine.Engine) error) error {
	m := l.m
	l.from.thaw()
	fails := l.from.fails() || l.to.fails()
	fate := l.from.intN(4)
	if ctx.Err() != nil || fails && fate == 0 {
		return engine.ErrNotReady // it did not leave
	}
	answer := make(chan error, 1)
	m.tasks.Go(func() {
		sleep.For(m.ctx, l.from.between(0, 4))
		if fails && fate == 1 {
			return
		}
		if fails && fate == 2 {
			m.count("calls of an owner carried out late")
			sleep.For(m.ctx, l.from.between(0, 3000))
		}
		l.to.thaw()
		var e *engine.Engine
		m.locked(func() { e = l.to.engines[l.cell] })
		err := error(engine.ErrNotReady)
		if e != nil {
			serve, cancel := context.WithTimeout(m.ctx, linkServeTimeout)
			defer cancel()
			err = f(serve, e)
		}
		l.to.thaw()
		sleep.For(m.ctx, l.from.between(0, 4))
		if !fails || fate == 2 {
			answer <- err
		}
	})
	reset := time.NewTimer(time.Hour)
	if fails && l.from.chance(50) {
		reset.Reset(l.from.between(0, 500))
	}
	defer reset.Stop()
	var err error
	select {
	case err = <-answer:
	case <-reset.C:
		err = engine.ErrUncertain
	case <-ctx.Done():
		err = engine.ErrUncertain
	}
	l.from.thaw()
	for _, known := range []error{engine.ErrNotReady, engine.ErrStore, engine.ErrUnknownJob, engine.ErrOtherWorkspace} {
		if errors.Is(err, known) {
			return known
		}
	}
	if err != nil {
		return engine.ErrUncertain
	}
	return nil
}

// fails reports whether a call of the entry VM to a worker or another entry VM fails.
func (v *entryVM) fails() bool {
	v.m.mu.Lock()
	defer v.m.mu.Unlock()
	return !v.m.healed && v.chance(2+v.linkFaults)
}

// modelTerm is a term of ownership.
type modelTerm struct {
	m      *cancelModel
	vm     *entryVM
	cell   string
	token  int64
	cancel context.CancelFunc
	done   chan struct{} // closed when the engine has returned

	// Guarded by cancelModel.mu.
	certainUntil, allowedUntil time.Duration
	begunAt                    time.Duration
}

func (t *modelTerm) Token() int64 { return t.token }

func (t *modelTerm) AllowedUntil() time.Duration {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	return t.allowedUntil
}

func (t *modelTerm) Certain() bool {
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	return t.m.now() < t.certainUntil
}

func (t *modelTerm) End(reason string) {
	t.m.logf("%s: term %d of %s ends: %s", t.vm.name, t.token, t.cell, reason)
	t.m.locked(func() { t.certainUntil, t.allowedUntil = 0, 0 })
	t.cancel()
}

func (t *modelTerm) HandOver() { t.End("handed over") }

// beginTerm makes a random entry VM the owner of the cell.
func (m *cancelModel) beginTerm(d *randomSource, cell string) {
	v := m.anyEntry(d)
	ctx, cancel := context.WithCancel(m.ctx)
	m.mu.Lock()
	m.tokens++
	t := &modelTerm{m: m, vm: v, cell: cell, token: m.tokens, cancel: cancel, done: make(chan struct{}), certainUntil: 1 << 62, allowedUntil: 1 << 62, begunAt: m.now()}
	m.owners[cell] = t
	m.logLocked("%s: term %d of %s begins", v.name, t.token, cell)
	m.mu.Unlock()
	e := engine.New(engine.Options{
		Cell: cell, Store: v.store, Workers: &modelWorkersClient{m: m, vm: v}, Machines: modelMachines{m}, Clock: m.clock, Log: v.log.WithName(fmt.Sprint("engine", t.token)), Term: t,
		Bounds:   engine.Bounds{MaxLease: 10 * time.Second, PaceDelay: 100 * time.Millisecond, StopGrace: modelStopGrace},
		Registry: func() []engine.WorkerInfo { return m.registry(cell) },
		Declared: func() engine.Declared { return m.declared(v) },
	})
	m.locked(func() { v.engines[cell] = e })
	m.tasks.Go(func() {
		defer close(t.done)
		err := e.Run(ctx)
		cancel()
		m.logf("%s: engine of term %d returns: %v", v.name, t.token, err)
		m.locked(func() {
			if v.engines[cell] == e {
				delete(v.engines, cell)
			}
		})
	})
	for _, other := range m.entries {
		delay := d.between(0, 600)
		m.tasks.Go(func() { // each learns of the owner in its own time
			sleep.For(m.ctx, delay)
			m.locked(func() {
				if now := other.believed[cell]; now == nil || now.token < t.token {
					other.believed[cell] = t
				}
			})
		})
	}
}

// owner returns the cell's latest term.
func (m *cancelModel) owner(cell string) *modelTerm {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owners[cell]
}

// changeOwners replaces the cell's owner at random times until the faults end, and whenever a term ends by
// itself.
func (m *cancelModel) changeOwners(d *randomSource, cell string) {
	for m.ctx.Err() == nil {
		t := m.owner(cell)
		pause := d.between(1500, 9000*m.pauses)
		if !m.faulty() {
			pause = time.Hour
		}
		timer := time.NewTimer(pause)
		select {
		case <-t.done:
		case <-timer.C:
			if !m.faulty() {
				continue
			}
			m.removeOwner(d, t)
		case <-m.ctx.Done():
		}
		timer.Stop()
		if m.ctx.Err() == nil {
			m.wait(d, 0, 900) // until the lease has ended and another entry VM has acquired the cell
			m.beginTerm(d, cell)
		}
	}
}

// removeOwner ends the term in one of the ways in which terms end, and returns when the lease has expired.
func (m *cancelModel) removeOwner(d *randomSource, t *modelTerm) {
	now := m.now()
	left := d.between(0, 1500)
	kind := d.intN(4)
	m.count([]string{"owners killed", "owners frozen", "owners cut off", "owners that resigned"}[kind])
	m.logf("%s: term %d of %s is to end (%d)", t.vm.name, t.token, t.cell, kind)
	switch kind {
	case 0:
		t.cancel()
	case 1: // It finds at its thaw that the lease has expired.
		frozen := left + d.between(0, 4000)
		m.locked(func() {
			t.certainUntil, t.allowedUntil = now+left, now+left
			t.vm.frozenUntil = now + frozen
			t.vm.disturbedLocked(frozen)
		})
		m.tasks.Go(func() {
			t.vm.thaw()
			m.wait(d, 0, 300)
			t.cancel()
		})
	case 2: // It can't reach the store and goes on for a while.
		m.locked(func() { t.certainUntil, t.allowedUntil = now+left, now+left+engine.OwnerGrace })
		t.vm.store.setMode(storeRefuses, 100)
		m.tasks.Go(func() {
			sleep.For(m.ctx, left+d.between(0, int(engine.OwnerGrace/time.Millisecond)))
			t.vm.store.setMode(storeOK, 0)
			m.wait(d, 0, 300)
			t.cancel()
		})
	case 3:
		t.End("it resigns")
		<-t.done
		return
	}
	sleep.For(m.ctx, left)
}

// declared returns the configuration that the entry VM has.
func (m *cancelModel) declared(v *entryVM) engine.Declared {
	d := engine.Declared{Version: 1, Services: make(map[string]engine.Service)}
	if m.now() >= v.configuredAt {
		d.Version = 2
	}
	for _, cell := range modelCells {
		d.Services[cell] = engine.Service{Name: cell}
	}
	d.Queues = map[string]engine.Queue{modelQueue: m.queueAt(v)}
	return d
}
