package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/platform/standin"
)

// The times of the platform that the pages name.
const (
	heartbeat     = 1500 * time.Millisecond
	silentBeats   = 3 // an entry goes after that many intervals of silence
	upkeepTime    = 2 * time.Second
	migrationTime = 1500 * time.Millisecond
)

// taskSpec is what the tasks of a specification do.
type taskSpec struct {
	cpu    int64
	memory int64
	takes  time.Duration // 0: they last
	fails  bool          // every run fails by its own fault
}

// platform is the users' platform on loopback. The store is the project's own stand-in.
type platform struct {
	rec       *recorder
	store     *standin.Store
	storeAddr string
	vmAddr    string
	maxHold   time.Duration
	tellsBorn bool

	mu       sync.Mutex
	standby  map[string]bool     // pools whose machines are off
	specs    map[string]taskSpec // by specification
	jobSpec  map[string]string   // by job ID
	machines []*machine
	boots    int
	runs     []*run
	upkeeps  map[string]time.Time // when the upkeep of a machine began
	// loseUpkeep tells whether a call for the upkeep of the machine is left unanswered and not
	// carried out; nil: none is.
	loseUpkeep func(machine string) bool
}

// machine is a VM; its worker's address stays over all incarnations.
type machine struct {
	id, pool, zone, rack, addr string
	kind                       string // the first of its labels
	cpu, memory                int64
	state                      string
	worker                     *worker
	// holdUp tells for how long an order to start is held up, unanswered, before it is carried
	// out; nil or 0: not at all.
	holdUp func(task string) time.Duration
}

func newPlatform(rec *recorder, maxHold time.Duration) (*platform, error) {
	p := &platform{
		rec: rec, store: standin.NewStore(clockwork.NewRealClock()), maxHold: maxHold,
		standby: make(map[string]bool), specs: make(map[string]taskSpec), jobSpec: make(map[string]string), upkeeps: make(map[string]time.Time),
	}
	var err error
	if p.storeAddr, err = listen(p.store); err != nil {
		return nil, err
	}
	p.vmAddr, err = listen(http.HandlerFunc(p.serveVMs))
	return p, err
}

func listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(l, h) }() // until the process ends
	return l.Addr().String(), nil
}

func (p *platform) specOf(spec string) taskSpec {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.specs[spec]
}

func (p *platform) specOfTask(task string) taskSpec {
	job, _, _ := strings.Cut(task, ".")
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.specs[p.jobSpec[job]]
}

func (p *platform) addRun(r *run) {
	p.mu.Lock()
	p.runs = append(p.runs, r)
	p.mu.Unlock()
	p.rec.add("%s runs %s run %d", r.Worker.name(), r.Task, r.Number)
}

func (p *platform) endRun(r *run, how string) {
	p.mu.Lock()
	r.Ended, r.How = time.Now(), how
	p.mu.Unlock()
	p.rec.add("%s: %s run %d ends: %s", r.Worker.name(), r.Task, r.Number, how)
}

// runsOf returns copies of the task's runs in the order of their starts.
func (p *platform) runsOf(task string) (out []run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.runs {
		if r.Task == task {
			out = append(out, *r)
		}
	}
	return out
}

// tasksOf returns how many of the job's tasks run and how many are done.
func (p *platform) tasksOf(job string) (running, done int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ended := make(map[string]bool)
	for _, r := range p.runs {
		if strings.HasPrefix(r.Task, job+".") {
			if r.Ended.IsZero() {
				running++
			}
			ended[r.Task] = ended[r.Task] || r.How == "done"
		}
	}
	for _, d := range ended {
		if d {
			done++
		}
	}
	return running, done
}

// roomTwice reports whether a machine of the pool that is up, and of the kind if one is given, has room
// for the task twice over.
func (p *platform) roomTwice(pool, kind string, cpu, memory int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		if m.pool != pool || m.state != "up" || m.worker == nil || kind != "" && m.kind != kind {
			continue
		}
		freeCPU, freeMemory := m.cpu, m.memory
		for _, r := range p.runs {
			if r.Worker == m.worker && r.Ended.IsZero() {
				freeCPU, freeMemory = freeCPU-r.cpu, freeMemory-r.memory
			}
		}
		if freeCPU >= 2*cpu && freeMemory >= 2*memory {
			return true
		}
	}
	return false
}

