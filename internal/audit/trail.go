package audit

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// DefaultWriteInterval is the default minimum time between two writes of one
	// process. Ten writes per second from each of eight entry VMs are less than
	// a fifth of the several hundred that the store accepts; an order waits a
	// tenth of a second at most.
	DefaultWriteInterval = 100 * time.Millisecond
	// maxPending bounds the entries waiting to be written; more than that means
	// that the platform's store does not keep up.
	maxPending = 1000
	// maxBatch bounds the entries of one write, so that the write stays well
	// below the store's maximum value size, whatever the size of the entries.
	maxBatch = 50
	// commitTimeout bounds one write, including its retries.
	commitTimeout = 5 * time.Second
	// maxOpenAttempts bounds the attempts to open a segment while other writers
	// change the index concurrently.
	maxOpenAttempts = 8
)

// Options configures a Trail. Store and Self are required.
type Options struct {
	Store         infra.Store
	Self          model.EntryID
	Clock         clockwork.Clock // the real clock if nil
	Log           logr.Logger
	WriteInterval time.Duration // minimum time between two writes; 0 means DefaultWriteInterval, negative none
}

// Trail appends entries to the audit trail and reads them. It is safe for
// concurrent use.
type Trail struct {
	store         infra.Store
	self          model.EntryID
	clock         clockwork.Clock
	log           logr.Logger
	writeInterval time.Duration
	limiter       *sourceLimiter

	mu       sync.Mutex
	pending  []*pendingEntry
	flushing bool

	// The fields below are used only by flush, of which one runs at a time.
	open      segment
	openKey   string         // empty if no segment is open
	openRev   infra.Revision // last known revision of openKey
	openSince time.Time      // when it was opened
	openLast  time.Time      // when it was last written
	openBytes int            // its encoded size
	lastWrite time.Time
}

// pendingEntry is an entry waiting to be written. The result is sent on done.
type pendingEntry struct {
	entry Entry
	done  chan error // buffered, so that no receiver is needed
}

// New returns a Trail. It writes nothing until the first entry.
func New(o Options) *Trail {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.WriteInterval == 0 {
		o.WriteInterval = DefaultWriteInterval
	}
	return &Trail{store: o.Store, self: o.Self, clock: o.Clock, log: o.Log, writeInterval: o.WriteInterval, limiter: newSourceLimiter(o.Clock)}
}

// Record records an entry and returns nil once it is certainly in the trail. Its
// errors are of type *Error. A missing ID or time is filled in.
func (t *Trail) Record(ctx context.Context, e Entry) error {
	w, err := t.enqueue(e)
	if err != nil {
		return err
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return &Error{Err: ctx.Err()}
	}
}

// RecordAsync records an entry in the background, for automatic actions. It is
// attempted once, together with the other pending entries; a failure is logged.
func (t *Trail) RecordAsync(e Entry) {
	if _, err := t.enqueue(e); err != nil {
		t.log.Error(err, "audit entry dropped", "what", e.What, "who", e.Who)
	}
}

// RecordLimited records an entry in the background, like RecordAsync, for
// refusals and other entries that one source may cause in large numbers. Entries
// beyond the source's rate are only counted; otherwise they would push older
// entries out of the trail.
func (t *Trail) RecordLimited(e Entry) {
	e, ok := t.limiter.admit(e)
	if !ok {
		return
	}
	t.RecordAsync(e)
}

// Flush waits until a write was attempted for all entries recorded before the
// call, or until ctx ends. It doesn't report whether those writes succeeded.
func (t *Trail) Flush(ctx context.Context) error {
	t.mu.Lock()
	idle := len(t.pending) == 0 && !t.flushing
	t.mu.Unlock()
	if idle {
		return nil
	}
	w, err := t.push(nil)
	if err != nil {
		return err
	}
	select {
	case <-w.done:
		return nil
	case <-ctx.Done():
		return &Error{Err: ctx.Err()}
	}
}

func (t *Trail) enqueue(e Entry) (*pendingEntry, error) {
	if e.ID == "" {
		e.ID = rand.Text()
	}
	if e.At.IsZero() {
		e.At = t.clock.Now().UTC()
	}
	e = e.truncated()
	return t.push(&e)
}

// push queues the entry or, if e is nil, a marker that completes after all
// entries before it.
func (t *Trail) push(e *Entry) (*pendingEntry, error) {
	w := &pendingEntry{done: make(chan error, 1)}
	if e != nil {
		w.entry = *e
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.pending) >= maxPending {
		return nil, &Error{Certain: true, Err: fmt.Errorf("%d entries wait for the platform already", maxPending)}
	}
	t.pending = append(t.pending, w)
	if !t.flushing {
		t.flushing = true
		go t.flush()
	}
	return w, nil
}

// flush writes pending entries in batches until none are left. Entries that
// arrive during a write are collected for the next batch.
func (t *Trail) flush() {
	for {
		t.awaitWriteInterval()
		batch := t.takeBatch()
		if len(batch) == 0 {
			return
		}
		err := t.write(batch)
		for _, w := range batch {
			w.done <- err
		}
	}
}

