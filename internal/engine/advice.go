package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/taskplan"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Advice is asked for in small batches: each worker asked about takes the
// advisor's time, and the deployments' objectives count one call on 30.
const (
	maxAdviceBatch      = 30
	adviceRetryInterval = 1500 * time.Millisecond
	// ticketMargin keeps a start from arriving with a ticket that just ran out.
	ticketMargin = 150 * time.Millisecond
)

// permitted returns those of the workers that the step has valid tickets for.
func (s *step) permitted(workers []*taskplan.Worker, now time.Duration) map[work.WorkerID]bool {
	ok := make(map[work.WorkerID]bool)
	for _, w := range workers {
		if t, has := s.tickets[w.ID]; has && now+ticketMargin < t.expires {
			ok[w.ID] = true
		}
	}
	return ok
}

// askAdvice orders a question about workers with room where the step has fewer
// tickets than tasks that wait.
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

// Advised takes the advisor's answer over.
func (c *Core) Advised(ref work.StepRef, tickets []Ticket, validity time.Duration, now time.Duration) {
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
