package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/taskplan"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Limits of the requests to the advisor.
const (
	// maxAdviceBatch is the maximum number of workers that the advisor accepts in a request.
	maxAdviceBatch = 100
	// adviceRetryInterval is the minimum time between two requests for a step if the first failed or
	// led to no start.
	adviceRetryInterval = 1500 * time.Millisecond
	// minAdviceBackoff is the time after a failed request until one for another step is sent. It
	// doubles with each further failure, up to adviceRetryInterval.
	minAdviceBackoff = 100 * time.Millisecond
	// minAdviceSlack is how much longer than twice its configured time a request may take. It doubles
	// with each request that times out, up to maxAdviceSlack: the advisor may still handle those.
	minAdviceSlack = 1 * time.Second
	maxAdviceSlack = 8 * time.Second
	// maxTicketMargin is the least remaining validity of a ticket that is used, so that it is still
	// valid when the start arrives. Tickets that are valid for a short time are used for
	// 1/ticketMarginDivisor less than that.
	maxTicketMargin     = 150 * time.Millisecond
	ticketMarginDivisor = 4
	// assumedValidity is the validity of tickets if neither the answer nor the configuration tells
	// it.
	assumedValidity = 1 * time.Second
	// maxUnusedAnswers limits how often the number of tickets that a step asks for is doubled.
	maxUnusedAnswers = 6
	// maxRateSample limits how many workers an approvalRate counts before older answers lose half of
	// their weight.
	maxRateSample = 256
)

// AdviceCost holds what a queue's configuration tells about its advisor. A zero is not known.
type AdviceCost struct {
	Decision  time.Duration // fixed part of a request's duration
	PerWorker time.Duration // added for each worker that a request names
	Validity  time.Duration // of a ticket
}

// duration returns how long the advisor takes for a request that names so many workers.
func (a AdviceCost) duration(workers int) time.Duration {
	return a.Decision + time.Duration(workers)*a.PerWorker
}

// adviceCalls is the state of a cell's requests to the advisor. At most one is under way: the advisor
// handles one call of an entry VM at a time, and a request that waits there would name workers by
// what was known before.
type adviceCalls struct {
	pending  *adviceRequest // nil: none is under way
	retryAt  time.Duration  // no request before this time
	failures int            // failed requests in a row
	// slack is what the last request's outcome adds to the next one's timeout; 0: minAdviceSlack.
	slack time.Duration
	rates map[string]*approvalRate
}

// approvalRate estimates which part of the workers the advisor allows for a step of one queue.
type approvalRate struct{ asked, allowed float64 }

func (r *approvalRate) observe(allowed bool) {
	r.asked++
	if allowed {
		r.allowed++
	}
	if r.asked > maxRateSample {
		r.asked, r.allowed = r.asked/2, r.allowed/2
	}
}

// value returns the estimate, which is above 0. Without an observation it is 1.
func (r *approvalRate) value() float64 { return (r.allowed + 1) / (r.asked + 1) }

// rate returns the estimate for the queue, which it creates if there is none.
func (a *adviceCalls) rate(queue string) *approvalRate {
	if a.rates == nil {
		a.rates = make(map[string]*approvalRate)
	}
	if a.rates[queue] == nil {
		a.rates[queue] = &approvalRate{}
	}
	return a.rates[queue]
}

// timeout returns the timeout of a request that takes so long by the configuration.
func (a *adviceCalls) timeout(configured time.Duration) time.Duration {
	return 2*configured + max(minAdviceSlack, a.slack)
}

// failed records a failed request.
func (a *adviceCalls) failed(timedOut bool, now time.Duration) {
	a.retryAt = now + min(adviceRetryInterval, minAdviceBackoff<<min(a.failures, maxUnusedAnswers))
	a.failures++
	if timedOut {
		a.slack = min(maxAdviceSlack, 2*max(minAdviceSlack, a.slack))
	}
}

// answered records that a request was answered, and by how much later than configured.
func (a *adviceCalls) answered(late time.Duration) {
	a.failures, a.slack = 0, min(maxAdviceSlack, 2*late)
}

// adviceRequest is a request to the advisor that has not been answered.
type adviceRequest struct {
	step  *step
	named []namedWorker
	// enough is for how many tasks the answer has to allow workers so that any can start.
	enough int
}

