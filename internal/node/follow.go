package node

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
)

// watchRetryInterval separates tries to read what could not be read.
const watchRetryInterval = 150 * time.Millisecond

// source is a prefix of the store to be followed.
type source struct {
	prefix string
	// minInterval is the least time between two answers of the watch: what changes
	// often is then told together, as each answer is a priced call. 0: none. After an answer
	// that left something out the next is asked for at once: three thousand workers write
	// two thousand times a second, an answer holds five hundred, and at one each half
	// second a worker that leaves was known only after seconds.
	minInterval time.Duration
	replace     func([]infra.KV) // takes everything under the prefix over
	apply       func(infra.Event)
	// confirm is told how long ago, at most, the store held nothing later than what was read;
	// nil: nobody asks.
	confirm func(age time.Duration)
}

// followPrefix keeps the source's readers up to date until ctx ends.
func followPrefix(ctx context.Context, store infra.Store, log logr.Logger, s source) {
	prefix := s.prefix
	unavailable := false
	for ctx.Err() == nil {
		err := listAndWatch(ctx, store, s, func() {
			if unavailable {
				log.Info("store is back", "prefix", prefix)
				unavailable = false
			}
		})
		if ctx.Err() != nil {
			return
		}
		if !unavailable {
			log.Info("store lost", "prefix", prefix, "error", errText(err))
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

func listAndWatch(ctx context.Context, store infra.Store, s source, onRead func()) error {
	requestedAt := bootClock{}.Now()
	// Each page of the list has its time. All together would never do for a long list at a
	// slow store.
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
