package node

import (
	"context"
	"errors"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/ownership"
)

// Callers of a zone are refused for as long as it is cut off: its entry VMs say that they
// are ready, and the balancer goes on sending callers there. They turn unready as the store
// and all other zones fall silent, and ready with the first answer.
func TestAnEntryVMThatIsCutOffTurnsUnready(t *testing.T) {
	var storeErr error
	peers := map[string]bool{"b:1": true, "c:1": true}
	var turns []bool
	r := &reach{
		store:     func(context.Context) error { return storeErr },
		elsewhere: func() []ownership.Record { return []ownership.Record{{Address: "b:1"}, {Address: "c:1"}} },
		ping:      func(_ context.Context, address string) bool { return peers[address] },
		turned:    func(cutOff bool) { turns = append(turns, cutOff) },
		log:       logr.Discard(),
	}
	look := func() bool { r.look(t.Context()); return r.cutOff.Load() }
	assert.Equal(t, look(), false)
	storeErr = errors.New("silent")
	assert.Equal(t, look(), false, "an outage of the store: nobody does better elsewhere")
	peers["b:1"] = false
	assert.Equal(t, look(), false)
	peers["c:1"] = false
	assert.Equal(t, look(), true)
	assert.Equal(t, look(), true)
	peers["c:1"] = true
	assert.Equal(t, look(), false)
	assert.DeepEqual(t, turns, []bool{true, false})
}
