package dev

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// startQuickWave starts the wave over the pool quick alone.
func (c *cluster) startQuickWave(t *testing.T) {
	t.Helper()
	o := fleet.Order{Change: "quick-wave", Actor: "test"}
	_, err := c.entries[0].Fleet().StartWave(context.Background(), "all", []model.PoolName{"quick"}, o)
	assert.NilError(t, err)
}

// occupy keeps every target of quick busy for about six seconds with a request
// that bypasses the entry VMs. It returns once the requests have started.
func (c *cluster) occupy(t *testing.T) {
	t.Helper()
	for id, target := range c.targets {
		if c.pool(id) != "quick" {
			continue
		}
		target.SetSlow(15)
		go func() {
			// serviceTime takes this path for a long request.
			resp, err := http.Get("http://" + target.Address() + "/25")
			if err == nil {
				resp.Body.Close()
			}
		}()
		c.await(t, "work at "+string(id), func() bool { return target.InFlight() == 1 })
	}
}

func (c *cluster) pool(id model.VMID) model.PoolName {
	for _, vm := range c.decl.VMs {
		if vm.ID == id {
			return vm.Pool
		}
	}
	return ""
}

// leavingVM returns a VM in the state leaving, or an empty ID if there is none.
func (w *observer) leavingVM() model.VMID {
	for id, vm := range w.stored() {
		if vm.State == model.VMLeaving {
			return id
		}
	}
	return ""
}

// A VM leaves for maintenance and waits for a long request; meanwhile two of
// the other three fail. Rebooting it on the earlier grant would leave one VM
// serving where two are required, so it must return to its pool and no VM may
// be rebooted.
func TestNoRebootWhereTheBudgetBrokeMeanwhile(t *testing.T) {
	t.Parallel()
	c := startSmall(t)
	w := c.startObserver(t)
	c.occupy(t)
	c.startQuickWave(t)
	c.await(t, "a VM leaving", func() bool { return w.leavingVM() != "" })
	left := w.leavingVM()
	failed := 0
	for id := range c.targets {
		if id != left && c.pool(id) == "quick" && failed < 2 {
			w.fail(id)
			failed++
		}
	}

	c.await(t, "the VM back in its pool", func() bool {
		assert.Equal(t, c.platform.Machines.Tally().Reboots, 0)
		return w.stored()[left].State == model.VMInPool && c.targets[left].Serving()
	})
	assert.Equal(t, c.serving("quick"), 2)
}

// An entry VM is registered in the store but acknowledges nothing, because it is
// cut off or lags. It may send requests to a leaving VM until it knows of that,
// so no VM may be rebooted before it acknowledges or its lease expires.
func TestNoRebootBeforeEveryEntryVMKnows(t *testing.T) {
	t.Parallel()
	c := startSmall(t)
	w := c.startObserver(t)
	ctx := context.Background()
	ghost, err := json.Marshal(view.EntryRecord{ID: "ghost", Zone: "za", Incarnation: 1})
	assert.NilError(t, err)
	lease, err := c.platform.Store.Grant(ctx, time.Minute)
	assert.NilError(t, err)
	_, err = c.platform.Store.Txn(ctx, infra.Txn{Then: []infra.Op{infra.PutLeased(infra.EntryKey("ghost"), ghost, lease)}})
	assert.NilError(t, err)
	c.await(t, "the silent entry VM known to all", func() bool {
		for _, e := range c.entries {
			if len(e.View().Load().Entries) != len(c.entries)+1 {
				return false
			}
		}
		return true
	})
	c.startQuickWave(t)
	c.await(t, "a VM leaving", func() bool { return w.leavingVM() != "" })
	time.Sleep(2 * time.Second)
	assert.Equal(t, c.platform.Machines.Tally().Reboots, 0)

	assert.NilError(t, c.platform.Store.Revoke(ctx, lease))
	c.resumeUntilEnd(t)
	assert.Assert(t, c.platform.Machines.Tally().Reboots >= 4)
}

// Every VM of the pool runs a six-second request when the wave reaches it. The
// wave must wait for each, as a reboot would cut the request.
func TestPlannedStopsWaitForLongRequests(t *testing.T) {
	t.Parallel()
	c := startSmall(t)
	c.occupy(t)
	c.startQuickWave(t)
	c.resumeUntilEnd(t)
	tally := c.platform.Machines.Tally()
	assert.Equal(t, tally.CutByReboot, 0)
	assert.Equal(t, tally.Reboots, 4)
	for id, target := range c.targets {
		assert.Check(t, c.pool(id) != "quick" || target.Counts().Finished == 1, "%s: %+v", id, target.Counts())
	}
}
