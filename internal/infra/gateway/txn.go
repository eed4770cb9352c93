package gateway

import (
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/etcdjson"
)

func toWire(txn infra.Txn) etcdjson.TxnRequest {
	req := etcdjson.TxnRequest{Success: opsToWire(txn.Then), Failure: opsToWire(txn.Else)}
	for _, c := range txn.If {
		req.Compare = append(req.Compare, etcdjson.Compare{
			Result: etcdjson.ResultEqual, Target: etcdjson.TargetMod,
			Key: []byte(c.Key), ModRevision: etcdjson.Int64(c.ModRevision),
		})
	}
	return req
}

func opsToWire(ops []infra.Op) []etcdjson.RequestOp {
	var out []etcdjson.RequestOp
	for _, op := range ops {
		var r etcdjson.RequestOp
		switch op.Kind {
		case infra.OpPut:
			r.Put = &etcdjson.PutRequest{Key: []byte(op.Key), Value: op.Value, Lease: etcdjson.Int64(op.Lease)}
		case infra.OpDelete:
			r.DeleteRange = &etcdjson.DeleteRangeRequest{Key: []byte(op.Key)}
		case infra.OpGet:
			r.Range = &etcdjson.RangeRequest{Key: []byte(op.Key)}
		}
		out = append(out, r)
	}
	return out
}

// resultOf converts the response to txn. If the response doesn't match the
// request, the outcome is unknown.
func resultOf(txn infra.Txn, res etcdjson.TxnResponse) (infra.TxnResult, error) {
	ops := txn.Then
	if !res.Succeeded {
		ops = txn.Else
	}
	if res.Header == nil || len(res.Responses) != len(ops) {
		return infra.TxnResult{}, infra.Errorf("txn", infra.KindUnknown, "malformed answer: %d responses to %d operations", len(res.Responses), len(ops))
	}
	out := infra.TxnResult{Succeeded: res.Succeeded, Revision: revision(res.Header)}
	for i, op := range ops {
		if op.Kind != infra.OpGet {
			continue
		}
		if res.Responses[i].Range == nil {
			return infra.TxnResult{}, infra.Errorf("txn", infra.KindUnknown, "malformed answer: response %d is not a read", i)
		}
		out.Reads = append(out.Reads, firstOrAbsent(op.Key, res.Responses[i].Range.KVs))
	}
	return out, nil
}
