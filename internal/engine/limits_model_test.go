package engine

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/work"
	"github.com/pumicestage/pumicestage/policy/workspace"
)

// limitWorld extends the model of take-overs by a workspace that all jobs belong to: its limit, the
// stored ledger, and a second cell that claims, uses and gives back parts of the limit.
type limitWorld struct {
	m *model

	limits      []limitChange // oldest first
	ledgerValue []byte        // of the ledger
	ledgerRev   infra.Revision
	lastRev     infra.Revision

	otherUse   workspace.Parts // parts that the other cell may use
	aboveLimit int             // starts above the limit, but within the tolerance of checkStart
	starts     int
}

type limitChange struct {
	at    time.Duration
	limit work.Resources
}

const (
	limitedName  = work.WorkspaceName("red")
	otherCell    = "tabulation"
	configWithin = 3 * time.Second
)

// maxLimitAge is how long after a change of the limit a task may still be started under the previous one:
// until the new limit must be in force, plus the time from an order to the worker's deadline for it.
const maxLimitAge = configWithin + startValidity

// limitedStep returns a step of small tasks, many of which fit on a worker.
func limitedStep(count int) work.Step {
	return work.Step{Count: count, Size: work.Resources{MilliCPU: 500, MemoryMB: 100}, Estimate: time.Second}
}

// taskLimit returns a limit of so many tasks of limitedStep's size.
func taskLimit(n int64) work.Resources { return limitedStep(1).Size.Times(n) }

// limitedOpenJobs is the number of jobs that are open at a time: more than the limit lets run.
const limitedOpenJobs = 5

func newLimitWorld(m *model) *limitWorld {
	w := &limitWorld{m: m, lastRev: 100}
	clear(m.jobs)
	w.declareLimit(20)
	w.replaceEndedJobs()
	w.claimForOtherCell()
	return w
}

// replaceEndedJobs submits new jobs until limitedOpenJobs are open.
func (w *limitWorld) replaceEndedJobs() {
	for open := len(w.m.jobs) - len(w.m.ended); open < limitedOpenJobs; open++ {
		id := work.JobID(fmt.Sprintf("l%d", len(w.m.jobs)))
		second := limitedStep(6)
		second.After = []int{0}
		r := &JobRecord{
			Job:   &work.Job{ID: id, Queue: queue, Workspace: limitedName, Spec: "spec", Steps: []work.Step{limitedStep(12), second}, Accepted: epoch},
			Queue: Queue{Name: queue, Service: service, MaxAttempts: 50},
		}
		w.m.jobs[id] = r
		w.m.current().core.Accept(r.Job, r.Queue, w.m.now)
	}
}

func (w *limitWorld) declareLimit(tasks int64) {
	w.limits = append(w.limits, limitChange{at: w.m.now, limit: taskLimit(tasks)})
}

func (w *limitWorld) limit() work.Resources { return w.limits[len(w.limits)-1].limit }

// maxLimitInForce returns the highest limit, by resource, that a task may be started under now.
func (w *limitWorld) maxLimitInForce() work.Resources {
	most := w.limit()
	for i := len(w.limits) - 2; i >= 0 && w.limits[i+1].at+maxLimitAge > w.m.now; i-- {
		most = most.Max(w.limits[i].limit)
	}
	return most
}

// deliverConfig gives the owner the newest configuration and confirms it.
func (w *limitWorld) deliverConfig(o *modelOwner) {
	o.core.Configure(Declared{
		Version: int64(len(w.limits)) + 2, Queues: map[string]Queue{queue: {Name: queue, Service: service, MaxAttempts: 50}},
		Services:   map[string]Service{service: {Name: service}, otherCell: {Name: otherCell}},
		Workspaces: map[work.WorkspaceName]workspace.Workspace{limitedName: {Name: limitedName, Limit: w.limit()}},
	})
	o.core.Confirm(w.m.now)
}

// checkStart fails the test if a start has brought both cells together above the limit, by more than a
// tenth of the limit and one task. That tolerance covers usage that owners can't know of.
func (w *limitWorld) checkStart() {
	var runs work.Resources
	for _, worker := range w.m.workers {
		for task := range worker.running {
			if !worker.dead && w.m.jobs[task.Job] != nil {
				runs = runs.Plus(limitedStep(1).Size)
			}
		}
	}
	limit := w.maxLimitInForce()
	runs = runs.Plus(w.otherUse.Of(limit))
	w.starts++
	if runs.MilliCPU > limit.MilliCPU {
		w.aboveLimit++
	}
	tolerance := limit.MilliCPU/10 + limitedStep(1).Size.MilliCPU
	assert.Assert(w.m.t, runs.MilliCPU <= limit.MilliCPU+tolerance, "%d milli-CPU are in use or usable by the other cell, the limit is %d", runs.MilliCPU, limit.MilliCPU)
}