// namedWorker is a worker that a request names, and the number of the step's tasks that it has room for.
type namedWorker struct {
	worker *worker
	room   int
}

// stepAdvice is what is known of the advisor's decisions on one step.
type stepAdvice struct {
	verdicts map[*worker]*verdict
	// incomplete tells that there are workers which could take a task that is to move, and about which
	// the advisor has not been asked.
	incomplete bool
	answeredAt time.Duration
	retryAt    time.Duration // no request before this time
	// pause is the time after the last answer until tickets are asked for again that were not used:
	// at least what the call took, so that other steps have their turn.
	pause time.Duration
	// refused counts the answers in a row whose tickets a worker did not accept, the last of them at
	// refusedAt.
	refused   int
	refusedAt time.Duration
	// offered tells that the last answer allowed a task, or the whole gang, to start, and that none has
	// started since. unused counts the answers in a row after which none did: the workers may not
	// suit for another reason, and more are asked about each time.
	offered bool
	unused  int
}

// verdict is the advisor's decision on a step and one incarnation of a worker, which doesn't change,
// and its last ticket.
type verdict struct {
	allowed     bool
	ticket      string
	usableUntil time.Duration
}

// usable reports whether a start may still use the ticket.
func (v *verdict) usable(now time.Duration) bool { return v.allowed && now < v.usableUntil }

// permitted returns those of the workers on which the advisor's tickets still allow the step's tasks
// to start.
func (c *Core) permitted(s *step, workers []*taskplan.Worker, now time.Duration) map[work.WorkerID]bool {
	ok := make(map[work.WorkerID]bool)
	for _, w := range workers {
		if v := s.advice.verdicts[c.workers[w.ID]]; v != nil && v.usable(now) {
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
	if c.adviceDue(s, now) {
		c.requestAdvice(s, len(ps.Tasks), taskplan.Candidates(workers, ps), now, out)
	}
}

// adviceDue reports whether a request for the step may be sent now.
func (c *Core) adviceDue(s *step, now time.Duration) bool {
	return c.advice.pending == nil && now >= c.advice.retryAt && now >= s.advice.retryAt
}

// observeUnused notices that the last answer allowed tasks to start and none has.
func (a *stepAdvice) observeUnused(now time.Duration) {
	if a.offered && now >= a.answeredAt+a.pause {
		a.offered = false
		a.unused = min(maxUnusedAnswers, a.unused+1)
	}
}

// requestAdvice adds a request to out that names candidates for so many waiting tasks. Workers that the
// advisor does not allow are never named again.
func (c *Core) requestAdvice(s *step, waiting int, candidates []taskplan.Candidate, now time.Duration, out *Orders) {
	a := &s.advice
	lists := c.sortCandidates(s, candidates, now)
	tasks := waiting << a.unused
	if tasks <= room(lists.valid) || a.offered && len(lists.expired) > 0 {
		return
	}
	named := lists.toName(s.spec.Gang, waiting, tasks, func(missing int) []taskplan.Candidate {
		return c.unknownToName(s, lists.unknown, missing)
	})
	named = named[:min(len(named), maxAdviceBatch)]
	if len(named) == 0 {
		return
	}
	enough := 1
	if s.spec.Gang {
		enough = waiting
	}
	c.advice.pending = &adviceRequest{step: s, enough: enough}
	order := AdviceOrder{Step: s.ref(), Timeout: c.advice.timeout(s.job.queue.Advice.duration(len(named)))}
	for _, n := range named {
		order.Workers = append(order.Workers, n.Worker)
		c.advice.pending.named = append(c.advice.pending.named, namedWorker{worker: c.workers[n.Worker], room: n.Room})
	}
	out.Advice = append(out.Advice, order)
}

// unknownToName returns those of the unknown candidates to name for the missing tasks: as many as are
// likely to be enough by what the advisor has allowed of the queue so far, and at least as many as the
// step has asked about before.
func (c *Core) unknownToName(s *step, unknown []taskplan.Candidate, missing int) []taskplan.Candidate {
	rate := c.advice.rate(s.job.Queue).value()
	n, likely := 0, 0.0
	for n < len(unknown) && (likely < float64(missing) || n < len(s.advice.verdicts)) {
		likely += rate * float64(min(missing, unknown[n].Room))
		n++
	}
	return unknown[:n]
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
		case v.usable(now):
			out.valid = append(out.valid, n)
		case v.allowed:
			out.expired = append(out.expired, n)
		}
	}
	return out
}

