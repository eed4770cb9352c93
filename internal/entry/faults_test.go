package entry

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/faketarget"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/view"
)

func setRevision(s *view.Snapshot, r int64) { s.Revision = infra.Revision(r) }

// A target misbehaves for one request, and answers the next ones rightly. The
// caller of the first must see a broken connection or a problem that says
// "unknown", never an answer that looks whole; callers after it must get their
// own answer. The target must have been sent the request once: net/http sends a
// request again by itself where a connection it has used before breaks, be it a
// POST, as long as it bears an Idempotency-Key and no body.
func TestTargetMisbehaves(t *testing.T) {
	cases := []struct {
		fault  faketarget.Fault
		status int // 0: the connection breaks
		out    Outcome
		runs   int
	}{
		{faketarget.Short, 0, "", 1},
		{faketarget.ShortChunks, 0, "", 1},
		{faketarget.BadFraming, 0, "", 1},
		{faketarget.Unframed, 502, Unknown, 1},
		{faketarget.BadStatus, 502, Unknown, 1},
		{faketarget.Reset, 502, Unknown, 1},
		{faketarget.Silent, 502, Unknown, 1},
		{faketarget.Twice, 200, Ran, 1},
		{faketarget.Error, 500, Ran, 1},
		{faketarget.Refuse, 503, NotRun, 0},
	}
	for _, service := range []string{"tabulation", "incentives"} {
		for _, tc := range cases {
			t.Run(service+"/"+tc.fault.String(), func(t *testing.T) {
				s := newStage(t, 1, faketarget.Options{}, nil)
				path := "/services/" + service + "/x"
				assert.Equal(t, s.do("POST", path, "b", HeaderKey, "before").outcome, Ran)
				s.targets[0].SetFault(tc.fault, 1)
				r := s.do("POST", path, "", HeaderKey, "k0", "X-Request", "first")
				if tc.status == 0 {
					assert.Assert(t, !r.whole(), "%d %q looks whole", r.status, r.body)
				} else {
					assert.NilError(t, r.err)
					assert.Equal(t, r.status, tc.status, r.body)
					assert.Equal(t, r.outcome, tc.out)
				}
				assert.Equal(t, s.runs("k0"), tc.runs)
				// A refusing target is asked for its health before it gets more.
				waitFor(t, func() bool { return len(s.server.dispatch.usable()) == 1 })
				for i := range 5 {
					r := s.do("POST", path, "b", HeaderKey, fmt.Sprint("next", i), "X-Request", fmt.Sprint("next", i))
					assert.NilError(t, r.err)
					assert.Assert(t, strings.Contains(r.body, fmt.Sprintf("request=next%d ", i)), r.body)
				}
				assert.Equal(t, s.runs("k0"), tc.runs)
			})
		}
	}
}

// Targets answer each request twice while many callers ask at once. A second
// answer left on a connection would be taken for that of the next request
// there; each caller must see its own.
func TestAnswersTwiceUnderLoadReachOnlyTheirCallers(t *testing.T) {
	s := newStage(t, 2, faketarget.Options{}, nil)
	for _, target := range s.targets {
		target.SetFault(faketarget.Twice, -1)
	}
	var wg sync.WaitGroup
	for c := range 8 {
		wg.Go(func() {
			for i := range 25 {
				id := fmt.Sprintf("c%d-%d", c, i)
				r := s.do("GET", "/services/tabulation/x", "", "X-Request", id)
				if r.err != nil || r.outcome != Ran || !strings.Contains(r.body, "request="+id+" ") {
					t.Errorf("request %s got %d %q, %v", id, r.status, r.body, r.err)
				}
			}
		})
	}
	wg.Wait()
}

// The target answers after the caller's timeout. The caller is told at its
// deadline that the outcome is unknown. Where the request runs at most once, a
// repeat of its key gets the answer that came late, and nothing runs twice.
func TestLateAnswer(t *testing.T) {
	s := newStage(t, 1, faketarget.Options{}, nil)
	s.targets[0].SetFault(faketarget.Late, 2)
	header := []string{HeaderKey, "k", HeaderTimeout, "50ms"}
	r := s.do("GET", "/services/tabulation/x", "", HeaderTimeout, "50ms")
	assert.Equal(t, r.status, 504)
	assert.Equal(t, r.outcome, Unknown)

	start := time.Now()
	r = s.do("POST", "/services/incentives/x", "pay", header...)
	assert.Equal(t, r.status, 504)
	assert.Equal(t, r.outcome, Unknown)
	t.Logf("told after %v", time.Since(start))
	s.settled()
	r = s.do("POST", "/services/incentives/x", "pay", header...)
	assert.Equal(t, r.status, 200)
	assert.Equal(t, r.outcome, Ran)
	assert.Equal(t, s.runs("k"), 1)
}
