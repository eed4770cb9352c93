package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	type c = struct {
		settings settingsOf
		play     func(s *stage, trouble bool) int
	}
	cases["mixed"] = c{settingsOf{runners: 10, cpu: 32000}, playMixed}
	cases["mixed-unguarded"] = c{settingsOf{runners: 10, cpu: 32000, unguarded: true}, playMixed}
	cases["mixed-large"] = c{settingsOf{runners: 64, cpu: 10000}, playMixed}
	cases["mixed-advised"] = c{settingsOf{runners: 10, cpu: 32000, advisor: &advisor{decision: 2 * time.Millisecond, perWorker: time.Millisecond, dropsAbandoned: true}}, playMixed}
}

// draw draws a job and hands it in.
func (s *stage) draw(rng *rand.Rand, id string) {
	var what spec
	info := &jobInfo{advised: s.advised, attempts: 4}
	body := map[string]any{}
	step := func(count int, cpu int64, more map[string]any) map[string]any {
		out := map[string]any{"count": count, "cpu": cpu, wire("field.memory"): 512, "estimated-ms": what.WorkMS}
		for k, v := range more {
			out[k] = v
		}
		return out
	}
	what.WorkMS = 200 + rng.IntN(2000)
	switch rng.IntN(8) {
	case 0: // steps
		info.steps = []stepInfo{{cpu: 2000, count: 4}, {cpu: 3000, count: 3, after: []int{0}}, {cpu: 1000, count: 1, after: []int{1}}}
		body["steps"] = []any{step(4, 2000, nil), step(3, 3000, map[string]any{"after": []int{0}}), step(1, 1000, map[string]any{"after": []int{1}})}
	case 1: // a gang
		what.Gang = 4
		info.steps = []stepInfo{{cpu: 9000, count: 4}}
		body["steps"] = []any{step(4, 9000, map[string]any{wire("field.gang"): true})}
	case 2: // a schedule
		info.first, info.every = time.Now().Add(time.Duration(rng.IntN(3000))*time.Millisecond).Truncate(time.Millisecond), time.Duration(500+rng.IntN(2500))*time.Millisecond
		info.steps = []stepInfo{{cpu: 1500, count: 2}, {cpu: 1500, count: 1, after: []int{0}}}
		body["steps"] = []any{step(2, 1500, nil), step(1, 1500, map[string]any{"after": []int{0}})}
		body["repetitions"], body[wire("field.firstrun")], body["interval-ms"] = 5, info.first.UnixMilli(), info.every.Milliseconds()
	case 3: // a label, apart
		info.steps = []stepInfo{{cpu: 4000, count: 3, label: "b", anti: 1}}
		body["steps"] = []any{step(3, 4000, map[string]any{"requirements": "b", "anti-affinity": 1})}
	case 4: // tasks that fail at first
		what.Fails = 1 + rng.IntN(3)
		info.steps = []stepInfo{{cpu: 1000, count: 5}}
		body["steps"] = []any{step(5, 1000, nil)}
	case 5: // checkpoints, long
		what.Saves, what.WorkMS = true, 3000+rng.IntN(3000)
		info.steps = []stepInfo{{cpu: 6000, count: 4, anti: 2}}
		body["steps"] = []any{step(4, 6000, map[string]any{wire("field.saves"): true, "anti-affinity": 2})}
	case 7: // lasting
		what.Lasts, what.WorkMS = true, 300
		info.steps = []stepInfo{{cpu: 2000, count: 3, anti: 1, lasts: true}}
		body["steps"] = []any{step(3, 2000, map[string]any{wire("field.lasts"): true, "anti-affinity": 1, "max-unavailable": 1})}
	case 6: // large
		info.steps = []stepInfo{{cpu: 7000, count: 10}}
		body["steps"] = []any{step(10, 7000, nil)}
	}
	raw, err := json.Marshal(what)
	if err != nil {
		panic(err)
	}
	body["specification"] = string(raw)
	s.mu.Lock()
	s.jobs[id] = info
	s.mu.Unlock()
	for i := range 60 {
		at := rng.IntN(entries)
		status, _ := s.call(at, http.MethodPost, id, body)
		if i == 0 || status == http.StatusOK {
			s.log("POST %s at entry-%d: %d", id, at, status)
		}
		if status == http.StatusOK {
			if rng.IntN(8) == 0 {
				time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
				s.cancel(rng, id)
			}
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	s.log("job %s was not accepted", id)
	s.mu.Lock()
	info.attempts = -1
	s.mu.Unlock()
}

func (s *stage) cancel(rng *rand.Rand, id string) {
	for range 60 {
		at := rng.IntN(entries)
		if status, _ := s.call(at, http.MethodDelete, id, nil); status == http.StatusOK || status == http.StatusGone {
			s.log("DELETE %s at entry-%d: %d", id, at, status)
			s.mu.Lock()
			s.jobs[id].cancelled = time.Now()
			s.mu.Unlock()
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}

// signal sends a signal to an entry VM's process.
func (s *stage) signal(i int, sig syscall.Signal) {
	raw, err := os.ReadFile(s.pids[i])
	if err != nil {
		return
	}
	if pid, err := strconv.Atoi(strings.TrimSpace(string(raw))); err == nil {
		s.log("DISRUPTION entry-%d gets %v", i, sig)
		_ = syscall.Kill(pid, sig)
	}
}

func (s *stage) disturb(d time.Duration) {
	s.mu.Lock()
	s.disturbed = append(s.disturbed, span{time.Now(), time.Now().Add(d)})
	s.mu.Unlock()
}

// disrupt plays one drawn disruption.
func (s *stage) disrupt(rng *rand.Rand) {
	d := time.Duration(300+rng.IntN(4200)) * time.Millisecond
	i, m := rng.IntN(entries), s.machines[rng.IntN(len(s.machines))]
	kind := rng.IntN(10)
	s.disturb(d)
	set := func(f func(r *runner, on bool)) {
		s.mu.Lock()
		r := m.runner
		s.mu.Unlock()
		if r == nil {
			return
		}
		s.mu.Lock()
		f(r, true)
		s.mu.Unlock()
		time.Sleep(d)
		s.mu.Lock()
		f(r, false)
		s.mu.Unlock()
	}
	switch kind {
	case 0, 1:
		s.signal(i, syscall.SIGKILL)
	case 2, 3:
		s.signal(i, syscall.SIGSTOP)
		time.Sleep(d)
		s.signal(i, syscall.SIGCONT)
	case 4:
		s.signal(i, syscall.SIGTERM)
	case 5:
		s.mu.Lock()
		up := m.runner != nil
		s.mu.Unlock()
		if up {
			s.crash(m, d)
		}
	case 6:
		s.log("DISRUPTION runner at %s is cut off for %s", m.name, d)
		set(func(r *runner, on bool) { r.silent = on })
	case 7:
		s.log("DISRUPTION starts at %s are carried out late for %s", m.name, d)
		set(func(r *runner, on bool) { r.late = on })
	case 8:
		s.log("DISRUPTION the store is down for %s", d)
		if rng.IntN(2) == 0 {
			s.store.SetUnresponsive(true)
		} else {
			s.store.SetRejecting(true)
		}
		time.Sleep(d)
		s.store.SetUnresponsive(false)
		s.store.SetRejecting(false)
	case 9:
		n, late := 1+rng.IntN(8), time.Duration(rng.IntN(6000))*time.Millisecond
		s.log("DISRUPTION the store loses %d answers, done %s late", n, late)
		s.store.LoseReplies(n, late)
	}
}

// playMixed draws jobs of the kinds that come on no day, and disruptions.
func playMixed(s *stage, trouble bool) int {
	s.mu.Lock()
	for i, m := range s.machines {
		if i%3 == 0 {
			m.kind = "b"
		}
	}
	s.policy = func(step, worker string) bool { return !approve(step, worker, 6) }
	s.mu.Unlock()
	time.Sleep(4 * time.Second) // until the runners have registered their kinds
	stop := make(chan struct{})
	var load sync.WaitGroup
	var mu sync.Mutex
	var ids []string
	for c := range 4 {
		load.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(c)))
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rng.IntN(900)) * time.Millisecond):
				}
				id := fmt.Sprintf("%08x%08x", 0xa0000000+c, n+1)
				mu.Lock()
				ids = append(ids, id)
				mu.Unlock()
				s.draw(rng, id)
			}
		})
	}
	rng := rand.New(rand.NewPCG(seed, 99))
	var faults sync.WaitGroup
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Duration(200+rng.IntN(2500)) * time.Millisecond) {
		if trouble {
			r := rand.New(rand.NewPCG(seed, rng.Uint64()))
			faults.Go(func() { s.disrupt(r) })
		}
	}
	faults.Wait()
	close(stop)
	load.Wait()
	s.log("end of the traffic and the disruptions")
	open := map[string]string{}
	for end := time.Now().Add(35 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		open = map[string]string{}
		for _, id := range ids {
			s.mu.Lock()
			accepted := s.jobs[id].attempts > 0
			s.mu.Unlock()
			st := s.state(id)
			if st == "running" && s.atWork(id) {
				continue
			}
			if accepted && st != "completed" && st != "failed" && st != "cancelled" {
				open[id] = st
			}
		}
		if len(open) == 0 {
			break
		}
	}
	time.Sleep(2 * time.Second)
	s.mu.Lock()
	s.resolve()
	s.mu.Unlock()
	for id, st := range open {
		s.mu.Lock()
		if s.jobs[id].cancelled.IsZero() {
			s.fault("LOST: %s is %q long after the end of the traffic", id, st)
		}
		s.mu.Unlock()
	}
	for _, id := range ids {
		st := s.state(id)
		s.mu.Lock()
		j := s.jobs[id]
		if st == "failed" {
			most := 0
			for task := range s.notes {
				if strings.HasPrefix(task, id) {
					most = max(most, len(s.endsOf(task, "failed")))
				}
			}
			if most < j.attempts && j.attempts > 0 {
				s.fault("LOST: %s is shown as failed, %d failed ends at most", id, most)
			}
		}
		if st == "completed" {
			for k := range 5 {
				if k > 0 && j.first.IsZero() {
					break
				}
				for n, step := range j.steps {
					for i := range step.count {
						if t := fmt.Sprintf("%s.%d.%d.%d", id, k, n, i); len(s.endsOf(t, "done")) == 0 {
							s.fault("MIXED: %s is completed, %s is not done", id, t)
						}
					}
				}
			}
		}
		if st == "cancelled" && j.cancelled.IsZero() {
			s.fault("LOST: %s is shown as cancelled", id)
		}
		s.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.alone {
		if s.calm(a.started, a.ended) && s.jobs[a.task[:16]].cancelled.IsZero() {
			s.fault("GANG: %s run %d ended alone, with no disturbance near", a.task, a.run)
		}
	}
	s.log("%d jobs, ends: %v, broken: %d", len(ids), s.ended, len(s.faults))
	if len(s.faults) > 0 {
		return broken
	}
	return held
}

// atWork reports whether the job's tasks last and all of them run.
func (s *stage) atWork(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	step := s.jobs[id].steps[0]
	if !step.lasts {
		return false
	}
	n := 0
	for _, m := range s.machines {
		if m.runner == nil {
			continue
		}
		for task := range m.runner.running {
			if strings.HasPrefix(task, id) {
				n++
			}
		}
	}
	return n == step.count
}
