package platform

import (
	"bytes"
	"context"
)

// commitTries bounds how often Commit repeats a transaction whose reply was
// lost. Each repeat is one call against the service's limits; a service that
// loses this many replies in a row is treated as down.
const commitTries = 3

// Commit runs a transaction whose every value bears its change ID, so that a
// value read back proves whose write it was. It returns nil where the write is
// certainly in effect, KindConflict where it certainly is not and a condition
// does not hold, and KindUnknown only where even asking again got no answer.
//
// Without it a reply lost after the write took effect looks like a conflict on
// retry: the winner would report "refused" to its operator, or do the step a
// second time. Repeating the same transaction is enough, because its
// conditions bind revisions: at most one of all the copies can take effect,
// also a copy that arrives late.
func Commit(ctx context.Context, s Store, txn Txn) (TxnResult, error) {
	txn.Else = readBack(txn.Then)
	var lost error
	for range commitTries {
		res, err := s.Txn(ctx, txn)
		if err == nil {
			return settle(txn, res, lost != nil)
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

// settle tells apart "ours took effect before its reply was lost" and "another
// write was first". Only after a lost reply can the values be ours.
func settle(txn Txn, res TxnResult, mayBeOurs bool) (TxnResult, error) {
	if res.Succeeded {
		return res, nil
	}
	if mayBeOurs && wroteAll(txn.Then, res.Reads) {
		res.Succeeded = true
		return res, nil
	}
	return res, Errorf("commit", KindConflict, "a condition does not hold")
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

func wroteAll(then []Op, reads []KV) bool {
	i := 0
	for _, op := range then {
		if op.Kind == OpGet {
			continue
		}
		kv := reads[i]
		i++
		if op.Kind == OpPut && (kv.ModRevision == 0 || !bytes.Equal(kv.Value, op.Value)) {
			return false
		}
		if op.Kind == OpDelete && kv.ModRevision != 0 {
			return false
		}
	}
	return true
}
