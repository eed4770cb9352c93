package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// levelDecisions shows every decision that touches a request or changes what
// the process believes (verbosity 1).
const levelDecisions = slog.Level(-1)

// Bounds of the log.
const (
	// kindRate and kindBurst bound the lines of each kind. Some two hundred
	// starts a second are what an owner gives in a burst at today's sizes; a
	// fault that repeats a line thousands of times costs no more than that.
	kindRate  = 250 // a second
	kindBurst = 500
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

// boundedHandler lets so many lines of each kind (message) through and tells now
// and then how many were left out.
type boundedHandler struct {
	slog.Handler
	kinds *kinds
}

type kinds struct {
	mu   sync.Mutex
	each map[string]*kind
}

type kind struct {
	limit   *rate.Limiter
	leftOut int
}

func newBoundedHandler(h slog.Handler) *boundedHandler {
	return &boundedHandler{Handler: h, kinds: &kinds{each: make(map[string]*kind)}}
}

// Handle implements slog.Handler.
func (b *boundedHandler) Handle(ctx context.Context, r slog.Record) error {
	pass, leftOut := b.kinds.admit(r.Message, r.Time)
	if !pass {
		return nil
	}
	if leftOut > 0 {
		r.AddAttrs(slog.Int("lines left out before", leftOut))
	}
	return b.Handler.Handle(ctx, r)
}

func (k *kinds) admit(message string, now time.Time) (pass bool, leftOut int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	one := k.each[message]
	if one == nil {
		one = &kind{limit: rate.NewLimiter(kindRate, kindBurst)}
		k.each[message] = one
	}
	if !one.limit.AllowN(now, 1) {
		one.leftOut++
		return false, 0
	}
	leftOut, one.leftOut = one.leftOut, 0
	return true, leftOut
}

// WithAttrs implements slog.Handler.
func (b *boundedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &boundedHandler{Handler: b.Handler.WithAttrs(attrs), kinds: b.kinds}
}

// WithGroup implements slog.Handler.
func (b *boundedHandler) WithGroup(name string) slog.Handler {
	return &boundedHandler{Handler: b.Handler.WithGroup(name), kinds: b.kinds}
}
