package main

import (
	"net/http"
	"time"
)

func init() {
	cases["gang"] = struct {
		settings settingsOf
		play     func(s *stage, trouble bool) int
	}{settingsOf{runners: 8, cpu: 32000}, playGang}
}

// playGang hands two gangs in that take all eight runners. One runner crashes once, for 4.5 s.
func playGang(s *stage, trouble bool) int {
	const work, members = 8 * time.Second, 4
	ids := []string{"5c0e7a21d94b36f8", "5c0e7a21d94b36f9"}
	step := map[string]any{
		"count": members, "cpu": int64(20000), wire("field.memory"): 1024, "estimated-ms": work.Milliseconds(),
		wire("field.gang"): true, wire("field.saves"): true,
	}
	for _, id := range ids {
		s.submit(id, spec{WorkMS: int(work.Milliseconds()), Gang: members, Saves: true}, step)
	}
	working := func() (u *run) {
		for _, m := range s.machines {
			if m.runner == nil {
				continue
			}
			for _, u := range m.runner.running {
				if u.task == ids[0]+".0.0.0" && u.work(time.Now()) >= 2050*time.Millisecond {
					return u
				}
			}
		}
		return nil
	}
	if !s.until(30*time.Second, func() bool { return working() != nil }) {
		s.fatal("the gang does not work")
	}
	if trouble {
		s.mu.Lock()
		m := working().on.m
		s.mu.Unlock()
		s.crash(m, 4500*time.Millisecond)
	}
	open := append([]string(nil), ids...)
	for end := time.Now().Add(50 * time.Second); len(open) > 0 && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if st := s.state(open[0]); st == "completed" {
			s.log("GET %s: %s", open[0], st)
			open = open[1:]
		}
	}
	for _, id := range open {
		status, st := s.call(0, http.MethodGet, id, nil)
		s.log("not completed 50 s later: %s, GET: %d %s", id, status, st)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, values := range s.froms {
		if len(values) > 1 {
			s.log("the starts of one run of the gang carried different checkpoints: %s: %v", key, values)
		}
	}
	bad := 0
	for _, a := range s.alone {
		if s.calm(a.started, a.ended) {
			bad++
			s.log("GANG: %s run %d ended alone, with no disturbance near", a.task, a.run)
		}
	}
	s.log("ends: %v", s.ended)
	if bad > 0 {
		return broken
	}
	if len(open) > 0 {
		return couldNot
	}
	return held
}
