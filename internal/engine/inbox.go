package engine

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/guard"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Kinds of inbox messages. An entry VM that can't reach the owner of a cell stores the
// caller's change itself and adds a message to the cell's inbox in the store.
const (
	InboxSubmit = "submit" // a new job is stored
	InboxCancel = "cancel" // a job is stored as cancelled
)

// inboxReaders bounds the jobs named by inbox messages that are read from the store at the
// same time. After seconds without an owner there are hundreds of messages, and reading
// their jobs one by one would keep the last caller waiting for further seconds.
const inboxReaders = 16

// inboxMessage is a message in the cell's inbox. Its content is in its key.
type inboxMessage struct {
	key  string
	kind string
	job  work.JobID

	unknown bool // a cancellation of a job that the core doesn't know
}

// parseInboxKey returns the message under a key of the cell's inbox; false if the key is
// malformed.
func parseInboxKey(cell, key string) (inboxMessage, bool) {
	kind, id, ok := strings.Cut(strings.TrimPrefix(key, infra.WorkInboxPrefix(cell)), "/")
	return inboxMessage{key: key, kind: kind, job: work.JobID(id)}, ok
}

// readInbox handles the messages of the cell's inbox until ctx ends.
func (e *Engine) readInbox(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.followInbox(ctx); err != nil && ctx.Err() == nil {
			e.Log.Info("inbox can't be read, will retry", "error", err.Error())
			sleep.For(ctx, storeRetryDelay)
		}
	}
}

// followInbox handles the messages that are in the inbox, and then new ones until the watch
// ends or something fails.
func (e *Engine) followInbox(ctx context.Context) error {
	kvs, rev, err := e.Store.Range(ctx, infra.WorkInboxPrefix(e.Cell))
	if err != nil {
		return trace.Wrap(err)
	}
	if err := e.handleMessages(ctx, keysOf(kvs)); err != nil {
		return err
	}
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	batches, err := e.Store.Watch(watch, infra.WorkInboxPrefix(e.Cell), rev+1)
	if err != nil {
		return trace.Wrap(err)
	}
	for b := range batches {
		if b.Err != nil {
			return trace.Wrap(b.Err)
		}
		var keys []string
		for _, ev := range b.Events {
			if ev.Kind == infra.EventPut {
				keys = append(keys, ev.KV.Key)
			}
		}
		if err := e.handleMessages(ctx, keys); err != nil {
			return err
		}
	}
	return nil
}

// keysOf returns the keys of kvs.
func keysOf(kvs []infra.KV) []string {
	keys := make([]string, len(kvs))
	for i := range kvs {
		keys[i] = kvs[i].Key
	}
	return keys
}

// handleMessages handles the messages under the keys and deletes those that it has handled. Stored
// cancellations take effect at once: they wait neither for reads of other jobs nor for a certain lease.
// It returns an error if messages are left: ErrNotReady, with which they are left to the next owner, if
// this owner is not certain of its lease, or that of a read.
func (e *Engine) handleMessages(ctx context.Context, keys []string) error {
	var cancels, submits []inboxMessage
	for _, key := range keys {
		n, ok := parseInboxKey(e.Cell, key)
		switch {
		case !ok:
			e.Log.Info("inbox key is malformed", "key", key)
		case n.kind == InboxCancel:
			n.unknown = !e.cancelFromInbox(n.job)
			cancels = append(cancels, n)
		default:
			submits = append(submits, n)
		}
	}
	added, err := e.readJobs(ctx, submits)
	handled := append(cancels, added...)
	if len(handled) > 0 && !e.Term.Certain() {
		return ErrNotReady
	}
	for _, n := range handled {
		e.Log.Info("inbox message read", "kind", n.kind, "job", n.job, "unknown", n.unknown)
	}
	return trace.Wrap(errors.Join(err, e.deleteMessages(ctx, handled)))
}

// cancelFromInbox cancels a job in the core and reports whether the job is known there. Its end is
// stored already, so nobody waits for that.
func (e *Engine) cancelFromInbox(id work.JobID) (known bool) {
	e.mu.Lock()
	known = e.core.CancelledInStore(id)
	e.mu.Unlock()
	kick(e.storeKick)
	kick(e.planKick)
	return known
}

// readJobs reads the jobs of the messages that the core doesn't know yet, inboxReaders at a time, and
// adds them to the core. It returns the messages that are handled, and the errors of the others.
func (e *Engine) readJobs(ctx context.Context, messages []inboxMessage) (handled []inboxMessage, err error) {
	slots := make(chan struct{}, inboxReaders)
	errs := make([]error, len(messages))
	var readers sync.WaitGroup
	for i, n := range messages {
		e.mu.Lock()
		known := e.core.Known(n.job)
		e.mu.Unlock()
		if known {
			continue
		}
		slots <- struct{}{}
		readers.Go(func() {
			defer func() { <-slots }()
			errs[i] = e.readJob(ctx, n.job)
		})
	}
	readers.Wait()
	for i, n := range messages {
		if errs[i] == nil {
			handled = append(handled, n)
		}
	}
	return handled, errors.Join(errs...)
}

// readJob reads a job's record and adds the job to the core. A job that has ended, or whose
// record is malformed, is only logged. It returns ErrNoMemory if the job has to wait in the store.
func (e *Engine) readJob(ctx context.Context, id work.JobID) error {
	kv, _, err := e.Store.Get(ctx, infra.WorkOpenKey(e.Cell, string(id)))
	if err != nil {
		return err
	}
	if kv.ModRevision == 0 {
		e.Log.Info("job of inbox message has ended", "job", id)
		return nil
	}
	var r JobRecord
	if err := json.Unmarshal(kv.Value, &r); err != nil || r.Job == nil {
		e.Log.Error(err, "job record is malformed, the job is not added", "job", id)
		return nil
	}
	if !e.Memory.Fits(guard.Jobs, 0, AcceptedBytes(r.Job)) {
		return ErrNoMemory
	}
	// Without a certain lease there may be a later owner by now, which handles the
	// message and starts the job as well.
	if !e.Term.Certain() {
		return ErrNotReady
	}
	e.addFoundJob(&r)
	return nil
}

// deleteMessages deletes the messages from the store.
func (e *Engine) deleteMessages(ctx context.Context, messages []inboxMessage) error {
	for part := range slices.Chunk(messages, txnEntries) {
		var ops []infra.Op
		for _, n := range part {
			ops = append(ops, infra.Delete(n.key))
		}
		if _, err := e.Store.Txn(ctx, infra.Txn{Then: ops}); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
