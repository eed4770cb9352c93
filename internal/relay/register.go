package relay

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/internal/view"
)

var errSuperseded = errors.New("relay: superseded by a newer incarnation of this entry VM")

const (
	// registrationTTL is how long a crashed or partitioned entry VM stays
	// registered. Until it expires, changes wait for that entry VM's
	// acknowledgement, and its claims count as running.
	registrationTTL = 10 * time.Second
	// keepAliveInterval is the time between renewals of the lease. It allows
	// three attempts within registrationTTL, timeouts included.
	keepAliveInterval = 3 * time.Second
	// registerRetryDelay is the wait after a failed renewal or registration.
	registerRetryDelay = time.Second
)

// keepRegistered keeps this entry VM's record in the store under a lease until
// ctx ends, then revokes the lease.
func (r *Relay) keepRegistered(ctx context.Context) {
	var lease infra.LeaseID
	for ctx.Err() == nil {
		err := r.renew(ctx, &lease)
		wait := keepAliveInterval
		if err != nil {
			r.opts.Log.V(1).Info("cannot renew the registration of this entry VM", "cause", err)
			wait = registerRetryDelay
		}
		sleep.For(ctx, wait)
	}
	if lease != 0 {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		defer cancel()
		if err := r.opts.Store.Revoke(ctx, lease); err != nil {
			r.opts.Log.V(1).Info("cannot revoke the registration of this entry VM; it expires with its lease", "cause", err)
		}
	}
}

// renew keeps the lease alive. It registers anew, under a new lease, if there
// is none, it expired, or an older incarnation has overwritten the record. It
// returns errSuperseded if a newer incarnation is registered.
func (r *Relay) renew(ctx context.Context, lease *infra.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if *lease != 0 && !r.overwritten() {
		err := r.opts.Store.KeepAlive(ctx, *lease)
		if !infra.IsKind(err, infra.KindLeaseNotFound) {
			return trace.Wrap(err)
		}
	}
	*lease = 0
	revision, err := r.replaceableRevision(ctx)
	if err != nil {
		return err
	}
	granted, err := r.opts.Store.Grant(ctx, registrationTTL)
	if err != nil {
		return trace.Wrap(err)
	}
	value, err := json.Marshal(r.opts.Self)
	if err != nil {
		return trace.Wrap(err)
	}
	res, err := r.opts.Store.Txn(ctx, infra.Txn{
		If:   []infra.Cond{{Key: infra.EntryKey(r.opts.Self.ID), ModRevision: revision}},
		Then: []infra.Op{infra.PutLeased(infra.EntryKey(r.opts.Self.ID), value, granted)},
	})
	// If the reply is lost, the key may or may not have been written under
	// the new lease; the next attempt writes it again under another lease.
	if err == nil && res.Succeeded {
		*lease = granted
	}
	return trace.Wrap(err)
}

// replaceableRevision returns the revision of the record stored under this
// entry VM's ID (0 if there is none), or errSuperseded if a newer incarnation
// wrote it. Without this check, a daemon that was replaced while it was paused
// would overwrite its successor's record, and changes would wait for an
// acknowledgement that nobody can give.
func (r *Relay) replaceableRevision(ctx context.Context) (infra.Revision, error) {
	kv, _, err := r.opts.Store.Get(ctx, infra.EntryKey(r.opts.Self.ID))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	var found view.EntryRecord
	if kv.ModRevision != 0 && json.Unmarshal(kv.Value, &found) == nil && found.Incarnation > r.opts.Self.Incarnation {
		return 0, trace.Wrap(errSuperseded, "entry VM %s is registered with a newer incarnation", r.opts.Self.ID)
	}
	return kv.ModRevision, nil
}

// overwritten reports whether the view shows an older incarnation registered
// under this entry VM's ID.
func (r *Relay) overwritten() bool {
	for _, e := range r.opts.View.Load().Entries {
		if e.ID == r.opts.Self.ID {
			return e.Incarnation < r.opts.Self.Incarnation
		}
	}
	return false
}
