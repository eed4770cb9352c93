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

// registry holds the registered workers of all services while this entry VM owns a cell. One
// watch serves all cells that it owns.
type registry struct {
	store    infra.Store
	log      logr.Logger
	onChange func()
	watch    sharedTask

	mu          sync.Mutex
	listed      chan struct{}           // closed after the first list
	workers     map[string]registration // by key in the store
	confirmedAt time.Duration           // every registration up to then is known; 0: none is
	lookingUp   map[work.WorkerID]bool  // lookups in progress
}

// registration is a worker's entry and the revision of its key.
type registration struct {
	engine.WorkerInfo
	revision infra.Revision
}

func newRegistry(store infra.Store, log logr.Logger, onChange func()) *registry {
	r := &registry{store: store, log: log, onChange: onChange, lookingUp: make(map[work.WorkerID]bool), workers: make(map[string]registration)}
	r.watch.reset, r.watch.run = r.reset, r.run
	return r
}

// registryMinInterval batches changes of registrations. Every worker writes its entry each
// second or two, and each answer of a watch counts as a call to the store: at intervals of
// 100 ms they were 40 % of all calls. The delay does no harm: workers that join are looked
// up sooner, and a worker that drains still accepts tasks for two seconds.
const registryMinInterval = 500 * time.Millisecond

// firstListTimeout is the maximum time that a new owner waits for the first list of workers.
const firstListTimeout = 2 * time.Second

// acquire keeps the registry up to date until release is called.
func (r *registry) acquire() { r.watch.acquire() }

// waitListed returns once the workers were listed, after firstListTimeout, or when ctx ends.
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

// reset empties the registry before a new run of the watch.
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

// confirm records that every registration up to that time has been applied.
func (r *registry) confirm(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmedAt = max(r.confirmedAt, at)
}

// knownUntil returns the time up to which every registration is known; 0 while none is.
func (r *registry) knownUntil() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmedAt
}

// replace applies the whole list in one step: a new owner must not take a part of it for
// the whole fleet.
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

// apply applies one change; false if owners need not be notified of it.
func (r *registry) apply(ev infra.Event) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ev.Kind == infra.EventDelete {
		delete(r.workers, ev.KV.Key)
		return false
	}
	old, known := r.workers[ev.KV.Key]
	// A watch that lags may deliver a state older than a lookup's: a worker that is
	// draining would seem ready again for a while.
	if ev.KV.ModRevision < old.revision {
		return false
	}
	info, ok := r.parseLocked(ev.KV)
	if !ok {
		return false
	}
	r.workers[ev.KV.Key] = registration{WorkerInfo: info, revision: ev.KV.ModRevision}
	return !known || old.Draining != info.Draining || old.Address != info.Address || old.Incarnation != info.Incarnation || old.Unreadable != info.Unreadable ||
		old.Capacity != info.Capacity
}

// errNoIncarnation: the registration has no incarnation, though the worker's last one had.
var errNoIncarnation = errors.New("node: registration without the incarnation that the worker registered before")

// parseLocked decodes a registration; false if it is malformed and its worker not known. For
// a known worker it returns the last valid entry marked Unreadable, so that the worker keeps
// its tasks but gets no new ones.
func (r *registry) parseLocked(kv infra.KV) (engine.WorkerInfo, bool) {
	info, err := platform.DecodeWorker(kv)
	last, known := r.workers[kv.Key]
	if err == nil && known && last.Incarnation != 0 && info.Incarnation == 0 {
		err = errNoIncarnation
	}
	if err == nil {
		return info, true
	}
	r.log.Error(err, "malformed registration", "key", kv.Key)
	last.Unreadable = true
	return last.WorkerInfo, known
}

const (
	// lookupTimeout ends the read of a single registration.
	lookupTimeout = 700 * time.Millisecond
	// lookupRetryInterval separates reads of a registration that brought nothing new: a VM
	// is in the platform's list moments before its worker registers, and a VM whose entry
	// is malformed stays in the list.
	lookupRetryInterval = 1 * time.Second
	// maxLookups bounds concurrent reads of registrations. A burst that requests a whole
	// fleet of VMs at once needs ten rounds of them, 40 ms in all.
	maxLookups = 32
)

// lookup reads the registrations of workers that are in the platform's list of VMs but that no
// watch has delivered. Watches are batched, and may deliver nothing for seconds while the
// platform compacts its history: VMs requested for a burst stayed idle for up to 2.7 s while
// callers waited. It does not wait for the reads.
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
