package jobs

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/placement"
)

// pass is one reconciliation pass. The time, the tasks and the platform's VMs
// are read once when it begins; the records are read again after the first
// transitions.
type pass struct {
	*Jobs
	now       time.Time
	tasks     map[model.AttemptID]infra.Task
	listedVMs map[model.VMID]infra.Machine
	records   []*Record // all jobs, sorted by ID
	again     bool      // another pass should follow immediately
}

// pass does one reconciliation pass, or nothing while no declaration is known. A
// failed part doesn't keep the other parts from running; their errors are joined.
// It reports whether another pass should follow immediately.
func (j *Jobs) pass(ctx context.Context) (again bool, err error) {
	j.counts.passes.Add(1)
	if j.view.Load().Declaration == nil {
		return false, nil
	}
	// The store is read before the platform: a task whose record says Running
	// was started before the list was made, so if the list lacks it, the task
	// no longer exists.
	if err := j.mirror.refresh(ctx); err != nil {
		return false, err
	}
	if err := j.loadLearned(ctx); err != nil {
		return false, err
	}
	p, err := j.newPass(ctx)
	if err != nil {
		return false, err
	}
	errs := []error{p.observe(ctx), p.stopOrphans(ctx), p.updateLearned(ctx)}
	p.collectRecords()
	errs = append(errs, p.evacuateLeaving(ctx), p.schedule(ctx), p.renewTasks(ctx), p.deleteExpired(ctx))
	return p.again, errors.Join(errs...)
}

// newPass collects the records and then lists the platform's tasks and VMs.
func (j *Jobs) newPass(ctx context.Context) (*pass, error) {
	p := &pass{Jobs: j, now: j.clock.Now(), tasks: make(map[model.AttemptID]infra.Task), listedVMs: make(map[model.VMID]infra.Machine)}
	p.collectRecords()
	tasks, err := j.machines.Tasks(ctx)
	if err != nil {
		return nil, wrapError("list tasks", "", err)
	}
	for _, t := range tasks {
		p.tasks[t.Attempt] = t
	}
	list, err := j.machines.List(ctx)
	if err != nil {
		return nil, wrapError("list machines", "", err)
	}
	for _, m := range list.Machines {
		p.listedVMs[m.VM] = m
	}
	return p, nil
}

// collectRecords reloads p.records from the mirror.
func (p *pass) collectRecords() {
	p.records = p.records[:0]
	for _, g := range p.mirror.all() {
		for i := range g.Jobs {
			p.records = append(p.records, &g.Jobs[i])
		}
	}
	slices.SortFunc(p.records, func(a, b *Record) int { return cmp.Compare(a.ID, b.ID) })
}

// workers converts the VMs of the view to workers for placement.
func (p *pass) workers() []placement.Worker {
	snap := p.view.Load()
	used := make(map[model.VMID]model.Resources)
	for _, r := range p.records {
		if r.State.holdsCapacity() {
			used[r.VM] = used[r.VM].Add(r.Size)
		}
	}
	workers := make([]placement.Worker, 0, len(snap.VMs))
	for id, vm := range snap.VMs {
		w := placement.Worker{ID: id, Zone: vm.Zone, Rack: vm.Rack, Pool: vm.Pool, Capacity: vm.Capacity, Used: used[id], MaintenanceSoon: p.maintenanceSoon(id)}
		w.ClosedReason, w.Probe = p.closedReason(&vm.VM)
		workers = append(workers, w)
	}
	return workers
}

// closedReason returns why a VM takes no new tasks, or "" if it does. With probe
// it takes one job at a time as a test. The platform's list lags: a VM listed
// as down may be up again, which leaves a little capacity unused, and one listed
// as live may be gone, which costs a refused start.
func (p *pass) closedReason(vm *model.VM) (reason string, probe bool) {
	m, listed := p.listedVMs[vm.ID]
	switch {
	case vm.State != model.VMInPool:
		return "it is " + string(vm.State), false
	case listed && !m.Live:
		return "it is down", false
	case m.Leaving:
		return "the platform takes it away", false
	}
	return p.learned.workerStatus(vm.ID, p.now)
}

// schedule computes a placement plan, preempts and starts tasks by it, and
// records why the remaining jobs wait.
func (p *pass) schedule(ctx context.Context) error {
	plan := placement.MakePlan(p.snapshot())
	if err := p.preempt(ctx, plan.Preemptions); err != nil {
		return err
	}
	started := p.start(ctx, plan.Placements)
	return errors.Join(started, p.recordRefusals(ctx, plan.Refused))
}

// snapshot returns the input of the placement plan: the workers, the waiting jobs,
// and the running ones. Starting jobs count as stopping, so that they are not
// preempted.
func (p *pass) snapshot() placement.Snapshot {
	d := p.view.Load().Declaration
	s := placement.Snapshot{Workers: p.workers(), Teams: d.Teams, Weights: placement.WeightsOf(d.Weights)}
	for _, r := range p.records {
		switch {
		case r.State == Waiting || r.State == Unplaceable:
			s.Waiting = append(s.Waiting, placement.Request{Job: &r.Job, Size: p.sizeOf(r), LastVM: r.VM, Avoid: r.FailedOn})
		case r.State.holdsCapacity():
			leaving := r.CancelBy != "" || r.State == Starting
			s.Running = append(s.Running, placement.Task{Job: &r.Job, VM: r.VM, Size: r.Size, Since: r.Since, Stopping: leaving})
		}
	}
	return s
}

// recordRefusals stores why jobs wait, if the violated constraint has changed. A
// reason that only names another nearest worker is not written: with 20,000
// waiting jobs that would be hundreds of writes in every pass.
func (p *pass) recordRefusals(ctx context.Context, refused []placement.Refusal) error {
	var changes []transition
	for _, f := range refused {
		want := Waiting
		if f.Permanent {
			want = Unplaceable
		}
		reason := string(f.Constraint) + ": " + f.Detail
		if r, ok := p.mirror.find(f.Job); !ok || r.State == want && sameConstraint(r.Reason, reason) {
			continue
		}
		changes = append(changes, transition{f.Job, func(r *Record) bool {
			if r.State != Waiting && r.State != Unplaceable {
				return false
			}
			r.enter(want, p.now, reason)
			return true
		}})
	}
	_, err := p.write(ctx, changes)
	return err
}

// sameConstraint reports whether two reasons begin with the same constraint, the
// text before the first colon.
func sameConstraint(a, b string) bool {
	constraint := func(s string) string {
		for i := range s {
			if s[i] == ':' {
				return s[:i]
			}
		}
		return s
	}
	return constraint(a) == constraint(b)
}
