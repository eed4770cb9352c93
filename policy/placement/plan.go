package placement

import (
	"cmp"
	"slices"

	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/quota"
)

// MakePlan computes a plan for a snapshot. Urgent jobs are placed first, then jobs
// within their team's guarantee, then jobs that borrow. A borrower placed before
// a job with a guarantee to the capacity would be preempted by the next plan,
// placed again, and so on without end.
func MakePlan(s Snapshot) Plan {
	p := newPlanner(&s)
	for _, rank := range []rank{urgentRank, guaranteedRank, borrowingRank} {
		p.place(rank)
	}
	return p.plan
}

// rank is the group of waiting jobs that a pass of the planner considers, in the
// order of the passes.
type rank int8

const (
	urgentRank rank = iota
	guaranteedRank
	borrowingRank
)

type planner struct {
	workers      []Worker
	byID         map[model.VMID]int
	index        *index
	tasks        map[model.VMID][]Task
	quotaTracker *quota.Tracker
	weights      Weights
	spread       spread
	queues       []*queue
	teams        map[model.TeamName]*queue
	unplaceable  map[shape]Refusal // shapes that fit on no worker in this plan
	noVictims    map[shape]bool    // shapes for which there is no task to preempt in this plan
	// quotaTeams holds the declared teams and those that run tasks without being
	// declared, as after a change of the declaration. The latter have no
	// guarantee, so they borrow all that they use. Nil if no team is declared.
	quotaTeams  []model.Team
	preemptions int
	plan        Plan
}

// queue holds the waiting jobs of one team, most urgent first and oldest first
// within a class.
type queue struct {
	team    model.TeamName
	waiting []Request
	share   float64 // fraction of the guarantee in use
}

// shape holds the attributes of a request that feasibility depends on. If one of
// a thousand equal jobs fits nowhere, the search is skipped for the other 999.
type shape struct {
	size       model.Resources
	pool       model.PoolName
	zone       model.ZoneName
	repeatable bool // may probe a worker, and may borrow
	class      model.Class
	team       model.TeamName
}

func shapeOf(r *Request) shape {
	return shape{r.Size, r.Job.Pool, r.Job.Zone, r.Job.Repeatable, r.Job.Class, r.Job.Team}
}

