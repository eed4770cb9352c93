package dev

import (
	"context"
	"sync"
	"time"
)

// reverts counts how often the configuration generation of a watched entry VM
// decreased.
type reverts struct {
	mu    sync.Mutex
	n     int
	tasks sync.WaitGroup
}

func (r *reverts) watch(ctx context.Context, e *entryVM) {
	r.tasks.Go(func() {
		var highest uint64
		for ctx.Err() == nil {
			g := e.View().Load().Generation()
			if g < highest {
				r.mu.Lock()
				r.n++
				r.mu.Unlock()
			}
			highest = max(highest, g)
			time.Sleep(time.Millisecond)
		}
	})
}

func (r *reverts) wait() { r.tasks.Wait() }

func (r *reverts) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}