// coresInUse returns the thousandths of a core that run now on all machines.
func (p *platform) coresInUse() (n int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.runs {
		if r.Ended.IsZero() {
			n += r.cpu
		}
	}
	return n
}

// put writes a key past the store's HTTP interface.
func (p *platform) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err) // made of plain values here
	}
	if _, err := p.store.Mem.Txn(context.Background(), infra.Txn{Then: []infra.Op{infra.Put(key, raw)}}); err != nil {
		panic(err) // the store is in this process
	}
}

func (p *platform) addMachine(id, pool, zone, kind, rack string, cpu, memory int64) (*machine, error) {
	m := &machine{id: id, pool: pool, zone: zone, kind: kind, rack: rack, cpu: cpu, memory: memory, state: "up"}
	var err error
	if m.addr, err = listen(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { p.serveWorker(m, rw, r) })); err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.machines = append(p.machines, m)
	off := p.standby[pool]
	p.mu.Unlock()
	if !off {
		p.boot(m, "", 8*time.Minute)
	}
	return m, nil
}

// boot starts an incarnation on the machine: under a new ID, or under the given one.
func (p *platform) boot(m *machine, id string, clock time.Duration) {
	p.mu.Lock()
	p.boots++
	if id == "" {
		id = fmt.Sprintf("i-%06x", 0x7f3a00+p.boots)
	}
	now := time.Now()
	w := &worker{
		p: p, m: m, id: id, born: now.UnixMilli(), boot: now, clock0: clock,
		running: make(map[string]*run), highest: make(map[string]int), wake: make(chan struct{}),
	}
	m.worker, m.state = w, "up"
	p.mu.Unlock()
	p.rec.add("machine %s (pool %s, kind %s) is up with runner %s", m.id, m.pool, m.kind, w.name())
	go w.expire()
	go p.beat(w)
}

// beat keeps the worker's entry in the store until the incarnation ends.
func (p *platform) beat(w *worker) {
	key := wire("servers") + w.id
	for seq := 1; ; seq++ {
		w.mu.Lock()
		dead := w.dead
		w.mu.Unlock()
		if dead {
			break
		}
		e := map[string]any{
			"service": w.m.pool, "address": w.m.addr, "zone": w.m.zone, "version": "v1", "slots": 8, "state": "ready", "cold-remaining-ms": 0,
			"capacity": map[string]any{"cpu": w.m.cpu, wire("memory"): w.m.memory, "gpu": 0}, "labels": []string{w.m.kind, w.m.rack},
			"clock-ms": w.clock().Milliseconds(), "sequence": seq,
		}
		if p.tellsBorn {
			e["born"] = w.born
		}
		p.put(key, e)
		time.Sleep(heartbeat)
	}
	time.Sleep((silentBeats - 1) * heartbeat)
	p.mu.Lock()
	current := w.m.worker
	p.mu.Unlock()
	if current == w || current == nil || current.id != w.id {
		if _, err := p.store.Mem.Txn(context.Background(), infra.Txn{Then: []infra.Op{infra.Delete(key)}}); err != nil {
			panic(err)
		}
	}
}

// crash ends the machine's worker; another one starts after the time, under the same ID or a new one.
func (p *platform) crash(m *machine, down time.Duration, sameID bool) {
	p.mu.Lock()
	w := m.worker
	m.state = "down"
	p.mu.Unlock()
	p.rec.add("runner %s on machine %s crashes", w.name(), m.id)
	w.kill("crashed")
	time.AfterFunc(down, func() {
		if sameID {
			p.boot(m, w.id, 0)
		} else {
			p.boot(m, "", 0)
		}
	})
}

