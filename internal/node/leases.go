package node

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/cutoff"
)

const (
	// revokeRetryInterval separates attempts to revoke a lease.
	revokeRetryInterval = 100 * time.Millisecond
	// revokeTimeout ends these attempts: outages of the store last some seconds, and once
	// it is reachable again the lease expires by itself.
	revokeTimeout = 15 * time.Second
	// leaseHandOverTimeout ends one attempt to hand a lease over to another entry VM.
	leaseHandOverTimeout = 300 * time.Millisecond
)

// leaseEnder revokes leases whose holders could not do so themselves, as the store was
// unreachable when they shut down. Otherwise their duties would have no owner for the length
// of a lease after the outage: 1.6 s, in which the jobs that came in during the outage wait.
type leaseEnder struct {
	store      infra.Store
	send       func(ctx context.Context, address string, lease int64) error
	recipients func() []cutoff.Peer // entry VMs of other zones
	log        logr.Logger
}

// handOver asks other entry VMs, one after the other, to revoke the lease until one accepts.
// One suffices, as all of them use the same store.
func (l *leaseEnder) handOver(lease infra.LeaseID) {
	for _, p := range l.recipients() {
		ctx, cancel := context.WithTimeout(context.Background(), leaseHandOverTimeout)
		err := l.send(ctx, p.Address, int64(lease))
		cancel()
		if err == nil {
			l.log.Info("lease handed over", "lease", int64(lease), "to", p.Name)
			return
		}
		l.log.Info("lease not handed over", "lease", int64(lease), "to", p.Name, "error", err.Error())
	}
}

// revoke revokes the lease as soon as the store answers, or gives up after revokeTimeout. A lease
// that has expired meanwhile counts as revoked.
func (l *leaseEnder) revoke(ctx context.Context, lease infra.LeaseID) {
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	for {
		call, done := context.WithTimeout(ctx, probeTimeout)
		err := l.store.Revoke(call, lease)
		done()
		if err == nil || infra.IsKind(err, infra.KindLeaseNotFound) {
			l.log.Info("lease of another entry VM ended", "lease", int64(lease))
			return
		}
		if !sleep.For(ctx, revokeRetryInterval) {
			l.log.Info("lease of another entry VM not ended", "lease", int64(lease), "error", err.Error())
			return
		}
	}
}
