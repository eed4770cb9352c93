package node

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/jobfront"
	"github.com/pumicestage/pumicestage/platform"
)

// followPause separates tries to read what could not be read.
const followPause = 150 * time.Millisecond

// followTimeout ends one read of a prefix.
const followTimeout = 1500 * time.Millisecond

// follow keeps calling all with everything under the prefix and then each with
// what changes, until ctx ends.
func follow(ctx context.Context, store infra.Store, log logr.Logger, prefix string, all func([]infra.KV), each func(infra.Event)) {
	lost := false
	for ctx.Err() == nil {
		err := followOnce(ctx, store, prefix, func(kvs []infra.KV) {
			if lost {
				log.Info("store is back", "prefix", prefix)
				lost = false
			}
			all(kvs)
		}, each)
		if ctx.Err() != nil {
			return
		}
		if !lost {
			log.Info("store lost", "prefix", prefix, "error", errText(err))
			lost = true
		}
		pause(ctx, followPause)
	}
}

func errText(err error) string {
	if err == nil {
		return "watch ended"
	}
	return err.Error()
}

func followOnce(ctx context.Context, store infra.Store, prefix string, all func([]infra.KV), each func(infra.Event)) error {
	call, cancel := context.WithTimeout(ctx, followTimeout)
	kvs, rev, err := store.Range(call, prefix)
	cancel()
	if err != nil {
		return trace.Wrap(err)
	}
	all(kvs)
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	batches, err := store.Watch(watch, prefix, rev+1)
	if err != nil {
		return trace.Wrap(err)
	}
	for b := range batches {
		if b.Err != nil {
			return trace.Wrap(b.Err)
		}
		for _, ev := range b.Events {
			each(ev)
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// operator holds what the operator wrote, as this entry VM knows it. The
// configuration never steps back.
type operator struct {
	store infra.Store
	clock engine.Clock
	log   logr.Logger

	mu     sync.Mutex
	config *jobfront.Config
	routes *jobfront.Routes
	waves  map[string]engine.OrderedWave
}

func newOperator(store infra.Store, clock engine.Clock, log logr.Logger) *operator {
	return &operator{store: store, clock: clock, log: log, waves: make(map[string]engine.OrderedWave)}
}

func (o *operator) run(ctx context.Context) {
	follow(ctx, o.store, o.log, platform.OperatorPrefix, func(kvs []infra.KV) {
		for _, kv := range kvs {
			o.take(kv)
		}
	}, func(ev infra.Event) {
		if ev.Kind == infra.EventPut {
			o.take(ev.KV)
		}
	})
}

func (o *operator) take(kv infra.KV) {
	if kv.Key == platform.ConfigKey {
		o.takeConfig(kv)
		return
	}
	w, is, err := platform.WaveOf(kv)
	if err != nil {
		o.log.Error(err, "wave is malformed", "key", kv.Key)
		return
	}
	if !is {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, known := o.waves[w.Name]; !known {
		o.waves[w.Name] = engine.OrderedWave{Wave: w, Seen: o.clock.Now()}
		o.log.Info("wave ordered", "wave", w.Name, "vms", len(w.VMs), "duration", w.Duration.String(), "at a time", w.MaxAtATime)
	}
}

func (o *operator) takeConfig(kv infra.KV) {
	c, err := platform.ConfigOf(kv.Value)
	if err != nil {
		o.log.Error(err, "configuration is malformed; the last one stays in force", "revision", int64(kv.ModRevision))
		return
	}
	routes := jobfront.NewRoutes(c.Routes)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.config != nil && c.Version <= o.config.Version {
		return
	}
	o.config, o.routes = c, routes
	o.log.Info("configuration in force", "version", c.Version, "revision", int64(kv.ModRevision), "routes", len(c.Routes))
}

func (o *operator) current() (*jobfront.Config, *jobfront.Routes) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.config, o.routes
}

func (o *operator) declared() engine.Declared {
	c, _ := o.current()
	if c == nil {
		return engine.Declared{}
	}
	return c.Declared
}

// Ordered implements engine.Waves.
func (o *operator) Ordered() []engine.OrderedWave {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]engine.OrderedWave, 0, len(o.waves))
	for _, w := range o.waves {
		out = append(out, w)
	}
	return out
}

// Report implements engine.Waves.
func (o *operator) Report(ctx context.Context, wave string, completed bool) error {
	return platform.ReportWave(ctx, o.store, wave, completed)
}

// registry holds the registered workers while this entry VM owns them.
type registry struct {
	store   infra.Store
	log     logr.Logger
	changed func()

	mu      sync.Mutex
	workers map[string]engine.WorkerInfo
}

func (r *registry) run(ctx context.Context) {
	follow(ctx, r.store, r.log, platform.WorkerPrefix, func(kvs []infra.KV) {
		r.replace(kvs)
		r.changed()
	}, func(ev infra.Event) {
		r.change(ev)
		r.changed()
	})
}

// replace takes the whole list over in one step: a new owner must not see a
// part of it and think the rest empty.
func (r *registry) replace(kvs []infra.KV) {
	workers := make(map[string]engine.WorkerInfo, len(kvs))
	for _, kv := range kvs {
		if info, ok := r.read(kv); ok {
			workers[kv.Key] = info
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers = workers
}

func (r *registry) change(ev infra.Event) {
	info, ok := engine.WorkerInfo{}, false
	if ev.Kind == infra.EventPut {
		info, ok = r.read(ev.KV)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		r.workers[ev.KV.Key] = info
	} else if ev.Kind == infra.EventDelete {
		delete(r.workers, ev.KV.Key)
	}
}

func (r *registry) read(kv infra.KV) (engine.WorkerInfo, bool) {
	info, err := platform.WorkerOf(kv)
	if err != nil {
		r.log.Error(err, "registration is malformed", "key", kv.Key)
	}
	return info, err == nil
}

func (r *registry) list() []engine.WorkerInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]engine.WorkerInfo, 0, len(r.workers))
	for _, w := range r.workers {
		out = append(out, w)
	}
	return out
}

// forget drops what an earlier term read.
func (r *registry) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.workers = nil
}

// registryWait is how long a new owner waits for the first list of workers.
const registryWait = 2 * time.Second

// wait returns once the workers were listed.
func (r *registry) wait(ctx context.Context) {
	const look = 5 * time.Millisecond
	for waited := time.Duration(0); waited < registryWait && ctx.Err() == nil; waited += look {
		r.mu.Lock()
		listed := r.workers != nil
		r.mu.Unlock()
		if listed {
			return
		}
		pause(ctx, look)
	}
}
