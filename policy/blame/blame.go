// Package blame splits failures between jobs and workers.
//
// Load pattern: a worker that fails everything at once is always the one with
// room, so it draws in the whole queue; and a bad job submitted a thousand
// times fails on every worker it touches. Without a split the first loses the
// work of the fleet, and counting failures by worker alone would quarantine
// every worker that the second touched.
package blame

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// recent is how many failures in a row of a worker are remembered.
	recent = 8
	// severalKinds is the weight of failures in a row that quarantines a worker
	// on which more than one kind failed. One failure of a kind that does well
	// elsewhere weighs a little under 1, so it takes three.
	severalKinds = 2.0
	// oneKind is the same where all were of one kind. The kind may just have
	// been broken and not have failed elsewhere yet, so it takes six or more.
	oneKind = 5.0
	// witnesses is how many workers, the latest ones, say how a kind does
	// elsewhere. Each counts once however often it fails, or the few that fail
	// everything would outvote the many that fail nothing; old ones are
	// dropped, or a kind that was broken today would be taken for good.
	witnesses = 256
	// firstBan and longestBan bound a quarantine; each failed probe doubles it.
	// A worker that was mended by a restart is back within minutes, one that is
	// broken for good costs two jobs an hour.
	firstBan   = time.Minute
	longestBan = 30 * time.Minute
	// workersToBlame is how many distinct workers a job must fail on before it
	// is stopped: two may both be bad, three in good standing are not.
	workersToBlame = 3
	// maxKinds bounds the state.
	maxKinds = 1000
)

// Outcome is how a task on a worker went.
type Outcome int8

// The outcomes. Survived is a task that runs for longer than those that fail
// at once: it clears its worker of failing everything it starts, long before
// the task's end is known.
const (
	Survived Outcome = iota
	Succeeded
	FailedEarly
	FailedLate // after it had survived
)

// Event is one outcome of one task.
type Event struct {
	VM      model.VMID
	Kind    string
	Outcome Outcome
	At      time.Time
}

// sight is the latest outcome of a kind on one worker.
type sight struct {
	outcome Outcome
	turn    uint64
}

// kind is how a kind did on the workers that ran it last.
type kind struct {
	sights map[model.VMID]sight
	turn   uint64 // when it was last heard of
}

// mark is one remembered failure.
type mark struct {
	kind string
	late bool
}

// Worker is what is remembered of one. Its quarantine is stored; the evidence
// is gathered anew by whoever takes the work over.
type Worker struct {
	Until time.Time // quarantined until, or on probe after; zero if neither
	Bans  int       // quarantines in a row without a success between
	fails []mark    // since it last did well, oldest first
}

// Book remembers workers and kinds. Its fields are exported to be stored.
type Book struct {
	Workers map[model.VMID]*Worker
	kinds   map[string]*kind
	turn    uint64
}

// NewBook returns a Book that knows nothing.
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

// Record notes an outcome.
func (b *Book) Record(e Event) {
	b.witness(e)
	if e.Outcome == Survived || e.Outcome == Succeeded {
		b.clear(e.VM, e.Outcome == Survived)
		return
	}
	w := b.worker(e.VM)
	w.fails = append(w.fails, mark{e.Kind, e.Outcome == FailedLate})
	if len(w.fails) > recent {
		w.fails = w.fails[1:]
	}
	if !w.Until.IsZero() && !e.At.Before(w.Until) {
		w.ban(e.At) // the probe failed
	}
}

// clear takes a worker's failures off it. A task that has only survived says
// nothing of those that fail late.
func (b *Book) clear(vm model.VMID, onlyEarly bool) {
	w := b.Workers[vm]
	if w == nil {
		return
	}
	w.fails = slices.DeleteFunc(w.fails, func(m mark) bool { return !onlyEarly || !m.late })
	if len(w.fails) == 0 {
		delete(b.Workers, vm)
	}
}

func (b *Book) witness(e Event) {
	b.turn++
	k := b.kinds[e.Kind]
	if k == nil {
		if len(b.kinds) >= maxKinds {
			b.forgetKind()
		}
		k = &kind{sights: make(map[model.VMID]sight)}
		b.kinds[e.Kind] = k
	}
	k.turn = b.turn
	k.sights[e.VM] = sight{e.Outcome, b.turn}
	if len(k.sights) > witnesses {
		k.forgetOldest()
	}
}

