package jobfront

import (
	"sync"
	"time"
)

type count struct {
	n  int
	at time.Duration
}

// counts holds the last answers on waiting jobs.
type counts struct {
	mu sync.Mutex
	m  map[string]count
}

func (c *counts) set(queue string, n int, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.m[queue] = count{n: n, at: now}
}

func (c *counts) get(queue string, now time.Duration) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, known := c.m[queue]
	return k.n, known && now <= k.at+waitingFor
}
