package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Figures of playCancelled.
const (
	scheduledJobs = 3300 // at most; fewer if the owner stops answering
	scheduledAt   = time.Hour
	probes        = 5
	finishTime    = 14 * time.Second // finish_s of the site file
	idleTime      = 3 * time.Second  // for which a job may have nothing running
)

// playCancelled cancels running jobs that save checkpoints, while jobs that are scheduled for later fill the
// owner's memory for jobs. Then it hands small jobs in, and tells whether they run.
func playCancelled(s *scene) (int, string) {
	if err := s.machines(); err != nil || !s.ready() {
		return notRun, "the deployment did not come up"
	}
	var running []string
	for i := range 4 {
		id := jobID(0x1000, i)
		if !s.submit(id, job(spec{Work: 8000, CPU: 1000, Saves: true}, map[string]any{"count": 2, "estimated-ms": 8000})) {
			return notRun, "a job was not accepted"
		}
		running = append(running, id)
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		for _, id := range running {
			if !s.cancel(id) {
				return notRun, "a job was not cancelled"
			}
		}
	}
	time.Sleep(1 * time.Second)
	if os.Getenv("PLAIN") != "" { // by hand, with LIMIT=300: the owner forgets ended jobs after three minutes by itself
		time.Sleep(190 * time.Second)
	} else {
		s.world.say("%d scheduled jobs accepted", s.schedule())
		time.Sleep(2 * time.Second)
	}
	var accepted []string
	for i := range probes {
		id := jobID(0x1002, i)
		if s.submit(id, job(spec{Work: 500, CPU: 1000}, map[string]any{"count": 1, "estimated-ms": 500})) {
			accepted = append(accepted, id)
		}
	}
	if len(accepted) == 0 {
		return notRun, "no job was accepted at the end"
	}
	handedIn := time.Now()
	time.Sleep(finishTime + idleTime)
	waited, idle, begun := time.Since(handedIn), s.idleFor(idleTime), 0
	for _, id := range accepted {
		if s.begunBy(id) {
			begun++
		}
		s.state(id)
	}
	verdict := fmt.Sprintf("%d of %d jobs that were accepted last have begun %.0f s later; 8 machines have %d runs", begun, len(accepted), waited.Seconds(), s.runsNow())
	if begun < len(accepted) && idle {
		return broken, "LOST broken: " + verdict
	}
	return held, "held: " + verdict
}

