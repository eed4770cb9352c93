package loopback

import (
	"errors"
	"net"
	"syscall"
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

	reserved, conn := dialFromReserved(t, server.Addr().String())
	defer conn.Close()

	l, err := net.ListenTCP("tcp", reserved)
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
}

// dialFromReserved connects from the port of a reserved address and 127.0.0.1, where calls to
// loopback come from. Another program may have that very end, as nothing keeps it from it.
func dialFromReserved(t *testing.T, server string) (*net.TCPAddr, net.Conn) {
	t.Helper()
	for {
		reserved, err := net.ResolveTCPAddr("tcp", Reserve())
		assert.NilError(t, err)
		outgoing := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1), Port: reserved.Port}}
		conn, err := outgoing.Dial("tcp", server)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		assert.NilError(t, err)
		return reserved, conn
	}
}

func TestNoAddressIsReservedTwice(t *testing.T) {
	given := make(map[string]bool)
	for range 100 {
		address := Reserve()
		assert.Assert(t, !given[address])
		given[address] = true
	}
}