// serveWorker takes one call to the machine's worker.
func (p *platform) serveWorker(m *machine, rw http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(wire("instance"))
	if m.holdUp != nil && r.URL.Path == wire("start") {
		if o, err := decodeOrder(raw); err == nil {
			if late := m.holdUp(o.task); late > 0 {
				p.rec.add("an order to %s on machine %s to start %s run %d is held up for %s, without an answer", id, m.id, o.task, o.run, late)
				time.AfterFunc(late, func() {
					p.rec.add("the order that was held up is carried out: %s is to start %s run %d", id, o.task, o.run)
					p.deliver(m, discard{make(http.Header)}, r.URL.Path, id, raw, make(chan struct{}))
				})
				<-r.Context().Done()
				panic(http.ErrAbortHandler)
			}
		}
	}
	p.deliver(m, rw, r.URL.Path, id, raw, r.Context().Done())
}

// deliver gives a call to the worker that runs on the machine now. A machine that is not up does not
// answer.
func (p *platform) deliver(m *machine, rw http.ResponseWriter, path, id string, raw []byte, done <-chan struct{}) {
	p.mu.Lock()
	w, state := m.worker, m.state
	p.mu.Unlock()
	if state != "up" || w == nil {
		if _, late := rw.(discard); late {
			p.rec.add("machine %s is not up: the order is lost", m.id)
			return
		}
		<-done
		panic(http.ErrAbortHandler)
	}
	w.serve(rw, path, id, raw, done)
}

// discard takes the answer to an order that nobody waits for.
type discard struct{ h http.Header }

func (d discard) Header() http.Header         { return d.h }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

// serveVMs is the platform's service of machines.
func (p *platform) serveVMs(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == wire("machines") {
		p.mu.Lock()
		rows := []map[string]any{}
		for _, m := range p.machines {
			id := ""
			if m.state == "up" && m.worker != nil {
				id = m.worker.id
			}
			rows = append(rows, map[string]any{
				"machine": m.id, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": []string{m.kind, m.rack}, "id": id,
				"capacity": map[string]any{"cpu": m.cpu, wire("memory"): m.memory, "gpu": 0},
			})
		}
		p.mu.Unlock()
		reply(rw, http.StatusOK, map[string]any{"machines": rows, wire("next"): nil})
		return
	}
	var o struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
	}
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	lose := p.loseUpkeep
	var m *machine
	for _, known := range p.machines {
		if known.id == o.Machine {
			m = known
		}
	}
	p.mu.Unlock()
	upkeep := r.URL.Path == wire("upkeep")
	switch {
	case m == nil || !upkeep && r.URL.Path != wire("move"):
		rw.WriteHeader(http.StatusBadRequest)
		return
	case upkeep && lose != nil && lose(m.id):
		p.rec.add("a call for the upkeep of machine %s gets no answer and is not carried out", m.id)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	p.mu.Lock()
	if m.state != "up" {
		p.mu.Unlock()
		p.rec.add("%s of machine %s: 409 busy", r.URL.Path, m.id)
		reply(rw, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	w, takes := m.worker, migrationTime
	m.state = "moving"
	if upkeep {
		m.state, takes = "upkeep", upkeepTime
		p.upkeeps[m.id] = time.Now()
	} else {
		m.pool = o.Pool
	}
	p.mu.Unlock()
	p.rec.add("%s of machine %s begins, to pool %s", r.URL.Path, m.id, m.pool)
	if w != nil {
		w.kill("lost")
	}
	time.AfterFunc(takes, func() {
		p.mu.Lock()
		off := p.standby[m.pool]
		if off {
			m.worker, m.state = nil, "up"
		}
		p.mu.Unlock()
		if !off {
			p.boot(m, "", 0)
		}
	})
	reply(rw, http.StatusOK, map[string]any{})
}

// read returns the value of a key in the store; nil if there is none.
func (p *platform) read(key string) []byte {
	kv, _, err := p.store.Mem.Get(context.Background(), key)
	if err != nil || kv.ModRevision == 0 {
		return nil
	}
	return kv.Value
}
