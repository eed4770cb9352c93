package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/dev"
)

// BenchmarkApplyInForce runs the apply command against a whole deployment on
// loopback. It covers the time from reading the files until each of the 8 entry
// VMs is known to have the generation in force.
func BenchmarkApplyInForce(b *testing.B) {
	url := serveExample(b)
	files := []string{exampleDir, modifiedExample(b, "services.ini", "timeout = 5s", "timeout = 6s")}
	latency := hdrhistogram.New(1, 60_000_000, 3)
	iteration := 0
	for b.Loop() {
		iteration++
		var errs bytes.Buffer
		started := time.Now()
		c := newCLI(strings.NewReader(""), io.Discard, &errs)
		if status := run([]string{"--server", url, "apply", files[iteration%2]}, c); status != exitOK {
			b.Fatal(errs.String())
		}
		if err := latency.RecordValue(time.Since(started).Microseconds()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latency.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(latency.Max())/1000, "max-ms")
}

var operatorAddress = regexp.MustCompile(`operators (http://\S+)`)

// serveExample starts a complete deployment on loopback that uses the declaration
// in exampleDir, stops it at the end of the benchmark, and returns the URL of the
// operator API of an entry VM.
func serveExample(b *testing.B) string {
	ctx, cancel := context.WithCancel(context.Background())
	out := &addressWriter{found: make(chan string, 1)}
	ended := make(chan error, 1)
	go func() { ended <- dev.Serve(ctx, dev.Options{Example: exampleDir, Out: out, Log: logr.Discard()}) }()
	b.Cleanup(func() {
		cancel()
		<-ended
	})
	select {
	case url := <-out.found:
		time.Sleep(settleTime)
		return url
	case err := <-ended:
		ended <- err
		b.Fatal(fmt.Errorf("dev: %w", err))
	case <-time.After(time.Minute):
		b.Fatal("dev did not start")
	}
	return ""
}

// settleTime is how long the entry VMs get to exchange their states after the
// start.
const settleTime = 3 * time.Second

// addressWriter sends the first operator address written to it to found.
type addressWriter struct {
	mu    sync.Mutex
	text  bytes.Buffer
	found chan string
	sent  bool
}

// Write implements io.Writer.
func (s *addressWriter) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text.Write(p)
	if m := operatorAddress.FindSubmatch(s.text.Bytes()); m != nil && !s.sent {
		s.sent = true
		s.found <- string(m[1])
	}
	return len(p), nil
}
