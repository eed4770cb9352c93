package jobs

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
)

const (
	// endedRetention is how long an ended job can be queried. It is many times
	// longer than the store may delay a request, so a late copy of the write that
	// created a group can't create it again after its deletion.
	endedRetention = time.Hour
	// maxExpiredGroups bounds the groups deleted by one pass.
	maxExpiredGroups = 16
)

// deleteExpired deletes groups whose jobs all ended more than endedRetention ago.
func (p *pass) deleteExpired(ctx context.Context) error {
	txn := infra.Txn{}
	for key, g := range p.mirror.all() {
		if len(txn.If) == maxExpiredGroups {
			break
		}
		if g.endedBy(p.now.Add(-endedRetention)) {
			txn.If = append(txn.If, infra.Cond{Key: key, ModRevision: g.rev})
			txn.Then = append(txn.Then, infra.Delete(key))
		}
	}
	if len(txn.If) == 0 {
		return nil
	}
	_, err := p.commit(ctx, txn)
	if infra.IsKind(err, infra.KindConflict) {
		return nil // another entry VM changed or deleted one of them
	}
	if err == nil {
		for _, c := range txn.If {
			p.mirror.drop(c.Key)
		}
	}
	return wrapError("delete expired jobs", "", err)
}

// endedBy reports whether all jobs of the group had ended by t.
func (g *group) endedBy(t time.Time) bool {
	for i := range g.Jobs {
		if !g.Jobs[i].State.Ended() || g.Jobs[i].Since.After(t) {
			return false
		}
	}
	return true
}
