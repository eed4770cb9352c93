// Package ownership elects the entry VM that owns a duty, a cell or the fleet: the owner is the
// holder of the duty's leased key in the platform's store. The key's revision is the owner's
// fencing token. Safety rests on the token alone, which workers and the store check; the lease
// merely makes conflicts rare and replaces a failed owner soon.
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
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/overload"
)

// Times of the lease.
const (
	// TTL is how long the key outlives its holder's last renewal, and thus how long a
	// duty has no owner after that was killed. Leases of tasks last longer (see
	// engine.LeaseExtension). A TTL of 1.2 s changes the work served by only 1 %, under
	// kills and partitions and with a store that is slow and loses answers; the longer
	// one tolerates even slower stores.
	TTL = 1600 * time.Millisecond
	// renewEvery allows four renewals to be sent before the lease expires if none is
	// answered: 0.5, 0.7, 1.05 and 1.55 s after the lease was last renewed.
	renewEvery = 500 * time.Millisecond
	// callTimeout limits one call to the store, which answers in milliseconds.
	callTimeout = 450 * time.Millisecond
	// firstTimeout limits a renewal that follows an answered one.
	firstTimeout = 150 * time.Millisecond
	// renewRetryPause is the pause after a failed renewal.
	renewRetryPause = 50 * time.Millisecond
	// retryPause is the pause after a failed attempt to acquire a duty, and between
	// checks whether this VM may take one.
	retryPause = 150 * time.Millisecond
	// clockSkewShare is the part of the lease that is subtracted because this VM's and
	// the store's clocks may run at different rates.
	clockSkewShare = 0.02
	// failedRenewalGrace is how long orders are allowed after a failed renewal: until
	// the next renewal has failed as well.
	failedRenewalGrace = renewEvery + callTimeout + 250*time.Millisecond
	// acquireDelayStep separates the entry VMs' attempts to acquire a free duty, so that
	// usually the first succeeds and the others make none.
	acquireDelayStep  = 4 * time.Millisecond
	acquireDelaySlots = 16
	// acquireDelayPerDuty is the additional delay for each duty that a VM already has.
	acquireDelayPerDuty = 50 * time.Millisecond
	// handOverPause is how long a VM that handed a duty over does not try to acquire it
	// again. Other VMs try within 0.25 s.
	handOverPause = 1 * time.Second
	// minWeight bounds the delay of small VMs: it is the smallest weight that delays are
	// computed with.
	minWeight = 0.02
)

// Record is the value of a duty's key: it names the owner.
type Record struct {
	Entry   string `json:"entry"`   // name of the entry VM
	Address string `json:"address"` // address for its peers
}

// Clock returns the time since the VM's start, including the time that it was suspended.
type Clock interface {
	Now() time.Duration
}

// Options configures an Elector.
type Options struct {
	Duty      string
	Store     infra.Store
	Directory *Directory
	Self      Record
	// Weight is this VM's capacity relative to other entry VMs. VMs with a larger weight
	// try to acquire duties sooner.
	Weight float64
	Clock  Clock
	Log    logr.Logger
	// Grace is how long after the lease was last certain orders may be given while the
	// store can't be reached.
	Grace time.Duration
	// MinTTL is the shortest lease that the store grants.
	MinTTL time.Duration
	// RunTerm is called for each term. Its context ends with the term, and its return ends
	// the term.
	RunTerm func(ctx context.Context, t *Term)
	// Duties counts the duties of this entry VM. All its electors share it.
	Duties *DutyCounter
	// SchedulingDelay returns how long runnable work waits for this VM's processor; nil is
	// no delay.
	SchedulingDelay func() time.Duration
	// RevokeLater is called with a lease that could not be revoked, to have other VMs
	// revoke it. If it is nil, the lease expires.
	RevokeLater func(lease infra.LeaseID)
}

// DutyCounter counts the duties of one entry VM.
type DutyCounter struct {
	// CanTake reports whether the entry VM may take a duty now.
	CanTake func() bool

	acquiring sync.Mutex // held while a duty is acquired, one at a time
	mu        sync.Mutex
	held      int
}

// Held returns the number of duties that the entry VM has.
func (l *DutyCounter) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

func (l *DutyCounter) add(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held += n
}

// Elector tries to acquire a duty whenever it is free, and runs a term each time it succeeds.
type Elector struct {
	o Options
	// pause waits for d or until ctx ends. It reports whether d has passed. Tests replace it to
	// advance their own clock.
	pause func(ctx context.Context, d time.Duration) bool
}

// ttl returns the duration of a duty's lease: TTL, or the shortest that the store grants.
func (o *Options) ttl() time.Duration { return max(TTL, o.MinTTL) }

