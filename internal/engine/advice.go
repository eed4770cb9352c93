package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/taskplan"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Limits of the requests to the advisor.
const (
	// maxAdviceBatch is the maximum number of workers in a request. Each worker takes time of the
	// advisor, and the deployments' objectives assume one call for 30 workers.
	maxAdviceBatch = 30
	// adviceRetryInterval is the minimum time between two requests for a step.
	adviceRetryInterval = 1500 * time.Millisecond
	// ticketMargin is the least remaining validity of a ticket that is used, so that it is still valid
	// when the start arrives.
	ticketMargin = 150 * time.Millisecond
)

// permitted returns those of the workers on which the advisor's tickets still allow the step's tasks
// to start, for at least ticketMargin.
func (s *step) permitted(workers []*taskplan.Worker, now time.Duration) map[work.WorkerID]bool {
	ok := make(map[work.WorkerID]bool)
	for _, w := range workers {
		if t, has := s.tickets[w.ID]; has && now+ticketMargin < t.expires {
			ok[w.ID] = true
		}
	}
	return ok
}

// askAdvice adds a request to out for tickets on workers with enough free capacity, if the step has
// tickets for fewer workers than it has pending tasks and none were requested recently.
func (s *step) askAdvice(workers []*taskplan.Worker, permitted map[work.WorkerID]bool, now time.Duration, out *Orders) {
	if s.advicePending || len(permitted) >= s.pending || s.adviceAskedAt != 0 && now < s.adviceAskedAt+adviceRetryInterval {
		return
	}
	var ask []work.WorkerID
	for _, w := range workers {
		if !permitted[w.ID] && taskplan.Reserved(s.spec).Fits(w.Free) && len(ask) < maxAdviceBatch {
			ask = append(ask, w.ID)
		}
	}
	if len(ask) == 0 {
		return
	}
	s.advicePending, s.adviceAskedAt = true, now
	out.Advice = append(out.Advice, AdviceOrder{Step: s.ref(), Workers: ask})
}

// AdviceAnswered records that the advisor answered the request for a step, or that the request failed,
// so that the next one may be sent. It stores the tickets, if any. Their validity counts from the time
// sent at which the request was sent.
func (c *Core) AdviceAnswered(ref work.StepRef, tickets []Ticket, validity time.Duration, sent time.Duration) {
	t := c.find(work.TaskRef{StepRef: ref})
	if t == nil {
		return
	}
	s := t.step
	s.advicePending = false
	if s.tickets == nil {
		s.tickets = make(map[work.WorkerID]ticket)
	}
	for _, tk := range tickets {
		s.tickets[tk.Worker] = ticket{text: tk.Ticket, expires: sent + validity}
	}
}

// approvedOn reports whether the advisor is known to allow the step's tasks on the worker. Its answer
// doesn't change during the worker's incarnation, even if the ticket has expired.
func (s *step) approvedOn(w *worker) bool {
	if !s.job.queue.Advised {
		return true
	}
	_, has := s.tickets[w.info.ID]
	return has
}

// askAdviceForMove adds a request to out for the workers that could take the running task if the advisor
// allows it, unless it was asked recently.
func (c *Core) askAdviceForMove(t *task, now time.Duration, out *Orders) {
	s := t.step
	if !s.job.queue.Advised || s.advicePending || s.adviceAskedAt != 0 && now < s.adviceAskedAt+adviceRetryInterval || c.capacityUncertain(now) {
		return
	}
	on := s.tasksOnWorkers()
	var ask []work.WorkerID
	for _, w := range c.ordered() {
		if len(ask) < maxAdviceBatch && !w.closed(now) && t.fitsOn(w, on) && !s.approvedOn(w) {
			ask = append(ask, w.info.ID)
		}
	}
	if len(ask) == 0 {
		return
	}
	s.advicePending, s.adviceAskedAt = true, now
	out.Advice = append(out.Advice, AdviceOrder{Step: s.ref(), Workers: ask})
}
