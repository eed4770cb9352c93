// Package ownership decides which entry VM has a duty: the holder of the duty's
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
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/overload"
)

// Times of the lease.
const (
	// TTL is how long the key outlives its holder's last renewal: a killed owner
	// is missed for as long. Leases of tasks outlast that (see engine.LeaseExtension).
	// With 1.2 s a hundredth more or less was served, on days of kills and cuts and
	// on those of a store that is slow and loses answers; the longer one is left for
	// stores that are slower than any tried.
	TTL = 1600 * time.Millisecond
	// renewEvery lets four tries begin before the lease runs out where none is
	// answered: 0.5, 0.7, 1.05 and 1.55 s into it.
	renewEvery = 500 * time.Millisecond
	// callTimeout ends one call to the store, which answers in milliseconds.
	callTimeout = 450 * time.Millisecond
	// firstTimeout is the same for a renewal that follows one that was answered.
	firstTimeout = 150 * time.Millisecond
	// againPause separates renewals that fail.
	againPause = 50 * time.Millisecond
	// retryPause separates tries while the store is in trouble.
	retryPause = 150 * time.Millisecond
	// skewShare of the lease is taken off for the difference of clocks' rates.
	skewShare = 0.02
	// unreachableFor is how long one failed renewal lets orders go on: until
	// the next has failed, too.
	unreachableFor = renewEvery + callTimeout + 250*time.Millisecond
	// rankStep spreads the entry VMs' tries for a free key, so that as a rule
	// the first takes it and the others need not try.
	rankStep  = 4 * time.Millisecond
	rankSlots = 16
	// dutyStep is what each duty that a VM has puts it behind the others.
	dutyStep = 50 * time.Millisecond
	// standBackFor is how long a VM that handed a duty over as it could not bear it leaves
	// it to others: they try within a quarter of a second.
	standBackFor = 1 * time.Second
	// leastWeight bounds how far behind a small VM stands.
	leastWeight = 0.02
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
	Duty      string
	Store     infra.Store
	Directory *Directory
	Self      Record
	// Weight is how much this VM can carry against others; more takes duties
	// sooner.
	Weight float64
	Clock  Clock
	Log    logr.Logger
	// Grace is how long after the lease was last certain orders may go on
	// while the store can't be reached.
	Grace time.Duration
	// LeastTTL is the shortest lease that the store grants.
	LeastTTL time.Duration
	// Own is run for each term; its context ends with the term.
	Own func(ctx context.Context, t *Term)
	// Load is this entry VM's duties.
	Load *Load
	// Behind is how long what is ready to run waits on this VM; nil: it does not.
	Behind func() time.Duration
	// HandOver is given a lease that could not be ended, for others to end; nil: it runs out.
	HandOver func(lease infra.LeaseID)
}

// Load counts the duties of one entry VM.
type Load struct {
	// May reports whether the entry VM may take a duty now.
	May func() bool

	taking sync.Mutex // held while a duty is taken: one at a time
	mu     sync.Mutex
	held   int
}

// Held returns how many duties the entry VM has.
func (l *Load) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held
}

func (l *Load) add(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held += n
}

// Elector takes the duty's key when it is free.
type Elector struct {
	o Options
	// pause waits, unless ctx ends before; a test lets its own clock go on instead.
	pause func(ctx context.Context, d time.Duration) bool
}

// ttl is how long leases of duties last.
func (o *Options) ttl() time.Duration { return max(TTL, o.LeastTTL) }

// sure is how long after its renewal was sent a lease is certain to last.
func (o *Options) sure() time.Duration {
	return o.ttl() - time.Duration(skewShare*float64(o.ttl()))
}

// New returns an elector.
func New(o Options) *Elector { return &Elector{o: o, pause: sleep.For} }

// Run tries for the duty until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !e.o.Directory.waitFree(ctx, e.o.Duty) {
			continue
		}
		if !e.o.Load.May() {
			sleep.For(ctx, retryPause)
			continue
		}
		held := e.o.Load.Held()
		vacancy, _ := e.o.Directory.vacancy(e.o.Duty)
		sleep.For(ctx, e.rank(held))
		t, err := e.tryTake(ctx, held, vacancy)
		if err != nil && ctx.Err() == nil {
			e.o.Log.V(1).Info("duty not taken", "duty", e.o.Duty, "error", err.Error())
			sleep.For(ctx, retryPause)
		}
		if t != nil {
			t.run(ctx)
			e.o.Load.add(-1)
			e.standBack(ctx, t)
		}
	}
}

// standBack lets others take a duty that this VM gave up as it was behind.
func (e *Elector) standBack(ctx context.Context, t *Term) {
	if t.relieved() {
		e.pause(ctx, standBackFor)
	}
}

