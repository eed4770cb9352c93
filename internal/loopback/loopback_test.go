package loopback

import (
	"errors"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

// A daemon that is killed and restarted must be able to listen on its port again. It could
// not if the kernel had assigned the port to an outgoing connection while the daemon was
// down. The test makes such a connection, from the number of the reserved port.
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

// dialFromReserved reserves an address and connects to server from the same port number on
// 127.0.0.1, the source address of loopback connections. It retries with another reserved
// port if a different program already uses that one on 127.0.0.1, which nothing prevents.
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

// Two daemons of one test must not be given the same address.
func TestNoAddressIsReservedTwice(t *testing.T) {
	given := make(map[string]bool)
	for range 100 {
		address := Reserve()
		assert.Assert(t, !given[address])
		given[address] = true
	}
}
