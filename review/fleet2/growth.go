package main

import (
	"fmt"
	"time"
)

func init() {
	cases["growth"] = struct {
		settings settingsOf
		play     func(s *stage, trouble bool) int
	}{settingsOf{runners: 16, cpu: 32000, advisor: &advisor{decision: 100 * time.Millisecond, perWorker: 40 * time.Millisecond, validity: time.Second}}, playGrowth}
}

// playGrowth hands in jobs of one short task on a queue with an advisor, one after the other. Five empty
// runners are added to the sixteen.
func playGrowth(s *stage, trouble bool) int {
	const jobs, added, gap, finish = 12, 5, 1770 * time.Millisecond, 14 * time.Second
	work := 500 * time.Millisecond
	s.mu.Lock()
	s.policy = func(step, worker string) bool { return true }
	s.mu.Unlock()
	var ids []string
	for i := range jobs {
		if i == 4 && trouble {
			s.log("DISRUPTION %d empty runners are added, over %s", added, gap)
			for range added {
				s.mu.Lock()
				if err := s.add(1, service, s.machines[0].cpu); err != nil {
					s.fatal("%v", err)
				}
				s.mu.Unlock()
				time.Sleep(gap / added)
			}
			time.Sleep(time.Second)
		}
		id := fmt.Sprintf("%016x", 0x500+i)
		ids = append(ids, id)
		s.submit(id, spec{WorkMS: int(work.Milliseconds())}, map[string]any{"count": 1, "cpu": int64(2000), wire("field.memory"): 512, "estimated-ms": work.Milliseconds()})
		time.Sleep(1500 * time.Millisecond)
	}
	s.log("end of the traffic")
	time.Sleep(finish)
	lost := 0
	for _, id := range ids {
		state := s.state(id)
		if state == "completed" {
			continue
		}
		s.mu.Lock()
		s.log("%s after the end of the traffic: %s is %s, %d starts; the policy allows all %d runners", finish, id, state, s.starts[id+".0.0.0"], len(s.machines))
		if s.starts[id+".0.0.0"] == 0 && s.quiet() && s.idleRunners(id+".0.0") >= 2 {
			lost++
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log("ends: %v", s.ended)
	if lost > 0 {
		s.log("LOST: %d of %d jobs have nothing running for over 3 s, though all runners stand idle and may run them", lost, jobs)
		return broken
	}
	return held
}
