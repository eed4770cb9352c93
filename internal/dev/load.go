// Package dev runs a complete deployment on loopback in one process: a stand-in
// for the platform, entry daemons, fake targets and callers.
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

// loadTimeout is the callers' request timeout. It is longer than any service's
// timeout, so that the system under test answers first.
const loadTimeout = 20 * time.Second

// thinkTime is how long a caller waits between two requests.
const thinkTime = 20 * time.Millisecond

// Tally counts the answers that the callers of the example got, by outcome.
type Tally struct {
	Ran, NotRun, Unknown atomic.Int64
	// Broken counts connections that broke or answers that were cut short.
	Broken atomic.Int64
	// Wrong counts answers that belong to another request.
	Wrong atomic.Int64
	// Refused counts connections refused by an entry VM that shuts down. The
	// platform's balancer would try the next one.
	Refused atomic.Int64

	mu            sync.Mutex
	notRun        []string // keys of requests answered with the outcome not-run
	brokenDetails []string // errors of the first broken connections
}

// maxBrokenShown is how many broken connections are recorded in detail.
const maxBrokenShown = 10

// recordBroken counts a connection that broke the given time after its request
// was sent.
func (t *Tally) recordBroken(err error, id string, after time.Duration) {
	t.Broken.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.brokenDetails) < maxBrokenShown {
		t.brokenDetails = append(t.brokenDetails, fmt.Sprintf("%s after %s: %v", id, after.Round(time.Millisecond), err))
	}
}

// describeBroken returns the errors of the first broken connections, one a
// line.
func (t *Tally) describeBroken() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join(t.brokenDetails, "\n")
}

// recordNotRun counts an answer of not-run and keeps its key, which is later
// checked against what the targets ran.
func (t *Tally) recordNotRun(key string) {
	t.NotRun.Add(1)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.notRun = append(t.notRun, key)
}

// notRunKeys returns the keys of requests answered with the outcome not-run.
func (t *Tally) notRunKeys() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.notRun)
}

// Sent returns how many requests ended with an outcome or a broken connection.
// Refused connections are not included.
func (t *Tally) Sent() int64 {
	return t.Ran.Load() + t.NotRun.Load() + t.Unknown.Load() + t.Broken.Load()
}

// balancer simulates the platform's load balancer: it picks a random entry VM
// among those that it was told are ready.
type balancer struct {
	mu     sync.Mutex
	bases  []string
	next   []string // replaces bases at nextAt; nil: nothing does
	nextAt time.Time
}

func (b *balancer) set(bases []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bases, b.next = bases, nil
}

// setAt makes the balancer learn at the given time that these entry VMs are ready. It does
// not depend on when a goroutine runs that would otherwise have to wait until then.
func (b *balancer) setAt(at time.Time, bases []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next, b.nextAt = bases, at
}

func (b *balancer) pick(rng *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.next != nil && !time.Now().Before(b.nextAt) {
		b.bases, b.next = b.next, nil
	}
	return b.bases[rng.IntN(len(b.bases))]
}

// load generates requests to services and counts their outcomes.
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

// run starts the given number of callers for each service and returns once ctx
// has ended and all of them have stopped.
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

// caller sends one request after the other until ctx ends. It waits for a
// request in flight at that time, so that the load itself cuts none.
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
	// Repeatable services need no key; the targets count runs by it.
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

// failed counts a failed request as a refused or as a broken connection.
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
