package engine

import (
	"encoding/json"
	"strconv"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/work"
	"github.com/pumicestage/pumicestage/policy/workspace"
)

// limitRig is a rig whose cell is one of two, with one workspace that has a limit.
type limitRig struct {
	*rig
	rev infra.Revision // of the ledger in the store
}

const redName = work.WorkspaceName("red")

func newLimitRig(t *testing.T, tasks int64) *limitRig {
	r := &limitRig{rig: newRig(t)}
	r.core = r.limitedCore(token, tasks)
	return r
}

func (r *limitRig) limitedCore(token, tasks int64) *Core {
	bounds := rigBounds
	bounds.MaxConfigDelay = configWithin
	c := r.successorWithin(token, bounds)
	r.declareLimit(c, 2, tasks)
	return c
}

// declareLimit declares a limit that so many tasks of short's size fit into.
func (r *limitRig) declareLimit(c *Core, version, tasks int64) {
	c.Configure(Declared{
		Version: version, Queues: c.declared.Queues,
		Services:   map[string]Service{service: {Name: service}, otherCell: {Name: otherCell}},
		Workspaces: map[work.WorkspaceName]workspace.Workspace{redName: {Name: redName, Limit: short(1).Size.Times(tasks)}},
	})
	c.Confirm(r.now)
}

func (r *limitRig) acceptRed(id work.JobID, steps ...work.Step) {
	r.core.Accept(&work.Job{ID: id, Queue: queue, Workspace: redName, Spec: "spec", Steps: steps, Accepted: r.wall}, r.core.declared.Queues[queue], r.now)
}

// applyClaims stores the claims and returns the ledger of the last one.
func (r *limitRig) applyClaims(claims []shareClaim) workspace.Ledger {
	var last workspace.Ledger
	for _, claim := range claims {
		r.rev++
		r.core.ClaimStored(claim, r.rev)
		last = claim.Ledger
	}
	return last
}

// readLedger has the core read l as the stored ledger.
func (r *limitRig) readLedger(c *Core, l workspace.Ledger) {
	raw, err := json.Marshal(l)
	assert.NilError(r.t, err)
	r.rev++
	c.ApplyLedger(redName, raw, r.rev)
}

func (r *limitRig) account() *account { return r.core.limits.account(redName) }

// Guards against a workspace that exceeds its limit with its first job in a cell, when the cell has no
// account of the workspace yet.
func TestTheFirstJobOfAWorkspaceIsLimited(t *testing.T) {
	r := newLimitRig(t, 10)
	for _, id := range []work.WorkerID{"w1", "w2", "w3"} {
		r.worker(id)
	}
	r.acceptRed("j1", short(12))
	assert.Equal(t, len(r.plan().Starts), 4, "the even share of one of two cells: half of nine tenths of the limit")
	claims := r.core.Claims(r.now)
	assert.Equal(t, len(claims), 1)
	r.applyClaims(claims)
	assert.Equal(t, len(r.plan().Starts), 1, "what no cell has is available at once")
	assert.Assert(t, r.account().ledger.UnmetNeeds[service] > 0, "the other cell is asked to give parts back")
	r.readLedger(r.core, workspace.Ledger{Allocated: map[string]workspace.Parts{service: 5500, otherCell: 0}})
	r.now += reviewInterval
	r.applyClaims(r.core.Claims(r.now))
	assert.Equal(t, len(r.plan().Starts), 5)
	assert.Equal(t, len(r.plan().Starts), 0)
	assert.Equal(t, r.account().used, short(10).Size.Times(10))
}

// A workspace far below its limit must not cost store transactions, whatever jobs come and go.
func TestAWorkspaceFarFromItsLimitMakesNoClaim(t *testing.T) {
	r := newLimitRig(t, 100)
	r.worker("w1")
	for range 5 {
		r.acceptRed("j1", short(4))
		r.plan()
		r.now += reviewInterval
		assert.Equal(t, len(r.core.Claims(r.now)), 0)
	}
}

// When the limit is lowered while the workspace uses all of it, no run is stopped, and none starts until
// enough have ended. When it is raised, tasks start in the next plan.
func TestACutStopsNothingAndARaiseIsUsedAtOnce(t *testing.T) {
	r := newLimitRig(t, 8)
	for _, id := range []work.WorkerID{"w1", "w2", "w3"} {
		r.worker(id)
	}
	r.acceptRed("j1", short(12))
	o := r.plan()
	assert.Equal(t, len(o.Starts), 3)
	r.answer(o, OutcomeOK)
	r.declareLimit(r.core, 3, 2)
	cut := r.plan()
	assert.Equal(t, len(cut.Starts)+len(cut.Stops), 0)
	r.declareLimit(r.core, 4, 20)
	assert.Equal(t, len(r.plan().Starts), 6)
}

