package node

import (
	"context"
	"sync"
)

// sharedTask runs something while at least one duty of this entry VM needs it.
type sharedTask struct {
	// reset is called before each run, with no other run in progress.
	reset func()
	run   func(ctx context.Context)

	mu    sync.Mutex
	users int
	stop  context.CancelFunc
	done  chan struct{}
}

func (s *sharedTask) acquire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.users++
	if s.users > 1 {
		return
	}
	s.reset()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	s.stop, s.done = stop, done
	go func() {
		defer close(done)
		s.run(ctx)
	}()
}

// release returns once the run has ended, if nobody else needs it.
func (s *sharedTask) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.users--
	if s.users == 0 {
		s.stop()
		<-s.done
	}
}
