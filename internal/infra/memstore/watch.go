package memstore

import (
	"context"
	"strings"
	"sync"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// watcher queues the batches of one watch. The queue is unbounded, so that a
// slow reader does not block writers.
type watcher struct {
	prefix string
	wake   chan struct{}

	mu    sync.Mutex
	queue []infra.WatchBatch
}

// Watch implements infra.Store.
func (s *Store) Watch(ctx context.Context, prefix string, from infra.Revision) (<-chan infra.WatchBatch, error) {
	if err := ctx.Err(); err != nil {
		return nil, infra.Errorf("watch", infra.KindUnavailable, "%w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if from <= s.compacted {
		return nil, infra.Errorf("watch", infra.KindCompacted, "revision %d, compacted at %d", from, s.compacted)
	}
	w := &watcher{prefix: prefix, wake: make(chan struct{}, 1)}
	for _, b := range s.history {
		if b.Revision >= from {
			w.push(b)
		}
	}
	s.watchers[w] = struct{}{}
	out := make(chan infra.WatchBatch)
	go s.deliver(ctx, w, out)
	return out, nil
}

// Watches returns the number of open watches.
func (s *Store) Watches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.watchers)
}

func (s *Store) deliver(ctx context.Context, w *watcher, out chan<- infra.WatchBatch) {
	defer close(out)
	defer func() {
		s.mu.Lock()
		delete(s.watchers, w)
		s.mu.Unlock()
	}()
	for {
		for _, b := range w.take() {
			select {
			case out <- b:
			case <-ctx.Done():
				return
			}
		}
		select {
		case <-w.wake:
		case <-ctx.Done():
			return
		}
	}
}

func (w *watcher) push(b infra.WatchBatch) {
	var events []infra.Event
	for _, e := range b.Events {
		if strings.HasPrefix(e.KV.Key, w.prefix) {
			events = append(events, e)
		}
	}
	if len(events) == 0 {
		return
	}
	w.mu.Lock()
	w.queue = append(w.queue, infra.WatchBatch{Events: events, Revision: b.Revision})
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *watcher) take() []infra.WatchBatch {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.queue
	w.queue = nil
	return q
}
