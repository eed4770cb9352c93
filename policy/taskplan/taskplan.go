// Package taskplan chooses workers for waiting tasks. It is a pure function from free
// capacity and waiting tasks to placements.
//
// Load pattern: a burst of many small tasks competes for the free capacity of a pool with
// large and long tasks, long-running tasks, gangs that make progress only together, and
// tasks that are faster in one rack. Placing each task on the worker with the most free
// capacity would spread load over all VMs: none would ever be empty, so none could be
// maintained or moved without ending work. Short tasks are therefore packed where the least
// capacity is free, and long-running tasks share VMs with other long-running tasks.
package taskplan

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/pumicestage/pumicestage/policy/work"
)

// Worker is the state of one worker that placement depends on. Planning updates it.
type Worker struct {
	ID             work.WorkerID
	Total          work.Resources
	Free           work.Resources // not held by any run, nor by a start or stop in progress
	Labels         []string
	Rack           string
	Zone           string  // availability zone; empty: no step prefers a zone
	Closed         bool    // accepts no new tasks: leaving, cordoned, or not heard from
	Limit          int     // max tasks to place now, a gang counting as one; negative: any number. See Step.RetryTrials
	LongRunning    int     // long-running tasks on the worker
	Serving        int     // serving tasks on the worker
	BestEffort     int     // best-effort tasks on the worker
	Slowness       float64 // duration of its tasks relative to its peers'; 1 is usual
	MaintenanceDue bool    // maintenance of its VM is to come
	LabelInDemand  bool    // has a label that other waiting work requires
	Tasks          int     // all tasks on the worker
	// HazardousJob is the job whose hazardous tasks have just started on the worker; empty if
	// there is none.
	HazardousJob work.JobID

	trialStep *Step // step whose suspects this plan has placed on the worker; nothing else is placed beside them
}

func (w *Worker) has(label string) bool { return slices.Contains(w.Labels, label) }

// Step is a step that has waiting tasks.
type Step struct {
	Ref       work.StepRef
	Step      *work.Step
	Tasks     []Task
	OnWorker  map[work.WorkerID]int  // number of the step's tasks on each worker now
	Permitted map[work.WorkerID]bool // workers that the step may use; nil: all
	// Hazardous: its tasks are short, and of a kind that crashes many workers. They are kept away
	// from long-running tasks, and the hazardous tasks of two jobs don't start on one worker at the
	// same time.
	Hazardous bool
	// Zone is the availability zone in which its tasks are preferably placed (see
	// Planner.PreferredZone); empty: none. No task waits for it.
	Zone string
	// RetryTrials allows tasks that failed before on workers with a Limit. Such a worker is on
	// trial, and if the task fails again, that says little about the worker.
	RetryTrials bool
}

// Task is a waiting task.
type Task struct {
	Index int             // index of the task in its step
	Avoid []work.WorkerID // workers on which it failed; used only if no other has capacity. See Step.RetryTrials
	// Suspect: the task may crash its worker. It is placed where the fewest tasks would be lost,
	// and nothing is placed beside it except suspects of the same step: if the task turns out to
	// crash workers, its job is given up, and the other suspects with it. A long-running step is
	// never given up, so each of its suspects gets a worker of its own.
	Suspect bool
}

// Placement assigns one task to a worker.
type Placement struct {
	Step   *Step
	Index  int
	Worker work.WorkerID
}

// Plan places as many tasks as it can, the steps in the given order. If a step doesn't fit,
// later steps may still be placed. Plan updates the workers with what it places on them.
func Plan(workers []*Worker, steps []*Step) []Placement {
	var out []Placement
	p := NewPlanner(workers)
	for _, s := range steps {
		out = append(out, p.Place(s)...)
	}
	return out
}

// Planner places steps one after the other.
type Planner struct {
	open []*Worker
	// used are the open workers that differ from all others by what runs on them; empty are
	// the rest, grouped by their properties. Only the first worker of each group has to be scored,
	// however many there are.
	used    []*Worker
	empty   map[emptyKind][]*Worker
	kinds   []emptyKind
	maxFree work.Resources // see MaxFree
	zones   []zoneCapacity // nil: to be computed when needed
	// TrialWorkersLeft is the number of further workers on which suspects may be placed.
	TrialWorkersLeft int
}

