package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"
)

// Bounds of the users' site file, as far as a runner keeps them.
const (
	leaseLimit      = 10 * time.Second
	stopTakes       = 100 * time.Millisecond // the pages allow 400 ms
	restoreTakes    = 100 * time.Millisecond
	checkpointEvery = time.Second
	heartbeat       = 1500 * time.Millisecond
	fullRoom        = 32000 // thousandths of a core
)

// spec is what a task does. Clients send it as the job's specification, which the system passes on.
type spec struct {
	Work  int  `json:"work"` // milliseconds
	CPU   int  `json:"cpu"`
	Saves bool `json:"saves"`
}

// run is one run of a task on a runner.
type run struct {
	task      string
	number    int
	spec      spec
	from      string // checkpoint that the start carried
	begun     time.Time
	worksFrom time.Time
	stopping  bool
	done      *time.Timer
}

// progress returns the work done, with what the checkpoint of the start stands for.
func (r *run) progress(now time.Time) time.Duration {
	out := checkpointWork(r.from)
	if now.After(r.worksFrom) {
		out += now.Sub(r.worksFrom)
	}
	return min(out, time.Duration(r.spec.Work)*time.Millisecond)
}

// saved returns the newest checkpoint: one is made with each checkpointEvery of work, and at a stop.
func (r *run) saved(now time.Time, atStop bool) string {
	if !r.spec.Saves {
		return ""
	}
	p := r.progress(now)
	if !atStop {
		p = max(p.Truncate(checkpointEvery), checkpointWork(r.from))
	}
	if p == 0 {
		return ""
	}
	return checkpointOf(r.task, p)
}

func checkpointOf(task string, p time.Duration) string {
	return fmt.Sprintf("%08x%s", p.Milliseconds(), task[4:12])
}

func checkpointWork(value string) time.Duration {
	if len(value) < 8 {
		return 0
	}
	ms, err := strconv.ParseInt(value[:8], 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// runner is one life of a machine; none ends in these cases. All of its state is guarded by the world's lock.
type runner struct {
	world    *world
	m        *machine
	id       string
	boot     time.Time
	sequence int

	token    int64
	deadline time.Duration
	running  map[string]*run
	highest  map[string]int
	ends     [][]any
	seq      int64
	ended    chan struct{} // closed and replaced at each end
}

func (r *runner) clock() time.Duration { return time.Since(r.boot) + time.Second }

// serve answers the calls of owners as long as the stand-in runs.
func (r *runner) serve(l net.Listener) {
	go http.Serve(l, http.HandlerFunc(r.handle))
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			r.world.mu.Lock()
			if r.clock() > r.deadline {
				for task := range r.running {
					r.end(task, "lapsed")
				}
			}
			r.world.mu.Unlock()
		}
	}()
}

func (r *runner) handle(rw http.ResponseWriter, req *http.Request) {
	var fields map[string]json.RawMessage
	if json.NewDecoder(req.Body).Decode(&fields) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if req.Header.Get(names["instance"]) != r.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	number := func(name string) (n int64) {
		json.Unmarshal(fields[name], &n) // absent: 0
		return n
	}
	text := func(name string) (s string) {
		json.Unmarshal(fields[name], &s) // absent: empty
		return s
	}
	r.world.mu.Lock()
	token := number(names["token"])
	if token < r.token {
		r.answer(rw, "fence")
		return
	}
	r.token = token
	deadline := min(time.Duration(number(names["deadline"]))*time.Millisecond, r.clock()+leaseLimit)
	switch req.URL.Path {
	case names["start"]:
		r.answer(rw, r.start(text("task"), int(number("run")), text("specification"), text("checkpoint"), deadline))
	case names["stop"]:
		r.stop(text("task"), int(number("run")))
		r.answer(rw, "")
	case names["hold"]:
		r.hold(rw, req, deadline, number(names["acked"]), time.Duration(number(names["wait"]))*time.Millisecond)
	default:
		r.answer(rw, "")
	}
}

