// Package taskplan chooses workers for tasks: a pure function from what is free
// and what waits to placements.
//
// Load pattern: many small tasks of a burst race for the room of a pool, among
// them wide and long ones, tasks that last, gangs that work only together, and
// tasks tied to a rack. Placing each where most is free spreads load over all
// VMs: none is ever empty, so none can be maintained or moved without ending
// work. Short tasks therefore go where least is left, and tasks that last share
// VMs with others that last.
package taskplan

import (
	"cmp"
	"math"
	"slices"

	"github.com/pumicestage/pumicestage/policy/work"
)

// Worker is one worker as the plan sees it.
type Worker struct {
	ID             work.WorkerID
	Total          work.Resources
	Free           work.Resources // what no run, start or stop in progress holds
	Labels         []string
	Rack           string
	Closed         bool    // takes no new tasks: leaving, cordoned, unheard
	Limit          int     // most tasks to place now; negative: any number
	LongRunning    int     // lasting tasks there
	Serving        int     // serving tasks there
	BestEffort     int     // fill tasks there
	Slowness       float64 // duration of its tasks against its peers'; 1 is usual
	MaintenanceDue bool    // its VM's maintenance is to come
	LabelInDemand  bool    // has a label that other work asks for
	Tasks          int     // all tasks there
	// HazardousJob is the job whose hazardous tasks have just begun there; empty: none.
	HazardousJob work.JobID

	trial *Step // whose suspects were placed there in this plan; nothing else goes beside them
}

func (w *Worker) has(label string) bool { return slices.Contains(w.Labels, label) }

// Step is a step with tasks that wait.
type Step struct {
	Ref       work.StepRef
	Step      *work.Step
	Tasks     []Task
	OnWorker  map[work.WorkerID]int  // tasks of the step there now
	Permitted map[work.WorkerID]bool // nil: every worker
	// Hazardous: its tasks are short, and of a kind that crashes many workers. They keep away
	// from tasks that last, and those of two jobs from beginning on one worker at the same time.
	Hazardous bool
}

// Task is a task that waits.
type Task struct {
	Index int
	Avoid []work.WorkerID // where it failed; taken only if nothing else is left
	// Suspect: it may crash its worker. It goes where least would be lost, and nothing is
	// placed beside it but suspects of its step, with which it is given up.
	Suspect bool
}

// Placement puts one task on a worker.
type Placement struct {
	Step   *Step
	Index  int
	Worker work.WorkerID
}

// Plan places what it can. Steps come in the order of their claim; a step that
// does not fit lets later ones pass. Workers are changed as they fill.
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
	// used are the open workers that differ from others by what runs there; empty are the
	// rest, by what they are. A thousand empty workers of one kind are as good as the first.
	used  []*Worker
	empty map[emptyKind][]*Worker
	kinds []emptyKind
	most  work.Resources // see MostFree
	// TrialWorkersLeft is on how many more workers suspects may be placed.
	TrialWorkersLeft int
}

// NewPlanner returns a planner over the workers, which are changed as they fill.
func NewPlanner(workers []*Worker) *Planner {
	open := OpenWorkers(workers)
	p := &Planner{open: open, empty: make(map[emptyKind][]*Worker), most: MaxFree(open), TrialWorkersLeft: math.MaxInt}
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

// emptyKind is what an empty worker is to a step that asks for no rack.
type emptyKind struct {
	total  work.Resources
	label  string
	slow   float64
	due    bool
	sought bool
}

// kindOf returns the worker's kind; false where something there makes it differ from others.
func kindOf(w *Worker) (emptyKind, bool) {
	if w.Tasks > 0 || w.Limit >= 0 || w.Free != w.Total || len(w.Labels) > 2 {
		return emptyKind{}, false
	}
	kind := emptyKind{total: w.Total, slow: w.Slowness, due: w.MaintenanceDue, sought: w.LabelInDemand}
	if len(w.Labels) > 1 {
		kind.label = w.Labels[0]
	}
	return kind, true
}

// candidates are the workers to choose from for the task: those in use, and of each kind of
// empty ones the first, and the first in the rack of the data. Steps that tell workers apart
// by more choose from all.
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
		if s.Step.DataRack == "" {
			continue
		}
		if i := slices.IndexFunc(group, func(w *Worker) bool { return w.has(s.Step.DataRack) }); i > 0 {
			out = append(out, group[i])
		}
	}
	return out
}

