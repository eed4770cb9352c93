package engine

import (
	"cmp"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

var (
	termSeeds     = flag.Int("term-model-seeds", 15, "number of seeds for the model of terms")
	termWallSkews = flag.Bool("term-model-wall-skews", false, "repeated jobs, and owners whose wall clocks differ by up to two seconds")
	termMaxEnds   = flag.Int("term-model-max-ends", 0, "ends that a worker of the model lists in one answer; 0: all")
)

// Times of an owner's lease in the model, as in package ownership.
const (
	termTTL           = 1600 * time.Millisecond
	termCertain       = 1568 * time.Millisecond // after the last renewal was sent
	termRenewEvery    = 500 * time.Millisecond
	termRenewalFailed = 1200 * time.Millisecond // how long orders are allowed after a failed renewal
)

// maxModelJobs bounds the jobs that are created while the model plays.
const maxModelJobs = 40

// termModel extends model by what surrounds an engine beside its core: terms with a lease that is renewed or
// fails to be, owners that are frozen and thawed with answers still unread, store calls without an answer,
// creations whose outcome is unknown, inbox messages, and lists of VMs that arrive late.
type termModel struct {
	*model
	terms     []*modelTerm
	storeDown bool
	inbox     map[work.JobID]bool
	lateCalls []func() // calls that are carried out late, if at all
	created   int
	clock     int                    // counts starts and ends, to order them
	started   map[work.TaskRef]int   // when a run of the task last began, by clock
	endedAt   map[*modelWorker][]int // when the runs of a worker's ends ended, by clock
	wallSkews bool                   // the wall clocks of owners differ by up to two seconds
	maxEnds   int                    // ends that a worker lists in one answer; 0: all
	thawed    int                    // owners that were thawed after their lease had expired and were allowed orders
	overdue   int                    // starts by owners that had a successor
}

// modelTerm is one owner with its lease and what it has not handled yet.
type modelTerm struct {
	*modelOwner
	renewedAt, certainUntil, allowedUntil time.Duration
	frozenUntil                           time.Duration
	cutFromStore                          bool
	wallOffset                            time.Duration
	polling                               map[work.WorkerID]bool
	answers                               []func() // answers that arrived or time-outs, not handled yet
	batches                               []*modelBatch
	listing                               bool
}

// modelBatch is a transaction of an owner, which is sent until its outcome is known.
type modelBatch struct {
	flush   Flush
	create  *JobRecord
	applied bool
}

func newTermModel(t *testing.T, seed uint64) *termModel {
	m := &termModel{
		wallSkews: *termWallSkews, maxEnds: *termMaxEnds,
		model: newModel(t, seed), inbox: make(map[work.JobID]bool),
		started: make(map[work.TaskRef]int), endedAt: make(map[*modelWorker][]int),
	}
	gang, lasting := short(2), longRunning(1)
	gang.Gang = true
	m.jobs["gang"] = m.record("gang", gang)
	m.jobs["lasting"] = m.record("lasting", lasting)
	m.owners, m.token = nil, 0
	m.restarts = false
	m.beginTerm(true)
	return m
}

func (m *termModel) record(id work.JobID, steps ...work.Step) *JobRecord {
	return &JobRecord{Job: &work.Job{ID: id, Queue: queue, Spec: "spec", Steps: steps, Accepted: epoch}, Queue: Queue{Name: queue, Service: service, MaxAttempts: 50}}
}

func (m *termModel) wall(o *modelTerm) time.Time { return epoch.Add(m.now - time.Hour + o.wallOffset) }

func (m *termModel) latest() *modelTerm { return m.terms[len(m.terms)-1] }

// beginTerm begins the next term, whose owner reads what is stored.
func (m *termModel) beginTerm(first bool) {
	m.token++
	m.commit = m.token
	b := &rig{t: m.t, now: m.now, wall: epoch}
	o := &modelTerm{
		modelOwner: &modelOwner{core: b.successorWithin(m.token, m.bounds), unreachable: make(map[work.WorkerID]bool)},
		polling:    make(map[work.WorkerID]bool),
	}
	if m.wallSkews {
		o.wallOffset = time.Duration(m.rng.IntN(4000)-2000) * time.Millisecond
	}
	o.renewedAt, o.certainUntil = m.now, m.now+termCertain
	o.allowedUntil = o.certainUntil
	o.core.Configure(Declared{Version: 2, Queues: map[string]Queue{queue: {Name: queue, Service: service, MaxAttempts: 50}}})
	for _, id := range sortedIDs(m.jobs) {
		if m.ended[id] == "" {
			o.core.Restore(m.jobs[id], m.progress[id], m.now, m.wall(o))
		}
	}
	o.core.FinishRestore(m.now, m.wall(o))
	m.registrations(o)
	if !first {
		o.core.InheritLeases(m.now + inheritedLeaseTime())
	}
	for _, w := range m.workers {
		o.unreachable[w.id] = !first && !m.faultsOff && m.chance(45)
	}
	m.terms = append(m.terms, o)
}

// registrations gives the owner the workers' registrations, of which some come late.
func (m *termModel) registrations(o *modelTerm) {
	for _, w := range m.workers {
		if !w.dead && (m.faultsOff || m.chance(70)) {
			o.core.WorkerRegistered(infoWithIncarnation(w.id, w.incarnation))
		}
	}
}

// authority is Engine.updateAuthority.
func (m *termModel) authority(o *modelTerm) {
	o.core.AllowUntil(o.allowedUntil)
	o.core.SetCertain(m.certain(o))
}

func (m *termModel) certain(o *modelTerm) bool { return !o.stopped && m.now < o.certainUntil }

func (m *termModel) runs(o *modelTerm) bool { return !o.stopped && m.now >= o.frozenUntil }

func (m *termModel) reachesStore(o *modelTerm) bool { return !m.storeDown && !o.cutFromStore }

// endTerm ends the term: nothing of it is handled or sent any more.
func (m *termModel) endTerm(o *modelTerm) {
	o.stopped, o.allowedUntil = true, 0
	o.orders, o.answers, o.batches = nil, nil, nil
}

func (m *termModel) step() {
	m.now += time.Duration(m.rng.IntN(24)) * time.Millisecond
	m.expireLeases()
	o := m.anyTerm()
	if m.faultsOff {
		o = m.latest()
	}
	if m.chance(40) || m.faultsOff {
		m.renew(o)
	}
	if last := m.latest(); !m.storeDown && m.now > last.renewedAt+termTTL && (last.stopped || last.frozenUntil > m.now || last.cutFromStore) {
		m.beginTerm(false)
	}
	if !m.runs(o) {
		m.outside()
		return
	}
	switch m.rng.IntN(11) {
	case 0, 1:
		m.plan(o)
	case 2, 3:
		m.sendPoll(o, m.anyWorker())
		m.sendPoll(o, m.anyWorker())
	case 4, 5:
		m.take(&o.orders)
		m.take(&o.orders)
	case 6, 7:
		m.take(&o.answers)
		m.take(&o.answers)
		m.take(&o.answers)
	case 8:
		m.commitBatch(o)
	case 9:
		m.readInbox(o)
	case 10:
		m.requestList(o)
	}
	m.outside()
}

// anyTerm returns the latest term, or one that has not ended and has a successor.
func (m *termModel) anyTerm() *modelTerm {
	alive := []*modelTerm{m.latest()}
	for _, o := range m.terms[:len(m.terms)-1] {
		if !o.stopped {
			alive = append(alive, o)
		}
	}
	return alive[m.rng.IntN(len(alive))]
}

// anyWorker returns a worker, in most cases one that runs.
func (m *termModel) anyWorker() *modelWorker {
	w := m.workers[m.rng.IntN(len(m.workers))]
	for w.dead && m.chance(97) {
		w = m.workers[m.rng.IntN(len(m.workers))]
	}
	return w
}

// take carries out one of the functions, in random sequence.
func (m *termModel) take(from *[]func()) {
	if len(*from) == 0 {
		return
	}
	i := m.rng.IntN(len(*from))
	f := (*from)[i]
	*from = slices.Delete(*from, i, i+1)
	f()
}

// renew renews the lease if that is due, or fails to.
func (m *termModel) renew(o *modelTerm) {
	if !m.runs(o) || m.now < o.renewedAt+termRenewEvery {
		return
	}
	switch {
	case !m.reachesStore(o):
		o.allowedUntil = max(o.allowedUntil, min(m.now+termRenewalFailed, o.certainUntil+OwnerGrace))
		if o != m.latest() && m.now < o.allowedUntil {
			m.thawed++
		}
	case o != m.latest():
		m.endTerm(o)
	default:
		o.renewedAt, o.certainUntil = m.now, m.now+termCertain
		o.allowedUntil = o.certainUntil
	}
}

func (m *termModel) plan(o *modelTerm) {
	if o.core.Deposed() {
		m.endTerm(o)
		return
	}
	m.authority(o)
	m.registrations(o)
	orders := o.core.Plan(m.now, m.wall(o))
	slices.SortFunc(orders.Stops, func(a, b StopOrder) int { return cmp.Compare(a.Task.String(), b.Task.String()) })
	for _, s := range orders.Starts {
		o.orders = append(o.orders, func() { m.sendStart(o, s) })
	}
	for _, s := range orders.Stops {
		o.orders = append(o.orders, func() { m.sendStop(o, s) })
	}
}

// late has the function called within maxOrderDelay, if at all.
func (m *termModel) late(f func()) {
	sent := m.now
	m.lateCalls = append(m.lateCalls, func() {
		if m.now < sent+maxOrderDelay {
			f()
		}
	})
}

func (m *termModel) answer(o *modelTerm, f func()) { o.answers = append(o.answers, f) }

func (m *termModel) sendStart(o *modelTerm, s StartOrder) {
	if m.now > o.allowedUntil || !o.core.StartSending(s, m.now) {
		o.core.StartAnswered(s, OutcomeNotSent, 0, m.now)
		return
	}
	w := m.find(s.Worker.ID)
	switch {
	case w == nil || w.dead:
		m.answer(o, func() { o.core.StartAnswered(s, OutcomeOtherIncarnation, 0, m.now) })
	case o.unreachable[s.Worker.ID] || !m.faultsOff && m.chance(15):
		w.inDoubt[s.Start.Task] = true
		if m.chance(50) {
			m.late(func() { m.beginRun(o, w, s) })
		}
		m.answer(o, func() { o.core.StartAnswered(s, OutcomeUnknown, 0, m.now) })
	default:
		out := m.beginRun(o, w, s)
		clock := w.clock(m.now)
		if !m.faultsOff && m.chance(10) {
			out, clock = OutcomeUnknown, 0
			w.inDoubt[s.Start.Task] = true
		}
		m.answer(o, func() { o.core.StartAnswered(s, out, clock, m.now) })
	}
}

// find returns the worker with the ID, dead or not.
func (m *termModel) find(id work.WorkerID) *modelWorker {
	i := slices.IndexFunc(m.workers, func(w *modelWorker) bool { return w.id == id })
	if i < 0 {
		return nil
	}
	return m.workers[i]
}

func (m *termModel) beginRun(o *modelTerm, w *modelWorker, s StartOrder) Outcome {
	before, ran := w.running[s.Start.Task]
	out := m.begin(w, s)
	if out == OutcomeOK && !(ran && before == s.Start.Run) {
		m.clock++
		m.started[s.Start.Task] = m.clock
		if o != m.latest() {
			m.overdue++
		}
	}
	return out
}

func (m *termModel) sendStop(o *modelTerm, s StopOrder) {
	if m.now > o.allowedUntil {
		return
	}
	w := m.find(s.Worker.ID)
	carryOut := func() Outcome {
		switch {
		case w.dead:
			return OutcomeOtherIncarnation
		case w.token > o.core.token:
			return OutcomeFenced
		}
		w.token = o.core.token
		w.highest[s.Task] = max(w.highest[s.Task], s.Run)
		if run, runs := w.running[s.Task]; runs && run <= s.Run {
			m.late(func() { m.endRun(w, s.Task, work.Stopped) })
		}
		return OutcomeOK
	}
	if o.unreachable[w.id] || !m.faultsOff && m.chance(15) {
		if m.chance(50) {
			m.late(func() { carryOut() })
		}
		m.answer(o, func() { o.core.StopAnswered(s, OutcomeUnknown, m.now) })
		return
	}
	out := carryOut()
	m.answer(o, func() { o.core.StopAnswered(s, out, m.now) })
}

func (m *termModel) endRun(w *modelWorker, task work.TaskRef, how work.End) {
	before := w.seq
	m.end(w, task, how)
	m.noteEnds(w, before)
}

// noteEnds records when the worker's ends after the seq happened.
func (m *termModel) noteEnds(w *modelWorker, after int64) {
	for range w.seq - after {
		m.clock++
		m.endedAt[w] = append(m.endedAt[w], m.clock)
	}
}

// sendPoll sends a poll, unless one is under way. Its answer is handled later, or it is given up.
func (m *termModel) sendPoll(o *modelTerm, w *modelWorker) {
	if o.polling[w.id] {
		return
	}
	m.authority(o)
	_, h, due := o.core.NextPoll(w.id, m.now)
	if !due || m.now > o.allowedUntil {
		return
	}
	sent := m.now
	o.polling[w.id] = true
	failed := func(out Outcome) {
		m.answer(o, func() {
			o.polling[w.id] = false
			o.core.PollFailed(w.id, out, m.now)
		})
	}
	if o.unreachable[w.id] || !m.faultsOff && m.chance(10) {
		if m.chance(50) {
			m.late(func() { m.hold(w, h) })
		}
		failed(OutcomeUnknown)
		return
	}
	l, out := m.hold(w, h)
	if out != OutcomeOK {
		failed(out)
		return
	}
	if !m.faultsOff && m.chance(10) {
		failed(OutcomeUnknown)
		return
	}
	m.answer(o, func() {
		o.polling[w.id] = false
		o.core.PollAnswered(w.id, h, l, sent, m.now)
	})
}

// hold simulates the worker's handling of a poll.
func (m *termModel) hold(w *modelWorker, h Hold) (Listing, Outcome) {
	switch {
	case w.dead:
		return Listing{}, OutcomeOtherIncarnation
	case h.Token < w.token:
		return Listing{}, OutcomeFenced
	}
	w.token, w.deadline = h.Token, w.leaseEnd(h.Deadline, m.now)
	for len(w.ends) > 0 && w.ends[0].Seq <= h.AckedThrough {
		m.acknowledged(w, &w.ends[0])
		w.ends = w.ends[1:]
	}
	l := Listing{Life: w.incarnation, Clock: w.clock(m.now), Ended: slices.Clone(w.ends), Brief: h.Brief}
	if m.maxEnds > 0 && len(l.Ended) > m.maxEnds {
		l.Ended, l.MoreEnds = l.Ended[:m.maxEnds], true
	}
	for _, task := range w.tasks() {
		if !h.Brief {
			l.Running = append(l.Running, Run{Task: task, Run: w.running[task], Percent: 1 + m.rng.IntN(90)})
		}
	}
	return l, OutcomeOK
}

// acknowledged fails the test if a run of the task began after the run had ended as done, and the worker's
// lease did not lapse between the end and the acknowledgement.
func (m *termModel) acknowledged(w *modelWorker, e *RunEnd) {
	if e.How != work.Done || e.Seq <= w.lapsedSeq || e.Task.Job == "lasting" {
		return
	}
	m.doneAcked[e.Task] = true
	assert.Assert(m.t, m.started[e.Task] < m.endedAt[w][e.Seq-1], "%s: a run began after run %d had ended as done on %s, and that end is acknowledged", e.Task, e.Run, w.id)
}

// commitBatch sends a transaction, or sends one again whose outcome is not known.
func (m *termModel) commitBatch(o *modelTerm) {
	if len(o.batches) < committerCount && m.chance(60) {
		b := &modelBatch{flush: o.core.TakeFlush(3)}
		if !m.faultsOff && m.created < maxModelJobs && m.chance(15) {
			m.created++
			b.create = m.newJob()
		}
		if b.create == nil && len(b.flush.Changes) == 0 {
			o.core.Flushed(b.flush, nil)
			return
		}
		o.batches = append(o.batches, b)
	}
	if len(o.batches) == 0 {
		return
	}
	i := m.rng.IntN(len(o.batches))
	b := o.batches[i]
	if !m.reachesStore(o) {
		if m.chance(30) { // sent, and carried out once the store is back
			m.late(func() { m.apply(o, b) })
		}
		return
	}
	if !m.apply(o, b) {
		o.core.Flushed(b.flush, ErrUncertain)
		m.endTerm(o)
		return
	}
	if !m.faultsOff && m.chance(25) {
		return // the answer is lost
	}
	o.batches = slices.Delete(o.batches, i, i+1)
	m.answer(o, func() {
		if b.create != nil {
			o.core.Accept(b.create.Job, b.create.Queue, m.now)
		}
		o.core.Flushed(b.flush, nil)
	})
}

// newJob returns a new job, which may be repeated.
func (m *termModel) newJob() *JobRecord {
	r := m.record(work.JobID(fmt.Sprintf("new%d", m.created)), short(1+m.rng.IntN(2)))
	if m.wallSkews {
		first := epoch.Add(m.now - time.Hour + time.Duration(m.rng.IntN(6))*time.Second)
		r.Job.Schedule = work.Schedule{Times: 2, First: first, Every: 4 * time.Second}
	}
	return r
}

// apply has the store carry out the transaction once, and reports whether it is in force. The transaction of
// an owner that has a successor is not carried out any more.
func (m *termModel) apply(o *modelTerm, b *modelBatch) bool {
	if b.applied {
		return true
	}
	if o.core.token != m.commit || m.storeDown {
		return false
	}
	b.applied = true
	if b.create != nil {
		m.jobs[b.create.Job.ID] = b.create
	}
	for _, ch := range b.flush.Changes {
		if ch.Final != "" {
			m.ended[ch.Job] = ch.Final
			continue
		}
		m.progress[ch.Job] = decodeProgress(m.t, ch)
	}
	return true
}

// readInbox handles a message of the inbox. Time may pass between the answer of the store, the check of the
// lease and the addition of the job.
func (m *termModel) readInbox(o *modelTerm) {
	if !m.reachesStore(o) {
		return
	}
	for _, id := range sortedIDs(m.inbox) {
		open := m.ended[id] == ""
		m.answer(o, func() {
			if !m.certain(o) {
				return
			}
			add := func() {
				if !o.core.Known(id) && open {
					o.core.Restore(m.jobs[id], nil, m.now, m.wall(o))
					o.core.jobs[id].restored = false
				}
				if m.reachesStore(o) {
					delete(m.inbox, id)
				}
			}
			if m.chance(30) {
				m.answer(o, add)
				return
			}
			add()
		})
		return
	}
}

// requestList has the owner read the list of VMs, whose answer may come late.
func (m *termModel) requestList(o *modelTerm) {
	if o.listing {
		return
	}
	o.listing = true
	sent := m.now
	var vms []work.VM
	for _, w := range m.workers {
		if !w.dead {
			vms = append(vms, vm("v-"+string(w.id), w.id))
		}
	}
	m.answer(o, func() {
		o.listing = false
		if m.now > sent+vmListTimeout && !m.chance(20) {
			return // given up, unless the answer is read first after a freeze
		}
		o.core.SetFleet(vms)
		o.core.endUnlistedWorkers(sent, m.now)
	})
}

// outside simulates what happens beside the owners: ends of runs, late calls and faults.
func (m *termModel) outside() {
	switch m.rng.IntN(10) {
	case 0:
		m.finishRun(m.anyWorker())
	case 2, 3:
		m.take(&m.lateCalls)
	case 4, 5:
		m.inject()
	}
}

// finishRun ends a random run of the worker. The members of a gang end together.
func (m *termModel) finishRun(w *modelWorker) {
	tasks := w.tasks()
	if w.dead || len(tasks) == 0 {
		return
	}
	task, how := tasks[m.rng.IntN(len(tasks))], work.Done
	if !m.faultsOff && m.chance(20) {
		how = work.Faulted
	}
	run := w.running[task]
	if task.Job != "gang" {
		m.endRun(w, task, how)
		return
	}
	type member struct {
		on   *modelWorker
		task work.TaskRef
	}
	var members []member
	for _, on := range m.workers {
		for _, t := range on.tasks() {
			if t.Job == "gang" && on.running[t] == run && !on.dead {
				members = append(members, member{on, t})
			}
		}
	}
	if len(members) < 2 {
		return // it waits for the other
	}
	for _, e := range members {
		m.endRun(e.on, e.task, how)
		if how != work.Done {
			how = work.GangBroken
		}
	}
}

func (m *termModel) expireLeases() {
	before := make([]int64, len(m.workers))
	for i, w := range m.workers {
		before[i] = w.seq
	}
	m.model.expireLeases()
	for i, w := range m.workers {
		m.noteEnds(w, before[i])
	}
}

// inject injects a random fault, or ends one.
func (m *termModel) inject() {
	if m.faultsOff {
		return
	}
	o := m.anyTerm()
	w := m.anyWorker()
	switch m.rng.IntN(60) {
	case 0:
		o.frozenUntil = m.now + time.Duration(200+m.rng.IntN(7000))*time.Millisecond
		o.cutFromStore = o.cutFromStore || m.chance(80)
	case 1:
		if m.chance(20) {
			m.endTerm(o) // killed
		}
	case 2:
		m.storeDown = true
	case 3, 4, 5, 6, 7:
		m.storeDown = false
	case 8:
		o.cutFromStore = true
	case 9:
		o.cutFromStore = o.cutFromStore && m.chance(60)
	case 10, 11:
		o.unreachable[w.id] = true
	case 12, 13:
		if m.chance(50) {
			clear(o.unreachable)
		}
	case 22, 23:
		if !w.dead {
			m.model.crash(w)
		}
	case 24, 28, 29, 30:
		if m.live() < 6 {
			m.addNewWorker()
		}
	case 25, 26, 31, 32, 33:
		if m.created < maxModelJobs && !m.storeDown {
			m.created++
			r := m.newJob()
			m.jobs[r.Job.ID], m.inbox[r.Job.ID] = r, true
		}
	case 27:
		if m.chance(30) {
			id := sortedIDs(m.jobs)[m.rng.IntN(len(m.jobs))]
			if m.runs(o) {
				o.core.Cancel(id, func(error) {})
			}
		}
	}
}

// live returns the number of workers that run.
func (m *termModel) live() int {
	n := 0
	for _, w := range m.workers {
		if !w.dead {
			n++
		}
	}
	return n
}

// play simulates the events of a term model, and then a time without faults.
func (m *termModel) play() {
	for range 4000 {
		m.step()
	}
	m.faultsOff, m.storeDown = true, false
	for _, o := range m.terms {
		m.endTerm(o)
	}
	m.now += termTTL
	m.beginTerm(false)
	for range 1500 {
		m.step()
	}
}

// Guards against tasks that run twice, or start again after an acknowledged end, while owners are frozen and
// thawed, lose their connection to the store or to workers, learn late what their transactions did, and get
// lists of VMs and registrations late.
func TestNoTaskRunsTwiceWhateverOwnersLearnLate(t *testing.T) {
	thawed, overdue, ended, terms := 0, 0, 0, 0
	for i := range *termSeeds {
		seed := *modelFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newTermModel(t, seed)
			m.play()
			thawed, overdue, ended, terms = thawed+m.thawed, overdue+m.overdue, ended+len(m.ended), terms+len(m.terms)
		})
	}
	t.Logf("%d terms, %d jobs ended, %d failed renewals of owners with a successor, %d starts by them", terms, ended, thawed, overdue)
	assert.Assert(t, thawed > 0 && ended > 0)
}