// schedule hands in jobs that are due later, several at a time, and returns how many were accepted.
func (s *scene) schedule() int {
	var accepted, next atomic.Int64
	var senders sync.WaitGroup
	end := time.Now().Add(45 * time.Second)
	for range 16 {
		senders.Go(func() {
			for time.Now().Before(end) && accepted.Load() < scheduledJobs {
				i := int(next.Add(1))
				j := job(spec{Work: 500, CPU: 1000}, map[string]any{"count": 32, "estimated-ms": 500})
				j["repetitions"], j[names["first"]], j["interval-ms"] = 1, time.Now().Add(scheduledAt).UnixMilli(), 1000
				switch status, _ := s.call("POST", "/weights/"+jobID(0x1001, i), j); status {
				case 200:
					accepted.Add(1)
				case 0: // no answer: what the owner holds is as much as it takes, or it does not answer any more
					s.world.say("POST %s (scheduled): no answer", jobID(0x1001, i))
					return
				default:
					s.world.say("POST %s (scheduled): %d", jobID(0x1001, i), status)
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	senders.Wait()
	return int(accepted.Load())
}

// begunBy reports whether a task of the job has ever begun.
func (s *scene) begunBy(id string) bool {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	return slices.ContainsFunc(s.world.starts, func(n startNote) bool { return strings.HasPrefix(n.task, id) })
}

// runsNow returns the number of runs on all machines.
func (s *scene) runsNow() (n int) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	for _, m := range s.world.machines {
		if m.runner != nil {
			n += len(m.runner.running)
		}
	}
	return n
}

// Figures of playLong.
const (
	longJobs     = 4
	longTasks    = 6     // of each
	longEstimate = 30000 // milliseconds, of one task
	longFactor   = 8     // how many times as long the tasks take
)

// playLong runs jobs whose tasks take several times as long as their callers estimated.
func playLong(s *scene) (int, string) {
	if err := s.machines(); err != nil || !s.ready() {
		return notRun, "the deployment did not come up"
	}
	taken := longEstimate
	if trouble {
		taken *= longFactor
	}
	var ids []string
	for i := range longJobs {
		id := jobID(0x4000, i)
		if !s.submit(id, job(spec{Work: taken, CPU: 1000}, map[string]any{"count": longTasks, "estimated-ms": longEstimate})) {
			return notRun, "a job was not accepted"
		}
		ids = append(ids, id)
	}
	handedIn := time.Now()
	time.Sleep(finishTime + 50*time.Second)
	gap, of, completed := time.Duration(0), "none", 0
	for _, id := range ids {
		if s.state(id) == "completed" {
			completed++
			continue
		}
		if g := s.idleGap(id, handedIn.Add(finishTime)); g > gap {
			gap, of = g, id
		}
	}
	runs := 0
	s.world.mu.Lock()
	for _, n := range s.world.starts {
		if strings.HasPrefix(n.task, "4000") {
			runs++
		}
	}
	s.world.mu.Unlock()
	verdict := fmt.Sprintf("%d of %d jobs are completed 64 s later; their %d tasks were started %d times; the longest time in which an open job had nothing running is %.1f s (%s)",
		completed, longJobs, longJobs*longTasks, runs, gap.Seconds(), of)
	if gap > idleTime {
		return broken, "LOST broken: " + verdict
	}
	return held, "held: " + verdict
}

// idleGap returns the longest time since from in which the job had no run.
func (s *scene) idleGap(id string, from time.Time) (longest time.Duration) {
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	type change struct {
		at time.Time
		by int
	}
	var changes []change
	for _, n := range s.world.starts {
		if strings.HasPrefix(n.task, id) {
			changes = append(changes, change{n.at, 1})
		}
	}
	for _, e := range s.world.ends {
		if strings.HasPrefix(e.task, id) {
			changes = append(changes, change{e.at, -1})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return a.at.Compare(b.at) })
	running, since := 0, time.Time{}
	for _, c := range append(changes, change{time.Now(), 1}) {
		if running == 0 && !since.IsZero() {
			if since.Before(from) {
				since = from
			}
			longest = max(longest, c.at.Sub(since))
		}
		running += c.by
		if running == 0 {
			since = c.at
		}
	}
	return longest
}

// How playFull freezes the owner: shorter than the lease of its duty, so that it stays the owner.
const (
	freezeFor = 900 * time.Millisecond
	sendFor   = 700 * time.Millisecond
)

// playFull has scheduled jobs fill what an owner holds of jobs, freezes the owner for less than a second, and
// hands larger jobs in at the other entry VM meanwhile. Each of those that are accepted has to run.
func playFull(s *scene) (int, string) {
	if err := s.machines(); err != nil || !s.ready() {
		return notRun, "the deployment did not come up"
	}
	s.world.say("%d scheduled jobs accepted", s.schedule())
	time.Sleep(1 * time.Second)
	owner := s.owner()
	if owner < 0 {
		return notRun, "the owner was not found"
	}
	if trouble {
		s.world.say("freeze of entry VM %d: %v", owner, s.signal(owner, syscall.SIGSTOP))
		time.AfterFunc(freezeFor, func() { s.world.say("wake of entry VM %d: %v", owner, s.signal(owner, syscall.SIGCONT)) })
	}
	accepted := s.sendLarge(1 - owner)
	time.Sleep(2 * time.Second)
	for i := range probes {
		id := jobID(0x5002, i)
		if !s.submit(id, job(spec{Work: 500, CPU: 1000}, map[string]any{"count": 1, "estimated-ms": 500})) {
			return notRun, "a small job was not accepted"
		}
		accepted = append(accepted, id)
	}
	time.Sleep(finishTime + 20*time.Second)
	left, idle := 0, s.idleFor(idleTime)
	for _, id := range accepted {
		if !s.begunBy(id) {
			left++
			s.state(id)
		}
	}
	verdict := fmt.Sprintf("%d of %d jobs that were accepted since the freeze, %d of them small, have not begun 34 s later; 8 machines have %d runs", left, len(accepted), probes, s.runsNow())
	if left > 0 && idle {
		return broken, "LOST broken: " + verdict
	}
	return held, "held: " + verdict
}

// sendLarge hands jobs of many tasks in at the entry VM and returns those that were accepted.
func (s *scene) sendLarge(at int) (accepted []string) {
	var next atomic.Int64
	var mu sync.Mutex
	var senders sync.WaitGroup
	end := time.Now().Add(sendFor)
	for range 4 {
		senders.Go(func() {
			for time.Now().Before(end) {
				id := jobID(0x5001, int(next.Add(1)))
				status, _ := s.callAt(at, "POST", "/weights/"+id, job(spec{Work: 20, CPU: 50}, map[string]any{"count": 200, "estimated-ms": 20}))
				s.world.say("POST %s (200 tasks): %d", id, status)
				if status == 200 {
					mu.Lock()
					accepted = append(accepted, id)
					mu.Unlock()
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	senders.Wait()
	return accepted
}

// Figures of playMemory.
const (
	memoryMB   = 284 // of an entry VM, see settings.txt
	burstJobs  = 600
	burstTasks = 2000 // of each
	observeFor = 45 * time.Second
)

// playMemory kills the owner of the service while large jobs come at once, and stops processes that pass the
// memory of their machine, as the platform does.
func playMemory(s *scene) (int, string) {
	if err := s.machines(); err != nil || !s.ready() {
		return notRun, "the deployment did not come up"
	}
	owner := s.owner()
	if owner < 0 {
		return notRun, "the owner was not found"
	}
	stop := make(chan struct{})
	var passed [2]atomic.Int64
	for i := range passed {
		go s.watchMemory(i, &passed[i], stop)
	}
	if trouble {
		s.world.say("kill of entry VM %d: %v", owner, s.signal(owner, syscall.SIGKILL))
	}
	var next atomic.Int64
	var mu sync.Mutex
	var accepted []string
	var senders sync.WaitGroup
	for range 16 {
		senders.Go(func() {
			for {
				i := int(next.Add(1))
				if i > burstJobs {
					return
				}
				status, _ := s.callAt(1-owner, "POST", "/weights/"+jobID(0x7001, i), job(spec{Work: 500, CPU: 1000}, map[string]any{"count": burstTasks, "estimated-ms": 500}))
				s.world.say("POST %s (%d tasks): %d", jobID(0x7001, i), burstTasks, status)
				if status == 200 {
					mu.Lock()
					accepted = append(accepted, jobID(0x7001, i))
					mu.Unlock()
				}
			}
		})
	}
	senders.Wait()
	s.world.say("%d of %d large jobs accepted", len(accepted), burstJobs)
	time.Sleep(observeFor)
	close(stop)
	begun := 0
	for _, id := range accepted {
		if s.begunBy(id) {
			begun++
		}
	}
	verdict := fmt.Sprintf("%d of %d accepted jobs of %d tasks have begun %.0f s later; 8 machines have %d runs; processes passed %d MB and were ended %d and %d times",
		begun, len(accepted), burstTasks, observeFor.Seconds(), s.runsNow(), memoryMB, passed[0].Load(), passed[1].Load())
	if begun < len(accepted) && s.idleFor(idleTime) {
		return broken, "LOST broken: " + verdict
	}
	return held, "held: " + verdict
}

// idleFor reports whether no machine has had a run for so long.
func (s *scene) idleFor(d time.Duration) bool {
	if s.runsNow() > 0 {
		return false
	}
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	n := len(s.world.ends)
	return n == 0 || time.Since(s.world.ends[n-1].at) > d
}

// watchMemory ends the entry VM's process whenever its resident memory passes memoryMB, and counts that.
func (s *scene) watchMemory(i int, passed *atomic.Int64, stop chan struct{}) {
	last := ""
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		raw, err := os.ReadFile(filepath.Join(s.dir, fmt.Sprintf("pid-%d", i)))
		pid := strings.TrimSpace(string(raw))
		if err != nil || pid == last {
			continue
		}
		status, err := os.ReadFile("/proc/" + pid + "/status")
		if err != nil {
			continue
		}
		_, rest, _ := strings.Cut(string(status), "VmRSS:")
		kb, err := strconv.Atoi(strings.Fields(rest + " 0 0")[0])
		if err != nil || kb <= memoryMB<<10 {
			continue
		}
		s.world.say("entry VM %d holds %d MB and is ended: %v", i, kb>>10, s.signal(i, syscall.SIGKILL))
		passed.Add(1)
		last = pid
	}
}
