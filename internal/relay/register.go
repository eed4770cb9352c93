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

var errSuperseded = errors.New("relay: superseded by a later run of this entry VM")

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
	var lease infra.LeaseID
	for ctx.Err() == nil {
		err := r.renew(ctx, &lease)
		wait := keepAliveEvery
		if err != nil {
			r.opts.Log.V(1).Info("registration not renewed", "cause", err)
			wait = registerRetry
		}
		sleep.For(ctx, wait)
	}
	if lease != 0 {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
		defer cancel()
		if err := r.opts.Store.Revoke(ctx, lease); err != nil {
			r.opts.Log.V(1).Info("registration not revoked; it lapses", "cause", err)
		}
	}
}

// renew keeps the lease alive, or registers where there is none, it lapsed, or
// an earlier run has written over this one's record.
func (r *Relay) renew(ctx context.Context, lease *infra.LeaseID) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if *lease != 0 && !r.displaced() {
		err := r.opts.Store.KeepAlive(ctx, *lease)
		if !infra.IsKind(err, infra.KindLeaseNotFound) {
			return trace.Wrap(err)
		}
	}
	*lease = 0
	over, err := r.mayReplace(ctx)
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
		If:   []infra.Cond{{Key: infra.EntryKey(r.opts.Self.ID), ModRevision: over}},
		Then: []infra.Op{infra.PutLeased(infra.EntryKey(r.opts.Self.ID), value, granted)},
	})
	// A lost reply leaves the key under the new lease or none at all; the
	// next attempt writes it again under another.
	if err == nil && res.Succeeded {
		*lease = granted
	}
	return trace.Wrap(err)
}

// mayReplace returns the revision of the record that stands under this entry
// VM's ID, or an error where a later run wrote it. A daemon that was replaced
// while it was paused would otherwise register over its successor, and
// acknowledgements would be waited for that nobody can give.
func (r *Relay) mayReplace(ctx context.Context) (infra.Revision, error) {
	kv, _, err := r.opts.Store.Get(ctx, infra.EntryKey(r.opts.Self.ID))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	var found view.EntryRecord
	if kv.ModRevision != 0 && json.Unmarshal(kv.Value, &found) == nil && found.Incarnation > r.opts.Self.Incarnation {
		return 0, trace.Wrap(errSuperseded, "%s is registered by a later run", r.opts.Self.ID)
	}
	return kv.ModRevision, nil
}

// displaced reports whether the view shows an earlier run under this ID.
func (r *Relay) displaced() bool {
	for _, e := range r.opts.View.Load().Entries {
		if e.ID == r.opts.Self.ID {
			return e.Incarnation < r.opts.Self.Incarnation
		}
	}
	return false
}
