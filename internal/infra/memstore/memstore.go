// Package memstore implements infra.Store in memory. The platform's stand-in
// serves it, and tests use it as a fake of the key-value service.
package memstore

import (
	"bytes"
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// MaxValueBytes is the size in bytes of the largest value that Txn accepts.
const MaxValueBytes = infra.MaxValueBytes

// historyLimit is the number of revisions that are kept for watches that start
// in the past. Older ones are compacted, as in the real service.
const historyLimit = 10000

// Store is an infra.Store in memory. It is safe for concurrent use.
type Store struct {
	clock clockwork.Clock

	mu        sync.Mutex
	rev       infra.Revision
	compacted infra.Revision
	keys      map[string]infra.KV
	leases    map[infra.LeaseID]*lease
	nextLease infra.LeaseID
	history   []infra.WatchBatch
	watchers  map[*watcher]struct{}
}

type lease struct {
	ttl     time.Duration
	expires time.Time
	keys    map[string]struct{}
}

// New returns an empty store that takes the time of lease expiry from clock.
func New(clock clockwork.Clock) *Store {
	return &Store{
		clock:     clock,
		rev:       1,
		keys:      make(map[string]infra.KV),
		leases:    make(map[infra.LeaseID]*lease),
		nextLease: 1000,
		watchers:  make(map[*watcher]struct{}),
	}
}

var _ infra.Store = (*Store)(nil)

// Get implements infra.Store.
func (s *Store) Get(ctx context.Context, key string) (infra.KV, infra.Revision, error) {
	if err := ctx.Err(); err != nil {
		return infra.KV{}, 0, infra.Errorf("get", infra.KindUnavailable, "%w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	return s.readLocked(key), s.rev, nil
}

// Range implements infra.Store.
func (s *Store) Range(ctx context.Context, prefix string) ([]infra.KV, infra.Revision, error) {
	if err := ctx.Err(); err != nil {
		return nil, 0, infra.Errorf("range", infra.KindUnavailable, "%w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	var kvs []infra.KV
	for k, kv := range s.keys {
		if strings.HasPrefix(k, prefix) {
			kvs = append(kvs, clone(kv))
		}
	}
	sort.Slice(kvs, func(i, j int) bool { return kvs[i].Key < kvs[j].Key })
	return kvs, s.rev, nil
}

// Txn implements infra.Store.
func (s *Store) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	if err := ctx.Err(); err != nil {
		return infra.TxnResult{}, infra.Errorf("txn", infra.KindUnavailable, "%w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	if err := s.validateLocked(txn); err != nil {
		return infra.TxnResult{}, err
	}
	ok := s.conditionsHoldLocked(txn.If)
	ops := txn.Then
	if !ok {
		ops = txn.Else
	}
	res := infra.TxnResult{Succeeded: ok}
	res.Reads = s.applyLocked(ops)
	res.Revision = s.rev
	return res, nil
}

// Grant implements infra.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	if err := ctx.Err(); err != nil {
		return 0, infra.Errorf("grant", infra.KindUnavailable, "%w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	s.nextLease++
	s.leases[s.nextLease] = &lease{ttl: ttl, expires: s.clock.Now().Add(ttl), keys: make(map[string]struct{})}
	return s.nextLease, nil
}

// KeepAlive implements infra.Store.
func (s *Store) KeepAlive(ctx context.Context, id infra.LeaseID) error {
	_, err := s.KeepAliveTTL(ctx, id)
	return err
}

// KeepAliveTTL renews a lease like KeepAlive and returns its time to live.
func (s *Store) KeepAliveTTL(ctx context.Context, id infra.LeaseID) (time.Duration, error) {
	if err := ctx.Err(); err != nil {
		return 0, infra.Errorf("keepalive", infra.KindUnavailable, "%w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	l, ok := s.leases[id]
	if !ok {
		return 0, infra.Errorf("keepalive", infra.KindLeaseNotFound, "lease %d", id)
	}
	l.expires = s.clock.Now().Add(l.ttl)
	return l.ttl, nil
}

// Revoke implements infra.Store.
func (s *Store) Revoke(ctx context.Context, id infra.LeaseID) error {
	if err := ctx.Err(); err != nil {
		return infra.Errorf("revoke", infra.KindUnavailable, "%w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	if _, ok := s.leases[id]; !ok {
		return infra.Errorf("revoke", infra.KindLeaseNotFound, "lease %d", id)
	}
	s.deleteLeaseLocked(id)
	return nil
}

// ExpireLeases expires the leases whose time to live is over. Get, Range, Txn and the
// lease calls do so too; ExpireLeases lets watches see the deletions when no such call
// comes.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
}

// Revision returns the store's current revision.
func (s *Store) Revision() infra.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rev
}

// Compacted returns the newest revision whose history has been discarded; 0 if
// none has.
func (s *Store) Compacted() infra.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.compacted
}

// Compact discards the history up to and including rev, so that a watch from
// rev or earlier fails with KindCompacted.
func (s *Store) Compact(rev infra.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for n < len(s.history) && s.history[n].Revision <= rev {
		n++
	}
	s.history = s.history[n:]
	s.compacted = max(s.compacted, rev)
}

func (s *Store) readLocked(key string) infra.KV {
	kv, ok := s.keys[key]
	if !ok {
		return infra.KV{Key: key}
	}
	return clone(kv)
}

func (s *Store) validateLocked(txn infra.Txn) error {
	if n := max(len(txn.If), len(txn.Then), len(txn.Else)); n > infra.MaxTxnOps {
		return infra.Errorf("txn", infra.KindInvalid, "%d operations, at most %d", n, infra.MaxTxnOps)
	}
	for _, ops := range [][]infra.Op{txn.Then, txn.Else} {
		put := make(map[string]bool, len(ops))
		for _, op := range ops {
			if op.Kind != infra.OpPut {
				continue
			}
			if put[op.Key] {
				return infra.Errorf("txn", infra.KindInvalid, "%s is put twice", op.Key)
			}
			put[op.Key] = true
			if len(op.Value) > MaxValueBytes {
				return infra.Errorf("txn", infra.KindTooLarge, "%s: %d bytes, at most %d", op.Key, len(op.Value), MaxValueBytes)
			}
			if _, ok := s.leases[op.Lease]; op.Lease != 0 && !ok {
				return infra.Errorf("txn", infra.KindLeaseNotFound, "lease %d", op.Lease)
			}
		}
	}
	return nil
}

func (s *Store) conditionsHoldLocked(conds []infra.Cond) bool {
	for _, c := range conds {
		if s.keys[c.Key].ModRevision != c.ModRevision {
			return false
		}
	}
	return true
}

// applyLocked applies ops, publishes their events and returns the values read.
// All writes of one transaction share one revision.
func (s *Store) applyLocked(ops []infra.Op) []infra.KV {
	next := s.rev + 1
	var reads []infra.KV
	var events []infra.Event
	for _, op := range ops {
		switch op.Kind {
		case infra.OpGet:
			reads = append(reads, s.readLocked(op.Key))
		case infra.OpPut:
			events = append(events, s.putLocked(op, next))
		case infra.OpDelete:
			if _, ok := s.keys[op.Key]; ok {
				events = append(events, s.deleteLocked(op.Key, next))
			}
		}
	}
	s.publishLocked(events, next)
	return reads
}

func (s *Store) putLocked(op infra.Op, rev infra.Revision) infra.Event {
	old, existed := s.keys[op.Key]
	if l, ok := s.leases[old.Lease]; existed && ok {
		delete(l.keys, op.Key)
	}
	kv := infra.KV{Key: op.Key, Value: bytes.Clone(op.Value), CreateRevision: rev, ModRevision: rev, Lease: op.Lease}
	if existed {
		kv.CreateRevision = old.CreateRevision
	}
	s.keys[op.Key] = kv
	if l, ok := s.leases[op.Lease]; ok {
		l.keys[op.Key] = struct{}{}
	}
	return infra.Event{Kind: infra.EventPut, KV: clone(kv)}
}

func (s *Store) deleteLocked(key string, rev infra.Revision) infra.Event {
	kv := s.keys[key]
	if l, ok := s.leases[kv.Lease]; ok {
		delete(l.keys, key)
	}
	delete(s.keys, key)
	return infra.Event{Kind: infra.EventDelete, KV: infra.KV{Key: key, ModRevision: rev}}
}

func (s *Store) expireLocked() {
	now := s.clock.Now()
	var expired []infra.LeaseID
	for id, l := range s.leases {
		if !l.expires.After(now) {
			expired = append(expired, id)
		}
	}
	sort.Slice(expired, func(i, j int) bool { return expired[i] < expired[j] })
	for _, id := range expired {
		s.deleteLeaseLocked(id)
	}
}

func (s *Store) deleteLeaseLocked(id infra.LeaseID) {
	next := s.rev + 1
	var names []string
	for k := range s.leases[id].keys {
		names = append(names, k)
	}
	sort.Strings(names)
	var events []infra.Event
	for _, k := range names {
		events = append(events, s.deleteLocked(k, next))
	}
	delete(s.leases, id)
	s.publishLocked(events, next)
}

func (s *Store) publishLocked(events []infra.Event, rev infra.Revision) {
	if len(events) == 0 {
		return
	}
	s.rev = rev
	batch := infra.WatchBatch{Events: events, Revision: rev}
	s.history = append(s.history, batch)
	if over := len(s.history) - historyLimit; over > 0 {
		s.compacted = s.history[over-1].Revision
		s.history = s.history[over:]
	}
	for w := range s.watchers {
		w.push(batch)
	}
}

func clone(kv infra.KV) infra.KV {
	kv.Value = bytes.Clone(kv.Value)
	return kv
}