// certainFor returns how long a lease is certain to last after its renewal was sent.
func (o *Options) certainFor() time.Duration {
	return o.ttl() - time.Duration(clockSkewShare*float64(o.ttl()))
}

// New returns an elector with the options.
func New(o Options) *Elector { return &Elector{o: o, pause: sleep.For} }

// Run tries to acquire the duty, and runs a term whenever it succeeds, until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !e.o.Directory.waitFree(ctx, e.o.Duty) {
			continue
		}
		if !e.o.Duties.CanTake() {
			sleep.For(ctx, retryPause)
			continue
		}
		held := e.o.Duties.Held()
		vacancy, _ := e.o.Directory.vacancy(e.o.Duty)
		sleep.For(ctx, e.acquireDelay(held))
		t, err := e.tryAcquire(ctx, held, vacancy)
		if err != nil && ctx.Err() == nil {
			e.o.Log.V(1).Info("failed to acquire duty", "duty", e.o.Duty, "error", err.Error())
			sleep.For(ctx, retryPause)
		}
		if t != nil {
			t.run(ctx)
			e.o.Duties.add(-1)
			e.pauseAfterHandOver(ctx, t)
		}
	}
}

// pauseAfterHandOver waits if the term was handed over, so that another VM acquires the duty.
func (e *Elector) pauseAfterHandOver(ctx context.Context, t *Term) {
	if t.wasHandedOver() {
		e.pause(ctx, handOverPause)
	}
}

// tryAcquire acquires the duty if it is still free, and returns nil and no error if it is not. It
// also does so in two cases in which the delay that this VM has waited is no longer right. If this
// VM has acquired another duty meanwhile (it has more than held), its delay would now be longer.
// If the duty was owned and became free again meanwhile (vacancy has changed), VMs with a larger
// weight have only begun to wait, and a small VM at the end of its earlier delay would come first.
func (e *Elector) tryAcquire(ctx context.Context, held, vacancy int) (*Term, error) {
	e.o.Duties.acquiring.Lock()
	defer e.o.Duties.acquiring.Unlock()
	now, free := e.o.Directory.vacancy(e.o.Duty)
	if ctx.Err() != nil || !free || now != vacancy || e.o.Duties.Held() > held {
		return nil, nil
	}
	t, err := e.acquire(ctx)
	if t != nil {
		e.o.Duties.add(1)
	}
	return t, err
}

// acquireDelay returns how long this entry VM waits before it tries to acquire the free duty,
// if it already has so many duties. The order of the VMs differs from duty to duty, which
// spreads the duties; VMs with a smaller weight or more duties wait longer.
func (e *Elector) acquireDelay(duties int) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(e.o.Duty + "/" + e.o.Self.Entry)) // never returns an error
	place := float64(1+h.Sum32()%acquireDelaySlots) / max(minWeight, e.o.Weight)
	return time.Duration(place*float64(acquireDelayStep)) + time.Duration(duties)*acquireDelayPerDuty
}

// acquire creates the duty's key under a new lease and returns the term. The error is
// AlreadyExists if another entry VM has the key.
func (e *Elector) acquire(ctx context.Context) (*Term, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := e.o.Clock.Now()
	lease, err := e.o.Store.Grant(call, e.o.ttl())
	if err != nil {
		return nil, trace.Wrap(err)
	}
	value, err := json.Marshal(e.o.Self)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	res, err := e.o.Store.Txn(call, infra.Txn{
		If:   []infra.Cond{{Key: infra.WorkOwnerKey(e.o.Duty)}},
		Then: []infra.Op{infra.PutLeased(infra.WorkOwnerKey(e.o.Duty), value, lease)},
	})
	if err != nil || !res.Succeeded {
		e.revoke(ctx, lease)
		if err == nil {
			err = trace.AlreadyExists("another entry VM has acquired the duty first")
		}
		return nil, trace.Wrap(err)
	}
	t := &Term{elector: e, token: int64(res.Revision), lease: lease, certainUntil: sent + e.o.certainFor()}
	t.allowedUntil = t.certainUntil
	e.o.Directory.put(infra.KV{Key: infra.WorkOwnerKey(e.o.Duty), Value: value, ModRevision: res.Revision})
	return t, nil
}

// revoke ends a lease of this VM. That is needed also if the transaction that creates the key
// was not answered: the key could otherwise name an owner that does not know that it is one.
func (e *Elector) revoke(ctx context.Context, lease infra.LeaseID) {
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := e.o.Store.Revoke(call, lease); err != nil && !infra.IsKind(err, infra.KindLeaseNotFound) {
		e.o.Log.V(1).Info("failed to revoke lease", "lease", int64(lease), "error", err.Error())
		if e.o.RevokeLater != nil {
			e.o.RevokeLater(lease)
		}
	}
}

