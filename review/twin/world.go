package main

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/platform/standin"
)

//go:embed names.txt
var namesFile string

//go:embed settings.txt
var settingsFile string

//go:embed config.json
var configFile []byte

// names are the words of the platform's protocol.
var names = pairs(namesFile)

func pairs(text string) map[string]string {
	out := make(map[string]string)
	for line := range strings.Lines(text) {
		if key, value, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			out[key] = value
		}
	}
	return out
}

// machine is a machine of the platform, with the runner that lives on it; nil while it is down.
type machine struct {
	id, zone, address, state string
	labels                   []string
	runner                   *runner
}

type startNote struct {
	at   time.Time
	task string
	run  int
}

type endNote struct {
	at   time.Time
	task string
	run  int
	how  string
}

// world is the platform and its machines.
type world struct {
	began time.Time
	store *standin.Store

	mu       sync.Mutex
	record   *os.File
	machines []*machine
	lives    int
	starts   []startNote
	ends     []endNote
	writes   []time.Time // writing calls of the store in the last second

	storeAddress, listAddress string
}

func newWorld(record string) (*world, error) {
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{began: time.Now(), store: standin.NewStore(clockwork.NewRealClock()), record: f}
	if w.storeAddress, err = listen(http.HandlerFunc(w.serveStore)); err != nil {
		return nil, err
	}
	if w.listAddress, err = listen(http.HandlerFunc(w.serveMachines)); err != nil {
		return nil, err
	}
	return w, w.put(names["config"], configFile)
}

// writesPerSecond is how many writing calls the store takes in a second.
const writesPerSecond = 400

// serveStore answers a call of the store, with 429 beyond its rate.
func (w *world) serveStore(rw http.ResponseWriter, req *http.Request) {
	if strings.HasPrefix(req.URL.Path, names["txn"]) || strings.HasPrefix(req.URL.Path, names["lease"]) {
		w.mu.Lock()
		now := time.Now()
		for len(w.writes) > 0 && now.Sub(w.writes[0]) > time.Second {
			w.writes = w.writes[1:]
		}
		full := len(w.writes) >= writesPerSecond
		if !full {
			w.writes = append(w.writes, now)
		}
		w.mu.Unlock()
		if full {
			rw.WriteHeader(http.StatusTooManyRequests)
			return
		}
	}
	w.store.ServeHTTP(rw, req)
}

func listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go http.Serve(l, h)
	return l.Addr().String(), nil
}

func (w *world) put(key string, value []byte) error {
	_, err := w.store.Mem.Txn(context.Background(), infra.Txn{Then: []infra.Op{infra.Put(key, value)}})
	return err
}

// note writes a line to the record. The world's lock is held.
func (w *world) note(format string, args ...any) {
	fmt.Fprintf(w.record, "%7.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// say is note for callers that don't hold the lock.
func (w *world) say(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.note(format, args...)
}

func (w *world) noteEnd(task string, number int, how, on, saved string) {
	w.ends = append(w.ends, endNote{at: time.Now(), task: task, run: number, how: how})
	w.note("end %s run %d on %s: %s, saved %q", task, number, on, how, saved)
}

// addMachine adds a machine and boots a runner on it.
func (w *world) addMachine(zone string, labels ...string) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	m := &machine{id: fmt.Sprintf("m-%d", len(w.machines)), zone: zone, address: l.Addr().String(), labels: labels}
	w.machines = append(w.machines, m)
	w.boot(m, l)
	return nil
}

// boot starts a runner on the machine. The world's lock is held.
func (w *world) boot(m *machine, l net.Listener) {
	w.lives++
	r := &runner{
		world: w, m: m, id: fmt.Sprintf("i-%08x", 0x7f3a0000+w.lives), boot: time.Now(),
		running: make(map[string]*run), highest: make(map[string]int), ended: make(chan struct{}),
	}
	m.runner, m.state = r, "up"
	w.note("boot %s on %s", r.id, m.id)
	r.serve(l)
	go r.register()
}

// register writes the runner's entry at each heartbeat.
func (r *runner) register() {
	key := names["servers"] + r.id
	for {
		r.world.mu.Lock()
		r.sequence++
		value, _ := json.Marshal(map[string]any{
			"service": "pondera", "address": r.m.address, "zone": r.m.zone, "version": "1", "slots": 8, "state": "ready",
			"cold-remaining-ms": 0, "sequence": r.sequence, names["clock"]: r.clock().Milliseconds(), "labels": r.m.labels, "capacity": room(),
		})
		r.world.mu.Unlock()
		r.world.put(key, value)
		time.Sleep(heartbeat)
	}
}

func room() map[string]any {
	return map[string]any{"cpu": fullRoom, names["memory"]: 65536, "gpu": 0}
}

// serveMachines lists the machines. There is one pool and no wave, so that no order for a machine is due;
// the record would show one.
func (w *world) serveMachines(rw http.ResponseWriter, req *http.Request) {
	if req.URL.Path != names["list"] {
		w.say("%s", req.URL.Path)
		reply(rw, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	}
	w.mu.Lock()
	out := []map[string]any{}
	for _, m := range w.machines {
		id := ""
		if m.runner != nil {
			id = m.runner.id
		}
		out = append(out, map[string]any{"machine": m.id, "pool": "pondera", "state": m.state, "zone": m.zone, "labels": m.labels, "capacity": room(), "id": id})
	}
	w.mu.Unlock()
	reply(rw, http.StatusOK, map[string]any{"machines": out, names["next"]: nil})
}

// writeSettings fills the project's template in for the entry VM number i and returns the callers' address.
func (w *world) writeSettings(dir string, i int, zone string) (callers string, err error) {
	template, err := os.ReadFile(names["template"])
	if err != nil {
		return "", err
	}
	var ports [3]string
	for n := range ports {
		l, err := reserve()
		if err != nil {
			return "", err
		}
		ports[n] = l.Addr().String()
		defer l.Close()
	}
	_, peers, _ := net.SplitHostPort(ports[2])
	values := map[string]string{
		"@name": entryName(i), "@zone": zone, "@callers": ports[0], "@ready": ports[1], "@peers": peers,
		"@store": w.storeAddress, "@machines": w.listAddress,
	}
	text := string(template)
	for name, value := range pairs(settingsFile) {
		if v, known := values[value]; known {
			value = v
		}
		text = strings.ReplaceAll(text, "{{"+name+"}}", value)
	}
	var lines []string
	for line := range strings.Lines(text) {
		if before, _, open := strings.Cut(line, "{{"); open {
			line = before + "\n" // no value
		}
		if strings.HasPrefix(line, "metrics") {
			continue // one port for all entry VMs of a machine
		}
		lines = append(lines, line)
	}
	name := filepath.Join(dir, fmt.Sprintf("settings-%d.ini", i))
	if err := os.WriteFile(name+".new", []byte(strings.Join(lines, "")), 0o600); err != nil {
		return "", err
	}
	return ports[0], os.Rename(name+".new", name)
}

// reserve listens at a free port outside the range from which the system gives ports to connections, so that none
// takes it before a daemon that is told of it listens there.
func reserve() (l net.Listener, err error) {
	for range 100 {
		if l, err = net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(18000))); err == nil {
			return l, nil
		}
	}
	return nil, err
}