// NewPlanner returns a planner for the workers. Place updates them with what it places.
func NewPlanner(workers []*Worker) *Planner {
	open := OpenWorkers(workers)
	p := &Planner{open: open, empty: make(map[emptyKind][]*Worker), maxFree: MaxFree(open), TrialWorkersLeft: math.MaxInt}
	for _, w := range open {
		kind, interchangeable := kindOf(w)
		if !interchangeable {
			p.used = append(p.used, w)
			continue
		}
		if p.empty[kind] == nil {
			p.kinds = append(p.kinds, kind)
		}
		p.empty[kind] = append(p.empty[kind], w)
	}
	return p
}

// emptyKind holds the properties by which empty workers differ in the placement of a step without a
// data rack. Workers of one kind are interchangeable.
type emptyKind struct {
	total          work.Resources
	label          string
	slowness       float64
	maintenanceDue bool
	labelInDemand  bool
}

// kindOf returns the properties by which the worker is grouped with interchangeable empty workers.
// It reports false for a worker that has to be scored by itself: it has tasks, not all of its capacity
// is free, the number of tasks to place on it is limited, or it has more than two labels.
func kindOf(w *Worker) (emptyKind, bool) {
	if w.Tasks > 0 || w.Limit >= 0 || w.Free != w.Total || len(w.Labels) > 2 {
		return emptyKind{}, false
	}
	kind := emptyKind{total: w.Total, slowness: w.Slowness, maintenanceDue: w.MaintenanceDue, labelInDemand: w.LabelInDemand}
	if len(w.Labels) > 1 {
		kind.label = w.Labels[0]
	}
	return kind, true
}

// candidates returns the workers to choose from for the task: all used ones, and of each kind
// of empty ones the first, the first in the rack of the data, and the first in the preferred zone. All
// workers are candidates if the step or task tells workers apart by more than their kind.
//
// The zone is not part of the kind: for a step without a preferred zone, ties between empty workers
// would go to the zone of the first kind, and long-running tasks would gather in one zone.
func (p *Planner) candidates(s *Step, t Task) []*Worker {
	if s.Permitted != nil || s.Step.Requires != "" || len(t.Avoid) > 0 {
		return p.open
	}
	out := slices.Clone(p.used)
	for _, kind := range p.kinds {
		group := p.empty[kind]
		if len(group) == 0 {
			continue
		}
		out = append(out, group[0])
		if s.Step.DataRack != "" {
			if i := slices.IndexFunc(group, func(w *Worker) bool { return w.has(s.Step.DataRack) }); i > 0 {
				out = append(out, group[i])
			}
		}
		if s.Zone != "" {
			if i := slices.IndexFunc(group, func(w *Worker) bool { return w.Zone == s.Zone }); i > 0 {
				out = append(out, group[i])
			}
		}
	}
	return out
}

// markUsed moves the worker from the empty workers to the used ones.
func (p *Planner) markUsed(w *Worker) {
	for _, kind := range p.kinds {
		if i := slices.Index(p.empty[kind], w); i >= 0 {
			p.empty[kind] = slices.Delete(p.empty[kind], i, i+1)
			p.used = append(p.used, w)
			return
		}
	}
}

// MayFit reports whether some worker may have the capacity for a task of the step. While a pool
// is full hundreds of steps wait, and this check skips them without visiting every worker.
func (p *Planner) MayFit(s *work.Step) bool { return Reserved(s).Fits(p.maxFree) }

// FreeCapacity returns the sum of the free resources of all open workers.
func (p *Planner) FreeCapacity() work.Resources {
	var free work.Resources
	for _, w := range p.open {
		free = free.Plus(w.Free)
	}
	return free
}

// Place places as many of the step's tasks as it can, and a gang only as a whole.
func (p *Planner) Place(s *Step) []Placement {
	if !p.MayFit(s.Step) {
		return nil
	}
	if s.Step.Gang {
		out := planGang(p.open, s)
		for _, placed := range out {
			p.markUsed(p.worker(placed.Worker))
		}
		p.maxFree, p.zones = MaxFree(p.open), nil
		return out
	}
	var out []Placement
	var from []*Worker
	for _, t := range s.Tasks {
		if t.Suspect {
			out = append(out, p.placeSuspect(s, t)...)
			continue
		}
		if from == nil || len(t.Avoid) > 0 {
			from = p.candidates(s, t)
		}
		w := choose(from, s, t)
		if w == nil {
			p.maxFree = MaxFree(p.open)
			if len(t.Avoid) > 0 && !s.RetryTrials && p.LimitsLeft() {
				continue // a limit may allow the step's other tasks
			}
			break // the step's other tasks have the same size
		}
		wasEmpty := w.Tasks == 0
		if wasEmpty || len(t.Avoid) > 0 {
			p.markUsed(w)
			from = nil
		}
		allocate(w, s)
		p.reserveInZone(w, s, wasEmpty)
		out = append(out, Placement{Step: s, Index: t.Index, Worker: w.ID})
	}
	return out
}

