package entry

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/claim"
	"github.com/pumicestage/pumicestage/internal/faketarget"
)

// Each case is a second request under a key, after a first one that ran and was
// recorded. The request runs once, whatever comes.
func TestRepeatedKey(t *testing.T) {
	cases := []struct {
		name    string
		change  func(*stage)
		path    string
		body    string
		caller  string
		status  int
		outcome Outcome
		runs    int
	}{
		{"same request", nil, "/a", "pay", "firm", 200, Ran, 1},
		{"another body", nil, "/a", "pay more", "firm", 422, NotRun, 1},
		{"another path", nil, "/b", "pay", "firm", 422, NotRun, 1},
		{"another caller's key", nil, "/a", "pay", "other", 200, Ran, 2},
		{"outcome unknown", func(s *stage) { s.setClaims(claim.Result{State: claim.Unknown}) }, "/a", "pay", "firm", 409, Unknown, 1},
		{"still running elsewhere", func(s *stage) { s.setClaims(claim.Result{State: claim.Running}) }, "/a", "pay", "firm", 409, Unknown, 1},
		{"answer not kept", func(s *stage) {
			s.setClaims(claim.Result{State: claim.Recorded, Answer: claim.Answer{Status: 201}})
		}, "/a", "pay", "firm", 409, Ran, 1},
		{"store down, certain", func(s *stage) { s.claims.fail = &claim.Error{Certain: true, Err: errors.New("down")} }, "/a", "pay", "firm", 503, NotRun, 1},
		{"store down, uncertain", func(s *stage) { s.claims.fail = &claim.Error{Err: errors.New("reply lost")} }, "/a", "pay", "firm", 503, Unknown, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newIdleStage(t, 2, faketarget.Options{}, nil)
			first := s.do("POST", "/services/incentives/a", "pay", HeaderKey, `"k"`, HeaderCaller, "firm")
			assert.Equal(t, first.outcome, Ran)
			s.settled()
			if tc.change != nil {
				tc.change(s)
			}
			r := s.do("POST", "/services/incentives"+tc.path, tc.body, HeaderKey, "k", HeaderCaller, tc.caller)
			assert.Equal(t, r.status, tc.status, r.body)
			assert.Equal(t, r.outcome, tc.outcome)
			assert.Equal(t, s.runs("k"), tc.runs)
			if tc.name == "same request" {
				assert.Equal(t, r.body, first.body)
				assert.Equal(t, r.header.Get("Content-Type"), first.header.Get("Content-Type"))
			}
		})
	}
}

// setClaims makes every claim that stands come to the result.
func (s *stage) setClaims(r claim.Result) {
	s.claims.mu.Lock()
	defer s.claims.mu.Unlock()
	for _, c := range s.claims.claims {
		c.result = r
	}
}

// A client in a retry loop sends one key fifty times at once. One request runs;
// the others are told that it may be running, or get its answer; the store is
// not asked for each.
func TestHotKey(t *testing.T) {
	s := newIdleStage(t, 2, faketarget.Options{}, nil)
	release := make(chan struct{})
	s.claims.hold = release
	let := sync.OnceFunc(func() { close(release) })
	t.Cleanup(let)
	var wg sync.WaitGroup
	replies := make(chan reply, 50)
	for range 50 {
		wg.Go(func() { replies <- s.do("POST", "/services/incentives/a", "pay", HeaderKey, "k") })
	}
	for range 49 {
		r := within(t, replies)
		assert.Equal(t, r.status, 409)
		assert.Equal(t, r.outcome, Unknown)
		assert.Assert(t, r.header.Get("Retry-After") != "")
	}
	let()
	assert.Equal(t, within(t, replies).outcome, Ran)
	wg.Wait()
	assert.Equal(t, s.runs("k"), 1)
	assert.Equal(t, s.claims.asked, 1)
}

// The caller goes away while its request runs at most once. The run goes on and
// its outcome is kept: a repeat gets the answer and nothing runs again.
func TestCallerLeavesARunningRequest(t *testing.T) {
	s := newStage(t, 1, faketarget.Options{}, nil)
	s.targets[0].SetFault(faketarget.Late, 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan reply)
	go func() {
		done <- s.doContext(ctx, "POST", "/services/incentives/a", strings.NewReader("pay"), HeaderKey, "k")
	}()
	waitFor(t, func() bool { return s.targets[0].Counts().Running == 1 })
	cancel()
	assert.Assert(t, (<-done).err != nil)
	s.settled()
	r := s.do("POST", "/services/incentives/a", "pay", HeaderKey, "k")
	assert.Equal(t, r.outcome, Ran)
	c := s.targets[0].Counts()
	assert.Equal(t, c.Runs["k"], 1)
	assert.Equal(t, c.Finished, 1)
}

// A request that is turned away after its claim was won has its claim taken
// back: the caller is told "not-run", and the same key runs later.
func TestNotRunGivesTheClaimBack(t *testing.T) {
	s := newIdleStage(t, 1, faketarget.Options{}, nil)
	s.targets[0].SetFault(faketarget.Refuse, 1)
	r := s.do("POST", "/services/incentives/a", "pay", HeaderKey, "k")
	assert.Equal(t, r.outcome, NotRun)
	assert.Equal(t, r.status, 503)
	assert.Assert(t, r.header.Get("Retry-After") != "")
	s.settled()
	s.clock.Advance(probeWait)
	assert.Equal(t, s.do("POST", "/services/incentives/a", "pay", HeaderKey, "k").outcome, Ran)
	assert.Equal(t, s.runs("k"), 1)
}

// The entry VM stood still after it won the claim, for so long that the claim
// may be forgotten and the key run by a repeat elsewhere. It must not send by
// it any more; the caller is told that nothing ran.
func TestOldClaimIsNotSentBy(t *testing.T) {
	s := newIdleStage(t, 1, faketarget.Options{}, nil)
	s.claims.window = -time.Second
	r := s.do("POST", "/services/incentives/a", "pay", HeaderKey, "k")
	assert.Equal(t, r.outcome, NotRun)
	assert.Equal(t, s.runs("k"), 0)
	s.settled()
	s.claims.window = time.Hour
	assert.Equal(t, s.do("POST", "/services/incentives/a", "pay", HeaderKey, "k").outcome, Ran)
}

// An answer larger than what is kept passes whole; its repeat is told that the
// request ran.
func TestLargeAnswerIsNotKept(t *testing.T) {
	s := newIdleStage(t, 1, faketarget.Options{}, func(o *Options) { o.Limits.KeptAnswerBytes = 10 })
	assert.Equal(t, s.do("POST", "/services/incentives/a", "pay", HeaderKey, "k").status, 200)
	s.settled()
	r := s.do("POST", "/services/incentives/a", "pay", HeaderKey, "k")
	assert.Equal(t, r.status, 409)
	assert.Equal(t, r.outcome, Ran)
	assert.Equal(t, s.runs("k"), 1)
}

// within returns the next reply, and gives up after a bounded time.
func within(t testing.TB, replies <-chan reply) reply {
	t.Helper()
	select {
	case r := <-replies:
		return r
	case <-time.After(10 * time.Second):
		t.Fatal("no reply")
		return reply{}
	}
}

// waitFor polls until ok, and gives up after a bounded time.
func waitFor(t testing.TB, ok func() bool) {
	t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("waited in vain")
}
