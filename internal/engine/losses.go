package engine

import (
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/crashes"
	"github.com/pumicestage/pumicestage/policy/work"
)

// lossCause tells why runs were lost: they ended, and their worker did not list their end.
type lossCause string

// The causes of lost runs.
const (
	lossCrash   lossCause = "crash"   // the worker's incarnation ended unannounced
	lossPlanned lossCause = "planned" // it was leaving, or its VM was to be moved or maintained
	lossLease   lossCause = "lease"   // it was unreachable until its leases had run out
)

// departureAnnounced reports whether the end of the worker's incarnation was announced.
func (w *worker) departureAnnounced() bool { return w.info.Draining || w.cordon.Closes() }

// WorkerGone records that the worker's incarnation has ended, and with it all its runs.
func (c *Core) WorkerGone(id work.WorkerID, why string, now time.Duration) {
	w := c.workers[id]
	if w == nil {
		return
	}
	cause := lossCrash
	if w.departureAnnounced() {
		cause = lossPlanned
	}
	c.endIncarnation(w, why, cause, now)
}

// endIncarnation removes the worker, with the reason why and the cause of its lost runs. A
// registration of another incarnation that is known takes its place.
func (c *Core) endIncarnation(w *worker, why string, cause lossCause, now time.Duration) {
	if w.gone {
		return
	}
	w.gone = true
	c.endedIncarnations[w.info.ID] = append(c.endedIncarnations[w.info.ID], w.info.Incarnation)
	c.log.Info("worker gone", "worker", w.info.ID, "service", w.info.Service, "tasks", len(w.tasks), "reason", why, "cause", cause)
	if cause == lossCrash {
		c.lostUnpolled = c.lostUnpolled || !w.contacted
		c.recordWorkerCrash(w, now)
	}
	c.dropTasks(w, cause, now)
	delete(c.workers, w.info.ID)
	c.sorted = nil
	if w.nextIncarnation != nil {
		c.WorkerRegistered(*w.nextIncarnation)
	}
}

// dropTasks removes all tasks from the worker: none of them runs there any more.
func (c *Core) dropTasks(w *worker, cause lossCause, now time.Duration) {
	for _, t := range w.tasks {
		t.losses++
		c.metrics.countLostRun(cause)
		c.log.V(1).Info("run lost", "task", t.ref.String(), "run", t.run, "worker", w.info.ID, "cause", cause,
			"seen running for", w.observedRunTime(t).String(), "losses", t.losses)
		if cause == lossLease {
			w.expiredRuns = append(w.expiredRuns, w.lostRunOf(t, now))
		}
		c.handleIncompleteRun(t, now)
	}
	clear(w.orphanedRuns)
}

// observedRunTime returns how long the task had run on the worker as of the worker's last
// answer; 0 if no answer came since its start.
func (w *worker) observedRunTime(t *task) time.Duration {
	if t.answeredAt == 0 || t.state == taskStarting || t.state == taskUncertain {
		return 0
	}
	return max(0, w.clockAt-t.answeredAt) + t.ranBefore
}

// lostRun is a run that was lost with its worker.
type lostRun struct {
	task              *task
	run               int
	minRunTime        time.Duration // as of the worker's last answer
	maxRunTime        time.Duration // until the worker fell silent
	unsent            bool          // its start order had not been sent
	silentBeforeStart time.Duration // how long before its start the worker may have crashed already
	startUnconfirmed  bool          // silentBeforeStart is so long that the crash says little about the run
}

// lostRunOf describes the run of the task as lost with the worker.
func (w *worker) lostRunOf(t *task, now time.Duration) lostRun {
	l := lostRun{task: t, run: t.run, minRunTime: w.observedRunTime(t), unsent: t.answeredAt == 0 && t.sentAt == 0}
	if !t.confirmed && t.state != taskActive {
		l.silentBeforeStart = max(0, t.sentAt-w.clockAt)
		l.startUnconfirmed = l.silentBeforeStart > crashes.MaxTrialDuration
	}
	silent := w.silentFrom(now)
	switch {
	case l.minRunTime > 0:
		l.maxRunTime = l.minRunTime + max(0, silent-w.clockAt)
	case t.sentAt > 0:
		l.maxRunTime = max(0, silent-t.sentAt)
	default:
		l.maxRunTime = max(0, silent-t.answeredAt)
	}
	return l
}

// markSilent records when the worker first did not answer since its last answer.
func (c *Core) markSilent(w *worker, now time.Duration) {
	if w.silentSince == 0 {
		w.silentSince = now
		c.correlatedLosses.Record(now, now)
		c.losses.add(len(c.workers), now)
	}
}

// lossSeries is a series of workers that fell silent shortly after each other.
type lossSeries struct {
	last    time.Duration // when the last one fell silent
	workers int           // of the cell before the series
}

