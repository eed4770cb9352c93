// Package blame divides failures of tasks between jobs and workers.
//
// Load pattern: a worker that fails every task at once always has free capacity, so it
// receives the whole queue; and a faulty job that is submitted a thousand times fails on
// every worker that it runs on. Unless the two are told apart, the first loses the work of
// the whole fleet. Counting failures by worker alone would quarantine every worker that the
// second ran on.
package blame

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// maxFailures is how many failures in a row are remembered of a worker.
	maxFailures = 8
	// severalKindsThreshold is the weight of failures in a row that quarantines a worker on
	// which more than one kind failed. One failure of a kind that does well elsewhere weighs
	// a little less than 1, so it takes three.
	severalKindsThreshold = 2.0
	// oneKindThreshold is the same if all failures were of one kind. The kind may have become
	// faulty just now and not have failed elsewhere yet, so it takes six or more.
	oneKindThreshold = 5.0
	// maxObservations is the number of workers, the latest ones, whose outcomes show how a
	// kind does elsewhere. Each worker counts once however often the kind fails there:
	// otherwise the few workers that fail everything would outweigh the many that fail
	// nothing. Old outcomes are dropped, so that a kind that has become faulty isn't rated by
	// its past.
	maxObservations = 256
	// minQuarantine and maxQuarantine bound the duration of a quarantine, which each failed
	// probe doubles. A worker that a restart has fixed is back within minutes; one that stays
	// broken costs two jobs an hour.
	minQuarantine = time.Minute
	maxQuarantine = 30 * time.Minute
	// workersToBlame is the number of distinct workers that a job must fail on before it is
	// stopped: two workers may both be faulty, three that are not suspect are not.
	workersToBlame = 3
	// maxKinds limits the number of kinds that are remembered, and so the memory used.
	maxKinds = 1000
)

// Outcome is the outcome of a task on a worker.
type Outcome int8

// The outcomes. Survived means that the task is still running after the time at which early
// failures happen. It clears its worker of failing everything that it starts, long before
// the end of the task is known.
const (
	Survived Outcome = iota
	Succeeded
	FailedEarly
	FailedLate // after it had been recorded as Survived
)

// Event is one outcome of one task.
type Event struct {
	VM      model.VMID
	Kind    string
	Outcome Outcome
	At      time.Time
}

// observation is the latest outcome of a kind on one worker.
type observation struct {
	outcome Outcome
	turn    uint64 // the Book's event counter at that outcome
}

// kind holds the outcomes of a kind on the workers that ran it last.
type kind struct {
	observations map[model.VMID]observation
	turn         uint64 // the Book's event counter at its latest outcome
}

// failure is one remembered failure.
type failure struct {
	kind string
	late bool
}

// Worker holds what is remembered of one worker. Its quarantine is stored; its failures are
// not, and are collected anew by the next owner of the work.
type Worker struct {
	Until    time.Time // end of the quarantine, after which the worker is probed; zero if neither applies
	Bans     int       // quarantines in a row without a success between them
	failures []failure // since its last good outcome, oldest first
}

// Book remembers outcomes by worker and kind. Its exported fields are stored.
type Book struct {
	Workers map[model.VMID]*Worker
	kinds   map[string]*kind
	turn    uint64 // number of events recorded
}

// NewBook returns an empty Book.
func NewBook() *Book {
	return &Book{Workers: make(map[model.VMID]*Worker), kinds: make(map[string]*kind)}
}

func (b *Book) worker(vm model.VMID) *Worker {
	w := b.Workers[vm]
	if w == nil {
		w = &Worker{}
		b.Workers[vm] = w
	}
	return w
}

// Record records an outcome.
func (b *Book) Record(e Event) {
	b.observe(e)
	if e.Outcome == Survived || e.Outcome == Succeeded {
		b.clear(e.VM, e.Outcome == Survived)
		return
	}
	w := b.worker(e.VM)
	w.failures = append(w.failures, failure{e.Kind, e.Outcome == FailedLate})
	if len(w.failures) > maxFailures {
		w.failures = w.failures[1:]
	}
	if !w.Until.IsZero() && !e.At.Before(w.Until) {
		w.quarantine(e.At) // the probe failed, so the quarantine is extended
	}
}

// clear removes a worker's failures, or only the early ones: a task that has survived doesn't
// show that late failures are over.
func (b *Book) clear(vm model.VMID, earlyOnly bool) {
	w := b.Workers[vm]
	if w == nil {
		return
	}
	w.failures = slices.DeleteFunc(w.failures, func(m failure) bool { return !earlyOnly || !m.late })
	if len(w.failures) == 0 {
		delete(b.Workers, vm)
	}
}

func (b *Book) observe(e Event) {
	b.turn++
	k := b.kinds[e.Kind]
	if k == nil {
		if len(b.kinds) >= maxKinds {
			b.forgetKind()
		}
		k = &kind{observations: make(map[model.VMID]observation)}
		b.kinds[e.Kind] = k
	}
	k.turn = b.turn
	k.observations[e.VM] = observation{e.Outcome, b.turn}
	if len(k.observations) > maxObservations {
		k.forgetOldest()
	}
}

