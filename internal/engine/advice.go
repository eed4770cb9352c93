package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/taskplan"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Advice is asked for in small batches: each worker asked about takes the
// advisor's time, and the deployments' objectives count one call on 30.
const (
	adviceBatch = 30
	adviceAgain = 1500 * time.Millisecond
	// ticketMargin keeps a start from arriving with a ticket that just ran out.
	ticketMargin = 150 * time.Millisecond
)

// permitted returns the workers with valid tickets, and asks for more.
func (c *Core) permitted(s *step, workers []*taskplan.Worker, now time.Duration, out *Orders) map[work.WorkerID]bool {
	ok := make(map[work.WorkerID]bool)
	var ask []work.WorkerID
	for _, w := range workers {
		if t, has := s.tickets[w.ID]; has && now+ticketMargin < t.expires {
			ok[w.ID] = true
			continue
		}
		if taskplan.Reserved(s.spec).Fits(w.Free) && len(ask) < adviceBatch {
			ask = append(ask, w.ID)
		}
	}
	due := s.asked == 0 || now >= s.asked+adviceAgain
	if !s.asking && len(ask) > 0 && due && len(ok) < s.pending {
		s.asking, s.asked = true, now
		out.Advice = append(out.Advice, AdviceOrder{Step: s.ref(), Workers: ask})
	}
	return ok
}

// Advised takes the advisor's answer over.
func (c *Core) Advised(ref work.StepRef, tickets []Ticket, validity time.Duration, now time.Duration) {
	t := c.find(work.TaskRef{StepRef: ref})
	if t == nil {
		return
	}
	s := t.step
	s.asking = false
	if s.tickets == nil {
		s.tickets = make(map[work.WorkerID]ticket)
	}
	for _, tk := range tickets {
		s.tickets[tk.Worker] = ticket{text: tk.Ticket, expires: now + validity}
	}
}
