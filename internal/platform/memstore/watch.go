package memstore

import (
	"context"
	"strings"
	"sync"

	"github.com/pumicestage/pumicestage/internal/platform"
)

// watcher queues batches without bound, so that a slow reader never holds up
// a writer.
type watcher struct {
	prefix string
	wake   chan struct{}

	mu    sync.Mutex
	queue []platform.WatchBatch
}

// Watch implements platform.Store.
func (s *Store) Watch(ctx context.Context, prefix string, from platform.Revision) (<-chan platform.WatchBatch, error) {
	if err := ctx.Err(); err != nil {
		return nil, platform.Errorf("watch", platform.KindUnavailable, "%w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if from <= s.compacted {
		return nil, platform.Errorf("watch", platform.KindCompacted, "revision %d, compacted at %d", from, s.compacted)
	}
	w := &watcher{prefix: prefix, wake: make(chan struct{}, 1)}
	for _, b := range s.history {
		if b.Revision >= from {
			w.push(b)
		}
	}
	s.watchers[w] = struct{}{}
	out := make(chan platform.WatchBatch)
	go s.serve(ctx, w, out)
	return out, nil
}

// Watches returns how many watches wait now.
func (s *Store) Watches() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.watchers)
}

func (s *Store) serve(ctx context.Context, w *watcher, out chan<- platform.WatchBatch) {
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

func (w *watcher) push(b platform.WatchBatch) {
	var events []platform.Event
	for _, e := range b.Events {
		if strings.HasPrefix(e.KV.Key, w.prefix) {
			events = append(events, e)
		}
	}
	if len(events) == 0 {
		return
	}
	w.mu.Lock()
	w.queue = append(w.queue, platform.WatchBatch{Events: events, Revision: b.Revision})
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *watcher) take() []platform.WatchBatch {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.queue
	w.queue = nil
	return q
}
