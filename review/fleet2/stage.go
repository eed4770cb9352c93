// The program fleet2 plays the users' platform for the cases of the second review: the store (the
// project's own stand-in), the list of machines, runners, the advisor, and the callers. It writes the
// settings of the entry VMs, which drive.sh starts, and checks a rule at the end.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/platform/standin"
)

const (
	service = "weighting"
	host    = "jobs.example"
	prefix  = "/weights/"
	other   = "checking" // another service, with two runners where a case asks for it
	entries = 4
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	couldNot  = 2
	playLimit = 110 * time.Second
)

type span struct{ from, to time.Time }

type aloneEnd struct {
	task           string
	run            int
	started, ended time.Time
}

type jobInfo struct {
	cpu     int64 // of each task
	advised bool
	tenant  string // key of its tenant; empty: none
}

type stage struct {
	mu        sync.Mutex
	out       io.Writer
	began     time.Time
	store     *standin.Store
	machines  []*machine
	jobs      map[string]*jobInfo
	gangs     map[string]*gang
	froms     map[string]map[string]bool // checkpoints that the starts of a gang's run carried
	starts    map[string]int
	ended     map[string]int
	alone     []aloneEnd
	disturbed []span
	unasked   int
	callers   []string
	policy    func(step, worker string) bool
	advised   bool
	asked     map[string]map[string]bool // workers that the advisor was asked about, by step
	advisor   *advisor
	others    bool
	// lastChange is when a run last began or ended.
	lastChange time.Time
	tenants    map[string]int64 // limits of the tenants' cores, in thousandths
}

// log writes a line to the record. It may be called with s.mu held.
func (s *stage) log(format string, args ...any) {
	fmt.Fprintf(s.out, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

func (s *stage) fatal(format string, args ...any) {
	s.log("COULD NOT RUN: "+format, args...)
	os.Exit(couldNot)
}

func (s *stage) noteCheckpoint(key, value string) {
	if s.froms[key] == nil {
		s.froms[key] = make(map[string]bool)
	}
	s.froms[key][value] = true
}

func (s *stage) putKey(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	if _, err := s.store.Mem.Txn(context.Background(), infra.Txn{Then: []infra.Op{infra.Put(key, raw)}}); err != nil {
		s.log("store: %v", err)
	}
}

func (s *stage) deleteKey(key string) {
	if _, err := s.store.Mem.Txn(context.Background(), infra.Txn{Then: []infra.Op{infra.Delete(key)}}); err != nil {
		s.log("store: %v", err)
	}
}

// listen serves h on a free port of loopback and returns the address.
func (s *stage) listen(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.fatal("%v", err)
	}
	go http.Serve(l, h)
	return l.Addr().String()
}

// serveMachines answers the list of machines. Moves and upkeep are refused as busy: no case needs them.
func (s *stage) serveMachines(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != wire("call.list") {
		reply(w, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	s.mu.Lock()
	rows := []map[string]any{}
	for _, m := range s.machines {
		row := map[string]any{
			"machine": m.name, "pool": m.pool, "state": "down", "zone": m.zone, "labels": m.labels(), "id": "",
			"capacity": map[string]any{"cpu": m.cpu, wire("field.memory"): 65536, "gpu": 0},
		}
		if m.runner != nil {
			row["state"], row["id"] = "up", m.runner.id
		}
		rows = append(rows, row)
	}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"machines": rows, wire("field.nextpage"): nil})
}

// reserve returns a free address of loopback.
func reserve() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// writeSettings writes the settings of the entry VMs as the deploy file's template would.
func (s *stage) writeSettings(dir, store, machines, advisor string) {
	for i := range entries {
		callers, peer := reserve(), reserve()
		_, port, err := net.SplitHostPort(peer)
		if err != nil {
			s.fatal("%v", err)
		}
		s.callers = append(s.callers, callers)
		text := fmt.Sprintf("[entry]\nname = entry-%d\nzone = z%d\naddress = 127.0.0.1\ncallers = %s\nready = %s\npeer-port-first = %s\npeer-port-last = %s\n"+
			"[store]\naddress = %s\nleast-lease-ms = 1000\n[vms]\naddress = %s\nrate-per-s = 64.0\n[advisor]\naddress = %s\n"+
			"[callers]\nconfig-in-force-ms = 2000\nrepeat-when-cut-off = true\n[capacity]\nmove-cost-vm-s = 1.5\n"+
			"[limits]\ncpu-share = 0.4\nlink-mbps = 1000.0\nmemory-mb = 284\nshutdown-s = 6\nmax-lease-ms = 10000\nstop-grace-ms = 400\nroom-known-ms = 3000\nstatus-s = 120\npace-delay-ms = 100\n"+
			"[placement]\nkeep-jobs-in-zone = false\n", i, i%4, callers, reserve(), port, port, store, machines, advisor)
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("e%d.ini", i)), []byte(text), 0o600); err != nil {
			s.fatal("%v", err)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "ready"), nil, 0o600); err != nil {
		s.fatal("%v", err)
	}
}