// add records that one of so many workers fell silent.
func (s *lossSeries) add(workers int, now time.Duration) {
	if now > s.last+crashes.CorrelationWindow {
		s.workers = 0
	}
	s.last, s.workers = now, max(s.workers, workers)
}

// silentFrom returns when the worker fell silent; now, if it answered until now.
func (w *worker) silentFrom(now time.Duration) time.Duration {
	if w.silentSince != 0 {
		return w.silentSince
	}
	return now
}

// crash is a crash of a worker that has not been attributed yet.
type crash struct {
	worker      *worker
	at          time.Duration // when it fell silent
	lost        []lostRun
	workers     int  // workers of the cell before this one and those around it were lost
	duringTrial bool // a suspect was on trial there
}

// recordWorkerCrash records a crash with the runs that the worker had and those that it had
// until its leases ran out while it was unreachable. Their tasks start nowhere until the crash
// is attributed.
func (c *Core) recordWorkerCrash(w *worker, now time.Duration) {
	lost := w.expiredRuns
	for _, t := range w.tasks {
		lost = append(lost, w.lostRunOf(t, now))
	}
	lost = slices.DeleteFunc(lost, func(l lostRun) bool { return l.unsent })
	c.markSilent(w, now)
	at := w.silentFrom(now)
	for _, l := range lost {
		l.task.notBefore = max(l.task.notBefore, at+crashes.CorrelationWindow)
	}
	c.unattributed = append(c.unattributed, crash{worker: w, at: at, lost: lost, workers: max(c.losses.workers, len(c.workers)), duringTrial: w.runsTrial((*task).suspect)})
	c.attributeDueCrashes(now)
}

// attributeDueCrashes attributes the crashes of which it is known by now whether other workers
// were lost at the same time.
func (c *Core) attributeDueCrashes(now time.Duration) {
	var wait []crash
	for _, cr := range c.unattributed {
		if now < cr.at+crashes.CorrelationWindow {
			wait = append(wait, cr)
			continue
		}
		c.attributeCrash(&cr, now)
	}
	c.unattributed = wait
}

// continuedAfter reports whether the run is not lost with the incarnation w, as a later incarnation
// runs it: that one had received the start order.
func (l *lostRun) continuedAfter(w *worker) bool {
	return l.task.worker != nil && l.task.worker != w && l.task.run == l.run
}

// attributeCrash records a crash against the tasks that may have caused it.
func (c *Core) attributeCrash(cr *crash, now time.Duration) {
	w := cr.worker
	cr.lost = slices.DeleteFunc(cr.lost, func(l lostRun) bool { return l.continuedAfter(w) })
	rate := c.crashRate.PerWorker(now)
	if common := c.correlatedLosses.Rate(cr.at, cr.workers); common > 0 {
		c.log.Info("worker crashed together with others", "worker", w.info.ID, "runs", len(cr.lost), "common rate", common)
		rate += common
	}
	lostRuns := make([]crashes.LostRun, len(cr.lost))
	for i, l := range cr.lost {
		j := l.task.step.job
		job := string(j.ID)
		if l.task.step.spec.LongRunning {
			job = l.task.ref.String() // judged by task, as the job is never given up
		}
		lostRuns[i] = crashes.LostRun{
			Job: job, MinRunTime: l.minRunTime, MaxRunTime: l.maxRunTime, SilentBeforeStart: l.silentBeforeStart, StartUnconfirmed: l.startUnconfirmed, LongRunning: l.task.step.spec.LongRunning,
			Record: l.task.crashes, Prior: c.kindOf(j).Prior(now),
		}
	}
	verdict := crashes.Attribute(lostRuns, rate)
	// The runs of a worker that never answered are not known.
	if w.contacted {
		c.crashRate.Crashed(verdict.Spontaneous, cr.workers, now)
	}
	if cr.duringTrial {
		c.trials.Lost(w.info.Address, now)
	}
	for i, blamed := range verdict.Blamed {
		if blamed.Factor > 0 {
			blamed.Run, blamed.Worker = cr.lost[i].run, w.incarnationID()
			c.recordTaskCrash(cr.lost[i], w, blamed, now)
		}
	}
	for i, l := range cr.lost {
		c.kindOf(l.task.step.job).Crashed(verdict.FirstCrash[i], now)
	}
	for _, l := range cr.lost {
		c.failPoisonTask(l.task, now)
	}
}

