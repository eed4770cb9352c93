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
	// confirmTimeout ends a read of the configuration that a caller waits for.
	confirmTimeout = 600 * time.Millisecond
	// confirmRetryInterval is the minimum time between such a read that failed and the
	// next: calls with unknown keys may come at any rate while the store refuses this
	// entry VM's reads.
	confirmRetryInterval = 250 * time.Millisecond
)

// errStoreUnresponsive is returned without a call to the store, as one has just failed.
var errStoreUnresponsive = errors.New("node: the store did not answer a moment ago")

// operatorState holds the operator's configuration and ordered waves, as far as this entry VM
// knows them. A configuration is only ever replaced by a newer version. A wave is an
// operator's order to maintain a set of VMs, some at a time.
type operatorState struct {
	store infra.Store
	clock engine.Clock
	log   logr.Logger

	// onChange is called after each change of the configuration.
	onChange func()

	catchingUp      atomic.Bool   // a read is in progress because another entry VM has a newer version
	confirmMu       sync.Mutex    // held while the configuration is read on demand; guards confirmFailedAt
	confirmFailedAt time.Duration // when the last such read failed; 0: it succeeded

	mu     sync.Mutex
	config *jobfront.Config
	routes *jobfront.Routes
	waves  map[string]fleetowner.OrderedWave
	// confirmedAt is the last time at which the configuration was known to be the
	// newest; 0: never.
	confirmedAt time.Duration
}

// newOperatorState returns a state without a configuration or waves. onChange is called
// after each change of the configuration. The caller doesn't hold mu then, but may hold
// confirmMu, so onChange must not call Confirm.
func newOperatorState(store infra.Store, clock engine.Clock, log logr.Logger, onChange func()) *operatorState {
	return &operatorState{store: store, clock: clock, log: log, onChange: onChange, waves: make(map[string]fleetowner.OrderedWave)}
}

func (o *operatorState) run(ctx context.Context) {
	followPrefix(ctx, o.store, o.log, source{
		prefix: platform.OperatorPrefix,
		replace: func(kvs []infra.KV) {
			for _, kv := range kvs {
				o.apply(kv)
			}
		},
		apply: func(ev infra.Event) {
			if ev.Kind == infra.EventPut {
				o.apply(ev.KV)
			}
		},
		confirm: func(age time.Duration) { o.confirm(o.clock.Now() - age) },
	})
}

// confirm records that the configuration was the newest at that time.
func (o *operatorState) confirm(at time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.config != nil {
		o.confirmedAt = max(o.confirmedAt, at)
	}
}

// Confirmed returns the last time at which the configuration was known to be the newest; 0
// means never.
func (o *operatorState) Confirmed() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.confirmedAt
}

// Age implements jobfront.Configs.
func (o *operatorState) Age() time.Duration { return o.clock.Now() - o.Confirmed() }

// Keys implements jobfront.Configs.
func (o *operatorState) Keys() workspace.Keys {
	if c, _ := o.current(); c != nil {
		return c.Keys
	}
	return nil
}

// Confirm implements jobfront.Configs.
func (o *operatorState) Confirm(ctx context.Context) error {
	asked := o.clock.Now()
	o.confirmMu.Lock()
	defer o.confirmMu.Unlock()
	if o.Confirmed() >= asked {
		return nil // a read for another caller began after this call
	}
	if o.confirmFailedAt != 0 && o.clock.Now() < o.confirmFailedAt+confirmRetryInterval {
		return errStoreUnresponsive
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	sent := o.clock.Now()
	kv, _, err := o.store.Get(ctx, platform.ConfigKey)
	if err != nil {
		o.confirmFailedAt = o.clock.Now()
		return trace.Wrap(err)
	}
	o.confirmFailedAt = 0
	if kv.ModRevision != 0 {
		o.applyConfig(kv)
	}
	o.confirm(sent)
	return nil
}

// Status implements ownerlink.Configs.
func (o *operatorState) Status() ownerlink.ConfigStatus {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.config == nil {
		return ownerlink.ConfigStatus{}
	}
	return ownerlink.ConfigStatus{Version: o.config.Version, AgeMS: (o.clock.Now() - o.confirmedAt).Milliseconds() + 1}
}

// Now implements ownerlink.Configs.
func (o *operatorState) Now() time.Duration { return o.clock.Now() }

// Encoded implements ownerlink.Configs.
func (o *operatorState) Encoded() []byte {
	c, _ := o.current()
	raw, err := msgpack.Marshal(c)
	if err != nil {
		o.log.Error(err, "configuration not encoded for another entry VM")
		return nil
	}
	return raw
}

// NotifyOutdated implements ownerlink.Configs.
func (o *operatorState) NotifyOutdated() {
	if !o.catchingUp.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer o.catchingUp.Store(false)
		if err := o.Confirm(context.Background()); err != nil {
			o.log.Info("another entry VM has a newer configuration, but reading it from the store failed", "error", err.Error())
		}
	}()
}

