package engine

import (
	"context"
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/internal/guard"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/work"
)

// The owner groups its writes into transactions (group commit): the store takes a few
// hundred writes a second, and tasks end and jobs arrive faster than that. Normally one
// transaction is in flight; more are while the pending changes exceed one transaction.
// A store that answers in 4 ms takes about a hundred transactions a second one after
// the other, each with the ends of five jobs, whereas a burst of a large service has four
// hundred jobs a second. An entry is one condition or one write of a transaction.
const (
	// txnEntries is the maximum number of entries that the users' store accepts in a
	// transaction.
	txnEntries = 32
	// committerCount bounds the transactions in flight. With all of them a cell makes
	// some four hundred calls a second, a third of what the store of a large deployment
	// takes in total.
	committerCount = 4
	// maxCreates bounds the new jobs in a transaction, so that progress fits in as well.
	maxCreates = 8
	// maxCreatesBesideEnds is the bound while ended jobs are pending too: callers wait
	// for both, and with maxCreates new jobs only three ends would fit.
	maxCreatesBesideEnds = 5
	// maxCreateBytes bounds the records of the new jobs in a transaction, which is held several
	// times over while it is sent. A larger job is stored alone.
	maxCreateBytes = 64 << 10
	// commitEntries is the number of entries for the commit key: a condition and a write.
	commitEntries = 2
	// createEntries is the number of entries for a new job: the condition, its job key
	// and its record.
	createEntries = 3
	// backgroundCommitDelay is how long a batch waits for more changes if no caller waits
	// for any of them.
	backgroundCommitDelay = 60 * time.Millisecond
	// urgentCommitDelay is how long a batch with new jobs or final states waits for more.
	urgentCommitDelay = 3 * time.Millisecond
	// storeTimeout bounds one attempt at a transaction; the batch is then sent again.
	storeTimeout = 700 * time.Millisecond
	// storeRetryDelay separates attempts while the store fails.
	storeRetryDelay = 100 * time.Millisecond
	// stalledAfter is how long a transaction may be in flight before new jobs are refused
	// at once, as they could only wait behind it.
	stalledAfter = 400 * time.Millisecond
)

// creation is a new job that waits to be stored.
type creation struct {
	job   *work.Job
	queue Queue
	ops   []infra.Op
	rev   infra.Revision // of the job key that the job replaces; 0: there must be none
	size  int64          // reserved for the job until the core counts it
	done  chan error     // receives the outcome; nil: the job is stored
}

// writer stores new jobs and the core's changes of jobs in the store.
type writer struct {
	engine     *Engine
	committers [committerCount]*committer

	mu      sync.Mutex
	waiting []*creation
	active  int // committers with a batch
	// storingLarge is set while a committer stores a large job. Others of them wait, so that small
	// jobs find a committer.
	storingLarge bool

	// gatherWake is signalled when changes arrive while a committer is in gather.
	gatherWake chan struct{}
}

func newWriter(e *Engine) *writer {
	w := &writer{engine: e, gatherWake: make(chan struct{}, 1)}
	for i := range w.committers {
		w.committers[i] = &committer{w: w, key: infra.WorkCommitKey(e.Cell, i)}
	}
	return w
}

// create stores a new job, for which size bytes are reserved, with the next batch and waits for the
// outcome. ErrStore, ErrNotReady and ErrTooLarge mean that it is not stored, ErrUncertain that it may be,
// and other errors are those of CheckRepeat.
func (w *writer) create(ctx context.Context, j *work.Job, q Queue, size int64) error {
	ops, err := CreateOps(w.engine.Cell, j, q)
	if err != nil {
		w.engine.Memory.Return(guard.Jobs, size)
		return err
	}
	c := &creation{job: j, queue: q, ops: ops, size: size, done: make(chan error, 1)}
	w.mu.Lock()
	if w.stalledLocked() {
		w.mu.Unlock()
		w.engine.Memory.Return(guard.Jobs, size)
		return ErrStore
	}
	w.begin(c)
	w.waiting = append(w.waiting, c)
	w.mu.Unlock()
	kick(w.engine.storeKick)
	select {
	case err := <-c.done:
		return err
	case <-ctx.Done():
		if w.withdraw(c) {
			return ErrStore
		}
		return ErrUncertain
	}
}

// begin tells the core that the creation's outcome is open. w.mu may be held.
func (w *writer) begin(c *creation) {
	w.engine.mu.Lock()
	defer w.engine.mu.Unlock()
	w.engine.core.CreationBegins(c.job.ID)
}

// finish tells the core that the creation's outcome is known, and passes it to the caller. w.mu
// may be held.
func (w *writer) finish(c *creation, err error) {
	w.engine.mu.Lock()
	w.engine.core.CreationEnds(c.job.ID)
	w.engine.mu.Unlock()
	w.engine.Memory.Return(guard.Jobs, c.size)
	c.done <- err
}

