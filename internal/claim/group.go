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
	// WritesPerSecond limits the transactions that the claims of all entry VMs
	// together may send to the platform's store, which accepts several hundred
	// writes per second in total. Each entry VM gets an equal share.
	WritesPerSecond = 160
	// writeBurst is the burst size of the rate limiter, in transactions; it
	// lets an idle entry VM claim and record without delay.
	writeBurst = 4
	// maxGroupWrites is the maximum number of writes in one transaction; the
	// store accepts 128 operations.
	maxGroupWrites = 100
	// maxGroupBytes is the maximum size of the values in one transaction. It
	// stays below the store's limit of 1 MB for a value, which is also about
	// the limit for a request.
	maxGroupBytes = 512 << 10
	// maxGroupsInFlight is the maximum number of concurrent transactions, so
	// that a slow one does not hold up the next group.
	maxGroupsInFlight = 4
	// maxGroupAttempts is the maximum number of times one group is sent. An
	// attempt that is answered decides at least one of the group's writes; one
	// that is not answered may have been lost.
	maxGroupAttempts = 6
	// retryDelay is the wait before a transaction is repeated whose reply was
	// lost or that was rate-limited, and the interval at which drain polls.
	retryDelay = 20 * time.Millisecond
	// txnTimeout bounds one transaction; the store answers in milliseconds.
	txnTimeout = time.Second
)

var errNotSent = infra.Errorf("txn", infra.KindUnavailable, "closing")

// write is a compare-and-swap of one key. A nil value deletes the key.
type write struct {
	key         string
	expectedRev infra.Revision
	value       []byte
}

// outcome is the result of a write. After an error of kind unknown the write
// may have taken effect or may still do so; after any other error it has not
// and will not.
type outcome struct {
	applied bool
	rev     infra.Revision // the key's new revision, if applied
	current infra.KV       // the key's present value, if the comparison failed
	err     error
}

// pending is a write submitted to the committer. Its outcome is sent on done.
type pending struct {
	write
	done chan outcome
}

// committer combines many writes in one transaction (group commit). Otherwise
// each claim and each record would be a call of its own, and a few hundred
// requests per second would use up the store's whole write rate. The first
// write is sent immediately; later ones queue up as the next group while the
// committer waits for the rate limiter or a free slot.
type committer struct {
	store      infra.Store
	entryCount func() int // number of entry VMs that share WritesPerSecond
	limiter    *rate.Limiter
	slots      chan struct{}
	wake       chan struct{}
	tasks      sync.WaitGroup

	mu           sync.Mutex
	queue        []*pending
	inFlight     map[string]bool // keys of writes in flight
	closed       bool
	transactions uint64
	writes       uint64
}

func newCommitter(store infra.Store, entryCount func() int) *committer {
	return &committer{
		store: store, entryCount: entryCount,
		limiter:  rate.NewLimiter(WritesPerSecond, writeBurst),
		slots:    make(chan struct{}, maxGroupsInFlight),
		wake:     make(chan struct{}, 1),
		inFlight: make(map[string]bool),
	}
}

