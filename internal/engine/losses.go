package engine

import (
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/crashes"
	"github.com/pumicestage/pumicestage/policy/work"
)

// loss says why runs ended without an end that their worker listed.
type loss string

// The causes of lost runs.
const (
	lossCrash   loss = "crash"   // the worker's life ended unannounced
	lossPlanned loss = "planned" // it was leaving, or its VM was to be moved or maintained
	lossLease   loss = "lease"   // it was not reached until its leases had run out
)

// leaves reports whether the end of the worker's life was announced.
func (w *worker) leaves() bool { return w.info.Draining || w.cordon.Closes() }

// WorkerGone says that the worker's life is over, and with it all it ran.
func (c *Core) WorkerGone(id work.WorkerID, why string, now time.Duration) {
	w := c.workers[id]
	if w == nil {
		return
	}
	cause := lossCrash
	if w.leaves() {
		cause = lossPlanned
	}
	c.lifeOver(w, why, cause, now)
}

func (c *Core) lifeOver(w *worker, why string, cause loss, now time.Duration) {
	if w.gone {
		return
	}
	w.gone = true
	c.over[w.info.ID] = append(c.over[w.info.ID], w.info.Life)
	c.log.Info("worker gone", "worker", w.info.ID, "service", w.info.Service, "tasks", len(w.tasks), "reason", why, "cause", cause)
	if cause == lossCrash {
		c.lostUnheard = c.lostUnheard || !w.heard
		c.crashed(w, now)
	}
	c.dropTasks(w, cause, now)
	delete(c.workers, w.info.ID)
	c.sorted = nil
	if w.next != nil {
		c.WorkerSeen(*w.next)
	}
}

// dropTasks takes everything off the worker: none of it runs any more.
func (c *Core) dropTasks(w *worker, cause loss, now time.Duration) {
	for _, t := range w.tasks {
		t.losses++
		c.metrics.countLostRun(cause)
		c.log.V(1).Info("run lost", "task", t.ref.String(), "run", t.run, "worker", w.info.ID, "cause", cause,
			"seen running for", w.seenRunning(t).String(), "losses", t.losses)
		if cause == lossLease {
			w.lapsed = append(w.lapsed, w.lossOf(t, now))
		}
		c.ranOut(t, now)
	}
	clear(w.strays)
}

// seenRunning is how long the task had run there as the worker last answered; 0 where no
// answer came since its start.
func (w *worker) seenRunning(t *task) time.Duration {
	if t.answered == 0 || t.state == taskStarting || t.state == taskDoubtful {
		return 0
	}
	return max(0, w.clockAt-t.answered) + t.ranBefore
}

// lostRun is a run that was lost with its worker.
type lostRun struct {
	task   *task
	run    int
	ran    time.Duration // as last seen
	most   time.Duration // as its worker fell silent
	unsent bool          // its start had not been sent
	before time.Duration // as long before its start the worker may have crashed already
	unseen bool          // that long that the crash says little
}

func (w *worker) lossOf(t *task, now time.Duration) lostRun {
	l := lostRun{task: t, run: t.run, ran: w.seenRunning(t), unsent: t.answered == 0 && t.left == 0}
	if !t.shown && t.state != taskActive {
		l.before = max(0, t.left-w.clockAt)
		l.unseen = l.before > crashes.MaxTrialDuration
	}
	silent := w.silentAt(now)
	switch {
	case l.ran > 0:
		l.most = l.ran + max(0, silent-w.clockAt)
	case t.left > 0:
		l.most = max(0, silent-t.left)
	default:
		l.most = max(0, silent-t.answered)
	}
	return l
}

// fellSilent notes that the worker did not answer, for the first time since it last did.
func (c *Core) fellSilent(w *worker, now time.Duration) {
	if w.silentSince == 0 {
		w.silentSince = now
		c.silences.Record(now, now)
	}
}

// silentAt is when the worker fell silent; now, if it answered until now.
func (w *worker) silentAt(now time.Duration) time.Duration {
	if w.silentSince != 0 {
		return w.silentSince
	}
	return now
}

// crash is a crash of a worker that is still to be judged.
type crash struct {
	worker *worker
	at     time.Duration // when it fell silent
	lost   []lostRun
	tried  bool // a suspect was on trial there
}