func (t *Trail) awaitWriteInterval() {
	wait := t.lastWrite.Add(t.writeInterval).Sub(t.clock.Now())
	if t.writeInterval > 0 && wait > 0 {
		<-t.clock.After(wait)
	}
}

func (t *Trail) takeBatch() []*pendingEntry {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := min(len(t.pending), maxBatch)
	batch := t.pending[:n:n]
	t.pending = t.pending[n:]
	t.flushing = n > 0
	return batch
}

func (t *Trail) write(batch []*pendingEntry) error {
	entries := t.newEntries(batch)
	if len(entries) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	t.lastWrite = t.clock.Now()
	if t.openKey != "" && !t.segmentFull() {
		err := t.appendTo(ctx, entries)
		if !infra.IsKind(err, infra.KindConflict) {
			return t.wrapWriteError(err)
		}
		// A delayed copy of a lost write has changed the segment, or another
		// writer has removed it to enforce the bounds: continue in a new one.
	}
	return t.wrapWriteError(t.openSegment(ctx, entries))
}

// wrapWriteError logs an error of the store and converts it to an *Error. After
// an unknown outcome the next write expects the last known revision of the
// segment: either it fails, because the lost write has taken effect, or it
// succeeds, and the lost write fails if it arrives later.
func (t *Trail) wrapWriteError(err error) error {
	if err == nil {
		return nil
	}
	certain := !infra.IsKind(err, infra.KindUnknown)
	t.log.Error(err, "writing to the audit trail failed", "certain", certain)
	return &Error{Certain: certain, Err: err}
}

// newEntries returns the entries of the batch that the open segment does not
// contain yet. It leaves out repeated entries and the markers that Flush queues.
func (t *Trail) newEntries(batch []*pendingEntry) []Entry {
	held := make(map[string]bool, len(t.open.Entries))
	for _, e := range t.open.Entries {
		held[e.ID] = t.openKey != ""
	}
	var entries []Entry
	for _, w := range batch {
		if w.entry.ID == "" || held[w.entry.ID] {
			continue
		}
		held[w.entry.ID] = true
		entries = append(entries, w.entry)
	}
	return entries
}

// segmentFull reports whether the open segment has reached its maximum size or
// age.
func (t *Trail) segmentFull() bool {
	return t.openBytes >= maxSegmentBytes || t.clock.Since(t.openSince) >= maxSegmentAge
}

// appendTo adds the entries to the open segment. It returns a conflict if the
// segment is no longer at the last known revision.
func (t *Trail) appendTo(ctx context.Context, entries []Entry) error {
	next := t.open
	next.Entries = append(append([]Entry{}, t.open.Entries...), entries...)
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	res, err := infra.Commit(ctx, t.store, infra.Txn{
		If:   []infra.Cond{{Key: t.openKey, ModRevision: t.openRev}},
		Then: []infra.Op{infra.Put(t.openKey, value)},
	})
	if err != nil {
		return err
	}
	t.open, t.openBytes, t.openLast = next, len(value), t.lastWrite
	t.openRev = res.Revision
	return nil
}

// openSegment writes the entries as the first of a new segment and adds the
// segment to the index in the same transaction, since a segment that is not in
// the index would be lost.
func (t *Trail) openSegment(ctx context.Context, entries []Entry) error {
	now := t.clock.Now().UTC()
	next := segment{ID: rand.Text(), Writer: string(t.self), Entries: entries}
	key := segmentPrefix + fmt.Sprintf("%013d-%s", now.UnixMilli(), next.ID)
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	for range maxOpenAttempts {
		res, err := t.tryOpenSegment(ctx, key, value, now)
		if infra.IsKind(err, infra.KindConflict) {
			continue
		}
		if err != nil {
			return err
		}
		t.open, t.openKey, t.openSince, t.openLast, t.openBytes = next, key, now, now, len(value)
		t.openRev = res.Revision
		return nil
	}
	return errors.New("the index keeps changing")
}

func (t *Trail) tryOpenSegment(ctx context.Context, key string, value []byte, now time.Time) (infra.TxnResult, error) {
	ix, rev, err := readIndex(ctx, t.store)
	if err != nil {
		return infra.TxnResult{}, err
	}
	dropped := ix.advance(segmentRef{Key: t.openKey, To: t.openLast.UTC()}, segmentRef{Key: key, From: now}, rand.Text())
	indexValue, err := json.Marshal(ix)
	if err != nil {
		return infra.TxnResult{}, err
	}
	txn := infra.Txn{
		If:   []infra.Cond{{Key: indexKey, ModRevision: rev}, {Key: key}},
		Then: []infra.Op{infra.Put(key, value), infra.Put(indexKey, indexValue)},
	}
	for _, old := range dropped {
		txn.Then = append(txn.Then, infra.Delete(old))
	}
	return infra.Commit(ctx, t.store, txn)
}
