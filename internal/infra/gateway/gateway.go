// Package gateway is infra.Store over the etcd v3 JSON gateway's published
// protocol, on net/http. Only this package knows that protocol; a deployment
// whose service speaks another one needs another package like this.
package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/etcdjson"
	"github.com/pumicestage/pumicestage/internal/infra/httpcall"
)

// How a watch is kept: one that is quiet for DefaultProbeEvery is checked by a
// read, one that is cut is resumed for DefaultResumeFor. So a reader hears
// within about ten seconds that its view grows old, and a quiet watch costs
// half a read a second.
const (
	DefaultProbeEvery = 2 * time.Second
	DefaultResumeFor  = 4 * time.Second
)

// Options say how to reach the service.
type Options struct {
	Endpoints  []string        // base addresses such as http://10.0.0.1:2379, tried in turn
	Zone       string          // own availability zone, told to the service
	Timeout    time.Duration   // of each call at each endpoint; 0 for httpcall.DefaultTimeout
	HTTPClient *http.Client    // for TLS (see httpcall.NewHTTP) or a dialer of one's own
	ResumeFor  time.Duration   // how long a cut watch is resumed; 0 for DefaultResumeFor
	ProbeEvery time.Duration   // how long a watch is trusted without a word; 0 for DefaultProbeEvery
	Clock      clockwork.Clock // of watches; nil for the real one
}

// Store is a infra.Store. It is safe for concurrent use.
type Store struct {
	http       *httpcall.Client
	resumeFor  time.Duration
	probeEvery time.Duration
	clock      clockwork.Clock
}

var _ infra.Store = (*Store)(nil)

// New returns a store. It opens no connection before the first call.
func New(o Options) *Store {
	if o.ResumeFor <= 0 {
		o.ResumeFor = DefaultResumeFor
	}
	if o.ProbeEvery <= 0 {
		o.ProbeEvery = DefaultProbeEvery
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	h := httpcall.New(httpcall.Options{Endpoints: o.Endpoints, Zone: o.Zone, Timeout: o.Timeout, HTTPClient: o.HTTPClient})
	return &Store{http: h, resumeFor: o.ResumeFor, probeEvery: o.ProbeEvery, clock: o.Clock}
}

// Get implements infra.Store.
func (s *Store) Get(ctx context.Context, key string) (infra.KV, infra.Revision, error) {
	res, err := s.rangeKeys(ctx, "get", etcdjson.RangeRequest{Key: []byte(key)})
	if err != nil {
		return infra.KV{}, 0, err
	}
	return one(key, res.KVs), revision(res.Header), nil
}

// Range implements infra.Store.
func (s *Store) Range(ctx context.Context, prefix string) ([]infra.KV, infra.Revision, error) {
	res, err := s.rangeKeys(ctx, "range", etcdjson.RangeRequest{Key: rangeStart(prefix), RangeEnd: etcdjson.PrefixEnd(prefix)})
	if err != nil {
		return nil, 0, err
	}
	var kvs []infra.KV
	for _, kv := range res.KVs {
		kvs = append(kvs, fromWire(kv))
	}
	return kvs, revision(res.Header), nil
}

func (s *Store) rangeKeys(ctx context.Context, op string, req etcdjson.RangeRequest) (etcdjson.RangeResponse, error) {
	var res etcdjson.RangeResponse
	call := httpcall.Call{Op: op, Path: etcdjson.PathRange, Body: req}
	if err := s.post(ctx, call, &res); err != nil {
		return res, err
	}
	if res.Header == nil {
		return res, infra.Errorf(op, infra.KindInvalid, "malformed answer: no header")
	}
	return res, nil
}

// Txn implements infra.Store.
func (s *Store) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	if err := checkSize(txn); err != nil {
		return infra.TxnResult{}, err
	}
	var res etcdjson.TxnResponse
	call := httpcall.Call{Op: "txn", Path: etcdjson.PathTxn, Body: toWire(txn), Write: true}
	if err := s.post(ctx, call, &res); err != nil {
		return infra.TxnResult{}, err
	}
	return resultOf(txn, res)
}

// Grant implements infra.Store. The service counts in whole seconds; a
// part of one is rounded up.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	seconds := (ttl + time.Second - 1) / time.Second
	var res etcdjson.LeaseResponse
	call := httpcall.Call{Op: "grant", Path: etcdjson.PathGrant, Body: etcdjson.GrantRequest{TTL: etcdjson.Int64(seconds)}, Write: true}
	if err := s.post(ctx, call, &res); err != nil {
		return 0, err
	}
	if res.ID == 0 {
		return 0, infra.Errorf("grant", infra.KindUnknown, "malformed answer: no lease")
	}
	return infra.LeaseID(res.ID), nil
}

