package standin

import (
	"context"
	"net/http"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/etcdjson"
)

func (s *Server) txn(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.TxnRequest
	if !readJSON(w, r, &req) {
		return
	}
	txn, err := txnFromWire(req)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	res, err := s.Store.Txn(context.WithoutCancel(r.Context()), txn)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	ops := txn.Then
	if !res.Succeeded {
		ops = txn.Else
	}
	writeJSON(w, http.StatusOK, txnResponse(res, ops))
}

func txnFromWire(req etcdjson.TxnRequest) (infra.Txn, error) {
	var txn infra.Txn
	for _, c := range req.Compare {
		cond, err := condFromWire(c)
		if err != nil {
			return txn, err
		}
		txn.If = append(txn.If, cond)
	}
	var err error
	if txn.Then, err = opsFromWire(req.Success); err != nil {
		return txn, err
	}
	txn.Else, err = opsFromWire(req.Failure)
	return txn, err
}

// condFromWire supports two conditions: that a key's last write has a given
// revision, and that a key does not exist. The protocol can express the latter in
// three ways: as a MOD revision, a CREATE revision or a VERSION of zero.
func condFromWire(c etcdjson.Compare) (infra.Cond, error) {
	if c.Result != "" && c.Result != etcdjson.ResultEqual {
		return infra.Cond{}, infra.Errorf("txn", infra.KindInvalid, "comparison %q is not known here", c.Result)
	}
	cond := infra.Cond{Key: string(c.Key), ModRevision: infra.Revision(c.ModRevision)}
	switch {
	case c.Target == etcdjson.TargetMod:
		return cond, nil
	case c.Target == etcdjson.TargetCreate && c.CreateRevision == 0:
		return infra.Cond{Key: cond.Key}, nil
	case (c.Target == etcdjson.TargetVersion || c.Target == "") && c.Version == 0:
		return infra.Cond{Key: cond.Key}, nil
	}
	return cond, infra.Errorf("txn", infra.KindInvalid, "target %q is known here for absent keys only", c.Target)
}

func opsFromWire(reqs []etcdjson.RequestOp) ([]infra.Op, error) {
	var ops []infra.Op
	for _, r := range reqs {
		switch {
		case r.Put != nil:
			ops = append(ops, infra.PutLeased(string(r.Put.Key), r.Put.Value, infra.LeaseID(r.Put.Lease)))
		case r.Range != nil && len(r.Range.RangeEnd) == 0:
			ops = append(ops, infra.Read(string(r.Range.Key)))
		case r.DeleteRange != nil && len(r.DeleteRange.RangeEnd) == 0:
			ops = append(ops, infra.Delete(string(r.DeleteRange.Key)))
		default:
			return nil, infra.Errorf("txn", infra.KindInvalid, "an operation is empty or has a range_end")
		}
	}
	return ops, nil
}

func txnResponse(res infra.TxnResult, ops []infra.Op) etcdjson.TxnResponse {
	out := etcdjson.TxnResponse{Header: header(res.Revision), Succeeded: res.Succeeded}
	reads := res.Reads
	for _, op := range ops {
		var one etcdjson.ResponseOp
		switch op.Kind {
		case infra.OpPut:
			one.Put = &etcdjson.PutResponse{Header: header(res.Revision)}
		case infra.OpDelete:
			one.DeleteRange = &etcdjson.DeleteRangeResponse{Header: header(res.Revision)}
		case infra.OpGet:
			one.Range = rangeResponse(reads[0], res.Revision)
			reads = reads[1:]
		}
		out.Responses = append(out.Responses, one)
	}
	return out
}

// rangeResponse converts the read of one key to its wire format. A kv whose
// ModRevision is zero stands for an absent key and gives a response without keys.
func rangeResponse(kv infra.KV, rev infra.Revision) *etcdjson.RangeResponse {
	res := &etcdjson.RangeResponse{Header: header(rev)}
	if kv.ModRevision != 0 {
		res.KVs = []etcdjson.KeyValue{kvToWire(kv)}
		res.Count = 1
	}
	return res
}
