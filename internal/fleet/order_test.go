package fleet

import (
	"context"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

var ctx = context.Background()

const (
	v0 = model.VMID("v0-00")
	v1 = model.VMID("v0-01")
)

// orderWorld returns a simulation of two services of four VMs that need three
// each, and its first node.
func orderWorld(t *testing.T) (*simulation, *node) {
	w := newSimulation(declare(2, 2, 4, 3), 2)
	w.start(t)
	return w, w.nodes[0]
}

func refusal(t *testing.T, err error) *Refusal {
	t.Helper()
	var r *Refusal
	assert.Assert(t, errors.As(err, &r), "not a refusal: %v", err)
	return r
}

func must(t *testing.T, out Outcome, err error) Outcome {
	t.Helper()
	assert.NilError(t, err)
	return out
}

func TestOrdersInConflictNameTheWinner(t *testing.T) {
	cases := []struct {
		name   string
		first  func(n *node) (Outcome, error)
		second func(n *node) (Outcome, error)
		code   Code
		winner string
	}{
		{
			"two moves of one VM",
			func(n *node) (Outcome, error) { return n.Move(ctx, v0, "p1", order("a")) },
			func(n *node) (Outcome, error) { return n.Move(ctx, v0, "p1", order("b")) },
			CodeConflict, "order a",
		}, {
			"drain against move",
			func(n *node) (Outcome, error) { return n.Drain(ctx, v0, order("a")) },
			func(n *node) (Outcome, error) { return n.Move(ctx, v0, "p1", order("b")) },
			CodeConflict, "order a",
		}, {
			"undrain of a VM that is not drained",
			func(n *node) (Outcome, error) { return n.Drain(ctx, v0, order("a")) },
			func(n *node) (Outcome, error) { return n.Undrain(ctx, v1, order("b")) },
			CodeState, "",
		}, {
			"second drain over the budget",
			func(n *node) (Outcome, error) { return n.Drain(ctx, v0, order("a")) },
			func(n *node) (Outcome, error) { return n.Drain(ctx, v1, order("b")) },
			CodeBudget, "",
		}, {
			"a wave started twice",
			func(n *node) (Outcome, error) { return n.StartWave(ctx, "spring", nil, order("a")) },
			func(n *node) (Outcome, error) { return n.StartWave(ctx, "spring", nil, order("b")) },
			CodeConflict, "order a",
		}, {
			"pause of a cancelled wave",
			func(n *node) (Outcome, error) {
				_, _ = n.StartWave(ctx, "spring", nil, order("s"))
				return n.CancelWave(ctx, "spring", order("a"))
			},
			func(n *node) (Outcome, error) { return n.PauseWave(ctx, "spring", order("b")) },
			CodeConflict, "order a",
		}, {
			"a VM that does not exist",
			func(n *node) (Outcome, error) { return n.Drain(ctx, v0, order("a")) },
			func(n *node) (Outcome, error) { return n.Drain(ctx, "v9", order("b")) },
			CodeNotFound, "",
		}, {
			"an outdated revision",
			func(n *node) (Outcome, error) { return n.Drain(ctx, v0, order("a")) },
			func(n *node) (Outcome, error) {
				o := order("b")
				o.IfRevision = 1
				return n.Undrain(ctx, v0, o)
			},
			CodeRevision, "order a",
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			w, n := orderWorld(t)
			out, err := tc.first(n)
			must(t, out, err)

			// The second order is given at an entry VM whose view is not updated yet.
			_, err = tc.second(w.nodes[1])

			r := refusal(t, err)
			assert.Equal(t, r.Code, tc.code, r.Detail)
			assert.Equal(t, r.Winner, tc.winner)
			if tc.winner != "" {
				assert.Equal(t, r.Revision, out.Revision)
			}
		})
	}
}

// The reply to an order is lost after the order took effect. When the operator
// repeats it under the same change ID, the answer must be that it is in effect,
// not that it conflicts with itself.
func TestOrderRepeatedAfterLostReplyIsTheSameOrder(t *testing.T) {
	w, n := orderWorld(t)
	out, err := n.Drain(ctx, v0, order("a"))
	must(t, out, err)
	w.sync()

	out, err = n.Drain(ctx, v0, order("a"))

	assert.Assert(t, must(t, out, err).Repeated)
	n.store.LoseReplies(1)
	out, err = n.StartWave(ctx, "spring", nil, order("b"))
	must(t, out, err)
	out, err = n.StartWave(ctx, "spring", nil, order("b"))
	assert.Assert(t, must(t, out, err).Repeated)
}

func TestOrderWithPlatformOutOfReachIsRefused(t *testing.T) {
	_, n := orderWorld(t)
	n.store.SetDown(true)

	_, err := n.Drain(ctx, v0, order("a"))

	assert.Equal(t, refusal(t, err).Code, CodeUnavailable)
}

func TestOrderOnStaleEvidenceIsRefused(t *testing.T) {
	w, n := orderWorld(t)
	w.clock.Advance(time.Minute)

	_, err := n.Drain(ctx, v0, order("a"))

	assert.Equal(t, refusal(t, err).Code, CodeUnavailable)
}

// The view is older than the move of a VM to another pool. Counting the budget by
// this view would take out one more VM than the budget allows.
func TestDrainCountsByTheStoreWhereTheViewIsBehind(t *testing.T) {
	w, n := orderWorld(t)
	w.nodes[1].isolated = true
	out, err := n.Move(ctx, v0, "p1", order("a"))
	must(t, out, err)
	stale := w.nodes[1].view.Load()
	w.nodes = w.nodes[:1]
	w.runUntil(t, 10*time.Minute, func() bool { return w.vm(v0).Pool == "p1" })
	behind := w.addNode("late")
	fresh := *stale
	fresh.AsOf = w.clock.Now()
	behind.view.Publish(&fresh)

	_, err = behind.Drain(ctx, v1, order("b"))

	assert.Equal(t, refusal(t, err).Code, CodeBudget)
}

