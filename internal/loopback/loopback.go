// Package loopback gives listeners of tests and local deployments addresses that nobody
// else on the machine takes between their choice and their use.
package loopback

import (
	"net"
	"os"
	"strconv"
	"sync"
)

const (
	// firstNet to firstNet+63 are the second bytes of the addresses given out. Programs
	// that mean loopback use 127.0.0.1, also as the source of their connections.
	firstNet = 64
	// maxPID is above every process ID of Linux.
	maxPID = 1 << 22
	// Ports given out. Each process counts through them on an address of its own.
	firstPort = 20000
	lastPort  = 60000
)

// IP returns the loopback address of this process, which no other living process has.
//
// A port chosen on 127.0.0.1 and released again, to be listened on by a daemon that is yet
// to start, is taken now and then: the kernel gives it to an outgoing connection, and the
// daemon can't start for as long as that lasts. Outgoing connections come from 127.0.0.1,
// so that none has an address of this one.
func IP() string {
	pid := os.Getpid() % maxPID
	return net.IPv4(127, byte(firstNet+pid>>16), byte(pid>>8), byte(pid)).String()
}

var (
	mu   sync.Mutex
	next = firstPort
)

// Reserve returns host:port on which nothing listens. No other call of this process returns
// it, and no other process listens there.
func Reserve() string {
	mu.Lock()
	defer mu.Unlock()
	for {
		address := net.JoinHostPort(IP(), strconv.Itoa(next))
		next++
		if next > lastPort {
			next = firstPort
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue // left by an ended process of the same ID
		}
		l.Close()
		return address
	}
}
