package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/taskplan"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Limits of the questions to the advisor.
const (
	// maxAdviceBatch is the greatest number of workers in a question. Each worker takes time of the
	// advisor, and the deployments' objectives assume one call for 30 workers.
	maxAdviceBatch = 30
	// adviceRetryInterval is the minimum time between two questions about a step.
	adviceRetryInterval = 1500 * time.Millisecond
	// ticketMargin is the least remaining validity of a ticket that is used, so that it is still valid
	// when the start arrives.
	ticketMargin = 150 * time.Millisecond
)

// permitted returns those of the workers for which the step has a valid ticket.
func (s *step) permitted(workers []*taskplan.Worker, now time.Duration) map[work.WorkerID]bool {
	ok := make(map[work.WorkerID]bool)
	for _, w := range workers {
		if t, has := s.tickets[w.ID]; has && now+ticketMargin < t.expires {
			ok[w.ID] = true
		}
	}
	return ok
}

// askAdvice adds a question to out about workers with enough free capacity, if the step has tickets
// for fewer workers than it has pending tasks and no question was asked recently.
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

// AdviceAnswered records the advisor's answer about a step: tickets that are valid from now for the given
// time. Without tickets it only records that the question is answered.
func (c *Core) AdviceAnswered(ref work.StepRef, tickets []Ticket, validity time.Duration, now time.Duration) {
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
		s.tickets[tk.Worker] = ticket{text: tk.Ticket, expires: now + validity}
	}
}
