package dev

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// maxDetectionDelay bounds the time from a VM's failure until entry VMs
	// know of it, as list, probe and digest each lag. A planned stop ordered
	// within it may still count the failed VM as serving.
	maxDetectionDelay = 5 * time.Second
	// historyTimeout bounds the wait for the store's history at the end of a
	// run.
	historyTimeout = 45 * time.Second
)

// observer checks a cluster's guarantees from outside, by the stand-in's store,
// the machines and the fake targets, independently of the daemons' own state.
type observer struct {
	c       *cluster
	stop    context.CancelFunc
	reverts reverts
	tasks   sync.WaitGroup

	mu      sync.Mutex
	batches []infra.WatchBatch
	failed  map[model.VMID]time.Time // when the test made it fail; absent while up
	faults  []error                  // violated guarantees
}

// watchAll starts an observer of the store, the entry VMs and drains.
func (c *cluster) watchAll() (*observer, error) {
	ctx, stop := context.WithCancel(context.Background())
	w := &observer{c: c, stop: stop, failed: make(map[model.VMID]time.Time)}
	batches, err := c.platform.Store.Watch(ctx, infra.Root, 1)
	if err != nil {
		stop()
		return nil, trace.Wrap(err)
	}
	w.tasks.Go(func() { w.collect(batches) })
	for _, e := range c.entries {
		w.reverts.watch(ctx, e)
	}
	onDrain := w.checkDrain
	c.onDrained.Store(&onDrain)
	return w, nil
}

func (w *observer) collect(batches <-chan infra.WatchBatch) {
	for b := range batches {
		w.mu.Lock()
		w.batches = append(w.batches, b)
		if b.Err != nil {
			w.faults = append(w.faults, fmt.Errorf("the witness lost its watch: %w", b.Err))
		}
		w.mu.Unlock()
	}
}

// fail makes a VM fail without a planned stop. The returned function starts it
// again.
func (w *observer) fail(vm model.VMID) (recover func()) {
	w.mu.Lock()
	w.failed[vm] = time.Now()
	w.mu.Unlock()
	w.c.platform.Machines.Fail(vm)
	return func() {
		w.c.platform.Machines.Recover(vm)
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.failed, vm)
	}
}

// checkDrain counts the VMs that still serve when one is ordered to drain. Every
// service of its pool must keep its budget; VMs that failed less than
// maxDetectionDelay ago count as serving.
func (w *observer) checkDrain(id model.VMID) {
	vms := w.stored()
	for _, s := range w.c.decl.ServicesOf(vms[id].Pool) {
		total, serving := w.count(s, vms, id)
		if need := s.Budget.MinAvailable.Of(total); serving < need {
			w.mu.Lock()
			w.faults = append(w.faults, fmt.Errorf("drain of %s left %d serving in %s, which needs %d", id, serving, s.Name, need))
			w.mu.Unlock()
		}
	}
}

// count returns the number of a service's VMs, and how many of them serve
// without id.
func (w *observer) count(s *model.Service, vms map[model.VMID]model.VM, id model.VMID) (total, serving int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for other, vm := range vms {
		if !inPools(s, vm.Pool) {
			continue
		}
		total++
		failedAt, failed := w.failed[other]
		excused := failed && time.Since(failedAt) < maxDetectionDelay
		if other != id && (w.c.targets[other].Serving() || excused) {
			serving++
		}
	}
	return total, serving
}

func inPools(s *model.Service, pool model.PoolName) bool {
	for _, p := range s.Pools {
		if p == pool {
			return true
		}
	}
	return false
}

// stored returns the VMs as currently stored.
func (w *observer) stored() map[model.VMID]model.VM {
	vms := make(map[model.VMID]model.VM)
	kvs, _, err := w.c.platform.Store.Range(context.Background(), infra.VMPrefix)
	for _, kv := range kvs {
		var vm model.VM
		if json.Unmarshal(kv.Value, &vm) == nil {
			vms[vm.ID] = vm
		}
	}
	if err != nil || len(vms) != len(w.c.decl.VMs) {
		panic("dev: the stand-in's store lacks VMs")
	}
	return vms
}

// finish stops the observer once it has received the store's history up to
// the current revision.
func (w *observer) finish() {
	until := w.c.platform.Store.Revision()
	_ = w.c.until(context.Background(), historyTimeout, "the store's history", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		n := len(w.batches)
		return n > 0 && (w.batches[n-1].Revision >= until || w.batches[n-1].Err != nil)
	})
	w.stop()
	w.tasks.Wait()
	w.reverts.wait()
}

// verdict returns an error that names every violated guarantee, or nil. All
// faults must be healed and the load must have ended.
func (w *observer) verdict(t *Tally) error {
	w.finish()
	broken := append(w.faults, w.checkHistory()...)
	check := func(n int, what string) {
		if n != 0 {
			broken = append(broken, fmt.Errorf("%d %s", n, what))
		}
	}
	machines := w.c.platform.Machines.Tally()
	check(w.reverts.count(), "times the configuration went back at an entry VM")
	check(machines.CutByReboot, "requests cut by reboots")
	check(machines.TasksCut, "tasks cut by reboots")
	check(w.c.doubleRuns(), "double runs")
	check(w.c.falseNotRuns(t), "requests said not to have run that ran")
	check(int(t.Wrong.Load()), "answers to another request")
	if t.Ran.Load() == 0 {
		broken = append(broken, errors.New("no request ran"))
	}
	return errors.Join(broken...)
}
