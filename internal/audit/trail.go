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
	// DefaultPace is the least time between two writes of one process. Ten a
	// second from each of eight entry VMs stay below a fifth of the service's
	// several hundred; an order waits a tenth of a second at worst.
	DefaultPace = 100 * time.Millisecond
	// maxPending bounds what waits to be written; more means that the
	// platform does not keep up.
	maxPending = 1000
	// maxBatch bounds the entries of one write, so that the write stays well
	// below the service's largest value whatever the entries' texts.
	maxBatch = 50
	// commitTimeout bounds one write with its retries.
	commitTimeout = 5 * time.Second
	// indexTries bounds how often a new segment is tried against other
	// writers that change the index at the same time.
	indexTries = 8
)

// Options are what a Trail works with. Store and Self are required.
type Options struct {
	Store infra.Store
	Self  model.EntryID
	Clock clockwork.Clock // the real one if nil
	Log   logr.Logger
	Pace  time.Duration // DefaultPace if 0; negative for none
}

// Trail appends to the trail of changes and reads it. It is safe for
// concurrent use.
type Trail struct {
	store infra.Store
	self  model.EntryID
	clock clockwork.Clock
	log   logr.Logger
	pace  time.Duration
	notes *noteLimiter

	mu       sync.Mutex
	pending  []*waiting
	flushing bool

	// Used by the one flush at a time.
	open      segment
	openKey   string // empty where a new segment must be opened
	openRev   infra.Revision
	openSince time.Time
	openLast  time.Time // when it was last written
	openBytes int
	lastWrite time.Time
}

// waiting is an entry on its way, and where its outcome goes.
type waiting struct {
	entry Entry
	done  chan error // buffered
}

// New returns a Trail. It writes nothing until the first entry.
func New(o Options) *Trail {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Pace == 0 {
		o.Pace = DefaultPace
	}
	return &Trail{store: o.Store, self: o.Self, clock: o.Clock, log: o.Log, pace: o.Pace, notes: newNoteLimiter(o.Clock)}
}

// Record returns nil once the entry is certain to be in the trail. Its error
// is an *Error. An entry without ID or time is given both.
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

// RecordSoon records an entry in the background, for automatic actions. It is
// tried once, with whatever else waits.
func (t *Trail) RecordSoon(e Entry) {
	if _, err := t.enqueue(e); err != nil {
		t.log.Error(err, "audit entry dropped", "what", e.What, "who", e.Who)
	}
}

// Note records an entry in the background, for refusals. It is not waited for. A source that is refused over and over
// is summed up, or it would push the trail's older entries out.
func (t *Trail) Note(e Entry) {
	e, ok := t.notes.admit(e)
	if !ok {
		return
	}
	t.RecordSoon(e)
}

// Flush waits until all that was recorded before is written, or ctx ends.
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

func (t *Trail) enqueue(e Entry) (*waiting, error) {
	if e.ID == "" {
		e.ID = rand.Text()
	}
	if e.At.IsZero() {
		e.At = t.clock.Now().UTC()
	}
	e = e.bounded()
	return t.push(&e)
}

// push queues the entry, or a marker that is done when all before it is.
func (t *Trail) push(e *Entry) (*waiting, error) {
	w := &waiting{done: make(chan error, 1)}
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

// flush writes what is pending until nothing is. While one write is under way
// the next batch gathers.
func (t *Trail) flush() {
	for {
		t.awaitPace()
		batch := t.take()
		if len(batch) == 0 {
			return
		}
		err := t.write(batch)
		for _, w := range batch {
			w.done <- err
		}
	}
}

func (t *Trail) awaitPace() {
	wait := t.lastWrite.Add(t.pace).Sub(t.clock.Now())
	if t.pace > 0 && wait > 0 {
		<-t.clock.After(wait)
	}
}

func (t *Trail) take() []*waiting {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := min(len(t.pending), maxBatch)
	batch := t.pending[:n:n]
	t.pending = t.pending[n:]
	t.flushing = n > 0
	return batch
}

func (t *Trail) write(batch []*waiting) error {
	entries := t.fresh(batch)
	if len(entries) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	t.lastWrite = t.clock.Now()
	if t.openKey != "" && !t.full() {
		err := t.appendTo(ctx, entries)
		if !infra.IsKind(err, infra.KindConflict) {
			return t.settle(err)
		}
		// A late copy of a lost write has changed the segment, or another
		// writer's retention has removed it: go on in the next.
	}
	return t.settle(t.openNext(ctx, entries))
}

// settle turns the platform's error into the trail's. After an unknown outcome
// the segment is written on from the revision known: either that fails, since
// the copy of the lost write has arrived, or the copy will, when it arrives.
func (t *Trail) settle(err error) error {
	if err == nil {
		return nil
	}
	certain := !infra.IsKind(err, infra.KindUnknown)
	t.log.Error(err, "audit trail not written", "certain", certain)
	return &Error{Certain: certain, Err: err}
}

// fresh returns the batch's entries that the open segment does not hold yet.
func (t *Trail) fresh(batch []*waiting) []Entry {
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

func (t *Trail) full() bool {
	return t.openBytes >= maxSegmentBytes || t.clock.Since(t.openSince) >= maxSegmentAge
}

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

// openNext writes the entries as the first of a new segment, and the segment
// into the index, as one step: a segment that no index names is lost.
func (t *Trail) openNext(ctx context.Context, entries []Entry) error {
	now := t.clock.Now().UTC()
	next := segment{ID: rand.Text(), Writer: string(t.self), Entries: entries}
	key := segmentPrefix + fmt.Sprintf("%013d-%s", now.UnixMilli(), next.ID)
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	for range indexTries {
		res, err := t.tryOpen(ctx, key, value, now)
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

func (t *Trail) tryOpen(ctx context.Context, key string, value []byte, now time.Time) (infra.TxnResult, error) {
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
