package node

import (
	"context"
	"sync"
)

// shared runs something while at least one duty of this entry VM needs it.
type shared struct {
	// begin is called before each run, with no other run in progress.
	begin func()
	run   func(ctx context.Context)

	mu    sync.Mutex
	users int
	stop  context.CancelFunc
	done  chan struct{}
}

func (s *shared) hold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.users++
	if s.users > 1 {
		return
	}
	s.begin()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	s.stop, s.done = stop, done
	go func() {
		defer close(done)
		s.run(ctx)
	}()
}

// release returns once the run has ended, if nobody else needs it.
func (s *shared) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.users--
	if s.users == 0 {
		s.stop()
		<-s.done
	}
}