// answer answers an order, which was refused for the reason; empty: it was carried out. It releases the
// world's lock.
func (r *runner) answer(rw http.ResponseWriter, reason string) {
	body := map[string]any{names["clock"]: r.clock().Milliseconds()}
	r.world.mu.Unlock()
	status := http.StatusOK
	if reason != "" {
		status, body["reason"] = http.StatusConflict, reason
	}
	reply(rw, status, body)
}

func reply(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	json.NewEncoder(rw).Encode(body) // fails if the caller has gone
}

func (r *runner) start(task string, number int, specification, checkpoint string, deadline time.Duration) string {
	var s spec
	if json.Unmarshal([]byte(specification), &s) != nil {
		return "room"
	}
	live := r.running[task]
	switch {
	case number <= r.highest[task], live != nil && live.number > number:
		r.deadline = max(r.deadline, deadline)
		return "old"
	case deadline < r.clock():
		return "late"
	case live != nil:
		return ""
	case r.used()+s.CPU > fullRoom:
		r.deadline = max(r.deadline, deadline)
		return "room"
	}
	r.deadline = max(r.deadline, deadline)
	x := &run{task: task, number: number, spec: s, from: checkpoint, begun: time.Now()}
	r.running[task] = x
	r.world.note("start %s run %d on %s (%s) checkpoint %q", task, number, r.id, r.m.id, checkpoint)
	r.world.starts = append(r.world.starts, startNote{at: x.begun, task: task, run: number})
	r.work(x)
	return ""
}

func (r *runner) used() (n int) {
	for _, x := range r.running {
		n += x.spec.CPU
	}
	return n
}

// work has the run work on to its end.
func (r *runner) work(x *run) {
	x.worksFrom = time.Now()
	if x.from != "" {
		x.worksFrom = x.worksFrom.Add(restoreTakes)
	}
	left := time.Until(x.worksFrom) + time.Duration(x.spec.Work)*time.Millisecond - checkpointWork(x.from)
	x.done = time.AfterFunc(max(0, left), func() {
		r.world.mu.Lock()
		defer r.world.mu.Unlock()
		if r.running[x.task] == x {
			r.end(x.task, "done")
		}
	})
}

// end ends a run. The world's lock is held.
func (r *runner) end(task, how string) {
	x := r.running[task]
	if x == nil {
		return
	}
	now := time.Now()
	saved := x.saved(now, how == "stopped")
	x.done.Stop()
	delete(r.running, task)
	r.highest[task] = max(r.highest[task], x.number)
	r.seq++
	r.ends = append(r.ends, []any{r.seq, task, x.number, how, saved})
	close(r.ended)
	r.ended = make(chan struct{})
	r.world.noteEnd(task, x.number, how, r.id, saved)
}

func (r *runner) stop(task string, number int) {
	r.highest[task] = max(r.highest[task], number)
	x := r.running[task]
	if x == nil || x.number > number || x.stopping {
		return
	}
	x.stopping = true
	time.AfterFunc(stopTakes, func() {
		r.world.mu.Lock()
		defer r.world.mu.Unlock()
		if r.running[task] == x {
			r.end(task, "stopped")
		}
	})
}

func (r *runner) hold(rw http.ResponseWriter, req *http.Request, deadline time.Duration, acked int64, wait time.Duration) {
	r.deadline = max(r.deadline, deadline)
	for len(r.ends) > 0 && r.ends[0][0].(int64) <= acked {
		r.ends = r.ends[1:]
	}
	ended, pending := r.ended, len(r.ends) > 0
	r.world.mu.Unlock()
	if wait > 0 && !pending {
		select {
		case <-ended:
		case <-time.After(wait):
		case <-req.Context().Done():
		}
	}
	r.world.mu.Lock()
	now, running := time.Now(), [][]any{}
	for task, x := range r.running {
		percent := 100
		if x.spec.Work > 0 {
			percent = int(100 * x.progress(now) / (time.Duration(x.spec.Work) * time.Millisecond))
		}
		running = append(running, []any{task, x.number, x.saved(now, false), percent, x.spec.CPU})
	}
	body := map[string]any{names["clock"]: r.clock().Milliseconds(), "running": running, names["ends"]: slices.Clone(r.ends)}
	r.world.mu.Unlock()
	reply(rw, http.StatusOK, body)
}
