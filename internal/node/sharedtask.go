package node

import (
	"context"
	"sync"
)

// sharedTask runs a function in the background while at least one duty of this entry VM
// holds it.
type sharedTask struct {
	// reset is called before each run, while no run is in progress.
	reset func()
	run   func(ctx context.Context) // returns when ctx ends

	mu    sync.Mutex
	users int
	stop  context.CancelFunc
	done  chan struct{}
}

// acquire starts the run for the first holder.
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

// release stops the run if there is no other holder, and returns once it has ended.
func (s *sharedTask) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.users--
	if s.users == 0 {
		s.stop()
		<-s.done
	}
}
