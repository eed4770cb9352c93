// Package members tells entry VMs of each other: each keeps a leased key in the
// platform's store, and those that need to know follow the keys. It is a view, may
// be stale, and decides nothing: a member that is gone shows when it is called.
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
	// ttl is how long the key outlives its VM. A call shows sooner that a VM is
	// gone; the key need only go before many dead ones are tried.
	ttl = 9 * time.Second
	// renewEvery leaves two more tries before the lease runs out.
	renewEvery = ttl / 3
	// callTimeout ends one call to the store, which answers in milliseconds.
	callTimeout = 700 * time.Millisecond
	// retryPause separates tries while the store is in trouble.
	retryPause = 500 * time.Millisecond
)

// Record is what an entry VM says of itself.
type Record struct {
	Zone    string  `json:"zone"`
	Address string  `json:"address"` // where its peers reach it
	Weight  float64 `json:"weight"`  // what it can carry against others
}

// Publisher keeps an entry VM's own key.
type Publisher struct {
	Store infra.Store
	Name  string
	Self  Record
	Log   logr.Logger
	// Renew separates renewals; 0 for a third of the lease.
	Renew time.Duration
}

// Run keeps the key until ctx ends, and then removes it.
func (p *Publisher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		lease, err := p.publish(ctx)
		if err != nil {
			p.Log.V(1).Info("own key not written", "error", err.Error())
			sleep.For(ctx, retryPause)
			continue
		}
		p.keep(ctx, lease)
		p.drop(ctx, lease)
	}
}

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
	_, err = p.Store.Txn(call, infra.Txn{Then: []infra.Op{infra.PutLeased(infra.WorkEntryKey(p.Name), value, lease)}})
	if err != nil {
		p.drop(ctx, lease)
	}
	return lease, trace.Wrap(err)
}

// keep renews the lease until it has ended.
func (p *Publisher) keep(ctx context.Context, lease infra.LeaseID) {
	for sleep.For(ctx, cmp.Or(p.Renew, renewEvery)) {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err := p.Store.KeepAlive(call, lease)
		cancel()
		if infra.IsKind(err, infra.KindLeaseNotFound) {
			p.Log.Info("own key has lapsed")
			return
		}
		if err != nil && ctx.Err() == nil {
			p.Log.V(1).Info("own key not renewed", "error", err.Error())
		}
	}
}

// drop ends the lease and with it the key: owners stop to use a VM that leaves.
func (p *Publisher) drop(ctx context.Context, lease infra.LeaseID) {
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := p.Store.Revoke(call, lease); err != nil {
		p.Log.V(1).Info("own key not removed; it lapses", "error", err.Error())
	}
}

// Member is a live entry VM.
type Member struct {
	Record
	Name string
}

// Directory is the live entry VMs, as last read.
type Directory struct {
	Log logr.Logger

	mu      sync.Mutex
	members map[string]Member
	version uint64
}

// Live returns the members, and a number that changes with them.
func (d *Directory) Live() ([]Member, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]Member, 0, len(d.members))
	for _, m := range d.members {
		out = append(out, m)
	}
	return out, d.version
}

// Replace takes the whole list over.
func (d *Directory) Replace(kvs []infra.KV) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = make(map[string]Member, len(kvs))
	for _, kv := range kvs {
		d.putLocked(kv)
	}
	d.version++
}

// Change takes one change over.
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
		d.Log.Error(err, "entry VM's record is malformed and names none", "key", kv.Key)
		delete(d.members, name)
		return
	}
	if d.members == nil {
		d.members = make(map[string]Member)
	}
	d.members[name] = Member{Record: r, Name: name}
}
