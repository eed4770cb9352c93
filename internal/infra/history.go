package infra

import (
	"bytes"
	"context"
	"errors"
	"time"
)

// historyTimeout ends a search through a key's history. The service answers
// in milliseconds; what takes longer is reported as unknown.
const historyTimeout = 2 * time.Second

// Reasons why a key's history cannot tell whose a change was.
var (
	errDeletionsAlike = errors.New("the key is gone, and deletions do not tell who made them")
	errNoMark         = errors.New("no key is left that could tell")
)

// searchHistory returns the revision at which the transaction took effect, or
// 0 if it certainly did not. It costs one watch, and is needed only where a
// reply was lost and the conditions fail now.
func searchHistory(ctx context.Context, s Store, txn Txn, reads []KV) (Revision, error) {
	ops := writes(txn.Then)
	ctx, cancel := context.WithTimeout(ctx, historyTimeout)
	defer cancel()
	for _, kind := range []OpKind{OpPut, OpDelete} {
		for _, op := range ops {
			if cond, ok := condOn(txn, op.Key); ok && op.Kind == kind && cond.ModRevision != 0 {
				return firstChange(ctx, s, op, cond.ModRevision)
			}
		}
	}
	for i, op := range ops {
		if _, ok := condOn(txn, op.Key); ok && reads[i].ModRevision != 0 {
			return creationWithin(ctx, s, op, newestCond(txn), reads[i].ModRevision)
		}
	}
	return 0, errNoMark
}

// firstChange decides by the first change of a key after the revision that the
// transaction was bound to: if it took effect at all, it made that change.
func firstChange(ctx context.Context, s Store, op Op, bound Revision) (Revision, error) {
	var at Revision
	err := eachChange(ctx, s, op.Key, bound+1, func(e Event) (bool, error) {
		switch {
		case op.Kind == OpDelete && e.Kind == EventDelete:
			return true, errDeletionsAlike
		case op.Kind == OpPut && isPut(e, op):
			at = e.KV.ModRevision
		}
		return true, nil
	})
	return at, err
}

// creationWithin looks through every change of a key up to its newest, because
// the key may have been created, and deleted, more than once.
func creationWithin(ctx context.Context, s Store, op Op, since, newest Revision) (Revision, error) {
	var at Revision
	err := eachChange(ctx, s, op.Key, since+1, func(e Event) (bool, error) {
		if isPut(e, op) {
			at = e.KV.ModRevision
			return true, nil
		}
		return e.KV.ModRevision >= newest, nil
	})
	return at, err
}

func isPut(e Event, op Op) bool {
	return e.Kind == EventPut && bytes.Equal(e.KV.Value, op.Value)
}

// eachChange gives visit the changes of key from a revision on, until it has
// seen enough or fails.
func eachChange(ctx context.Context, s Store, key string, from Revision, visit func(Event) (bool, error)) error {
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
