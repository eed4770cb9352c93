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
	// maxSendWindow bounds Ticket.SendBy: no caller waits that long.
	maxSendWindow = 30 * time.Minute
	// defaultMaxAnswer is the largest answer kept; larger ones are recorded
	// without their body.
	defaultMaxAnswer = 64 << 10
	// releasedFor is how long a released key keeps its value, which must
	// outlast every delayed copy of a claim.
	releasedFor = time.Hour
	// fenceRetryMin and fenceRetryMax bound the wait between attempts to
	// settle a claim in the background.
	fenceRetryMin = 100 * time.Millisecond
	fenceRetryMax = 5 * time.Second
	// drainFor is how long a stopping daemon goes on recording; two calls and
	// their retries.
	drainFor = 3 * time.Second
	// maxSettling bounds how many claims are settled in the background; a
	// few minutes of claims whose replies are lost.
	maxSettling = 4096
)

var (
	errAbandoned = errors.New("claim: the caller stopped waiting")
	errBusy      = errors.New("claim: too many claims wait for the platform")
	errNotHeld   = errors.New("claim: not held, or already recorded or released")
	errReplaced  = errors.New("claim: another value stands in its place")
	errRestored  = errors.New("claim: the store was restored to an older state and may have forgotten claims")
	errClosing   = errors.New("claim: closing")
)

// Options are what a Ledger needs. Store and Self must be set.
type Options struct {
	Store infra.Store
	Self  view.EntryRecord // as registered in the store, with its incarnation
	// Live returns the IDs of the live entry VMs, this one included; nil
	// for this one alone.
	Live func() []model.EntryID
	// Accepted returns the highest revision of the store known here; nil for
	// none. A store that answers with a lower one has been restored.
	Accepted func() infra.Revision
	// Clocks returns the earliest and the latest wall clock of the live entry
	// VMs; nil for the own one alone.
	Clocks func() (earliest, latest time.Time)
	// MaxAnswer is the largest body kept, in bytes; 0 for 64 KiB.
	MaxAnswer int
	Log       logr.Logger
}

