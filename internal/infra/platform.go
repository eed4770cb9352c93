// Package infra is the port to the platform the users run: a key-value
// service and the machines. Everything the system agrees on or keeps goes
// through Store; every outside effect goes through Machines.
package infra

import (
	"context"
	"time"
)

// Limits of one call that every implementation keeps, so that a caller finds
// out in tests. A transaction over MaxTxnOps, the service's published default,
// fails with KindInvalid, a value over MaxValueBytes with KindTooLarge.
const (
	MaxTxnOps     = 128 // for If, Then and Else each
	MaxValueBytes = 1 << 20
)

// Revision is the store's global version; it grows with every write and
// serves as a fencing token. Zero in a Cond means "the key does not exist".
type Revision int64

// LeaseID names a lease. Zero is no lease.
type LeaseID int64

// KV is one key with its value and versions.
type KV struct {
	Key            string
	Value          []byte
	CreateRevision Revision
	ModRevision    Revision
	Lease          LeaseID
}

// Cond is one condition of a transaction: Key was last written at
// ModRevision (0: Key does not exist).
type Cond struct {
	Key         string
	ModRevision Revision
}

// OpKind says what an Op does.
type OpKind int8

// The kinds of Op.
const (
	OpPut OpKind = iota
	OpDelete
	OpGet
)

// Op is one operation of a transaction.
type Op struct {
	Kind  OpKind
	Key   string
	Value []byte
	Lease LeaseID
}

// Put returns an Op that writes value under key.
func Put(key string, value []byte) Op { return Op{Kind: OpPut, Key: key, Value: value} }

// PutLeased returns an Op that writes value under key for as long as lease lives.
func PutLeased(key string, value []byte, lease LeaseID) Op {
	return Op{Kind: OpPut, Key: key, Value: value, Lease: lease}
}

// Delete returns an Op that removes key.
func Delete(key string) Op { return Op{Kind: OpDelete, Key: key} }

// Read returns an Op that reads key.
func Read(key string) Op { return Op{Kind: OpGet, Key: key} }

// Txn applies Then where every condition of If holds, else Else, as one step.
type Txn struct {
	If   []Cond
	Then []Op
	Else []Op
	// Since is any revision of the store that the caller saw before the
	// transaction was first sent; 0 if none. Txn does not look at it; Commit
	// does where all conditions are of absence, to know where to look from.
	Since Revision
}

// TxnResult is the outcome of a Txn.
type TxnResult struct {
	Succeeded bool
	Revision  Revision // of the store after the transaction
	// Reads has one entry for each OpGet that was applied, in order; an
	// absent key has ModRevision 0.
	Reads []KV
	// Superseded is set by Commit alone: the transaction took effect, and a
	// key it wrote has changed since.
	Superseded bool
}

// EventKind says what happened to a key.
type EventKind int8

// The kinds of Event.
const (
	EventPut EventKind = iota
	EventDelete
)

// Event is one change seen by a watch.
type Event struct {
	Kind EventKind
	KV   KV // for EventDelete only Key and ModRevision are set
}

// WatchBatch carries the events of one store revision in order, or the error
// that ended the watch. After an error the channel is closed.
type WatchBatch struct {
	Events   []Event
	Revision Revision
	Err      error
	// More says that later events were there and found no room in the answer.
	More bool
	// Age is how long ago, at most, the store held nothing later than what the watch has told
	// with this batch, which may be without events; 0: not known.
	Age time.Duration
}

// Store is the platform's key-value service. Every call ends by the context's
// deadline. Errors are *Error; see Kind for what may have happened.
type Store interface {
	// Get reads one key. An absent key has ModRevision 0 and no error. The
	// Revision is the store's at the time of the read.
	Get(ctx context.Context, key string) (KV, Revision, error)
	// Range reads every key with the prefix, sorted by key.
	Range(ctx context.Context, prefix string) ([]KV, Revision, error)
	// Txn runs a transaction; it is atomic and serializable.
	Txn(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant makes a lease. Keys under it vanish when it lapses or is revoked.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease; KindLeaseNotFound where it has lapsed.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and its keys at once.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch delivers every change under prefix from revision `from` on, in
	// order, without gaps, until ctx ends. KindCompacted means the caller
	// must read with Range and watch from there.
	Watch(ctx context.Context, prefix string, from Revision) (<-chan WatchBatch, error)
}
