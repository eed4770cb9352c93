package engine

import (
	"context"
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/work"
)

// The owner's writes go out in transactions, each with what has gathered meanwhile:
// the store takes a few hundred writes a second, tasks end and jobs come faster than
// that. One transaction at a time is under way, and more while more waits than one
// holds: a store that answers in four milliseconds takes a hundred a second one by one,
// each with the ends of five jobs, and a burst of a large service has four hundred
// jobs a second.
const (
	// txnEntries is the most a transaction of the users' store holds.
	txnEntries = 32
	// committerCount bounds the transactions under way at a time; with all of them a
	// cell makes some four hundred calls a second, a third of what the store of a
	// large deployment takes from all.
	committerCount = 4
	// maxCreates leaves room for progress beside new jobs.
	maxCreates = 8
	// maxCreatesBesideEnds is the same while ended jobs wait as well: callers of both
	// wait, and new ones alone would leave room for three ends.
	maxCreatesBesideEnds = 5
	// commitEntries is what the commit key takes: a condition and a write.
	commitEntries = 2
	// createEntries is what a new job takes: its condition, its short key and
	// its record.
	createEntries = 3
	// backgroundCommitDelay is how long ends that nobody waits for may gather.
	backgroundCommitDelay = 60 * time.Millisecond
	// urgentCommitDelay is how long new jobs and final states may gather.
	urgentCommitDelay = 3 * time.Millisecond
	// storeTimeout ends a transaction without an answer; it is sent again.
	storeTimeout = 700 * time.Millisecond
	// storeRetryDelay separates tries while the store is in trouble.
	storeRetryDelay = 100 * time.Millisecond
	// stalledAfter is how long a transaction may be under way until new jobs
	// are refused at once: they could only wait behind it.
	stalledAfter = 400 * time.Millisecond
)

type creation struct {
	job   *work.Job
	queue Queue
	ops   []infra.Op
	done  chan error
}

// writer stores what the core decides.
type writer struct {
	engine     *Engine
	committers [committerCount]*committer

	mu      sync.Mutex
	waiting []*creation
	active  int // committers at work

	// gatherWake is told what comes while a committer gathers.
	gatherWake chan struct{}
}

func newWriter(e *Engine) *writer {
	w := &writer{engine: e, gatherWake: make(chan struct{}, 1)}
	for i := range w.committers {
		w.committers[i] = &committer{w: w, key: infra.WorkCommitKey(e.Cell, i)}
	}
	return w
}

// create stores a new job with the next batch.
func (w *writer) create(ctx context.Context, j *work.Job, q Queue) error {
	ops, err := CreateOps(w.engine.Cell, j, q)
	if err != nil {
		return err
	}
	c := &creation{job: j, queue: q, ops: ops, done: make(chan error, 1)}
	w.mu.Lock()
	if w.stalledLocked() {
		w.mu.Unlock()
		return ErrStore
	}
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

// stalledLocked reports whether a transaction has been under way for long.
func (w *writer) stalledLocked() bool {
	now := w.engine.Clock.Now()
	for _, c := range w.committers {
		if c.batchSince != 0 && now > c.batchSince+stalledAfter {
			return true
		}
	}
	return false
}

// withdraw takes back a job that is in no batch yet.
func (w *writer) withdraw(c *creation) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, o := range w.waiting {
		if o == c {
			w.waiting = append(w.waiting[:i], w.waiting[i+1:]...)
			return true
		}
	}
	return false
}

func (w *writer) run(ctx context.Context) {
	var all sync.WaitGroup
	for _, c := range w.committers {
		all.Go(func() { c.run(ctx) })
	}
	all.Wait()
	w.refuseAll()
}

// startBatch reports whether a committer is to take a batch now, and whether it is the only
// one. Others join it while more waits than one transaction holds; sooner they would
// but share the same writes out over more calls.
func (w *writer) startBatch() (first, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.active > 0 && w.urgentEntries(len(w.waiting)) < txnEntries-commitEntries {
		return false, false
	}
	w.active++
	return w.active == 1, true
}

// urgentEntries counts the entries of what callers wait for.
func (w *writer) urgentEntries(creates int) int {
	w.engine.mu.Lock()
	defer w.engine.mu.Unlock()
	_, final := w.engine.core.Dirty()
	return creates*createEntries + final*endEntries
}

// gather waits for company: shortly if somebody waits for an answer.
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

func (w *writer) urgent() bool {
	w.mu.Lock()
	creates := len(w.waiting)
	w.mu.Unlock()
	return w.urgentEntries(creates) > 0
}

func (w *writer) finishFlush(b *batch, err error) {
	w.engine.mu.Lock()
	acknowledge := w.engine.core.Flushed(b.flush, err)
	w.engine.mu.Unlock()
	b.flush = Flush{}
	for _, id := range acknowledge {
		w.engine.wake(id)
	}
}

// alreadyStored accepts a job whose key is there: it came before by another entry VM,
// whose note brings it here if it has not ended.
func (w *writer) alreadyStored(c *creation, stub []byte) {
	err := SameWorkspace(stub, c.job)
	w.engine.Log.Info("job was stored before", "job", c.job.ID, "workspace", c.job.Workspace, "another workspace's", err != nil)
	c.done <- err
}

// refuse gives the batch up where it is certain that nothing of it is or will
// be stored.
func (w *writer) refuse(b *batch) {
	for _, c := range b.creates {
		c.done <- ErrStore
	}
	b.creates = nil
	w.mu.Lock()
	waiting := w.waiting
	w.waiting = nil
	w.mu.Unlock()
	for _, c := range waiting {
		c.done <- ErrStore
	}
}

// abandon ends the batch with the term: its outcome is for the successor.
func (w *writer) abandon(b *batch) {
	for _, c := range b.creates {
		if b.mayBeStored {
			c.done <- ErrUncertain
		} else {
			c.done <- ErrNotReady
		}
	}
	w.engine.mu.Lock()
	w.engine.core.Flushed(b.flush, ErrUncertain)
	w.engine.mu.Unlock()
}

func (w *writer) refuseAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.waiting {
		c.done <- ErrNotReady
	}
	w.waiting = nil
}
