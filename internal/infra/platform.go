// Package infra defines the interfaces to the platform that the users run: a
// key-value service and the machines. All shared and persistent state goes
// through Store; every external effect goes through Machines.
package infra

import (
	"context"
	"time"
)

// Limits of one call. Every implementation enforces them, so that tests
// detect a caller that exceeds them. A transaction over MaxTxnOps, the
// service's published default, fails with KindInvalid, a value over
// MaxValueBytes with KindTooLarge.
const (
	MaxTxnOps     = 128 // for If, Then and Else each
	MaxValueBytes = 1 << 20
)

// Revision is the version of the whole store. It increases with every write
// and serves as a fencing token. Zero in a Cond means "the key does not exist".
type Revision int64

// LeaseID identifies a lease. Zero means no lease.
type LeaseID int64

// KV is a key with its value and the revisions of its creation and last write.
type KV struct {
	Key            string
	Value          []byte
	CreateRevision Revision
	ModRevision    Revision
	Lease          LeaseID
}

// Cond is a condition of a transaction: Key was last written at ModRevision
// (0: Key does not exist).
type Cond struct {
	Key         string
	ModRevision Revision
}

// OpKind is the type of an Op.
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

// PutLeased returns an Op that writes value under key and attaches the key to
// lease: the store deletes the key when the lease ends.
func PutLeased(key string, value []byte, lease LeaseID) Op {
	return Op{Kind: OpPut, Key: key, Value: value, Lease: lease}
}

// Delete returns an Op that removes key.
func Delete(key string) Op { return Op{Kind: OpDelete, Key: key} }

// Read returns an Op that reads key.
func Read(key string) Op { return Op{Kind: OpGet, Key: key} }

// Txn applies Then if every condition of If holds, otherwise Else, atomically.
type Txn struct {
	If   []Cond
	Then []Op
	Else []Op
	// Since is any revision of the store that the caller saw before the
	// transaction was first sent; 0 if none. Store.Txn ignores it. Commit
	// searches the history from there if every condition is that a key is
	// absent, and so names no revision.
	Since Revision
}

// TxnResult is the outcome of a Txn.
type TxnResult struct {
	Succeeded bool
	Revision  Revision // of the store after the transaction
	// Reads has one entry for each OpGet that was applied, in order; an
	// absent key has ModRevision 0.
	Reads []KV
	// Superseded is set only by Commit: the transaction took effect, and a
	// key that it wrote has changed since.
	Superseded bool
}

// EventKind is the type of an Event.
type EventKind int8

// The kinds of Event.
const (
	EventPut EventKind = iota
	EventDelete
)

// Event is one change of a key that a watch delivers.
type Event struct {
	Kind EventKind
	KV   KV // for EventDelete only Key and ModRevision are set
}

// WatchBatch holds the events of one store revision in order, or the error
// that ended the watch. After an error the channel is closed.
type WatchBatch struct {
	Events   []Event
	Revision Revision
	Err      error
	// More reports that later events exist that did not fit into the response.
	More bool
	// Age is an upper bound on how out of date the watch is after this batch, which may have
	// no events: that long ago the store had no change that is not delivered yet. 0: unknown.
	Age time.Duration
}

// PageReader is implemented by stores that can read a range without holding all of it.
type PageReader interface {
	// RangePages is like Store.Range and calls use for each page of keys. It returns the error of use.
	RangePages(ctx context.Context, prefix string, use func(page []KV) error) (Revision, error)
}

// RangePages reads the keys with the prefix page by page if the store can do that, else all at once.
func RangePages(ctx context.Context, s Store, prefix string, use func(page []KV) error) error {
	if r, ok := s.(PageReader); ok {
		_, err := r.RangePages(ctx, prefix, use)
		return err
	}
	kvs, _, err := s.Range(ctx, prefix)
	if err != nil {
		return err
	}
	return use(kvs)
}

// Store is the platform's key-value service. Every call returns by the
// context's deadline. Errors are *Error; their Kind says whether a write may
// have taken effect.
type Store interface {
	// Get reads one key. An absent key has ModRevision 0 and no error. The
	// Revision is that of the store at the time of the read.
	Get(ctx context.Context, key string) (KV, Revision, error)
	// Range reads every key with the prefix, sorted by key.
	Range(ctx context.Context, prefix string) ([]KV, Revision, error)
	// Txn runs a transaction; it is atomic and serializable.
	Txn(ctx context.Context, txn Txn) (TxnResult, error)
	// Grant creates a lease. Keys attached to it are deleted when it expires or
	// is revoked.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease. It returns KindLeaseNotFound if the lease has
	// expired.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Revoke ends a lease and deletes its keys at once.
	Revoke(ctx context.Context, lease LeaseID) error
	// Watch delivers every change of keys with the prefix from revision `from`
	// on, in order and without gaps, until ctx ends. After KindCompacted the
	// caller must read the keys with Range and watch from its revision.
	Watch(ctx context.Context, prefix string, from Revision) (<-chan WatchBatch, error)
}