func (k *kind) forgetOldest() {
	var oldest model.VMID
	least := k.turn + 1
	for vm, s := range k.sights {
		if s.turn < least {
			oldest, least = vm, s.turn
		}
	}
	delete(k.sights, oldest)
}

// forgetKind drops the kind not heard of for longest.
func (b *Book) forgetKind() {
	oldest, least := "", b.turn+1
	for name, k := range b.kinds {
		if k.turn < least {
			oldest, least = name, k.turn
		}
	}
	delete(b.kinds, oldest)
}

// weight is how much a failure of the kind says about the worker: the share of
// other workers on which the kind did well of late. Nothing known elsewhere
// weighs nothing. An early failure is held against survivals elsewhere, a late
// one against successes only: a kind that always dies in its last minute has
// survived everywhere and says nothing of any worker.
func (b *Book) weight(vm model.VMID, m mark) float64 {
	k := b.kinds[m.kind]
	if k == nil {
		return 0
	}
	well, failed := 0, 0
	for other, s := range k.sights {
		switch {
		case other == vm:
		case s.outcome == Succeeded || s.outcome == Survived && !m.late:
			well++
		case s.outcome != Survived:
			failed++
		}
	}
	return float64(well) / float64(well+failed+1)
}

// suspicion is the weight of a worker's failures in a row against what
// quarantines it; from 1 on it is suspect.
func (b *Book) suspicion(vm model.VMID) float64 {
	w := b.Workers[vm]
	if w == nil || len(w.fails) < 2 {
		return 0
	}
	weights := make(map[string]float64) // of the kinds, which are few
	sum, limit := 0.0, oneKind
	for _, m := range w.fails {
		key := fmt.Sprint(m.kind, m.late)
		if _, known := weights[key]; !known {
			weights[key] = b.weight(vm, m)
		}
		sum += weights[key]
		if m.kind != w.fails[0].kind {
			limit = severalKinds
		}
	}
	return sum / limit
}

// suspect is a worker with its suspicion.
type suspect struct {
	vm        model.VMID
	suspicion float64
}

// UpdateQuarantine quarantines workers, the most suspect first, as long as no more than
// most are in quarantine, and returns the newly quarantined. One whose
// failures turn out to be the jobs', because they go on to fail elsewhere, is
// released at once.
func (b *Book) UpdateQuarantine(now time.Time, most int) []model.VMID {
	banned := 0
	var suspects []suspect
	for vm, w := range b.Workers {
		s := b.suspicion(vm)
		if !w.Until.IsZero() && len(w.fails) > 0 && w.Bans == 1 && s < exonerated {
			delete(b.Workers, vm)
			continue
		}
		if !w.Until.IsZero() {
			banned++
		} else if s >= 1 {
			suspects = append(suspects, suspect{vm, s})
		}
	}
	slices.SortFunc(suspects, func(x, y suspect) int {
		return cmp.Or(cmp.Compare(y.suspicion, x.suspicion), cmp.Compare(x.vm, y.vm))
	})
	var fresh []model.VMID
	for _, s := range suspects[:min(len(suspects), max(most-banned, 0))] {
		b.Workers[s.vm].ban(now)
		fresh = append(fresh, s.vm)
	}
	return fresh
}

// exonerated is the suspicion under which a quarantine was a mistake: half of
// what begins one, so that a worker at the border does not come and go.
const exonerated = 0.5

func (w *Worker) ban(now time.Time) {
	w.Until = now.Add(min(firstBan<<min(w.Bans, 10), longestBan))
	w.Bans++
}

// WorkerStatus says whether a worker is closed because of its failures, and
// whether it is to be probed with one repeatable job.
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

// Quarantined returns how many workers are in quarantine or on probe.
func (b *Book) Quarantined() int {
	n := 0
	for _, w := range b.Workers {
		if !w.Until.IsZero() {
			n++
		}
	}
	return n
}

// JobToBlame reports whether a job that failed on these workers is to blame: on
// enough of them that are not suspect themselves.
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