// submit queues a write; its outcome is sent on the done channel of the
// returned value.
func (c *committer) submit(w write) *pending {
	p := &pending{write: w, done: make(chan outcome, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		p.done <- outcome{err: errNotSent}
		return p
	}
	c.queue = append(c.queue, p)
	c.signal()
	return p
}

// withdraw removes a write from the queue and reports whether it did; a write
// that is already being sent cannot be withdrawn.
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

// signal makes run check the queue for writes that it can send. It doesn't block.
func (c *committer) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// run sends groups until ctx ends. It then waits for the writes in flight and
// fails those still queued with errNotSent.
func (c *committer) run(ctx context.Context) {
	for c.awaitSendSlot(ctx) {
		group := c.nextGroup()
		if len(group) == 0 {
			<-c.slots
			continue
		}
		c.tasks.Go(func() {
			c.commit(ctx, group)
			c.releaseKeys(group)
			<-c.slots
		})
	}
	c.tasks.Wait()
	c.close()
}

// awaitSendSlot waits for a queued write, the rate limiter and a free slot. It
// returns false once ctx has ended.
func (c *committer) awaitSendSlot(ctx context.Context) bool {
	select {
	case <-c.wake:
	case <-ctx.Done():
		return false
	}
	c.limiter.SetLimit(rate.Limit(WritesPerSecond) / rate.Limit(max(1, c.entryCount())))
	if c.limiter.Wait(ctx) != nil {
		return false
	}
	select {
	case c.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// nextGroup takes writes to distinct keys from the queue. A second write to a
// key stays queued until the first is no longer in flight.
func (c *committer) nextGroup() []*pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	var group, rest []*pending
	size := 0
	for _, p := range c.queue {
		full := len(group) > 0 && (len(group) >= maxGroupWrites || size+len(p.value) > maxGroupBytes)
		if full || c.inFlight[p.key] {
			rest = append(rest, p)
			continue
		}
		c.inFlight[p.key] = true
		size += len(p.value)
		group = append(group, p)
	}
	c.queue = rest
	if len(group) > 0 && len(rest) > 0 {
		c.signal()
	}
	return group
}

// releaseKeys marks the group's keys as no longer in flight, so that queued
// writes to them can be sent.
func (c *committer) releaseKeys(group []*pending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range group {
		delete(c.inFlight, p.key)
	}
	if len(c.queue) > 0 {
		c.signal()
	}
}

// close fails the queued writes, and all that are submitted later, with
// errNotSent.
func (c *committer) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, p := range c.queue {
		p.done <- outcome{err: errNotSent}
	}
	c.queue = nil
}

// commit sends the group and delivers an outcome to every write in it. A
// transaction is all or nothing: if a write's condition fails, the values read
// back show which one it was, and the others are sent again without it.
func (c *committer) commit(ctx context.Context, group []*pending) {
	var lostReply, lastErr error
	for range maxGroupAttempts {
		res, err := c.send(ctx, group)
		lastErr = err
		switch {
		case err == nil && res.Succeeded:
			completeAll(group, outcome{applied: true, rev: res.Revision})
			return
		case err == nil:
			if group = completeFromReads(group, res.Reads); len(group) == 0 {
				return
			}
			// A delayed copy of the earlier, larger group can no longer take
			// effect: one of its conditions is now known to fail permanently.
			lostReply = nil
		case infra.IsKind(err, infra.KindUnknown):
			lostReply = err
			sleep.For(ctx, retryDelay)
		case lostReply != nil || infra.IsKind(err, infra.KindRateLimited):
			sleep.For(ctx, retryDelay)
		case mayBeOneWrite(err) && len(group) > 1:
			c.commitInHalves(ctx, group)
			return
		default:
			completeAll(group, outcome{err: err})
			return
		}
	}
	if lostReply == nil {
		completeAll(group, outcome{err: infra.Errorf("txn", infra.KindUnavailable, "not written after %d attempts: %v", maxGroupAttempts, lastErr)})
		return
	}
	completeAll(group, outcome{err: infra.Errorf("txn", infra.KindUnknown, "%w", lostReply)})
}

// mayBeOneWrite reports whether err may be due to a single write, so that the
// store would accept the rest of the transaction without it.
func mayBeOneWrite(err error) bool {
	return infra.IsKind(err, infra.KindTooLarge) || infra.IsKind(err, infra.KindInvalid)
}

// commitInHalves commits the two halves of the group separately. Applied
// recursively, it isolates a rejected write in a few calls, and the others are
// written.
func (c *committer) commitInHalves(ctx context.Context, group []*pending) {
	half := len(group) / 2
	c.commit(ctx, group[:half])
	c.commit(ctx, group[half:])
}

func (c *committer) send(ctx context.Context, group []*pending) (infra.TxnResult, error) {
	// The call must not be canceled with a caller or when the daemon stops:
	// without the reply it is not known whether the claims were written.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), txnTimeout)
	defer cancel()
	var txn infra.Txn
	for _, p := range group {
		txn.If = append(txn.If, infra.Cond{Key: p.key, ModRevision: p.expectedRev})
		txn.Else = append(txn.Else, infra.Read(p.key))
		if p.value == nil {
			txn.Then = append(txn.Then, infra.Delete(p.key))
		} else {
			txn.Then = append(txn.Then, infra.Put(p.key, p.value))
		}
	}
	c.mu.Lock()
	c.transactions++
	c.writes += uint64(len(group))
	c.mu.Unlock()
	return c.store.Txn(ctx, txn)
}

// completeFromReads delivers outcomes to the writes whose conditions failed and
// returns the others. A stored value equal to a write's value was written by an
// earlier copy of that write, since every value contains a unique ID.
func completeFromReads(group []*pending, reads []infra.KV) []*pending {
	var again []*pending
	for i, p := range group {
		kv := reads[i]
		switch {
		case p.value != nil && bytes.Equal(kv.Value, p.value):
			p.done <- outcome{applied: true, rev: kv.ModRevision}
		case p.value == nil && kv.ModRevision == 0:
			p.done <- outcome{applied: true}
		case kv.ModRevision != p.expectedRev:
			p.done <- outcome{current: kv}
		default:
			again = append(again, p)
		}
	}
	return again
}

func completeAll(group []*pending, o outcome) {
	for _, p := range group {
		p.done <- o
	}
}
