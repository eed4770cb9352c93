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
	// revokeRetryInterval separates tries to end a lease.
	revokeRetryInterval = 100 * time.Millisecond
	// revokeTimeout is when it is given up: outages of the store last some seconds, and
	// once it is back the lease runs out by itself.
	revokeTimeout = 15 * time.Second
	// leaseHandOverTimeout ends one attempt to hand a lease to another entry VM.
	leaseHandOverTimeout = 300 * time.Millisecond
)

// leaseEnder ends leaseEnder that their holders could not end, as the store was away when they
// left. Their duties would have no owner for the length of a lease after its return, 1.6 s
// in which the backlog of the outage waits.
type leaseEnder struct {
	store      infra.Store
	send       func(ctx context.Context, address string, lease int64) error
	recipients func() []cutoff.Peer // of other zones
	log        logr.Logger
}

// handOver hands the lease to another entry VM; one will do, as any reaches the same store.
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

// revoke ends the lease as soon as the store answers.
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
