package entry

import "sync"

// gate counts what is inside and lets nothing more in once it is shut. Count
// and shutting are under one lock: with a counter and a flag apart, a request
// could pass the flag just before it is set and be missed by who waits for the
// count, and the daemon would end under it.
type gate struct {
	mu    sync.Mutex
	shut  bool
	n     int
	empty chan struct{} // closed when shut and nothing is inside
}

func newGate() *gate { return &gate{empty: make(chan struct{})} }

// entryVerdict is how an attempt to enter ended.
type entryVerdict int8

const (
	entered entryVerdict = iota
	isShut
	isFull
)

// enter counts one in, unless the gate is shut or has limit inside.
func (g *gate) enter(limit int) entryVerdict {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.shut:
		return isShut
	case g.n >= limit:
		return isFull
	}
	g.n++
	return entered
}

// hold counts one more in for what is inside already; shut or not.
func (g *gate) hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n++
}

// leave counts one out.
func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.n--
	g.tell()
}

// close shuts the gate and returns a channel that is closed when nothing is
// inside any more.
func (g *gate) close() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.shut {
		g.shut = true
		g.tell()
	}
	return g.empty
}

func (g *gate) tell() {
	if g.shut && g.n == 0 {
		close(g.empty)
	}
}

func (g *gate) isShut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut
}

func (g *gate) inside() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.n
}
