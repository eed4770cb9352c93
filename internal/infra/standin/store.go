package standin

import (
	"bytes"
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/etcdjson"
)

func (s *Server) routeStore() {
	routes := map[string]http.HandlerFunc{
		etcdjson.PathRange:     s.withFaults(KindRange, s.rangeKeys),
		etcdjson.PathPut:       s.withFaults(KindWrite, s.put),
		etcdjson.PathTxn:       s.withFaults(KindWrite, s.txn),
		etcdjson.PathGrant:     s.withFaults(KindGrant, s.grant),
		etcdjson.PathKeepAlive: s.withFaults(KindKeepAlive, s.keepAlive),
		etcdjson.PathRevoke:    s.withFaults(KindRevoke, s.revoke),
		etcdjson.PathKVRevoke:  s.withFaults(KindRevoke, s.revoke),
		etcdjson.PathWatch:     s.withFaults(KindWatch, s.watch),
	}
	for path, h := range routes {
		s.router.HandleFunc(path, h).Methods(http.MethodPost)
	}
}

func (s *Server) rangeKeys(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.RangeRequest
	if !readJSON(w, r, &req) {
		return
	}
	kvs, rev, err := s.readRange(r.Context(), req)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	res := etcdjson.RangeResponse{Header: header(rev), Count: etcdjson.Int64(len(kvs))}
	for _, kv := range kvs {
		res.KVs = append(res.KVs, kvToWire(kv))
	}
	writeJSON(w, http.StatusOK, res)
}

// readRange reads one key, a prefix, or any other range of keys. It ignores
// cancellation of ctx: a request that was read completely is executed even if its
// client disconnects.
func (s *Server) readRange(ctx context.Context, req etcdjson.RangeRequest) ([]infra.KV, infra.Revision, error) {
	ctx = context.WithoutCancel(ctx)
	key := string(req.Key)
	if len(req.RangeEnd) == 0 {
		kv, rev, err := s.Store.Get(ctx, key)
		if err != nil || kv.ModRevision == 0 {
			return nil, rev, err
		}
		return []infra.KV{kv}, rev, nil
	}
	if bytes.Equal(req.RangeEnd, etcdjson.PrefixEnd(key)) {
		return s.Store.Range(ctx, key)
	}
	all, rev, err := s.Store.Range(ctx, "")
	var found []infra.KV
	for _, kv := range all {
		if inRange(kv.Key, key, req.RangeEnd) {
			found = append(found, kv)
		}
	}
	return found, rev, err
}

// inRange reports whether k lies in the range from (inclusive) to end (exclusive).
// In the etcd protocol an end of a single zero byte means that there is no upper
// bound.
func inRange(k, from string, end []byte) bool {
	toLast := len(end) == 1 && end[0] == 0
	return k >= from && (toLast || strings.Compare(k, string(end)) < 0)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.PutRequest
	if !readJSON(w, r, &req) {
		return
	}
	op := infra.PutLeased(string(req.Key), req.Value, infra.LeaseID(req.Lease))
	res, err := s.Store.Txn(context.WithoutCancel(r.Context()), infra.Txn{Then: []infra.Op{op}})
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, etcdjson.PutResponse{Header: header(res.Revision)})
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.GrantRequest
	if !readJSON(w, r, &req) {
		return
	}
	if req.TTL <= 0 || req.ID != 0 {
		writeError(w, http.StatusBadRequest, etcdjson.CodeInvalidArgument, "a lease needs a TTL in seconds; its ID is chosen here")
		return
	}
	id, err := s.Store.Grant(context.WithoutCancel(r.Context()), time.Duration(req.TTL)*time.Second)
	if err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, etcdjson.LeaseResponse{Header: header(s.Store.Revision()), ID: etcdjson.Int64(id), TTL: req.TTL})
}

// keepAlive handles PathKeepAlive: it renews a lease once and answers with the TTL in
// seconds. An expired or unknown lease is reported as TTL 0, not as an error.
func (s *Server) keepAlive(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.LeaseRequest
	if !readJSON(w, r, &req) {
		return
	}
	res := etcdjson.LeaseResponse{Header: header(s.Store.Revision()), ID: req.ID}
	ttl, err := s.Store.KeepAliveTTL(context.WithoutCancel(r.Context()), infra.LeaseID(req.ID))
	if err != nil && !infra.IsKind(err, infra.KindLeaseNotFound) {
		writeStoreError(w, err)
		return
	}
	res.TTL = etcdjson.Int64(ttl / time.Second) // the protocol reports an expired lease as TTL 0
	writeJSON(w, http.StatusOK, etcdjson.KeepAliveMessage{Result: &res})
}

func (s *Server) revoke(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.LeaseRequest
	if !readJSON(w, r, &req) {
		return
	}
	if err := s.Store.Revoke(context.WithoutCancel(r.Context()), infra.LeaseID(req.ID)); err != nil {
		writeStoreError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, etcdjson.PutResponse{Header: header(s.Store.Revision())})
}

// writeStoreError answers with the HTTP status, gRPC code and message that the
// real service sends for the same error.
func writeStoreError(w http.ResponseWriter, err error) {
	switch infra.KindOf(err) {
	case infra.KindTooLarge:
		writeError(w, http.StatusBadRequest, etcdjson.CodeInvalidArgument, etcdjson.MessageTooLarge)
	case infra.KindLeaseNotFound:
		writeError(w, http.StatusNotFound, etcdjson.CodeNotFound, "etcdserver: requested lease not found")
	case infra.KindCompacted:
		writeError(w, http.StatusBadRequest, etcdjson.CodeOutOfRange, "etcdserver: mvcc: required revision has been compacted")
	case infra.KindInvalid:
		writeError(w, http.StatusBadRequest, etcdjson.CodeInvalidArgument, err.Error())
	default:
		writeError(w, http.StatusInternalServerError, etcdjson.CodeInternal, err.Error())
	}
}

func header(rev infra.Revision) *etcdjson.Header {
	return &etcdjson.Header{Revision: etcdjson.Int64(rev)}
}

func kvToWire(kv infra.KV) etcdjson.KeyValue {
	return etcdjson.KeyValue{
		Key:            []byte(kv.Key),
		Value:          kv.Value,
		CreateRevision: etcdjson.Int64(kv.CreateRevision),
		ModRevision:    etcdjson.Int64(kv.ModRevision),
		Lease:          etcdjson.Int64(kv.Lease),
	}
}