// crashed notes that the worker crashed, with what ran there and what did until its leases ran
// out unreached. That starts nowhere until the crash is judged.
func (c *Core) crashed(w *worker, now time.Duration) {
	lost := w.lapsed
	for _, t := range w.tasks {
		lost = append(lost, w.lossOf(t, now))
	}
	lost = slices.DeleteFunc(lost, func(l lostRun) bool { return l.unsent })
	c.fellSilent(w, now)
	at := w.silentAt(now)
	for _, l := range lost {
		l.task.notBefore = max(l.task.notBefore, at+crashes.CorrelationWindow)
	}
	c.unjudged = append(c.unjudged, crash{worker: w, at: at, lost: lost, tried: w.tries((*task).suspect)})
	c.judgeCrashes(now)
}

// judgeCrashes blames tasks for the crashes of which it is known by now whether other workers
// were lost with them.
func (c *Core) judgeCrashes(now time.Duration) {
	var wait []crash
	for _, cr := range c.unjudged {
		if now < cr.at+crashes.CorrelationWindow {
			wait = append(wait, cr)
			continue
		}
		c.blame(&cr, now)
	}
	c.unjudged = wait
}

// goesOnAfter reports whether the run was found in a life that followed the worker: its start had
// reached that one.
func (l *lostRun) goesOnAfter(w *worker) bool {
	return l.task.where != nil && l.task.where != w && l.task.run == l.run
}

// blame notes a crash against what may have caused it.
func (c *Core) blame(cr *crash, now time.Duration) {
	w := cr.worker
	cr.lost = slices.DeleteFunc(cr.lost, func(l lostRun) bool { return l.goesOnAfter(w) })
	rate := c.crashRate.PerWorker(now)
	if common := c.silences.Rate(cr.at, len(c.workers)); common > 0 {
		c.log.Info("worker crashed together with others", "worker", w.info.ID, "runs", len(cr.lost), "common rate", common)
		rate += common
	}
	lostRuns := make([]crashes.LostRun, len(cr.lost))
	for i, l := range cr.lost {
		j := l.task.step.job
		job := string(j.ID)
		if l.task.step.spec.LongRunning {
			job = l.task.ref.String() // it is judged for itself, as its job is never given up
		}
		lostRuns[i] = crashes.LostRun{
			Job: job, MinRunTime: l.ran, MaxRunTime: l.most, SilentBeforeStart: l.before, StartUnconfirmed: l.unseen, LongRunning: l.task.step.spec.LongRunning,
			Record: l.task.crashes, Prior: c.kindOf(j).Prior(now),
		}
	}
	verdict := crashes.Attribute(lostRuns, rate)
	// What ran on a worker that was never heard is not known.
	if w.heard {
		c.crashRate.Crashed(verdict.Spontaneous, len(c.workers), now)
	}
	if cr.tried {
		c.trials.Lost(w.info.Address, now)
	}
	for i, blamed := range verdict.Blamed {
		if blamed.Factor > 0 {
			blamed.Run, blamed.Worker = cr.lost[i].run, string(w.info.ID)
			c.crashedUnder(cr.lost[i], w, blamed, now)
		}
	}
	for i, l := range cr.lost {
		c.kindOf(l.task.step.job).Crashed(verdict.FirstCrash[i], now)
	}
	for _, l := range cr.lost {
		c.giveUpPoison(l.task, now)
	}
}

// crashedUnder adds a crash to the task's record.
func (c *Core) crashedUnder(l lostRun, w *worker, blamed crashes.Crash, now time.Duration) {
	t, j := l.task, l.task.step.job
	if j.final != "" || t.state == taskDone {
		return
	}
	t.crashes = t.crashes.With(blamed)
	if !slices.Contains(t.crashedAt, w.info.Address) {
		t.crashedAt = append(t.crashedAt, w.info.Address)
	}
	t.trial = 0
	c.judgeRecord(t, now)
	if t.step.spec.LongRunning {
		t.notBefore = now + min(mostCrashPause, firstCrashPause<<min(len(t.crashes), 5))
	}
	j.evidence++
	c.touch(j)
	c.log.Info("worker crashed under a task", "task", t.ref.String(), "run", l.run, "worker", w.info.ID, "factor", blamed.Factor, "presumed", blamed.Presumed,
		"seen running for", l.ran.String(), "at most", l.most.String(), "crashes", len(t.crashes), "suspect", t.suspected)
}

