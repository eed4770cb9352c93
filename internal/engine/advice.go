package engine

import (
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/taskplan"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Limits of the requests to the advisor.
const (
	// maxAdviceBatch is the maximum number of workers in a request. Each worker takes time of the
	// advisor, and the deployments' objectives assume one call for 30 workers.
	maxAdviceBatch = 30
	// adviceRetryInterval is the minimum time between two requests for a step if the first failed or
	// led to no start.
	adviceRetryInterval = 1500 * time.Millisecond
	// ticketMargin is the least remaining validity of a ticket that is used, so that it is still valid
	// when the start arrives.
	ticketMargin = 150 * time.Millisecond
	// maxUnusedAnswers limits how often the number of tickets that a step asks for is doubled.
	maxUnusedAnswers = 6
)

// stepAdvice is what is known of the advisor's decisions on one step.
type stepAdvice struct {
	verdicts map[*worker]*verdict
	pending  *adviceRequest // nil: none is under way
	// incomplete tells that there are workers which could take a task and about which the advisor
	// has not been asked.
	incomplete bool
	answeredAt time.Duration
	retryAt    time.Duration // no request before this time
	// offered tells that the last answer allowed a task, or the whole gang, to start, and that none has
	// started since. unused counts the answers in a row after which none did: the workers may not
	// suit for another reason, and more are asked about each time.
	offered bool
	unused  int
}

// adviceRequest is a request to the advisor that has not been answered.
type adviceRequest struct {
	workers []*worker
	rooms   []int // number of the step's tasks that each worker has room for
	// enough is for how many tasks the answer has to allow workers so that any can start.
	enough int
}

// verdict is the advisor's decision on a step and one incarnation of a worker, which doesn't change,
// and its last ticket.
type verdict struct {
	allowed bool
	ticket  string
	expires time.Duration
}

// valid reports whether the ticket is valid for at least ticketMargin from now on.
func (v *verdict) valid(now time.Duration) bool { return v.allowed && now+ticketMargin < v.expires }

// permitted returns those of the workers on which the advisor's tickets still allow the step's tasks
// to start.
func (c *Core) permitted(s *step, workers []*taskplan.Worker, now time.Duration) map[work.WorkerID]bool {
	ok := make(map[work.WorkerID]bool)
	for _, w := range workers {
		if v := s.advice.verdicts[c.workers[w.ID]]; v != nil && v.valid(now) {
			ok[w.ID] = true
		}
	}
	return ok
}

// ticketFor returns the text of the step's ticket for the worker; empty if there is none.
func (s *step) ticketFor(w *worker) string {
	if v := s.advice.verdicts[w]; v != nil {
		return v.ticket
	}
	return ""
}

// askAdvice adds a request to out for tickets on workers that could take the step's waiting tasks, if
// its valid tickets are not enough for all of them.
func (c *Core) askAdvice(s *step, ps *taskplan.Step, workers []*taskplan.Worker, now time.Duration, out *Orders) {
	s.advice.observeUnused(now)
	c.requestAdvice(s, len(ps.Tasks), taskplan.Candidates(workers, ps), now, out)
}

// observeUnused notices that the last answer allowed tasks to start and none has.
func (a *stepAdvice) observeUnused(now time.Duration) {
	if a.offered && now >= a.answeredAt+adviceRetryInterval {
		a.offered = false
		a.unused = min(maxUnusedAnswers, a.unused+1)
	}
}

// requestAdvice adds a request to out that names candidates for so many waiting tasks, unless one is
// under way. Workers that the advisor does not allow are never named again.
func (c *Core) requestAdvice(s *step, waiting int, candidates []taskplan.Candidate, now time.Duration, out *Orders) {
	a := &s.advice
	if a.pending != nil {
		return
	}
	lists := c.sortCandidates(s, candidates, now)
	a.incomplete = len(lists.unknown) > 0
	tasks := waiting << a.unused
	missing := tasks - room(lists.valid)
	if missing <= 0 || now < a.retryAt || a.offered && len(lists.expired) > 0 {
		return
	}
	named := lists.toName(s.spec.Gang, tasks, missing)
	named = named[:min(len(named), maxAdviceBatch)]
	if len(named) == 0 {
		return
	}
	order := AdviceOrder{Step: s.ref()}
	a.pending = &adviceRequest{enough: 1}
	if s.spec.Gang {
		a.pending.enough = waiting
	}
	for _, n := range named {
		order.Workers = append(order.Workers, n.Worker)
		a.pending.workers = append(a.pending.workers, c.workers[n.Worker])
		a.pending.rooms = append(a.pending.rooms, n.Room)
	}
	out.Advice = append(out.Advice, order)
}

// adviceCandidates are the candidates for a step's tasks by what is known of them. Those that the
// advisor does not allow are left out.
type adviceCandidates struct {
	valid, expired []taskplan.Candidate // allowed, with and without a valid ticket
	unknown        []taskplan.Candidate
}

func (c *Core) sortCandidates(s *step, candidates []taskplan.Candidate, now time.Duration) adviceCandidates {
	var out adviceCandidates
	for _, n := range candidates {
		switch v := s.advice.verdicts[c.workers[n.Worker]]; {
		case v == nil:
			out.unknown = append(out.unknown, n)
		case v.valid(now):
			out.valid = append(out.valid, n)
		case v.allowed:
			out.expired = append(out.expired, n)
		}
	}
	return out
}

// toName returns the candidates to name in a request for tasks, of which the valid tickets leave some
// missing: the allowed ones that have room for them, and unknown ones if that is not enough. All
// members of a gang need valid tickets at the same time: its tickets are renewed together, once enough
// workers are known to be allowed.
func (l *adviceCandidates) toName(gang bool, tasks, missing int) []taskplan.Candidate {
	allowed := append(slices.Clone(l.expired), l.valid...)
	switch {
	case gang && room(allowed) >= tasks:
		return firstWithRoom(allowed, tasks)
	case gang && len(l.unknown) > 0:
		return l.unknown
	}
	named := firstWithRoom(l.expired, missing)
	if room(named) < missing {
		named = append(named, l.unknown...)
	}
	return named
}

// room returns for how many tasks the candidates have room together.
func room(candidates []taskplan.Candidate) (sum int) {
	for _, n := range candidates {
		sum += n.Room
	}
	return sum
}

// firstWithRoom returns the first candidates that have room for so many tasks, or all.
func firstWithRoom(candidates []taskplan.Candidate, tasks int) []taskplan.Candidate {
	for i := range candidates {
		if tasks -= candidates[i].Room; tasks <= 0 {
			return candidates[: i+1 : i+1]
		}
	}
	return candidates
}

// AdviceAnswered records the answer to a request, or that it failed, so that the next one may be sent.
// Workers that were named and got no ticket are not allowed. The validity of the tickets counts from the
// time sent at which the request was sent.
func (c *Core) AdviceAnswered(o AdviceOrder, answer AdviceAnswer, sent, now time.Duration) {
	t := c.find(work.TaskRef{StepRef: o.Step})
	if t == nil || t.step.advice.pending == nil {
		return
	}
	a := &t.step.advice
	request := a.pending
	a.pending = nil
	if answer.Err != nil {
		a.retryAt = now + adviceRetryInterval
		return
	}
	if a.verdicts == nil {
		a.verdicts = make(map[*worker]*verdict)
	}
	tickets := make(map[work.WorkerID]string, len(answer.Tickets))
	for _, tk := range answer.Tickets {
		tickets[tk.Worker] = tk.Ticket
	}
	allowedTasks := 0
	for i, w := range request.workers {
		text, allowed := tickets[w.info.ID]
		a.verdicts[w] = &verdict{allowed: allowed, ticket: text, expires: sent + answer.Validity}
		if allowed {
			allowedTasks += request.rooms[i]
		}
	}
	a.answeredAt, a.offered = now, allowedTasks >= request.enough
	c.log.V(1).Info("advice", "step", o.Step.String(), "workers", len(request.workers), "allowed", len(tickets), "known", len(a.verdicts), "took", (now - sent).String())
}

// startIssued records that a start of the step uses a ticket.
func (a *stepAdvice) startIssued() { a.offered, a.unused = false, 0 }

// ticketRefused records that the worker did not accept the step's ticket.
func (a *stepAdvice) ticketRefused(w *worker) {
	if v := a.verdicts[w]; v != nil {
		v.expires = 0
	}
}

// approvedOn reports whether the advisor is known to allow the step's tasks on the worker, even if the
// ticket has expired.
func (s *step) approvedOn(w *worker) bool {
	if !s.job.queue.Advised {
		return true
	}
	v := s.advice.verdicts[w]
	return v != nil && v.allowed
}

// askAdviceForMove adds a request to out for the workers that could take the running task if the advisor
// allows it.
func (c *Core) askAdviceForMove(t *task, now time.Duration, out *Orders) {
	s := t.step
	if !s.job.queue.Advised || c.capacityUncertain(now) {
		return
	}
	on := s.tasksOnWorkers()
	var candidates []taskplan.Candidate
	for _, w := range c.ordered() {
		if !w.closed(now) && t.fitsOn(w, on) && s.advice.verdicts[w] == nil {
			candidates = append(candidates, taskplan.Candidate{Worker: w.info.ID, Room: 1})
		}
	}
	c.requestAdvice(s, 1, candidates, now, out)
}