// occupied takes the worker off the empty ones.
func (p *Planner) occupied(w *Worker) {
	for _, kind := range p.kinds {
		if i := slices.Index(p.empty[kind], w); i >= 0 {
			p.empty[kind] = slices.Delete(p.empty[kind], i, i+1)
			p.used = append(p.used, w)
			return
		}
	}
}

// MayFit reports whether a worker may have room for a task of the step. While a pool
// is full hundreds of steps wait; they are passed over without a look at every worker.
func (p *Planner) MayFit(s *work.Step) bool { return Reserved(s).Fits(p.most) }

// FreeCapacity is what all workers together have free.
func (p *Planner) FreeCapacity() work.Resources {
	var room work.Resources
	for _, w := range p.open {
		room = room.Plus(w.Free)
	}
	return room
}

// Place places what it can of the step.
func (p *Planner) Place(s *Step) []Placement {
	if !p.MayFit(s.Step) {
		return nil
	}
	if s.Step.Gang {
		out := planGang(p.open, s)
		for _, placed := range out {
			p.occupied(p.worker(placed.Worker))
		}
		p.most = MaxFree(p.open)
		return out
	}
	var out []Placement
	var from []*Worker
	for _, t := range s.Tasks {
		if t.Suspect {
			out = append(out, p.try(s, t)...)
			continue
		}
		if from == nil || len(t.Avoid) > 0 {
			from = p.candidates(s, t)
		}
		w := choose(from, s, t)
		if w == nil {
			p.most = MaxFree(p.open)
			break // its other tasks are of the same size
		}
		if w.Tasks == 0 || len(t.Avoid) > 0 {
			p.occupied(w)
			from = nil
		}
		take(w, s)
		out = append(out, Placement{Step: s, Index: t.Index, Worker: w.ID})
	}
	return out
}

func (p *Planner) worker(id work.WorkerID) *Worker {
	i := slices.IndexFunc(p.open, func(w *Worker) bool { return w.ID == id })
	return p.open[i]
}

// try places a suspect, beside those of its step if it can.
func (p *Planner) try(s *Step, t Task) []Placement {
	open := p.open
	if p.TrialWorkersLeft <= 0 {
		open = slices.DeleteFunc(slices.Clone(open), func(w *Worker) bool { return !s.shares(w, t) })
	}
	w := choose(open, s, t)
	if w == nil {
		return nil
	}
	if w.trial == nil {
		w.trial = s
		p.TrialWorkersLeft--
	}
	p.occupied(w)
	take(w, s)
	return []Placement{{Step: s, Index: t.Index, Worker: w.ID}}
}

// OpenWorkers returns the workers that take tasks at all.
func OpenWorkers(workers []*Worker) []*Worker {
	out := make([]*Worker, 0, len(workers))
	for _, w := range workers {
		if !w.Closed && w.Limit != 0 {
			out = append(out, w)
		}
	}
	return out
}

// MaxFree returns, for each kind of resource by itself, the most that any of the
// workers has free. What exceeds it fits nowhere.
func MaxFree(workers []*Worker) work.Resources {
	var most work.Resources
	for _, w := range workers {
		most = most.Max(w.Free)
	}
	return most
}

// planGang places all waiting tasks of the step or none: members that wait for
// the rest hold room and do no work.
func planGang(workers []*Worker, s *Step) []Placement {
	if s.Step.RackSensitive {
		if out := gangInOneRack(workers, s); out != nil {
			return out
		}
	}
	return gangOn(workers, s)
}

// gangInOneRack tries the racks one by one, the fullest that suffices first.
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
		if out := gangOn(racks[name], s); out != nil {
			return out
		}
	}
	return nil
}

func gangOn(workers []*Worker, s *Step) []Placement {
	var out []Placement
	var taken []*Worker
	for _, t := range s.Tasks {
		w := choose(workers, s, t)
		if w == nil {
			for _, u := range taken {
				give(u, s)
			}
			return nil
		}
		take(w, s)
		taken = append(taken, w)
		out = append(out, Placement{Step: s, Index: t.Index, Worker: w.ID})
	}
	// The members of a gang start or fail together: they are tried together.
	if slices.ContainsFunc(s.Tasks, func(t Task) bool { return t.Suspect }) {
		for _, w := range taken {
			w.trial = s
		}
	}
	return out
}

