package ownerlink

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/internal/sleep"
)

// ConfigStatus tells how new an entry VM's configuration is. Every request and response carries
// it, so that an entry VM that is refused by the store, or whose watch no longer delivers
// anything, learns of a newer configuration from the entry VMs it communicates with anyway.
// A Version of 0 means that the entry VM has no configuration.
type ConfigStatus struct {
	Version int64 `msgpack:"v"`
	// AgeMS is the time since the configuration was last known to be the newest, in
	// milliseconds.
	AgeMS int64 `msgpack:"a"`
}

// Age returns the time since the configuration was last known to be the newest.
func (s ConfigStatus) Age() time.Duration { return time.Duration(s.AgeMS) * time.Millisecond }

// Configs holds the configuration of this entry VM.
type Configs interface {
	Status() ConfigStatus
	// Encoded returns the whole configuration, for entry VMs that have an older one.
	Encoded() []byte
	// NotifyOutdated reports that another entry VM has a newer configuration. It does not block.
	NotifyOutdated()
	// Observe records the status that another entry VM's configuration had at some time after
	// sent, on this VM's clock. It returns true if that configuration is newer and should be
	// fetched.
	Observe(s ConfigStatus, sent time.Duration) bool
	// Now returns the time on this VM's clock.
	Now() time.Duration
	// Install replaces the configuration by an encoded one that was fetched, and that had the
	// status s at some time after sent.
	Install(packed []byte, s ConfigStatus, sent time.Duration)
}

const (
	// callerWatchTimeout is how long a refused request of a caller waits for this entry VM's own
	// watch of the store before the newer configuration is fetched from a peer. The watch
	// reaches all entry VMs within some milliseconds of each other. If they all fetched what it
	// is about to deliver, an owner with a small link would send the same configuration a
	// hundred times, and nothing else for a second.
	callerWatchTimeout = 100 * time.Millisecond
	// backgroundWatchTimeout is the same timeout when no caller waits.
	backgroundWatchTimeout = 400 * time.Millisecond
	// watchPollInterval is the time between two checks whether the watch has delivered the
	// configuration.
	watchPollInterval = 10 * time.Millisecond
)

// fetchTimeout bounds the call that fetches a newer configuration: a few kilobytes from an
// entry VM that answered a moment ago.
const fetchTimeout = 400 * time.Millisecond

// compareConfigs records the configuration status of the entry VM that answered, and fetches its
// configuration if it is newer and this entry VM's own watch does not deliver it. A request that
// was refused because of the older configuration waits for this; after any other it happens in
// the background.
func (c *Client) compareConfigs(ctx context.Context, address string, resp *response, sent time.Duration) {
	if c.Configs == nil || resp.Config.Version == 0 || !c.Configs.Observe(resp.Config, sent) {
		return
	}
	if resp.Result == resultOutdatedConfig {
		c.catchUp(ctx, callerWatchTimeout, address, resp.Config, sent)
		return
	}
	if c.catchUpRunning.CompareAndSwap(false, true) {
		go func() {
			defer c.catchUpRunning.Store(false)
			c.catchUp(context.WithoutCancel(ctx), backgroundWatchTimeout, address, resp.Config, sent)
		}()
	}
}

// catchUp waits up to timeout for this entry VM's own watch to deliver the newer configuration,
// and fetches it from the address if the watch does not.
func (c *Client) catchUp(ctx context.Context, timeout time.Duration, address string, newer ConfigStatus, observedAt time.Duration) {
	for waited := time.Duration(0); waited < timeout; waited += watchPollInterval {
		if !sleep.For(ctx, watchPollInterval) || !c.Configs.Observe(newer, observedAt) {
			return
		}
	}
	c.fetch(ctx, address, newer, observedAt)
}

// fetch fetches the newer configuration, whose status was observed at some time after
// observedAt. One goroutine fetches at a time; those that waited for it find the configuration
// installed.
func (c *Client) fetch(ctx context.Context, address string, newer ConfigStatus, observedAt time.Duration) {
	c.fetchMu.Lock()
	defer c.fetchMu.Unlock()
	if !c.Configs.Observe(newer, observedAt) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sent := c.Configs.Now()
	resp, err := c.exchange(ctx, Peer{Address: address}, &request{Kind: kindConfig})
	if err != nil {
		c.Log.Info("fetching a newer configuration failed", "from", address, "error", err.Error())
		return
	}
	if c.Configs.Observe(resp.Config, sent) {
		c.Configs.Install(resp.Packed, resp.Config, sent)
	}
}
