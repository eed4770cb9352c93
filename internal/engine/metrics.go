package engine

import (
	"expvar"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// Metrics counts what an engine does. The zero value of a pointer counts nothing.
type Metrics struct {
	Starts *expvar.Map // by outcome
	Stops  *expvar.Map
	Polls  *expvar.Map
	Txns   *expvar.Map
	VMs    *expvar.Map // orders for VMs, by kind
	Shares *expvar.Map // changes of what cells hold of limits, by outcome
	Lost   *expvar.Map // runs that ended without an end listed by their worker, by cause
}

// NewMetrics returns counters, not published yet.
func NewMetrics() *Metrics {
	m := func() *expvar.Map { return new(expvar.Map).Init() }
	return &Metrics{Starts: m(), Stops: m(), Polls: m(), Txns: m(), VMs: m(), Shares: m(), Lost: m()}
}

var outcomeNames = map[Outcome]string{
	OutcomeUnknown: "unanswered", OutcomeOK: "ok", OutcomeFenced: "fenced", OutcomeOldRun: "old_run", OutcomeLate: "late",
	OutcomeNoCapacity: "no_room", OutcomeNoTicket: "no_ticket", OutcomeRefused: "refused", OutcomeOtherIncarnation: "other_life",
	OutcomeNotSent: "not_sent",
}

// String returns the outcome as logs and metrics show it.
func (o Outcome) String() string { return outcomeNames[o] }

func (m *Metrics) start(o Outcome) {
	if m != nil {
		m.Starts.Add(o.String(), 1)
	}
}

func (m *Metrics) stop(o Outcome) {
	if m != nil {
		m.Stops.Add(o.String(), 1)
	}
}

func (m *Metrics) poll(o Outcome) {
	if m != nil {
		m.Polls.Add(o.String(), 1)
	}
}

func (m *Metrics) txn(err error) {
	if m == nil {
		return
	}
	if err == nil {
		m.Txns.Add("ok", 1)
		return
	}
	m.Txns.Add(infra.KindOf(err).String(), 1)
}

func (m *Metrics) share(stored bool, err error) {
	switch {
	case m == nil:
	case err != nil:
		m.Shares.Add(infra.KindOf(err).String(), 1)
	case stored:
		m.Shares.Add("stored", 1)
	default:
		m.Shares.Add("another cell was first", 1)
	}
}

func (m *Metrics) lost(cause lossCause) {
	if m != nil {
		m.Lost.Add(string(cause), 1)
	}
}

// VM counts an order for a VM.
func (m *Metrics) VM(what string) {
	if m != nil {
		m.VMs.Add(what, 1)
	}
}
