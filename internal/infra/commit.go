package infra

import (
	"bytes"
	"context"
)

// maxCommitAttempts is how often Commit sends a transaction whose reply is
// lost. Each attempt counts against the service's rate limits; a service that
// loses this many replies in a row is treated as down.
const maxCommitAttempts = 3

// Commit runs a transaction, retries it if a reply is lost, and determines
// whether it took effect. The error is
//
//   - nil if the transaction took effect. Superseded reports that a key it
//     wrote has changed since; Revision is that of its own write and can be
//     used in the condition of a later transaction.
//   - KindConflict if it did not take effect because a condition does not
//     hold.
//   - KindUnknown if neither is certain.
//   - the error of Txn if the first attempt was certainly not applied.
//
// A plain retry would mistake its own write for a conflict if the reply was
// lost after the write took effect: the writer would report "refused" to its
// operator, or repeat the step.
//
// A condition must name a key that the transaction changes, else Commit
// returns KindInvalid: only then does at most one of the copies sent take
// effect, even if one arrives late. Each value written must contain the
// caller's change ID, so that a value read back identifies its writer.
//
// A condition that a key is absent is weaker than one on a revision: it holds
// again once the key is deleted, and a delayed copy would then recreate the
// key. Keys created through Commit therefore carry a lease, or are deleted
// only after the service must have discarded any delayed request.
//
// Commit ignores txn.Else and sends its own. On success Reads are those of
// Then, or empty if the outcome was determined after a lost reply; on
// KindConflict they are the current values of the keys that Then writes.
func Commit(ctx context.Context, s Store, txn Txn) (TxnResult, error) {
	if !writesConditionedKey(txn) {
		return TxnResult{}, Errorf("commit", KindInvalid, "no written key is bound by a condition")
	}
	txn.Else = readsOfWrittenKeys(txn.Then)
	var uncertainErr error
	for range maxCommitAttempts {
		res, err := s.Txn(ctx, txn)
		if err == nil && (res.Succeeded || uncertainErr == nil) {
			return definiteOutcome(res)
		}
		if err == nil {
			return resolveLostReply(ctx, s, txn, res)
		}
		if !IsKind(err, KindUnknown) && uncertainErr == nil {
			return TxnResult{}, err
		}
		uncertainErr = err
		if ctx.Err() != nil {
			break
		}
	}
	return TxnResult{}, Errorf("commit", KindUnknown, "%w", uncertainErr)
}

// writesConditionedKey reports whether the transaction changes a key that one
// of its conditions names, so that the first copy applied makes the condition
// of every other copy fail. Deleting a key that must be absent changes nothing.
func writesConditionedKey(txn Txn) bool {
	for _, op := range txn.Then {
		cond, ok := conditionFor(txn, op.Key)
		if ok && (op.Kind == OpPut || op.Kind == OpDelete && cond.ModRevision != 0) {
			return true
		}
	}
	return false
}

// conditionFor returns the transaction's condition on key, if it has one.
func conditionFor(txn Txn, key string) (Cond, bool) {
	for _, c := range txn.If {
		if c.Key == key {
			return c, true
		}
	}
	return Cond{}, false
}

// readsOfWrittenKeys returns one read per write in then, in the same order.
func readsOfWrittenKeys(then []Op) []Op {
	var reads []Op
	for _, op := range then {
		if op.Kind != OpGet {
			reads = append(reads, Read(op.Key))
		}
	}
	return reads
}

// definiteOutcome converts a result that says by itself whether the
// transaction took effect.
func definiteOutcome(res TxnResult) (TxnResult, error) {
	if res.Succeeded {
		return res, nil
	}
	return res, Errorf("commit", KindConflict, "a condition does not hold")
}

// resolveLostReply determines whether an earlier attempt, whose reply was
// lost, took effect. res is the reply to a later attempt whose conditions did
// not hold.
func resolveLostReply(ctx context.Context, s Store, txn Txn, res TxnResult) (TxnResult, error) {
	if certainlyNotApplied(txn, res.Reads) {
		return definiteOutcome(res)
	}
	at, proven := revisionOfOwnValue(txn, res.Reads)
	if !proven {
		var err error
		if at, err = searchHistory(ctx, s, txn, res.Reads); err != nil {
			return res, Errorf("commit", KindUnknown, "%w", err)
		}
	}
	if at == 0 {
		return definiteOutcome(res)
	}
	return TxnResult{Succeeded: true, Revision: at, Superseded: changedSince(txn, res.Reads, at)}, nil
}

// certainlyNotApplied reports whether a written key is still at the revision
// that its condition names, which proves that no attempt took effect. reads
// has one entry per write of the transaction, here and in the functions below.
func certainlyNotApplied(txn Txn, reads []KV) bool {
	for i, op := range writeOps(txn.Then) {
		cond, ok := conditionFor(txn, op.Key)
		if ok && cond.ModRevision != 0 && reads[i].ModRevision == cond.ModRevision {
			return true
		}
	}
	return false
}

// revisionOfOwnValue returns the revision of a key that holds the value which
// the transaction wrote. One such key is proof, because a transaction is
// atomic. An equal value from before the transaction is excluded: its revision
// is not newer than those of the conditions and Since.
func revisionOfOwnValue(txn Txn, reads []KV) (Revision, bool) {
	newest := newestKnownRevision(txn)
	for i, op := range writeOps(txn.Then) {
		kv := reads[i]
		if op.Kind == OpPut && kv.ModRevision > newest && bytes.Equal(kv.Value, op.Value) {
			return kv.ModRevision, true
		}
	}
	return 0, false
}

// changedSince reports whether a key that the transaction wrote at revision at
// has been changed by a later write.
func changedSince(txn Txn, reads []KV, at Revision) bool {
	for i, op := range writeOps(txn.Then) {
		gone := op.Kind == OpDelete && reads[i].ModRevision == 0
		if !gone && reads[i].ModRevision != at {
			return true
		}
	}
	return false
}

// newestKnownRevision returns the newest store revision that the transaction
// names, in Since or in a condition.
func newestKnownRevision(txn Txn) Revision {
	newest := txn.Since
	for _, c := range txn.If {
		newest = max(newest, c.ModRevision)
	}
	return newest
}

// writeOps returns the operations of then that put or delete a key.
func writeOps(then []Op) []Op {
	var out []Op
	for _, op := range then {
		if op.Kind != OpGet {
			out = append(out, op)
		}
	}
	return out
}
