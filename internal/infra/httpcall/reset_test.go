package httpcall

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A write that timed out during a partition could be delivered when the
// partition heals, seconds later, and take effect after the writes of a later
// owner. Its connection must therefore be reset, which discards unsent data, and
// not closed in an orderly way, which would still deliver it.
func TestTimedOutCallResetsItsConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	ended := make(chan error, 1)
	go func() {
		c, err := listener.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer c.Close()
		_, err = io.Copy(io.Discard, c)
		ended <- err
	}()
	client := New(Options{Timeout: 50 * time.Millisecond})
	_, sent, err := client.DoOnce(context.Background(), "http://"+listener.Addr().String(), Call{Op: "order", Method: http.MethodPost, Path: "/", Body: 1, Write: true})
	assert.Assert(t, err != nil && sent)
	err = <-ended
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "got %v", err)
}
