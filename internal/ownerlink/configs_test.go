package ownerlink

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/policy/work"
)

// fakeConfigs is an entry VM's configuration. Only its version matters.
type fakeConfigs struct {
	mu                sync.Mutex
	status            ConfigStatus
	outdatedCalls     int           // calls of NotifyOutdated
	installs          int           // configurations installed
	encodes           int           // calls of Encoded: configurations sent to others
	watchUpdatesAfter int           // calls of Observe until the watch delivers the next version; 0: never
	installed         chan struct{} // receives a value for each call of Install; may be nil
}

func (c *fakeConfigs) Status() ConfigStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.status
}

func (c *fakeConfigs) Encoded() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.encodes++
	return []byte("config")
}

func (c *fakeConfigs) NotifyOutdated() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outdatedCalls++
}

func (c *fakeConfigs) Observe(s ConfigStatus, _ time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.watchUpdatesAfter == 1 {
		c.status.Version++
	}
	c.watchUpdatesAfter = max(0, c.watchUpdatesAfter-1)
	return s.Version > c.status.Version
}

func (c *fakeConfigs) Now() time.Duration { return time.Hour }

func (c *fakeConfigs) Install(packed []byte, s ConfigStatus, _ time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if string(packed) == "config" {
		c.status = s
		c.installs++
	}
	if c.installed != nil {
		c.installed <- struct{}{}
	}
}

func serveConfigs(t *testing.T, o Owner, c Configs) Peer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	s := &Server{Listener: l, Log: logr.Discard(), Owner: func(string) Owner { return o }, Configs: c}
	go func() { defer close(done); s.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return Peer{Cell: "a", Address: l.Addr().String()}
}

// An access key was revoked while the store refuses this entry VM. The entry VM would go on
// serving the holder of the key by its old configuration. The owner must refuse the call, and
// the entry VM must have the newer configuration before it retries.
func TestACallByAnOldConfigurationIsTurnedDownAndTheNewOneFetched(t *testing.T) {
	newer, older := &fakeConfigs{status: ConfigStatus{Version: 8}}, &fakeConfigs{status: ConfigStatus{Version: 7}}
	o := &fakeOwner{}
	p := serveConfigs(t, o, newer)
	c := &Client{Log: logr.Discard(), Configs: older}
	err := c.Submit(t.Context(), p, &work.Job{ID: "j1"}, engine.Queue{})
	assert.Assert(t, errors.Is(err, engine.ErrStaleConfig))
	assert.Equal(t, older.Status().Version, int64(8))
	assert.NilError(t, c.Submit(t.Context(), p, &work.Job{ID: "j1"}, engine.Queue{}))
	assert.Equal(t, older.installs, 1)
}

// An entry VM that is refused by the store owns nothing and forwards no caller's request. It
// must learn of a newer configuration from the answers to its pings.
func TestAnAnswerOfAnyKindTellsOfANewerConfiguration(t *testing.T) {
	older := &fakeConfigs{status: ConfigStatus{Version: 7}, installed: make(chan struct{}, 1)}
	p := serveConfigs(t, &fakeOwner{}, &fakeConfigs{status: ConfigStatus{Version: 8}})
	c := &Client{Log: logr.Discard(), Configs: older}
	assert.Assert(t, c.Ping(t.Context(), p.Address))
	<-older.installed
	assert.Equal(t, older.Status().Version, int64(8))
}

// The owner's watch delivers a configuration some milliseconds before the watches of a hundred
// other entry VMs do. If they all fetched it from the owner, its link would carry nothing else
// for a second. An entry VM must wait for its own watch first.
func TestAConfigurationThatTheOwnWatchTellsIsNotFetched(t *testing.T) {
	// The watch delivers the configuration before the third call of Observe returns.
	older := &fakeConfigs{status: ConfigStatus{Version: 7}, watchUpdatesAfter: 3}
	newer := &fakeConfigs{status: ConfigStatus{Version: 8}}
	c := &Client{Log: logr.Discard(), Configs: older}
	p := serveConfigs(t, &fakeOwner{}, newer)
	assert.Assert(t, errors.Is(c.Submit(t.Context(), p, &work.Job{ID: "j1"}, engine.Queue{}), engine.ErrStaleConfig))
	assert.Equal(t, older.Status().Version, int64(8))
	assert.Equal(t, newer.encodes, 0)
}

// An owner's watch no longer delivers anything. A call by a newer configuration is carried out,
// and the owner is notified that its own is outdated.
func TestAnOwnerWithAnOutdatedConfigurationIsNotified(t *testing.T) {
	outdated := &fakeConfigs{status: ConfigStatus{Version: 7}}
	p := serveConfigs(t, &fakeOwner{}, outdated)
	c := &Client{Log: logr.Discard(), Configs: &fakeConfigs{status: ConfigStatus{Version: 8}}}
	assert.NilError(t, c.Submit(t.Context(), p, &work.Job{ID: "j1"}, engine.Queue{}))
	assert.Equal(t, outdated.outdatedCalls, 1)
}
