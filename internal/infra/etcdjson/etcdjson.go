// Package etcdjson holds the messages of the etcd v3 JSON gateway's published
// protocol, as far as the project speaks it: keys and values are base64,
// 64-bit integers are strings, fields at their default are left out.
package etcdjson

import (
	"bytes"
	"strconv"
)

// The paths of the calls; each is a POST.
const (
	PathRange     = "/v3/kv/range"
	PathPut       = "/v3/kv/put"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathKVRevoke  = "/v3/kv/lease/revoke"
	PathWatch     = "/v3/watch"
)

// Code is a gRPC status code, as error bodies carry it.
type Code int

// The codes that the service uses.
const (
	CodeUnknown           Code = 2
	CodeInvalidArgument   Code = 3
	CodeDeadlineExceeded  Code = 4
	CodeNotFound          Code = 5
	CodeResourceExhausted Code = 8
	CodeOutOfRange        Code = 11
	CodeUnimplemented     Code = 12
	CodeInternal          Code = 13
	CodeUnavailable       Code = 14
)

// MessageTooLarge is the service's message for a request over its size limit.
// The code alone does not tell it from other invalid arguments.
const MessageTooLarge = "etcdserver: request is too large"

// Int64 is a 64-bit integer: a string on the wire, read from numbers too.
type Int64 int64

// MarshalJSON implements json.Marshaler.
func (i Int64) MarshalJSON() ([]byte, error) {
	return strconv.AppendQuote(nil, strconv.FormatInt(int64(i), 10)), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (i *Int64) UnmarshalJSON(b []byte) error {
	n, err := strconv.ParseInt(string(bytes.Trim(b, `"`)), 10, 64)
	*i = Int64(n)
	return err
}

// Error is the body of an answer that is not 200, and the last message of a
// stream that failed.
type Error struct {
	Error   string `json:"error"`
	Code    Code   `json:"code"`
	Message string `json:"message,omitempty"`
}

// Header opens every answer. Its identifiers of cluster and member, unsigned
// and over the range of Int64, are of no use here and not read.
type Header struct {
	Revision Int64 `json:"revision,omitempty"`
}

// KeyValue is one key.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
	Version        Int64  `json:"version,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          Int64  `json:"lease,omitempty"`
}

// RangeRequest reads Key, or every key from Key up to RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header *Header    `json:"header,omitempty"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	Count  Int64      `json:"count,omitempty"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease Int64  `json:"lease,omitempty"`
}

// PutResponse answers a PutRequest.
type PutResponse struct {
	Header *Header `json:"header,omitempty"`
}

// DeleteRangeRequest deletes one key.
type DeleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// DeleteRangeResponse answers a DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  *Header `json:"header,omitempty"`
	Deleted Int64   `json:"deleted,omitempty"`
}

// Target is what a Compare looks at.
type Target string

// The targets. An absent key has 0 for each of the first three.
const (
	TargetVersion Target = "VERSION"
	TargetCreate  Target = "CREATE"
	TargetMod     Target = "MOD"
)

// ResultEqual is the only comparison the project uses; it is the default.
const ResultEqual = "EQUAL"

// Compare is one condition of a transaction.
type Compare struct {
	Result         string `json:"result,omitempty"`
	Target         Target `json:"target,omitempty"`
	Key            []byte `json:"key"`
	Version        Int64  `json:"version,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
}

// RequestOp is one operation of a transaction; one field is set.
type RequestOp struct {
	Range       *RangeRequest       `json:"request_range,omitempty"`
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// ResponseOp answers a RequestOp; one field is set.
type ResponseOp struct {
	Range       *RangeResponse       `json:"response_range,omitempty"`
	Put         *PutResponse         `json:"response_put,omitempty"`
	DeleteRange *DeleteRangeResponse `json:"response_delete_range,omitempty"`
}

// TxnRequest applies Success where every Compare holds, else Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    *Header      `json:"header,omitempty"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// GrantRequest makes a lease of TTL seconds.
type GrantRequest struct {
	TTL Int64 `json:"TTL"`
	ID  Int64 `json:"ID,omitempty"`
}

// LeaseRequest names a lease to renew or revoke.
type LeaseRequest struct {
	ID Int64 `json:"ID"`
}

// LeaseResponse answers a grant or one renewal. A renewal with TTL 0 says
// that the lease does not exist any more.
type LeaseResponse struct {
	Header *Header `json:"header,omitempty"`
	ID     Int64   `json:"ID,omitempty"`
	TTL    Int64   `json:"TTL,omitempty"`
}

// KeepAliveMessage is one message of the stream that answers a renewal.
type KeepAliveMessage struct {
	Result *LeaseResponse `json:"result,omitempty"`
	Error  *StreamError   `json:"error,omitempty"`
}

// StreamError is how a stream reports a failure.
type StreamError struct {
	GRPCCode Code   `json:"grpc_code,omitempty"`
	HTTPCode int    `json:"http_code,omitempty"`
	Message  string `json:"message,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create *WatchCreate `json:"create_request,omitempty"`
}

// WatchCreate says what to watch, and from which revision on.
type WatchCreate struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  Int64  `json:"start_revision,omitempty"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// WatchMessage is one message of the stream that answers a watch.
type WatchMessage struct {
	Result *WatchResponse `json:"result,omitempty"`
	Error  *StreamError   `json:"error,omitempty"`
}

// WatchResponse carries events, or news of the watch itself.
type WatchResponse struct {
	Header          *Header `json:"header,omitempty"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision Int64   `json:"compact_revision,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// EventDelete is the Type of a deletion; a put has the default, empty.
const EventDelete = "DELETE"

// Event is one change.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// PrefixEnd returns the range_end that makes key a prefix: the first key
// after all that begin with it.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
