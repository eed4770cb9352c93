package ownerlink

import (
	"context"
	"time"
)

// Standing is how an entry VM's configuration stands. It goes with every call and answer, so
// that an entry VM which the store turns away, or whose watch has gone silent, hears of a newer
// configuration from those that it speaks with anyway.
type Standing struct {
	Version int64 `msgpack:"v"`
	// Age is how long ago it was known to be the newest, in milliseconds.
	AgeMS int64 `msgpack:"a"`
}

// Age is how long ago the configuration was known to be the newest.
func (s Standing) Age() time.Duration { return time.Duration(s.AgeMS) * time.Millisecond }

// Configs is the configuration of this entry VM.
type Configs interface {
	Standing() Standing
	// Packed returns the whole of it, for entry VMs that have an older one.
	Packed() []byte
	// Behind is told that another entry VM has a newer one. It does not wait.
	Behind()
	// Heard is told how another entry VM's stood at some time after sent, on this VM's clock.
	// It returns true where that one is newer and is to be fetched.
	Heard(s Standing, sent time.Duration) bool
	// Now is that clock.
	Now() time.Duration
	// Take takes a configuration that was fetched, which stood as s at some time after sent.
	Take(packed []byte, s Standing, sent time.Duration)
}

// fetchTimeout ends the call for a newer configuration: a few kilobytes from an entry VM that
// answered a moment ago.
const fetchTimeout = 400 * time.Millisecond

// compare takes note of how the answering entry VM's configuration stands, and fetches it where
// it is newer. A caller whose request was turned down for that waits for it; for all others it
// goes on beside them.
func (c *Client) compare(ctx context.Context, address string, resp *response, sent time.Duration) {
	if c.Configs == nil || resp.Config.Version == 0 || !c.Configs.Heard(resp.Config, sent) {
		return
	}
	if resp.Result == resultBehind {
		c.fetch(ctx, address, resp.Config, sent)
		return
	}
	go c.fetch(context.WithoutCancel(ctx), address, resp.Config, sent)
}

// fetch has one caller at a time ask for the configuration that was heard of at some time after
// heardAt; those who waited find it there.
func (c *Client) fetch(ctx context.Context, address string, heard Standing, heardAt time.Duration) {
	c.fetching.Lock()
	defer c.fetching.Unlock()
	if !c.Configs.Heard(heard, heardAt) {
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
	if c.Configs.Heard(resp.Config, sent) {
		c.Configs.Take(resp.Packed, resp.Config, sent)
	}
}
