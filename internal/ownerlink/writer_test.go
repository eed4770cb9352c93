package ownerlink

import (
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// countingConn sends a value to writes at each write to the connection.
type countingConn struct {
	net.Conn
	writes chan struct{}
}

func (c *countingConn) Write(b []byte) (int, error) {
	c.writes <- struct{}{}
	return c.Conn.Write(b)
}

// newBlockedWriter returns a writer whose first message is being written to a peer that
// does not read yet.
func newBlockedWriter(t *testing.T) (w *frameWriter, c *countingConn, far net.Conn) {
	near, far := net.Pipe()
	c = &countingConn{Conn: near, writes: make(chan struct{}, 10)}
	w = &frameWriter{conn: c}
	var first sync.WaitGroup
	first.Go(func() { w.write(&request{ID: 1}) }) // fails in the test that never reads
	t.Cleanup(func() { near.Close(); far.Close(); first.Wait() })
	<-c.writes
	return w, c, far
}

// A burst makes hundreds of calls at once, and a separate write for each would cost more than
// encoding them. Messages that are ready while another is being written share the next write.
func TestMessagesOfABurstShareAWrite(t *testing.T) {
	w, c, far := newBlockedWriter(t)
	const messages = 200
	for i := 2; i <= messages; i++ {
		assert.NilError(t, w.write(&request{ID: uint64(i)}))
	}
	for i := 1; i <= messages; i++ {
		var req request
		assert.NilError(t, readFrame(far, &req))
		assert.Equal(t, req.ID, uint64(i))
	}
	assert.Equal(t, len(c.writes), 1, "one write after the first")
}

// A peer stops reading while calls to it continue. The bytes pending for it must be bounded, or
// the process would run out of memory.
func TestAPeerThatDoesNotReadIsGivenUp(t *testing.T) {
	w, _, _ := newBlockedWriter(t)
	big := &request{Name: string(make([]byte, maxFrame/2))}
	for range maxPending / (maxFrame / 2) {
		if err := w.write(big); err != nil {
			assert.ErrorIs(t, err, errBacklog)
			return
		}
	}
	t.Fatal("the pending bytes have no bound")
}