// CanPlace reports whether the step's whole gang, or the first of its tasks, could be placed. It places
// nothing.
func (p *Planner) CanPlace(s *Step) bool {
	if len(s.Tasks) == 0 || !p.MayFit(s.Step) {
		return false
	}
	if !s.Step.Gang {
		return choose(p.open, s, s.Tasks[0]) != nil
	}
	workers := make([]*Worker, len(p.open))
	for i, w := range p.open {
		copied := *w
		workers[i] = &copied
	}
	trial := *s
	trial.OnWorker = maps.Clone(s.OnWorker)
	return placeGangOn(workers, &trial) != nil
}

// LimitsLeft reports whether a worker with a Limit may still get a task.
func (p *Planner) LimitsLeft() bool {
	return slices.ContainsFunc(p.open, func(w *Worker) bool { return w.Limit > 0 })
}

func (p *Planner) worker(id work.WorkerID) *Worker {
	i := slices.IndexFunc(p.open, func(w *Worker) bool { return w.ID == id })
	return p.open[i]
}

// placeSuspect places a suspect, preferably on a worker that already has suspects of its step.
// Once TrialWorkersLeft is used up, only such workers are tried.
func (p *Planner) placeSuspect(s *Step, t Task) []Placement {
	open := p.open
	if p.TrialWorkersLeft <= 0 {
		open = slices.DeleteFunc(slices.Clone(open), func(w *Worker) bool { return !s.sharesTrial(w, t) })
	}
	w := choose(open, s, t)
	if w == nil {
		return nil
	}
	if w.trialStep == nil {
		w.trialStep = s
		p.TrialWorkersLeft--
	}
	p.markUsed(w)
	allocate(w, s)
	p.zones = nil
	return []Placement{{Step: s, Index: t.Index, Worker: w.ID}}
}

// OpenWorkers returns the workers that accept at least one more task.
func OpenWorkers(workers []*Worker) []*Worker {
	out := make([]*Worker, 0, len(workers))
	for _, w := range workers {
		if !w.Closed && w.Limit != 0 {
			out = append(out, w)
		}
	}
	return out
}

// MaxFree returns, for each kind of resource separately, the largest amount that any of the
// workers has free. A task that exceeds it fits nowhere.
func MaxFree(workers []*Worker) work.Resources {
	var largest work.Resources
	for _, w := range workers {
		largest = largest.Max(w.Free)
	}
	return largest
}

// planGang places all waiting tasks of the step or none: members that wait for the others
// would hold capacity without making progress.
func planGang(workers []*Worker, s *Step) []Placement {
	if s.Step.RackSensitive {
		if out := gangInOneRack(workers, s); out != nil {
			return out
		}
	}
	return placeGangOn(workers, s)
}

// gangInOneRack tries the racks one at a time, in ascending order of their free capacity.
func gangInOneRack(workers []*Worker, s *Step) []Placement {
	racks := make(map[string][]*Worker)
	for _, w := range workers {
		racks[w.Rack] = append(racks[w.Rack], w)
	}
	names := make([]string, 0, len(racks))
	for name := range racks {
		names = append(names, name)
	}
	free := func(rack string) (sum int64) {
		for _, w := range racks[rack] {
			sum += w.Free.MilliCPU
		}
		return sum
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(free(a), free(b)), cmp.Compare(a, b))
	})
	for _, name := range names {
		if out := placeGangOn(racks[name], s); out != nil {
			return out
		}
	}
	return nil
}

// placeGangOn places the gang on the workers. Its members fail together, so all of them count once
// against a worker's Limit: if each counted, a gang could be larger than what all limits allow.
func placeGangOn(workers []*Worker, s *Step) []Placement {
	limits := make(map[*Worker]int)
	for _, w := range workers {
		if w.Limit > 0 {
			limits[w] = w.Limit
			w.Limit = len(s.Tasks)
		}
	}
	out := placeMembers(workers, s)
	for w, limit := range limits {
		if slices.ContainsFunc(out, func(p Placement) bool { return p.Worker == w.ID }) {
			limit--
		}
		w.Limit = limit
	}
	return out
}

