package ownerlink

import (
	"errors"
	"net"
	"runtime"
	"sync"
	"time"
)

const (
	// writeTimeout ends a write to a peer that does not read.
	writeTimeout = 2 * time.Second
	// maxPending bounds what waits for a peer that reads slowly: two seconds of
	// the smallest link. Beyond it the connection is given up, and the calls on
	// it are uncertain, as they would be at their timeouts.
	maxPending = 2 << 20
)

var errBacklog = errors.New("ownerlink: the peer does not read")

// frameWriter writes whole frames of several goroutines. Messages that come
// together leave together: a burst makes a hundred calls in a millisecond, and
// each write of its own would cost more than making the message does.
type frameWriter struct {
	conn net.Conn

	mu      sync.Mutex
	pending []byte
	spare   []byte // the buffer written last
	writing bool
	err     error
}

// write sends the message, or leaves that to the goroutine that is writing. An
// error of a later write shows at the connection alone.
func (w *frameWriter) write(msg any) error {
	raw, err := frame(msg)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil && len(w.pending)+len(raw) > maxPending {
		w.err = errBacklog
	}
	if w.err != nil {
		return w.err
	}
	w.pending = append(w.pending, raw...)
	if w.writing {
		return nil
	}
	w.writing = true
	w.unlocked(runtime.Gosched) // others that have something to send add it
	for len(w.pending) > 0 && w.err == nil {
		w.flushLocked()
	}
	w.writing = false
	return w.err
}

func (w *frameWriter) flushLocked() {
	out := w.pending
	w.pending = w.spare[:0]
	var err error
	w.unlocked(func() { err = w.send(out) })
	w.spare = out
	if err != nil && w.err == nil {
		w.err = err
		w.conn.Close()
	}
}

func (w *frameWriter) send(out []byte) error {
	if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := w.conn.Write(out)
	return err
}

func (w *frameWriter) unlocked(f func()) {
	w.mu.Unlock()
	defer w.mu.Lock()
	f()
}
