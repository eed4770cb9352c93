package main

import (
	"fmt"
	"hash/fnv"
	"time"
)

const adviceRunners = 64

func init() {
	cases["advice"] = struct {
		settings settingsOf
		play     func(s *stage, trouble bool) int
	}{settingsOf{runners: adviceRunners, cpu: 32000, advisor: &advisor{decision: 20 * time.Millisecond, perWorker: 5 * time.Millisecond, validity: 5 * time.Second}}, playAdvice}
}

// approve reports whether the policy allows the step on the runner: by a hash, on one in so many.
func approve(step, worker string, in uint32) bool {
	h := fnv.New32a()
	fmt.Fprint(h, step, "/", worker)
	return h.Sum32()>>8%in == 0
}

// playAdvice hands in jobs of one short task on a queue with an advisor, one after the other. The
// policy allows one runner in 16 for each step; without the disruption, one in two.
func playAdvice(s *stage, trouble bool) int {
	in := uint32(2)
	if trouble {
		in = 16
	}
	s.mu.Lock()
	s.policy = func(step, worker string) bool { return approve(step, worker, in) }
	s.mu.Unlock()
	const jobs, finish = 40, 14 * time.Second
	work := 500 * time.Millisecond
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("%08x%08x", 0x5c0e7a21, 0xd94b0000+i)
		ids = append(ids, id)
		s.submit(id, spec{WorkMS: int(work.Milliseconds())}, map[string]any{"count": 1, "cpu": int64(2000), wire("field.memory"): 512, "estimated-ms": work.Milliseconds()})
		time.Sleep(300 * time.Millisecond)
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
		step, allowed, asked := id+".0.0", 0, 0
		for _, m := range s.machines {
			if s.policy(step, m.runner.id) {
				allowed++
				if s.asked[step][m.runner.id] {
					asked++
				}
			}
		}
		s.log("%s after the end of the traffic: %s is %s, %d starts; the policy allows %d idle runners, of which the advisor was asked about %d; it was asked about %d runners in all",
			finish, id, state, s.starts[step+".0"], allowed, asked, len(s.asked[step]))
		if s.starts[step+".0"] == 0 && s.quiet() && s.idleRunners(step) >= 2 {
			lost++
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log("ends: %v", s.ended)
	if lost > 0 {
		s.log("LOST: %d of %d jobs have nothing running for over 3 s, though runners that may run them stand idle", lost, jobs)
		return broken
	}
	if s.ended["done"] < jobs {
		return couldNot
	}
	return held
}
