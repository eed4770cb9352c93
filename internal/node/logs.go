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

// decisionLevel shows every decision that touches a request or changes what
// the process believes (verbosity 1).
const decisionLevel = slog.Level(-1)

// Bounds of the log.
const (
	// messageRate and kindBurst bound the lines of each kind. Some two hundred
	// starts a second are what an owner gives in a burst at today's sizes; a
	// fault that repeats a line thousands of times costs no more than that.
	messageRate  = 250 // a second
	messageBurst = 500
	// maxLogBuffer is how much may wait for a reader that does not read. A line
	// takes some 200 bytes; this holds the busiest second several times over.
	maxLogBuffer = 256 << 10
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
	if l.closed || len(l.buffer)+len(line) > maxLogBuffer {
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

// rateLimitedHandler lets so many lines of each kind (message) through and tells now
// and then how many were left out.
type rateLimitedHandler struct {
	slog.Handler
	limits *messageLimits
}

type messageLimits struct {
	mu        sync.Mutex
	byMessage map[string]*messageLimit
}

type messageLimit struct {
	limit      *rate.Limiter
	suppressed int
}

func newRateLimitedHandler(h slog.Handler) *rateLimitedHandler {
	return &rateLimitedHandler{Handler: h, limits: &messageLimits{byMessage: make(map[string]*messageLimit)}}
}

// Handle implements slog.Handler.
func (b *rateLimitedHandler) Handle(ctx context.Context, r slog.Record) error {
	pass, suppressed := b.limits.admit(r.Message, r.Time)
	if !pass {
		return nil
	}
	if suppressed > 0 {
		r.AddAttrs(slog.Int("lines left out before", suppressed))
	}
	return b.Handler.Handle(ctx, r)
}

func (l *messageLimits) admit(message string, now time.Time) (pass bool, suppressed int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := l.byMessage[message]
	if m == nil {
		m = &messageLimit{limit: rate.NewLimiter(messageRate, messageBurst)}
		l.byMessage[message] = m
	}
	if !m.limit.AllowN(now, 1) {
		m.suppressed++
		return false, 0
	}
	suppressed, m.suppressed = m.suppressed, 0
	return true, suppressed
}

// WithAttrs implements slog.Handler.
func (b *rateLimitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &rateLimitedHandler{Handler: b.Handler.WithAttrs(attrs), limits: b.limits}
}

// WithGroup implements slog.Handler.
func (b *rateLimitedHandler) WithGroup(name string) slog.Handler {
	return &rateLimitedHandler{Handler: b.Handler.WithGroup(name), limits: b.limits}
}
