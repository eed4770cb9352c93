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
	// recent is how many outcomes of a worker are remembered.
	recent = 8
	// threshold is the weight of failures in a row that quarantines a worker.
	// One failure of a kind that always succeeds elsewhere weighs a little
	// under 1, so it takes three, and two bad jobs can't do it.
	threshold = 2.0
	// maxTotal is when a kind's counts are halved, so that it can change.
	maxTotal = 256
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

// Tally counts a kind's outcomes.
type Tally struct {
	Survived, Succeeded, Failed int
}

// Mark is one remembered failure.
type Mark struct {
	Kind string
	Late bool
}

// Worker is what is remembered of one.
type Worker struct {
	Fails []Mark           // since it last did well, oldest first
	Kinds map[string]Tally // its own part in the kinds' counts
	Until time.Time        // quarantined until; zero if not
	Bans  int              // quarantines in a row without a success between
}

// Book remembers workers and kinds. Its fields are exported to be stored.
type Book struct {
	Workers map[model.VMID]*Worker
	Kinds   map[string]Tally
}

// NewBook returns a Book that knows nothing.
func NewBook() *Book {
	return &Book{Workers: make(map[model.VMID]*Worker), Kinds: make(map[string]Tally)}
}

func (b *Book) worker(vm model.VMID) *Worker {
	w := b.Workers[vm]
	if w == nil {
		w = &Worker{Kinds: make(map[string]Tally)}
		b.Workers[vm] = w
	}
	return w
}

// Record notes an outcome.
func (b *Book) Record(e Event) {
	if _, known := b.Kinds[e.Kind]; !known && len(b.Kinds) >= maxKinds {
		b.forgetKind()
	}
	w := b.worker(e.VM)
	b.Kinds[e.Kind] = b.Kinds[e.Kind].with(e.Outcome)
	w.Kinds[e.Kind] = w.Kinds[e.Kind].with(e.Outcome)
	if t := b.Kinds[e.Kind]; t.Survived+t.Succeeded+t.Failed > maxTotal {
		b.halve(e.Kind)
	}
	switch e.Outcome {
	case Survived, Succeeded:
		w.Fails, w.Until, w.Bans = nil, time.Time{}, 0
	default:
		w.Fails = append(w.Fails, Mark{e.Kind, e.Outcome == FailedLate})
		if len(w.Fails) > recent {
			w.Fails = w.Fails[1:]
		}
		if w.Bans > 0 && !w.Until.IsZero() && !e.At.Before(w.Until) {
			b.ban(w, e.At) // the probe failed
		}
	}
}

func (t Tally) with(o Outcome) Tally {
	switch o {
	case Survived:
		t.Survived++
	case Succeeded:
		t.Succeeded++
	case FailedLate:
		t.Survived--
		t.Failed++
	default:
		t.Failed++
	}
	return t
}

func (t Tally) less(o Tally) Tally {
	return Tally{t.Survived - o.Survived, t.Succeeded - o.Succeeded, t.Failed - o.Failed}
}

func (t Tally) half() Tally { return Tally{t.Survived / 2, t.Succeeded / 2, t.Failed / 2} }

func (b *Book) halve(kind string) {
	b.Kinds[kind] = b.Kinds[kind].half()
	for _, w := range b.Workers {
		if t, ok := w.Kinds[kind]; ok {
			w.Kinds[kind] = t.half()
		}
	}
}

// forgetKind drops the kind with the fewest outcomes.
func (b *Book) forgetKind() {
	least, found := "", false
	for k, t := range b.Kinds {
		o := b.Kinds[least]
		if !found || cmp.Or(cmp.Compare(t.Failed+t.Survived, o.Failed+o.Survived), cmp.Compare(k, least)) < 0 {
			least, found = k, true
		}
	}
	delete(b.Kinds, least)
	for _, w := range b.Workers {
		delete(w.Kinds, least)
	}
}

// weight is how much a failure of the kind says about the worker: the share of
// the kind's outcomes elsewhere that went well. Nothing known elsewhere weighs
// nothing. An early failure is held against survivals elsewhere, a late one
// against successes only: a kind that always dies in its last minute has
// survived everywhere and says nothing of any worker.
func (b *Book) weight(w *Worker, m Mark) float64 {
	elsewhere := b.Kinds[m.Kind].less(w.Kinds[m.Kind])
	well := max(elsewhere.Succeeded, 0)
	if !m.Late {
		well = max(well, elsewhere.Survived)
	}
	return float64(well) / float64(well+max(elsewhere.Failed, 0)+1)
}

// Suspicion returns the weight of the worker's failures in a row.
func (b *Book) Suspicion(vm model.VMID) float64 {
	w := b.Workers[vm]
	if w == nil {
		return 0
	}
	sum := 0.0
	for _, m := range w.Fails {
		sum += b.weight(w, m)
	}
	return sum
}

// Judge quarantines workers at a time, the most suspect first, as long as no
// more than most are in quarantine. It returns the newly quarantined.
func (b *Book) Judge(now time.Time, most int) []model.VMID {
	banned := 0
	var suspects []model.VMID
	for vm, w := range b.Workers {
		if !w.Until.IsZero() {
			banned++
		} else if b.Suspicion(vm) >= threshold {
			suspects = append(suspects, vm)
		}
	}
	slices.SortFunc(suspects, func(x, y model.VMID) int {
		return cmp.Or(cmp.Compare(b.Suspicion(y), b.Suspicion(x)), cmp.Compare(x, y))
	})
	suspects = suspects[:min(len(suspects), max(most-banned, 0))]
	for _, vm := range suspects {
		b.ban(b.Workers[vm], now)
	}
	return suspects
}

func (b *Book) ban(w *Worker, now time.Time) {
	w.Until = now.Add(min(firstBan<<min(w.Bans, 10), longestBan))
	w.Bans++
}

// Standing says whether a worker is closed because of its failures, and
// whether it is to be probed with one repeatable job.
func (b *Book) Standing(vm model.VMID, now time.Time) (closed string, probe bool) {
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

// Hopeless reports whether a job that failed on these workers is to blame: on
// enough of them that are not suspect themselves.
func (b *Book) Hopeless(failedOn []model.VMID) bool {
	distinct := make(map[model.VMID]bool)
	for _, vm := range failedOn {
		if w := b.Workers[vm]; w != nil && (!w.Until.IsZero() || b.Suspicion(vm) >= threshold) {
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
