package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// advisor is the service that decides which runners may run a step. It handles one call at a time, in
// turn, and refuses calls while 32 wait. In the plays one entry VM at a time calls it.
type advisor struct {
	decision, perWorker, validity time.Duration
	turn                          sync.Mutex
	mu                            sync.Mutex
	waiting                       int
}

const adviceWaiting = 32

func (a *advisor) route() map[string]any {
	return map[string]any{"advisor": map[string]any{
		"decision-ms": a.decision.Milliseconds(), "per-worker-ms": a.perWorker.Milliseconds(), "validity-ms": a.validity.Milliseconds(),
	}}
}

// admit waits for the call's turn and returns false if the call is refused.
func (a *advisor) admit(w http.ResponseWriter) bool {
	a.mu.Lock()
	if a.waiting >= adviceWaiting {
		a.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return false
	}
	a.waiting++
	a.mu.Unlock()
	a.turn.Lock()
	a.mu.Lock()
	a.waiting--
	a.mu.Unlock()
	return true
}

// serveAdvisor answers which of the workers may run a step.
func (s *stage) serveAdvisor(w http.ResponseWriter, q *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(q.Body).Decode(&in); err != nil || q.URL.Path != wire("call.advise") || len(in.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !s.advisor.admit(w) {
		return
	}
	time.Sleep(s.advisor.decision + time.Duration(len(in.Workers))*s.advisor.perWorker)
	s.advisor.turn.Unlock()
	approved := [][]string{}
	s.mu.Lock()
	if s.asked[in.Step] == nil {
		s.asked[in.Step] = make(map[string]bool)
	}
	for _, id := range in.Workers {
		s.asked[in.Step][id] = true
		if s.policy(in.Step, id) {
			approved = append(approved, []string{id, ticket(in.Step, id, time.Now().Add(s.advisor.validity))})
		}
	}
	s.log("advise: step %s, %d workers named, %d approved, %d different ones named so far", in.Step, len(in.Workers), len(approved), len(s.asked[in.Step]))
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"approved": approved, "validity-ms": s.advisor.validity.Milliseconds()})
}

func ticket(step, id string, until time.Time) string {
	return step + "/" + id + "/" + strconv.FormatInt(until.UnixMilli(), 10)
}

// validTicket reports whether the ticket is for the task's step on the worker and has not expired.
func validTicket(given, task, id string) bool {
	until, ok := strings.CutPrefix(given, task[:strings.LastIndex(task, ".")]+"/"+id+"/")
	ms, err := strconv.ParseInt(until, 10, 64)
	return ok && err == nil && time.Now().UnixMilli() <= ms
}
