package node

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/fleetowner"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/jobfront"
	"github.com/pumicestage/pumicestage/internal/ownerlink"
	"github.com/pumicestage/pumicestage/platform"
	"github.com/pumicestage/pumicestage/policy/workspace"
)

const (
	// confirmTimeout ends a read of the configuration for which a caller waits.
	confirmTimeout = 600 * time.Millisecond
	// confirmPause separates such reads where they fail: calls with unknown keys come at any
	// rate, also while the store turns this entry VM away.
	confirmPause = 250 * time.Millisecond
)

// errStoreSilent: the store is not asked, as it did not answer a moment ago.
var errStoreSilent = errors.New("node: the store did not answer a moment ago")

// operator holds what the operator wrote, as this entry VM knows it. The
// configuration never steps back.
type operator struct {
	store infra.Store
	clock engine.Clock
	log   logr.Logger

	// changed is called after each change of the configuration.
	changed func()

	catchingUp atomic.Bool   // a read is under way as another entry VM has a newer one
	confirming sync.Mutex    // held while the configuration is read on demand
	failedAt   time.Duration // when such a read last failed; 0: it did not

	mu     sync.Mutex
	config *jobfront.Config
	routes *jobfront.Routes
	waves  map[string]fleetowner.OrderedWave
	// confirmed is when the configuration was last known to be the newest; 0: never.
	confirmed time.Duration
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
		current: func(age time.Duration) { o.confirm(o.clock.Now() - age) },
	})
}

// confirm notes that the configuration was the newest at that time.
func (o *operator) confirm(at time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.config != nil {
		o.confirmed = max(o.confirmed, at)
	}
}

// Confirmed is when the configuration was last known to be the newest.
func (o *operator) Confirmed() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.confirmed
}

// Age implements jobfront.Configs.
func (o *operator) Age() time.Duration { return o.clock.Now() - o.Confirmed() }

// Keys implements jobfront.Configs.
func (o *operator) Keys() workspace.Keys {
	if c, _ := o.current(); c != nil {
		return c.Keys
	}
	return nil
}

// Confirm implements jobfront.Configs.
func (o *operator) Confirm(ctx context.Context) error {
	asked := o.clock.Now()
	o.confirming.Lock()
	defer o.confirming.Unlock()
	if o.Confirmed() >= asked {
		return nil // another caller's read began after this one asked
	}
	if o.failedAt != 0 && o.clock.Now() < o.failedAt+confirmPause {
		return errStoreSilent
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	sent := o.clock.Now()
	kv, _, err := o.store.Get(ctx, platform.ConfigKey)
	if err != nil {
		o.failedAt = o.clock.Now()
		return trace.Wrap(err)
	}
	o.failedAt = 0
	if kv.ModRevision != 0 {
		o.takeConfig(kv)
	}
	o.confirm(sent)
	return nil
}

// Status implements ownerlink.Configs.
func (o *operator) Status() ownerlink.ConfigStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.config == nil {
		return ownerlink.ConfigStatus{}
	}
	return ownerlink.ConfigStatus{Version: o.config.Version, AgeMS: (o.clock.Now() - o.confirmed).Milliseconds() + 1}
}

// Now implements ownerlink.Configs.
func (o *operator) Now() time.Duration { return o.clock.Now() }

// Encoded implements ownerlink.Configs.
func (o *operator) Encoded() []byte {
	c, _ := o.current()
	raw, err := msgpack.Marshal(c)
	if err != nil {
		o.log.Error(err, "configuration not packed for another entry VM")
		return nil
	}
	return raw
}

// NotifyOutdated implements ownerlink.Configs.
func (o *operator) NotifyOutdated() {
	if !o.catchingUp.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer o.catchingUp.Store(false)
		if err := o.Confirm(context.Background()); err != nil {
			o.log.Info("another entry VM has a newer configuration, and the store does not tell it", "error", err.Error())
		}
	}()
}

// Observe implements ownerlink.Configs.
func (o *operator) Observe(s ownerlink.ConfigStatus, sent time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.config == nil || s.Version > o.config.Version {
		return true
	}
	if s.Version == o.config.Version {
		o.confirmed = max(o.confirmed, sent-s.Age())
	}
	return false
}

// Install implements ownerlink.Configs.
func (o *operator) Install(packed []byte, s ownerlink.ConfigStatus, sent time.Duration) {
	c := new(jobfront.Config)
	if err := msgpack.Unmarshal(packed, c); err != nil {
		o.log.Error(err, "another entry VM's configuration is malformed")
		return
	}
	if !o.adopt(c, jobfront.NewRoutes(c.Routes)) {
		return
	}
	o.confirm(sent - s.Age())
	o.log.Info("configuration in force", "version", c.Version, "from", "another entry VM", "routes", len(c.Routes))
	o.changed()
}

func (o *operator) take(kv infra.KV) {
	if kv.Key == platform.ConfigKey {
		o.takeConfig(kv)
		return
	}
	w, is, err := platform.DecodeWave(kv)
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
	c, err := platform.DecodeConfig(kv.Value)
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
