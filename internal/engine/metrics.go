package engine

import (
	"expvar"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// Metrics holds the counters of an engine. A nil *Metrics counts nothing.
type Metrics struct {
	Starts       *expvar.Map // start orders, by outcome
	Stops        *expvar.Map // stop orders, by outcome
	Polls        *expvar.Map // polls of workers, by outcome
	Txns         *expvar.Map // store transactions, by kind of error, or "ok"
	VMOrders     *expvar.Map // orders for VMs, by kind
	ShareChanges *expvar.Map // transactions that change cells' shares of workspace limits, by outcome
	Advice       *expvar.Map // requests to the advisor by outcome, and the workers that they named and that were allowed
	LostRuns     *expvar.Map // runs that ended without their worker listing the end, by cause
	Capacity     *expvar.Map // the fleet's capacity plan, at its owner
}

// NewMetrics returns counters that are not published.
func NewMetrics() *Metrics {
	m := func() *expvar.Map { return new(expvar.Map).Init() }
	return &Metrics{Starts: m(), Stops: m(), Polls: m(), Txns: m(), VMOrders: m(), ShareChanges: m(), Advice: m(), LostRuns: m(), Capacity: m()}
}

var outcomeNames = map[Outcome]string{
	OutcomeUnknown: "unanswered", OutcomeOK: "ok", OutcomeFenced: "fenced", OutcomeOldRun: "old_run", OutcomeLate: "late",
	OutcomeNoCapacity: "no_room", OutcomeNoTicket: "no_ticket", OutcomeRefused: "refused", OutcomeOtherIncarnation: "other_life",
	OutcomeNotSent: "not_sent",
}

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

func (m *Metrics) countStart(o Outcome) {
	if m != nil {
		m.Starts.Add(o.String(), 1)
	}
}

func (m *Metrics) countStop(o Outcome) {
	if m != nil {
		m.Stops.Add(o.String(), 1)
	}
}

func (m *Metrics) countPoll(o Outcome) {
	if m != nil {
		m.Polls.Add(o.String(), 1)
	}
}

func (m *Metrics) countTxn(err error) {
	if m == nil {
		return
	}
	if err == nil {
		m.Txns.Add("ok", 1)
		return
	}
	m.Txns.Add(infra.KindOf(err).String(), 1)
}

// countShareChange counts a transaction that changes the cell's shares of workspace limits. If it is
// neither stored nor failed with err, another cell had changed a ledger first.
func (m *Metrics) countShareChange(stored bool, err error) {
	switch {
	case m == nil:
	case err != nil:
		m.ShareChanges.Add(infra.KindOf(err).String(), 1)
	case stored:
		m.ShareChanges.Add("stored", 1)
	default:
		m.ShareChanges.Add("another cell was first", 1)
	}
}

// countAdvice counts a request to the advisor.
func (m *Metrics) countAdvice(o *AdviceOrder, a *AdviceAnswer) {
	switch {
	case m == nil:
	case a.TimedOut:
		m.Advice.Add("timed_out", 1)
	case a.Err != nil:
		m.Advice.Add("failed", 1)
	default:
		m.Advice.Add("answered", 1)
		m.Advice.Add("workers_named", int64(len(o.Workers)))
		m.Advice.Add("workers_allowed", int64(len(a.Tickets)))
	}
}

func (m *Metrics) countLostRun(cause lossCause) {
	if m != nil {
		m.LostRuns.Add(string(cause), 1)
	}
}

// CountVMOrder counts an order for a VM under its kind.
func (m *Metrics) CountVMOrder(kind string) {
	if m != nil {
		m.VMOrders.Add(kind, 1)
	}
}

// SetCapacity sets a number of VMs of the capacity plan.
func (m *Metrics) SetCapacity(name string, vms int) {
	if m == nil {
		return
	}
	v, found := m.Capacity.Get(name).(*expvar.Int)
	if !found {
		v = new(expvar.Int)
		m.Capacity.Set(name, v)
	}
	v.Set(int64(vms))
}

// CountCapacity counts an event of the capacity plan under its name.
func (m *Metrics) CountCapacity(name string) {
	if m != nil {
		m.Capacity.Add(name, 1)
	}
}
