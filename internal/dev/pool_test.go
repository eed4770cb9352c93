package dev

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/internal/infra/standin"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Four operators concurrently move the same VMs to another pool, each at another
// entry VM. One order for each VM must succeed, and the others must be refused
// with the winner or for the budget. In the store's history a VM's pool may
// change only when the VM is empty.
func TestVMIsInOnePoolThroughRacingMoves(t *testing.T) {
	t.Parallel()
	c := startSmall(t)
	w := c.startObserver(t)
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
	w.finish()
	assert.Check(t, errors.Join(w.checkHistory()...))
}

// moves are ordered concurrently: one VM of each service, as a second one of the
// same service would be refused for the reserve that moves must leave.
var moves = map[model.VMID]model.PoolName{"quick-0": "once", "once-0": "quick"}

func inPool(vm model.VM, pool model.PoolName) bool {
	return vm.Pool == pool && vm.State == model.VMInPool
}

func refused(err error) bool {
	var r *fleet.Refusal
	return errors.As(err, &r) && (r.Winner != "" || r.Code == fleet.CodeBudget)
}

// Four operators repeatedly drain the four VMs of one service at once, each
// another VM at another entry VM, while the platform loses replies. Each drain
// alone keeps the budget; all together would leave no VM serving.
func TestRacingDrainsKeepTheBudget(t *testing.T) {
	t.Parallel()
	c := startSmall(t)
	w := c.startObserver(t)
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
	assert.Check(t, w.verdict(l.tally))
}