func placeMembers(workers []*Worker, s *Step) []Placement {
	var out []Placement
	var taken []*Worker
	for _, t := range s.Tasks {
		w := choose(workers, s, t)
		if w == nil {
			for _, u := range taken {
				release(u, s)
			}
			return nil
		}
		allocate(w, s)
		taken = append(taken, w)
		out = append(out, Placement{Step: s, Index: t.Index, Worker: w.ID})
	}
	// The members of a gang start and fail together, so a trial of one is a trial of all.
	if slices.ContainsFunc(s.Tasks, func(t Task) bool { return t.Suspect }) {
		for _, w := range taken {
			w.trialStep = s
		}
	}
	return out
}

// Reserved returns the part of a worker's capacity that a task of the step holds.
func Reserved(s *work.Step) work.Resources {
	r := s.Size
	if s.BestEffort {
		r.MilliCPU = 0
	}
	return r
}

func allocate(w *Worker, s *Step) {
	w.Free = w.Free.Minus(Reserved(s.Step))
	addTasks(w, s, 1)
}

func release(w *Worker, s *Step) {
	w.Free = w.Free.Plus(Reserved(s.Step))
	addTasks(w, s, -1)
}

func addTasks(w *Worker, s *Step, n int) {
	s.OnWorker[w.ID] += n
	w.Tasks += n
	if w.Limit >= 0 {
		w.Limit -= n
	}
	if s.Step.LongRunning {
		w.LongRunning += n
	}
	if s.Step.Serving() {
		w.Serving += n
	}
	if s.Step.BestEffort {
		w.BestEffort += n
	}
	if s.Hazardous {
		w.HazardousJob = s.Ref.Job
	}
}

// sharesTrial reports whether the task may be placed beside the suspects on trial on the worker,
// because they are given up together. A long-running step is never given up, so each of its
// suspects is tried on a worker of its own.
func (s *Step) sharesTrial(w *Worker, t Task) bool {
	return w.trialStep == s && t.Suspect && !s.Step.LongRunning
}

