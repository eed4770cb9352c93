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

// BenchmarkApplyInForce is the verb apply against a whole deployment on
// loopback: from reading the files until each of the 8 entry VMs is heard to
// have the generation in force.
func BenchmarkApplyInForce(b *testing.B) {
	url := serveExample(b)
	files := []string{exampleDir, variant(b, "services.ini", "timeout = 5s", "timeout = 6s")}
	took := hdrhistogram.New(1, 60_000_000, 3)
	turn := 0
	for b.Loop() {
		turn++
		var errs bytes.Buffer
		started := time.Now()
		c := newCLI(strings.NewReader(""), io.Discard, &errs)
		if status := run([]string{"--server", url, "apply", files[turn%2]}, c); status != exitDone {
			b.Fatal(errs.String())
		}
		if err := took.RecordValue(time.Since(started).Microseconds()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(took.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(took.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(took.Max())/1000, "max-ms")
}

var operatorAddress = regexp.MustCompile(`operators (http://\S+)`)

// serveExample starts a whole deployment and returns an operator address.
func serveExample(b *testing.B) string {
	ctx, cancel := context.WithCancel(context.Background())
	out := &firstAddress{seen: make(chan string, 1)}
	ended := make(chan error, 1)
	go func() { ended <- dev.Serve(ctx, dev.Options{Example: exampleDir, Out: out, Log: logr.Discard()}) }()
	b.Cleanup(func() {
		cancel()
		<-ended
	})
	select {
	case url := <-out.seen:
		time.Sleep(settle)
		return url
	case err := <-ended:
		ended <- err
		b.Fatal(fmt.Errorf("dev: %w", err))
	case <-time.After(time.Minute):
		b.Fatal("dev did not start")
	}
	return ""
}

// settle is the time that the entry VMs get to hear each other.
const settle = 3 * time.Second

// firstAddress passes on the first operator address that is written to it.
type firstAddress struct {
	mu   sync.Mutex
	text bytes.Buffer
	seen chan string
	told bool
}

// Write implements io.Writer.
func (s *firstAddress) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.text.Write(p)
	if m := operatorAddress.FindSubmatch(s.text.Bytes()); m != nil && !s.told {
		s.told = true
		s.seen <- string(m[1])
	}
	return len(p), nil
}