// Guards against a workspace that exceeds its limit because an owner that can't reach the store has
// missed that the limit was lowered. With a configuration that may be outdated, the owner may use only
// its provisional share.
func TestAnOwnerThatMayHaveMissedACutBeginsLittle(t *testing.T) {
	r := newLimitRig(t, 40)
	for _, id := range []work.WorkerID{"w1", "w2", "w3"} {
		r.worker(id)
	}
	r.acceptRed("j1", short(12))
	r.now += configWithin
	assert.Equal(t, len(r.plan().Starts), 2, "a twentieth of the limit: the provisional share of one of two cells")
	assert.Assert(t, r.core.exceedsProvisionalShare(), "the configuration must be confirmed for more")
	r.core.Confirm(r.now)
	assert.Equal(t, len(r.plan().Starts), 10)
}

// Guards against a new owner that starts a second share's worth of tasks: its predecessor has used the
// share on a worker that the new owner can't reach, and another worker has free capacity.
func TestASuccessorCountsWhatMayRunUnseen(t *testing.T) {
	r := newLimitRig(t, 8)
	r.core.SetFleet(nil)
	old := &JobRecord{Job: &work.Job{ID: "j0", Queue: queue, Workspace: redName, Steps: []work.Step{short(3)}, Accepted: r.wall}}
	next := r.limitedCore(token+1, 8)
	next.Restore(old, nil, r.now, r.wall)
	next.InheritLeases(r.now + inheritedLeaseTime())
	next.SetFleet([]work.VM{vm("v1", "w1"), vm("v2", "w2")})
	r.core = next
	next.WorkerRegistered(info("w1"))
	r.worker("w2")
	r.acceptRed("j1", short(4))
	assert.Equal(t, len(r.plan().Starts), 0, "three may run on w1, and the cell's share is three")
	r.poll("w1", Listing{Running: []Run{{Task: work.TaskRef{StepRef: work.StepRef{Job: "j0"}}, Run: 1}}})
	assert.Equal(t, len(r.plan().Starts), 2, "only one runs on w1")
}

// Runs of a cancelled job and orphaned runs count towards the limit until their worker has stopped them.
func TestRunsBeingStoppedCountTowardsTheLimit(t *testing.T) {
	r := newLimitRig(t, 8)
	r.worker("w1")
	r.acceptRed("j1", short(3))
	o := r.plan()
	r.answer(o, OutcomeOK)
	assert.Equal(t, len(o.Starts), 3)
	r.core.Cancel("j1", func(error) {})
	r.acceptRed("j2", short(3))
	assert.Equal(t, len(r.plan().Starts), 0)
	r.poll("w1", Listing{Running: []Run{run(o.Starts[0])}, Ended: []RunEnd{ended(1, o.Starts[1], work.Stopped), ended(2, o.Starts[2], work.Stopped)}})
	assert.Equal(t, len(r.plan().Starts), 2)
	r.core.workers["w1"].markOrphaned(o.Starts[1].Start.Task, 1)
	r.core.beginPlanAccounting(r.now)
	assert.Equal(t, r.account().remaining.MilliCPU, short(1).Size.MilliCPU*36/10-4*short(1).Size.MilliCPU)
}

// Another cell waits for the whole limit. The parts that running tasks use must not be given back before
// they end, or the other cell would start tasks in addition to them.
func TestWhatRunsIsNotGivenBack(t *testing.T) {
	r := newLimitRig(t, 10)
	r.worker("w1")
	r.readLedger(r.core, workspace.Ledger{UnmetNeeds: map[string]workspace.Parts{otherCell: workspace.Whole}})
	r.acceptRed("j1", short(3))
	o := r.plan()
	r.answer(o, OutcomeOK)
	r.core.MarkLedgersStale([]work.WorkspaceName{redName})
	l := r.applyClaims(r.core.Claims(r.now))
	assert.Assert(t, l.Allocated[service] >= 3000)
	for i := range o.Starts {
		r.poll("w1", Listing{Ended: []RunEnd{ended(int64(i+1), o.Starts[i], work.Done)}})
	}
	r.flush()
	r.plan()
	for range 3 {
		r.now += reviewInterval
		l = r.applyClaims(r.core.Claims(r.now))
	}
	assert.Equal(t, l.Allocated[service], workspace.Parts(0))
}

