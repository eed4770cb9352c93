// Package faulty wraps the platform's interfaces with faults a test switches:
// what one client of the platform sees when the service or the way to it fails.
package faulty

import (
	"context"
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// Store is one client's way to a infra.Store.
type Store struct {
	inner infra.Store

	mu         sync.Mutex
	down       bool
	loseNext   int
	refuseNext int
	before     func(op string, txn infra.Txn)
	calls      Calls
	cut        chan struct{} // closed when the way goes down, to end watches
}

// Calls counts what went to the service.
type Calls struct {
	Reads, Writes, KeepAlives, Watches int
}

// Wrap returns a Store that passes everything on until a fault is switched on.
func Wrap(inner infra.Store) *Store {
	return &Store{inner: inner, cut: make(chan struct{})}
}

var _ infra.Store = (*Store)(nil)

// SetDown makes every call fail unsent and ends running watches.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if down && !s.down {
		close(s.cut)
	}
	if !down && s.down {
		s.cut = make(chan struct{})
	}
	s.down = down
}

// LoseReplies makes the next n writes take effect and then report
// KindUnknown, as when the connection dies before the reply.
func (s *Store) LoseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseNext = n
}

// LoseRequests makes the next n writes report KindUnknown without effect, as
// when the connection dies before the request arrives.
func (s *Store) LoseRequests(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseNext = n
}

// Before calls f before each write is passed on; a test blocks in it to pause
// the client, or lets a rival write first.
func (s *Store) Before(f func(op string, txn infra.Txn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.before = f
}

// Calls returns the counts so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Get implements infra.Store.
func (s *Store) Get(ctx context.Context, key string) (infra.KV, infra.Revision, error) {
	if err := s.read("get"); err != nil {
		return infra.KV{}, 0, err
	}
	return s.inner.Get(ctx, key)
}

// Range implements infra.Store.
func (s *Store) Range(ctx context.Context, prefix string) ([]infra.KV, infra.Revision, error) {
	if err := s.read("range"); err != nil {
		return nil, 0, err
	}
	return s.inner.Range(ctx, prefix)
}

// Txn implements infra.Store.
func (s *Store) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	lose, err := s.write("txn", txn)
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
	lose, err := s.write("grant", infra.Txn{})
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
	lose, err := s.write("revoke", infra.Txn{})
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
// the way goes down.
func (s *Store) Watch(ctx context.Context, prefix string, from infra.Revision) (<-chan infra.WatchBatch, error) {
	s.mu.Lock()
	s.calls.Watches++
	down, cut := s.down, s.cut
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
	go relay(ctx, cancel, cut, in, out)
	return out, nil
}

func relay(ctx context.Context, cancel func(), cut <-chan struct{}, in <-chan infra.WatchBatch, out chan<- infra.WatchBatch) {
	defer close(out)
	defer cancel()
	lost := infra.WatchBatch{Err: infra.Errorf("watch", infra.KindUnavailable, "service down")}
	for {
		batch, ok := infra.WatchBatch{}, false
		select {
		case <-cut:
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

func (s *Store) read(op string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls.Reads++
	if s.down {
		return infra.Errorf(op, infra.KindUnavailable, "service down")
	}
	return nil
}

func (s *Store) write(op string, txn infra.Txn) (lose bool, err error) {
	s.mu.Lock()
	s.calls.Writes++
	before := s.before
	s.mu.Unlock()
	if before != nil {
		before(op, txn)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false, infra.Errorf(op, infra.KindUnavailable, "service down")
	}
	if s.refuseNext > 0 {
		s.refuseNext--
		return false, infra.Errorf(op, infra.KindUnknown, "connection lost")
	}
	if s.loseNext > 0 {
		s.loseNext--
		return true, nil
	}
	return false, nil
}
