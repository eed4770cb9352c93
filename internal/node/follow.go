package node

import (
	"context"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
)

// followPause separates tries to read what could not be read.
const followPause = 150 * time.Millisecond

// source is a prefix of the store to be followed.
type source struct {
	prefix string
	// pace is the least time between two answers of the watch: what changes
	// often is then told together, as each answer is a priced call. 0: none. After an answer
	// that left something out the next is asked for at once: three thousand workers write
	// two thousand times a second, an answer holds five hundred, and at one each half
	// second a worker that leaves was known only after seconds.
	pace time.Duration
	all  func([]infra.KV) // takes everything under the prefix over
	each func(infra.Event)
	// current is told how long ago, at most, the store held nothing later than what was read;
	// nil: nobody asks.
	current func(age time.Duration)
}

// follow keeps the source's readers up to date until ctx ends.
func follow(ctx context.Context, store infra.Store, log logr.Logger, s source) {
	prefix := s.prefix
	lost := false
	for ctx.Err() == nil {
		err := followOnce(ctx, store, s, func() {
			if lost {
				log.Info("store is back", "prefix", prefix)
				lost = false
			}
		})
		if ctx.Err() != nil {
			return
		}
		if !lost {
			log.Info("store lost", "prefix", prefix, "error", errText(err))
			lost = true
		}
		sleep.For(ctx, followPause)
	}
}

func errText(err error) string {
	if err == nil {
		return "watch ended"
	}
	return err.Error()
}

func (s *source) tell(age time.Duration) {
	if s.current != nil {
		s.current(age)
	}
}

func followOnce(ctx context.Context, store infra.Store, s source, readable func()) error {
	asked := bootClock{}.Now()
	// Each page of the list has its time. All together would never do for a long list at a
	// slow store.
	kvs, rev, err := store.Range(ctx, s.prefix)
	if err != nil {
		return trace.Wrap(err)
	}
	readable()
	s.all(kvs)
	s.tell(bootClock{}.Now() - asked)
	watch, cancel := context.WithCancel(ctx)
	defer cancel()
	batches, err := store.Watch(watch, s.prefix, rev+1)
	if err != nil {
		return trace.Wrap(err)
	}
	for b := range batches {
		if b.Err != nil {
			return trace.Wrap(b.Err)
		}
		for _, ev := range b.Events {
			s.each(ev)
		}
		if b.Age > 0 {
			s.tell(b.Age)
		}
		if s.pace > 0 && !b.More && len(b.Events) > 0 {
			sleep.For(ctx, s.pace)
		}
	}
	return nil
}