// Reserved returns what a task of the step holds of a worker's capacity.
func Reserved(s *work.Step) work.Resources {
	r := s.Size
	if s.BestEffort {
		r.MilliCPU = 0
	}
	return r
}

func take(w *Worker, s *Step) {
	w.Free = w.Free.Minus(Reserved(s.Step))
	count(w, s, 1)
}

func give(w *Worker, s *Step) {
	w.Free = w.Free.Plus(Reserved(s.Step))
	count(w, s, -1)
}

func count(w *Worker, s *Step, n int) {
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

// shares reports whether the task may go beside the suspects on trial there: they are given up
// together. A step that lasts is not, and each of its suspects is tried by itself.
func (s *Step) shares(w *Worker, t Task) bool {
	return w.trial == s && t.Suspect && !s.Step.LongRunning
}

// choose returns the worker with the lowest score, or nil.
func choose(workers []*Worker, s *Step, t Task) *Worker {
	var best *Worker
	bestScore := math.Inf(1)
	for _, w := range workers {
		if !feasible(w, s) || w.trial != nil && !s.shares(w, t) {
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

// The reasons, in the order in which they are looked at.
const (
	ReasonNone         Reason = ""
	ReasonClosed       Reason = "closed"
	ReasonCapacity     Reason = "no room"
	ReasonLabel        Reason = "label"
	ReasonAntiAffinity Reason = "anti-affinity"
	ReasonNoTicket     Reason = "no ticket"
)

// why returns what keeps the step's tasks from the worker.
func why(w *Worker, s *Step) Reason {
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

func feasible(w *Worker, s *Step) bool { return why(w, s) == ReasonNone }

// CountRejections counts the workers by what keeps the step's tasks from them.
func CountRejections(workers []*Worker, s *Step) map[Reason]int {
	out := make(map[Reason]int)
	for _, w := range workers {
		out[why(w, s)]++
	}
	return out
}

// Parts of the score. A part outweighs all smaller ones together.
const (
	scoreAvoid     = 1000 // failed there before
	scoreExposed   = 300  // hazardous tasks beside lasting ones
	scoreBeside    = 180  // for each task, up to mostBeside, that a suspect would take along
	scoreDisturbed = 100  // fill beside serving tasks or the reverse: they slow each other
	scoreFar       = 30   // away from the data: 1.5 to 2 times as long
	scoreSlow      = 20   // times how much slower than its peers it is
	scoreSought    = 15   // work that asks for no label takes the room of work that can't go elsewhere
	scoreFresh     = 25   // hazardous tasks beside ones of another job that have just begun
	scoreDue       = 10   // a lasting task would have to move again for the VM's maintenance
	scoreMixed     = 5    // tasks that last and short ones on one VM keep it from being emptied
	scoreFill      = 1    // best fit
)

// mostBeside bounds what is counted of the tasks beside a suspect.
const mostBeside = 5

func scoreOf(w *Worker, s *Step, t Task) float64 {
	score := 0.0
	if slices.Contains(t.Avoid, w.ID) {
		score += scoreAvoid
	}
	if s.Step.BestEffort && w.Serving > 0 || s.Step.Serving() && w.BestEffort > 0 {
		score += scoreDisturbed
	}
	if s.Hazardous && w.LongRunning > 0 {
		score += scoreExposed
	}
	if s.Hazardous && w.HazardousJob != "" && w.HazardousJob != s.Ref.Job {
		score += scoreFresh
	}
	if t.Suspect && w.trial == nil {
		score += scoreBeside * float64(min(w.Tasks, mostBeside))
	}
	if s.Step.DataRack != "" && !w.has(s.Step.DataRack) {
		score += scoreFar
	}
	if w.LabelInDemand && s.Step.Requires == "" {
		score += scoreSought
	}
	score += scoreSlow * max(0, w.Slowness-1)
	if s.Step.LongRunning && w.MaintenanceDue {
		score += scoreDue
	}
	if s.Step.LongRunning && w.LongRunning == 0 {
		score += scoreMixed
	}
	free := float64(w.Free.MilliCPU) / float64(max(1, w.Total.MilliCPU))
	if s.Step.BestEffort {
		// A fill task lives on what others leave: the emptier the better.
		return score - scoreFill*free
	}
	return score + scoreFill*free
}
