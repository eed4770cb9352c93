package claim

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// maxSendWindow limits how long after the claim the request may be sent; no
	// caller waits that long.
	maxSendWindow = 30 * time.Minute
	// defaultMaxAnswer is the default of Options.MaxAnswer, in bytes; larger
	// answers are recorded without their body.
	defaultMaxAnswer = 64 << 10
	// releasedRetention is how long the value of a released key is kept. It must
	// exceed the delay of any copy of a claim that is still in transit.
	releasedRetention = time.Hour
	// fenceRetryMin and fenceRetryMax bound the wait between attempts to
	// settle a claim in the background.
	fenceRetryMin = 100 * time.Millisecond
	fenceRetryMax = 5 * time.Second
	// drainTimeout is how long a stopping daemon continues to record outcomes:
	// enough for two calls and their retries.
	drainTimeout = 3 * time.Second
	// maxSettling bounds the claims that are settled in the background: those of
	// a few minutes during which every reply is lost.
	maxSettling = 4096
)

var (
	errAbandoned = errors.New("caller stopped waiting before the claim was decided")
	errBusy      = errors.New("too many claims are being settled in the background")
	errNotHeld   = errors.New("claim is not held, or already recorded or released")
	errReplaced  = errors.New("claim's key holds another value")
	errRestored  = errors.New("store was restored to an older state and may have lost claims")
	errClosing   = errors.New("ledger is closing")
)

// Options configures a Ledger. Store and Self are required.
type Options struct {
	Store infra.Store
	Self  view.EntryRecord // as registered in the store, with its incarnation
	// Live returns the IDs of the live entry VMs, including this one. If nil,
	// this entry VM is the only one.
	Live func() []model.EntryID
	// KnownRevision returns the highest store revision known to this entry VM. A
	// store that answers with a lower one was restored from a backup. If nil, this
	// is not checked.
	KnownRevision func() infra.Revision
	// Clocks returns the earliest and the latest wall-clock time among the live
	// entry VMs. If nil, only the local clock is used.
	Clocks func() (earliest, latest time.Time)
	// MaxAnswer is the maximum size of a recorded body, in bytes; 0 means 64 KiB.
	MaxAnswer int
	Log       logr.Logger
}

