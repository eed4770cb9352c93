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
	txn, err := fromWire(req)
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
	writeJSON(w, http.StatusOK, answerTxn(res, ops))
}

func fromWire(req etcdjson.TxnRequest) (infra.Txn, error) {
	var txn infra.Txn
	for _, c := range req.Compare {
		cond, err := condOf(c)
		if err != nil {
			return txn, err
		}
		txn.If = append(txn.If, cond)
	}
	var err error
	if txn.Then, err = opsOf(req.Success); err != nil {
		return txn, err
	}
	txn.Else, err = opsOf(req.Failure)
	return txn, err
}

// condOf knows equality of the revision of the last write, and absence, which
// the protocol can say in three ways.
func condOf(c etcdjson.Compare) (infra.Cond, error) {
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

func opsOf(reqs []etcdjson.RequestOp) ([]infra.Op, error) {
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

func answerTxn(res infra.TxnResult, ops []infra.Op) etcdjson.TxnResponse {
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
			one.Range = rangeOf(reads[0], res.Revision)
			reads = reads[1:]
		}
		out.Responses = append(out.Responses, one)
	}
	return out
}

func rangeOf(kv infra.KV, rev infra.Revision) *etcdjson.RangeResponse {
	res := &etcdjson.RangeResponse{Header: header(rev)}
	if kv.ModRevision != 0 {
		res.KVs = []etcdjson.KeyValue{toWire(kv)}
		res.Count = 1
	}
	return res
}
