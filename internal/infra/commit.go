package infra

import (
	"bytes"
	"context"
)

// commitTries bounds how often Commit repeats a transaction whose reply was
// lost. Each repeat is one call against the service's limits; a service that
// loses this many replies in a row is treated as down.
const commitTries = 3

// Commit runs a transaction and finds out what became of it where a reply is
// lost. It returns
//
//   - nil where the transaction took effect. Superseded says that a key it
//     wrote has changed since; Revision is that of its own write, fit for the
//     next condition.
//   - KindConflict where it did not take effect, because a condition does not
//     hold.
//   - KindUnknown where neither is certain.
//   - the error of Txn where the first copy was certainly not applied.
//
// Without it a reply lost after the write took effect looks like a conflict on
// retry: the winner would report "refused" to its operator, or do the step a
// second time.
//
// It asks of the transaction, else KindInvalid: a key that it writes is bound
// by a condition, so that of all its copies, also one that arrives late, at
// most one takes effect. And it asks of the caller: each value put bears the
// change ID, so that a value read back proves whose write it was.
//
// A condition of absence is weaker than one on a revision: it holds again once
// the key is deleted, and a copy that was held up until then would create the
// key anew. Keys created through Commit therefore carry a lease, or are not
// deleted before the service must have dropped what it holds.
//
// Else is replaced. On success Reads are those of Then, or empty where the
// outcome was found out later; on KindConflict they are the keys that Then
// writes, as they are now.
func Commit(ctx context.Context, s Store, txn Txn) (TxnResult, error) {
	if !bound(txn) {
		return TxnResult{}, Errorf("commit", KindInvalid, "no written key is bound by a condition")
	}
	txn.Else = readBack(txn.Then)
	var lost error
	for range commitTries {
		res, err := s.Txn(ctx, txn)
		if err == nil && (res.Succeeded || lost == nil) {
			return certain(res)
		}
		if err == nil {
			return settle(ctx, s, txn, res)
		}
		if !IsKind(err, KindUnknown) && lost == nil {
			return TxnResult{}, err
		}
		lost = err
		if ctx.Err() != nil {
			break
		}
	}
	return TxnResult{}, Errorf("commit", KindUnknown, "%w", lost)
}

// bound reports whether the first copy that takes effect keeps all others from
// it: it must change a key that a condition names.
func bound(txn Txn) bool {
	for _, op := range txn.Then {
		cond, ok := condOn(txn, op.Key)
		if ok && (op.Kind == OpPut || op.Kind == OpDelete && cond.ModRevision != 0) {
			return true
		}
	}
	return false
}

func condOn(txn Txn, key string) (Cond, bool) {
	for _, c := range txn.If {
		if c.Key == key {
			return c, true
		}
	}
	return Cond{}, false
}

func readBack(then []Op) []Op {
	var reads []Op
	for _, op := range then {
		if op.Kind != OpGet {
			reads = append(reads, Read(op.Key))
		}
	}
	return reads
}

// certain is the outcome of a transaction none of whose copies was lost, or
// whose last copy took effect.
func certain(res TxnResult) (TxnResult, error) {
	if res.Succeeded {
		return res, nil
	}
	return res, Errorf("commit", KindConflict, "a condition does not hold")
}

// settle finds out whether an earlier copy took effect, of which no reply
// came. res is the answer to a repeat whose conditions did not hold.
func settle(ctx context.Context, s Store, txn Txn, res TxnResult) (TxnResult, error) {
	if untouched(txn, res.Reads) {
		return certain(res)
	}
	at, proven := writtenAt(txn, res.Reads)
	if !proven {
		var err error
		if at, err = searchHistory(ctx, s, txn, res.Reads); err != nil {
			return res, Errorf("commit", KindUnknown, "%w", err)
		}
	}
	if at == 0 {
		return certain(res)
	}
	return TxnResult{Succeeded: true, Revision: at, Superseded: changedSince(txn, res.Reads, at)}, nil
}

// untouched reports whether a key still is at the revision that the
// transaction was bound to: then no copy took effect.
func untouched(txn Txn, reads []KV) bool {
	for i, op := range writes(txn.Then) {
		cond, ok := condOn(txn, op.Key)
		if ok && cond.ModRevision != 0 && reads[i].ModRevision == cond.ModRevision {
			return true
		}
	}
	return false
}

// writtenAt looks for a value of ours among the keys read back. One is proof
// enough, because a transaction applies whole; a value that stood there before
// is told apart by its revision, which must be newer than every condition's.
func writtenAt(txn Txn, reads []KV) (Revision, bool) {
	newest := newestCond(txn)
	for i, op := range writes(txn.Then) {
		kv := reads[i]
		if op.Kind == OpPut && kv.ModRevision > newest && bytes.Equal(kv.Value, op.Value) {
			return kv.ModRevision, true
		}
	}
	return 0, false
}

// changedSince reports whether a key that was written at a revision differs.
func changedSince(txn Txn, reads []KV, at Revision) bool {
	for i, op := range writes(txn.Then) {
		gone := op.Kind == OpDelete && reads[i].ModRevision == 0
		if !gone && reads[i].ModRevision != at {
			return true
		}
	}
	return false
}

func newestCond(txn Txn) Revision {
	newest := txn.Since
	for _, c := range txn.If {
		newest = max(newest, c.ModRevision)
	}
	return newest
}

func writes(then []Op) []Op {
	var out []Op
	for _, op := range then {
		if op.Kind != OpGet {
			out = append(out, op)
		}
	}
	return out
}