// processClaims simulates the owner's ledger transactions, which are applied now or late and are answered
// or not, and its reads of the ledger.
func (w *limitWorld) processClaims(o *modelOwner) {
	if o.stopped {
		return
	}
	for _, claim := range o.core.Claims(w.m.now) {
		if !w.m.faultsOff && w.m.chance(15) {
			o.orders = append(o.orders, func() { w.store(o, claim) }) // late
			o.core.ClaimFailed(claim, true)
			continue
		}
		stored, rev := w.store(o, claim)
		switch {
		case !w.m.faultsOff && w.m.chance(15):
			o.core.ClaimFailed(claim, true)
		case stored:
			o.core.ClaimStored(claim, rev)
		default:
			o.core.ApplyLedger(claim.workspace, w.ledgerValue, w.ledgerRev)
			o.core.ClaimFailed(claim, false)
		}
	}
	if w.m.chance(30) {
		o.core.MarkLedgersStale([]work.WorkspaceName{limitedName})
	}
	if o.core.ledgerReadDue(w.m.now) {
		o.core.ApplyNewerLedger(infra.KV{Key: infra.WorkLimitKey(string(limitedName)), Value: w.ledgerValue, ModRevision: w.ledgerRev})
	}
}

// store applies the claim on the conditions of its transaction: the owner's key and the ledger must be
// unchanged. It reports whether it did, and the ledger's new revision.
func (w *limitWorld) store(o *modelOwner, claim shareClaim) (bool, infra.Revision) {
	if o.core.token != w.m.commit || claim.rev != w.ledgerRev {
		return false, 0
	}
	w.put(claim.Ledger)
	return true, w.ledgerRev
}

// put writes the ledger to the simulated store, under a new revision.
func (w *limitWorld) put(l workspace.Ledger) {
	raw, err := json.Marshal(l)
	assert.NilError(w.m.t, err)
	w.lastRev++
	w.ledgerValue, w.ledgerRev = raw, w.lastRev
}

// claimForOtherCell has the other cell claim parts for a random need, or give all back once no
// more faults are injected.
func (w *limitWorld) claimForOtherCell() {
	var l workspace.Ledger
	if w.ledgerRev != 0 {
		assert.NilError(w.m.t, json.Unmarshal(w.ledgerValue, &l))
	}
	need := workspace.Parts(0)
	if !w.m.faultsOff {
		need = workspace.Whole * workspace.Parts(w.m.rng.IntN(4)) / 4
	}
	s := l.Settle(workspace.Claim{Cell: otherCell, Cells: []string{otherCell, service}, Need: need})
	w.put(s.Ledger)
	w.otherUse = s.Usable
}

// step simulates one random event, of the limits or of the rest of the model.
func (w *limitWorld) step() {
	switch w.m.rng.IntN(12) {
	case 0:
		w.deliverConfig(w.m.current())
	case 1:
		if o := w.m.owners[w.m.rng.IntN(len(w.m.owners))]; !w.m.faultsOff && w.m.chance(50) {
			w.deliverConfig(o)
		}
	case 2, 3, 4:
		w.processClaims(w.m.owners[w.m.rng.IntN(len(w.m.owners))])
	case 5:
		if w.m.chance(20) {
			w.claimForOtherCell()
		}
		if !w.m.faultsOff {
			w.replaceEndedJobs()
		}
	case 6:
		if !w.m.faultsOff && w.m.chance(5) {
			w.declareLimit(int64(8 + w.m.rng.IntN(30)))
		}
	case 7:
		for range 12 {
			w.m.deliver(w.m.owners[len(w.m.owners)-1-w.m.rng.IntN(min(2, len(w.m.owners)))])
		}
	default:
		w.m.step()
	}
}

// Guards against starts beyond a workspace's limit and against shares that are lost for good. Cells claim
// and give back parts of the limit while owners change, transactions are applied late or not answered,
// the limit is lowered and raised, and a partitioned owner goes on for its grace period. No start may
// exceed the limit, and once the faults stop every job must complete.
func TestNoStartExceedsALimitThroughTakeOversAndLateClaims(t *testing.T) {
	aboveLimit, starts := 0, 0
	for i := range *modelSeeds {
		seed := *modelFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newModel(t, seed)
			m.concurrentTxns = true
			m.bounds.MaxConfigDelay = configWithin
			m.limited = newLimitWorld(m)
			m.takeOver(false)
			for range 3000 {
				m.limited.step()
			}
			m.heal()
			for i := 0; i < 60000 && !m.allEnded(); i++ {
				m.limited.step()
			}
			assert.Assert(t, m.allEnded(), "states: %v, ledger %s", m.ended, m.limited.ledgerValue)
			aboveLimit += m.limited.aboveLimit
			starts += m.limited.starts
		})
	}
	t.Logf("%d of %d starts above the limit, within the tolerance for usage that owners can't know of", aboveLimit, starts)
}
