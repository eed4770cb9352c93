// Package faulty injects faults into a client's calls of an infra.Store, for
// tests: what the client sees when the service or the connection to it fails.
package faulty

import (
	"context"
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// Store is one client's connection to an infra.Store. It is safe for concurrent
// use.
type Store struct {
	inner infra.Store

	mu             sync.Mutex
	down           bool
	repliesToLose  int
	requestsToLose int
	beforeWrite    func(op string, txn infra.Txn)
	calls          Calls
	disconnected   chan struct{} // closed by SetDown, to end watches
}

// Calls counts the calls made, failed ones included. Grant and Revoke count as
// writes.
type Calls struct {
	Reads, Writes, KeepAlives, Watches int
}

// Wrap returns a Store that passes every call to inner until a fault is set.
func Wrap(inner infra.Store) *Store {
	return &Store{inner: inner, disconnected: make(chan struct{})}
}

var _ infra.Store = (*Store)(nil)

// SetDown(true) makes every call fail with KindUnavailable, without reaching
// the service, and ends open watches. SetDown(false) restores the connection.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down && !s.down {
		close(s.disconnected)
	}
	if !down && s.down {
		s.disconnected = make(chan struct{})
	}
	s.down = down
}

// LoseReplies makes the next n writes take effect and then return KindUnknown,
// as when the connection fails before the reply arrives.
func (s *Store) LoseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.repliesToLose = n
}

// LoseRequests makes the next n writes return KindUnknown without effect, as
// when the connection fails before the request arrives.
func (s *Store) LoseRequests(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requestsToLose = n
}

// BeforeWrite sets a function that is called before each write is passed on. A test
// can block in it to pause the client, or make another client write first. op
// is "txn", "grant" or "revoke"; txn is empty but for "txn".
func (s *Store) BeforeWrite(f func(op string, txn infra.Txn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.beforeWrite = f
}

// Calls returns the number of calls so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Get implements infra.Store.
func (s *Store) Get(ctx context.Context, key string) (infra.KV, infra.Revision, error) {
	if err := s.checkRead("get"); err != nil {
		return infra.KV{}, 0, err
	}
	return s.inner.Get(ctx, key)
}

// Range implements infra.Store.
func (s *Store) Range(ctx context.Context, prefix string) ([]infra.KV, infra.Revision, error) {
	if err := s.checkRead("range"); err != nil {
		return nil, 0, err
	}
	return s.inner.Range(ctx, prefix)
}

// Txn implements infra.Store.
func (s *Store) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	lose, err := s.checkWrite("txn", txn)
	if err != nil {
		return infra.TxnResult{}, err
	}
	res, err := s.inner.Txn(ctx, txn)
	if lose && err == nil {
		return infra.TxnResult{}, infra.Errorf("txn", infra.KindUnknown, "reply lost")
	}
	return res, err
}

// Grant implements infra.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	lose, err := s.checkWrite("grant", infra.Txn{})
	if err != nil {
		return 0, err
	}
	id, err := s.inner.Grant(ctx, ttl)
	if lose && err == nil {
		return 0, infra.Errorf("grant", infra.KindUnknown, "reply lost")
	}
	return id, err
}

// KeepAlive implements infra.Store.
func (s *Store) KeepAlive(ctx context.Context, lease infra.LeaseID) error {
	s.mu.Lock()
	s.calls.KeepAlives++
	down := s.down
	s.mu.Unlock()
	if down {
		return infra.Errorf("keepalive", infra.KindUnavailable, "service down")
	}
	return s.inner.KeepAlive(ctx, lease)
}

// Revoke implements infra.Store.
func (s *Store) Revoke(ctx context.Context, lease infra.LeaseID) error {
	lose, err := s.checkWrite("revoke", infra.Txn{})
	if err != nil {
		return err
	}
	err = s.inner.Revoke(ctx, lease)
	if lose && err == nil {
		return infra.Errorf("revoke", infra.KindUnknown, "reply lost")
	}
	return err
}

// Watch implements infra.Store. The watch ends with KindUnavailable when
// SetDown(true) is called.
func (s *Store) Watch(ctx context.Context, prefix string, from infra.Revision) (<-chan infra.WatchBatch, error) {
	s.mu.Lock()
	s.calls.Watches++
	down, disconnected := s.down, s.disconnected
	s.mu.Unlock()
	if down {
		return nil, infra.Errorf("watch", infra.KindUnavailable, "service down")
	}
	ctx, cancel := context.WithCancel(ctx)
	in, err := s.inner.Watch(ctx, prefix, from)
	if err != nil {
		cancel()
		return nil, err
	}
	out := make(chan infra.WatchBatch)
	go relay(ctx, cancel, disconnected, in, out)
	return out, nil
}

// relay copies batches from in to out until in is closed, ctx ends or
// disconnected is closed; in the last case it sends KindUnavailable first.
func relay(ctx context.Context, cancel func(), disconnected <-chan struct{}, in <-chan infra.WatchBatch, out chan<- infra.WatchBatch) {
	defer close(out)
	defer cancel()
	lost := infra.WatchBatch{Err: infra.Errorf("watch", infra.KindUnavailable, "service down")}
	for {
		batch, ok := infra.WatchBatch{}, false
		select {
		case <-disconnected:
			batch = lost
		case batch, ok = <-in:
			if !ok {
				return
			}
		}
		select {
		case out <- batch:
		case <-ctx.Done():
			return
		}
		if batch.Err != nil {
			return
		}
	}
}

// checkRead counts a read and returns the error of the fault that is set, if
// any.
func (s *Store) checkRead(op string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Reads++
	if s.down {
		return infra.Errorf(op, infra.KindUnavailable, "service down")
	}
	return nil
}

// checkWrite counts a write, calls beforeWrite, and returns the error of the
// fault that is set, if any. If loseReply is set, the caller must pass the write
// on and then report its reply as lost.
func (s *Store) checkWrite(op string, txn infra.Txn) (loseReply bool, err error) {
	s.mu.Lock()
	s.calls.Writes++
	before := s.beforeWrite
	s.mu.Unlock()
	if before != nil {
		before(op, txn)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false, infra.Errorf(op, infra.KindUnavailable, "service down")
	}
	if s.requestsToLose > 0 {
		s.requestsToLose--
		return false, infra.Errorf(op, infra.KindUnknown, "connection lost")
	}
	if s.repliesToLose > 0 {
		s.repliesToLose--
		return true, nil
	}
	return false, nil
}
