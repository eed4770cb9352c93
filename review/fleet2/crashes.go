package main

import (
	"net/http"
	"time"
)

func init() {
	cases["crashes"] = struct {
		settings settingsOf
		play     func(s *stage, trouble bool) int
	}{settingsOf{runners: 8, cpu: 32000}, playCrashes}
}

// playCrashes hands one job in, whose tasks fill the eight runners. One of the runners crashes again
// and again: it is down for 2 s, up for 1.5 s, and so on.
func playCrashes(s *stage, trouble bool) int {
	const (
		work, tasks = 30 * time.Second, 64
		down, up    = 2 * time.Second, 1500 * time.Millisecond
		most        = 8 // crashes
	)
	id := "5c0e7a21d94b36f8"
	s.submit(id, spec{WorkMS: int(work.Milliseconds()), Saves: true}, map[string]any{
		"count": tasks, "cpu": int64(4000), wire("field.memory"): 1024, "estimated-ms": work.Milliseconds(), wire("field.saves"): true,
	})
	if !s.until(20*time.Second, func() bool { return len(s.starts) == tasks }) {
		s.fatal("the job does not start")
	}
	state, crashed, bad := "", time.Now().Add(-down), s.machines[3]
	for end := time.Now().Add(90 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if state = s.state(id); state == "completed" || state == "failed" {
			break
		}
		if trouble && len(s.disturbed) < most && time.Since(crashed) >= down+up {
			crashed = time.Now()
			s.crash(bad, down)
		}
	}
	status, state := s.call(1, http.MethodGet, id, nil)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log("GET %s: %d %s; crashes: %d; ends: %v", id, status, state, len(s.disturbed), s.ended)
	switch {
	case state == "failed" && s.ended["failed"] == 0:
		s.log("LOST: the job is shown as failed, and no run of its tasks has ended failed")
		return broken
	case state == "completed":
		return held
	}
	return couldNot
}