// toName returns the candidates to name in a request for tasks, of which so many wait: the allowed ones
// that have room for what the valid tickets leave missing, and those that chooseUnknown returns if that
// is not enough. All members of a gang need valid tickets at the same time: its tickets are renewed
// together, once enough workers are known to be allowed.
func (l *adviceCandidates) toName(gang bool, waiting, tasks int, chooseUnknown func(missing int) []taskplan.Candidate) []taskplan.Candidate {
	if gang {
		allowed := append(slices.Clone(l.expired), l.valid...)
		has := room(allowed)
		switch {
		case has < tasks && len(l.unknown) > 0:
			return chooseUnknown(tasks - has)
		case has < waiting:
			return nil
		}
		return firstWithRoom(allowed, tasks)
	}
	missing := tasks - room(l.valid)
	named := firstWithRoom(l.expired, missing)
	if left := missing - room(named); left > 0 {
		named = append(named, chooseUnknown(left)...)
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

// AdviceAnswered records the answer to the request under way, or that it failed, so that the next one
// may be sent. Workers that were named and got no ticket are not allowed. The advisor issues tickets as
// it answers: their validity counts from now.
func (c *Core) AdviceAnswered(answer AdviceAnswer, now time.Duration) {
	request := c.advice.pending
	if request == nil {
		return
	}
	c.advice.pending = nil
	s := request.step
	a := &s.advice
	if answer.Err != nil {
		a.retryAt = now + adviceRetryInterval
		c.advice.failed(answer.TimedOut, now)
		return
	}
	validity := cmp.Or(answer.Validity, s.job.queue.Advice.Validity, assumedValidity)
	allowed := a.record(request, answer.Tickets, now+usableFor(validity), c.advice.rate(s.job.Queue))
	c.advice.answered(answer.Duration - s.job.queue.Advice.duration(len(request.named)))
	a.answeredAt, a.offered = now, allowed >= request.enough
	a.pause = max(adviceRetryInterval, answer.Duration)
}

// record records which of the named workers got a ticket, also in the queue's rate if that was not
// known. It returns how many of the step's tasks those workers have room for.
func (a *stepAdvice) record(request *adviceRequest, issued []Ticket, usableUntil time.Duration, rate *approvalRate) (tasks int) {
	if a.verdicts == nil {
		a.verdicts = make(map[*worker]*verdict)
	}
	tickets := make(map[work.WorkerID]string, len(issued))
	for _, tk := range issued {
		tickets[tk.Worker] = tk.Ticket
	}
	for _, n := range request.named {
		text, allowed := tickets[n.worker.info.ID]
		if a.verdicts[n.worker] == nil {
			rate.observe(allowed)
		}
		a.verdicts[n.worker] = &verdict{allowed: allowed, ticket: text, usableUntil: usableUntil}
		if allowed {
			tasks += n.room
		}
	}
	return tasks
}

// usableFor returns how long after its issue a ticket of the validity is used for starts.
func usableFor(validity time.Duration) time.Duration {
	return validity - min(maxTicketMargin, validity/ticketMarginDivisor)
}

// startIssued records that a start of the step uses a ticket.
func (a *stepAdvice) startIssued() { a.offered, a.unused = false, 0 }

// ticketRefused records that the worker did not accept the step's ticket. The first time it is asked
// for again at once, as it may have expired on its way.
func (a *stepAdvice) ticketRefused(w *worker, now time.Duration) {
	if v := a.verdicts[w]; v != nil {
		v.usableUntil = 0
	}
	if a.refusedAt >= a.answeredAt && a.refused > 0 {
		return // another task's start with tickets of the same answer
	}
	if a.refusedAt = now; a.refused > 0 {
		a.retryAt = now + min(adviceRetryInterval, minAdviceBackoff<<min(a.refused, maxUnusedAnswers))
	}
	a.refused++
}

// ticketAccepted records that a worker accepted a ticket of the step.
func (a *stepAdvice) ticketAccepted() { a.refused = 0 }

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
	s.advice.incomplete = len(candidates) > 0
	if c.adviceDue(s, now) {
		c.requestAdvice(s, 1, candidates, now, out)
	}
}
