package jobs

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
)

const (
	// leaseTTL bounds how long no jobs are placed after the lease holder has
	// crashed. Urgent jobs must start within 2.2 s, but a lease that short would
	// expire at every pause of a small VM; see urgentTakeoverDelay.
	leaseTTL           = 6 * time.Second
	leaseRenewInterval = leaseTTL / 3
	// leaseCheckInterval is how often an entry VM without the lease checks
	// whether it is free.
	leaseCheckInterval = 2 * time.Second
)

// lease is the state of the placement lease as this entry VM knows it. Its holder
// does the passes.
type lease struct {
	id      infra.LeaseID
	held    bool
	renewed time.Time
	checked time.Time
}

// ensureLease renews the lease if this entry VM holds it, tries to acquire it if
// it is free, and reports whether it is held.
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

// acquireLease grants a lease and stores it under leaseKey, unless another entry
// VM has acquired it in the meantime.
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
		// Passes go on: the lease may still be valid, and correctness doesn't
		// depend on it.
		j.log.Info("placement lease not renewed, retrying", "error", err.Error())
		return true, nil
	}
	j.lease.renewed = now
	return true, nil
}

// releaseLease revokes the lease, so that another entry VM needn't wait until it
// expires.
func (j *Jobs) releaseLease(ctx context.Context) {
	if !j.lease.held {
		return
	}
	if err := j.store.Revoke(ctx, j.lease.id); err != nil {
		j.log.Error(err, "placement lease not revoked, it will expire")
	}
	j.lease = lease{}
}
