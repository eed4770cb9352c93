package dev

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/faketarget"
	"github.com/pumicestage/pumicestage/internal/infra/standin"
)

// Targets answer late, twice, short, with broken framing or not at all, and
// every entry VM of one zone is lost meanwhile. A caller must get its own
// complete answer or an error. A reused connection could carry a second answer
// to the next caller; without a length, a truncated answer would seem complete.
func TestCallersGetTheirOwnWholeAnswer(t *testing.T) {
	t.Parallel()
	c := startSmall(t)
	l, stopLoad := c.startLoad(context.Background(), c.decl.Services)
	faults := []faketarget.Fault{
		faketarget.Late, faketarget.Short, faketarget.ShortChunks, faketarget.Unframed, faketarget.Twice, faketarget.TwiceLate,
		faketarget.BadFraming, faketarget.BadStatus, faketarget.Reset, faketarget.Silent, faketarget.Refuse,
	}
	for _, f := range faults {
		for _, target := range c.targets {
			target.SetFault(f, 5)
		}
		time.Sleep(150 * time.Millisecond)
	}
	c.entries[2].kill()
	c.entries[3].kill()
	l.balancer.set(c.callerBases())
	before := l.tally.Ran.Load()
	c.await(t, "answers again", func() bool { return l.tally.Ran.Load() > before+50 })
	stopLoad()

	assert.Equal(t, l.tally.Wrong.Load(), int64(0))
	assert.Equal(t, c.falseNotRuns(l.tally), 0)
	assert.Assert(t, l.tally.Broken.Load()+l.tally.Unknown.Load() > 0, "no fault was met")
}

// A caller repeatedly sends one key to every entry VM at once, while targets
// reset connections, the store loses replies and requests and goes down, and an
// entry VM is lost before it has recorded the outcome. Only the entry VM that
// claims the key first may send the request; the others must not, even if the
// first never returns.
func TestNotRepeatableRequestsRunAtMostOnce(t *testing.T) {
	t.Parallel()
	c := startSmall(t)
	var outcomes outcomeLog
	var callers sync.WaitGroup
	for k := range 24 {
		callers.Go(func() { c.sendRepeatedly(fmt.Sprintf("key-%d", k), &outcomes) })
	}
	c.injectFaults()
	callers.Wait()

	runs := c.runs()
	ran := 0
	for key, n := range runs {
		assert.Assert(t, n <= 1, "%s ran %d times", key, n)
		ran += n
	}
	assert.Assert(t, ran > 0)
	for key, outcome := range outcomes.final() {
		assert.Assert(t, outcome != "ran" || runs[key] == 1, "%s: said ran, ran %d times", key, runs[key])
	}
	assert.Equal(t, c.doubleRuns(), 0)
}

// injectFaults makes targets reset connections, injects the platform's faults one
// after the other and kills an entry VM.
func (c *cluster) injectFaults() {
	for _, target := range c.targets {
		target.SetFault(faketarget.Reset, 2)
	}
	for range 5 {
		c.platform.Faults.Set(standin.AnyZone, standin.Fault{LoseReplies: 3, LoseRequests: 2})
		time.Sleep(200 * time.Millisecond)
	}
	c.platform.Faults.Set(standin.AnyZone, standin.Fault{Down: true})
	time.Sleep(700 * time.Millisecond)
	c.platform.Faults.Clear()
	c.entries[1].kill()
	time.Sleep(500 * time.Millisecond)
}

// sendRepeatedly sends the key to every entry VM at once, six times over.
func (c *cluster) sendRepeatedly(key string, outcomes *outcomeLog) {
	client := &http.Client{Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	for range 6 {
		var round sync.WaitGroup
		for _, e := range c.entries {
			round.Go(func() { outcomes.add(key, post(client, e.Self().Caller, "once", key)) })
		}
		round.Wait()
		time.Sleep(200 * time.Millisecond)
	}
}

// post sends one request and returns its outcome, or an empty string if there was
// no complete answer.
func post(client *http.Client, address, service, key string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/services/"+service+"/"+key, strings.NewReader(key))
	if err != nil {
		return ""
	}
	req.Header.Set("Idempotency-Key", `"`+key+`"`)
	resp, err := client.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return ""
	}
	return resp.Header.Get("Pumicestage-Outcome")
}

// outcomeLog records the outcomes answered for each key.
type outcomeLog struct {
	mu  sync.Mutex
	all map[string][]string
}

func (s *outcomeLog) add(key, outcome string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = make(map[string][]string)
	}
	s.all[key] = append(s.all[key], outcome)
}

// final returns the last outcome of each key, ignoring incomplete answers.
func (s *outcomeLog) final() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	final := make(map[string]string)
	for key, outcomes := range s.all {
		for _, o := range outcomes {
			if o != "" {
				final[key] = o
			}
		}
	}
	return final
}
