// Package etcdjson defines the messages of etcd's v3 JSON gateway, as far as
// this project uses them. Keys and values are encoded in base64 and 64-bit
// integers as strings; fields with their default value are omitted.
package etcdjson

import (
	"bytes"
	"strconv"
)

// The paths of the calls. The method is always POST.
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

// Code is a gRPC status code, as contained in error bodies.
type Code int

// The status codes that the service returns.
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

// MessageTooLarge is the service's message for a request that exceeds its size
// limit. The code, CodeInvalidArgument, doesn't distinguish this error from
// others.
const MessageTooLarge = "etcdserver: request is too large"

// Int64 is a 64-bit integer that is encoded as a JSON string. JSON numbers are
// accepted when decoding.
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

// Error is the body of a response whose status is not 200, and the last message
// of a stream that failed. Error and Message both hold the text of the error;
// Message may be empty.
type Error struct {
	Error   string `json:"error"`
	Code    Code   `json:"code"`
	Message string `json:"message,omitempty"`
}

// Header is part of every response. Its cluster and member IDs are not decoded:
// they are unsigned, may exceed the range of Int64, and are not needed.
type Header struct {
	Revision Int64 `json:"revision,omitempty"`
}

// KeyValue is a key with its value, revisions and lease.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision Int64  `json:"create_revision,omitempty"`
	ModRevision    Int64  `json:"mod_revision,omitempty"`
	Version        Int64  `json:"version,omitempty"`
	Value          []byte `json:"value,omitempty"`
	Lease          Int64  `json:"lease,omitempty"`
}

// RangeRequest reads Key or, if RangeEnd is set, all keys from Key up to but not
// including RangeEnd.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// RangeResponse is the response to a RangeRequest.
type RangeResponse struct {
	Header *Header    `json:"header,omitempty"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	Count  Int64      `json:"count,omitempty"`
}

// PutRequest writes one key and attaches it to Lease, if that is not 0.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease Int64  `json:"lease,omitempty"`
}

// PutResponse is the response to a PutRequest.
type PutResponse struct {
	Header *Header `json:"header,omitempty"`
}

// DeleteRangeRequest deletes Key or, if RangeEnd is set, all keys from Key up to
// but not including RangeEnd.
type DeleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// DeleteRangeResponse is the response to a DeleteRangeRequest.
type DeleteRangeResponse struct {
	Header  *Header `json:"header,omitempty"`
	Deleted Int64   `json:"deleted,omitempty"`
}

// Target is the property of a key that a Compare tests.
type Target string

// The targets. Each is 0 for a key that does not exist.
const (
	TargetVersion Target = "VERSION"
	TargetCreate  Target = "CREATE"
	TargetMod     Target = "MOD"
)

// ResultEqual is the only comparison operator used here; it is the protocol's
// default.
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

// RequestOp is one operation of a transaction. Exactly one field is set.
type RequestOp struct {
	Range       *RangeRequest       `json:"request_range,omitempty"`
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// ResponseOp is the response to a RequestOp. Exactly one field is set.
type ResponseOp struct {
	Range       *RangeResponse       `json:"response_range,omitempty"`
	Put         *PutResponse         `json:"response_put,omitempty"`
	DeleteRange *DeleteRangeResponse `json:"response_delete_range,omitempty"`
}

// TxnRequest applies Success if every condition of Compare holds, otherwise
// Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// TxnResponse is the response to a TxnRequest. Succeeded reports whether Success
// was applied.
type TxnResponse struct {
	Header    *Header      `json:"header,omitempty"`
	Succeeded bool         `json:"succeeded,omitempty"`
	Responses []ResponseOp `json:"responses,omitempty"`
}

// GrantRequest creates a lease of TTL seconds. The service chooses the ID if it
// is 0.
type GrantRequest struct {
	TTL Int64 `json:"TTL"`
	ID  Int64 `json:"ID,omitempty"`
}

// LeaseRequest renews or revokes the lease ID.
type LeaseRequest struct {
	ID Int64 `json:"ID"`
}

// LeaseResponse is the response to a grant or a renewal. TTL is in seconds; 0
// after a renewal means that the lease no longer exists.
type LeaseResponse struct {
	Header *Header `json:"header,omitempty"`
	ID     Int64   `json:"ID,omitempty"`
	TTL    Int64   `json:"TTL,omitempty"`
}

// KeepAliveMessage is a message of the response stream of a renewal.
type KeepAliveMessage struct {
	Result *LeaseResponse `json:"result,omitempty"`
	Error  *StreamError   `json:"error,omitempty"`
}

// StreamError is an error reported in a response stream.
type StreamError struct {
	GRPCCode Code   `json:"grpc_code,omitempty"`
	HTTPCode int    `json:"http_code,omitempty"`
	Message  string `json:"message,omitempty"`
}

// WatchRequest opens a watch.
type WatchRequest struct {
	Create *WatchCreate `json:"create_request,omitempty"`
}

// WatchCreate specifies the keys to watch and the first revision to report.
type WatchCreate struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end,omitempty"`
	StartRevision  Int64  `json:"start_revision,omitempty"`
	ProgressNotify bool   `json:"progress_notify,omitempty"`
}

// WatchMessage is a message of the response stream of a watch.
type WatchMessage struct {
	Result *WatchResponse `json:"result,omitempty"`
	Error  *StreamError   `json:"error,omitempty"`
}

// WatchResponse contains events, or reports that the watch was created, was
// canceled or made progress.
type WatchResponse struct {
	Header          *Header `json:"header,omitempty"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision Int64   `json:"compact_revision,omitempty"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// EventDelete is the Type of a deletion. The Type of a put is the default, an
// empty string.
const EventDelete = "DELETE"

// Event is one change of a key. Type is EventDelete, or empty for a put.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// PrefixEnd returns the range end for reading all keys that begin with prefix:
// the first key after them, or a zero byte, which means the end of the store.
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