// Observe implements ownerlink.Configs.
func (o *operatorState) Observe(s ownerlink.ConfigStatus, sent time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.config == nil || s.Version > o.config.Version {
		return true
	}
	if s.Version == o.config.Version {
		o.confirmedAt = max(o.confirmedAt, sent-s.Age())
	}
	return false
}

// Install implements ownerlink.Configs.
func (o *operatorState) Install(encoded []byte, s ownerlink.ConfigStatus, sent time.Duration) {
	c := new(jobfront.Config)
	if err := msgpack.Unmarshal(encoded, c); err != nil {
		o.log.Error(err, "malformed configuration from another entry VM")
		return
	}
	if !o.adopt(c, jobfront.NewRoutes(c.Routes)) {
		return
	}
	o.confirm(sent - s.Age())
	o.log.Info("configuration in force", "version", c.Version, "from", "another entry VM", "routes", len(c.Routes))
	o.onChange()
}

// apply takes over one of the operator's keys: the configuration, or a wave not yet known.
func (o *operatorState) apply(kv infra.KV) {
	if kv.Key == platform.ConfigKey {
		o.applyConfig(kv)
		return
	}
	w, isWave, err := platform.DecodeWave(kv)
	if err != nil {
		o.log.Error(err, "malformed wave", "key", kv.Key)
		return
	}
	if !isWave {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if _, known := o.waves[w.Name]; !known {
		o.waves[w.Name] = fleetowner.OrderedWave{Wave: w, Seen: o.clock.Now()}
		o.log.Info("wave ordered", "wave", w.Name, "vms", len(w.VMs), "duration", w.Duration.String(), "at a time", w.MaxAtATime)
	}
}

func (o *operatorState) applyConfig(kv infra.KV) {
	c, err := platform.DecodeConfig(kv.Value)
	if err != nil {
		o.log.Error(err, "malformed configuration; the previous one stays in force", "revision", int64(kv.ModRevision))
		return
	}
	routes := jobfront.NewRoutes(c.Routes)
	if !o.adopt(c, routes) {
		return
	}
	o.log.Info("configuration in force", "version", c.Version, "revision", int64(kv.ModRevision), "routes", len(c.Routes))
	o.onChange()
}

// adopt puts the configuration in force; false if the one in force is as new or newer.
func (o *operatorState) adopt(c *jobfront.Config, routes *jobfront.Routes) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.config != nil && c.Version <= o.config.Version {
		return false
	}
	o.config, o.routes = c, routes
	return true
}

// current returns the configuration in force and its routes; nil while none is known.
func (o *operatorState) current() (*jobfront.Config, *jobfront.Routes) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.config, o.routes
}

// declared returns what the operator declared for engines; the zero value while no
// configuration is known.
func (o *operatorState) declared() engine.Declared {
	c, _ := o.current()
	if c == nil {
		return engine.Declared{}
	}
	return c.Declared
}

// Ordered implements fleetowner.Waves.
func (o *operatorState) Ordered() []fleetowner.OrderedWave {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := make([]fleetowner.OrderedWave, 0, len(o.waves))
	for _, w := range o.waves {
		out = append(out, w)
	}
	return out
}

// Report implements fleetowner.Waves.
func (o *operatorState) Report(ctx context.Context, wave string, completed bool) error {
	return platform.ReportWave(ctx, o.store, wave, completed)
}
