// Package ownership decides which entry VM owns the workers: the holder of one
// leased key in the platform's store. The key's revision is the owner's fencing
// token. The lease only saves effort and time; what keeps two owners apart is the
// token, which workers and the store check.
package ownership

import (
	"context"
	"encoding/json"
	"hash/fnv"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// Times of the lease.
const (
	// TTL is how long the key outlives its holder's last renewal. With it a
	// killed owner is missed for two seconds at most; leases of tasks outlast
	// that (see engine.LeaseAhead).
	TTL = 1600 * time.Millisecond
	// renewEvery leaves two tries before the lease runs out.
	renewEvery = 500 * time.Millisecond
	// callTimeout ends one call to the store, which answers in milliseconds.
	callTimeout = 450 * time.Millisecond
	// retryPause separates tries while the store is in trouble.
	retryPause = 150 * time.Millisecond
	// skew is taken off the lease for the difference of clocks' rates.
	skew = TTL / 50
	// unreachableFor is how long one failed renewal lets orders go on: until
	// the next has failed, too.
	unreachableFor = renewEvery + callTimeout + 250*time.Millisecond
	// rankStep spreads the entry VMs' tries for a free key, so that as a rule
	// the first takes it and the others need not try.
	rankStep  = 8 * time.Millisecond
	rankSlots = 8
)

// Record is what the owner's key holds.
type Record struct {
	Entry   string `json:"entry"`   // name of the entry VM
	Address string `json:"address"` // where its peers reach it
}

// Clock tells the time since the VM's start, suspended spells included.
type Clock interface {
	Now() time.Duration
}

// Options are what an Elector is made of.
type Options struct {
	Store infra.Store
	Self  Record
	Clock Clock
	Log   logr.Logger
	// Grace is how long after the lease was last certain orders may go on
	// while the store can't be reached.
	Grace time.Duration
	// Own is run for each term; its context ends with the term.
	Own func(ctx context.Context, t *Term)
	// Eligible reports whether this entry VM may take the key now.
	Eligible func() bool
}

// Elector follows the key, and takes it when it is free.
type Elector struct {
	o Options

	mu    sync.Mutex
	owner Record
	known bool
}

// New returns an elector.
func New(o Options) *Elector { return &Elector{o: o} }

// Owner returns the owner as last read; false where there is none.
func (e *Elector) Owner() (Record, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner, e.known
}

func (e *Elector) setOwner(kv infra.KV) {
	var r Record
	known := kv.ModRevision != 0
	if known {
		if err := json.Unmarshal(kv.Value, &r); err != nil {
			e.o.Log.Error(err, "owner's record is malformed")
			known = false
		}
	}
	e.mu.Lock()
	changed := e.owner != r || e.known != known
	e.owner, e.known = r, known
	e.mu.Unlock()
	if changed {
		e.o.Log.Info("owner", "entry", r.Entry, "known", known, "revision", int64(kv.ModRevision))
	}
}

// Run follows the key until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := e.round(ctx)
		if err != nil && ctx.Err() == nil {
			e.o.Log.V(1).Info("owner's key not readable", "error", err.Error())
			pause(ctx, retryPause)
		}
	}
}

// round reads the key once and either follows it until it changes or takes it.
func (e *Elector) round(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	kv, rev, err := e.o.Store.Get(call, infra.WorkOwnerKey)
	cancel()
	if err != nil {
		return trace.Wrap(err)
	}
	e.setOwner(kv)
	if kv.ModRevision != 0 {
		return e.follow(ctx, rev)
	}
	if !e.o.Eligible() {
		pause(ctx, retryPause)
		return nil
	}
	pause(ctx, e.rank())
	return e.take(ctx)
}

// rank is this entry VM's place in the line for a free key.
func (e *Elector) rank() time.Duration {
	h := fnv.New32a()
	h.Write([]byte(e.o.Self.Entry)) // a hash takes every write
	return time.Duration(h.Sum32()%rankSlots) * rankStep
}

// follow waits until the key changes.
func (e *Elector) follow(ctx context.Context, rev infra.Revision) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	batches, err := e.o.Store.Watch(ctx, infra.WorkOwnerKey, rev+1)
	if err != nil {
		return trace.Wrap(err)
	}
	for b := range batches {
		if b.Err != nil {
			return trace.Wrap(b.Err)
		}
		for _, ev := range b.Events {
			kv := ev.KV
			if ev.Kind == infra.EventDelete {
				return nil
			}
			e.setOwner(kv)
		}
	}
	return ctx.Err()
}

