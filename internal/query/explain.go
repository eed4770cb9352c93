package query

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/pumicestage/pumicestage/internal/lang"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// explain sets the answer's explanation: the current state of the subject and
// the reasons for it, sorted by time.
func (e *Engine) explain(ctx context.Context, s *view.Snapshot, q lang.Explain, a *Answer) error {
	x := &Explanation{Subject: q.Subject, Name: q.Name}
	var err error
	switch q.Subject {
	case lang.SubjectVM:
		err = e.explainVM(ctx, s, x, a)
	case lang.SubjectWave:
		err = e.explainWave(ctx, s, x, a)
	case lang.SubjectJob:
		err = e.explainJob(ctx, x)
	case lang.SubjectService:
		err = e.explainService(ctx, s, x, a)
	default:
		err = &Error{Code: CodeInvalid, Detail: fmt.Sprintf("%s cannot be explained", q.Subject)}
	}
	if err != nil {
		return err
	}
	e.addHistory(ctx, x)
	sort.SliceStable(x.Reasons, func(i, j int) bool { return x.Reasons[i].At.Before(x.Reasons[j].At) })
	a.Explanation = x
	return nil
}

// addHistory adds the audit trail's entries on the subject. An explanation is
// useful without them, so a read error becomes a reason in the explanation
// instead of failing the question.
func (e *Engine) addHistory(ctx context.Context, x *Explanation) {
	if e.History == nil {
		return
	}
	past, err := e.History.Reasons(ctx, string(x.Subject)+" "+x.Name)
	if err != nil {
		x.add(time.Time{}, "the audit trail cannot be read now: %v", err)
		return
	}
	x.Reasons = append(x.Reasons, past...)
}

func (x *Explanation) add(at time.Time, format string, args ...any) {
	x.Reasons = append(x.Reasons, Reason{At: at, Text: fmt.Sprintf(format, args...)})
}

func (e *Engine) explainVM(ctx context.Context, s *view.Snapshot, x *Explanation, a *Answer) error {
	vm, ok := s.VMs[model.VMID(x.Name)]
	if !ok {
		return e.explainUnknownVM(s, x)
	}
	x.CurrentState = fmt.Sprintf("%s, pool %s, %s as this entry VM sees it", vm.State, vm.Pool, e.Health(vm.ID))
	for _, decl := range s.Declaration.VMs {
		if decl.ID == vm.ID {
			x.add(time.Time{}, "declared in pool %s, rack %s, zone %s (generation %d)", decl.Pool, decl.Rack, decl.Zone, s.Generation())
		}
	}
	x.add(vm.Since, "%s since then%s", vm.State, reasonSuffix(vm.Reason, vm.Change))
	if vm.Holder != "" {
		x.add(vm.Since, "held by %s", vm.Holder)
	}
	if vm.MoveTo != "" {
		x.add(vm.Since, "goes to pool %s once it is empty", vm.MoveTo)
	}
	if vm.Attempt != "" {
		x.add(vm.Since, "attempt %s at the platform is under way", vm.Attempt)
	}
	e.addHolder(ctx, s, x, vm.Holder)
	a.note(e.addBudgets(ctx, s, x, s.Declaration.ServicesOf(vm.Pool), vm.Zone))
	return nil
}

func (e *Engine) explainUnknownVM(s *view.Snapshot, x *Explanation) error {
	for _, decl := range s.Declaration.VMs {
		if string(decl.ID) == x.Name {
			x.CurrentState = "declared, not yet taken into the fleet"
			x.add(time.Time{}, "declared in pool %s, rack %s, zone %s (generation %d)", decl.Pool, decl.Rack, decl.Zone, s.Generation())
			return nil
		}
	}
	return notFound("no VM %q", x.Name)
}

// addHolder adds the progress of the wave that holds the VM. It does nothing if
// the holder is not a wave.
func (e *Engine) addHolder(ctx context.Context, s *view.Snapshot, x *Explanation, holder string) {
	name, isWave := strings.CutPrefix(holder, "wave ")
	if !isWave {
		return
	}
	waves, err := e.waves(ctx, s)
	if err != nil {
		x.add(time.Time{}, "where wave %s stands cannot be told now: %v", name, err)
		return
	}
	for _, w := range waves {
		if string(w.Name) == name {
			x.add(w.Started, "wave %s started%s; it is %s, %d of %d VMs done%s", w.Name, actorSuffix(w.StartedBy), w.State, w.Done, w.Total, reasonSuffix(w.Reason, ""))
		}
	}
}

// addBudgets adds the budget status of the services and returns the note from
// budgets. An empty zone selects the budgets of all zones.
func (e *Engine) addBudgets(ctx context.Context, s *view.Snapshot, x *Explanation, services []*model.Service, zone model.ZoneName) string {
	budgets, note := e.budgets(ctx, s)
	for _, svc := range services {
		for _, b := range budgets {
			if b.Service != svc.Name || b.Zone != "" && zone != "" && b.Zone != zone {
				continue
			}
			x.add(time.Time{}, "%s", b.sentence())
		}
	}
	return note
}

