package node

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
)

// watchRetryInterval separates attempts to list and watch a prefix after a failure.
const watchRetryInterval = 150 * time.Millisecond

// source is a prefix of the store to follow, and the callbacks for its contents.
type source struct {
	prefix string
	// minInterval is the minimum time between two answers of the watch; 0: none. Each
	// answer is a call that costs, so frequent changes are better batched. After an answer
	// that left changes out, the next is requested at once: 3000 workers write 2000 times
	// a second and an answer holds 500 changes, so that at one answer each half second a
	// worker that drains was known only seconds later.
	minInterval time.Duration
	replace     func([]infra.KV)  // receives all keys under the prefix after each list
	apply       func(infra.Event) // receives each change after the list
	// confirm receives the greatest possible age of what was read: so long ago, the store
	// held nothing newer. May be nil.
	confirm func(age time.Duration)
}

// followPrefix lists and watches the source's prefix until ctx ends, and starts again
// whenever the list or the watch fails.
func followPrefix(ctx context.Context, store infra.Store, log logr.Logger, s source) {
	prefix := s.prefix
	unavailable := false
	for ctx.Err() == nil {
		err := listAndWatch(ctx, store, s, func() {
			if unavailable {
				log.Info("store is reachable again", "prefix", prefix)
				unavailable = false
			}
		})
		if ctx.Err() != nil {
			return
		}
		if !unavailable {
			log.Info("store watch failed; retrying", "prefix", prefix, "error", errText(err))
			unavailable = true
		}
		sleep.For(ctx, watchRetryInterval)
	}
}

func errText(err error) string {
	if err == nil {
		return "watch ended"
	}
	return err.Error()
}

func (s *source) reportAge(age time.Duration) {
	if s.confirm != nil {
		s.confirm(age)
	}
}

// listAndWatch reads the prefix and then applies its changes until the watch ends. onRead is
// called once the list was read. The error is nil if the watch ended without one.
func listAndWatch(ctx context.Context, store infra.Store, s source, onRead func()) error {
	requestedAt := bootClock{}.Now()
	// Each page of the list has a timeout of its own. One timeout for all of them would
	// never suffice for a long list from a slow store.
	kvs, rev, err := store.Range(ctx, s.prefix)
	if err != nil {
		return trace.Wrap(err)
	}
	onRead()
	s.replace(kvs)
	s.reportAge(bootClock{}.Now() - requestedAt)
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	batches, err := store.Watch(watchCtx, s.prefix, rev+1)
	if err != nil {
		return trace.Wrap(err)
	}
	for b := range batches {
		if b.Err != nil {
			return trace.Wrap(b.Err)
		}
		for _, ev := range b.Events {
			s.apply(ev)
		}
		if b.Age > 0 {
			s.reportAge(b.Age)
		}
		if s.minInterval > 0 && !b.More && len(b.Events) > 0 {
			sleep.For(ctx, s.minInterval)
		}
	}
	return nil
}
