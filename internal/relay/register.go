package relay

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/platform"
)

const (
	// registrationTTL is how long a dead or cut-off entry VM stays
	// registered: until then acknowledgements are waited for, and the
	// claims it held count as running.
	registrationTTL = 10 * time.Second
	// keepAliveEvery leaves three attempts within registrationTTL, each with
	// its timeout.
	keepAliveEvery = 3 * time.Second
	// registerRetry is the wait after a failed attempt.
	registerRetry = time.Second
)

// keepRegistered holds this entry VM's record in the store under a lease
// until ctx ends, then takes it away.
func (r *Relay) keepRegistered(ctx context.Context) {
	var lease platform.LeaseID
	for ctx.Err() == nil {
		err := r.renew(ctx, &lease)
		wait := keepAliveEvery
		if err != nil {
			r.opts.Log.V(1).Info("registration not renewed", "cause", err)
			wait = registerRetry
		}
		sleep(ctx, wait)
	}
	if lease != 0 {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		defer cancel()
		if err := r.opts.Store.Revoke(ctx, lease); err != nil {
			r.opts.Log.V(1).Info("registration not revoked; it lapses", "cause", err)
		}
	}
}

// renew keeps the lease alive, or registers where there is none or it lapsed.
func (r *Relay) renew(ctx context.Context, lease *platform.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if *lease != 0 {
		err := r.opts.Store.KeepAlive(ctx, *lease)
		if !platform.IsKind(err, platform.KindLeaseNotFound) {
			return trace.Wrap(err)
		}
		*lease = 0
	}
	granted, err := r.opts.Store.Grant(ctx, registrationTTL)
	if err != nil {
		return trace.Wrap(err)
	}
	value, err := json.Marshal(r.opts.Self)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = r.opts.Store.Txn(ctx, platform.Txn{
		Then: []platform.Op{platform.PutLeased(platform.EntryKey(r.opts.Self.ID), value, granted)},
	})
	// A lost reply leaves the key under the new lease or none at all; the
	// next attempt writes it again under another.
	if err == nil {
		*lease = granted
	}
	return trace.Wrap(err)
}
