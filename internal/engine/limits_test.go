package engine

import (
	"encoding/json"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/work"
	"github.com/pumicestage/pumicestage/policy/workspace"
)

// limitRig is a rig whose cell is one of two, with a workspace that has a limit.
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
	r.limit(c, 2, tasks)
	return c
}

// limit declares a limit of so many tasks of short's size.
func (r *limitRig) limit(c *Core, version, tasks int64) {
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

// store carries the claims out and returns the ledger of the last.
func (r *limitRig) store(claims []shareClaim) workspace.Ledger {
	var last workspace.Ledger
	for _, claim := range claims {
		r.rev++
		r.core.ClaimStored(claim, r.rev)
		last = claim.Ledger
	}
	return last
}

// ledger has the core read the ledger.
func (r *limitRig) ledger(c *Core, l workspace.Ledger) {
	raw, err := json.Marshal(l)
	assert.NilError(r.t, err)
	r.rev++
	c.ApplyLedger(redName, raw, r.rev)
}

func (r *limitRig) account() *account { return r.core.limits.of(redName) }

// The first job of a workspace in a cell is as wide as it likes, and with it the workspace is
// over its limit: until then the cell knew nothing of the workspace.
func TestTheFirstJobOfAWorkspaceIsLimited(t *testing.T) {
	r := newLimitRig(t, 10)
	for _, id := range []work.WorkerID{"w1", "w2", "w3"} {
		r.worker(id)
	}
	r.acceptRed("j1", short(12))
	assert.Equal(t, len(r.plan().Starts), 4, "an even share of two cells, less a tenth")
	claims := r.core.Claims(r.now)
	assert.Equal(t, len(claims), 1)
	r.store(claims)
	assert.Equal(t, len(r.plan().Starts), 1, "what was left is there at once")
	assert.Assert(t, r.account().ledger.UnmetNeeds[service] > 0, "the other cell is to lend")
	r.ledger(r.core, workspace.Ledger{Allocated: map[string]workspace.Parts{service: 5500, otherCell: 0}})
	r.now += reviewInterval
	r.store(r.core.Claims(r.now))
	assert.Equal(t, len(r.plan().Starts), 5)
	assert.Equal(t, len(r.plan().Starts), 0)
	assert.Equal(t, r.account().used, short(10).Size.Times(10))
}

// A workspace far from its limit costs no call, whatever comes and goes.
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

// The limit is cut while the workspace uses all of it: nothing is stopped, and nothing begins
// until enough has ended. As it is raised again, work goes on in the next plan.
func TestACutStopsNothingAndARaiseIsUsedAtOnce(t *testing.T) {
	r := newLimitRig(t, 8)
	for _, id := range []work.WorkerID{"w1", "w2", "w3"} {
		r.worker(id)
	}
	r.acceptRed("j1", short(12))
	o := r.plan()
	assert.Equal(t, len(o.Starts), 3)
	r.answer(o, OutcomeOK)
	r.limit(r.core, 3, 2)
	cut := r.plan()
	assert.Equal(t, len(cut.Starts)+len(cut.Stops), 0)
	r.limit(r.core, 4, 20)
	assert.Equal(t, len(r.plan().Starts), 6)
}

// A workspace has more running than its limit: an owner that could not reach the store had missed
// that it was cut. It begins no more than a little by a configuration that may be out of date.
func TestAnOwnerThatMayHaveMissedACutBeginsLittle(t *testing.T) {
	r := newLimitRig(t, 40)
	for _, id := range []work.WorkerID{"w1", "w2", "w3"} {
		r.worker(id)
	}
	r.acceptRed("j1", short(12))
	r.now += configWithin
	assert.Equal(t, len(r.plan().Starts), 2, "a twentieth for each of two cells")
	assert.Assert(t, r.core.exceedsProvisionalShare(), "so that the configuration is read")
	r.core.Confirm(r.now)
	assert.Equal(t, len(r.plan().Starts), 10)
}

// An owner dies with its workspace's limit in use on a worker that its successor can't reach. The
// successor has room on another, and would bring the workspace to twice its share.
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
	assert.Equal(t, len(r.plan().Starts), 0, "three may run on w1, and three are the cell's")
	r.poll("w1", Listing{Running: []Run{{Task: work.TaskRef{StepRef: work.StepRef{Job: "j0"}}, Run: 1}}})
	assert.Equal(t, len(r.plan().Starts), 2, "one did")
}

// Two runs of a task are on workers, one of which nobody wants: it runs until its worker has
// stopped it, and counts.
func TestWhatIsBeingStoppedCounts(t *testing.T) {
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
	r.core.openAccounts(r.now)
	assert.Equal(t, r.account().left.MilliCPU, short(1).Size.MilliCPU*36/10-4*short(1).Size.MilliCPU)
}

