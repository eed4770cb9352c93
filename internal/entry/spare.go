package entry

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// spareAge is how long a spare connection may be used. Servers close silent
// connections after 5 s and more; and of a VM that vanished without a word a
// connection looks alive, so that the window must be short.
const spareAge = 2 * time.Second

// spares keeps one unused connection ready for each target that was sent a
// request lately. Each connection still carries one request only; what is saved
// is the wait for the connection, a round trip and both sides' work for it.
type spares struct {
	dial dialFunc

	mu      sync.Mutex
	conns   map[string]*spare // by address
	dialing map[string]bool
	closed  bool
}

type spare struct {
	conn  net.Conn
	timer *time.Timer // closes it when it is too old
}

// dialFunc opens a connection.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// newSpares returns spares that connect by dial, over plain TCP if it is nil.
func newSpares(dial dialFunc, timeout time.Duration) *spares {
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	return &spares{
		dial:    dialWithin(timeout, dial),
		conns:   make(map[string]*spare),
		dialing: make(map[string]bool),
	}
}

// dialWithin bounds how long connecting may take.
func dialWithin(timeout time.Duration, dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// freshKey marks a context whose request must not use a spare connection.
type freshKey struct{}

// withFreshConnection makes a request connect anew. A connect that fails tells
// for certain that nothing was sent, where a spare connection to a VM that has
// just gone would leave the outcome unknown.
func withFreshConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, freshKey{}, true)
}

// DialContext returns a connection that no request has used.
func (s *spares) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if ctx.Value(freshKey{}) != nil {
		return s.dial(ctx, network, address)
	}
	conn := s.take(address)
	s.refill(network, address)
	if conn != nil {
		return conn, nil
	}
	return s.dial(ctx, network, address)
}

// take returns the spare connection if there is one that still stands.
func (s *spares) take(address string) net.Conn {
	s.mu.Lock()
	sp := s.conns[address]
	delete(s.conns, address)
	s.mu.Unlock()
	if sp == nil || !sp.timer.Stop() {
		return nil
	}
	if !untouched(sp.conn) {
		sp.conn.Close()
		return nil
	}
	return sp.conn
}

// refill connects ahead for the next request.
func (s *spares) refill(network, address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.dialing[address] || s.conns[address] != nil {
		return
	}
	s.dialing[address] = true
	go func() {
		conn, err := s.dial(context.Background(), network, address)
		s.put(address, conn, err)
	}()
}

func (s *spares) put(address string, conn net.Conn, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.dialing, address)
	if err != nil {
		return // the next request connects by itself and sees why
	}
	if s.closed {
		conn.Close()
		return
	}
	sp := &spare{conn: conn}
	sp.timer = time.AfterFunc(spareAge, func() { s.drop(address, sp) })
	s.conns[address] = sp
}

func (s *spares) drop(address string, sp *spare) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[address] == sp {
		delete(s.conns, address)
	}
	sp.conn.Close()
}

// close ends all spare connections, and keeps no further ones.
func (s *spares) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, sp := range s.conns {
		if sp.timer.Stop() {
			sp.conn.Close()
		}
	}
	clear(s.conns)
}

// untouched reports whether the other side has neither closed the connection
// nor sent anything on it.
func untouched(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errno == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
