package jobs

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
)

const (
	// leaseTTL is how long jobs lie idle after the entry VM that places them
	// died. Urgent work has 2.2 s to start, but a lease as short as that would
	// lapse at each pause of a small VM.
	leaseTTL           = 6 * time.Second
	leaseRenewInterval = leaseTTL / 3
	// leaseCheckInterval is how often an entry VM that does not hold the lease asks.
	leaseCheckInterval = 2 * time.Second
)

// lease is this entry VM's claim on the work of placing.
type lease struct {
	id      infra.LeaseID
	held    bool
	renewed time.Time
	checked time.Time
}

// ensureLease reports whether this entry VM is to do the passes.
func (j *Jobs) ensureLease(ctx context.Context) (bool, error) {
	now := j.clock.Now()
	if j.lease.held {
		return j.renewLease(ctx, now)
	}
	if !j.lease.checked.IsZero() && now.Sub(j.lease.checked) < leaseCheckInterval {
		return false, nil
	}
	j.lease.checked = now
	kv, _, err := j.store.Get(ctx, leaseKey)
	if err != nil || kv.ModRevision != 0 {
		return false, wrapError("read lease", "", err)
	}
	return j.acquireLease(ctx, now)
}

// acquireLease makes a lease and puts it under the key, if nobody was faster.
func (j *Jobs) acquireLease(ctx context.Context, now time.Time) (bool, error) {
	var id infra.LeaseID
	err := j.retryRateLimited(ctx, func() (err error) {
		id, err = j.store.Grant(ctx, leaseTTL)
		return err
	})
	if err != nil {
		return false, wrapError("grant lease", "", err)
	}
	_, err = j.commit(ctx, infra.Txn{
		If:   []infra.Cond{{Key: leaseKey}},
		Then: []infra.Op{infra.PutLeased(leaseKey, []byte(j.owner), id)},
	})
	if infra.IsKind(err, infra.KindConflict) {
		return false, wrapError("revoke lease", "", j.store.Revoke(ctx, id))
	}
	if err != nil {
		return false, wrapError("claim lease", "", err)
	}
	j.lease = lease{id: id, held: true, renewed: now}
	return true, nil
}

func (j *Jobs) renewLease(ctx context.Context, now time.Time) (bool, error) {
	if now.Sub(j.lease.renewed) < leaseRenewInterval {
		return true, nil
	}
	err := j.store.KeepAlive(ctx, j.lease.id)
	if infra.IsKind(err, infra.KindLeaseNotFound) {
		j.lease = lease{}
		return false, nil
	}
	if err != nil {
		// The work goes on: the lease may still stand, and is no safeguard.
		j.log.Info("lease of jobs not renewed, will be tried again", "error", err.Error())
		return true, nil
	}
	j.lease.renewed = now
	return true, nil
}

// releaseLease hands the work over at once rather than when the lease lapses.
func (j *Jobs) releaseLease(ctx context.Context) {
	if !j.lease.held {
		return
	}
	if err := j.store.Revoke(ctx, j.lease.id); err != nil {
		j.log.Error(err, "the lease of jobs lapses instead")
	}
	j.lease = lease{}
}
