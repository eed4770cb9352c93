// Package gateway implements infra.Store over the HTTP/JSON gateway of etcd v3.
// It is the only store implementation that depends on this protocol: a
// deployment with a different key-value service needs another implementation
// of infra.Store.
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

// Defaults for watches. A watch that received nothing for DefaultProbeEvery is
// checked by a read. A watch whose connection broke is retried for
// DefaultResumeFor. With these values a reader learns within about ten seconds
// that its view is stale, and an idle watch costs half a read per second.
const (
	DefaultProbeEvery = 2 * time.Second
	DefaultResumeFor  = 4 * time.Second
)

// Options configure a Store.
type Options struct {
	Endpoints  []string        // base addresses such as http://10.0.0.1:2379, tried in turn
	Zone       string          // own availability zone, sent to the service
	Timeout    time.Duration   // of each call at each endpoint; 0 for httpcall.DefaultTimeout
	HTTPClient *http.Client    // for TLS (see httpcall.NewHTTP) or a custom dialer; nil for httpcall.NewHTTP(nil)
	ResumeFor  time.Duration   // how long a broken watch is retried before it ends; 0 for DefaultResumeFor
	ProbeEvery time.Duration   // idle time after which a watch is checked; 0 for DefaultProbeEvery
	Clock      clockwork.Clock // used by watches; nil for the real clock
}

// Store implements infra.Store. It is safe for concurrent use.
type Store struct {
	http       *httpcall.Client
	resumeFor  time.Duration
	probeEvery time.Duration
	clock      clockwork.Clock
}

var _ infra.Store = (*Store)(nil)

// New returns a Store. It opens no connection before the first call.
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
	return firstOrAbsent(key, res.KVs), revision(res.Header), nil
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
	if err := checkLimits(txn); err != nil {
		return infra.TxnResult{}, err
	}
	var res etcdjson.TxnResponse
	call := httpcall.Call{Op: "txn", Path: etcdjson.PathTxn, Body: toWire(txn), Write: true}
	if err := s.post(ctx, call, &res); err != nil {
		return infra.TxnResult{}, err
	}
	return resultOf(txn, res)
}

// Grant implements infra.Store. The protocol expresses ttl in whole seconds;
// fractions are rounded up.
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

// KeepAlive implements infra.Store. A renewal is idempotent, so a renewal
// without a response is safe to retry and never fails with KindUnknown.
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
		return statusError(call, a)
	}
	return httpcall.Decode(call, a, into)
}

// checkLimits returns an error if txn exceeds a limit of the service. Checking
// before the call is sent makes certain that the transaction was not applied.
func checkLimits(txn infra.Txn) error {
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

// statusError returns the error for a response whose status is not 200.
func statusError(call httpcall.Call, a httpcall.Response) error {
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

// kindOfStatus returns the kind of error for a response without an error code.
// Such a response comes from a proxy in front of the service, so a write may
// have taken effect unless the status rules that out.
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

// kindOfCode returns the kind of error for the service's error code. After
// CodeUnavailable and CodeDeadlineExceeded the outcome of a write is unknown:
// the service also returns them if its leader changed after the write had been
// proposed.
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

// rangeStart returns the first key of a read of prefix. The protocol encodes
// "from the first key of the store" as a single zero byte.
func rangeStart(prefix string) []byte {
	if prefix == "" {
		return []byte{0}
	}
	return []byte(prefix)
}

// firstOrAbsent returns the first of kvs, or an absent key if kvs is empty.
func firstOrAbsent(key string, kvs []etcdjson.KeyValue) infra.KV {
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
