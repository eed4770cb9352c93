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

// A target misbehaves for one request and responds correctly to the next ones.
// The first caller must see an aborted connection or a problem with the outcome
// "unknown", never a response that looks complete; later callers must get their
// own responses. The request must be sent to the target only once: net/http
// itself resends a request if a reused connection breaks, even a POST, if it has
// an Idempotency-Key and no body.
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
				s := newTestEnv(t, 1, faketarget.Options{}, nil)
				path := "/services/" + service + "/x"
				assert.Equal(t, s.do("POST", path, "b", HeaderIdempotencyKey, "before").outcome, Ran)
				s.targets[0].SetFault(tc.fault, 1)
				r := s.do("POST", path, "", HeaderIdempotencyKey, "k0", "X-Request", "first")
				if tc.status == 0 {
					assert.Assert(t, !r.complete(), "%d %q looks complete", r.status, r.body)
				} else {
					assert.NilError(t, r.err)
					assert.Equal(t, r.status, tc.status, r.body)
					assert.Equal(t, r.outcome, tc.out)
				}
				assert.Equal(t, s.runs("k0"), tc.runs)
				// A target that refused is probed before it is sent further requests.
				waitFor(t, func() bool { return len(s.server.dispatch.usable()) == 1 })
				for i := range 5 {
					r := s.do("POST", path, "b", HeaderIdempotencyKey, fmt.Sprint("next", i), "X-Request", fmt.Sprint("next", i))
					assert.NilError(t, r.err)
					assert.Assert(t, strings.Contains(r.body, fmt.Sprintf("request=next%d ", i)), r.body)
				}
				assert.Equal(t, s.runs("k0"), tc.runs)
			})
		}
	}
}

// Targets respond twice to each request while many callers send requests
// concurrently. On a reused connection the second response would be taken for
// that of the next request; each caller must get the response to its own.
func TestDuplicateResponsesReachOnlyTheirCallers(t *testing.T) {
	s := newTestEnv(t, 2, faketarget.Options{}, nil)
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

// The target responds after the caller's timeout. The caller must be told at its
// deadline that the outcome is unknown. If the request runs at most once, a
// repeat of its key must get the late response, and nothing may run twice.
func TestLateResponse(t *testing.T) {
	s := newTestEnv(t, 1, faketarget.Options{}, nil)
	s.targets[0].SetFault(faketarget.Late, 2)
	header := []string{HeaderIdempotencyKey, "k", HeaderTimeout, "50ms"}
	r := s.do("GET", "/services/tabulation/x", "", HeaderTimeout, "50ms")
	assert.Equal(t, r.status, 504)
	assert.Equal(t, r.outcome, Unknown)

	start := time.Now()
	r = s.do("POST", "/services/incentives/x", "pay", header...)
	assert.Equal(t, r.status, 504)
	assert.Equal(t, r.outcome, Unknown)
	t.Logf("caller answered after %v", time.Since(start))
	s.waitUntilRecorded()
	r = s.do("POST", "/services/incentives/x", "pay", header...)
	assert.Equal(t, r.status, 200)
	assert.Equal(t, r.outcome, Ran)
	assert.Equal(t, s.runs("k"), 1)
}