// call sends one request of a caller and returns the status and the state in the answer; 0 stands for
// no answer.
func (s *stage) call(entry int, method, id string, body any) (status int, state string) {
	raw := []byte{}
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			panic(err)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	s.mu.Lock()
	job := s.jobs[id]
	s.mu.Unlock()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.callers[entry%len(s.callers)]+prefix+id, bytes.NewReader(raw))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header.Set(wire("header.deadline"), "3000")
	if job != nil && job.tenant != "" {
		req.Header.Set(wire("header.key"), job.tenant)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	var answer struct {
		State string `json:"state"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	return resp.StatusCode, answer.State
}

// submit hands a job in, at one entry VM after the other as a caller's retries do.
func (s *stage) submit(id string, what spec, step map[string]any) {
	raw, err := json.Marshal(what)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	s.jobs[id] = &jobInfo{cpu: step["cpu"].(int64), advised: s.advised}
	if s.tenants != nil {
		s.jobs[id].tenant = "key-red"
	}
	s.mu.Unlock()
	body := map[string]any{"specification": string(raw), "steps": []any{step}}
	for i := range 40 {
		status, _ := s.call(i, http.MethodPost, id, body)
		s.log("POST %s at entry-%d: %d", id, i%len(s.callers), status)
		if status == http.StatusOK {
			return
		}
		time.Sleep(250 * time.Millisecond)
	}
	s.fatal("job %s was not accepted", id)
}

// state asks for the job's state.
func (s *stage) state(id string) string {
	for i := range 8 {
		if status, state := s.call(i, http.MethodGet, id, nil); status == http.StatusOK {
			return state
		}
		time.Sleep(100 * time.Millisecond)
	}
	return ""
}

// quiet reports whether no run has begun or ended for 3 s and under half of the service's capacity is in
// use. s.mu is held.
func (s *stage) quiet() bool {
	var used, all int64
	for _, m := range s.machines {
		if m.pool != service || m.runner == nil {
			continue
		}
		all += m.cpu
		for _, u := range m.runner.running {
			used += u.cpu
		}
	}
	return time.Since(s.lastChange) > 3*time.Second && 2*used < all
}

// idleRunners returns how many runners of the service run nothing and may run the step. s.mu is held.
func (s *stage) idleRunners(step string) (n int) {
	for _, m := range s.machines {
		if m.pool == service && m.runner != nil && len(m.runner.running) == 0 && (s.policy == nil || s.policy(step, m.runner.id)) {
			n++
		}
	}
	return n
}

// until waits until the condition holds or the time is over.
func (s *stage) until(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		s.mu.Lock()
		ok := holds()
		s.mu.Unlock()
		if ok {
			return true
		}
	}
	return false
}

// configure writes a version of the configuration.
func (s *stage) configure(version int) {
	route := map[string]any{"name": "weights", "host": host, "prefix": prefix, "service": service, "priority": 0, "max-attempts": 4, "stretch-factor": 2.0, wire("field.objective"): 600}
	if s.advisor != nil {
		route["advisor"] = s.advisor.route()["advisor"]
	}
	services := []any{map[string]any{"name": service, "standby": false, wire("field.guards"): true}}
	if s.others {
		services = append(services, map[string]any{"name": other, "standby": false, wire("field.guards"): true})
	}
	routes := []any{route}
	config := map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]any{}}
	if s.tenants != nil {
		tenants := []any{}
		for name, limit := range s.tenants {
			tenants = append(tenants, map[string]any{"name": name, wire("field.keys"): []string{"key-" + name}, "weight": 100,
				wire("field.limit"): map[string]any{"cpu": limit, wire("field.memory"): 0, "gpu": 0}})
		}
		config["tenants"] = tenants
	}
	s.putKey(wire("key.config"), config)
	s.log("configuration %d, limits of tenants: %v", version, s.tenants)
}

// add adds machines, with runners, to the pool; s.mu is held.
func (s *stage) add(n int, pool string, cpu int64) error {
	for range n {
		i := len(s.machines)
		m := &machine{name: fmt.Sprintf("m%03d", i), pool: pool, address: "127.0.0.1:0", zone: fmt.Sprintf("z%d", i%4), rack: fmt.Sprintf("r%d", i/4), kind: "a", cpu: cpu}
		s.machines = append(s.machines, m)
		if err := s.boot(m); err != nil {
			return err
		}
	}
	return nil
}

type settingsOf struct {
	runners int
	others  int // runners of the other service
	tenants map[string]int64
	cpu     int64
	advisor *advisor // of the queue; nil: none
}

// cases maps the names of cases to what they play. trouble is false for the play without the
// disruption.
var cases = map[string]struct {
	settings settingsOf
	play     func(s *stage, trouble bool) int
}{}

func main() {
	name := flag.String("case", "", "the case to play")
	dir := flag.String("dir", "", "temporary folder for the settings of the entry VMs")
	record := flag.String("record", "", "file for the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	c, known := cases[*name]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(couldNot)
	}
	out, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	s := &stage{
		out: out, began: time.Now(), store: standin.NewStore(clockwork.NewRealClock()), jobs: make(map[string]*jobInfo),
		gangs: make(map[string]*gang), froms: make(map[string]map[string]bool), starts: make(map[string]int), ended: make(map[string]int),
		asked: make(map[string]map[string]bool),
	}
	time.AfterFunc(playLimit, func() { s.fatal("the play took too long") })
	s.log("case %s, with the disruption: %v", *name, *trouble)
	s.mu.Lock()
	for _, err := range []error{s.add(c.settings.runners, service, c.settings.cpu), s.add(c.settings.others, other, c.settings.cpu)} {
		if err != nil {
			s.fatal("%v", err)
		}
	}
	s.mu.Unlock()
	go func() {
		for now := range time.Tick(tickInterval) {
			s.tick(now)
		}
	}()
	s.advisor, s.others, s.tenants = c.settings.advisor, c.settings.others > 0, c.settings.tenants
	s.advised = s.advisor != nil
	s.configure(1)
	s.writeSettings(*dir, s.listen(s.store), s.listen(http.HandlerFunc(s.serveMachines)), s.listen(http.HandlerFunc(s.serveAdvisor)))
	code := c.play(s, *trouble)
	s.log("exit %d", code)
	os.Exit(code)
}