// choose returns the feasible worker with the lowest score, or nil if there is none.
func choose(workers []*Worker, s *Step, t Task) *Worker {
	var best *Worker
	bestScore := math.Inf(1)
	for _, w := range workers {
		if !feasible(w, s) || w.trialStep != nil && !s.sharesTrial(w, t) || w.Limit >= 0 && len(t.Avoid) > 0 && !s.RetryTrials {
			continue
		}
		if score := scoreOf(w, s, t); score < bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// Reason says why a worker can't take a task.
type Reason string

// The reasons, in the order in which they are checked.
const (
	ReasonNone         Reason = ""
	ReasonClosed       Reason = "closed"
	ReasonCapacity     Reason = "no room"
	ReasonLabel        Reason = "label"
	ReasonAntiAffinity Reason = "anti-affinity"
	ReasonNoTicket     Reason = "no ticket"
)

// rejectionReason returns the first reason why the worker can't take a task of the step, or
// ReasonNone.
func rejectionReason(w *Worker, s *Step) Reason {
	switch {
	case w.Closed || w.Limit == 0:
		return ReasonClosed
	case !Reserved(s.Step).Fits(w.Free):
		return ReasonCapacity
	case s.Step.Requires != "" && !w.has(s.Step.Requires):
		return ReasonLabel
	case s.Step.AntiAffinity > 0 && s.OnWorker[w.ID] >= s.Step.AntiAffinity:
		return ReasonAntiAffinity
	case s.Permitted != nil && !s.Permitted[w.ID]:
		return ReasonNoTicket
	}
	return ReasonNone
}

func feasible(w *Worker, s *Step) bool { return rejectionReason(w, s) == ReasonNone }

// CountRejections returns the number of workers for each reason why they can't take a task of
// the step. Those that can are counted under ReasonNone.
func CountRejections(workers []*Worker, s *Step) map[Reason]int {
	out := make(map[Reason]int)
	for _, w := range workers {
		out[rejectionReason(w, s)]++
	}
	return out
}

// Candidate is a worker that could take tasks of a step.
type Candidate struct {
	Worker work.WorkerID
	Room   int // number of the step's tasks that it could take
}

// Candidates returns the workers that could take waiting tasks of the step if all workers were
// permitted, the preferred ones first. Tasks is not empty.
func Candidates(workers []*Worker, s *Step) []Candidate {
	any := *s
	any.Permitted = nil
	type scored struct {
		Candidate
		rack  string
		score float64
	}
	var found []scored
	inRack := make(map[string]int)
	for _, w := range workers {
		if !feasible(w, &any) {
			continue
		}
		room := roomFor(w, s)
		inRack[w.Rack] += room
		found = append(found, scored{Candidate{w.ID, room}, w.Rack, scoreOf(w, s, s.Tasks[0])})
	}
	slices.SortStableFunc(found, func(a, b scored) int {
		if s.Step.RackSensitive && a.rack != b.rack {
			return cmp.Or(cmp.Compare(inRack[b.rack], inRack[a.rack]), cmp.Compare(a.rack, b.rack))
		}
		return cmp.Compare(a.score, b.score)
	})
	out := make([]Candidate, len(found))
	for i := range found {
		out[i] = found[i].Candidate
	}
	return out
}

// roomFor returns how many waiting tasks of the step the worker, on which one is feasible, could take.
func roomFor(w *Worker, s *Step) int {
	n := len(s.Tasks)
	if s.Step.AntiAffinity > 0 {
		n = min(n, s.Step.AntiAffinity-s.OnWorker[w.ID])
	}
	if w.Limit >= 0 && !s.Step.Gang {
		n = min(n, w.Limit)
	}
	size := Reserved(s.Step)
	for n > 1 && !size.Times(int64(n)).Fits(w.Free) {
		n--
	}
	return n
}

// Parts of the score of a worker; the worker with the lowest score is chosen. Larger parts are
// meant to take precedence over the smaller ones.
const (
	scoreAvoid            = 1000 // the task failed there before
	scoreHazardous        = 300  // hazardous tasks beside long-running ones
	scoreSuspectNeighbour = 180  // for each task, up to maxCountedNeighbours, that a crash caused by the suspect would end
	scoreInterference     = 100  // best-effort beside serving tasks or the reverse: they slow each other down
	scoreRemoteData       = 30   // away from the data's rack: the task takes 1.5 to 2 times as long
	scoreSlow             = 20   // times the worker's slowness above 1
	scoreLabelInDemand    = 15   // work that requires no label takes capacity from work that can't run elsewhere
	scoreHazardousStart   = 25   // hazardous tasks beside those of another job that have just started
	scoreMaintenanceDue   = 10   // a long-running task would have to move again for the VM's maintenance
	scoreMixedDurations   = 5    // long-running and short tasks on one VM keep it from becoming empty
	scoreOtherZone        = 2    // away from the job's zone: the loss of either zone interrupts the job; as much as a worker that is 10% slow
	scoreBestFit          = 1    // times the free share of the worker's processors: prefers the fullest worker
)

// maxCountedNeighbours limits how many tasks beside a suspect count in the score.
const maxCountedNeighbours = 5

func scoreOf(w *Worker, s *Step, t Task) float64 {
	score := 0.0
	if slices.Contains(t.Avoid, w.ID) {
		score += scoreAvoid
	}
	if s.Step.BestEffort && w.Serving > 0 || s.Step.Serving() && w.BestEffort > 0 {
		score += scoreInterference
	}
	if s.Hazardous && w.LongRunning > 0 {
		score += scoreHazardous
	}
	if s.Hazardous && w.HazardousJob != "" && w.HazardousJob != s.Ref.Job {
		score += scoreHazardousStart
	}
	if t.Suspect && w.trialStep == nil {
		score += scoreSuspectNeighbour * float64(min(w.Tasks, maxCountedNeighbours))
	}
	if s.Step.DataRack != "" && !w.has(s.Step.DataRack) {
		score += scoreRemoteData
	}
	if w.LabelInDemand && s.Step.Requires == "" {
		score += scoreLabelInDemand
	}
	score += scoreSlow * max(0, w.Slowness-1)
	if s.Step.LongRunning && w.MaintenanceDue {
		score += scoreMaintenanceDue
	}
	if s.Step.LongRunning && w.LongRunning == 0 {
		score += scoreMixedDurations
	}
	if s.Zone != "" && w.Zone != s.Zone {
		score += scoreOtherZone
	}
	free := float64(w.Free.MilliCPU) / float64(max(1, w.Total.MilliCPU))
	if s.Step.BestEffort {
		// A best-effort task runs on processor time that others leave, so the emptiest worker is best.
		return score - scoreBestFit*free
	}
	return score + scoreBestFit*free
}
