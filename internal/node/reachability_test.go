package node

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/jobfront"
)

// tickingClock is a clock that advances by a minute with each reading.
type tickingClock struct{ now time.Duration }

func (c *tickingClock) Now() time.Duration { c.now += time.Minute; return c.now }

// failingStore is a store whose calls return err.
type failingStore struct{ err error }

func (s *failingStore) Ping(context.Context) error { return s.err }

func (s *failingStore) Peek(context.Context, string) ([]infra.KV, error) {
	var kvs []infra.KV
	for _, zone := range []string{"a", "b", "c"} {
		value := fmt.Appendf(nil, `{"zone":%q,"address":"%s:1"}`, zone, zone)
		kvs = append(kvs, infra.KV{Key: infra.WorkEntryPrefix + zone, Value: value})
	}
	return kvs, s.err
}

// While a zone is cut off, its entry VMs can only refuse callers, but the balancer goes on
// sending callers there as long as they report ready. They turn unready once neither the store
// nor any other zone answers, and ready with the first answer.
func TestAnEntryVMThatIsCutOffTurnsUnready(t *testing.T) {
	store := &failingStore{}
	answers := map[string]bool{"b:1": true, "c:1": true}
	var turns []bool
	r := &reachability{
		zone: "a", store: store, clock: &tickingClock{}, log: logr.Discard(),
		ping:           func(_ context.Context, address string) bool { return answers[address] },
		onCutOffChange: func(cutOff bool) { turns = append(turns, cutOff) },
	}
	poll := func() bool { r.poll(t.Context()); return r.cutOff.Load() }
	assert.Equal(t, poll(), false)
	store.err = errors.New("silent")
	assert.Equal(t, poll(), false, "an outage of the store: other entry VMs are no better off")
	assert.Equal(t, r.storeUnreachable.Load(), true)
	answers["b:1"] = false
	assert.Equal(t, poll(), false, "zone b is cut off during an outage of the store")
	answers["c:1"] = false
	assert.Equal(t, poll(), true)
	assert.Equal(t, poll(), true)
	answers["c:1"] = true
	assert.Equal(t, poll(), false)
	assert.DeepEqual(t, turns, []bool{true, false})
}

// An entry VM that is cut off, shuts down, or has no configuration yet reports not ready.
func TestReadiness(t *testing.T) {
	n := &Node{operator: newOperatorState(nil, bootClock{}, logr.Discard(), func() {}), reach: &reachability{}}
	status := func() int {
		w := httptest.NewRecorder()
		n.serveReady(w, nil)
		return w.Code
	}
	assert.Equal(t, status(), http.StatusServiceUnavailable, "no configuration yet")
	n.operator.adopt(&jobfront.Config{Declared: engine.Declared{Version: 1}}, jobfront.NewRoutes(nil))
	assert.Equal(t, status(), http.StatusOK)
	n.reach.cutOff.Store(true)
	assert.Equal(t, status(), http.StatusServiceUnavailable)
	n.reach.cutOff.Store(false)
	assert.Equal(t, status(), http.StatusOK)
	n.shuttingDown.Store(true)
	assert.Equal(t, status(), http.StatusServiceUnavailable)
}

// An entry VM shuts down during an outage of the store. It keeps its duties until the store is
// reachable again, but no longer than the shutdown allows.
func TestDutiesAreKeptWhileTheStoreIsUnreachable(t *testing.T) {
	n := &Node{settings: &Settings{ShutdownTimeout: time.Hour}, reach: &reachability{}}
	n.awaitStore(n.clock.Now())
	n.reach.storeUnreachable.Store(true)
	kept := make(chan struct{})
	go func() { n.awaitStore(n.clock.Now()); close(kept) }()
	select {
	case <-kept:
		t.Fatal("duties handed over while the store is unreachable")
	case <-time.After(3 * storePollInterval):
	}
	n.reach.storeUnreachable.Store(false)
	<-kept
	n.reach.storeUnreachable.Store(true)
	n.settings.ShutdownTimeout = handoverMargin
	n.awaitStore(n.clock.Now()) // returns
}
