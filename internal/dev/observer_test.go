package dev

import (
	"context"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/policy/model"
)

// startObserver starts an observer that stops at the end of the test at the latest.
func (c *cluster) startObserver(t *testing.T) *observer {
	t.Helper()
	w, err := c.watchAll()
	assert.NilError(t, err)
	t.Cleanup(w.stop)
	return w
}

// settle undrains VMs that orders left drained and waits until every VM is in a
// pool and its target serves.
func (w *observer) settle(t *testing.T) {
	t.Helper()
	n := 0
	err := w.c.until(context.Background(), waitTimeout, "every VM back in a pool", func() bool {
		n++
		back := true
		for id, vm := range w.stored() {
			if vm.State == model.VMInPool && w.c.targets[id].Serving() {
				continue
			}
			back = false
			if n%20 == 1 {
				o := fleet.Order{Change: model.ChangeID(fmt.Sprintf("settle-%s-%d", id, n)), Actor: "test"}
				_, _ = w.c.entries[0].Fleet().Undrain(context.Background(), id, o) // refused while a wave holds the VM
			}
		}
		return back
	})
	assert.NilError(t, err, "%+v", w.stored())
}
