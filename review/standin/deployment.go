package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"time"
)

// entryVMs is the number of entry VMs of a case.
const entryVMs = 3

// bounds are the bounds of the site that a case names.
type bounds struct {
	maxHoldMS, stopGraceMS, contactMS, configMS int
}

// entry holds the addresses of one entry VM.
type entry struct{ name, ip, callers, ready string }

// deployment is the platform and the addresses of its entry VMs, which run.sh starts.
type deployment struct {
	*platform
	entries []entry
	client  *http.Client
	calls   int
}

// Ports of the entry VMs; they are the same on all.
const (
	callersPort = 8624
	readyPort   = 8622
	metricsPort = 9464
	firstPeer   = 7060
	lastPeer    = 7075
)

// newDeployment writes the settings of the entry VMs, filled in from the template of the deploy file,
// into dir.
func newDeployment(p *platform, b bounds, template, dir string) (*deployment, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return nil, err
	}
	d := &deployment{platform: p, client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	net3, err := freeNet()
	if err != nil {
		return nil, err
	}
	zones := []string{"hall-a", "hall-b", "hall-c"}
	for i := range entryVMs {
		ip := fmt.Sprintf("%s.%d", net3, i+1)
		e := entry{name: fmt.Sprintf("frontend-%s-1", zones[i]), ip: ip, callers: fmt.Sprintf("%s:%d", ip, callersPort), ready: fmt.Sprintf("%s:%d", ip, readyPort)}
		d.entries = append(d.entries, e)
		values := map[string]string{
			"node-name": e.name, "zone": zones[i], "ip-address": ip, "listen-addresses.frontend": e.callers, "listen-addresses.ready": e.ready,
			"internal-port-range.0": strconv.Itoa(firstPeer), "internal-port-range.1": strconv.Itoa(lastPeer),
			"platform.address": p.storeAddr, "platform.min-ttl-ms": "1000", "cloud-api.address": p.vmAddr, "cloud-api.rate-per-s": "64.0",
			"bounds.config-apply-ms": strconv.Itoa(b.configMS), "bounds.migration-s": "1.5", "limits.cpu-share": "0.4", "limits.link-mbps": "1000.0",
			"limits.memory-mb": "284", "bounds.grace-s": "6", "bounds.max-hold-ms": strconv.Itoa(b.maxHoldMS), "bounds.stop-grace-ms": strconv.Itoa(b.stopGraceMS),
			"bounds.contact-ms": strconv.Itoa(b.contactMS), "bounds.status_s": "120", "bounds.pace-delay-ms": "100",
		}
		filled := regexp.MustCompile(`\{\{[^}]*\}\}`).ReplaceAllStringFunc(string(text), func(s string) string { return values[s[2:len(s)-2]] })
		if err := os.WriteFile(filepath.Join(dir, fmt.Sprintf("entry-%d.ini", i)), []byte(filled), 0o600); err != nil {
			return nil, err
		}
	}
	return d, os.WriteFile(filepath.Join(dir, "ready"), nil, 0o600)
}

// freeNet returns the first three parts of a loopback network on which the ports are free.
func freeNet() (string, error) {
next:
	for n := range 200 {
		net3 := fmt.Sprintf("127.%d.%d", 20+n, os.Getpid()%250)
		for i := range entryVMs {
			for _, port := range []int{callersPort, readyPort, metricsPort, firstPeer} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", net3, i+1, port))
				if err != nil {
					continue next
				}
				l.Close()
			}
		}
		return net3, nil
	}
	return "", fmt.Errorf("no loopback addresses with free ports")
}

// service and route are parts of the operator's configuration.
type service struct {
	name    string
	standby bool // its machines are off
}

type route struct {
	name, host, prefix, service string
	attempts                    int
}

// configure writes the operator's configuration.
func (d *deployment) configure(version int, services []service, routes []route) {
	var rs, ss []map[string]any
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.name, "host": r.host, "prefix": r.prefix, "kind": "non_idempotent", "timeout-ms": 3000, wire("slack"): 600,
			"priority": 0, "service": r.service, "max-attempts": r.attempts, "stretch-factor": 1.6,
		})
	}
	for _, s := range services {
		ss = append(ss, map[string]any{
			"name": s.name, "health-path": "/health", "max-connections": 64, "protocol": "h1", "tls": false, wire("guards"): true, "standby": s.standby,
		})
	}
	d.put(wire("config"), map[string]any{"version": version, "routes": rs, "services": ss, "limits": map[string]any{"max-body-bytes": 262144}})
	d.rec.add("the operator writes configuration %d: %s", version, routesText(routes))
}

