package ownerlink

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/internal/sleep"
)

// ConfigStatus is how an entry VM's configuration stands. It goes with every call and answer, so
// that an entry VM which the store turns away, or whose watch has gone silent, hears of a newer
// configuration from those that it speaks with anyway.
type ConfigStatus struct {
	Version int64 `msgpack:"v"`
	// Age is how long ago it was known to be the newest, in milliseconds.
	AgeMS int64 `msgpack:"a"`
}

// Age is how long ago the configuration was known to be the newest.
func (s ConfigStatus) Age() time.Duration { return time.Duration(s.AgeMS) * time.Millisecond }

// Configs is the configuration of this entry VM.
type Configs interface {
	Status() ConfigStatus
	// Encoded returns the whole of it, for entry VMs that have an older one.
	Encoded() []byte
	// NotifyOutdated is told that another entry VM has a newer one. It does not wait.
	NotifyOutdated()
	// Observe is told how another entry VM's stood at some time after sent, on this VM's clock.
	// It returns true where that one is newer and is to be fetched.
	Observe(s ConfigStatus, sent time.Duration) bool
	// Now is that clock.
	Now() time.Duration
	// Install takes a configuration that was fetched, which stood as s at some time after sent.
	Install(packed []byte, s ConfigStatus, sent time.Duration)
}

const (
	// watchLead is how long a caller whose request was turned down waits for the entry VM's own
	// watch of the store, which tells all entry VMs within some milliseconds of each other. Were
	// all of them to fetch what it is about to tell, an owner on a small link would send the
	// same configuration a hundred times, and nothing else for a second.
	watchLead = 100 * time.Millisecond
	// watchGrace is the same where nobody waits.
	watchGrace = 400 * time.Millisecond
	// watchLook separates looks whether the watch has told.
	watchLook = 10 * time.Millisecond
)

// fetchTimeout ends the call for a newer configuration: a few kilobytes from an entry VM that
// answered a moment ago.
const fetchTimeout = 400 * time.Millisecond

// compare takes note of how the answering entry VM's configuration stands, and fetches it where
// it is newer and the own watch does not tell of it. A caller whose request was turned down for
// that waits for it; for all others it goes on beside them.
func (c *Client) compare(ctx context.Context, address string, resp *response, sent time.Duration) {
	if c.Configs == nil || resp.Config.Version == 0 || !c.Configs.Observe(resp.Config, sent) {
		return
	}
	if resp.Result == resultBehind {
		c.catchUp(ctx, watchLead, address, resp.Config, sent)
		return
	}
	if c.catching.CompareAndSwap(false, true) {
		go func() {
			defer c.catching.Store(false)
			c.catchUp(context.WithoutCancel(ctx), watchGrace, address, resp.Config, sent)
		}()
	}
}

// catchUp waits for the own watch to tell of the configuration that was heard of, and fetches it
// where that does not.
func (c *Client) catchUp(ctx context.Context, lead time.Duration, address string, heard ConfigStatus, heardAt time.Duration) {
	for waited := time.Duration(0); waited < lead; waited += watchLook {
		if !sleep.For(ctx, watchLook) || !c.Configs.Observe(heard, heardAt) {
			return
		}
	}
	c.fetch(ctx, address, heard, heardAt)
}

// fetch has one caller at a time ask for the configuration that was heard of at some time after
// heardAt; those who waited find it there.
func (c *Client) fetch(ctx context.Context, address string, heard ConfigStatus, heardAt time.Duration) {
	c.fetching.Lock()
	defer c.fetching.Unlock()
	if !c.Configs.Observe(heard, heardAt) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	sent := c.Configs.Now()
	resp, err := c.exchange(ctx, Peer{Address: address}, &request{Kind: kindConfig})
	if err != nil {
		c.Log.Info("newer configuration not fetched", "from", address, "error", err.Error())
		return
	}
	if c.Configs.Observe(resp.Config, sent) {
		c.Configs.Install(resp.Packed, resp.Config, sent)
	}
}