// KeepAlive implements infra.Store. A renewal that got no answer does no
// harm when repeated, so it never leaves KindUnknown.
func (s *Store) KeepAlive(ctx context.Context, lease infra.LeaseID) error {
	var res etcdjson.KeepAliveMessage
	call := httpcall.Call{Op: "keepalive", Path: etcdjson.PathKeepAlive, Body: etcdjson.LeaseRequest{ID: etcdjson.Int64(lease)}}
	if err := s.post(ctx, call, &res); err != nil {
		return err
	}
	if res.Error != nil {
		return infra.Errorf("keepalive", kindOfCode(res.Error.GRPCCode, res.Error.Message, false), "%s", res.Error.Message)
	}
	if res.Result == nil {
		return infra.Errorf("keepalive", infra.KindInvalid, "malformed answer: no result")
	}
	if res.Result.TTL <= 0 {
		return infra.Errorf("keepalive", infra.KindLeaseNotFound, "lease %d", lease)
	}
	return nil
}

// Revoke implements infra.Store.
func (s *Store) Revoke(ctx context.Context, lease infra.LeaseID) error {
	call := httpcall.Call{Op: "revoke", Path: etcdjson.PathRevoke, Body: etcdjson.LeaseRequest{ID: etcdjson.Int64(lease)}, Write: true}
	return s.post(ctx, call, &etcdjson.PutResponse{})
}

func (s *Store) post(ctx context.Context, call httpcall.Call, into any) error {
	call.Method = http.MethodPost
	a, err := s.http.Do(ctx, call)
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK {
		return refusal(call, a)
	}
	return httpcall.Decode(call, a, into)
}

// checkSize refuses here what the service would refuse, certain and unsent.
func checkSize(txn infra.Txn) error {
	if n := max(len(txn.If), len(txn.Then), len(txn.Else)); n > infra.MaxTxnOps {
		return infra.Errorf("txn", infra.KindInvalid, "%d operations, at most %d", n, infra.MaxTxnOps)
	}
	for _, ops := range [][]infra.Op{txn.Then, txn.Else} {
		for _, op := range ops {
			if len(op.Value) > infra.MaxValueBytes {
				return infra.Errorf("txn", infra.KindTooLarge, "%s: %d bytes, at most %d", op.Key, len(op.Value), infra.MaxValueBytes)
			}
		}
	}
	return nil
}

// refusal turns an answer that is not 200 into an error.
func refusal(call httpcall.Call, a httpcall.Response) error {
	var body etcdjson.Error
	if err := json.Unmarshal(a.Body, &body); err != nil || body.Code == 0 {
		return infra.Errorf(call.Op, kindOfStatus(a.Status, call.Write), "status %d", a.Status)
	}
	message := body.Message
	if message == "" {
		message = body.Error
	}
	if a.Status == http.StatusTooManyRequests {
		return infra.Errorf(call.Op, infra.KindRateLimited, "%s", message)
	}
	return infra.Errorf(call.Op, kindOfCode(body.Code, message, call.Write), "%s", message)
}

// kindOfStatus judges an answer without a code: it came from something in
// front of the service, so that a write may have gone through.
func kindOfStatus(status int, write bool) infra.Kind {
	switch {
	case status == http.StatusTooManyRequests:
		return infra.KindRateLimited
	case status == http.StatusRequestEntityTooLarge:
		return infra.KindTooLarge
	case write:
		return infra.KindUnknown
	}
	return infra.KindUnavailable
}

// kindOfCode judges by the service's own code. "Unavailable" and "deadline
// exceeded" leave a write open: the service says them, too, where a change of
// its leader overtook a write that it had already proposed.
func kindOfCode(code etcdjson.Code, message string, write bool) infra.Kind {
	switch code {
	case etcdjson.CodeInvalidArgument:
		if message == etcdjson.MessageTooLarge {
			return infra.KindTooLarge
		}
		return infra.KindInvalid
	case etcdjson.CodeUnimplemented:
		return infra.KindInvalid
	case etcdjson.CodeNotFound:
		return infra.KindLeaseNotFound
	case etcdjson.CodeResourceExhausted:
		return infra.KindRateLimited
	case etcdjson.CodeOutOfRange:
		return infra.KindCompacted
	}
	if write {
		return infra.KindUnknown
	}
	return infra.KindUnavailable
}

func revision(h *etcdjson.Header) infra.Revision { return infra.Revision(h.Revision) }

// rangeStart returns the key a prefix read begins with; the protocol writes
// "from the first key" as one zero byte.
func rangeStart(prefix string) []byte {
	if prefix == "" {
		return []byte{0}
	}
	return []byte(prefix)
}

func one(key string, kvs []etcdjson.KeyValue) infra.KV {
	if len(kvs) == 0 {
		return infra.KV{Key: key}
	}
	return fromWire(kvs[0])
}

func fromWire(kv etcdjson.KeyValue) infra.KV {
	return infra.KV{
		Key:            string(kv.Key),
		Value:          bytes.Clone(kv.Value),
		CreateRevision: infra.Revision(kv.CreateRevision),
		ModRevision:    infra.Revision(kv.ModRevision),
		Lease:          infra.LeaseID(kv.Lease),
	}
}
