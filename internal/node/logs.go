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

// decisionLevel includes verbosity 1: every decision that affects a request or changes the
// process's view of the fleet.
const decisionLevel = slog.Level(-1)

// Bounds of the log.
const (
	// messageRate and messageBurst bound the lines with the same message. An owner orders
	// some 200 starts a second in a burst, with a line each; a fault that repeats a line
	// thousands of times costs no more than that.
	messageRate  = 250 // lines a second
	messageBurst = 500
	// maxLogBuffer is the number of bytes kept while the sink blocks. A line takes some
	// 200 bytes, so that this holds several times the lines of the busiest second.
	maxLogBuffer = 256 << 10
)

// logWriter writes lines to a sink without ever blocking the writer: a sink that stalls
// loses log lines but delays no request. Lost lines are counted, and their number is
// written once the sink accepts lines again.
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

// drain writes buffered lines to the sink, all that are there with one call.
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
			return // the sink is closed
		}
	}
}

// Close writes the lines that are left, and returns once they are written.
func (l *logWriter) Close() {
	l.mu.Lock()
	l.closed = true
	l.waiting.Signal()
	l.mu.Unlock()
	<-l.done
}

// rateLimitedHandler limits the rate of lines with the same message. A line that passes
// after others were suppressed carries their number.
type rateLimitedHandler struct {
	slog.Handler
	limits *messageLimits
}

// messageLimits holds a rate limit for each log message (the text without attributes).
type messageLimits struct {
	mu        sync.Mutex
	byMessage map[string]*messageLimit
}

type messageLimit struct {
	limit      *rate.Limiter
	suppressed int // lines suppressed since the last one that passed
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

// admit reports whether a line with the message may be written now. If it may, suppressed is how
// many lines with this message were suppressed since the last one that was written; otherwise it
// is 0.
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
