package main

import (
	"fmt"
	"net/http"
	"strconv"
	"time"
)

func init() {
	cases["waiting"] = struct {
		settings settingsOf
		play     func(s *stage, trouble bool) int
	}{settingsOf{runners: 4, others: 2, cpu: 8000}, playWaiting}
}

// playWaiting hands in jobs that fill the four runners for a minute, and then twenty that have to wait.
// A version of the configuration removes the queue's route, and the next one adds it again for another
// service.
func playWaiting(s *stage, trouble bool) int {
	const full, waiting, visible = 4, 20, 3 * time.Second
	step := map[string]any{"count": 1, "cpu": int64(8000), wire("field.memory"): 512, "estimated-ms": 60000}
	for i := range full {
		s.submit(fmt.Sprintf("%016x", 0x100+i), spec{WorkMS: 60000}, step)
	}
	if !s.until(10*time.Second, func() bool { return len(s.starts) == full }) {
		s.fatal("the jobs do not start")
	}
	for i := range waiting {
		s.submit(fmt.Sprintf("%016x", 0x200+i), spec{WorkMS: 500}, step)
	}
	time.Sleep(visible + 2*time.Second)
	if trouble {
		s.configure(2, "")
		time.Sleep(2500 * time.Millisecond)
		s.configure(4, other)
	}
	time.Sleep(5 * time.Second)
	s.mu.Lock()
	begun := len(s.starts) - full
	s.mu.Unlock()
	bad := 0
	for i := range entries {
		status, count := s.call(i, http.MethodGet, "", nil)
		s.log("GET %s at entry-%d: %d, waiting %s; accepted over 10 s ago and not begun: %d", prefix, i, status, count, waiting-begun)
		if n, err := strconv.Atoi(count); status == http.StatusOK && err == nil && 2*n < waiting-begun {
			bad++
		}
	}
	if bad > 0 {
		s.log("MIXED: %d entry VMs give as waiting under half of the jobs that were accepted over 5 s ago and have not begun", bad)
		return broken
	}
	return held
}
