package relay

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// checkFinal compares a view with the store, once all is quiet and healed.
func (c *cluster) checkFinal(n *node) {
	kvs, _, err := c.store.Range(c.t.Context(), infra.VMPrefix)
	assert.NilError(c.t, err)
	s := n.view.Load()
	same := len(kvs) == len(s.VMs)
	for _, kv := range kvs {
		var vm model.VM
		assert.NilError(c.t, json.Unmarshal(kv.Value, &vm))
		same = same && s.VMs[vm.ID].Revision == kv.ModRevision
	}
	assert.Check(c.t, same, "%s: %d VMs in the view at %d, %d in the store", n.id, len(s.VMs), s.Revision, len(kvs))
	assert.Check(c.t, n.age() < soon, "%s: view is %v old", n.id, n.age())
}

// check compares each published view with the one before and with what was
// written: nothing steps back, a revision stands for every VM's write up to
// it, and AsOf for everything written before it.
func (c *cluster) check(ctx context.Context, n *node) {
	old := n.view.Load()
	for ctx.Err() == nil {
		changed := n.view.Changed()
		s := n.view.Load()
		if g := s.Generation(); g > 0 && n.first.Load() == 0 {
			n.first.Store(g)
		}
		c.checkStep(n, old, s)
		c.checkClaims(n, s)
		old = s
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (c *cluster) revert(n *node, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.revertLocked(n, format, args...)
}

func (c *cluster) revertLocked(n *node, format string, args ...any) {
	c.reverts = append(c.reverts, string(n.id)+": "+fmt.Sprintf(format, args...))
}

func (c *cluster) checkStep(n *node, old, s *view.Snapshot) {
	if s.Revision < old.Revision || s.Generation() < old.Generation() || s.AsOf.Before(old.AsOf) {
		c.revert(n, "stepped back from %d/%d to %d/%d", old.Revision, old.Generation(), s.Revision, s.Generation())
	}
	c.mu.Lock()
	restored, removed := c.restored, maps.Clone(c.removed)
	c.mu.Unlock()
	if restored {
		return
	}
	for id, vm := range old.VMs {
		if s.VMs[id].Revision < vm.Revision && !removed[id] {
			c.revert(n, "VM %s stepped back from %d to %d", id, vm.Revision, s.VMs[id].Revision)
		}
	}
}

func (c *cluster) checkClaims(n *node, s *view.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.writes {
		known := w.at.Before(s.AsOf)
		if w.generation > 0 && known && s.Generation() < w.generation {
			c.revertLocked(n, "as of %v without generation %d", s.AsOf, w.generation)
		}
		if w.vm == "" || c.removed[w.vm] || s.VMs[w.vm].Revision >= w.revision {
			continue
		}
		if known {
			c.revertLocked(n, "as of %v without VM %s at %d of %v", s.AsOf, w.vm, w.revision, w.at)
		}
		if w.revision <= s.Revision && !c.restored {
			c.revertLocked(n, "revision %d without VM %s at %d", s.Revision, w.vm, w.revision)
		}
	}
}
