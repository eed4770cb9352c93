package node

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// stalled is a reader that reads nothing until it is told to.
type stalled struct {
	mu   sync.Mutex
	out  bytes.Buffer
	gate chan struct{}
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(p)
}

// Whoever reads the log stalls. Callers must not wait for it: lines are lost
// beyond the buffer, and their number is told when the reader is back.
func TestAStalledReaderCostsLinesAndNothingElse(t *testing.T) {
	sink := &stalled{gate: make(chan struct{})}
	l := newLogWriter(sink)
	line := []byte(strings.Repeat("x", 1023) + "\n")
	for range 4 * logBuffer / len(line) {
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
	assert.Assert(t, sink.out.Len() <= 3*logBuffer)
}

// One fault repeats one line thousands of times and must not hide the others.
func TestLinesOfOneKindAreBoundedAndCounted(t *testing.T) {
	var out bytes.Buffer
	h := newBoundedHandler(slog.NewJSONHandler(&out, nil))
	log := slog.New(h)
	for range 3 * kindBurst {
		log.Info("again")
	}
	log.Info("other")
	lines := strings.Count(out.String(), "\n")
	assert.Assert(t, lines >= kindBurst && lines < 2*kindBurst, "%d lines", lines)
	assert.Assert(t, strings.Contains(out.String(), `"msg":"other"`))
	assert.Assert(t, h.kinds.each["again"].leftOut > 0)
}