// Ledger keeps claims in the platform's store. It is safe for concurrent use.
type Ledger struct {
	opts    Options
	commits *committer
	settles chan struct{} // a slot per claim settled in the background

	mu   sync.Mutex
	held map[string]record // claims won here and not yet recorded, by ID
	seen map[model.EntryID]sighting
	// closed: Run waits for its last tasks and takes no more.
	closed bool

	tasks  sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

var _ Claims = (*Ledger)(nil)

// NewLedger returns a Ledger; claims wait until Run.
func NewLedger(opts Options) *Ledger {
	if opts.Live == nil {
		self := []model.EntryID{opts.Self.ID}
		opts.Live = func() []model.EntryID { return self }
	}
	if opts.Accepted == nil {
		opts.Accepted = func() infra.Revision { return 0 }
	}
	if opts.Clocks == nil {
		opts.Clocks = ownClock
	}
	if opts.MaxAnswer == 0 {
		opts.MaxAnswer = defaultMaxAnswer
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Ledger{
		opts:    opts,
		commits: newCommitter(opts.Store, func() int { return len(opts.Live()) }),
		settles: make(chan struct{}, maxSettling),
		held:    make(map[string]record),
		seen:    make(map[model.EntryID]sighting),
		ctx:     ctx,
		cancel:  cancel,
	}
}

// Run commits and sweeps until ctx ends, and then for as long as recording
// what has run takes, but no longer than drainFor. Stop taking requests in
// before.
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

// drain waits until no claim is being settled. What is not recorded when a
// daemon stops is unknown for ever.
func (l *Ledger) drain() {
	for until := time.Now().Add(drainFor); len(l.settles) > 0 && time.Now().Before(until); {
		sleep.For(l.ctx, lostPause)
	}
}

// Claim implements Claims. It ends with ctx.
func (l *Ledger) Claim(ctx context.Context, req Request) (Result, error) {
	if err := ctx.Err(); err != nil {
		return Result{}, &Error{Certain: true, Err: trace.Wrap(err)}
	}
	now := time.Now()
	accepted := l.opts.Accepted()
	r := l.newRecord(req, l.latest())
	key := storeKey(req.Key)
	var over infra.Revision // of the released claim this one replaces
	for {
		o, err := l.put(ctx, key, over, r)
		if err != nil {
			return Result{}, err
		}
		if o.applied {
			l.hold(r)
			if o.rev < accepted {
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
			return l.judge(ctx, r, found), nil
		}
		over = o.current.ModRevision
	}
}

// refuseRestored takes back a claim won in a store that was restored to an
// older state. An earlier claim of the key may be among what the store forgot,
// and callers repeat within minutes: until the store has passed what was
// accepted, which takes about as long as it lost, nothing that must not run
// twice runs.
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

// put writes a claim and waits for its outcome. Its errors are *Error.
func (l *Ledger) put(ctx context.Context, key string, over infra.Revision, r record) (outcome, error) {
	value, err := r.encode()
	if err != nil {
		return outcome{}, &Error{Certain: true, Err: trace.Wrap(err)}
	}
	if len(l.settles) >= maxSettling {
		// Each of these may still come to hold its key, and is remembered
		// until that is settled.
		return outcome{}, &Error{Certain: true, Err: errBusy}
	}
	p := l.commits.submit(write{key: key, mod: over, value: value})
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
	l.settleLater(func() error { return l.abandon(p, r) })
	return outcome{}, &Error{Err: trace.Wrap(errAbandoned, "%v", ctx.Err())}
}

// judge says what another call's claim of the key means to this one.
func (l *Ledger) judge(ctx context.Context, mine, found record) Result {
	switch {
	case found.Digest != mine.Digest:
		return Result{State: Mismatch}
	case found.Stage == stageRecorded && found.Answer != nil && found.Answer.Status != 0:
		return Result{State: Recorded, Answer: *found.Answer}
	case found.Stage == stageRecorded:
		return Result{State: Unknown}
	case l.holderLives(ctx, found):
		return Result{State: Running}
	}
	return Result{State: Unknown}
}

// Record implements Claims. Where it returns an error the outcome goes on
// being written in the background.
func (l *Ledger) Record(ctx context.Context, t Ticket, a Answer) error {
	if len(a.Body) > l.opts.MaxAnswer {
		a.Body, a.Kept = nil, false
	}
	return l.rewrite(ctx, t, func(r *record) {
		r.Stage = stageRecorded
		r.Answer = &a
	})
}

// Release implements Claims. Where it returns an error the claim goes on
// being released in the background.
func (l *Ledger) Release(ctx context.Context, t Ticket) error {
	return l.rewrite(ctx, t, l.released)
}

func (l *Ledger) released(r *record) {
	r.Stage = stageReleased
	r.Answer = nil
	r.Expires = l.latest().Add(releasedFor).UTC()
}

func ownClock() (earliest, latest time.Time) {
	now := time.Now()
	return now, now
}

// latest is the clock that claims begin by.
func (l *Ledger) latest() time.Time {
	_, t := l.opts.Clocks()
	return t
}

// earliest is the clock that claims are forgotten by.
func (l *Ledger) earliest() time.Time {
	t, _ := l.opts.Clocks()
	return t
}

// Stats counts what the ledger cost the platform.
type Stats struct {
	Transactions uint64 // sent, also repeated ones
	Writes       uint64 // carried by them: claims, records, releases, deletions
	Settling     int    // claims being settled in the background now
}

// Stats returns the counts so far.
func (l *Ledger) Stats() Stats {
	l.commits.mu.Lock()
	defer l.commits.mu.Unlock()
	return Stats{Transactions: l.commits.calls, Writes: l.commits.writes, Settling: len(l.settles)}
}

func (l *Ledger) hold(r record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held[r.ID] = r
}

// letGo takes a held claim out, so that it is recorded or released once.
func (l *Ledger) letGo(id string) (record, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, ok := l.held[id]
	delete(l.held, id)
	return r, ok
}
