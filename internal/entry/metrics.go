package entry

import (
	"expvar"

	"github.com/pumicestage/pumicestage/policy/dispatch"
	"github.com/pumicestage/pumicestage/policy/retry"
)

// metrics counts what callers got and what targets did.
type metrics struct {
	all      expvar.Map
	outcomes expvar.Map // answers by Pumicestage-Outcome
	problems expvar.Map // problem documents by type
	attempts expvar.Map // stays at targets by ending
	retries  expvar.Map // by the retry policy's verdict
	broken   expvar.Int // answers cut off visibly

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

func (m *metrics) problem(p *Problem) {
	m.outcome(p.Outcome)
	m.problems.Add(p.Type, 1)
}

func (m *metrics) attempt(how dispatch.OutcomeKind) { m.attempts.Add(how.String(), 1) }

func (m *metrics) retry(v retry.Verdict) { m.retries.Add(v.String(), 1) }

// Metrics returns the server's counters, for the daemon to publish by expvar.
func (s *Server) Metrics() expvar.Var { return &s.metrics.all }
