// Command review-twin plays the platform, its machines and the callers for the cases of the review that stand
// as scripts: review-twin CASE DIR RECORD. It writes settings of two entry VMs into DIR, in which the case's
// script runs the daemons and notes how they end. It exits with 1 if the case's rule was broken, 0 if it held
// and 2 if the case could not run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// Exit statuses.
const (
	held = iota
	broken
	notRun
)

var trouble = os.Getenv("TROUBLE") != "0"

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-twin CASE DIR RECORD")
		os.Exit(notRun)
	}
	play := map[string]func(*scene) (int, string){"cancelled": playCancelled, "memory": playMemory, "full": playFull, "long": playLong}[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		os.Exit(notRun)
	}
	s, err := newScene(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	status, verdict := play(s)
	s.world.say("verdict: %s", verdict)
	fmt.Println(verdict)
	os.Exit(status)
}

// scene is a world with two entry VMs and callers.
type scene struct {
	world   *world
	dir     string
	callers []string // addresses
	client  http.Client

	mu   sync.Mutex
	next int
}

func newScene(dir, record string) (*scene, error) {
	w, err := newWorld(record)
	if err != nil {
		return nil, err
	}
	s := &scene{world: w, dir: dir, client: http.Client{Timeout: 3500 * time.Millisecond}}
	for i := range 2 {
		address, err := w.writeSettings(dir, i, zoneOf(i))
		if err != nil {
			return nil, err
		}
		s.callers = append(s.callers, address)
	}
	return s, nil
}

func zoneOf(i int) string { return "hall-" + string(rune('a'+i)) }

// entryName returns the name of an entry VM in its settings.
func entryName(i int) string { return fmt.Sprintf("frontend-%s-%d", zoneOf(i), i) }

// machines adds machines on which all jobs of the cases can run.
func (s *scene) machines() error {
	for i := range machineCount {
		if err := s.world.addMachine(zoneOf(i%2), "a", fmt.Sprintf("r%d", i/4)); err != nil {
			return err
		}
	}
	return nil
}

// machineCount is the number of machines; the services of the site file have 8 to 12.
const machineCount = 8

// call sends one request to an entry VM, the next one at each call. status 0: there was no answer.
func (s *scene) call(method, path string, body any) (status int, answer map[string]any) {
	s.mu.Lock()
	i := s.next % len(s.callers)
	s.next++
	s.mu.Unlock()
	return s.callAt(i, method, path, body)
}

// callAt sends one request to the entry VM with the number.
func (s *scene) callAt(i int, method, path string, body any) (status int, answer map[string]any) {
	address := s.callers[i]
	var raw []byte
	if body != nil {
		raw, _ = json.Marshal(body)
	}
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(raw))
	if err != nil {
		return 0, nil
	}
	req.Host = "weights.example"
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(names["patience"], "3000")
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	json.Unmarshal(text, &answer) // an answer without a body stays empty
	return resp.StatusCode, answer
}

// until repeats the request until it is answered with one of the statuses, or the time is over.
func (s *scene) until(limit time.Duration, method, path string, body any, want ...int) (status int, answer map[string]any) {
	end := time.Now().Add(limit)
	for {
		status, answer = s.call(method, path, body)
		for _, w := range want {
			if status == w {
				return status, answer
			}
		}
		if time.Now().After(end) {
			return status, answer
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// job returns a job as callers submit it, of one step with these fields.
func job(sp spec, step map[string]any) map[string]any {
	raw, _ := json.Marshal(sp)
	step["cpu"], step[names["memory"]] = sp.CPU, 100
	if sp.Saves {
		step["enable-checkpoints"] = true
	}
	return map[string]any{"specification": string(raw), "steps": []any{step}}
}

// submit hands a job in and notes the answer.
func (s *scene) submit(id string, j map[string]any) bool {
	status, _ := s.until(10*time.Second, http.MethodPost, "/weights/"+id, j, http.StatusOK)
	s.world.say("POST %s: %d", id, status)
	return status == http.StatusOK
}

// state asks for a job's state and notes it.
func (s *scene) state(id string) string {
	status, answer := s.until(10*time.Second, http.MethodGet, "/weights/"+id, nil, http.StatusOK, http.StatusGone)
	out := strconv.Itoa(status)
	if text, ok := answer["state"].(string); ok {
		out = text
	}
	s.world.say("GET %s: %s", id, out)
	return out
}

func (s *scene) cancel(id string) bool {
	status, _ := s.until(10*time.Second, http.MethodDelete, "/weights/"+id, nil, http.StatusOK, http.StatusGone)
	s.world.say("DELETE %s: %d", id, status)
	return status == http.StatusOK
}

func jobID(kind, n int) string { return fmt.Sprintf("%04x%012x", kind, n) }

// lead is how long after the machines the traffic starts.
const lead = 10 * time.Second

// ready waits for the lead, and then until a small job has been completed.
func (s *scene) ready() bool {
	time.Sleep(lead)
	id := jobID(0xfff0, 1)
	if !s.submit(id, job(spec{Work: 100, CPU: 100}, map[string]any{"count": 1, "estimated-ms": 100})) {
		return false
	}
	for range 50 {
		if s.state(id) == "completed" {
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// owner returns the number of the entry VM that owns the service's cell, by the key in the store; -1: none is
// found.
func (s *scene) owner() int {
	kvs, _, err := s.world.store.Mem.Range(context.Background(), infra.WorkOwnerPrefix+"cell/")
	if err != nil || len(kvs) != 1 {
		return -1
	}
	for i := range s.callers {
		if strings.Contains(string(kvs[0].Value), entryName(i)) {
			return i
		}
	}
	return -1
}

// signal sends a signal to the daemon of the entry VM.
func (s *scene) signal(i int, sig syscall.Signal) error {
	raw, err := os.ReadFile(filepath.Join(s.dir, fmt.Sprintf("pid-%d", i)))
	if err != nil {
		return err
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(raw)))
	if err != nil {
		return err
	}
	return syscall.Kill(pid, sig)
}