// Another cell waits for all of the limit. What this one has running stays its own until it ends,
// or the other would start beside it.
func TestWhatRunsIsNotGivenBack(t *testing.T) {
	r := newLimitRig(t, 10)
	r.worker("w1")
	r.ledger(r.core, workspace.Ledger{UnmetNeeds: map[string]workspace.Parts{otherCell: workspace.Whole}})
	r.acceptRed("j1", short(3))
	o := r.plan()
	r.answer(o, OutcomeOK)
	r.core.MarkLedgersStale([]work.WorkspaceName{redName})
	l := r.store(r.core.Claims(r.now))
	assert.Assert(t, l.Allocated[service] >= 3000)
	for i := range o.Starts {
		r.poll("w1", Listing{Ended: []RunEnd{ended(int64(i+1), o.Starts[i], work.Done)}})
	}
	r.flush()
	r.plan()
	for range 3 {
		r.now += reviewInterval
		l = r.store(r.core.Claims(r.now))
	}
	assert.Equal(t, l.Allocated[service], workspace.Parts(0))
}

// A successor lends what its predecessor left, as another cell waits for it, and hears in that
// moment of a run that goes on: what the run holds is kept, though no plan has counted it.
func TestARunAdoptedSinceTheLastPlanIsNotGivenBack(t *testing.T) {
	r := newLimitRig(t, 10)
	r.core.Restore(&JobRecord{Job: &work.Job{ID: "j0", Queue: queue, Workspace: redName, Steps: []work.Step{short(1)}, Accepted: r.wall}}, nil, r.now, r.wall)
	r.core.SetFleet(nil)
	r.ledger(r.core, workspace.Ledger{UnmetNeeds: map[string]workspace.Parts{otherCell: workspace.Whole}})
	r.plan()
	r.account().need = 0
	r.core.WorkerRegistered(info("w1"))
	r.poll("w1", Listing{Running: []Run{{Task: work.TaskRef{StepRef: work.StepRef{Job: "j0"}}, Run: 1}}})
	r.core.MarkLedgersStale([]work.WorkspaceName{redName})
	l := r.store(r.core.Claims(r.now))
	assert.Equal(t, l.Allocated[service], workspace.Parts(1000))
}

// The change by which a cell gives parts back is not answered. Carried out seconds later, it
// lets another cell use them: this one may not use them either way, until a change that it is
// certain of has made the first one void.
func TestWhatIsGivenBackIsNotUsedWhateverTheStoreAnswers(t *testing.T) {
	r := newLimitRig(t, 10)
	r.worker("w1")
	before := workspace.Ledger{
		Allocated: map[string]workspace.Parts{service: 4000}, UnmetNeeds: map[string]workspace.Parts{otherCell: workspace.Whole},
	}
	r.ledger(r.core, before)
	r.plan()
	r.core.MarkLedgersStale([]work.WorkspaceName{redName})
	lend := r.core.Claims(r.now)
	assert.Equal(t, len(lend), 1)
	assert.Equal(t, lend[0].Usable, workspace.Parts(0))
	r.core.ClaimFailed(lend[0], true)

	r.acceptRed("j1", short(3))
	r.ledger(r.core, before) // not carried out yet
	assert.Equal(t, len(r.plan().Starts), 0)
	r.store(r.core.Claims(r.now))
	assert.Equal(t, len(r.plan().Starts), 3)
}

// The same where there was no ledger, which the first change expects. The change that settles it
// leaves one though no cell is named any more, and so does every later one: deleted, the key would
// be absent again, and the first be carried out seconds late.
func TestALedgerStaysOnceThereWasOne(t *testing.T) {
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
			r.store(claims)
		}
	}
	assert.Assert(t, last[0].Ledger.Empty())
	e, _ := newEngine(t, &fakeTerm{certain: true})
	txn, err := e.claimTxn(last)
	assert.NilError(t, err)
	assert.Equal(t, txn.Then[0].Kind, infra.OpPut)
	assert.Assert(t, r.account().rev != 0)
}

// A gang that is wider than its workspace may ever run must not hold up others of the workspace.
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

// A limit above what all VMs can run binds nowhere: it costs no call even where one cell runs all.
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

// A ledger that another writer overwrote names nobody: the cell goes on with what it had.
func TestALedgerThatCanNotBeReadChangesNothing(t *testing.T) {
	r := newLimitRig(t, 10)
	r.worker("w1")
	r.core.ApplyLedger(redName, []byte("{"), 5)
	r.acceptRed("j1", short(4))
	assert.Equal(t, len(r.plan().Starts), 4)
	assert.Equal(t, len(r.core.Claims(r.now)), 0)
	next := NewCore(service, token+1, rigBounds, logr.Discard())
	r.limit(next, 2, 10)
	next.RestoreLedger(infra.KV{Key: infra.WorkLimitKey(string(redName)), Value: []byte("{"), ModRevision: 5})
	assert.Equal(t, next.limits.of(redName).share(2), workspace.Parts(0), "a successor does not know what it had")
}
