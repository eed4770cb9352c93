package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Bounds as on the small installations' sheets.
const (
	maxLease       = 10 * time.Second
	gangWait       = 3 * time.Second
	saveEvery      = time.Second
	restoreTime    = 100 * time.Millisecond
	heartbeat      = 1500 * time.Millisecond
	registryLinger = 3 * heartbeat
	tickInterval   = 5 * time.Millisecond
)

// spec is what the stand-in's tasks do. Callers send it as the job's specification, which the
// system passes on unread.
type spec struct {
	WorkMS int  `json:"work"`
	Gang   int  `json:"gang,omitempty"`  // members of a gang; 0: none
	Saves  bool `json:"saves,omitempty"` // the tasks produce checkpoints
}

// machine is a VM with a fixed address. Its runner is one life of it.
type machine struct {
	name, address, pool, zone, rack, kind string
	cpu                                   int64
	runner                                *runner // nil while it is down
	server                                *http.Server
	lives                                 int
}

// runner is one life of a machine.
type runner struct {
	m       *machine
	id      string
	boot    time.Time
	token   int64
	until   time.Duration // end of the lease on the runner's clock
	running map[string]*run
	highest map[string]int
	ends    []endRow
	seq     int64
	wake    chan struct{}
}

type endRow struct {
	seq   int64
	task  string
	run   int
	how   string
	saved string
	cpu   int64 // held until the end is listed
}

// run is one run of a task.
type run struct {
	task    string
	number  int
	on      *runner
	spec    spec
	cpu     int64
	started time.Time
	from    string        // checkpoint of the start
	begun   time.Duration // work at the start, by the checkpoint
	workAt  time.Time     // since when it works; zero: it doesn't yet
	saved   string
	gang    *gang
}

// gang is one run of a step whose tasks work only together.
type gang struct {
	size    int
	members map[string]*run
	works   bool
	broken  bool
}

func (r *runner) clock() time.Duration { return time.Since(r.boot) + time.Second }

func (r *runner) signal() {
	close(r.wake)
	r.wake = make(chan struct{})
}

// boot starts a life of the machine's runner; s.mu is held.
func (s *stage) boot(m *machine) error {
	l, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.address = l.Addr().String()
	m.lives++
	r := &runner{
		m: m, id: fmt.Sprintf("%s-%d", m.name, m.lives), boot: time.Now(),
		running: make(map[string]*run), highest: make(map[string]int), wake: make(chan struct{}),
	}
	m.runner = r
	m.server = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) { s.serveRunner(r, w, q) })}
	go m.server.Serve(l)
	s.log("runner %s up at its machine %s", r.id, m.name)
	go s.register(r)
	return nil
}

// register writes the runner's entry every heartbeat while it lives, and removes it after three
// heartbeats of silence.
func (s *stage) register(r *runner) {
	for n := 1; ; n++ {
		s.mu.Lock()
		alive := r.m.runner == r
		clock := r.clock()
		s.mu.Unlock()
		key := wire("key.worker") + r.id
		if !alive {
			time.Sleep(registryLinger)
			s.deleteKey(key)
			return
		}
		s.putKey(key, map[string]any{
			"service": r.m.pool, "address": r.m.address, "zone": r.m.zone, "version": "1", "slots": 8, "state": "ready",
			"cold-remaining-ms": 0, "sequence": n, "clock-ms": clock.Milliseconds(),
			"capacity": map[string]any{"cpu": r.m.cpu, wire("field.memory"): 65536, "gpu": 0}, "labels": r.m.labels(),
		})
		time.Sleep(heartbeat)
	}
}

// crash ends the machine's runner and all that it runs, and starts another life after the time.
func (s *stage) crash(m *machine, down time.Duration) {
	s.mu.Lock()
	r := m.runner
	m.runner = nil
	s.log("DISRUPTION runner %s crashes, down for %s", r.id, down)
	s.disturbed = append(s.disturbed, span{time.Now(), time.Now().Add(down)})
	for _, u := range r.running {
		s.log("run lost: %s run %d on %s, newest checkpoint there %q", u.task, u.number, r.id, u.saved)
		s.leaveGang(u)
	}
	r.running = map[string]*run{}
	r.signal()
	s.mu.Unlock()
	m.server.Close()
	time.AfterFunc(down, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if err := s.boot(m); err != nil {
			s.fatal("machine %s can't start again: %v", m.name, err)
		}
	})
}

