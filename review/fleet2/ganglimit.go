package main

import (
	"fmt"
	"time"
)

func init() {
	cases["gang-limit"] = struct {
		settings settingsOf
		play     func(s *stage, trouble bool) int
	}{settingsOf{runners: 8, others: 8, cpu: 32000, tenants: map[string]int64{"red": 200000}}, playGangLimit}
}

// playGangLimit hands gangs of four tasks in, 36 cores together, one after the other, for a tenant that
// may have 200 cores. A version of the configuration lowers that to 60 cores.
func playGangLimit(s *stage, trouble bool) int {
	const members, work, finish = 4, time.Second, 14 * time.Second
	step := map[string]any{
		"count": members, "cpu": int64(9000), wire("field.memory"): 1024, "estimated-ms": work.Milliseconds(), wire("field.gang"): true,
	}
	var ids []string
	for i := range 5 {
		if i == 3 && trouble {
			s.mu.Lock()
			s.tenants = map[string]int64{"red": 60000}
			s.mu.Unlock()
			s.configure(3)
		}
		id := fmt.Sprintf("%016x", 0x400+i)
		ids = append(ids, id)
		s.submit(id, spec{WorkMS: int(work.Milliseconds()), Gang: members}, step)
		time.Sleep(2500 * time.Millisecond)
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
		running, started := 0, s.starts[id+".0.0.0"]
		for _, m := range s.machines {
			if m.runner != nil {
				running += len(m.runner.running)
			}
		}
		s.log("%s after the end of the traffic: %s is %s, %d starts of it; on all runners together %d tasks run", finish, id, state, started, running)
		if started == 0 && running == 0 && s.quiet() && s.idleRunners(id+".0.0") >= 2*members {
			lost++
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log("ends: %v", s.ended)
	if lost > 0 {
		s.log("LOST: %d jobs have nothing running for over 3 s, though nothing else runs and their tenant has none of its limit in use", lost)
		return broken
	}
	return held
}