func routesText(routes []route) string {
	var b bytes.Buffer
	for i, r := range routes {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "queue %s -> service %s", r.name, r.service)
	}
	return b.String()
}

// awaitReady waits until all entry VMs say that they are ready.
func (d *deployment) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, e := range d.entries {
			if resp, err := d.client.Get("http://" + e.ready + "/readiness"); err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					ready++
				}
			}
		}
		if ready == len(d.entries) {
			return nil
		}
	}
	return fmt.Errorf("the entry VMs are not ready after 20 s")
}

// step is a step of a job that a client hands in.
type step struct {
	count, apart int
	cpu, memory  int64
	estimate     time.Duration
	lasts        bool
	needs        string // label that the runner must have
	mayMiss      int    // tasks that may be unavailable at a time
}

// call sends a client's request to the next entry VM in turn and records it; the status is 0 without
// an answer.
func (d *deployment) call(method string, r route, rest string, body any) (status int, answer []byte) {
	e := d.entries[d.calls%len(d.entries)]
	d.calls++
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			panic(err) // made of plain values here
		}
	}
	req, err := http.NewRequest(method, "http://"+e.callers+r.prefix+rest, bytes.NewReader(raw))
	if err != nil {
		panic(err) // the address is well formed
	}
	req.Host = r.host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(wire("deadline"), "3000")
	resp, err := d.client.Do(req)
	if err != nil {
		d.rec.add("%s %s%s at %s: no answer", method, r.prefix, rest, e.name)
		return 0, nil
	}
	defer resp.Body.Close()
	answer, _ = io.ReadAll(resp.Body) // a broken answer is recorded as it came
	d.rec.add("%s %s%s at %s: %d %s", method, r.prefix, rest, e.name, resp.StatusCode, answer)
	return resp.StatusCode, answer
}

// submit hands a job in, repeatedly where the outcome is open or the job was refused, for 10 s.
func (d *deployment) submit(r route, id, spec string, s taskSpec, steps ...step) error {
	d.mu.Lock()
	s.cpu, s.memory = steps[0].cpu, steps[0].memory
	d.specs[spec], d.jobSpec[id] = s, spec
	d.mu.Unlock()
	var ws []map[string]any
	for _, st := range steps {
		w := map[string]any{"count": st.count, "cpu": st.cpu, wire("memory"): st.memory, "estimated-ms": st.estimate.Milliseconds()}
		if st.lasts {
			w[wire("lasts")] = true
		}
		if st.apart > 0 {
			w["anti-affinity"] = st.apart
		}
		if st.needs != "" {
			w["requirements"] = st.needs
		}
		if st.mayMiss > 0 {
			w["max-unavailable"] = st.mayMiss
		}
		ws = append(ws, w)
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		if status, _ := d.call(http.MethodPost, r, id, map[string]any{"specification": spec, "steps": ws}); status/100 == 2 {
			return nil
		}
	}
	return fmt.Errorf("job %s is not accepted", id)
}

// state returns what GET says of the job.
func (d *deployment) state(r route, id string) string {
	status, raw := d.call(http.MethodGet, r, id, nil)
	var a struct {
		State string `json:"state"`
	}
	if status != http.StatusOK || json.Unmarshal(raw, &a) != nil {
		return strconv.Itoa(status)
	}
	return a.State
}

// waiting returns what GET says of the queue; -1 without a count.
func (d *deployment) waiting(r route) int {
	status, raw := d.call(http.MethodGet, r, "", nil)
	a := struct {
		Waiting int `json:"waiting"`
	}{-1}
	if status != http.StatusOK || json.Unmarshal(raw, &a) != nil {
		return -1
	}
	return a.Waiting
}

// await polls until the condition holds, for as long as limit.
func await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// running returns the task's run that goes on; false if there is none.
func (p *platform) running(task string) (run, bool) {
	for _, r := range p.runsOf(task) {
		if r.Ended.IsZero() {
			return r, true
		}
	}
	return run{}, false
}
