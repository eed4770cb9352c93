package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

// Guards against a crash of the entry VM, and of each that takes over after it. The operator
// configured an advised queue in a deployment without an advisor; its first job must wait.
func TestAnAdvisedQueueWithoutAnAdvisorWaits(t *testing.T) {
	e, _ := newEngine(t, &fakeTerm{certain: true})
	b := &rig{t: t, core: e.core, now: e.Clock.Now(), wall: epoch}
	e.core.AllowUntil(b.now + time.Hour)
	e.core.SetCertain(true)
	b.worker("w1")
	e.core.SetFleet([]work.VM{vm("v1", "w1")})
	e.core.Accept(&work.Job{ID: "j1", Queue: queue, Steps: []work.Step{short(1)}}, Queue{Name: queue, Service: service, Advised: true}, b.now)
	o := b.plan()
	assert.Equal(t, len(o.Advice), 1)
	e.advise(t.Context(), o.Advice[0])
	assert.Equal(t, len(b.plan().Starts), 0, "nothing starts without a ticket")
}

// Guards against a job of an advised queue that never starts. If the log line that explains why the
// job waits marks the advisor as asked while all workers are closed, the advisor is never asked.
func TestExplainingAWaitingStepDoesNotCountAsAskingTheAdvisor(t *testing.T) {
	b := newRig(t)
	b.worker("w1")
	b.core.workers["w1"].closedUntil = b.now + refusedPause
	b.core.Accept(&work.Job{ID: "j1", Queue: queue, Steps: []work.Step{short(1)}}, Queue{Name: queue, Service: service, Advised: true}, b.now)
	assert.Equal(t, len(b.plan().Advice), 0, "no worker is open")
	b.now += refusedPause + explainInterval + adviceRetryInterval
	assert.Equal(t, len(b.plan().Advice), 1)
}
