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

// Each case sends a second request with a key after the first one has run and was
// recorded. No request may run a second time.
func TestRepeatedKey(t *testing.T) {
	cases := []struct {
		name    string
		change  func(*testEnv)
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
		{"outcome unknown", func(s *testEnv) { s.setClaims(claim.Result{State: claim.Unknown}) }, "/a", "pay", "firm", 409, Unknown, 1},
		{"still running elsewhere", func(s *testEnv) { s.setClaims(claim.Result{State: claim.Running}) }, "/a", "pay", "firm", 409, Unknown, 1},
		{"answer not kept", func(s *testEnv) {
			s.setClaims(claim.Result{State: claim.Recorded, Answer: claim.Answer{Status: 201}})
		}, "/a", "pay", "firm", 409, Ran, 1},
		{"store down, certain", func(s *testEnv) { s.claims.fail = &claim.Error{Certain: true, Err: errors.New("down")} }, "/a", "pay", "firm", 503, NotRun, 1},
		{"store down, uncertain", func(s *testEnv) { s.claims.fail = &claim.Error{Err: errors.New("reply lost")} }, "/a", "pay", "firm", 503, Unknown, 1},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newIdleTestEnv(t, 2, faketarget.Options{}, nil)
			first := s.do("POST", "/services/incentives/a", "pay", HeaderIdempotencyKey, `"k"`, HeaderCaller, "firm")
			assert.Equal(t, first.outcome, Ran)
			s.waitUntilRecorded()
			if tc.change != nil {
				tc.change(s)
			}
			r := s.do("POST", "/services/incentives"+tc.path, tc.body, HeaderIdempotencyKey, "k", HeaderCaller, tc.caller)
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

// setClaims sets the result of all existing claims.
func (s *testEnv) setClaims(r claim.Result) {
	s.claims.mu.Lock()
	defer s.claims.mu.Unlock()
	for _, c := range s.claims.claims {
		c.result = r
	}
}

// A client in a retry loop sends fifty concurrent requests with one key. One of
// them must run, the others must be told that it may be running, and only one of
// them may cost a call of the claim store.
func TestConcurrentRequestsWithOneKey(t *testing.T) {
	s := newIdleTestEnv(t, 2, faketarget.Options{}, nil)
	release := make(chan struct{})
	s.claims.hold = release
	releaseOnce := sync.OnceFunc(func() { close(release) })
	t.Cleanup(releaseOnce)
	var wg sync.WaitGroup
	replies := make(chan reply, 50)
	for range 50 {
		wg.Go(func() { replies <- s.do("POST", "/services/incentives/a", "pay", HeaderIdempotencyKey, "k") })
	}
	for range 49 {
		r := nextReply(t, replies)
		assert.Equal(t, r.status, 409)
		assert.Equal(t, r.outcome, Unknown)
		assert.Assert(t, r.header.Get("Retry-After") != "")
	}
	releaseOnce()
	assert.Equal(t, nextReply(t, replies).outcome, Ran)
	wg.Wait()
	assert.Equal(t, s.runs("k"), 1)
	assert.Equal(t, s.claims.asked, 1)
}

// The caller disconnects while its request, which runs at most once, is running.
// The run must continue and its outcome be recorded: a repeat must get the
// response without another run.
func TestCallerDisconnectsWhileRequestRuns(t *testing.T) {
	s := newTestEnv(t, 1, faketarget.Options{}, nil)
	s.targets[0].SetFault(faketarget.Late, 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan reply)
	go func() {
		done <- s.doContext(ctx, "POST", "/services/incentives/a", strings.NewReader("pay"), HeaderIdempotencyKey, "k")
	}()
	waitFor(t, func() bool { return s.targets[0].Counts().Running == 1 })
	cancel()
	assert.Assert(t, (<-done).err != nil)
	s.waitUntilRecorded()
	r := s.do("POST", "/services/incentives/a", "pay", HeaderIdempotencyKey, "k")
	assert.Equal(t, r.outcome, Ran)
	c := s.targets[0].Counts()
	assert.Equal(t, c.Runs["k"], 1)
	assert.Equal(t, c.Finished, 1)
}

// A request is refused after its key was claimed. The caller must be told
// "not-run" and the claim released, so that the same key can run later.
func TestNotRunReleasesTheClaim(t *testing.T) {
	s := newIdleTestEnv(t, 1, faketarget.Options{}, nil)
	s.targets[0].SetFault(faketarget.Refuse, 1)
	r := s.do("POST", "/services/incentives/a", "pay", HeaderIdempotencyKey, "k")
	assert.Equal(t, r.outcome, NotRun)
	assert.Equal(t, r.status, 503)
	assert.Assert(t, r.header.Get("Retry-After") != "")
	s.waitUntilRecorded()
	s.clock.Advance(probeWait)
	assert.Equal(t, s.do("POST", "/services/incentives/a", "pay", HeaderIdempotencyKey, "k").outcome, Ran)
	assert.Equal(t, s.runs("k"), 1)
}

// The entry VM stalls after it won the claim, for so long that the claim may
// expire and a repeat of the key may run elsewhere. It must not send the request
// any more, and the caller must be told that nothing ran.
func TestExpiredClaimIsNotSent(t *testing.T) {
	s := newIdleTestEnv(t, 1, faketarget.Options{}, nil)
	s.claims.window = -time.Second
	r := s.do("POST", "/services/incentives/a", "pay", HeaderIdempotencyKey, "k")
	assert.Equal(t, r.outcome, NotRun)
	assert.Equal(t, s.runs("k"), 0)
	s.waitUntilRecorded()
	s.claims.window = time.Hour
	assert.Equal(t, s.do("POST", "/services/incentives/a", "pay", HeaderIdempotencyKey, "k").outcome, Ran)
}

// A response that is too large to be recorded must be relayed in full; a repeat
// must be told that the request ran.
func TestLargeAnswerIsNotKept(t *testing.T) {
	s := newIdleTestEnv(t, 1, faketarget.Options{}, func(o *Options) { o.Limits.KeptAnswerBytes = 10 })
	assert.Equal(t, s.do("POST", "/services/incentives/a", "pay", HeaderIdempotencyKey, "k").status, 200)
	s.waitUntilRecorded()
	r := s.do("POST", "/services/incentives/a", "pay", HeaderIdempotencyKey, "k")
	assert.Equal(t, r.status, 409)
	assert.Equal(t, r.outcome, Ran)
	assert.Equal(t, s.runs("k"), 1)
}

// nextReply returns the next reply, and fails the test after 10 s without one.
func nextReply(t testing.TB, replies <-chan reply) reply {
	t.Helper()
	select {
	case r := <-replies:
		return r
	case <-time.After(10 * time.Second):
		t.Fatal("no reply")
		return reply{}
	}
}

// waitFor polls until ok returns true, and fails the test after 2000 polls.
func waitFor(t testing.TB, ok func() bool) {
	t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatal("condition not met after 2000 polls")
}