// tryTake takes the duty if it is still free, and this entry VM has not taken
// another while it waited in line: it would have stood behind. Nor if the duty was
// taken and became free again meanwhile: those who can carry more have just begun to
// wait, and a small VM at the end of the line of before would be first.
func (e *Elector) tryTake(ctx context.Context, held, vacancy int) (*Term, error) {
	e.o.Load.taking.Lock()
	defer e.o.Load.taking.Unlock()
	now, free := e.o.Directory.vacancy(e.o.Duty)
	if ctx.Err() != nil || !free || now != vacancy || e.o.Load.Held() > held {
		return nil, nil
	}
	t, err := e.take(ctx)
	if t != nil {
		e.o.Load.add(1)
	}
	return t, err
}

// rank is this entry VM's place in the line for the free duty. The line differs
// from duty to duty, so that duties spread; VMs with duties stand behind.
func (e *Elector) rank(duties int) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(e.o.Duty + "/" + e.o.Self.Entry)) // a hash takes every write
	place := float64(1+h.Sum32()%rankSlots) / max(leastWeight, e.o.Weight)
	return time.Duration(place*float64(rankStep)) + time.Duration(duties)*dutyStep
}

// take makes the key under a fresh lease.
func (e *Elector) take(ctx context.Context) (*Term, error) {
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
		e.drop(ctx, lease)
		if err == nil {
			err = trace.AlreadyExists("another entry VM was first")
		}
		return nil, trace.Wrap(err)
	}
	t := &Term{elector: e, token: int64(res.Revision), lease: lease, certain: sent + e.o.sure()}
	t.allowed = t.certain
	e.o.Directory.put(infra.KV{Key: infra.WorkOwnerKey(e.o.Duty), Value: value, ModRevision: res.Revision})
	return t, nil
}

// drop ends a lease that holds nothing, or holds a key whose transaction was
// not answered: the key must not stand for an owner that does not know it is.
func (e *Elector) drop(ctx context.Context, lease infra.LeaseID) {
	call, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if err := e.o.Store.Revoke(call, lease); err != nil && !infra.IsKind(err, infra.KindLeaseNotFound) {
		e.o.Log.V(1).Info("lease not ended", "lease", int64(lease), "error", err.Error())
		if e.o.HandOver != nil {
			e.o.HandOver(lease)
		}
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
	behind  bool // it was ended by Relieve
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

// Relieve gives the term up to another entry VM, as this one is behind its work or carries less.
func (t *Term) Relieve() {
	t.mu.Lock()
	t.behind = true
	t.mu.Unlock()
	t.End("another VM is to have the duty")
}

func (t *Term) relieved() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.behind
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
		t.elector.o.Log.Info("term ends", "duty", t.elector.o.Duty, "token", t.token, "reason", reason)
		t.cancel()
	}
}

// run renews the lease and runs Own until either ends.
func (t *Term) run(parent context.Context) {
	ctx, cancel := context.WithCancel(parent)
	t.cancel = cancel
	defer cancel()
	t.elector.o.Log.Info("term begins", "duty", t.elector.o.Duty, "token", t.token)
	var renewer sync.WaitGroup
	renewer.Go(func() { t.renew(ctx) })
	t.elector.o.Own(ctx, t)
	t.End("its work ended")
	renewer.Wait()
	t.elector.drop(parent, t.lease)
	t.elector.o.Directory.remove(infra.WorkOwnerKey(t.elector.o.Duty), infra.Revision(t.token))
}

// renew keeps the lease. A renewal without an answer is repeated at once, and given
// more time: answers are lost while the store is well, and it answers late while it is
// slow; renewals repeated do no harm.
func (t *Term) renew(ctx context.Context) {
	timeout := firstTimeout
	for t.elector.pause(ctx, renewEvery) {
		for ctx.Err() == nil {
			call, cancel := context.WithTimeout(ctx, timeout+t.elector.patience())
			sent := t.elector.o.Clock.Now()
			err := t.elector.o.Store.KeepAlive(call, t.lease)
			cancel()
			if ctx.Err() != nil {
				return
			}
			t.renewed(sent, err)
			if err == nil {
				timeout = firstTimeout
				break
			}
			timeout = min(2*timeout, callTimeout)
			t.elector.pause(ctx, againPause)
		}
	}
}

// patience is what a renewal gets more while this VM is behind. The store has renewed the
// lease and the answer lies here unread: given up, the owner would be without certainty
// while nobody else can take the duty.
func (e *Elector) patience() time.Duration {
	if e.o.Behind == nil {
		return 0
	}
	return overload.ExtraTimeout(e.o.Behind())
}

// renewed takes the outcome of a renewal over. Only a renewal that failed
// lets orders go on past the lease: a VM that was suspended, and has not asked
// yet, must assume that it has a successor.
func (t *Term) renewed(sent time.Duration, err error) {
	if err == nil {
		t.mu.Lock()
		if t.ended == "" {
			t.certain = sent + t.elector.o.sure()
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
	t.elector.o.Log.Info("lease not renewed", "duty", t.elector.o.Duty, "token", t.token, "error", err.Error())
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended == "" {
		t.allowed = max(t.allowed, min(now+unreachableFor, t.certain+t.elector.o.Grace))
	}
}
