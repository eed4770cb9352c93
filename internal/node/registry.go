package node

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/platform"
)

// registry holds the registered workers while this entry VM owns a cell. One
// watch serves all its cells.
type registry struct {
	store   infra.Store
	log     logr.Logger
	changed func()
	follow  shared

	mu      sync.Mutex
	listed  chan struct{} // closed once the workers were listed
	workers map[string]engine.WorkerInfo
}

func newRegistry(store infra.Store, log logr.Logger, changed func()) *registry {
	r := &registry{store: store, log: log, changed: changed}
	r.follow.begin, r.follow.run = r.begin, r.run
	return r
}

// registryPace gathers changes of registrations. Every worker writes its entry
// each second or two; told one by one they are most of all calls to the store. A
// worker that joins is used so much later at most, a twelfth of what a move takes.
const registryPace = 120 * time.Millisecond

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
	r.listed, r.workers = make(chan struct{}), nil
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
	})
}

// replace takes the whole list over in one step: a new owner must not see a
// part of it and think the rest empty.
func (r *registry) replace(kvs []infra.KV) {
	r.mu.Lock()
	defer r.mu.Unlock()
	workers := make(map[string]engine.WorkerInfo, len(kvs))
	for _, kv := range kvs {
		if info, ok := r.readLocked(kv); ok {
			workers[kv.Key] = info
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
	info, ok := r.readLocked(ev.KV)
	if !ok {
		return false
	}
	old, known := r.workers[ev.KV.Key]
	r.workers[ev.KV.Key] = info
	return !known || old.Draining != info.Draining || old.Address != info.Address || old.Unreadable != info.Unreadable
}

// readLocked reads a registration; false where it names no worker. One that was readable
// before names the worker that is known, which takes nothing new.
func (r *registry) readLocked(kv infra.KV) (engine.WorkerInfo, bool) {
	info, err := platform.WorkerOf(kv)
	if err == nil {
		return info, true
	}
	r.log.Error(err, "registration is malformed and names no worker", "key", kv.Key)
	info, known := r.workers[kv.Key]
	info.Unreadable = true
	return info, known
}

// list returns the service's workers.
func (r *registry) list(service string) []engine.WorkerInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []engine.WorkerInfo
	for _, w := range r.workers {
		if w.Service == service {
			out = append(out, w)
		}
	}
	return out
}
