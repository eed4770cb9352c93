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

// An order that got no answer in time takes effect seconds later, as a cut heals,
// after a later owner's. Its connection must not be closed in order, which would
// deliver what is still on the way, but reset, which drops it.
func TestACallThatTimedOutResetsItsConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	ended := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer c.Close()
		_, err = io.Copy(io.Discard, c)
		ended <- err
	}()
	client := New(Options{Timeout: 50 * time.Millisecond})
	_, sent, err := client.DoOnce(context.Background(), "http://"+l.Addr().String(), Call{Op: "order", Method: http.MethodPost, Path: "/", Body: 1, Write: true})
	assert.Assert(t, err != nil && sent)
	err = <-ended
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "got %v", err)
}
