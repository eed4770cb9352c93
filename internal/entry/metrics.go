package entry

import (
	"expvar"

	"github.com/pumicestage/pumicestage/policy/dispatch"
	"github.com/pumicestage/pumicestage/policy/retry"
)

// metrics holds the counters of responses to callers and of attempts at targets.
type metrics struct {
	all      expvar.Map
	outcomes expvar.Map // responses by Pumicestage-Outcome
	problems expvar.Map // problem documents by type
	attempts expvar.Map // attempts to send to a target, by how they ended
	retries  expvar.Map // verdicts of the retry policy
	broken   expvar.Int // responses aborted after they had begun

	unsettled expvar.Int // claims whose outcome could not be recorded
}

func newMetrics() *metrics {
	m := &metrics{}
	m.all.Set("outcomes", &m.outcomes)
	m.all.Set("problems", &m.problems)
	m.all.Set("attempts", &m.attempts)
	m.all.Set("retries", &m.retries)
	m.all.Set("broken_answers", &m.broken)
	m.all.Set("unsettled_claims", &m.unsettled)
	return m
}

func (m *metrics) outcome(o Outcome) { m.outcomes.Add(string(o), 1) }

// problem counts a problem document by its type and outcome.
func (m *metrics) problem(p *Problem) {
	m.outcome(p.Outcome)
	m.problems.Add(p.Type, 1)
}

func (m *metrics) attempt(kind dispatch.OutcomeKind) { m.attempts.Add(kind.String(), 1) }

func (m *metrics) retry(v retry.Verdict) { m.retries.Add(v.String(), 1) }

// Metrics returns the server's counters, for the daemon to publish with expvar.
func (s *Server) Metrics() expvar.Var { return &s.metrics.all }
