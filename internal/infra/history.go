package infra

import (
	"bytes"
	"context"
	"errors"
	"time"
)

// historyTimeout bounds a search through a key's history. The service answers
// in milliseconds; a search that takes longer is reported as KindUnknown.
const historyTimeout = 2 * time.Second

// Reasons why the history of the written keys does not show whether the
// transaction took effect.
var (
	errDeletionUnattributable = errors.New("the key is gone, and deletions do not tell who made them")
	errNoKeyProvesOutcome     = errors.New("no key is left that could tell")
)

// searchHistory returns the revision at which the transaction took effect, or
// 0 if it certainly did not. It opens one watch, and is needed only if a reply
// was lost and the transaction's conditions no longer hold. reads has one
// entry per write of the transaction. A put is preferred to a delete: its
// event carries a value, which identifies the writer.
func searchHistory(ctx context.Context, s Store, txn Txn, reads []KV) (Revision, error) {
	ops := writeOps(txn.Then)
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	for _, kind := range []OpKind{OpPut, OpDelete} {
		for _, op := range ops {
			if cond, ok := conditionFor(txn, op.Key); ok && op.Kind == kind && cond.ModRevision != 0 {
				return resolveByFirstChange(ctx, s, op, cond.ModRevision)
			}
		}
	}
	for i, op := range ops {
		if _, ok := conditionFor(txn, op.Key); ok && reads[i].ModRevision != 0 {
			return resolveByCreation(ctx, s, op, newestKnownRevision(txn), reads[i].ModRevision)
		}
	}
	return 0, errNoKeyProvesOutcome
}

// resolveByFirstChange returns the revision of the first change of op's key
// after the revision that its condition names, if op made that change, else 0:
// if the transaction took effect at all, that change is its own.
func resolveByFirstChange(ctx context.Context, s Store, op Op, conditionRevision Revision) (Revision, error) {
	var at Revision
	err := forEachChange(ctx, s, op.Key, conditionRevision+1, func(e Event) (bool, error) {
		switch {
		case op.Kind == OpDelete && e.Kind == EventDelete:
			return true, errDeletionUnattributable
		case op.Kind == OpPut && isPutOf(e, op):
			at = e.KV.ModRevision
		}
		return true, nil
	})
	return at, err
}

// resolveByCreation returns the revision after since at which op created its
// key, or 0. It checks every change up to revision newest, because the key may
// have been created and deleted more than once.
func resolveByCreation(ctx context.Context, s Store, op Op, since, newest Revision) (Revision, error) {
	var at Revision
	err := forEachChange(ctx, s, op.Key, since+1, func(e Event) (bool, error) {
		if isPutOf(e, op) {
			at = e.KV.ModRevision
			return true, nil
		}
		return e.KV.ModRevision >= newest, nil
	})
	return at, err
}

// isPutOf reports whether the event put the value that op writes.
func isPutOf(e Event, op Op) bool {
	return e.Kind == EventPut && bytes.Equal(e.KV.Value, op.Value)
}

// forEachChange calls visit with each change of key from revision from on,
// until visit returns true or an error.
func forEachChange(ctx context.Context, s Store, key string, from Revision, visit func(Event) (bool, error)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // ends the watch
	ch, err := s.Watch(ctx, key, from)
	if err != nil {
		return err
	}
	for b := range ch {
		if b.Err != nil {
			return b.Err
		}
		for _, e := range b.Events {
			if e.KV.Key != key {
				continue
			}
			if enough, err := visit(e); enough || err != nil {
				return err
			}
		}
	}
	return ctx.Err()
}
