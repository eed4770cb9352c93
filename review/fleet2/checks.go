package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// taskRef is a task's name, taken apart.
type taskRef struct {
	job        string
	occurrence int
	step       int
	index      int
}

func parseRef(task string) taskRef {
	parts := strings.Split(task, ".")
	n := func(i int) int { v, _ := strconv.Atoi(parts[i]); return v }
	return taskRef{parts[0], n(1), n(2), n(3)}
}

// endNote is the end of a run and whether it was taken note of.
type endNote struct {
	how    string
	run    int
	at     time.Time
	lapsed bool // the lease ran out between the end and its acknowledgement
	acked  bool
}

// doubt is a start that breaks a rule if enough of the ends before it were taken note of, then or later.
type doubt struct {
	rule, what string
	ends       []*endNote
	least      int
}

func (s *stage) noteEnd(u *run, how string) *endNote {
	n := &endNote{how: how, run: u.number, at: time.Now()}
	s.notes[u.task] = append(s.notes[u.task], n)
	return n
}

func (s *stage) endsOf(task, how string) (out []*endNote) {
	for _, n := range s.notes[task] {
		if n.how == how {
			out = append(out, n)
		}
	}
	return out
}

func (s *stage) fault(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.log("%s", text)
	s.faults = append(s.faults, text)
}

const early = 250 * time.Millisecond

// checkStart checks the rules that a start can break. s.mu is held.
func (s *stage) checkStart(u *run, job *jobInfo, ref taskRef, used int64) {
	step := job.steps[ref.step]
	if !s.guards && used+u.cpu > u.on.m.cpu {
		s.fault("LIMIT: %s run %d on %s: %d of %d in use", u.task, u.number, u.on.id, used, u.on.m.cpu)
	}
	for _, m := range s.machines {
		if m.runner != nil && m.runner.running[u.task] != nil {
			s.fault("TWICE: %s run %d on %s, while run %d is on %s", u.task, u.number, u.on.id, m.runner.running[u.task].number, m.runner.id)
		}
	}
	if done := s.endsOf(u.task, "done"); len(done) > 0 {
		s.doubts = append(s.doubts, doubt{"TWICE", fmt.Sprintf("%s run %d on %s after run %d has ended done", u.task, u.number, u.on.id, done[0].run), done, 1})
	}
	if failed := s.endsOf(u.task, "failed"); !step.lasts && len(failed) >= job.attempts {
		s.doubts = append(s.doubts, doubt{"BUDGET", fmt.Sprintf("%s run %d on %s after %d failed runs", u.task, u.number, u.on.id, len(failed)), failed, job.attempts})
	}
	for _, before := range step.after {
		for i := range job.steps[before].count {
			if t := fmt.Sprintf("%s.%d.%d.%d", ref.job, ref.occurrence, before, i); len(s.endsOf(t, "done")) == 0 {
				s.fault("ORDER: %s run %d before %s is done", u.task, u.number, t)
			}
		}
	}
	if !job.first.IsZero() {
		if due := job.first.Add(time.Duration(ref.occurrence) * job.every); time.Now().Before(due.Add(-early)) {
			s.fault("ORDER: %s run %d %s before its time", u.task, u.number, time.Until(due))
		}
	}
	if step.label != "" && !slices.Contains(u.on.m.labels(), step.label) {
		s.fault("ROUTE: %s run %d on %s without label %s", u.task, u.number, u.on.id, step.label)
	}
	if step.anti > 0 {
		n := 0
		for _, other := range u.on.running {
			if o := parseRef(other.task); o.job == ref.job && o.occurrence == ref.occurrence && o.step == ref.step {
				n++
			}
		}
		if n >= step.anti {
			s.fault("ROUTE: %s run %d on %s beside %d tasks of its step", u.task, u.number, u.on.id, n)
		}
	}
	if c := job.cancelled; !c.IsZero() && time.Since(c) > 3*time.Second && s.calm(c, time.Now()) {
		s.fault("UNASKED: %s run %d on %s, %s after the job's cancelling was acknowledged", u.task, u.number, u.on.id, time.Since(c))
	}
}

// resolve adds the doubts that have turned out to break their rule.
func (s *stage) resolve() {
	for _, d := range s.doubts {
		n := 0
		for _, e := range d.ends {
			if e.acked {
				n++
			}
		}
		if n >= d.least {
			s.fault("%s: %s", d.rule, d.what)
		}
	}
	s.doubts = nil
}

// lateBy is how late an order without an answer is carried out: 2 to 12 s.
func lateBy() time.Duration { return 2*time.Second + rand.N(10*time.Second) }

// startLate carries out a start whose sender has given up.
func (s *stage) startLate(r *runner, o order) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.m.runner != r || o.number("fencing-token") < r.token {
		return
	}
	r.token = o.number("fencing-token")
	s.log("carried out late:")
	s.start(r, o)
}
