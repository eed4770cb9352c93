package gateway

import (
	"github.com/pumicestage/pumicestage/internal/platform"
	"github.com/pumicestage/pumicestage/internal/platform/etcdjson"
)

func toWire(txn platform.Txn) etcdjson.TxnRequest {
	req := etcdjson.TxnRequest{Success: opsToWire(txn.Then), Failure: opsToWire(txn.Else)}
	for _, c := range txn.If {
		req.Compare = append(req.Compare, etcdjson.Compare{
			Result: etcdjson.ResultEqual, Target: etcdjson.TargetMod,
			Key: []byte(c.Key), ModRevision: etcdjson.Int64(c.ModRevision),
		})
	}
	return req
}

func opsToWire(ops []platform.Op) []etcdjson.RequestOp {
	var out []etcdjson.RequestOp
	for _, op := range ops {
		var r etcdjson.RequestOp
		switch op.Kind {
		case platform.OpPut:
			r.Put = &etcdjson.PutRequest{Key: []byte(op.Key), Value: op.Value, Lease: etcdjson.Int64(op.Lease)}
		case platform.OpDelete:
			r.DeleteRange = &etcdjson.DeleteRangeRequest{Key: []byte(op.Key)}
		case platform.OpGet:
			r.Range = &etcdjson.RangeRequest{Key: []byte(op.Key)}
		}
		out = append(out, r)
	}
	return out
}

// resultOf reads the answer to txn. An answer that does not fit the request
// leaves the outcome open.
func resultOf(txn platform.Txn, res etcdjson.TxnResponse) (platform.TxnResult, error) {
	ops := txn.Then
	if !res.Succeeded {
		ops = txn.Else
	}
	if res.Header == nil || len(res.Responses) != len(ops) {
		return platform.TxnResult{}, platform.Errorf("txn", platform.KindUnknown, "malformed answer: %d responses to %d operations", len(res.Responses), len(ops))
	}
	out := platform.TxnResult{Succeeded: res.Succeeded, Revision: revision(res.Header)}
	for i, op := range ops {
		if op.Kind != platform.OpGet {
			continue
		}
		if res.Responses[i].Range == nil {
			return platform.TxnResult{}, platform.Errorf("txn", platform.KindUnknown, "malformed answer: response %d is not a read", i)
		}
		out.Reads = append(out.Reads, one(op.Key, res.Responses[i].Range.KVs))
	}
	return out, nil
}
