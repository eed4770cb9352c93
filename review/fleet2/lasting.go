package main

import (
	"fmt"
	"time"
)

func init() {
	cases["lasting"] = struct {
		settings settingsOf
		play     func(s *stage, trouble bool) int
	}{settingsOf{runners: 4, cpu: 8000, batch: true}, playLasting}
}

// playLasting hands a job in whose tasks last, and, on a queue of lower priority, one of long tasks that
// fills the runners and more. One of the tasks that last fails once.
func playLasting(s *stage, trouble bool) int {
	const tasks, start, batch = 4, 300, 40 * time.Second
	lasting := "5c0e7a21d94b36f8"
	s.submit(lasting, spec{WorkMS: start, Lasts: true}, map[string]any{
		"count": tasks, "cpu": int64(4000), wire("field.memory"): 512, "estimated-ms": start, wire("field.lasts"): true, "anti-affinity": 1, "max-unavailable": 1,
	})
	if !s.until(10*time.Second, func() bool { return len(s.starts) == tasks }) {
		s.fatal("the tasks that last do not start")
	}
	s.submitTo(batchPrefix, "5c0e7a21d94b36f9", spec{WorkMS: int(batch.Milliseconds())}, map[string]any{
		"count": 12, "cpu": int64(4000), wire("field.memory"): 512, "estimated-ms": batch.Milliseconds(),
	})
	time.Sleep(5 * time.Second)
	find := func(task string) *run {
		for _, m := range s.machines {
			if u := m.runner.running[task]; u != nil {
				return u
			}
		}
		return nil
	}
	task := lasting + ".0.0.1"
	if trouble {
		s.mu.Lock()
		s.log("DISRUPTION the task fails")
		s.end(find(task), "failed")
		s.mu.Unlock()
	}
	// The rule holds from 6 s after the task's last run, and then for 3 s.
	down, longest := time.Time{}, time.Duration(0)
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s.mu.Lock()
		for i := range tasks {
			if t := fmt.Sprintf("%s.0.0.%d", lasting, i); t == task && find(t) == nil {
				if down.IsZero() {
					down = time.Now()
				}
				longest = max(longest, time.Since(down))
			} else if t == task {
				down = time.Time{}
			}
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log("%s had no run for %s; ends: %v", task, longest.Round(time.Millisecond), s.ended)
	if longest > 9*time.Second {
		s.log("LOST: a task that lasts has nothing running for over 3 s, later than 6 s after its last run")
		return broken
	}
	return held
}
