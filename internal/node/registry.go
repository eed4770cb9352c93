package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/platform"
	"github.com/pumicestage/pumicestage/policy/work"
)

// registry holds the registered workers while this entry VM owns a cell. One
// watch serves all its cells.
type registry struct {
	store    infra.Store
	log      logr.Logger
	onChange func()
	watch    sharedTask

	mu          sync.Mutex
	listed      chan struct{}           // closed once the workers were listed
	workers     map[string]registration // by key
	confirmedAt time.Duration           // all that was registered by then is known; 0: nothing yet
	lookingUp   map[work.WorkerID]bool  // being looked up
}

// registration is a worker's entry and the revision at which it was read.
type registration struct {
	engine.WorkerInfo
	revision infra.Revision
}

func newRegistry(store infra.Store, log logr.Logger, onChange func()) *registry {
	r := &registry{store: store, log: log, onChange: onChange, lookingUp: make(map[work.WorkerID]bool), workers: make(map[string]registration)}
	r.watch.reset, r.watch.run = r.reset, r.run
	return r
}

// registryMinInterval gathers changes of registrations. Every worker writes its entry each
// second or two, and each answer of a watch is a call to the store: a tenth of a second
// apart they were four in ten of all calls. Workers that join are looked up sooner; one
// that leaves takes tasks for two seconds from its notice.
const registryMinInterval = 500 * time.Millisecond

// firstListTimeout is how long a new owner waits for the first list of workers.
const firstListTimeout = 2 * time.Second

// acquire follows the registrations until release.
func (r *registry) acquire() { r.watch.acquire() }

// waitListed returns once the workers were listed, or after registryWait.
func (r *registry) waitListed(ctx context.Context) {
	r.mu.Lock()
	listed := r.listed
	r.mu.Unlock()
	t := time.NewTimer(firstListTimeout)
	defer t.Stop()
	select {
	case <-listed:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (r *registry) release() { r.watch.release() }

func (r *registry) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed, r.workers, r.confirmedAt = make(chan struct{}), make(map[string]registration), 0
}

func (r *registry) run(ctx context.Context) {
	r.mu.Lock()
	listed := r.listed
	r.mu.Unlock()
	var once sync.Once
	followPrefix(ctx, r.store, r.log, source{
		prefix:      platform.WorkerPrefix,
		minInterval: registryMinInterval,
		replace: func(kvs []infra.KV) {
			r.replace(kvs)
			once.Do(func() { close(listed) })
			r.onChange()
		},
		apply: func(ev infra.Event) {
			if r.apply(ev) {
				r.onChange()
			}
		},
		confirm: func(age time.Duration) { r.confirm(bootClock{}.Now() - age) },
	})
}

// confirm notes that all that was registered by then has been taken over.
func (r *registry) confirm(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedAt = max(r.confirmedAt, at)
}

// knownUntil is until when all registrations are known.
func (r *registry) knownUntil() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmedAt
}

// replace takes the whole list over in one step: a new owner must not see a
// part of it and think the rest empty.
func (r *registry) replace(kvs []infra.KV) {
	r.mu.Lock()
	defer r.mu.Unlock()
	workers := make(map[string]registration, len(kvs))
	for _, kv := range kvs {
		if info, ok := r.parseLocked(kv); ok {
			workers[kv.Key] = registration{WorkerInfo: info, revision: kv.ModRevision}
		}
	}
	r.workers = workers
}

// apply takes one apply over; false where nothing of it matters.
func (r *registry) apply(ev infra.Event) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ev.Kind == infra.EventDelete {
		delete(r.workers, ev.KV.Key)
		return false
	}
	old, known := r.workers[ev.KV.Key]
	// A watch that lags tells of a state from before a lookup: a worker that is leaving
	// would be ready again for a while.
	if ev.KV.ModRevision < old.revision {
		return false
	}
	info, ok := r.parseLocked(ev.KV)
	if !ok {
		return false
	}
	r.workers[ev.KV.Key] = registration{WorkerInfo: info, revision: ev.KV.ModRevision}
	return !known || old.Draining != info.Draining || old.Address != info.Address || old.Life != info.Life || old.Unreadable != info.Unreadable ||
		old.Capacity != info.Capacity
}

// errNoIncarnation: a worker that told its life before registers without.
var errNoIncarnation = errors.New("node: registration does not tell the worker's life")

// parseLocked reads a registration; false where it names no worker. One that was readable
// before names the worker that is known, which takes nothing new.
func (r *registry) parseLocked(kv infra.KV) (engine.WorkerInfo, bool) {
	info, err := platform.WorkerOf(kv)
	last, known := r.workers[kv.Key]
	if err == nil && known && last.Life != 0 && info.Life == 0 {
		err = errNoIncarnation
	}
	if err == nil {
		return info, true
	}
	r.log.Error(err, "registration is malformed and names no worker", "key", kv.Key)
	last.Unreadable = true
	return last.WorkerInfo, known
}

const (
	// lookupTimeout ends the read of one registration.
	lookupTimeout = 700 * time.Millisecond
	// lookupRetryInterval separates reads of one that was not found: a VM is in the list moments
	// before its worker registers, and one whose entry can't be read stays in it.
	lookupRetryInterval = 1 * time.Second
	// maxLookups bounds reads of registrations in progress. A burst that draws a whole
	// fleet of today's sizes waits for ten of them one after the other, 40 ms in all.
	maxLookups = 32
)

// lookup reads the registrations of workers that the platform's list of VMs names and no
// watch has told of. Watches are gathered, and may be silent for seconds while the platform
// drops its history: VMs that a burst had drawn stood idle for up to 2.7 s, and callers
// waited.
func (r *registry) lookup(ids []work.WorkerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if r.lookingUp[id] || len(r.lookingUp) >= maxLookups {
			continue
		}
		r.lookingUp[id] = true
		go r.fetch(id)
	}
}

func (r *registry) fetch(id work.WorkerID) {
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	kv, _, err := r.store.Get(ctx, platform.WorkerPrefix+string(id))
	cancel()
	if err != nil {
		r.log.V(1).Info("registration not read", "worker", id, "error", err.Error())
	}
	if kv.ModRevision != 0 && r.apply(infra.Event{Kind: infra.EventPut, KV: kv}) {
		r.onChange()
	} else {
		sleep.For(context.Background(), lookupRetryInterval)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.lookingUp, id)
}

// list returns the service's workers.
func (r *registry) list(service string) []engine.WorkerInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []engine.WorkerInfo
	for _, w := range r.workers {
		if w.Service == service {
			out = append(out, w.WorkerInfo)
		}
	}
	return out
}
