package jobfront

import (
	"sync"
	"time"
)

// count is a number of waiting jobs, and when the owner reported it.
type count struct {
	n  int
	at time.Duration
}

// countCache holds the last reported number of waiting jobs of each queue, for use while the
// owner does not answer.
type countCache struct {
	mu sync.Mutex
	m  map[string]count
}

func (c *countCache) set(queue string, n int, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.m[queue] = count{n: n, at: now}
}

// get returns the queue's last count; false if there is none or it is older than maxCountAge.
func (c *countCache) get(queue string, now time.Duration) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, known := c.m[queue]
	return k.n, known && now <= k.at+maxCountAge
}