func newPlanner(s *Snapshot) *planner {
	p := &planner{
		workers:      slices.Clone(s.Workers),
		byID:         make(map[model.VMID]int, len(s.Workers)),
		tasks:        make(map[model.VMID][]Task),
		quotaTracker: quota.NewTracker(s.Teams),
		weights:      s.Weights,
		spread:       make(spread),
		unplaceable:  make(map[shape]Refusal),
		noVictims:    make(map[shape]bool),
		quotaTeams:   collectQuotaTeams(s),
	}
	slices.SortFunc(p.workers, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
	for i := range p.workers {
		p.byID[p.workers[i].ID] = i
	}
	for _, t := range s.Running {
		p.quotaTracker.Reserve(t.Job.Team, t.Size)
		p.tasks[t.VM] = append(p.tasks[t.VM], t)
		if i, ok := p.byID[t.VM]; ok {
			p.spread.add(t.Job, &p.workers[i])
		}
	}
	p.index = newIndex(p.workers)
	p.queues = queuesOf(s.Waiting)
	p.teams = make(map[model.TeamName]*queue, len(p.queues))
	for _, q := range p.queues {
		p.teams[q.team] = q
		q.share = p.quotaTracker.UsageRatio(q.team)
	}
	return p
}

func collectQuotaTeams(s *Snapshot) []model.Team {
	if len(s.Teams) == 0 {
		return nil
	}
	known := make(map[model.TeamName]bool, len(s.Teams))
	all := slices.Clone(s.Teams)
	for _, t := range s.Teams {
		known[t.Name] = true
	}
	for _, t := range s.Running {
		if !known[t.Job.Team] {
			known[t.Job.Team] = true
			all = append(all, model.Team{Name: t.Job.Team})
		}
	}
	return all
}

// queuesOf returns a sorted queue for each team with waiting requests, ordered by
// team name.
func queuesOf(waiting []Request) []*queue {
	byTeam := make(map[model.TeamName]*queue)
	var queues []*queue
	for _, r := range waiting {
		q := byTeam[r.Job.Team]
		if q == nil {
			q = &queue{team: r.Job.Team}
			byTeam[r.Job.Team] = q
			queues = append(queues, q)
		}
		q.waiting = append(q.waiting, r)
	}
	slices.SortFunc(queues, func(a, b *queue) int { return cmp.Compare(a.team, b.team) })
	for _, q := range queues {
		slices.SortFunc(q.waiting, compareRequests)
	}
	return queues
}

// compareRequests orders by class, most urgent first, then by age, oldest first,
// then by ID.
func compareRequests(a, b Request) int {
	return cmp.Or(
		cmp.Compare(b.Job.Class, a.Job.Class),
		a.Job.SubmittedAt.Compare(b.Job.SubmittedAt),
		cmp.Compare(a.Job.ID, b.Job.ID),
	)
}

// place tries to place the waiting jobs of a rank. The team with the smallest
// fraction of its guarantee in use goes first, so that a team that submits many
// jobs at once doesn't take all idle capacity.
func (p *planner) place(k rank) {
	nextIndex := make([]int, len(p.queues))
	unplaced := make([][]Request, len(p.queues))
	for {
		next := p.nextTeam(k, nextIndex)
		if next < 0 {
			break
		}
		q := p.queues[next]
		r := q.waiting[nextIndex[next]]
		nextIndex[next]++
		if !p.tryPlace(k, &r) {
			unplaced[next] = append(unplaced[next], r)
		}
	}
	for i, q := range p.queues {
		q.waiting = append(unplaced[i], q.waiting[nextIndex[i]:]...)
	}
}

// nextTeam returns the index in p.queues of the team whose request is tried next:
// of the teams with a request left, the one with the smallest fraction of its
// guarantee in use; -1 if no request is left. In the pass of urgentRank only urgent
// requests count. nextIndex holds, for each queue, the index of its first request
// not yet tried in this pass.
func (p *planner) nextTeam(k rank, nextIndex []int) int {
	best, minShare := -1, 0.0
	for i, q := range p.queues {
		if nextIndex[i] >= len(q.waiting) {
			continue
		}
		if k == urgentRank && q.waiting[nextIndex[i]].Job.Class != model.ClassUrgent {
			continue
		}
		if best < 0 || q.share < minShare {
			best, minShare = i, q.share
		}
	}
	return best
}

// tryPlace places or refuses the request. It returns false if the request is
// neither placed nor refused and is left to a later rank.
func (p *planner) tryPlace(k rank, r *Request) bool {
	verdict := p.quotaTracker.Check(r.Job, r.Size)
	if verdict == quota.Waits {
		p.refuse(p.overQuota(r))
		return true
	}
	if verdict == quota.Borrows && k == guaranteedRank {
		return false
	}
	s := shapeOf(r)
	if known, ok := p.unplaceable[s]; ok && len(r.Avoid) == 0 {
		known.Job = r.Job.ID
		p.refuse(known)
		return true
	}
	if w := p.best(r); w != nil {
		p.assign(r, w)
		return true
	}
	refusal := p.explain(r)
	preempted := !refusal.Permanent && p.preempt(k, r)
	if !preempted && len(r.Avoid) == 0 {
		p.unplaceable[s] = refusal
	}
	p.refuse(refusal)
	return true
}

// assign adds the placement of the request on the worker to the plan and reserves
// the worker's capacity for the rest of the plan. A worker to be probed takes no
// further task.
func (p *planner) assign(r *Request, w *Worker) {
	p.index.allocate(w, r.Size)
	if w.Probe {
		w.ClosedReason = "being probed"
	}
	p.addUsage(r.Job.Team, r.Size)
	p.spread.add(r.Job, w)
	p.plan.Placements = append(p.plan.Placements, Placement{Job: r.Job.ID, VM: w.ID, Size: r.Size})
}

// addUsage adds size, which may be negative, to the team's usage.
func (p *planner) addUsage(team model.TeamName, size model.Resources) {
	p.quotaTracker.Reserve(team, size)
	if q := p.teams[team]; q != nil {
		q.share = p.quotaTracker.UsageRatio(team)
	}
}

func (p *planner) refuse(r Refusal) { p.plan.Refused = append(p.plan.Refused, r) }
