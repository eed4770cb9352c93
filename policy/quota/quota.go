// Package quota decides how much each team may use: its guaranteed share at any
// time, and idle capacity beyond it if the job that uses it can be preempted.
//
// Load pattern: one team submits thousands of jobs while others are idle, and
// then an idle team becomes active again. Without borrowing, capacity is idle
// while jobs wait; with borrowing that can't be preempted the guarantee is void.
package quota

import "github.com/pumicestage/pumicestage/policy/model"

// Verdict tells whether a job may run with respect to its team's guarantee.
type Verdict int8

// The verdicts.
const (
	// Within: the team's use including the job is within its guarantee.
	Within Verdict = iota
	// Borrows: the job uses idle capacity beyond the guarantee and can be preempted.
	Borrows
	// Waits: the job exceeds the guarantee and can't be preempted once it runs.
	Waits
)

// Tracker counts what each team uses. Where no team is declared there are no
// quotas and the verdict on every job is Within.
type Tracker struct {
	guaranteed map[model.TeamName]model.Resources
	used       map[model.TeamName]model.Resources
}

// NewTracker returns a Tracker in which nothing is used. teams are all that are
// declared.
func NewTracker(teams []model.Team) *Tracker {
	b := &Tracker{used: make(map[model.TeamName]model.Resources)}
	if len(teams) == 0 {
		return b
	}
	b.guaranteed = make(map[model.TeamName]model.Resources, len(teams))
	for _, t := range teams {
		b.guaranteed[t.Name] = t.Guaranteed
	}
	return b
}

// Reserve adds size to what the team uses.
func (b *Tracker) Reserve(team model.TeamName, size model.Resources) {
	b.used[team] = b.used[team].Add(size)
}

// Release subtracts size, which was reserved before, from what the team uses.
func (b *Tracker) Release(team model.TeamName, size model.Resources) {
	b.used[team] = b.used[team].Sub(size)
}

// Used returns what the team uses.
func (b *Tracker) Used(team model.TeamName) model.Resources { return b.used[team] }

// Guaranteed returns the team's guarantee and true, or false where there are no
// quotas.
func (b *Tracker) Guaranteed(team model.TeamName) (model.Resources, bool) {
	return b.guaranteed[team], b.guaranteed != nil
}

// OverGuarantee reports whether the team uses more than its guarantee; it is false
// where there are no quotas.
func (b *Tracker) OverGuarantee(team model.TeamName) bool {
	return b.guaranteed != nil && !b.used[team].Fits(b.guaranteed[team])
}

// Check returns the verdict on a job of the size. A job that is not repeatable is
// never stopped, so it never borrows: the borrowed capacity could not be returned
// when its owner needs it.
func (b *Tracker) Check(job *model.Job, size model.Resources) Verdict {
	switch {
	case b.guaranteed == nil || b.used[job.Team].Add(size).Fits(b.guaranteed[job.Team]):
		return Within
	case Preemptible(job):
		return Borrows
	}
	return Waits
}

// NeverFits reports whether the job can't run even if all capacity is idle, because
// it may not borrow and is larger than the team's whole guarantee.
func (b *Tracker) NeverFits(job *model.Job, size model.Resources) bool {
	return b.guaranteed != nil && !Preemptible(job) && !size.Fits(b.guaranteed[job.Team])
}

// Preemptible reports whether a running job may be stopped to free its worker:
// whether it may run again.
func Preemptible(job *model.Job) bool { return job.Repeatable }

// UsageRatio returns the largest ratio of use to guarantee among the team's kinds
// of resource. A team without a guarantee is ordered after all others as soon as
// it uses anything.
func (b *Tracker) UsageRatio(team model.TeamName) float64 {
	used, guaranteed := b.used[team], b.guaranteed[team]
	return max(ratio(used.MilliCPU, guaranteed.MilliCPU), ratio(used.MemoryMB, guaranteed.MemoryMB), ratio(used.Accelerators, guaranteed.Accelerators))
}

// noGuaranteeRatio is the ratio per unit that is used without a guarantee. It is
// larger than the ratio of any team with a guarantee.
const noGuaranteeRatio = 1e6

// ratio returns used relative to guaranteed; 0 where nothing is used.
func ratio(used, guaranteed int64) float64 {
	switch {
	case used <= 0:
		return 0
	case guaranteed <= 0:
		return noGuaranteeRatio * float64(used)
	}
	return float64(used) / float64(guaranteed)
}
