package dev

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/config"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/gateway"
	"github.com/pumicestage/pumicestage/policy/model"
)

// A zone is cut off, an entry VM in it restarts without state, and operators
// apply changes meanwhile. The restarted entry VM must take the configuration of
// its peer in the zone and serve callers with it. Once the zone is connected
// again, every entry VM must reach the newest generation, and none may ever go
// back to an older one.
func TestConfigurationIsInForceEverywhereAndNeverReverts(t *testing.T) {
	t.Parallel()
	c := startSmall(t)
	ctx := context.Background()
	var reverts reverts
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	for _, e := range c.entries {
		reverts.watch(watching, e)
	}

	c.applyTimes(t, 3)
	c.await(t, "generation 5 everywhere", func() bool { return c.generationEverywhere(5) })
	c.isolate("zb", true)
	c.entries[3].kill()
	back, err := c.startEntry(ctx, 3, "zb", []string{c.entries[2].Self().Peer})
	assert.NilError(t, err)
	c.entries[3] = back
	reverts.watch(watching, back)
	c.await(t, "the peer's generation in the cut-off zone", func() bool { return back.View().Load().Generation() == 5 })
	c.await(t, "an answer from the cut-off zone", func() bool {
		return post(http.DefaultClient, back.Self().Caller, "quick", "from-the-cut") == "ran"
	})
	c.applyTimes(t, 2)
	c.await(t, "generation 7 in the other zone", func() bool { return c.entries[0].View().Load().Generation() == 7 })
	assert.Equal(t, back.View().Load().Generation(), uint64(5))
	c.isolate("zb", false)
	c.await(t, "generation 7 everywhere", func() bool { return c.generationEverywhere(7) })

	stopWatching()
	reverts.wait()
	assert.Equal(t, reverts.count(), 0)
}

// An older declaration is written to the store directly, as a restore from a
// backup does. Every entry VM must keep the newer one that it had accepted, even
// if it loses its connections and reads everything again.
func TestConfigurationOutlivesAnOlderOneInTheStore(t *testing.T) {
	t.Parallel()
	c := startSmall(t)
	ctx := context.Background()
	old, _, err := c.platform.Store.Get(ctx, infra.ConfigKey)
	assert.NilError(t, err)
	c.applyTimes(t, 1)
	c.await(t, "generation 3 everywhere", func() bool { return c.generationEverywhere(3) })
	var reverts reverts
	watching, stopWatching := context.WithCancel(ctx)
	for _, e := range c.entries {
		reverts.watch(watching, e)
	}

	_, err = c.platform.Store.Txn(ctx, infra.Txn{Then: []infra.Op{infra.Put(infra.ConfigKey, old.Value)}})
	assert.NilError(t, err)
	time.Sleep(500 * time.Millisecond)
	c.isolate("zb", true)
	time.Sleep(500 * time.Millisecond)
	c.isolate("zb", false)
	time.Sleep(2 * time.Second)

	stopWatching()
	reverts.wait()
	assert.Equal(t, reverts.count(), 0)
	assert.Assert(t, c.generationEverywhere(3))
}

// applyTimes applies n changes over a connection that is not cut off.
func (c *cluster) applyTimes(t *testing.T, n int) {
	t.Helper()
	store := gateway.New(gateway.Options{Endpoints: []string{c.base}})
	for range n {
		c.decl.Services[0].Limit++
		change := model.ChangeID(fmt.Sprintf("limit-%d", c.decl.Services[0].Limit))
		_, err := config.Apply(context.Background(), store, c.decl, config.ApplyOptions{Change: change, By: "test", At: time.Now()})
		assert.NilError(t, err)
	}
}

func (c *cluster) generationEverywhere(g uint64) bool {
	for _, e := range c.entries {
		if e.View().Load().Generation() != g {
			return false
		}
	}
	return true
}
