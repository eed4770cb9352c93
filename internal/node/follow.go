package node

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/fleetowner"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/jobfront"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/platform"
)

// followPause separates tries to read what could not be read.
const followPause = 150 * time.Millisecond

// source is a prefix of the store to be followed.
type source struct {
	prefix string
	// pace is the least time between two answers of the watch: what changes
	// often is then told together, as each answer is a priced call. 0: none. After an answer
	// that left something out the next is asked for at once: three thousand workers write
	// two thousand times a second, an answer holds five hundred, and at one each half
	// second a worker that leaves was known only after seconds.
	pace time.Duration
	all  func([]infra.KV) // takes everything under the prefix over
	each func(infra.Event)
}

// follow keeps the source's readers up to date until ctx ends.
func follow(ctx context.Context, store infra.Store, log logr.Logger, s source) {
	prefix := s.prefix
	lost := false
	for ctx.Err() == nil {
		err := followOnce(ctx, store, s, func() {
			if lost {
				log.Info("store is back", "prefix", prefix)
				lost = false
			}
		})
		if ctx.Err() != nil {
			return
		}
		if !lost {
			log.Info("store lost", "prefix", prefix, "error", errText(err))
			lost = true
		}
		sleep.For(ctx, followPause)
	}
}

func errText(err error) string {
	if err == nil {
		return "watch ended"
	}
	return err.Error()
}

func followOnce(ctx context.Context, store infra.Store, s source, readable func()) error {
	// Each page of the list has its time. All together would never do for a long list at a
	// slow store.
	kvs, rev, err := store.Range(ctx, s.prefix)
	if err != nil {
		return trace.Wrap(err)
	}
	readable()
	s.all(kvs)
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	batches, err := store.Watch(watch, s.prefix, rev+1)
	if err != nil {
		return trace.Wrap(err)
	}
	for b := range batches {
		if b.Err != nil {
			return trace.Wrap(b.Err)
		}
		for _, ev := range b.Events {
			s.each(ev)
		}
		if s.pace > 0 && !b.More {
			sleep.For(ctx, s.pace)
		}
	}
	return nil
}

// operator holds what the operator wrote, as this entry VM knows it. The
// configuration never steps back.
type operator struct {
	store infra.Store
	clock engine.Clock
	log   logr.Logger

	// changed is called after each change of the configuration.
	changed func()

	mu     sync.Mutex
	config *jobfront.Config
	routes *jobfront.Routes
	waves  map[string]fleetowner.OrderedWave
}

func newOperator(store infra.Store, clock engine.Clock, log logr.Logger, changed func()) *operator {
	return &operator{store: store, clock: clock, log: log, changed: changed, waves: make(map[string]fleetowner.OrderedWave)}
}

func (o *operator) run(ctx context.Context) {
	follow(ctx, o.store, o.log, source{
		prefix: platform.OperatorPrefix,
		all: func(kvs []infra.KV) {
			for _, kv := range kvs {
				o.take(kv)
			}
		},
		each: func(ev infra.Event) {
			if ev.Kind == infra.EventPut {
				o.take(ev.KV)
			}
		},
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
		o.waves[w.Name] = fleetowner.OrderedWave{Wave: w, Seen: o.clock.Now()}
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
	if !o.adopt(c, routes) {
		return
	}
	o.log.Info("configuration in force", "version", c.Version, "revision", int64(kv.ModRevision), "routes", len(c.Routes))
	o.changed()
}

func (o *operator) adopt(c *jobfront.Config, routes *jobfront.Routes) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.config != nil && c.Version <= o.config.Version {
		return false
	}
	o.config, o.routes = c, routes
	return true
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

// Ordered implements fleetowner.Waves.
func (o *operator) Ordered() []fleetowner.OrderedWave {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]fleetowner.OrderedWave, 0, len(o.waves))
	for _, w := range o.waves {
		out = append(out, w)
	}
	return out
}

// Report implements fleetowner.Waves.
func (o *operator) Report(ctx context.Context, wave string, completed bool) error {
	return platform.ReportWave(ctx, o.store, wave, completed)
}
