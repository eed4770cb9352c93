package main

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// run is one run of a task on a worker.
type run struct {
	Task    string
	Number  int
	Worker  *worker
	Started time.Time
	Ended   time.Time // zero while it runs
	How     string
	cpu     int64
	memory  int64
	timer   *time.Timer
}

// worker is one incarnation of a worker.
type worker struct {
	p       *platform
	m       *machine
	id      string
	born    int64
	boot    time.Time
	clock0  time.Duration // what its clock showed at its start
	mu      sync.Mutex
	dead    bool
	token   int64
	lease   time.Duration // end of the lease, on its clock
	running map[string]*run
	highest map[string]int // highest run stopped or ended, by task
	ends    []endRow
	seq     int64
	wake    chan struct{} // closed and replaced when a run ends
}

type endRow struct {
	seq  int64
	task string
	run  int
	how  string
}

func (w *worker) clock() time.Duration { return w.clock0 + time.Since(w.boot) }

// order is the body of a call to a worker.
type order struct {
	task     string
	run      int
	spec     string
	deadline time.Duration
	token    int64
	acked    int64
	wait     time.Duration
}

func decodeOrder(raw []byte) (order, error) {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(raw, &m); err != nil {
		return order{}, err
	}
	var o order
	var deadline, wait int64
	for name, into := range map[string]any{
		"task": &o.task, "run": &o.run, "specification": &o.spec, "deadline-ms": &deadline,
		"fencing-token": &o.token, wire("acked"): &o.acked, "wait-ms": &wait,
	} {
		if v, found := m[name]; found {
			if err := json.Unmarshal(v, into); err != nil {
				return order{}, err
			}
		}
	}
	o.deadline, o.wait = time.Duration(deadline)*time.Millisecond, time.Duration(wait)*time.Millisecond
	return o, nil
}

// extend extends the lease to the deadline, shortened to the longest lease. It never shortens.
func (w *worker) extend(deadline time.Duration) {
	w.lease = max(w.lease, min(deadline, w.clock()+w.p.maxHold))
}

// fenced reports whether a higher token was seen, and keeps the token otherwise.
func (w *worker) fenced(o *order) bool {
	if o.token < w.token {
		return true
	}
	w.token = o.token
	return false
}

// start carries out an order to start a run; the reason is empty if it runs.
func (w *worker) start(o *order) (reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(o) {
		return "fence"
	}
	live := w.running[o.task]
	var used, usedMemory int64
	for _, r := range w.running {
		used, usedMemory = used+r.cpu, usedMemory+r.memory
	}
	s := w.p.specOf(o.spec)
	switch {
	case live != nil && live.Number == o.run:
		return ""
	case live != nil || o.run <= w.highest[o.task]:
		w.extend(o.deadline)
		return "old"
	case o.deadline < w.clock():
		return "late"
	case used+s.cpu > w.m.cpu || usedMemory+s.memory > w.m.memory:
		w.extend(o.deadline)
		return "room"
	}
	w.extend(o.deadline)
	r := &run{Task: o.task, Number: o.run, Worker: w, Started: time.Now(), cpu: s.cpu, memory: s.memory}
	if s.takes > 0 {
		how := "done"
		if s.fails {
			how = "failed"
		}
		r.timer = time.AfterFunc(s.takes, func() { w.end(o.task, o.run, how) })
	}
	w.running[o.task] = r
	w.p.addRun(r)
	return ""
}

// end ends the run, if it is running, and lists its end.
func (w *worker) end(task string, number int, how string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.running[task]
	if w.dead || r == nil || r.Number != number {
		return false
	}
	w.endLocked(r, how)
	return true
}

func (w *worker) endLocked(r *run, how string) {
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.running, r.Task)
	w.highest[r.Task] = max(w.highest[r.Task], r.Number)
	w.seq++
	w.ends = append(w.ends, endRow{w.seq, r.Task, r.Number, how})
	w.p.endRun(r, how)
	close(w.wake)
	w.wake = make(chan struct{})
}

