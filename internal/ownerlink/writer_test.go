package ownerlink

import (
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// counted counts the writes to a connection, and tells of each.
type counted struct {
	net.Conn
	writes chan struct{}
}

func (c *counted) Write(b []byte) (int, error) {
	c.writes <- struct{}{}
	return c.Conn.Write(b)
}

// blocked returns a writer whose first message is being written to a peer that
// does not read yet.
func blocked(t *testing.T) (w *frameWriter, c *counted, far net.Conn) {
	near, far := net.Pipe()
	c = &counted{Conn: near, writes: make(chan struct{}, 10)}
	w = &frameWriter{conn: c}
	var first sync.WaitGroup
	first.Go(func() { w.write(&request{ID: 1}) }) // fails in the case that never reads
	t.Cleanup(func() { near.Close(); far.Close(); first.Wait() })
	<-c.writes
	return w, c, far
}

// A burst makes hundreds of calls at once; a write of its own for each would cost
// more than making the messages. What comes while one is written leaves together.
func TestMessagesOfABurstShareAWrite(t *testing.T) {
	w, c, far := blocked(t)
	const messages = 200
	for i := 2; i <= messages; i++ {
		assert.NilError(t, w.write(&request{ID: uint64(i)}))
	}
	for i := 1; i <= messages; i++ {
		var req request
		assert.NilError(t, readFrame(far, &req))
		assert.Equal(t, req.ID, uint64(i))
	}
	assert.Equal(t, len(c.writes), 1, "one write beside the first")
}

// A peer stops reading while orders go on: what waits for it must not grow until
// the process runs out of memory.
func TestAPeerThatDoesNotReadIsGivenUp(t *testing.T) {
	w, _, _ := blocked(t)
	big := &request{Name: string(make([]byte, maxFrame/2))}
	for range maxPending / (maxFrame / 2) {
		if err := w.write(big); err != nil {
			assert.ErrorIs(t, err, errBacklog)
			return
		}
	}
	t.Fatal("the backlog has no end")
}