// storableLocked returns how many of the waiting creations can be stored now. The caller holds w.mu.
func (w *writer) storableLocked() (n int) {
	for _, c := range w.waiting {
		if !w.storingLarge || !c.large() {
			n++
		}
	}
	return n
}

// stalledLocked reports whether a transaction, but that of a large job, has been in flight for longer
// than stalledAfter. The caller holds w.mu.
func (w *writer) stalledLocked() bool {
	now := w.engine.Clock.Now()
	for _, c := range w.committers {
		if c.batchSince != 0 && !c.large && now > c.batchSince+stalledAfter {
			return true
		}
	}
	return false
}

// withdraw removes a creation that is in no batch yet and reports whether it did.
func (w *writer) withdraw(c *creation) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, o := range w.waiting {
		if o == c {
			w.waiting = append(w.waiting[:i], w.waiting[i+1:]...)
			w.finish(c, ErrStore)
			return true
		}
	}
	return false
}

// run runs the committers until ctx ends and then refuses the creations still waiting.
func (w *writer) run(ctx context.Context) {
	var all sync.WaitGroup
	for _, c := range w.committers {
		all.Go(func() { c.run(ctx) })
	}
	all.Wait()
	w.refuseAll()
}

// startBatch reports whether a committer may take a batch now, and whether it is the only
// one with a batch. Further committers start only if the urgent changes exceed one
// transaction; otherwise they would spread the same writes over more calls.
func (w *writer) startBatch() (first, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.active > 0 && w.urgentEntries(w.storableLocked()) < txnEntries-commitEntries {
		return false, false
	}
	w.active++
	return w.active == 1, true
}

// urgentEntries returns the number of entries for which callers wait: the given number of
// creations and the ends of jobs.
func (w *writer) urgentEntries(creates int) int {
	w.engine.mu.Lock()
	defer w.engine.mu.Unlock()
	_, final := w.engine.core.Dirty()
	return creates*createEntries + final*endEntries
}

// gather waits for more changes to share the transaction: urgentCommitDelay if a caller
// waits for one of them, else backgroundCommitDelay or until one is urgent.
func (w *writer) gather(ctx context.Context) {
	if w.urgent() {
		sleep.For(ctx, urgentCommitDelay)
		return
	}
	end := w.engine.Clock.Now() + backgroundCommitDelay
	for w.engine.Clock.Now() < end && ctx.Err() == nil {
		t := time.NewTimer(end - w.engine.Clock.Now())
		select {
		case <-w.gatherWake:
			if w.urgent() {
				end = 0
			}
		case <-t.C:
		case <-ctx.Done():
		}
		t.Stop()
	}
}

// urgent reports whether a caller waits for a pending change.
func (w *writer) urgent() bool {
	w.mu.Lock()
	creates := w.storableLocked()
	w.mu.Unlock()
	return w.urgentEntries(creates) > 0
}

// finishFlush reports the outcome of the batch's changes to the core and wakes the sessions
// of workers whose ends can be acknowledged now.
func (w *writer) finishFlush(b *batch, err error) {
	w.engine.mu.Lock()
	acknowledge := w.engine.core.Flushed(b.flush, err)
	w.engine.mu.Unlock()
	b.flush = Flush{}
	for _, id := range acknowledge {
		w.engine.wake(id)
	}
}

// handleExisting handles a creation whose job key has changed. It reports whether the creation is
// completed: another entry VM stored the job before, and its inbox message brings the job here unless
// it has ended, or the key rules the job out.
func (w *writer) handleExisting(c *creation, key infra.KV) (completed bool) {
	free, err := CheckRepeat(key, c.job)
	if free {
		c.rev = key.ModRevision
		return false
	}
	if err != nil {
		w.engine.Log.Info("job can't be created", "job", c.job.ID, "workspace", c.job.Workspace, "reason", err.Error())
	} else {
		w.engine.Log.Info("job is already stored", "job", c.job.ID, "workspace", c.job.Workspace)
	}
	w.finish(c, err)
	return true
}

// refuse fails the batch's creations and all waiting ones with ErrStore. It is called only
// if it is certain that none of them is or will be stored.
func (w *writer) refuse(b *batch) {
	for _, c := range b.creates {
		w.finish(c, ErrStore)
	}
	b.creates = nil
	w.mu.Lock()
	waiting := w.waiting
	w.waiting = nil
	w.mu.Unlock()
	for _, c := range waiting {
		w.finish(c, ErrStore)
	}
}

// abandon gives the batch up at the end of the term. Whether it took effect is left to the
// next owner, which reads the store.
func (w *writer) abandon(b *batch) {
	for _, c := range b.creates {
		if b.mayBeStored {
			w.finish(c, ErrUncertain)
		} else {
			w.finish(c, ErrNotReady)
		}
	}
	w.engine.mu.Lock()
	w.engine.core.Flushed(b.flush, ErrUncertain)
	w.engine.mu.Unlock()
}

// refuseAll fails all waiting creations with ErrNotReady.
func (w *writer) refuseAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.waiting {
		w.finish(c, ErrNotReady)
	}
	w.waiting = nil
}
