package entry

import "sync"

// admission counts the requests in flight and admits no more once it is closed.
// The count and the closed flag share one lock: with a separate counter and
// flag, a request could pass the flag just before it is set and be missed by
// whoever waits for the count to reach zero, and the daemon would exit while
// the request is still being served.
type admission struct {
	mu      sync.Mutex
	closed  bool
	count   int
	drained chan struct{} // closed when closed is set and count is zero
}

func newAdmission() *admission { return &admission{drained: make(chan struct{})} }

// admitResult is the result of admit.
type admitResult int8

const (
	admitted admitResult = iota
	rejectedClosed
	rejectedFull
)

// admit counts a request in, unless the admission is closed or limit requests
// are already in flight.
func (a *admission) admit(limit int) admitResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.closed:
		return rejectedClosed
	case a.count >= limit:
		return rejectedFull
	}
	a.count++
	return admitted
}

// extend adds to the count for background work of a request that is already
// admitted. It succeeds even when the admission is closed.
func (a *admission) extend() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
}

// release undoes one admit or extend.
func (a *admission) release() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count--
	a.signalDrained()
}

// close stops further admissions and returns a channel that is closed when
// nothing is in flight any more.
func (a *admission) close() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closed {
		a.closed = true
		a.signalDrained()
	}
	return a.drained
}

// signalDrained closes the drained channel once nothing is in flight and
// nothing can be admitted. The caller holds mu.
func (a *admission) signalDrained() {
	if a.closed && a.count == 0 {
		close(a.drained)
	}
}

// isClosed reports whether close was called.
func (a *admission) isClosed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.closed
}

// inFlight returns the count of admitted requests and their background work.
func (a *admission) inFlight() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.count
}
