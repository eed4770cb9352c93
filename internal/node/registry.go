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
	store   infra.Store
	log     logr.Logger
	changed func()
	follow  shared

	mu      sync.Mutex
	listed  chan struct{}           // closed once the workers were listed
	workers map[string]registration // by key
	asOf    time.Duration           // all that was registered by then is known; 0: nothing yet
	asked   map[work.WorkerID]bool  // being looked up
}

// registration is a worker's entry and the revision at which it was read.
type registration struct {
	engine.WorkerInfo
	at infra.Revision
}

func newRegistry(store infra.Store, log logr.Logger, changed func()) *registry {
	r := &registry{store: store, log: log, changed: changed, asked: make(map[work.WorkerID]bool), workers: make(map[string]registration)}
	r.follow.begin, r.follow.run = r.begin, r.run
	return r
}

// registryPace gathers changes of registrations. Every worker writes its entry each
// second or two, and each answer of a watch is a call to the store: a tenth of a second
// apart they were four in ten of all calls. Workers that join are looked up sooner; one
// that leaves takes tasks for two seconds from its notice.
const registryPace = 500 * time.Millisecond

// registryWait is how long a new owner waits for the first list of workers.
const registryWait = 2 * time.Second

// hold follows the registrations until release.
func (r *registry) hold() { r.follow.hold() }

// wait returns once the workers were listed, or after registryWait.
func (r *registry) wait(ctx context.Context) {
	r.mu.Lock()
	listed := r.listed
	r.mu.Unlock()
	t := time.NewTimer(registryWait)
	defer t.Stop()
	select {
	case <-listed:
	case <-t.C:
	case <-ctx.Done():
	}
}

func (r *registry) release() { r.follow.release() }

func (r *registry) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listed, r.workers, r.asOf = make(chan struct{}), make(map[string]registration), 0
}

func (r *registry) run(ctx context.Context) {
	r.mu.Lock()
	listed := r.listed
	r.mu.Unlock()
	var once sync.Once
	follow(ctx, r.store, r.log, source{
		prefix: platform.WorkerPrefix,
		pace:   registryPace,
		all: func(kvs []infra.KV) {
			r.replace(kvs)
			once.Do(func() { close(listed) })
			r.changed()
		},
		each: func(ev infra.Event) {
			if r.change(ev) {
				r.changed()
			}
		},
		current: func(age time.Duration) { r.confirm(bootClock{}.Now() - age) },
	})
}

// confirm notes that all that was registered by then has been taken over.
func (r *registry) confirm(at time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asOf = max(r.asOf, at)
}

// current is until when all registrations are known.
func (r *registry) current() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asOf
}

// replace takes the whole list over in one step: a new owner must not see a
// part of it and think the rest empty.
func (r *registry) replace(kvs []infra.KV) {
	r.mu.Lock()
	defer r.mu.Unlock()
	workers := make(map[string]registration, len(kvs))
	for _, kv := range kvs {
		if info, ok := r.readLocked(kv); ok {
			workers[kv.Key] = registration{WorkerInfo: info, at: kv.ModRevision}
		}
	}
	r.workers = workers
}

// change takes one change over; false where nothing of it matters.
func (r *registry) change(ev infra.Event) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ev.Kind == infra.EventDelete {
		delete(r.workers, ev.KV.Key)
		return false
	}
	old, known := r.workers[ev.KV.Key]
	// A watch that lags tells of a state from before a lookup: a worker that is leaving
	// would be ready again for a while.
	if ev.KV.ModRevision < old.at {
		return false
	}
	info, ok := r.readLocked(ev.KV)
	if !ok {
		return false
	}
	r.workers[ev.KV.Key] = registration{WorkerInfo: info, at: ev.KV.ModRevision}
	return !known || old.Draining != info.Draining || old.Address != info.Address || old.Incarnation != info.Incarnation || old.Unreadable != info.Unreadable ||
		old.Capacity != info.Capacity
}

// errNoLife: a worker that told its life before registers without.
var errNoLife = errors.New("node: registration does not tell the worker's life")

// readLocked reads a registration; false where it names no worker. One that was readable
// before names the worker that is known, which takes nothing new.
func (r *registry) readLocked(kv infra.KV) (engine.WorkerInfo, bool) {
	info, err := platform.DecodeWorker(kv)
	last, known := r.workers[kv.Key]
	if err == nil && known && last.Incarnation != 0 && info.Incarnation == 0 {
		err = errNoLife
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
	// lookupPause separates reads of one that was not found: a VM is in the list moments
	// before its worker registers, and one whose entry can't be read stays in it.
	lookupPause = 1 * time.Second
	// lookupsAtOnce bounds reads of registrations in progress. A burst that draws a whole
	// fleet of today's sizes waits for ten of them one after the other, 40 ms in all.
	lookupsAtOnce = 32
)

// lookup reads the registrations of workers that the platform's list of VMs names and no
// watch has told of. Watches are gathered, and may be silent for seconds while the platform
// drops its history: VMs that a burst had drawn stood idle for up to 2.7 s, and callers
// waited.
func (r *registry) lookup(ids []work.WorkerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		if r.asked[id] || len(r.asked) >= lookupsAtOnce {
			continue
		}
		r.asked[id] = true
		go r.read(id)
	}
}

func (r *registry) read(id work.WorkerID) {
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	kv, _, err := r.store.Get(ctx, platform.WorkerPrefix+string(id))
	cancel()
	if err != nil {
		r.log.V(1).Info("registration not read", "worker", id, "error", err.Error())
	}
	if kv.ModRevision != 0 && r.change(infra.Event{Kind: infra.EventPut, KV: kv}) {
		r.changed()
	} else {
		sleep.For(context.Background(), lookupPause)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.asked, id)
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
