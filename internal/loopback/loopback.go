// Package loopback provides listen addresses for tests and local deployments that no
// other program on the machine takes between their reservation and their use.
package loopback

import (
	"net"
	"os"
	"strconv"
	"sync"
)

const (
	// minSecondByte is the least second byte of the addresses that IP returns; the greatest
	// is 63 more. This keeps them apart from 127.0.0.1, which other programs use for
	// loopback, also as the source address of their connections.
	minSecondByte = 64
	// pidLimit is above every process ID on Linux.
	pidLimit = 1 << 22
	// firstPort and lastPort bound the ports that Reserve returns. Each process goes through
	// them in order, on its own IP address.
	firstPort = 20000
	lastPort  = 60000
)

// IP returns the loopback address of this process, which is derived from the process ID,
// so that no two running processes share one.
//
// It avoids a race on 127.0.0.1: between the choice of a free port there and the start of
// the daemon that is to listen on it, the kernel may assign the port to an outgoing
// connection, and the daemon can't listen for as long as the connection lasts. Outgoing
// loopback connections have the source address 127.0.0.1, and so never occupy a port of
// the address that IP returns.
func IP() string {
	pid := os.Getpid() % pidLimit
	return net.IPv4(127, byte(minSecondByte+pid>>16), byte(pid>>8), byte(pid)).String()
}

var (
	mu       sync.Mutex
	nextPort = firstPort
)

// Reserve returns a host:port on IP's address on which nothing listens. No other process
// uses that address, and this process returns a port again only after all others.
func Reserve() string {
	mu.Lock()
	defer mu.Unlock()
	for {
		address := net.JoinHostPort(IP(), strconv.Itoa(nextPort))
		nextPort++
		if nextPort > lastPort {
			nextPort = firstPort
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // still in use since an earlier process with the same ID
		}
		l.Close()
		return address
	}
}
