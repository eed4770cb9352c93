package engine

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/work"
)

// Kinds of notes in the inbox.
const (
	InboxSubmit = "submit"
	InboxCancel = "cancel"
)

// inboxReaders is how many jobs named by notes are read from the store at a
// time. After seconds without an owner there are hundreds of notes; read one by
// one they keep the last caller waiting for seconds more.
const inboxReaders = 16

// inboxMessage is one inboxMessage of an entry VM.
type inboxMessage struct {
	key  string
	kind string
	job  work.JobID
}

func parseInboxKey(cell, key string) (inboxMessage, bool) {
	kind, id, ok := strings.Cut(strings.TrimPrefix(key, infra.WorkInboxPrefix(cell)), "/")
	return inboxMessage{key: key, kind: kind, job: work.JobID(id)}, ok
}

// readInbox follows what entry VMs wrote while they could not reach the owner.
func (e *Engine) readInbox(ctx context.Context) {
	for ctx.Err() == nil {
		if err := e.followInbox(ctx); err != nil && ctx.Err() == nil {
			e.Log.Info("inbox not readable", "error", err.Error())
			sleep.For(ctx, storeRetryDelay)
		}
	}
}

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

func keysOf(kvs []infra.KV) []string {
	keys := make([]string, len(kvs))
	for i := range kvs {
		keys[i] = kvs[i].Key
	}
	return keys
}

// handleMessages acts on the notes and removes them. Jobs are read before any
// cancellation is acted on, and a job's record says itself if it is cancelled.
func (e *Engine) handleMessages(ctx context.Context, keys []string) error {
	var notes []inboxMessage
	for _, key := range keys {
		n, ok := parseInboxKey(e.Cell, key)
		if !ok {
			e.Log.Info("inbox key is malformed", "key", key)
			continue
		}
		notes = append(notes, n)
	}
	if len(notes) == 0 {
		return nil
	}
	if err := e.readJobs(ctx, notes); err != nil {
		return err
	}
	if !e.Term.Certain() {
		return ErrNotReady
	}
	for _, n := range notes {
		e.Log.Info("note read", "kind", n.kind, "job", n.job)
		if n.kind == InboxCancel {
			e.cancelFromInbox(n.job)
		}
	}
	return e.deleteMessages(ctx, notes)
}

// cancelFromInbox cancels a job whose record says so already: nobody waits for it
// to be stored again.
func (e *Engine) cancelFromInbox(id work.JobID) {
	e.mu.Lock()
	known := e.core.Cancel(id, func(error) {})
	e.mu.Unlock()
	if !known {
		e.Log.Info("noted job is cancelled already", "job", id)
	}
	kick(e.storeKick)
	kick(e.planKick)
}

// readJobs reads the jobs that are not known yet, some at a time.
func (e *Engine) readJobs(ctx context.Context, notes []inboxMessage) error {
	slots := make(chan struct{}, inboxReaders)
	errs := make([]error, len(notes))
	var readers sync.WaitGroup
	for i, n := range notes {
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
	return trace.Wrap(errors.Join(errs...))
}

func (e *Engine) readJob(ctx context.Context, id work.JobID) error {
	kv, _, err := e.Store.Get(ctx, infra.WorkOpenKey(e.Cell, string(id)))
	if err != nil {
		return err
	}
	if kv.ModRevision == 0 {
		e.Log.Info("noted job has ended", "job", id)
		return nil
	}
	var r JobRecord
	if err := json.Unmarshal(kv.Value, &r); err != nil || r.Job == nil {
		e.Log.Error(err, "job record is malformed", "job", id)
		return nil
	}
	// Read without certainty, the note may be a later owner's by now, who
	// starts the job as well.
	if !e.Term.Certain() {
		return ErrNotReady
	}
	e.addFoundJob(&r)
	return nil
}

func (e *Engine) deleteMessages(ctx context.Context, notes []inboxMessage) error {
	for part := range slices.Chunk(notes, txnEntries) {
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
