// Package dev runs a whole deployment on loopback in one process: the
// platform's stand-in, entry daemons, fake targets and callers.
package dev

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// loadTimeout is how long a caller of the example waits for an answer. It is
// longer than any service's own timeout, so that the system answers first.
const loadTimeout = 20 * time.Second

// thinkTime is how long a caller thinks between two requests.
const thinkTime = 20 * time.Millisecond

// Tally is what the callers of the example got.
type Tally struct {
	Ran, NotRun, Unknown atomic.Int64
	// Broken counts connections that broke or answers that were cut short.
	Broken atomic.Int64
	// Wrong counts answers that belong to another request.
	Wrong atomic.Int64
	// Refused counts connections that a leaving entry VM did not take; the
	// balancer tries the next one.
	Refused atomic.Int64

	mu            sync.Mutex
	notRun        []string // keys of requests that were said not to have run
	brokenDetails []string // how the first connections broke
}

// maxBrokenShown is how many broken connections are told apart.
const maxBrokenShown = 10

// recordBroken counts a connection that broke so long after its request.
func (t *Tally) recordBroken(err error, id string, after time.Duration) {
	t.Broken.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.brokenDetails) < maxBrokenShown {
		t.brokenDetails = append(t.brokenDetails, fmt.Sprintf("%s after %s: %v", id, after.Round(time.Millisecond), err))
	}
}

// describeBroken tells how the first connections broke.
func (t *Tally) describeBroken() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.brokenDetails, "\n")
}

// recordNotRun remembers a key, to be checked against what the targets ran.
func (t *Tally) recordNotRun(key string) {
	t.NotRun.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notRun = append(t.notRun, key)
}

// notRunKeys returns the keys that were said not to have run.
func (t *Tally) notRunKeys() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.notRun)
}

// Sent returns how many requests got an answer of any kind.
func (t *Tally) Sent() int64 {
	return t.Ran.Load() + t.NotRun.Load() + t.Unknown.Load() + t.Broken.Load()
}

// balancer stands in for the platform's: it knows which entry VMs are ready
// and sends each request to one of them.
type balancer struct {
	mu    sync.Mutex
	bases []string
}

func (b *balancer) set(bases []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bases = bases
}

func (b *balancer) pick(rng *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bases[rng.IntN(len(b.bases))]
}

// load runs callers for every service until ctx ends.
type load struct {
	balancer *balancer
	client   *http.Client
	tally    *Tally
	seq      atomic.Int64
}

func newLoad(b *balancer) *load {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second}
	return &load{balancer: b, client: &http.Client{Transport: transport, Timeout: loadTimeout}, tally: &Tally{}}
}

// run starts callers per service and waits until all have ended.
func (l *load) run(ctx context.Context, services []model.Service, callers int) {
	var wg sync.WaitGroup
	for i := range services {
		for c := range callers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				l.caller(ctx, &services[i], c)
			}()
		}
	}
	wg.Wait()
	l.client.CloseIdleConnections()
}

// caller sends one request after the other. Requests in flight when ctx ends
// are waited for, so that none is cut by the load itself.
func (l *load) caller(ctx context.Context, s *model.Service, c int) {
	rng := rand.New(rand.NewPCG(uint64(c), 1))
	for ctx.Err() == nil {
		l.send(rng, s, fmt.Sprintf("caller-%d", c))
		select {
		case <-ctx.Done():
		case <-time.After(thinkTime):
		}
	}
}

func (l *load) send(rng *rand.Rand, s *model.Service, caller string) {
	id := fmt.Sprintf("r%d", l.seq.Add(1))
	url := fmt.Sprintf("%s/services/%s/%s", l.balancer.pick(rng), s.Name, id)
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(id))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Pumicestage-Caller", caller)
	// Repeatable services need no key; here it lets the targets count by it.
	req.Header.Set("Idempotency-Key", `"`+id+`"`)
	sent := time.Now()
	resp, err := l.client.Do(req)
	if err != nil {
		l.failed(err, id, time.Since(sent))
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		l.tally.recordBroken(err, id, time.Since(sent))
		return
	}
	l.count(resp, id, string(body))
}

// failed tells a connection that was never taken from one that broke.
func (l *load) failed(err error, id string, after time.Duration) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		l.tally.Refused.Add(1)
		return
	}
	l.tally.recordBroken(err, id, after)
}

func (l *load) count(resp *http.Response, id, body string) {
	switch resp.Header.Get("Pumicestage-Outcome") {
	case "ran":
		l.tally.Ran.Add(1)
		if !strings.Contains(body, id) {
			l.tally.Wrong.Add(1)
		}
	case "not-run":
		l.tally.recordNotRun(id)
	default:
		l.tally.Unknown.Add(1)
	}
}
