package jobs

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
)

const (
	// endedRetention is how long an ended job can be asked about. It is many times
	// what the service may hold a call back, so a late copy of the write that
	// created a group can't bring it back to life.
	endedRetention = time.Hour
	// maxExpiredGroups bounds the groups dropped by one pass.
	maxExpiredGroups = 16
)

// deleteExpired deletes groups whose jobs have all ended long ago.
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
		return nil // another entry VM was faster
	}
	if err == nil {
		for _, c := range txn.If {
			p.mirror.drop(c.Key)
		}
	}
	return wrapError("forget jobs", "", err)
}

func (g *group) endedBy(t time.Time) bool {
	for i := range g.Jobs {
		if !g.Jobs[i].State.Ended() || g.Jobs[i].Since.After(t) {
			return false
		}
	}
	return true
}
