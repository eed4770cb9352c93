package ownerlink

import (
	"errors"
	"net"
	"runtime"
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/internal/guard"
)

const (
	// writeTimeout bounds a write to a peer that does not read.
	writeTimeout = 2 * time.Second
	// maxPending is how many bytes may wait for a peer that reads slowly: what the smallest
	// link carries in two seconds. Beyond it the connection is closed, and the outcome of the
	// calls on it is uncertain, as it would be at their timeouts.
	maxPending = 2 << 20
	// maxPendingJobs is how many of them may wait if a large job would be added: calls that
	// concern many jobs need the rest.
	maxPendingJobs = maxPending / 4
)

// errBusy is returned by write for a large job while others wait before it. Nothing was sent, and the
// connection is sound.
var errBusy = errors.New("ownerlink: large jobs wait already")

// errBacklog is returned by write once more than maxPending bytes would wait.
var errBacklog = errors.New("ownerlink: the peer does not read")

// frameWriter writes whole frames for several goroutines. It combines messages that are
// ready at the same time into one write: a burst makes a hundred calls in a millisecond, and
// a separate write for each would cost more than encoding it.
type frameWriter struct {
	conn net.Conn

	mu      sync.Mutex
	pending []byte
	spare   []byte // the buffer written last, for reuse
	writing bool
	err     error
}

// write sends the message, or adds it to the pending bytes for the goroutine that is
// writing. In the latter case a failure of the write closes the connection and is not
// returned.
func (w *frameWriter) write(msg any) error {
	raw, err := frame(msg)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if req, ok := msg.(*request); ok && req.Kind == kindSubmit && len(raw) > guard.SmallBytes && len(w.pending) > maxPendingJobs {
		return errBusy
	}
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
	w.runUnlocked(runtime.Gosched) // lets other goroutines add their messages first
	for len(w.pending) > 0 && w.err == nil {
		w.flushLocked()
	}
	w.writing = false
	return w.err
}

// flushLocked writes the pending bytes. It releases the mutex during the write.
func (w *frameWriter) flushLocked() {
	out := w.pending
	w.pending = w.spare[:0]
	var err error
	w.runUnlocked(func() { err = w.send(out) })
	w.spare = out
	if err != nil && w.err == nil {
		w.err = err
		w.conn.Close()
	}
}

// send writes the bytes to the connection, within writeTimeout.
func (w *frameWriter) send(out []byte) error {
	if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := w.conn.Write(out)
	return err
}

// runUnlocked calls f with the mutex released.
func (w *frameWriter) runUnlocked(f func()) {
	w.mu.Unlock()
	defer w.mu.Lock()
	f()
}
