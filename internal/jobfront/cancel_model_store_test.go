package jobfront_test

import (
	"context"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
)

// storeMode is how the store fails for one entry VM.
type storeMode int

const (
	storeOK           storeMode = iota
	storeLosesAnswers           // writes take effect and are not answered
	storeActsLate               // writes are not answered and take effect later, if their conditions still hold
	storeRefuses                // calls are refused
	storeSilent                 // calls are neither carried out nor answered
	storeSlow                   // answers come late
)

// storeTimeout is how long the store's client waits for an answer.
const storeTimeout = 1 * time.Second

// modelStore is an entry VM's connection to the store.
type modelStore struct {
	infra.Store
	*randomSource
	m  *cancelModel
	vm *entryVM

	// Guarded by cancelModel.mu.
	mode    storeMode
	percent int // of the calls that fail
}

func (s *modelStore) setMode(mode storeMode, percent int) {
	s.m.locked(func() {
		s.mode, s.percent = mode, percent
		s.vm.disturbedLocked(0)
	})
}

// draw returns what happens to the next call.
func (s *modelStore) draw() storeMode {
	s.m.mu.Lock()
	defer s.m.mu.Unlock()
	if s.m.healed || !s.chance(s.percent) {
		return storeOK
	}
	return s.mode
}

// unanswered waits until a call without an answer is given up, or its connection is reset.
func (s *modelStore) unanswered(ctx context.Context) {
	wait := storeTimeout
	if s.chance(30) {
		wait = s.between(1, 300)
	}
	sleep.For(ctx, wait)
	s.vm.thaw()
}

// Get implements infra.Store.
func (s *modelStore) Get(ctx context.Context, key string) (kv infra.KV, rev infra.Revision, err error) {
	err = s.read(ctx, "get", func() error {
		kv, rev, err = s.Store.Get(context.Background(), key)
		return err
	})
	return kv, rev, err
}

// Range implements infra.Store. It reads two pages, which are no snapshot; the revision is that of the
// first.
func (s *modelStore) Range(ctx context.Context, prefix string) (kvs []infra.KV, rev infra.Revision, err error) {
	err = s.read(ctx, "range", func() error {
		kvs, rev, err = s.Store.Range(context.Background(), prefix)
		kvs = kvs[:len(kvs)/2]
		return err
	})
	if err != nil {
		return nil, 0, err
	}
	last := ""
	if len(kvs) > 0 {
		last = kvs[len(kvs)-1].Key
	}
	err = s.read(ctx, "range", func() error {
		rest, _, err := s.Store.Range(context.Background(), prefix)
		for _, kv := range rest {
			if kv.Key > last {
				kvs = append(kvs, kv)
			}
		}
		return err
	})
	return kvs, rev, err
}

// read makes a call that reads. The answer may come late, or not at all.
func (s *modelStore) read(ctx context.Context, op string, call func() error) error {
	s.vm.thaw()
	if ctx.Err() != nil {
		return infra.Errorf(op, infra.KindUnavailable, "%w", ctx.Err())
	}
	mode := s.draw()
	switch mode {
	case storeRefuses:
		return infra.Errorf(op, infra.KindUnavailable, "refused")
	case storeSilent:
		s.unanswered(ctx)
		return infra.Errorf(op, infra.KindUnavailable, "no answer")
	}
	sleep.For(s.m.ctx, s.between(0, 4))
	err := call()
	wait := s.between(0, 8)
	if mode == storeSlow {
		wait = s.between(0, int(storeTimeout/time.Millisecond))
	}
	answered := sleep.For(ctx, wait)
	s.vm.thaw()
	if !answered {
		return infra.Errorf(op, infra.KindUnavailable, "no answer in time")
	}
	return err
}

// Txn implements infra.Store.
func (s *modelStore) Txn(ctx context.Context, t infra.Txn) (infra.TxnResult, error) {
	s.vm.thaw()
	if ctx.Err() != nil {
		return infra.TxnResult{}, infra.Errorf("txn", infra.KindUnavailable, "%w", ctx.Err())
	}
	lost := infra.Errorf("txn", infra.KindUnknown, "no answer")
	mode := s.draw()
	switch mode {
	case storeRefuses:
		return infra.TxnResult{}, infra.Errorf("txn", infra.KindUnavailable, "refused")
	case storeSilent:
		s.unanswered(ctx)
		return infra.TxnResult{}, lost
	case storeActsLate:
		s.m.tasks.Go(func() {
			sleep.For(s.m.ctx, s.between(0, int(maxLateness/time.Millisecond)))
			if res, err := s.Store.Txn(context.Background(), t); err == nil && res.Succeeded {
				s.m.count("transactions carried out late")
			}
		})
		s.unanswered(ctx)
		return infra.TxnResult{}, lost
	}
	sleep.For(s.m.ctx, s.between(0, 4))
	res, err := s.Store.Txn(context.Background(), t)
	wait := s.between(0, 8)
	switch mode {
	case storeLosesAnswers:
		s.m.count("transactions whose answer was lost")
		s.unanswered(ctx)
		return infra.TxnResult{}, lost
	case storeSlow:
		wait = s.between(0, 1200)
	}
	answered := wait < storeTimeout && sleep.For(ctx, wait)
	s.vm.thaw()
	if !answered {
		return infra.TxnResult{}, lost
	}
	return res, err
}

// Watch implements infra.Store. A watch that delivers while the connection fails is cut instead.
func (s *modelStore) Watch(ctx context.Context, prefix string, from infra.Revision) (<-chan infra.WatchBatch, error) {
	fails := func() bool {
		mode := s.draw()
		return mode == storeRefuses || mode == storeSilent
	}
	s.vm.thaw()
	if fails() {
		return nil, infra.Errorf("watch", infra.KindUnavailable, "refused")
	}
	ctx, cancel := context.WithCancel(ctx)
	in, err := s.Store.Watch(ctx, prefix, from)
	if err != nil {
		cancel()
		return nil, err
	}
	out := make(chan infra.WatchBatch)
	s.m.tasks.Go(func() {
		defer close(out)
		defer cancel()
		for b := range in {
			s.vm.thaw()
			delay := s.between(0, 5)
			if s.draw() == storeSlow {
				delay = s.between(0, 2000)
			}
			sleep.For(ctx, delay)
			if fails() {
				b = infra.WatchBatch{Err: infra.Errorf("watch", infra.KindUnavailable, "cut")}
			}
			select {
			case out <- b:
			case <-ctx.Done():
				return
			}
			if b.Err != nil {
				return
			}
		}
	})
	return out, nil
}
