package fleet

import (
	"context"
	"sort"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/budget"
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/wave"
)

// WaveStatus is the status of a started wave for operators.
type WaveStatus struct {
	Record      WaveRecord
	Revision    infra.Revision
	Progress    wave.Progress
	Forecast    time.Duration // time until it ends; 0 if it has ended
	BlockReason string        // what limits its progress now; empty if nothing does
}

// WaveStatus returns the status of a wave; a Refusal if it was never started.
func (f *Fleet) WaveStatus(ctx context.Context, name model.WaveName) (WaveStatus, error) {
	c, err := f.readWave(ctx, name)
	if err != nil {
		return WaveStatus{}, asRefusal(err)
	}
	if c.rev == 0 {
		return WaveStatus{}, refuse(CodeNotFound, "", 0, "wave %s was never started", name)
	}
	return f.newPass().status(c), nil
}

// WaveStatuses returns the status of every started wave, sorted by name.
func (f *Fleet) WaveStatuses(ctx context.Context) ([]WaveStatus, error) {
	ws, err := f.loadWaves(ctx)
	if err != nil {
		return nil, asRefusal(err)
	}
	p := f.newPass()
	var all []WaveStatus
	for _, c := range ws {
		all = append(all, p.status(c))
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Record.Name < all[j].Record.Name })
	return all, nil
}

func (p *pass) status(c *versioned[WaveRecord]) WaveStatus {
	s := WaveStatus{Record: c.value, Revision: c.rev}
	if p.snap.Declaration == nil {
		return s
	}
	plan, _ := p.plan(&c.value)
	s.Progress = plan.Progress
	s.Forecast = plan.Forecast
	s.BlockReason = plan.Reason
	if c.value.State != WaveRunning {
		s.BlockReason = c.value.Reason
	}
	if c.value.State == WaveFinished || c.value.State == WaveCancelled {
		s.Forecast = 0
	}
	return s
}

// PlanWave returns what a wave would do now, by the planner that running waves
// use; pools as in StartWave. It changes nothing.
func (f *Fleet) PlanWave(ctx context.Context, name model.WaveName, pools []model.PoolName) (wave.Plan, error) {
	p, err := f.orderPass(ctx)
	if err != nil {
		return wave.Plan{}, asRefusal(err)
	}
	pools, err = p.wavePools(name, pools)
	if err != nil {
		return wave.Plan{}, err
	}
	plan, _ := p.plan(&WaveRecord{Name: name, Run: "what-if", Pools: pools})
	return plan, nil
}

// StopCheck tells whether a VM could be taken out of its pool.
type StopCheck struct {
	VM      model.VMID
	Allowed bool
	Why     string // why not; empty if allowed
}

// CheckStops returns for each VM whether an order could take it out of its pool
// after the VMs before it, by the same count of the budgets as the order. It
// changes nothing.
func (f *Fleet) CheckStops(ctx context.Context, vms []model.VMID) ([]StopCheck, error) {
	p, err := f.orderPass(ctx)
	if err != nil {
		return nil, asRefusal(err)
	}
	names := p.affectedServices(p.poolsOf(vms))
	r, err := f.read(ctx, vms, names, "")
	if err != nil {
		return nil, asRefusal(err)
	}
	if why := p.viewBehindLedger(r); why != "" {
		return nil, refuse(CodeUnavailable, "", 0, "%s", why)
	}
	var checks []StopCheck
	tallies := p.tallies(r, p.weights(nil))
	for _, id := range vms {
		c := StopCheck{VM: id, Why: p.stopRefusal(r, id, tallies, false)}
		c.Allowed = c.Why == ""
		if c.Allowed {
			p.addStop(&writeSet{}, r, tallies, stopRequest{}, id)
		}
		checks = append(checks, c)
	}
	return checks, nil
}

// VMStatus is the status of a VM for operators.
type VMStatus struct {
	view.VMRecord
	Health model.Health
	Live   bool // according to the platform's list of VMs
}

// VMs returns the status of every VM in the view, sorted by ID.
func (f *Fleet) VMs() []VMStatus {
	p := f.newPass()
	all := make([]VMStatus, 0, len(p.snap.VMs))
	for id, vm := range p.snap.VMs {
		all = append(all, VMStatus{VMRecord: vm, Health: f.health(id), Live: p.machines[id].Live})
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// BudgetStatus is the status of a service's availability budget for operators.
type BudgetStatus struct {
	Service  model.ServiceName
	Total    int
	Up       int
	Required int
	Spare    int          // how many more VMs may stop; negative if the budget is violated
	Reserve  wave.Reserve // the unplanned failures that waves keep spare VMs for
	Holds    bool         // whether the budget is satisfied
	Zones    map[model.ZoneName]budget.Domain
	Stops    []Stop
	Revision infra.Revision // of the ledger
}

// Budget returns the status of a service's budget; a Refusal if the service is
// not declared.
func (f *Fleet) Budget(ctx context.Context, name model.ServiceName) (BudgetStatus, error) {
	all, err := f.budgets(ctx, []model.ServiceName{name})
	if err != nil {
		return BudgetStatus{}, err
	}
	return all[0], nil
}

// Budgets returns the status of every declared service's budget; nil if no
// declaration is in force.
func (f *Fleet) Budgets(ctx context.Context) ([]BudgetStatus, error) {
	d := f.view.Load().Declaration
	if d == nil {
		return nil, nil
	}
	var names []model.ServiceName
	for i := range d.Services {
		names = append(names, d.Services[i].Name)
	}
	return f.budgets(ctx, names)
}

func (f *Fleet) budgets(ctx context.Context, names []model.ServiceName) ([]BudgetStatus, error) {
	p, err := f.orderPass(ctx)
	if err != nil {
		return nil, asRefusal(err)
	}
	for _, name := range names {
		if p.snap.Declaration.Service(name) == nil {
			return nil, refuse(CodeNotFound, "", 0, "service %s is not declared", name)
		}
	}
	r, err := f.read(ctx, nil, names, "")
	if err != nil {
		return nil, asRefusal(err)
	}
	var all []BudgetStatus
	for _, name := range names {
		all = append(all, p.budgetStatus(name, r.ledgers[name]))
	}
	return all, nil
}

func (p *pass) budgetStatus(name model.ServiceName, l *versioned[Ledger]) BudgetStatus {
	t := p.tally(p.snap.Declaration.Service(name), l.value, p.weights(nil))
	s := BudgetStatus{
		Service:  name,
		Total:    t.Total,
		Up:       t.Up,
		Required: t.Required,
		Spare:    t.Spare(),
		Reserve:  t.Reserve,
		Holds:    t.Holds(),
		Zones:    make(map[model.ZoneName]budget.Domain),
		Stops:    l.value.Stops,
		Revision: l.rev,
	}
	for zone, d := range t.Zones {
		s.Zones[zone] = *d
	}
	return s
}
