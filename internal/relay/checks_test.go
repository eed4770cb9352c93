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

// checkFinal compares a view with the store after all failures are repaired and
// writes have stopped.
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
	assert.Check(c.t, n.age() < maxPropagationTime, "%s: view is %v old", n.id, n.age())
}

// checkSnapshots compares each published view with the previous one and with
// the accepted writes: nothing goes backwards, a view of a revision holds all
// writes of VMs up to it, and a view holds everything written before its AsOf.
func (c *cluster) checkSnapshots(ctx context.Context, n *node) {
	old := n.view.Load()
	for ctx.Err() == nil {
		changed := n.view.Changed()
		s := n.view.Load()
		if g := s.Generation(); g > 0 && n.firstGeneration.Load() == 0 {
			n.firstGeneration.Store(g)
		}
		c.checkMonotonic(n, old, s)
		c.checkFreshness(n, s)
		old = s
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func (c *cluster) reportViolation(n *node, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportViolationLocked(n, format, args...)
}

func (c *cluster) reportViolationLocked(n *node, format string, args ...any) {
	c.violations = append(c.violations, string(n.id)+": "+fmt.Sprintf(format, args...))
}

func (c *cluster) checkMonotonic(n *node, old, s *view.Snapshot) {
	if s.Revision < old.Revision || s.Generation() < old.Generation() || s.AsOf.Before(old.AsOf) {
		c.reportViolation(n, "revision/generation went back from %d/%d to %d/%d", old.Revision, old.Generation(), s.Revision, s.Generation())
	}
	c.mu.Lock()
	restored, removed := c.restored, maps.Clone(c.removed)
	c.mu.Unlock()
	if restored {
		return
	}
	for id, vm := range old.VMs {
		if s.VMs[id].Revision < vm.Revision && !removed[id] {
			c.reportViolation(n, "VM %s went back from revision %d to %d", id, vm.Revision, s.VMs[id].Revision)
		}
	}
}

// checkFreshness reports every write that the view must hold but lacks: one made
// before the time as of which the view claims to be current, or one of a revision
// no higher than the view's.
func (c *cluster) checkFreshness(n *node, s *view.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.writes {
		covered := w.at.Before(s.AsOf)
		if w.generation > 0 && covered && s.Generation() < w.generation {
			c.reportViolationLocked(n, "view as of %v lacks generation %d", s.AsOf, w.generation)
		}
		if w.vm == "" || c.removed[w.vm] || s.VMs[w.vm].Revision >= w.revision {
			continue
		}
		if covered {
			c.reportViolationLocked(n, "view as of %v lacks VM %s at revision %d, written at %v", s.AsOf, w.vm, w.revision, w.at)
		}
		if w.revision <= s.Revision && !c.restored {
			c.reportViolationLocked(n, "view at revision %d lacks VM %s at revision %d", s.Revision, w.vm, w.revision)
		}
	}
}