// kill ends the incarnation as a crash does: nothing is listed.
func (w *worker) kill(how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dead = true
	for _, r := range w.running {
		if r.timer != nil {
			r.timer.Stop()
		}
		w.p.endRun(r, how)
	}
	clear(w.running)
	close(w.wake)
	w.wake = make(chan struct{})
}

// expire kills all runs when the lease has ended, until the incarnation ends.
func (w *worker) expire() {
	for range time.Tick(10 * time.Millisecond) {
		w.mu.Lock()
		if w.dead {
			w.mu.Unlock()
			return
		}
		if w.clock() > w.lease {
			for _, r := range w.running {
				w.endLocked(r, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// stop stops a run and keeps it from starting later.
func (w *worker) stop(o *order) (reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(o) {
		return "fence"
	}
	if r := w.running[o.task]; r != nil && r.Number <= o.run {
		w.endLocked(r, "stopped")
	}
	w.highest[o.task] = max(w.highest[o.task], o.run)
	return ""
}

// hold extends the lease, forgets acknowledged ends, and lists.
func (w *worker) hold(o *order, done <-chan struct{}) (reason string) {
	w.mu.Lock()
	if w.fenced(o) {
		w.mu.Unlock()
		return "fence"
	}
	if o.deadline > 0 {
		w.extend(o.deadline)
	}
	for len(w.ends) > 0 && w.ends[0].seq <= o.acked {
		w.p.rec.add("%s end %d of %s run %d is acknowledged", w.name(), w.ends[0].seq, w.ends[0].task, w.ends[0].run)
		w.ends = w.ends[1:]
	}
	wake, pending := w.wake, len(w.ends) > 0
	w.mu.Unlock()
	if o.wait > 0 && !pending {
		select {
		case <-wake:
		case <-time.After(o.wait):
		case <-done:
		}
	}
	return ""
}

// listing is the body of an answer to hold.
func (w *worker) listing() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	running, ends := [][]any{}, [][]any{}
	for _, r := range w.running {
		percent := 100
		if s := w.p.specOfTask(r.Task); s.takes > 0 {
			percent = min(99, int(100*time.Since(r.Started)/s.takes))
		}
		running = append(running, []any{r.Task, r.Number, "", percent, 0})
	}
	for _, e := range w.ends {
		ends = append(ends, []any{e.seq, e.task, e.run, e.how, ""})
	}
	body := w.body()
	body["running"], body[wire("ended")] = running, ends
	return body
}

func (w *worker) body() map[string]any {
	b := map[string]any{"clock-ms": w.clock().Milliseconds()}
	if w.p.tellsBorn {
		b["born"] = w.born
	}
	return b
}

func (w *worker) name() string {
	if w.p.tellsBorn {
		return w.id + " (born " + time.UnixMilli(w.born).UTC().Format("15:04:05.000") + ")"
	}
	return w.id
}

// serve answers one call that was meant for the incarnation with that ID.
func (w *worker) serve(rw http.ResponseWriter, path, id string, raw []byte, done <-chan struct{}) {
	if id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	o, err := decodeOrder(raw)
	if err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	reason := ""
	switch path {
	case wire("start"):
		reason = w.start(&o)
		w.p.rec.add("%s is told to start %s run %d: %s", w.name(), o.task, o.run, answerText(reason))
	case wire("stop"):
		reason = w.stop(&o)
		w.p.rec.add("%s is told to stop %s run %d: %s", w.name(), o.task, o.run, answerText(reason))
	case wire("hold"):
		reason = w.hold(&o, done)
	case wire("pace"):
	default:
		rw.WriteHeader(http.StatusNotFound)
		return
	}
	w.mu.Lock()
	dead := w.dead
	w.mu.Unlock()
	if dead {
		panic(http.ErrAbortHandler)
	}
	switch {
	case reason != "":
		b := w.body()
		b["reason"] = reason
		reply(rw, http.StatusConflict, b)
	case path == wire("hold"):
		reply(rw, http.StatusOK, w.listing())
	default:
		reply(rw, http.StatusOK, w.body())
	}
}

func answerText(reason string) string {
	if reason == "" {
		return "200"
	}
	return "409 " + reason
}

func reply(rw http.ResponseWriter, status int, body any) {
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body) // the caller may have closed the connection
}