// leaveGang records that a member has ended without being done.
func (s *stage) leaveGang(u *run) {
	if u.gang == nil {
		return
	}
	delete(u.gang.members, u.task)
	u.gang.broken = true
}

// end ends a run; s.mu is held.
func (s *stage) end(u *run, how string) {
	r := u.on
	delete(r.running, u.task)
	r.highest[u.task] = max(r.highest[u.task], u.number)
	r.seq++
	r.ends = append(r.ends, endRow{r.seq, u.task, u.number, how, u.saved, u.cpu})
	s.ended[how]++
	s.lastChange = time.Now()
	s.log("run ended: %s run %d on %s: %s, checkpoint %q", u.task, u.number, r.id, how, u.saved)
	if how == "alone" {
		s.alone = append(s.alone, aloneEnd{u.task, u.number, u.started, time.Now()})
	}
	if how != "done" {
		s.leaveGang(u)
	}
	r.signal()
}

// work returns how much of the work the run has done.
func (u *run) work(now time.Time) time.Duration {
	if u.workAt.IsZero() {
		return u.begun
	}
	return u.begun + max(0, now.Sub(u.workAt))
}

func (u *run) percent(now time.Time) int {
	return min(99, int(100*u.work(now).Milliseconds()/int64(max(1, u.spec.WorkMS))))
}

func (m *machine) labels() []string { return []string{m.kind, m.rack} }

// saveValue is the checkpoint after so much work of the job.
func saveValue(task string, work time.Duration) string {
	return fmt.Sprintf("%08x%s", work.Milliseconds(), task[4:12])
}

// tick advances all runs.
func (s *stage) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, m := range s.machines {
		r := m.runner
		if r == nil {
			continue
		}
		if len(r.running) > 0 && r.clock() > r.until {
			for _, u := range r.running {
				s.end(u, "lapsed")
			}
		}
		for _, u := range r.running {
			s.advance(u, now)
		}
	}
}

func (s *stage) advance(u *run, now time.Time) {
	if g := u.gang; g != nil {
		switch {
		case g.broken && g.works:
			s.end(u, "broken")
			return
		case !g.works && g.complete():
			g.works = true
			for _, other := range g.members {
				other.workAt = now
				if other.from != "" {
					other.workAt = now.Add(restoreTime)
				}
			}
		case !g.works && now.Sub(u.started) > gangWait:
			s.end(u, "alone")
			return
		}
	}
	done := u.work(now)
	if whole := done.Truncate(saveEvery); u.spec.Saves && whole > u.begun {
		u.saved = saveValue(u.task, whole)
	}
	if done < time.Duration(u.spec.WorkMS)*time.Millisecond {
		return
	}
	if u.gang == nil {
		s.end(u, "done")
		return
	}
	for _, member := range u.gang.members {
		s.end(member, "done")
	}
}

// complete reports whether all members of the run are present and carry the same checkpoint.
func (g *gang) complete() bool {
	first := ""
	n := 0
	for _, u := range g.members {
		if n > 0 && u.from != first {
			return false
		}
		first = u.from
		n++
	}
	return n == g.size && !g.broken
}

type order struct {
	fields map[string]json.RawMessage
}

func (o order) text(name string) (out string) {
	if raw, ok := o.fields[name]; ok {
		_ = json.Unmarshal(raw, &out)
	}
	return out
}

