package dev

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/internal/platform"
	"github.com/pumicestage/pumicestage/internal/platform/standin"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Four operators order the same VMs into another pool at four entry VMs at
// once. Each VM has one winner; the losers must be told who won. Every version
// of a VM's key that the store ever held names one pool, and it changes only
// once the VM is empty.
func TestVMIsInOnePoolThroughRacingMoves(t *testing.T) {
	t.Parallel()
	c := startSmall(t)
	from := c.platform.Store.Revision() + 1
	var mu sync.Mutex
	won := make(map[model.VMID]int)
	var race sync.WaitGroup
	for vm, to := range moves {
		for n, e := range c.entries {
			race.Go(func() {
				o := fleet.Order{Change: model.ChangeID(fmt.Sprintf("%s-%d", vm, n)), Actor: fmt.Sprintf("op-%d", n)}
				_, err := e.Fleet().Move(context.Background(), vm, to, o)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					won[vm]++
				} else {
					assert.Check(t, refused(err), "%v", err)
				}
			})
		}
	}
	race.Wait()
	c.await(t, "both VMs in their new pool", func() bool {
		vms := c.entries[0].View().Load().VMs
		return inPool(vms["quick-0"].VM, "once") && inPool(vms["once-0"].VM, "quick")
	})

	assert.DeepEqual(t, won, map[model.VMID]int{"quick-0": 1, "once-0": 1})
	assertOnePool(t, c, from)
}

// moves are ordered at once: one VM out of each service, as the second of one
// service would be refused for the reserve that moves leave.
var moves = map[model.VMID]model.PoolName{"quick-0": "once", "once-0": "quick"}

func arrived(last map[string]model.VM) bool {
	return inPool(last[platform.VMKey("quick-0")], "once") && inPool(last[platform.VMKey("once-0")], "quick")
}

func inPool(vm model.VM, pool model.PoolName) bool {
	return vm.Pool == pool && vm.State == model.VMInPool
}

func refused(err error) bool {
	var r *fleet.Refusal
	return errors.As(err, &r) && (r.Winner != "" || r.Code == fleet.CodeBudget)
}

// assertOnePool goes through every version of the VMs' keys.
func assertOnePool(t *testing.T, c *cluster, from platform.Revision) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	until := c.platform.Store.Revision()
	batches, err := c.platform.Store.Watch(ctx, platform.VMPrefix, from)
	assert.NilError(t, err)
	last := make(map[string]model.VM)
	for batch := range batches {
		for _, e := range batch.Events {
			var vm model.VM
			assert.NilError(t, json.Unmarshal(e.KV.Value, &vm))
			before, known := last[e.KV.Key]
			moved := known && before.Pool != vm.Pool
			assert.Assert(t, !moved || before.State == model.VMEmpty || before.State == model.VMProbation,
				"%s went from %s (%s) to %s", vm.ID, before.Pool, before.State, vm.Pool)
			last[e.KV.Key] = vm
		}
		if batch.Revision >= until || arrived(last) {
			return
		}
	}
}

// Four operators drain the four VMs of one service at once, each another one at
// another entry VM, time and again while the platform loses replies. Each by
// itself keeps the budget; all together would leave nobody serving.
func TestRacingDrainsKeepTheBudget(t *testing.T) {
	t.Parallel()
	c := startSmall(t)
	w := c.watchAll(t)
	l, stopLoad := c.startLoad(context.Background(), c.decl.Services[:1])
	granted := 0
	for round := range 4 {
		c.platform.Faults.Set(standin.AnyZone, standin.Fault{Slow: 20 * time.Millisecond, LoseReplies: round})
		var mu sync.Mutex
		var race sync.WaitGroup
		for n, e := range c.entries {
			race.Go(func() {
				o := fleet.Order{Change: model.ChangeID(fmt.Sprintf("race-%d-%d", round, n)), Actor: fmt.Sprintf("op-%d", n)}
				_, err := e.Fleet().Drain(context.Background(), model.VMID(fmt.Sprintf("quick-%d", n)), o)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					granted++
				}
			})
		}
		race.Wait()
		c.platform.Faults.Clear()
		w.settle(t)
	}
	stopLoad()
	assert.Assert(t, granted > 0, "no drain was ever granted")
	w.verdict(t, l)
}