// take makes the key under a fresh lease and runs a term.
func (e *Elector) take(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := e.o.Clock.Now()
	lease, err := e.o.Store.Grant(call, TTL)
	if err != nil {
		return trace.Wrap(err)
	}
	value, err := json.Marshal(e.o.Self)
	if err != nil {
		return trace.Wrap(err)
	}
	res, err := e.o.Store.Txn(call, infra.Txn{
		If:   []infra.Cond{{Key: infra.WorkOwnerKey}},
		Then: []infra.Op{infra.PutLeased(infra.WorkOwnerKey, value, lease)},
	})
	if err != nil || !res.Succeeded {
		e.drop(ctx, lease)
		return trace.Wrap(err)
	}
	t := &Term{elector: e, token: int64(res.Revision), lease: lease, certain: sent + TTL - skew}
	t.allowed = t.certain
	e.setOwner(infra.KV{Key: infra.WorkOwnerKey, Value: value, ModRevision: res.Revision})
	t.run(ctx)
	return nil
}

// drop ends a lease that holds nothing, or holds a key whose transaction was
// not answered: the key must not stand for an owner that does not know it is.
func (e *Elector) drop(ctx context.Context, lease infra.LeaseID) {
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := e.o.Store.Revoke(call, lease); err != nil {
		e.o.Log.V(1).Info("lease not ended; it runs out", "lease", int64(lease), "error", err.Error())
	}
}

// Term is one spell of ownership.
type Term struct {
	elector *Elector
	token   int64
	lease   infra.LeaseID
	cancel  context.CancelFunc

	mu      sync.Mutex
	certain time.Duration // no other owner before
	allowed time.Duration // orders may be given until
	ended   string
}

// Token is the fencing token of the term's orders.
func (t *Term) Token() int64 { return t.token }

// AllowedUntil is until when orders may be given without another look.
func (t *Term) AllowedUntil() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.allowed
}

// Certain reports whether no other owner can exist now.
func (t *Term) Certain() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.ended == "" && t.elector.o.Clock.Now() < t.certain
}

// End gives the term up.
func (t *Term) End(reason string) {
	t.mu.Lock()
	first := t.ended == ""
	if first {
		t.ended = reason
		t.allowed = 0
	}
	t.mu.Unlock()
	if first {
		t.elector.o.Log.Info("term ends", "token", t.token, "reason", reason)
		t.cancel()
	}
}

// run renews the lease and runs Own until either ends.
func (t *Term) run(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	t.cancel = cancel
	defer cancel()
	t.elector.o.Log.Info("term begins", "token", t.token)
	var renewer sync.WaitGroup
	renewer.Go(func() { t.renew(ctx) })
	t.elector.o.Own(ctx, t)
	t.End("its work ended")
	renewer.Wait()
	t.elector.drop(parent, t.lease)
}

func (t *Term) renew(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, renewEvery)
		if ctx.Err() != nil {
			return
		}
		call, cancel := context.WithTimeout(ctx, callTimeout)
		sent := t.elector.o.Clock.Now()
		err := t.elector.o.Store.KeepAlive(call, t.lease)
		cancel()
		if ctx.Err() != nil {
			return
		}
		t.renewed(sent, err)
	}
}

// renewed takes the outcome of a renewal over. Only a renewal that failed
// lets orders go on past the lease: a VM that was suspended, and has not asked
// yet, must assume that it has a successor.
func (t *Term) renewed(sent time.Duration, err error) {
	if err == nil {
		t.mu.Lock()
		if t.ended == "" {
			t.certain = sent + TTL - skew
			t.allowed = t.certain
		}
		t.mu.Unlock()
		return
	}
	if infra.IsKind(err, infra.KindLeaseNotFound) {
		t.End("the lease has lapsed")
		return
	}
	now := t.elector.o.Clock.Now()
	t.elector.o.Log.Info("lease not renewed", "token", t.token, "error", err.Error())
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended == "" {
		t.allowed = max(t.allowed, min(now+unreachableFor, t.certain+t.elector.o.Grace))
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