// A new owner gives parts back that another cell waits for, just after a worker has listed a run of its
// predecessor. The parts that the run uses must be kept although no plan has counted them yet.
func TestARunAdoptedSinceTheLastPlanIsNotGivenBack(t *testing.T) {
	r := newLimitRig(t, 10)
	r.core.Restore(&JobRecord{Job: &work.Job{ID: "j0", Queue: queue, Workspace: redName, Steps: []work.Step{short(1)}, Accepted: r.wall}}, nil, r.now, r.wall)
	r.core.SetFleet(nil)
	r.readLedger(r.core, workspace.Ledger{UnmetNeeds: map[string]workspace.Parts{otherCell: workspace.Whole}})
	r.plan()
	r.account().need = 0
	r.core.WorkerRegistered(info("w1"))
	r.poll("w1", Listing{Running: []Run{{Task: work.TaskRef{StepRef: work.StepRef{Job: "j0"}}, Run: 1}}})
	r.core.MarkLedgersStale([]work.WorkspaceName{redName})
	l := r.applyClaims(r.core.Claims(r.now))
	assert.Equal(t, l.Allocated[service], workspace.Parts(1000))
}

// The transaction by which a cell gives parts back is not answered. It may be applied seconds later and
// let another cell use the parts. This cell must not use them until a later transaction has been stored,
// which makes the first one fail.
func TestWhatIsGivenBackIsNotUsedWhateverTheStoreAnswers(t *testing.T) {
	r := newLimitRig(t, 10)
	r.worker("w1")
	before := workspace.Ledger{
		Allocated: map[string]workspace.Parts{service: 4000}, UnmetNeeds: map[string]workspace.Parts{otherCell: workspace.Whole},
	}
	r.readLedger(r.core, before)
	r.plan()
	r.core.MarkLedgersStale([]work.WorkspaceName{redName})
	giveBack := r.core.Claims(r.now)
	assert.Equal(t, len(giveBack), 1)
	assert.Equal(t, giveBack[0].Usable, workspace.Parts(0))
	r.core.ClaimFailed(giveBack[0], true)

	r.acceptRed("j1", short(3))
	r.readLedger(r.core, before) // not applied yet
	assert.Equal(t, len(r.plan().Starts), 0)
	r.applyClaims(r.core.Claims(r.now))
	assert.Equal(t, len(r.plan().Starts), 3)
}

// The first transaction expects that there is no ledger, and is not answered. The ledger that a later
// transaction stores must never be deleted, even once it names no cell: the key would be absent again,
// and the first transaction could still be applied seconds late.
func TestALedgerIsNeverDeleted(t *testing.T) {
	r := newLimitRig(t, 10)
	r.worker("w1")
	r.acceptRed("j1", short(8))
	r.plan()
	claims := r.core.Claims(r.now)
	assert.Equal(t, len(claims), 1)
	r.core.ClaimFailed(claims[0], true)
	r.core.Cancel("j1", func(error) {})
	for _, s := range r.core.jobs["j1"].liveOccurrences[0].steps {
		for _, task := range s.tasks {
			r.core.release(task)
		}
	}
	r.plan()
	r.now += reviewInterval
	var last []shareClaim
	for range 10 {
		r.plan()
		r.now += reviewInterval
		if claims := r.core.Claims(r.now); len(claims) > 0 {
			last = claims
			r.applyClaims(claims)
		}
	}
	assert.Assert(t, last[0].Ledger.Empty())
	e, _ := newEngine(t, &fakeTerm{certain: true})
	txn, err := e.claimTxn(last)
	assert.NilError(t, err)
	assert.Equal(t, txn.Then[0].Kind, infra.OpPut)
	assert.Assert(t, r.account().rev != 0)
}

// A gang that is larger than its workspace's whole limit must not hold up other jobs of the workspace.
func TestAGangWiderThanTheLimitLetsOthersPass(t *testing.T) {
	r := newLimitRig(t, 4)
	for _, id := range []work.WorkerID{"w1", "w2", "w3"} {
		r.worker(id)
	}
	gang := short(5)
	gang.Gang = true
	r.acceptRed("j1", gang)
	assert.Equal(t, len(r.plan().Starts), 0)
	r.acceptRed("j2", short(1))
	o := r.plan()
	assert.Equal(t, len(o.Starts), 1)
	assert.Equal(t, o.Starts[0].Start.Task.Job, work.JobID("j2"))
	e, _ := r.core.Explain("j1", r.now)
	assert.Assert(t, e.Steps[0].Limit.Never)
}