// Pauses between starts of a lasting task under which workers crash. It is never given up,
// as callers are promised that it is restarted however it ends, and it must not take one
// worker after the other.
const (
	firstCrashPause = 100 * time.Millisecond
	mostCrashPause  = 2 * time.Second
)

// kindKey names a kind of job: those that behave alike.
type kindKey struct {
	queue   string
	lasting bool
}

// kindOf is what is known of jobs like this one.
func (c *Core) kindOf(j *job) *crashes.Kind {
	key := kindKey{queue: j.Queue, lasting: j.LongRunning()}
	k := c.kinds[key]
	if k == nil {
		k = &crashes.Kind{}
		c.kinds[key] = k
	}
	return k
}

// judgeRecord decides whether the task is a suspect, after a change of its record.
func (c *Core) judgeRecord(t *task, now time.Duration) {
	t.suspected = t.crashes.Suspect(c.kindOf(t.step.job).Prior(now))
}

// giveUpPoison gives the task's job up when the crashes say that the task crashes whatever
// starts it.
func (c *Core) giveUpPoison(t *task, now time.Duration) {
	j := t.step.job
	if j.final != "" || t.state == taskDone || t.step.spec.LongRunning {
		return
	}
	if prior := c.kindOf(j).Prior(now); t.crashes.Poison(prior) {
		c.onsets.Add(t.crashes)
		c.log.Info("task given up", "task", t.ref.String(), "crashes", len(t.crashes), "share of such jobs", prior)
		c.finish(j, work.Failed)
		c.acquitBeside(t, now)
	}
}

// acquitBeside takes back what was noted of other tasks for the crashes that the task, now
// known for what it is, explains.
func (c *Core) acquitBeside(poison *task, now time.Duration) {
	lives := poison.crashes.Workers()
	for _, j := range c.open {
		j.eachTask(func(t *task) {
			if left, changed := t.crashes.MarkExplained(lives); changed {
				t.crashes = left
				c.judgeRecord(t, now)
				c.touch(j)
			}
		})
	}
}

// resolvePresumed decides, once it is known what earlier owners left, what became of the
// starts of suspects that they had noted and that nothing is known of: they crashed their
// workers, unless all workers that were found registered live.
func (c *Core) resolvePresumed(now time.Duration) {
	if c.presumedResolved {
		return
	}
	c.presumedResolved = true
	for _, j := range slices.Clone(c.open) {
		j.eachTask(func(t *task) {
			switch {
			case t.presumed == 0 || j.final != "":
			case c.lostUnheard:
				c.giveUpPoison(t, now)
			default:
				c.clearPresumed(t, t.presumed)
			}
		})
	}
}

// clearCrashes forgets the crashes under a lasting task whose present run shows that it does not
// cause them.
func (c *Core) clearCrashes(t *task) {
	if t.where == nil || len(t.crashes) == 0 {
		return
	}
	run := crashes.LostRun{MinRunTime: t.where.seenRunning(t), LongRunning: t.step.spec.LongRunning}
	if run.ProvenSound() {
		t.crashes, t.crashedAt, t.suspected = nil, nil, false
		c.touch(t.step.job)
	}
}

// avoided are the workers that the task goes to only if nothing else is left: it failed
// there, or a life before crashed under it. A VM that crashes by itself again and again would
// make a sound task look like poison.
func (t *task) avoided(workers map[work.WorkerID]*worker) []work.WorkerID {
	out := t.avoid
	if len(t.crashedAt) == 0 {
		return out
	}
	for id, w := range workers {
		if slices.Contains(t.crashedAt, w.info.Address) {
			out = append(slices.Clip(out), id)
		}
	}
	return out
}

// clearPresumed takes back the crash that an earlier owner's start of the task was taken to have
// caused: its worker tells of a run of the task that is later than those under which workers
// crashed.
func (c *Core) clearPresumed(t *task, run int) {
	if t.presumed == 0 || run <= t.crashes.Without(t.presumed).LatestRun() {
		return
	}
	t.crashes = t.crashes.Without(t.presumed)
	t.presumed = 0
	c.judgeRecord(t, c.now)
	c.touch(t.step.job)
}
