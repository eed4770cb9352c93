package placement

import (
	"cmp"
	"slices"

	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/quota"
)

// Make plans a snapshot. Urgent work comes first, then what stands within its
// team's guarantee, then what borrows: a borrower placed before the owner of
// the capacity would be stopped for it in the next plan, and so on for ever.
func Make(s Snapshot) Plan {
	p := newPlanner(&s)
	for _, rank := range []rank{urgentRank, withinRank, borrowRank} {
		p.place(rank)
	}
	return p.plan
}

// rank is the order in which waiting jobs are looked at.
type rank int8

const (
	urgentRank rank = iota
	withinRank
	borrowRank
)

type planner struct {
	workers []Worker
	byID    map[model.VMID]int
	index   *index
	tasks   map[model.VMID][]Task
	book    *quota.Tracker
	weights Weights
	spread  spread
	queues  []*queue
	teams   map[model.TeamName]*queue
	full    map[shape]Refusal // shapes that found no room in this plan
	firm    map[shape]bool    // shapes that no task gives way to in this plan
	// declared are the teams; one that is not declared but runs tasks, as
	// after a change of the declaration, borrows all it uses.
	declared []model.Team
	stops    int
	plan     Plan
}

// queue is one team's waiting jobs, most urgent and oldest first.
type queue struct {
	team    model.TeamName
	waiting []Request
	share   float64 // of its guarantee in use
}

// shape is all of a request that feasibility looks at. Where one of a thousand
// equal jobs finds no room the other 999 need not look.
type shape struct {
	size  model.Resources
	pool  model.PoolName
	zone  model.ZoneName
	redo  bool // repeatable, so fit for probes and for borrowing
	class model.Class
	team  model.TeamName
}

func shapeOf(r *Request) shape {
	return shape{r.Size, r.Job.Pool, r.Job.Zone, r.Job.Repeatable, r.Job.Class, r.Job.Team}
}

func newPlanner(s *Snapshot) *planner {
	p := &planner{
		workers:  slices.Clone(s.Workers),
		byID:     make(map[model.VMID]int, len(s.Workers)),
		tasks:    make(map[model.VMID][]Task),
		book:     quota.NewTracker(s.Teams),
		weights:  s.Weights,
		spread:   make(spread),
		full:     make(map[shape]Refusal),
		firm:     make(map[shape]bool),
		declared: declaredAnd(s),
	}
	slices.SortFunc(p.workers, func(a, b Worker) int { return cmp.Compare(a.ID, b.ID) })
	for i := range p.workers {
		p.byID[p.workers[i].ID] = i
	}
	for _, t := range s.Running {
		p.book.Reserve(t.Job.Team, t.Size)
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
		q.share = p.book.UsageRatio(q.team)
	}
	return p
}

func declaredAnd(s *Snapshot) []model.Team {
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
		slices.SortFunc(q.waiting, before)
	}
	return queues
}

// before orders by class, then age, then ID.
func before(a, b Request) int {
	return cmp.Or(
		cmp.Compare(b.Job.Class, a.Job.Class),
		a.Job.SubmittedAt.Compare(b.Job.SubmittedAt),
		cmp.Compare(a.Job.ID, b.Job.ID),
	)
}

// place looks at each waiting job of a rank, the team with the smallest share
// of its guarantee in use first, so that one team's flood does not take all
// idle capacity from the others.
func (p *planner) place(k rank) {
	heads := make([]int, len(p.queues))
	rest := make([][]Request, len(p.queues))
	for {
		next := p.nextTeam(k, heads)
		if next < 0 {
			break
		}
		q := p.queues[next]
		r := q.waiting[heads[next]]
		heads[next]++
		if !p.try(k, &r) {
			rest[next] = append(rest[next], r)
		}
	}
	for i, q := range p.queues {
		q.waiting = append(rest[i], q.waiting[heads[i]:]...)
	}
}

func (p *planner) nextTeam(k rank, heads []int) int {
	best, least := -1, 0.0
	for i, q := range p.queues {
		if heads[i] >= len(q.waiting) {
			continue
		}
		if k == urgentRank && q.waiting[heads[i]].Job.Class != model.ClassUrgent {
			continue
		}
		if best < 0 || q.share < least {
			best, least = i, q.share
		}
	}
	return best
}

// try places the request or refuses it, and returns false where a later rank
// is to look at it again.
func (p *planner) try(k rank, r *Request) bool {
	stand := p.book.Check(r.Job, r.Size)
	if stand == quota.Waits {
		p.refuse(p.overQuota(r))
		return true
	}
	if stand == quota.Borrows && k == withinRank {
		return false
	}
	s := shapeOf(r)
	if known, ok := p.full[s]; ok && len(r.Avoid) == 0 {
		known.Job = r.Job.ID
		p.refuse(known)
		return true
	}
	if w := p.best(r); w != nil {
		p.put(r, w)
		return true
	}
	refusal := p.explain(r)
	stopped := !refusal.Never && p.displace(k, r)
	if !stopped && len(r.Avoid) == 0 {
		p.full[s] = refusal
	}
	p.refuse(refusal)
	return true
}

func (p *planner) put(r *Request, w *Worker) {
	p.index.use(w, r.Size)
	if w.Probe {
		w.Closed = "being probed"
	}
	p.take(r.Job.Team, r.Size)
	p.spread.add(r.Job, w)
	p.plan.Placements = append(p.plan.Placements, Placement{Job: r.Job.ID, VM: w.ID, Size: r.Size})
}

// take books a size for a team, or with a negative size gives it back.
func (p *planner) take(team model.TeamName, size model.Resources) {
	p.book.Reserve(team, size)
	if q := p.teams[team]; q != nil {
		q.share = p.book.UsageRatio(team)
	}
}

func (p *planner) refuse(r Refusal) { p.plan.Refused = append(p.plan.Refused, r) }
