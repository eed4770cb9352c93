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

// configs is an entry VM's configuration, of which only the version matters.
type configs struct {
	mu       sync.Mutex
	standing Standing
	behind   int
	taken    int
	packed   int           // times that it was fetched
	tellsIn  int           // looks until the own watch tells the next version; 0: it does not
	changed  chan struct{} // told of each that is taken, unless nil
}

func (c *configs) Standing() Standing {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.standing
}

func (c *configs) Packed() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.packed++
	return []byte("config")
}

func (c *configs) Behind() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.behind++
}

func (c *configs) Heard(s Standing, _ time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tellsIn == 1 {
		c.standing.Version++
	}
	c.tellsIn = max(0, c.tellsIn-1)
	return s.Version > c.standing.Version
}

func (c *configs) Now() time.Duration { return time.Hour }

func (c *configs) Take(packed []byte, s Standing, _ time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if string(packed) == "config" {
		c.standing = s
		c.taken++
	}
	if c.changed != nil {
		c.changed <- struct{}{}
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

// A key was taken away while the store turns this entry VM away. It would go on to serve the
// key's holder by what it last read; the owner turns the call down instead, and the entry VM
// has the newer configuration by the time it decides again.
func TestACallByAnOldConfigurationIsTurnedDownAndTheNewOneFetched(t *testing.T) {
	newer, older := &configs{standing: Standing{Version: 8}}, &configs{standing: Standing{Version: 7}}
	o := &owner{}
	p := serveConfigs(t, o, newer)
	c := &Client{Log: logr.Discard(), Configs: older}
	err := c.Submit(t.Context(), p, &work.Job{ID: "j1"}, engine.Queue{})
	assert.Assert(t, errors.Is(err, engine.ErrStaleConfig))
	assert.Equal(t, older.Standing().Version, int64(8))
	assert.NilError(t, c.Submit(t.Context(), p, &work.Job{ID: "j1"}, engine.Queue{}))
	assert.Equal(t, older.taken, 1)
}

// The store turns an entry VM away that owns nothing and gets no callers' answers: it still asks
// others whether they live, and hears of the configuration by that.
func TestAnAnswerOfAnyKindTellsOfANewerConfiguration(t *testing.T) {
	older := &configs{standing: Standing{Version: 7}, changed: make(chan struct{}, 1)}
	p := serveConfigs(t, &owner{}, &configs{standing: Standing{Version: 8}})
	c := &Client{Log: logr.Discard(), Configs: older}
	assert.Assert(t, c.Ping(t.Context(), p.Address))
	<-older.changed
	assert.Equal(t, older.Standing().Version, int64(8))
}

// A configuration changes, and the owner's watch tells of it some milliseconds before those of a
// hundred other entry VMs. If each of them fetched it from the owner, its link would carry nothing
// else for a second; the own watch tells it first.
func TestAConfigurationThatTheOwnWatchTellsIsNotFetched(t *testing.T) {
	// The watch tells between the third and the fourth look.
	older := &configs{standing: Standing{Version: 7}, tellsIn: 3}
	newer := &configs{standing: Standing{Version: 8}}
	c := &Client{Log: logr.Discard(), Configs: older}
	p := serveConfigs(t, &owner{}, newer)
	assert.Assert(t, errors.Is(c.Submit(t.Context(), p, &work.Job{ID: "j1"}, engine.Queue{}), engine.ErrStaleConfig))
	assert.Equal(t, older.Standing().Version, int64(8))
	assert.Equal(t, newer.packed, 0)
}

// An owner's own watch is silent. A call by a newer configuration is carried out, and the owner
// reads its own again.
func TestAnOwnerThatIsBehindIsToldSo(t *testing.T) {
	behind := &configs{standing: Standing{Version: 7}}
	p := serveConfigs(t, &owner{}, behind)
	c := &Client{Log: logr.Discard(), Configs: &configs{standing: Standing{Version: 8}}}
	assert.NilError(t, c.Submit(t.Context(), p, &work.Job{ID: "j1"}, engine.Queue{}))
	assert.Equal(t, behind.behind, 1)
}