func TestMoveKeepsVMInOnePoolAndReleasesItsStop(t *testing.T) {
	w, n := orderWorld(t)
	out, err := n.Move(ctx, v0, "p1", order("a"))
	must(t, out, err)
	w.sync()
	assert.Equal(t, w.vm(v0).Pool, model.PoolName("p0"))
	assert.Equal(t, w.vm(v0).State, model.VMLeaving)

	w.runUntil(t, 10*time.Minute, func() bool { return w.vm(v0).State == model.VMInPool })

	assert.Equal(t, w.vm(v0).Pool, model.PoolName("p1"))
	assert.Equal(t, len(w.machines.rebootedWithWork), 0)
	assert.Equal(t, w.machines.reboots[v0], 0)
	b, err := n.Budget(ctx, "s0")
	assert.NilError(t, err)
	assert.Equal(t, b.Total, 3)
	assert.Equal(t, len(b.Stops), 0)
}

func TestDrainedVMStaysEmptyUntilUndrained(t *testing.T) {
	w, n := orderWorld(t)
	out, err := n.Drain(ctx, v0, order("a"))
	must(t, out, err)
	w.runUntil(t, 10*time.Minute, func() bool { return w.vm(v0).State == model.VMEmpty })
	for range 20 {
		assert.NilError(t, w.advance(time.Minute))
	}
	assert.Equal(t, w.vm(v0).State, model.VMEmpty)

	out, err = n.Undrain(ctx, v0, order("b"))

	must(t, out, err)
	w.runUntil(t, time.Minute, func() bool { return w.vm(v0).State == model.VMInPool })
	assert.Assert(t, !w.machines.vms[v0].drained)
}

// An order must not undrain a VM that a wave holds. Where an order holds a VM, the
// wave must maintain the other VMs first and report what it waits for.
func TestWaveAgainstOrder(t *testing.T) {
	w, n := orderWorld(t)
	out, err := n.Drain(ctx, v0, order("a"))
	must(t, out, err)
	out, err = n.StartWave(ctx, "spring", nil, order("b"))
	must(t, out, err)
	held := func() model.VMID {
		for id, vm := range w.snapshot().VMs {
			if vm.Holder == "wave spring" {
				return id
			}
		}
		return ""
	}
	w.runUntil(t, time.Minute, func() bool { return held() != "" })

	_, err = n.Undrain(ctx, held(), order("c"))

	assert.Equal(t, refusal(t, err).Winner, "wave spring")
	w.runUntil(t, time.Hour, func() bool {
		s, err := n.WaveStatus(ctx, "spring")
		return err == nil && s.Progress.Remaining == 4 && s.Progress.Out == 0
	})
	s, err := n.WaveStatus(ctx, "spring")
	assert.NilError(t, err)
	assert.Equal(t, s.BlockReason, "VM v0-00 is held by order a")
}

// A request that runs for long keeps a drained VM from becoming empty. Waiting must
// not interrupt it; only Cut may.
func TestOnlyACutOrderInterruptsWork(t *testing.T) {
	w, n := orderWorld(t)
	w.machines.vms[v0].drainTime = 24 * time.Hour
	out, err := n.Drain(ctx, v0, order("a"))
	must(t, out, err)
	for range 60 {
		assert.NilError(t, w.advance(time.Minute))
	}
	assert.Equal(t, w.vm(v0).State, model.VMLeaving)

	out, err = n.Cut(ctx, v0, order("b"))

	must(t, out, err)
	w.runUntil(t, time.Minute, func() bool { return w.vm(v0).State == model.VMEmpty })
}

// A VM that is added to the declaration of an existing pool must not count in the
// budgets and must stay out of the pool until it is healthy.
func TestVMDeclaredLaterJoinsPoolOnceHealthy(t *testing.T) {
	w, n := orderWorld(t)
	late := model.VMDecl{ID: "v0-99", Zone: "z0", Rack: "z0-r9", Pool: "p0"}
	d := *w.decl
	d.Generation++
	d.VMs = append(append([]model.VMDecl(nil), d.VMs...), late)
	w.decl = &d
	w.machines.vms[late.ID] = &machine{failed: true}
	w.sync()
	assert.NilError(t, n.Bootstrap(ctx))
	assert.NilError(t, w.advance(time.Second))
	b, err := n.Budget(ctx, "s0")
	assert.NilError(t, err)
	assert.Equal(t, b.Total, 4)

	w.machines.vms[late.ID].failed = false

	w.runUntil(t, time.Minute, func() bool { return w.vm(late.ID).State == model.VMInPool })
	b, err = n.Budget(ctx, "s0")
	assert.NilError(t, err)
	assert.Equal(t, b.Total, 5)
	assert.DeepEqual(t, n.Undeclared(), []model.VMID(nil))
}

func TestPlanAndCheckStopsAgreeWithOrdersAndWriteNothing(t *testing.T) {
	w, n := orderWorld(t)
	before := w.store.Revision()

	checks, err := n.CheckStops(ctx, []model.VMID{v0, v1})

	assert.NilError(t, err)
	assert.Assert(t, checks[0].Allowed)
	assert.Assert(t, !checks[1].Allowed)
	plan, err := n.PlanWave(ctx, "spring", nil)
	assert.NilError(t, err)
	assert.Equal(t, len(plan.Stops), 1)
	assert.Equal(t, w.store.Revision(), before)
	_, err = n.Drain(ctx, v1, order("a"))
	assert.NilError(t, err)
	assert.Assert(t, infra.Revision(0) < w.vm(v1).Revision)
}
