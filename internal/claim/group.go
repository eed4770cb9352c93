package claim

import (
	"bytes"
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
)

const (
	// WritesPerSecond is what the claims of all entry VMs together may cost
	// the platform, which takes several hundred writes a second for
	// everything. Each entry VM takes an equal part.
	WritesPerSecond = 160
	// writeBurst lets an idle entry VM claim and record at once.
	writeBurst = 4
	// groupOps is the most writes in one transaction; the service takes 128
	// operations.
	groupOps = 100
	// groupBytes keeps a transaction below the service's 1 MB for a value,
	// which is also about what it takes as a request.
	groupBytes = 512 << 10
	// groupsInFlight lets the next group go while a slow one is answered.
	groupsInFlight = 4
	// groupTries bounds how often one group is sent. Each try that is
	// answered settles at least one of its writes; each that is not may have
	// been lost.
	groupTries = 6
	// lostPause is the wait before a transaction without reply is repeated.
	lostPause = 20 * time.Millisecond
	// callTimeout bounds one transaction; the service answers in milliseconds.
	callTimeout = time.Second
)

var errNotSent = infra.Errorf("txn", infra.KindUnavailable, "closing")

// write is one compare-and-swap of a key. A nil value deletes.
type write struct {
	key   string
	mod   infra.Revision
	value []byte
}

// outcome is what became of a write. With an error of kind unknown it may
// have taken effect or still will; with any other it has not and will not.
type outcome struct {
	applied bool
	rev     infra.Revision // of the key, where applied
	current infra.KV       // where another write was first
	err     error
}

// pending is a write on its way through the committer.
type pending struct {
	write
	done chan outcome
}

// committer carries many writes in one transaction. Without it each claim and
// each record would be a call, and a few hundred requests a second would use
// up all the writes the service has. It sends the first write at once; while
// it waits for its turn again, the next group fills.
type committer struct {
	store   infra.Store
	sharers func() int // entry VMs that share WritesPerSecond
	pace    *rate.Limiter
	slots   chan struct{}
	wake    chan struct{}
	tasks   sync.WaitGroup

	mu     sync.Mutex
	queue  []*pending
	flying map[string]bool // keys of writes in flight
	closed bool
	calls  uint64
	writes uint64
}

func newCommitter(store infra.Store, sharers func() int) *committer {
	return &committer{
		store: store, sharers: sharers,
		pace:   rate.NewLimiter(WritesPerSecond, writeBurst),
		slots:  make(chan struct{}, groupsInFlight),
		wake:   make(chan struct{}, 1),
		flying: make(map[string]bool),
	}
}

// submit queues a write; its outcome comes by the returned value's channel.
func (c *committer) submit(w write) *pending {
	p := &pending{write: w, done: make(chan outcome, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		p.done <- outcome{err: errNotSent}
		return p
	}
	c.queue = append(c.queue, p)
	c.poke()
	return p
}

// withdraw takes a write back that was not sent yet, and reports whether it
// could.
func (c *committer) withdraw(p *pending) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, q := range c.queue {
		if q == p {
			c.queue = append(c.queue[:i], c.queue[i+1:]...)
			return true
		}
	}
	return false
}

func (c *committer) poke() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run sends groups until ctx ends; writes still queued then fail unsent. A
// write in flight is waited for.
func (c *committer) run(ctx context.Context) {
	for c.awaitTurn(ctx) {
		group := c.nextGroup()
		if len(group) == 0 {
			<-c.slots
			continue
		}
		c.tasks.Go(func() {
			c.commit(ctx, group)
			c.land(group)
			<-c.slots
		})
	}
	c.tasks.Wait()
	c.close()
}

