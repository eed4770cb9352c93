package main

import (
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["crashes"] = struct {
		settings settingsOf
		play     func(s *stage, trouble bool) int
	}{settingsOf{runners: 8, cpu: 32000}, playCrashes}
}

// playCrashes hands one job in, whose tasks fill the eight runners. One of the runners keeps crashing
// under load: it crashes 0.2 s after it has begun to work, is down for 1 s, and so on, three times at most.
func playCrashes(s *stage, trouble bool) int {
	const (
		work, tasks = 12 * time.Second, 64
		down, after = time.Second, 200 * time.Millisecond
		most        = 3 // crashes
	)
	id, bad := "5c0e7a21d94b36f8", s.machines[3]
	var crashing sync.WaitGroup
	if trouble {
		crashing.Go(func() {
			for range most {
				if !s.until(30*time.Second, func() bool { return bad.runner != nil && len(bad.runner.running) > 0 }) {
					return
				}
				time.Sleep(after)
				s.crash(bad, down)
			}
		})
	}
	s.submit(id, spec{WorkMS: int(work.Milliseconds()), Saves: true}, map[string]any{
		"count": tasks, "cpu": int64(4000), wire("field.memory"): 1024, "estimated-ms": work.Milliseconds(), wire("field.saves"): true,
	})
	state := ""
	for end := time.Now().Add(60 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if state = s.state(id); state == "completed" || state == "failed" {
			break
		}
	}
	status, state := s.call(1, http.MethodGet, id, nil)
	s.mu.Lock()
	s.log("GET %s: %d %s; crashes: %d; ends: %v", id, status, state, len(s.disturbed), s.ended)
	failed := s.ended["failed"]
	s.mu.Unlock()
	switch {
	case state == "failed" && failed == 0:
		s.log("LOST: the job is shown as failed, and no run of its tasks has ended failed")
		return broken
	case state == "completed":
		return held
	}
	return couldNot
}