func (o order) number(name string) (out int64) {
	if raw, ok := o.fields[name]; ok {
		_ = json.Unmarshal(raw, &out)
	}
	return out
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// serveRunner answers a call of the system.
func (s *stage) serveRunner(r *runner, w http.ResponseWriter, q *http.Request) {
	var o order
	if err := json.NewDecoder(q.Body).Decode(&o.fields); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if q.Header.Get(wire("header.instance")) != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	if r.m.runner != r {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if token := o.number("fencing-token"); token < r.token {
		s.mu.Unlock()
		reply(w, http.StatusConflict, map[string]any{"clock-ms": r.clock().Milliseconds(), "reason": "fence"})
		return
	} else {
		r.token = token
	}
	reason := ""
	switch q.URL.Path {
	case wire("call.start"):
		reason = s.start(r, o)
	case wire("call.stop"):
		s.stop(r, o)
	case wire("call.hold"):
		s.hold(r, o, w, q)
		return
	default:
		s.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	clock := r.clock().Milliseconds()
	s.mu.Unlock()
	if reason != "" {
		reply(w, http.StatusConflict, map[string]any{"clock-ms": clock, "reason": reason})
		return
	}
	reply(w, http.StatusOK, map[string]any{"clock-ms": clock})
}

// extend extends the lease; a longer one than the longest is shortened.
func (r *runner) extend(ms int64) {
	if ms > 0 {
		r.until = max(r.until, min(time.Duration(ms)*time.Millisecond, r.clock()+maxLease))
	}
}

func (s *stage) start(r *runner, o order) string {
	task, number := o.text("task"), int(o.number("run"))
	deadline := time.Duration(o.number("deadline-ms")) * time.Millisecond
	live := r.running[task]
	reason := ""
	var what spec
	_ = json.Unmarshal([]byte(o.text("specification")), &what)
	job := s.jobs[task[:16]]
	var used, unlisted int64
	for _, u := range r.running {
		used += u.cpu
	}
	for i := range r.ends {
		unlisted += r.ends[i].cpu
	}
	switch {
	case job == nil:
		s.log("UNASKED: start of %s", task)
		s.unasked++
		reason = "late"
	case number <= r.highest[task] || live != nil && live.number > number:
		reason = "old"
		r.extend(o.number("deadline-ms"))
	case live != nil && live.number == number:
	case deadline < r.clock():
		reason = "late"
	case used+unlisted+job.cpu > r.m.cpu:
		reason = "room"
		r.extend(o.number("deadline-ms"))
	case job.advised && !validTicket(o.text("ticket"), task, r.id):
		reason = "ticket"
	default:
		r.extend(o.number("deadline-ms"))
		u := &run{task: task, number: number, on: r, spec: what, cpu: job.cpu, started: time.Now(), from: o.text("checkpoint"), saved: o.text("checkpoint")}
		if len(u.from) >= 8 {
			ms, _ := strconv.ParseInt(u.from[:8], 16, 64)
			u.begun = time.Duration(ms) * time.Millisecond
		}
		r.running[task] = u
		s.starts[task]++
		s.lastChange = u.started
		if what.Gang > 0 {
			key := task[:strings.LastIndex(task, ".")] + "/" + strconv.Itoa(number)
			if s.gangs[key] == nil {
				s.gangs[key] = &gang{size: what.Gang, members: make(map[string]*run)}
			}
			u.gang = s.gangs[key]
			u.gang.members[task] = u
			s.noteCheckpoint(key, u.from)
		} else {
			u.workAt = u.started
			if u.from != "" {
				u.workAt = u.workAt.Add(restoreTime)
			}
		}
	}
	answer := reason
	if answer == "" {
		answer = "ok"
	}
	s.log("start: %s run %d on %s, checkpoint %q: %s", task, number, r.id, o.text("checkpoint"), answer)
	return reason
}

func (s *stage) stop(r *runner, o order) {
	task, number := o.text("task"), int(o.number("run"))
	s.log("stop: %s run %d on %s", task, number, r.id)
	if u := r.running[task]; u != nil && u.number <= number {
		if done := u.work(time.Now()); u.spec.Saves && done > u.begun {
			u.saved = saveValue(task, done)
		}
		s.end(u, "stopped")
	}
	r.highest[task] = max(r.highest[task], number)
}

// hold answers a poll. s.mu is held, and released.
func (s *stage) hold(r *runner, o order, w http.ResponseWriter, q *http.Request) {
	r.extend(o.number("deadline-ms"))
	acked := o.number(wire("field.acked"))
	for len(r.ends) > 0 && r.ends[0].seq <= acked {
		r.ends = r.ends[1:]
	}
	if wait := min(o.number("wait-ms"), 2000); wait > 0 && len(r.ends) == 0 {
		wake := r.wake
		s.mu.Unlock()
		select {
		case <-wake:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-q.Context().Done():
		}
		s.mu.Lock()
	}
	if r.m.runner != r {
		s.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	now := time.Now()
	for _, u := range r.running {
		running = append(running, []any{u.task, u.number, u.saved, u.percent(now), u.cpu})
	}
	for i, e := range r.ends {
		if i < 500 {
			ended = append(ended, []any{e.seq, e.task, e.run, e.how, e.saved})
			r.ends[i].cpu = 0
		}
	}
	body := map[string]any{"clock-ms": r.clock().Milliseconds(), "running": running, wire("field.ended"): ended}
	s.mu.Unlock()
	reply(w, http.StatusOK, body)
}