func (k *kind) forgetOldest() {
	var oldest model.VMID
	least := k.turn + 1
	for vm, s := range k.observations {
		if s.turn < least {
			oldest, least = vm, s.turn
		}
	}
	delete(k.observations, oldest)
}

// forgetKind drops the kind whose latest outcome is the oldest.
func (b *Book) forgetKind() {
	oldest, least := "", b.turn+1
	for name, k := range b.kinds {
		if k.turn < least {
			oldest, least = name, k.turn
		}
	}
	delete(b.kinds, oldest)
}

// weight returns how much a failure of the kind counts against the worker: the share of other
// workers on which the kind did well of late, or 0 if nothing is known of others. For an
// early failure a task that survived elsewhere counts as doing well, for a late one only a
// success: a kind that always fails in its last minute has survived everywhere, which says
// nothing about any worker.
func (b *Book) weight(vm model.VMID, m failure) float64 {
	k := b.kinds[m.kind]
	if k == nil {
		return 0
	}
	good, failed := 0, 0
	for other, s := range k.observations {
		switch {
		case other == vm:
		case s.outcome == Succeeded || s.outcome == Survived && !m.late:
			good++
		case s.outcome != Survived:
			failed++
		}
	}
	return float64(good) / float64(good+failed+1)
}

// suspicion returns the weight of a worker's failures in a row divided by the threshold for
// a quarantine. From 1 on the worker is suspect.
func (b *Book) suspicion(vm model.VMID) float64 {
	w := b.Workers[vm]
	if w == nil || len(w.failures) < 2 {
		return 0
	}
	weights := make(map[string]float64) // by kind and time of failure
	sum, limit := 0.0, oneKindThreshold
	for _, m := range w.failures {
		key := fmt.Sprint(m.kind, m.late)
		if _, known := weights[key]; !known {
			weights[key] = b.weight(vm, m)
		}
		sum += weights[key]
		if m.kind != w.failures[0].kind {
			limit = severalKindsThreshold
		}
	}
	return sum / limit
}

// suspect is a worker with its suspicion.
type suspect struct {
	vm        model.VMID
	suspicion float64
}

// UpdateQuarantine quarantines suspect workers, the most suspect first, as long as no more
// than maxWorkers are in quarantine or on probe, and returns the newly quarantined. A worker
// in its first quarantine is released at once if its failures turn out to be the jobs', because
// these fail elsewhere too.
func (b *Book) UpdateQuarantine(now time.Time, maxWorkers int) []model.VMID {
	quarantined := 0
	var suspects []suspect
	for vm, w := range b.Workers {
		s := b.suspicion(vm)
		if !w.Until.IsZero() && len(w.failures) > 0 && w.Bans == 1 && s < releaseSuspicion {
			delete(b.Workers, vm)
			continue
		}
		if !w.Until.IsZero() {
			quarantined++
		} else if s >= 1 {
			suspects = append(suspects, suspect{vm, s})
		}
	}
	slices.SortFunc(suspects, func(x, y suspect) int {
		return cmp.Or(cmp.Compare(y.suspicion, x.suspicion), cmp.Compare(x.vm, y.vm))
	})
	var added []model.VMID
	for _, s := range suspects[:min(len(suspects), max(maxWorkers-quarantined, 0))] {
		b.Workers[s.vm].quarantine(now)
		added = append(added, s.vm)
	}
	return added
}

// releaseSuspicion is the suspicion below which a quarantine was a mistake. It is half of what
// starts one, so that a worker near the threshold doesn't enter and leave it repeatedly.
const releaseSuspicion = 0.5

func (w *Worker) quarantine(now time.Time) {
	w.Until = now.Add(min(minQuarantine<<min(w.Bans, 10), maxQuarantine))
	w.Bans++
}

// WorkerStatus returns why a worker is closed, or an empty string if it isn't, and whether it
// is to be probed with one repeatable job.
func (b *Book) WorkerStatus(vm model.VMID, now time.Time) (closed string, probe bool) {
	w := b.Workers[vm]
	if w == nil || w.Until.IsZero() {
		return "", false
	}
	if now.Before(w.Until) {
		return fmt.Sprintf("quarantined until %s: it fails what runs elsewhere", w.Until.UTC().Format(time.TimeOnly)), false
	}
	return "", true
}

// Quarantined returns the number of workers in quarantine or on probe.
func (b *Book) Quarantined() int {
	n := 0
	for _, w := range b.Workers {
		if !w.Until.IsZero() {
			n++
		}
	}
	return n
}

// JobToBlame reports whether a job that failed on the given workers is itself at fault: it
// failed on workersToBlame distinct workers that are neither suspect nor quarantined.
func (b *Book) JobToBlame(failedOn []model.VMID) bool {
	distinct := make(map[model.VMID]bool)
	for _, vm := range failedOn {
		if w := b.Workers[vm]; w != nil && (!w.Until.IsZero() || b.suspicion(vm) >= 1) {
			continue
		}
		distinct[vm] = true
	}
	return len(distinct) >= workersToBlame
}

// Forget drops workers that no longer exist.
func (b *Book) Forget(exists func(model.VMID) bool) {
	for vm := range b.Workers {
		if !exists(vm) {
			delete(b.Workers, vm)
		}
	}
}