// sentence describes the headroom for an explanation.
func (h Headroom) sentence() string {
	where := ""
	if h.Zone != "" {
		where = " in zone " + string(h.Zone)
	}
	text := fmt.Sprintf("service %s has %d of %d VMs available%s and needs %d", h.Service, h.Available, h.VMs, where, h.Required)
	switch spare := h.Spare(); {
	case spare < 0:
		return fmt.Sprintf("%s: its budget is broken by %d", text, -spare)
	case spare == 0:
		return text + ": no planned stop may start"
	default:
		return fmt.Sprintf("%s: %d more may go", text, spare)
	}
}

func (e *Engine) explainWave(ctx context.Context, s *view.Snapshot, x *Explanation, a *Answer) error {
	waves, err := e.waves(ctx, s)
	if err != nil {
		return err
	}
	for _, w := range waves {
		if string(w.Name) != x.Name {
			continue
		}
		e.addWave(s, x, w)
		a.note(e.addBudgets(ctx, s, x, servicesOf(s.Declaration, w.Pools), ""))
		return nil
	}
	return notFound("no wave %q", x.Name)
}

func (e *Engine) addWave(s *view.Snapshot, x *Explanation, w WaveStatus) {
	x.CurrentState = fmt.Sprintf("%s, %d of %d VMs done, %d out, %d failed", w.State, w.Done, w.Total, w.OutOfService, w.Failed)
	x.add(time.Time{}, "goes through pools %s", joinNames(w.Pools))
	if !w.Started.IsZero() {
		x.add(w.Started, "started%s%s", actorSuffix(w.StartedBy), reasonSuffix("", w.Run))
	}
	if w.Change != w.Run {
		x.add(time.Time{}, "set to %s%s%s", w.State, actorSuffix(w.Actor), reasonSuffix("", w.Change))
	}
	for _, vm := range sortedVMs(s) {
		if vm.Holder == "wave "+x.Name {
			x.add(vm.Since, "VM %s is %s%s", vm.ID, vm.State, reasonSuffix(vm.Reason, ""))
		}
	}
	if w.Reason != "" {
		x.add(e.Clock.Now(), "now: %s", w.Reason)
	}
	if !w.Ended.IsZero() {
		x.add(w.Ended, "ended as %s", w.State)
	}
	if w.Forecast > 0 && w.Ended.IsZero() {
		x.add(e.Clock.Now(), "expected to end in %s", w.Forecast.Round(time.Second))
	}
}

// servicesOf returns the services that run in any of the pools, each once.
func servicesOf(d *model.Declaration, pools []model.PoolName) []*model.Service {
	seen := make(map[model.ServiceName]bool)
	var found []*model.Service
	for _, p := range pools {
		for _, svc := range d.ServicesOf(p) {
			if !seen[svc.Name] {
				seen[svc.Name] = true
				found = append(found, svc)
			}
		}
	}
	return found
}

func (e *Engine) explainJob(ctx context.Context, x *Explanation) error {
	jobs, err := e.jobs(ctx)
	if err != nil {
		return err
	}
	for _, j := range jobs {
		if string(j.ID) != x.Name {
			continue
		}
		x.CurrentState = j.State
		if j.VM != "" {
			x.CurrentState += " on VM " + string(j.VM)
		}
		x.add(j.SubmittedAt, "submitted by team %s, kind %s, class %s", j.Team, j.Kind, j.Class)
		x.Reasons = append(x.Reasons, j.History...)
		if j.Reason != "" {
			x.add(j.Since, "%s", j.Reason)
		}
		return nil
	}
	return notFound("no job %q", x.Name)
}

func (e *Engine) explainService(ctx context.Context, s *view.Snapshot, x *Explanation, a *Answer) error {
	svc := s.Declaration.Service(model.ServiceName(x.Name))
	if svc == nil {
		return notFound("no service %q; declared are %s", x.Name, serviceNames(s.Declaration))
	}
	x.CurrentState = fmt.Sprintf("pools %s, limit %d", joinNames(svc.Pools), svc.Limit)
	x.add(time.Time{}, "its budget: %s", budgetText(svc))
	for _, vm := range sortedVMs(s) {
		down := vm.State != model.VMInPool || e.Health(vm.ID) != model.HealthHealthy
		if down && inPools(svc.Pools, vm.Pool) {
			x.add(vm.Since, "VM %s does not count: %s, %s%s", vm.ID, vm.State, e.Health(vm.ID), reasonSuffix(vm.Reason, ""))
		}
	}
	a.note(e.addBudgets(ctx, s, x, []*model.Service{svc}, ""))
	return nil
}

func inPools(pools []model.PoolName, pool model.PoolName) bool {
	for _, p := range pools {
		if p == pool {
			return true
		}
	}
	return false
}

// reasonSuffix formats a reason and a change ID to follow a state; either may
// be empty.
func reasonSuffix(reason string, change model.ChangeID) string {
	text := ""
	if reason != "" {
		text = ": " + reason
	}
	if change != "" {
		text += " (change " + string(change) + ")"
	}
	return text
}

// actorSuffix formats the name of who acted, to follow a verb; it is empty if
// the name is.
func actorSuffix(by string) string {
	if by == "" {
		return ""
	}
	return " by " + by
}