// Guards against a gang that never starts: only its members beyond the cell's share were counted as
// held back, so that the cell did not ask for a larger share.
func TestAGangLargerThanTheCellsShareGetsALargerOne(t *testing.T) {
	for _, members := range []int{5, 6, 8, 10} {
		t.Run(strconv.Itoa(members), func(t *testing.T) {
			r := newLimitRig(t, 10)
			for _, id := range []work.WorkerID{"w1", "w2", "w3"} {
				r.worker(id)
			}
			gang := short(members)
			gang.Gang = true
			r.acceptRed("j1", gang)
			assert.Equal(t, len(r.plan().Starts), 0, "the cell's share holds four tasks")
			l := r.applyClaims(r.core.Claims(r.now))
			if len(r.plan().Starts) == members {
				return
			}
			assert.Assert(t, l.UnmetNeeds[service] > 0, "the other cell is asked to give parts back")
			r.readLedger(r.core, l.Settle(workspace.Claim{Cell: otherCell, Cells: []string{service, otherCell}}).Ledger)
			r.now += reviewInterval
			r.applyClaims(r.core.Claims(r.now))
			assert.Equal(t, len(r.plan().Starts), members)
		})
	}
}

// Guards against a turn that never ends: the next step of the same size got the place in the ledger
// that the one before had, without a change of the ledger, and was not known as the one with the turn.
func TestATurnPassesToTheNextStepOfTheSameSize(t *testing.T) {
	r := newLimitRig(t, 10)
	for _, id := range []work.WorkerID{"w1", "w2", "w3"} {
		r.worker(id)
	}
	gang := short(6)
	gang.Gang = true
	r.readLedger(r.core, workspace.Ledger{
		Allocated:  map[string]workspace.Parts{service: 0, otherCell: 9500},
		UnmetNeeds: map[string]workspace.Parts{service: 6000, otherCell: workspace.Whole},
	})
	claim := func() {
		r.plan()
		r.now += reviewInterval
		r.applyClaims(r.core.Claims(r.now))
	}
	for _, id := range []work.JobID{"j1", "j2"} {
		r.acceptRed(id, gang)
		claim()
		claim()
		assert.Assert(t, r.account().turn != nil)
		assert.Equal(t, r.account().turn.job.ID, id)
		r.core.Cancel(id, func(error) {})
		r.flush()
	}
}

// Guards against parts of a limit that a cell asks for in vain, and other cells lack, for a gang that
// is larger than the whole limit.
func TestNoShareIsClaimedForAGangLargerThanTheLimit(t *testing.T) {
	r := newLimitRig(t, 10)
	for _, id := range []work.WorkerID{"w1", "w2", "w3"} {
		r.worker(id)
	}
	gang := short(11)
	gang.Gang = true
	r.acceptRed("j1", gang)
	assert.Equal(t, len(r.plan().Starts), 0)
	assert.Equal(t, len(r.core.Claims(r.now)), 0)
}

// A limit above what all VMs can run can't be reached. It must not cost store transactions even if one
// cell runs everything.
func TestALimitAboveTheFleetIsNone(t *testing.T) {
	r := newLimitRig(t, 10)
	size := info("w1").Capacity
	size.MemoryMB = 0
	r.core.SetFleet([]work.VM{
		{ID: "v1", Worker: "w1", Pool: service, State: work.VMUp, Size: size},
		{ID: "v2", Worker: "w2", Pool: service, State: work.VMUp, Size: work.Resources{MilliCPU: size.MilliCPU, MemoryMB: 8000}},
	})
	for _, id := range []work.WorkerID{"w1", "w2"} {
		r.worker(id)
	}
	r.acceptRed("j1", short(60))
	assert.Equal(t, len(r.plan().Starts), 8)
	assert.Equal(t, len(r.core.Claims(r.now)), 0)
}

// A malformed ledger, overwritten by another writer, must not change the cell's share. A new owner, which
// does not know the share, must use none.
func TestALedgerThatCanNotBeReadChangesNothing(t *testing.T) {
	r := newLimitRig(t, 10)
	r.worker("w1")
	r.core.ApplyLedger(redName, []byte("{"), 5)
	r.acceptRed("j1", short(4))
	assert.Equal(t, len(r.plan().Starts), 4)
	assert.Equal(t, len(r.core.Claims(r.now)), 0)
	next := NewCore(service, token+1, rigBounds, logr.Discard())
	r.declareLimit(next, 2, 10)
	next.RestoreLedger(infra.KV{Key: infra.WorkLimitKey(string(redName)), Value: []byte("{"), ModRevision: 5})
	assert.Equal(t, next.limits.account(redName).share(2), workspace.Parts(0), "a successor does not know what it had")
}