// Ledger implements Claims with records in the platform's store. It is safe for
// concurrent use.
type Ledger struct {
	opts        Options
	commits     *committer
	settleSlots chan struct{} // one element per claim being settled in the background

	mu            sync.Mutex
	held          map[string]record // claims won and neither recorded nor released yet, by ID
	registrations map[model.EntryID]registration
	// closed is set when Run waits for its last tasks; no more may be started.
	closed bool

	tasks  sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

var _ Claims = (*Ledger)(nil)

// NewLedger returns a Ledger. Claims wait until Run is called.
func NewLedger(opts Options) *Ledger {
	if opts.Live == nil {
		self := []model.EntryID{opts.Self.ID}
		opts.Live = func() []model.EntryID { return self }
	}
	if opts.KnownRevision == nil {
		opts.KnownRevision = func() infra.Revision { return 0 }
	}
	if opts.Clocks == nil {
		opts.Clocks = localClock
	}
	if opts.MaxAnswer == 0 {
		opts.MaxAnswer = defaultMaxAnswer
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Ledger{
		opts:          opts,
		commits:       newCommitter(opts.Store, func() int { return len(opts.Live()) }),
		settleSlots:   make(chan struct{}, maxSettling),
		held:          make(map[string]record),
		registrations: make(map[model.EntryID]registration),
		ctx:           ctx,
		cancel:        cancel,
	}
}

// Run commits writes and sweeps expired claims until ctx ends. It then waits up
// to drainTimeout for claims being settled, so that the outcomes of requests
// that ran are recorded. The daemon must stop accepting requests before ctx
// ends.
func (l *Ledger) Run(ctx context.Context) {
	l.tasks.Go(func() { l.sweepLoop(ctx) })
	l.tasks.Go(func() { l.commits.run(l.ctx) })
	<-ctx.Done()
	l.drain()
	l.close()
	l.cancel()
	l.tasks.Wait()
}

func (l *Ledger) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

// drain waits until no claim is being settled, but no longer than drainTimeout.
// An outcome that is not recorded when the daemon stops remains unknown.
func (l *Ledger) drain() {
	for until := time.Now().Add(drainTimeout); len(l.settleSlots) > 0 && time.Now().Before(until); {
		sleep.For(l.ctx, retryDelay)
	}
}

// Claim implements Claims. It returns when ctx ends, at the latest; a claim that
// is undecided by then is settled in the background.
func (l *Ledger) Claim(ctx context.Context, req Request) (Result, error) {
	if err := ctx.Err(); err != nil {
		return Result{}, &Error{Certain: true, Err: trace.Wrap(err)}
	}
	now := time.Now()
	known := l.opts.KnownRevision()
	r := l.newRecord(req, l.latestClock())
	key := storeKey(req.Key)
	var replaced infra.Revision // revision of the released claim that is replaced; 0 if none
	for {
		o, err := l.submitClaim(ctx, key, replaced, r)
		if err != nil {
			return Result{}, err
		}
		if o.applied {
			l.addHeld(r)
			if o.rev < known {
				return Result{}, l.refuseRestored(ctx, Ticket{StoreKey: key, ID: r.ID, Revision: o.rev})
			}
			sendBy := now.Add(min(req.Remember/2, maxSendWindow))
			return Result{State: Won, Ticket: Ticket{StoreKey: key, ID: r.ID, SendBy: sendBy, Revision: o.rev}}, nil
		}
		found, err := decodeRecord(o.current.Value)
		if err != nil {
			return Result{}, &Error{Err: trace.Wrap(err, "claim %s", key)}
		}
		if found.Stage != stageReleased {
			return l.resultForExisting(ctx, r, found), nil
		}
		replaced = o.current.ModRevision
	}
}

// refuseRestored releases a claim that was won in a store restored to an older
// state. The store may have lost an earlier claim of the key, and callers retry
// within minutes. So no request that must not run twice is run until the store's
// revision exceeds the highest one known, which takes about as long as the
// period whose changes were lost.
func (l *Ledger) refuseRestored(ctx context.Context, t Ticket) error {
	err := l.Release(ctx, t)
	return &Error{Certain: err == nil, Err: errRestored}
}

func (l *Ledger) newRecord(req Request, now time.Time) record {
	return record{
		ID: newID(), Stage: stageClaimed,
		Service: req.Key.Service, Caller: req.Key.Caller, Key: req.Key.Key,
		Digest: hex.EncodeToString(req.Digest[:]),
		Entry:  l.opts.Self.ID, Incarnation: l.opts.Self.Incarnation,
		Claimed: now.UTC(), Expires: now.Add(req.Remember).UTC(),
	}
}

func newID() string {
	var b [12]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// submitClaim writes a claim over the given revision and waits for the outcome.
// Its errors are of type *Error.
func (l *Ledger) submitClaim(ctx context.Context, key string, replaced infra.Revision, r record) (outcome, error) {
	value, err := r.encode()
	if err != nil {
		return outcome{}, &Error{Certain: true, Err: trace.Wrap(err)}
	}
	if len(l.settleSlots) >= maxSettling {
		// Each claim being settled may still take effect and is kept in memory
		// until it is settled, so their number must be bounded.
		return outcome{}, &Error{Certain: true, Err: errBusy}
	}
	p := l.commits.submit(write{key: key, expectedRev: replaced, value: value})
	select {
	case o := <-p.done:
		if infra.IsKind(o.err, infra.KindUnknown) {
			return outcome{}, l.settleUnknown(ctx, p, r, o.err)
		}
		if o.err != nil {
			return outcome{}, &Error{Certain: true, Err: trace.Wrap(o.err)}
		}
		return o, nil
	case <-ctx.Done():
	}
	if l.commits.withdraw(p) {
		return outcome{}, &Error{Certain: true, Err: trace.Wrap(ctx.Err())}
	}
	l.settleInBackground(func() error { return l.settleAbandoned(p, r) })
	return outcome{}, &Error{Err: trace.Wrap(errAbandoned, "%v", ctx.Err())}
}

// resultForExisting returns the result of a claim whose key is already claimed
// or recorded by another call, as found.
func (l *Ledger) resultForExisting(ctx context.Context, mine, found record) Result {
	switch {
	case found.Digest != mine.Digest:
		return Result{State: Mismatch}
	case found.Stage == stageRecorded && found.Answer != nil && found.Answer.Status != 0:
		return Result{State: Recorded, Answer: *found.Answer}
	case found.Stage == stageRecorded:
		return Result{State: Unknown}
	case l.holderMayBeAlive(ctx, found):
		return Result{State: Running}
	}
	return Result{State: Unknown}
}

// Record implements Claims. If ctx ends first, the outcome is still written in
// the background.
func (l *Ledger) Record(ctx context.Context, t Ticket, a Answer) error {
	if len(a.Body) > l.opts.MaxAnswer {
		a.Body, a.Kept = nil, false
	}
	return l.finishHeld(ctx, t, func(r *record) {
		r.Stage = stageRecorded
		r.Answer = &a
	})
}

// Release implements Claims. If ctx ends first, the claim is still released in
// the background.
func (l *Ledger) Release(ctx context.Context, t Ticket) error {
	return l.finishHeld(ctx, t, l.markReleased)
}

func (l *Ledger) markReleased(r *record) {
	r.Stage = stageReleased
	r.Answer = nil
	r.Expires = l.latestClock().Add(releasedRetention).UTC()
}

func localClock() (earliest, latest time.Time) {
	now := time.Now()
	return now, now
}

// latestClock returns the latest wall-clock time among the live entry VMs. New
// records get their expiry from it, so that no clock difference shortens it.
func (l *Ledger) latestClock() time.Time {
	_, t := l.opts.Clocks()
	return t
}

// earliestClock returns the earliest wall-clock time among the live entry VMs.
// Expiry is checked against it, so that no claim is deleted too early.
func (l *Ledger) earliestClock() time.Time {
	t, _ := l.opts.Clocks()
	return t
}

// Stats counts the load that the ledger puts on the platform's store.
type Stats struct {
	Transactions uint64 // transactions sent, including retries
	Writes       uint64 // writes in them: claims, records, releases, deletions
	Settling     int    // claims currently being settled in the background
}

// Stats returns the current counts.
func (l *Ledger) Stats() Stats {
	l.commits.mu.Lock()
	defer l.commits.mu.Unlock()
	return Stats{Transactions: l.commits.transactions, Writes: l.commits.writes, Settling: len(l.settleSlots)}
}

func (l *Ledger) addHeld(r record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[r.ID] = r
}

// removeHeld removes a held claim and returns it, so that it is recorded or
// released only once.
func (l *Ledger) removeHeld(id string) (record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.held[id]
	delete(l.held, id)
	return r, ok
}