// awaitTurn waits for a write, for the pace and for a free slot, and reports
// whether to go on.
func (c *committer) awaitTurn(ctx context.Context) bool {
	select {
	case <-c.wake:
	case <-ctx.Done():
		return false
	}
	c.pace.SetLimit(rate.Limit(WritesPerSecond) / rate.Limit(max(1, c.sharers())))
	if c.pace.Wait(ctx) != nil {
		return false
	}
	select {
	case c.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// nextGroup takes writes of distinct keys from the queue. A second write of a
// key waits until the first has landed.
func (c *committer) nextGroup() []*pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	var group, rest []*pending
	size := 0
	for _, p := range c.queue {
		full := len(group) > 0 && (len(group) >= groupOps || size+len(p.value) > groupBytes)
		if full || c.flying[p.key] {
			rest = append(rest, p)
			continue
		}
		c.flying[p.key] = true
		size += len(p.value)
		group = append(group, p)
	}
	c.queue = rest
	if len(group) > 0 && len(rest) > 0 {
		c.poke()
	}
	return group
}

// land frees the group's keys for the writes that waited for them.
func (c *committer) land(group []*pending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range group {
		delete(c.flying, p.key)
	}
	if len(c.queue) > 0 {
		c.poke()
	}
}

func (c *committer) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, p := range c.queue {
		p.done <- outcome{err: errNotSent}
	}
	c.queue = nil
}

// commit settles every write of the group. A transaction is all or nothing:
// where one write's condition fails, the values read back tell which one it
// was, and the others go again without it.
func (c *committer) commit(ctx context.Context, group []*pending) {
	var lost, last error
	for range groupTries {
		res, err := c.send(ctx, group)
		last = err
		switch {
		case err == nil && res.Succeeded:
			settleAll(group, outcome{applied: true, rev: res.Revision})
			return
		case err == nil:
			if group = settleRead(group, res.Reads); len(group) == 0 {
				return
			}
			// A lost copy of the earlier, larger group is dead: one of its
			// conditions is now known to fail for good.
			lost = nil
		case infra.IsKind(err, infra.KindUnknown):
			lost = err
			sleep.For(ctx, lostPause)
		case lost != nil || infra.IsKind(err, infra.KindRateLimited):
			sleep.For(ctx, lostPause)
		case isPoisoned(err) && len(group) > 1:
			c.commitHalves(ctx, group)
			return
		default:
			settleAll(group, outcome{err: err})
			return
		}
	}
	if lost == nil {
		settleAll(group, outcome{err: infra.Errorf("txn", infra.KindUnavailable, "not written after %d tries: %v", groupTries, last)})
		return
	}
	settleAll(group, outcome{err: infra.Errorf("txn", infra.KindUnknown, "%w", lost)})
}

// isPoisoned reports whether one write alone may be why the service refuses
// the whole transaction.
func isPoisoned(err error) bool {
	return infra.IsKind(err, infra.KindTooLarge) || infra.IsKind(err, infra.KindInvalid)
}

// commitHalves finds a refused write in a few calls: the halves without it go
// through.
func (c *committer) commitHalves(ctx context.Context, group []*pending) {
	half := len(group) / 2
	c.commit(ctx, group[:half])
	c.commit(ctx, group[half:])
}

func (c *committer) send(ctx context.Context, group []*pending) (infra.TxnResult, error) {
	// The group outlives any one caller and the daemon's stop: a reply not
	// waited for is a claim not known.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	var txn infra.Txn
	for _, p := range group {
		txn.If = append(txn.If, infra.Cond{Key: p.key, ModRevision: p.mod})
		txn.Else = append(txn.Else, infra.Read(p.key))
		if p.value == nil {
			txn.Then = append(txn.Then, infra.Delete(p.key))
		} else {
			txn.Then = append(txn.Then, infra.Put(p.key, p.value))
		}
	}
	c.mu.Lock()
	c.calls++
	c.writes += uint64(len(group))
	c.mu.Unlock()
	return c.store.Txn(ctx, txn)
}

// settleRead settles the writes whose conditions failed and returns the
// others. A value equal to the write's own is its own: every value bears an
// ID of its own.
func settleRead(group []*pending, reads []infra.KV) []*pending {
	var again []*pending
	for i, p := range group {
		kv := reads[i]
		switch {
		case p.value != nil && bytes.Equal(kv.Value, p.value):
			p.done <- outcome{applied: true, rev: kv.ModRevision}
		case p.value == nil && kv.ModRevision == 0:
			p.done <- outcome{applied: true}
		case kv.ModRevision != p.mod:
			p.done <- outcome{current: kv}
		default:
			again = append(again, p)
		}
	}
	return again
}

func settleAll(group []*pending, o outcome) {
	for _, p := range group {
		p.done <- o
	}
}