// Term is one uninterrupted ownership of a duty.
type Term struct {
	elector *Elector
	token   int64
	lease   infra.LeaseID
	cancel  context.CancelFunc

	mu           sync.Mutex
	certainUntil time.Duration // on Options.Clock: no other owner can exist before
	allowedUntil time.Duration // on Options.Clock: orders may be given before
	endReason    string        // empty until the term has ended
	handedOver   bool          // the term was ended by HandOver
}

// Token returns the fencing token of the term's orders.
func (t *Term) Token() int64 { return t.token }

// AllowedUntil returns the time, on Options.Clock, until which orders may be given without another
// check; 0 once the term has ended.
func (t *Term) AllowedUntil() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.allowedUntil
}

// Certain reports whether the lease is certainly in force, so that no other owner can exist.
func (t *Term) Certain() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.endReason == "" && t.elector.o.Clock.Now() < t.certainUntil
}

// HandOver ends the term so that another entry VM acquires the duty, since this one is overloaded
// or has less capacity.
func (t *Term) HandOver() {
	t.mu.Lock()
	t.handedOver = true
	t.mu.Unlock()
	t.End("handed over to another entry VM")
}

// wasHandedOver reports whether the term was ended by HandOver.
func (t *Term) wasHandedOver() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.handedOver
}

// End ends the term. Calls after the first have no effect.
func (t *Term) End(reason string) {
	t.mu.Lock()
	first := t.endReason == ""
	if first {
		t.endReason = reason
		t.allowedUntil = 0
	}
	t.mu.Unlock()
	if first {
		t.elector.o.Log.Info("term ends", "duty", t.elector.o.Duty, "token", t.token, "reason", reason)
		t.cancel()
	}
}

// run renews the lease and calls RunTerm until either ends, and then revokes the lease.
func (t *Term) run(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	t.cancel = cancel
	defer cancel()
	t.elector.o.Log.Info("term begins", "duty", t.elector.o.Duty, "token", t.token)
	var renewer sync.WaitGroup
	renewer.Go(func() { t.renew(ctx) })
	t.elector.o.RunTerm(ctx, t)
	t.End("the term's work returned")
	renewer.Wait()
	t.elector.revoke(parent, t.lease)
	t.elector.o.Directory.remove(infra.WorkOwnerKey(t.elector.o.Duty), infra.Revision(t.token))
}

// renew renews the lease until ctx ends. A renewal without an answer is repeated at once with
// a longer timeout. A healthy store may lose answers, so waiting long for one is of no use,
// while a slow store needs the longer timeout. Repeated renewals do no harm.
func (t *Term) renew(ctx context.Context) {
	timeout := firstTimeout
	for t.elector.pause(ctx, renewEvery) {
		for ctx.Err() == nil {
			call, cancel := context.WithTimeout(ctx, timeout+t.elector.extraTimeout())
			sent := t.elector.o.Clock.Now()
			err := t.elector.o.Store.KeepAlive(call, t.lease)
			cancel()
			if ctx.Err() != nil {
				return
			}
			t.handleRenewal(sent, err)
			if err == nil {
				timeout = firstTimeout
				break
			}
			timeout = min(2*timeout, callTimeout)
			t.elector.pause(ctx, renewRetryPause)
		}
	}
}

// extraTimeout returns by how much a renewal's timeout is extended for this VM's scheduling
// delay. The store may have renewed the lease while the answer waits here to be read. If the
// renewal were given up, this owner would not be certain of its lease, and no other VM could
// acquire the duty.
func (e *Elector) extraTimeout() time.Duration {
	if e.o.SchedulingDelay == nil {
		return 0
	}
	return overload.ExtraTimeout(e.o.SchedulingDelay())
}

// handleRenewal applies the outcome of a renewal that was sent at the given time. Orders are
// allowed beyond the certain lease only after a renewal has failed: a VM that was suspended and
// has not contacted the store yet must assume that there is a new owner.
func (t *Term) handleRenewal(sent time.Duration, err error) {
	if err == nil {
		t.mu.Lock()
		if t.endReason == "" {
			t.certainUntil = sent + t.elector.o.certainFor()
			t.allowedUntil = t.certainUntil
		}
		t.mu.Unlock()
		return
	}
	if infra.IsKind(err, infra.KindLeaseNotFound) {
		t.End("the lease has expired")
		return
	}
	now := t.elector.o.Clock.Now()
	t.elector.o.Log.Info("failed to renew lease", "duty", t.elector.o.Duty, "token", t.token, "error", err.Error())
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.endReason == "" {
		t.allowedUntil = max(t.allowedUntil, min(now+failedRenewalGrace, t.certainUntil+t.elector.o.Grace))
	}
}
