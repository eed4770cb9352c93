package node

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// ticking is a clock that goes on by a minute at each look.
type ticking struct{ now time.Duration }

func (c *ticking) Now() time.Duration { c.now += time.Minute; return c.now }

// silentStore is a store that answers unless it has an error.
type silentStore struct{ err error }

func (s *silentStore) Ping(context.Context) error { return s.err }

func (s *silentStore) Peek(context.Context, string) ([]infra.KV, error) {
	var kvs []infra.KV
	for _, zone := range []string{"a", "b", "c"} {
		value := fmt.Appendf(nil, `{"zone":%q,"address":"%s:1"}`, zone, zone)
		kvs = append(kvs, infra.KV{Key: infra.WorkEntryPrefix + zone, Value: value})
	}
	return kvs, s.err
}

// Callers of a zone are refused for as long as it is cut off: its entry VMs say that they
// are ready, and the balancer goes on sending callers there. They turn unready as the store
// and all other zones fall silent, and ready with the first answer.
func TestAnEntryVMThatIsCutOffTurnsUnready(t *testing.T) {
	store := &silentStore{}
	answers := map[string]bool{"b:1": true, "c:1": true}
	var turns []bool
	r := &reach{
		zone: "a", store: store, clock: &ticking{}, log: logr.Discard(),
		ping:   func(_ context.Context, address string) bool { return answers[address] },
		turned: func(cutOff bool) { turns = append(turns, cutOff) },
	}
	look := func() bool { r.look(t.Context()); return r.cutOff.Load() }
	assert.Equal(t, look(), false)
	store.err = errors.New("silent")
	assert.Equal(t, look(), false, "an outage of the store: nobody does better elsewhere")
	assert.Equal(t, r.storeAway.Load(), true)
	answers["b:1"] = false
	assert.Equal(t, look(), false, "zone b is cut off during an outage of the store")
	answers["c:1"] = false
	assert.Equal(t, look(), true)
	assert.Equal(t, look(), true)
	answers["c:1"] = true
	assert.Equal(t, look(), false)
	assert.DeepEqual(t, turns, []bool{true, false})
}
