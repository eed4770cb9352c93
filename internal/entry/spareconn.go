package entry

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"
)

// maxSpareAge is the maximum age of a spare connection that is used. Servers
// close idle connections after 5 s or more, and a connection to a VM that
// vanished without closing it still looks alive, so the window must be short.
const maxSpareAge = 2 * time.Second

// spareConns keeps one unused connection open to each target that was recently
// sent a request. Each connection still carries only one request; opening it in
// advance saves the request the round trip and the work of connecting.
type spareConns struct {
	dial dialFunc

	mu      sync.Mutex
	conns   map[string]*spareConn // by address
	dialing map[string]bool
	closed  bool
}

// spareConn is an open connection that no request has used.
type spareConn struct {
	conn  net.Conn
	timer *time.Timer // closes conn after maxSpareAge
}

// dialFunc opens a connection.
type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// newSpares returns spareConns that connect with dial, plain TCP if it is nil,
// within timeout.
func newSpares(dial dialFunc, timeout time.Duration) *spareConns {
	if dial == nil {
		dial = (&net.Dialer{KeepAlive: -1}).DialContext
	}
	return &spareConns{
		dial:    dialWithin(timeout, dial),
		conns:   make(map[string]*spareConn),
		dialing: make(map[string]bool),
	}
}

// dialWithin returns dial bounded by timeout.
func dialWithin(timeout time.Duration, dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return dial(ctx, network, address)
	}
}

// freshKey marks a context whose request must not use a spare connection.
type freshKey struct{}

// withFreshConnection makes a request open a new connection. If connecting fails,
// it is certain that nothing was sent, whereas a failure of a spare connection to
// a VM that has just vanished would leave the outcome unknown.
func withFreshConnection(ctx context.Context) context.Context {
	return context.WithValue(ctx, freshKey{}, true)
}

// DialContext returns a connection that no request has used: the spare one if it
// may be used, otherwise a new one.
func (s *spareConns) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
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

// take removes and returns the spare connection to address, nil if there is none
// or it is no longer usable.
func (s *spareConns) take(address string) net.Conn {
	s.mu.Lock()
	sp := s.conns[address]
	delete(s.conns, address)
	s.mu.Unlock()
	if sp == nil || !sp.timer.Stop() {
		return nil
	}
	if !isIdle(sp.conn) {
		sp.conn.Close()
		return nil
	}
	return sp.conn
}

// refill opens a spare connection in the background for the next request.
func (s *spareConns) refill(network, address string) {
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

// put stores a connection that refill opened.
func (s *spareConns) put(address string, conn net.Conn, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.dialing, address)
	if err != nil {
		return // the next request connects itself and reports the error
	}
	if s.closed {
		conn.Close()
		return
	}
	sp := &spareConn{conn: conn}
	sp.timer = time.AfterFunc(maxSpareAge, func() { s.drop(address, sp) })
	s.conns[address] = sp
}

// drop closes a spare connection that has reached its maximum age.
func (s *spareConns) drop(address string, sp *spareConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[address] == sp {
		delete(s.conns, address)
	}
	sp.conn.Close()
}

// close closes all spare connections and keeps no new ones.
func (s *spareConns) close() {
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

// isIdle reports whether the peer has neither closed the connection nor sent
// anything on it. It returns false if that cannot be determined.
func isIdle(conn net.Conn) bool {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = errno == syscall.EAGAIN
		return true
	})
	return err == nil && idle
}