// recordTaskCrash adds a crash to the task's record.
func (c *Core) recordTaskCrash(l lostRun, w *worker, blamed crashes.Crash, now time.Duration) {
	t, j := l.task, l.task.step.job
	if j.final != "" || t.state == taskDone {
		return
	}
	t.crashes = t.crashes.With(blamed)
	if !slices.Contains(t.crashedAt, w.info.Address) {
		t.crashedAt = append(t.crashedAt, w.info.Address)
	}
	t.trial = 0
	c.updateSuspected(t, now)
	if t.step.spec.LongRunning {
		t.notBefore = now + min(maxCrashPause, initialCrashPause<<min(len(t.crashes), 5))
	}
	j.evidence++
	c.markDirty(j)
	c.log.Info("worker crash attributed to a task", "task", t.ref.String(), "run", l.run, "worker", w.info.ID, "factor", blamed.Factor, "presumed", blamed.Presumed,
		"seen running for", l.minRunTime.String(), "at most", l.maxRunTime.String(), "crashes", len(t.crashes), "suspect", t.suspected)
}

// Pauses between starts of a long-running task under which workers crash. It is never given
// up, as callers are promised that it is restarted however it ends, and it must not crash one
// worker after another.
const (
	initialCrashPause = 100 * time.Millisecond
	maxCrashPause     = 2 * time.Second
)

// kindKey identifies a kind of jobs: those that behave alike.
type kindKey struct {
	queue       string
	longRunning bool
}

// kindOf returns what is known of the crashes of jobs of this kind.
func (c *Core) kindOf(j *job) *crashes.Kind {
	key := kindKey{queue: j.Queue, longRunning: j.LongRunning()}
	k := c.kinds[key]
	if k == nil {
		k = &crashes.Kind{}
		c.kinds[key] = k
	}
	return k
}

// updateSuspected decides anew whether the task is a suspect, after its record changed.
func (c *Core) updateSuspected(t *task, now time.Duration) {
	t.suspected = t.crashes.Suspect(c.kindOf(t.step.job).Prior(now))
}

// failPoisonTask fails the task's job if the crashes say that the task crashes every worker
// that starts it.
func (c *Core) failPoisonTask(t *task, now time.Duration) {
	j := t.step.job
	if j.final != "" || t.state == taskDone || t.step.spec.LongRunning {
		return
	}
	if prior := c.kindOf(j).Prior(now); t.crashes.Poison(prior) {
		c.timesToCrash.Add(t.crashes)
		c.log.Info("job failed, as its task crashes workers", "task", t.ref.String(), "crashes", len(t.crashes), "share of such jobs", prior)
		c.finish(j, work.Failed)
		c.clearExplainedCrashes(t, now)
	}
}

// clearExplainedCrashes takes back the crashes recorded against other tasks that the poison
// task explains.
func (c *Core) clearExplainedCrashes(poison *task, now time.Duration) {
	crashed := poison.crashes.Workers()
	for _, j := range c.open {
		j.eachTask(func(t *task) {
			if left, changed := t.crashes.MarkExplained(crashed); changed {
				t.crashes = left
				c.updateSuspected(t, now)
				c.markDirty(j)
			}
		})
	}
}

// resolvePresumed decides, once it is known what earlier owners left, about the starts of
// suspects that these owners recorded and whose outcome is unknown: they crashed their
// workers, unless all workers that were found registered are alive.
func (c *Core) resolvePresumed(now time.Duration) {
	if c.presumedResolved {
		return
	}
	c.presumedResolved = true
	for _, j := range slices.Clone(c.open) {
		j.eachTask(func(t *task) {
			switch {
			case t.presumedRun == 0 || j.final != "":
			case c.lostUnpolled:
				c.failPoisonTask(t, now)
			default:
				c.clearPresumed(t, t.presumedRun)
			}
		})
	}
}

// clearDisprovenCrashes forgets the crashes under a long-running task whose current run shows
// that it does not cause them.
func (c *Core) clearDisprovenCrashes(t *task) {
	if t.worker == nil || len(t.crashes) == 0 {
		return
	}
	run := crashes.LostRun{MinRunTime: t.worker.observedRunTime(t), LongRunning: t.step.spec.LongRunning}
	if run.ProvenSound() {
		t.crashes, t.crashedAt, t.suspected = nil, nil, false
		c.markDirty(t.step.job)
	}
}

// avoided returns the workers that the task goes to only if no other is left: it failed there,
// or an earlier incarnation crashed under it. A VM that repeatedly crashes spontaneously would
// make a sound task look as if it caused the crashes.
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

// clearPresumed takes back the crash that an earlier owner's start of the task was presumed to
// have caused, if a worker reports a later run of the task than those under which workers
// crashed.
func (c *Core) clearPresumed(t *task, run int) {
	if t.presumedRun == 0 || run <= t.crashes.Without(t.presumedRun).LatestRun() {
		return
	}
	t.crashes = t.crashes.Without(t.presumedRun)
	t.presumedRun = 0
	c.updateSuspected(t, c.now)
	c.markDirty(t.step.job)
}
