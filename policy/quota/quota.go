// Package quota decides which team may use how much: its guaranteed share at
// any time, and idle capacity beyond it as long as that can be taken back.
//
// Load pattern: one team submits thousands of jobs while others are idle, and
// an idle team comes back. Without borrowing the fleet stands idle beside a
// queue; with borrowing that can't be taken back the guarantee is void.
package quota

import "github.com/pumicestage/pumicestage/policy/model"

// Verdict is how a job would stand against its team's guarantee.
type Verdict int8

// The standings.
const (
	// Within: the team's use with the job stays inside its guarantee.
	Within Verdict = iota
	// Borrows: the job uses idle capacity and can be taken back.
	Borrows
	// Waits: over the guarantee, and the job can't be taken back once it runs.
	Waits
)

// Tracker counts what each team uses. Where no team is declared there are no
// quotas and all work stands within.
type Tracker struct {
	guaranteed map[model.TeamName]model.Resources
	used       map[model.TeamName]model.Resources
}

// NewTracker returns a Book in which nothing is used.
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

// Reserve counts size as used by the team.
func (b *Tracker) Reserve(team model.TeamName, size model.Resources) {
	b.used[team] = b.used[team].Add(size)
}

// Release takes a Take back.
func (b *Tracker) Release(team model.TeamName, size model.Resources) {
	b.used[team] = b.used[team].Sub(size)
}

// Used returns what the team uses.
func (b *Tracker) Used(team model.TeamName) model.Resources { return b.used[team] }

// Guaranteed returns the team's guarantee; false where there are no quotas.
func (b *Tracker) Guaranteed(team model.TeamName) (model.Resources, bool) {
	return b.guaranteed[team], b.guaranteed != nil
}

// OverGuarantee reports whether the team uses more than its guarantee.
func (b *Tracker) OverGuarantee(team model.TeamName) bool {
	return b.guaranteed != nil && !b.used[team].Fits(b.guaranteed[team])
}

// Check returns how a job of the size would stand. Work that is not repeatable
// is never stopped, so it never borrows: what it borrowed could not be taken
// back when the owner of the share returns.
func (b *Tracker) Check(job *model.Job, size model.Resources) Verdict {
	switch {
	case b.guaranteed == nil || b.used[job.Team].Add(size).Fits(b.guaranteed[job.Team]):
		return Within
	case Preemptible(job):
		return Borrows
	}
	return Waits
}

// NeverFits reports whether the job can't run however idle the fleet is, because
// it may not borrow and is larger than the whole guarantee.
func (b *Tracker) NeverFits(job *model.Job, size model.Resources) bool {
	return b.guaranteed != nil && !Preemptible(job) && !size.Fits(b.guaranteed[job.Team])
}

// Preemptible reports whether a running job may be stopped to free its worker:
// it keeps its progress or may run again, and is not a not-repeatable one.
func Preemptible(job *model.Job) bool { return job.Repeatable }

// UsageRatio returns the largest share of its guarantee that the team uses in any
// dimension. A team without a guarantee is behind all others once it uses any.
func (b *Tracker) UsageRatio(team model.TeamName) float64 {
	used, share := b.used[team], b.guaranteed[team]
	return max(ratio(used.MilliCPU, share.MilliCPU), ratio(used.MemoryMB, share.MemoryMB), ratio(used.Accelerators, share.Accelerators))
}

// unowned is the ratio per unit used without any guarantee, larger than that
// of any team with one.
const unowned = 1e6

func ratio(used, share int64) float64 {
	switch {
	case used <= 0:
		return 0
	case share <= 0:
		return unowned * float64(used)
	}
	return float64(used) / float64(share)
}
