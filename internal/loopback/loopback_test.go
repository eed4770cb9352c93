package loopback

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

// A daemon that is killed and started again can't listen for the rest of a test: while it
// was down the kernel had given its port to somebody's outgoing connection. Here that
// connection is made on purpose, from the very port that was reserved.
func TestAnOutgoingConnectionDoesNotTakeAReservedPort(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer server.Close()

	reserved, err := net.ResolveTCPAddr("tcp", Reserve())
	assert.NilError(t, err)
	// No address is named for this end, as in every call to another process.
	outgoing := net.Dialer{LocalAddr: &net.TCPAddr{Port: reserved.Port}}
	conn, err := outgoing.Dial("tcp", server.Addr().String())
	assert.NilError(t, err)
	defer conn.Close()

	l, err := net.ListenTCP("tcp", reserved)
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
}

func TestNoAddressIsReservedTwice(t *testing.T) {
	given := make(map[string]bool)
	for range 100 {
		address := Reserve()
		assert.Assert(t, !given[address])
		given[address] = true
	}
}
