package node

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// stalledSink blocks every write until its gate is closed.
type stalledSink struct {
	mu   sync.Mutex
	out  bytes.Buffer
	gate chan struct{}
}

func (s *stalledSink) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// The log's sink stalls. Requests must not wait for it: lines beyond the buffer are lost, and
// their number is written once the sink accepts lines again.
func TestStalledSinkLosesLinesWithoutBlocking(t *testing.T) {
	sink := &stalledSink{gate: make(chan struct{})}
	l := newLogWriter(sink)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 4 * maxLogBuffer / len(line) {
		n, err := l.Write(line)
		assert.NilError(t, err)
		assert.Equal(t, n, len(line))
	}
	close(sink.gate)
	l.Close()
	sink.mu.Lock()
	defer sink.mu.Unlock()
	text := sink.out.String()
	assert.Assert(t, strings.Contains(text, "log lines lost"))
	assert.Assert(t, sink.out.Len() <= 3*maxLogBuffer)
}

// A fault that repeats one line thousands of times must not hide other lines.
func TestRepeatedMessagesAreLimitedAndCounted(t *testing.T) {
	var out bytes.Buffer
	h := newRateLimitedHandler(slog.NewJSONHandler(&out, nil))
	log := slog.New(h)
	for range 3 * messageBurst {
		log.Info("again")
	}
	log.Info("other")
	lines := strings.Count(out.String(), "\n")
	assert.Assert(t, lines >= messageBurst && lines < 2*messageBurst, "%d lines", lines)
	assert.Assert(t, strings.Contains(out.String(), `"msg":"other"`))
	assert.Assert(t, h.limits.byMessage["again"].suppressed > 0)
}
