// Package members lets entry VMs discover each other: each keeps a leased key in the
// platform's store, and entry VMs that need to know of the others watch the keys. The
// directory may be stale and nothing relies on it for safety: calls to a member that is
// gone simply fail.
package members

import (
	"cmp"
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
)

const (
	// ttl is how long the key outlives its VM. Failed calls show sooner that a VM is
	// gone; the key must only expire before the directory holds many VMs that are gone.
	ttl = 9 * time.Second
	// renewEvery allows two more renewals before the lease expires if one fails.
	renewEvery = ttl / 3
	// callTimeout limits one call to the store, which answers in milliseconds.
	callTimeout = 700 * time.Millisecond
	// retryPause is the pause after the key could not be written.
	retryPause = 500 * time.Millisecond
)

// Record is what an entry VM publishes about itself.
type Record struct {
	Zone    string  `json:"zone"`
	Address string  `json:"address"` // address for its peers
	Weight  float64 `json:"weight"`  // its capacity relative to other entry VMs
}

// Publisher publishes an entry VM's own record.
type Publisher struct {
	Store infra.Store
	Name  string
	Self  Record
	Log   logr.Logger
	// Renew is the time between renewals of the lease; 0 means a third of the lease.
	Renew time.Duration

	rev infra.Revision // of the key as last known; 0: there is none
}

// Run keeps the key in the store until ctx ends, and then removes it.
func (p *Publisher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		lease, err := p.publish(ctx)
		if err != nil {
			p.Log.V(1).Info("failed to write this entry VM's key", "error", err.Error())
			sleep.For(ctx, retryPause)
			continue
		}
		p.renewLease(ctx, lease)
		p.revoke(ctx, lease)
	}
}

// publish writes the key under a new lease, which it returns.
func (p *Publisher) publish(ctx context.Context) (infra.LeaseID, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	value, err := json.Marshal(p.Self)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	lease, err := p.Store.Grant(call, ttl)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	err = p.put(call, value, lease)
	if err != nil {
		p.revoke(ctx, lease)
	}
	return lease, trace.Wrap(err)
}

// put writes the key with the lease. Each attempt is conditional on the key as it was: carried out
// late, it would move the key back to a lease that has ended.
func (p *Publisher) put(ctx context.Context, value []byte, lease infra.LeaseID) error {
	key := infra.WorkEntryKey(p.Name)
	for {
		res, err := p.Store.Txn(ctx, infra.Txn{
			If:   []infra.Cond{{Key: key, ModRevision: p.rev}},
			Then: []infra.Op{infra.PutLeased(key, value, lease)},
			Else: []infra.Op{infra.Read(key)},
		})
		switch {
		case err != nil:
			return err
		case res.Succeeded:
			p.rev = res.Revision
			return nil
		case len(res.Reads) == 0:
			return infra.Errorf("publish", infra.KindUnavailable, "the answer lacks the key")
		}
		p.rev = res.Reads[0].ModRevision
	}
}

// renewLease renews the lease until it has expired or ctx ends.
func (p *Publisher) renewLease(ctx context.Context, lease infra.LeaseID) {
	for sleep.For(ctx, cmp.Or(p.Renew, renewEvery)) {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := p.Store.KeepAlive(call, lease)
		cancel()
		if infra.IsKind(err, infra.KindLeaseNotFound) {
			p.Log.Info("the lease of this entry VM's key has expired")
			return
		}
		if err != nil && ctx.Err() == nil {
			p.Log.V(1).Info("failed to renew the lease of this entry VM's key", "error", err.Error())
		}
	}
}

// revoke ends the lease and thereby removes the key, so that owners stop using a VM that shuts down.
func (p *Publisher) revoke(ctx context.Context, lease infra.LeaseID) {
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := p.Store.Revoke(call, lease); err != nil {
		p.Log.V(1).Info("failed to remove this entry VM's key; it expires with its lease", "error", err.Error())
	}
}

// Member is an entry VM whose key is in the store.
type Member struct {
	Record
	Name string
}

// Directory holds the members as last read from the store. The zero value is empty.
type Directory struct {
	Log logr.Logger

	mu      sync.Mutex
	members map[string]Member
	version uint64
}

// Live returns the members in no particular order, and a version number that changes whenever they
// do.
func (d *Directory) Live() ([]Member, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Member, 0, len(d.members))
	for _, m := range d.members {
		out = append(out, m)
	}
	return out, d.version
}

// Replace replaces the directory's content by the listed keys.
func (d *Directory) Replace(kvs []infra.KV) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = make(map[string]Member, len(kvs))
	for _, kv := range kvs {
		d.putLocked(kv)
	}
	d.version++
}

// Change applies a change of a key.
func (d *Directory) Change(ev infra.Event) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	if ev.Kind == infra.EventDelete {
		delete(d.members, strings.TrimPrefix(ev.KV.Key, infra.WorkEntryPrefix))
		return
	}
	d.putLocked(ev.KV)
}

func (d *Directory) putLocked(kv infra.KV) {
	name := strings.TrimPrefix(kv.Key, infra.WorkEntryPrefix)
	var r Record
	if err := json.Unmarshal(kv.Value, &r); err != nil || r.Address == "" {
		d.Log.Error(err, "an entry VM's record is malformed", "key", kv.Key)
		delete(d.members, name)
		return
	}
	if d.members == nil {
		d.members = make(map[string]Member)
	}
	d.members[name] = Member{Record: r, Name: name}
}
