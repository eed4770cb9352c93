package node

import (
	"fmt"
	"io"
	"sync"
)

// Bounds of the log.
const (
	// logBuffer is how much may wait for a reader that does not read. A line
	// takes some 200 bytes; this holds the busiest second several times over.
	logBuffer = 256 << 10
)

// logWriter writes lines to a sink without ever blocking the writer: a reader
// that stalls costs lines, not requests. Lost lines are counted, and the count is
// written when the reader is back.
type logWriter struct {
	sink io.Writer

	mu      sync.Mutex
	buffer  []byte
	lost    int
	waiting *sync.Cond
	closed  bool
	done    chan struct{}
}

func newLogWriter(sink io.Writer) *logWriter {
	l := &logWriter{sink: sink, done: make(chan struct{})}
	l.waiting = sync.NewCond(&l.mu)
	go l.drain()
	return l
}

// Write implements io.Writer; it takes one whole line.
func (l *logWriter) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || len(l.buffer)+len(line) > logBuffer {
		l.lost++
		return len(line), nil
	}
	if len(l.buffer) == 0 {
		l.waiting.Signal()
	}
	l.buffer = append(l.buffer, line...)
	return len(line), nil
}

// drain writes what gathers, in as few system calls as it can.
func (l *logWriter) drain() {
	defer close(l.done)
	var out []byte
	for {
		l.mu.Lock()
		for len(l.buffer) == 0 && !l.closed {
			l.waiting.Wait()
		}
		if len(l.buffer) == 0 {
			l.mu.Unlock()
			return
		}
		out, l.buffer = l.buffer, out[:0]
		lost := l.lost
		l.lost = 0
		l.mu.Unlock()
		if lost > 0 {
			out = fmt.Appendf(out, "{\"level\":\"WARN\",\"msg\":\"log lines lost\",\"lines\":%d}\n", lost)
		}
		if _, err := l.sink.Write(out); err != nil {
			return // nobody reads any more
		}
	}
}

// Close writes what is left.
func (l *logWriter) Close() {
	l.mu.Lock()
	l.closed = true
	l.waiting.Signal()
	l.mu.Unlock()
	<-l.done
}
