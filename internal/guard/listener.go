package guard

import (
	"container/list"
	"context"
	"errors"
	"expvar"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"
)

const (
	// connBytes is the memory of a connection: its goroutine, its buffers, and what the kernel
	// receives for it.
	connBytes = 16<<10 + 2*receiveBuffer
	// receiveBuffer is the size in bytes of the kernel's receive buffer of a connection, which
	// counts towards the VM's memory. The kernel doubles it for its own overhead.
	receiveBuffer = 8 << 10
	// minWait is how long a connection is left to its caller, at least, also when others need
	// its place: a request that is sent at once arrives within it. Where connections are few,
	// as for probes of the same zone, it is minReservedWait.
	minWait         = 100 * time.Millisecond
	minReservedWait = 25 * time.Millisecond
	// placePollInterval separates checks whether a place has become free.
	placePollInterval = 5 * time.Millisecond
	// usualFields is the number of fields up to which a header is read at once. Of longer ones,
	// fieldsPerSecond and fieldsBurst fields are read on a Listener: parsing them costs processor time.
	usualFields     = 64
	fieldsPerSecond = 20_000
	fieldsBurst     = 20_000
	// aheadSlots is how many requests that were sent ahead (HTTP pipelining) are carried out at a time.
	aheadSlots = 1
	// discardPause is the pause after the rest of a body was read, relative to how long that took.
	discardPause = 3
	// aheadPause is the shortest pause between two of them, which is otherwise as long as the one
	// before took. It leaves most of the processor to others.
	aheadPause = 1 * time.Millisecond
)

// ListenerOptions configure a Listener.
type ListenerOptions struct {
	Name     string // in logs and metrics
	Limits   Limits
	Budget   *Budget
	MaxConns int // most connections that are open at a time
	// Reserved is set if the memory of MaxConns connections is reserved from the start, so that
	// connections of other listeners don't take it.
	Reserved bool
	Log      logr.Logger
}

// Listener accepts callers' connections, as many as there is room for. Beyond that it closes the
// connection whose caller has been waited for longest: first of those that never sent a whole request,
// then of all. A connection whose request is being carried out is never closed.
type Listener struct {
	net.Listener
	options ListenerOptions
	limits  Limits
	large   chan struct{} // holds an element for each large body that is being read
	discard chan struct{} // holds an element while the rest of a body that nobody wants is read
	ahead   chan struct{} // holds an element for each request sent ahead that is being carried out

	fieldRate *rate.Limiter // of fields in long headers

	refusals *expvar.Map // connections and requests that were refused, by reason

	mu      sync.Mutex
	conns   int
	reading []*conn    // connections with an element in large, in the order of their turns
	fresh   *list.List // connections whose callers are waited for and have sent no whole request yet
	kept    *list.List // the others whose callers are waited for
}

// NewListener returns a Listener that accepts from l.
func NewListener(l net.Listener, o ListenerOptions) *Listener {
	out := &Listener{
		Listener: l, options: o, limits: o.Limits, large: make(chan struct{}, largeBodies), discard: make(chan struct{}, 1), ahead: make(chan struct{}, aheadSlots),
		fieldRate: rate.NewLimiter(fieldsPerSecond, fieldsBurst),
		refusals:  new(expvar.Map).Init(), fresh: list.New(), kept: list.New(),
	}
	if o.Reserved && o.Budget != nil {
		o.Budget.add(Connections, int64(o.MaxConns)*connBytes)
	}
	return out
}

// Metrics returns the listener's figures for expvar.
func (l *Listener) Metrics() expvar.Var {
	return expvar.Func(func() any {
		refused := make(map[string]any)
		l.refusals.Do(func(kv expvar.KeyValue) { refused[kv.Key] = kv.Value.(*expvar.Int).Value() })
		l.mu.Lock()
		defer l.mu.Unlock()
		return map[string]any{"connections": l.conns, "refused": refused}
	})
}

// LimitReceiveBuffer is a net.ListenConfig.Control that bounds the receive buffers of the listener's
// connections.
func LimitReceiveBuffer(_, _ string, c syscall.RawConn) error {
	var failed error
	if err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	}); err != nil {
		return err
	}
	return failed
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, listener: l, hold: l.options.Budget.NewHold(Requests)}
	c.hold.makeRoom = func() bool { return l.closeHolding(c) }
	for !l.add(c) {
		if !l.closeLongestWaiting() {
			time.Sleep(placePollInterval)
		}
	}
	l.list(c)
	return c, nil
}

// add counts the connection if there is a place for it.
func (l *Listener) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns >= l.options.MaxConns || !l.reserve() {
		return false
	}
	l.conns++
	return true
}

// closeLongestWaiting makes a place by closing a connection, if one may be closed.
func (l *Listener) closeLongestWaiting() bool {
	return l.closeForOthers(func() *conn { return l.longestWaitingLocked(func(*conn) bool { return true }) })
}

// closeHolding closes the connection that has been waited for longest of those that hold memory, except
// c, if one may be closed.
func (l *Listener) closeHolding(c *conn) bool {
	return l.closeForOthers(func() *conn {
		return l.longestWaitingLocked(func(o *conn) bool { return o != c && o.hold.size() > 0 })
	})
}

// closeForOthers closes the connection that choose returns, if it isn't nil, and reports whether it did. The
// connection is forgotten under the lock, so that none of its requests can begin to be carried out.
func (l *Listener) closeForOthers(choose func() *conn) bool {
	l.mu.Lock()
	c := choose()
	if c != nil {
		l.removeLocked(c)
	}
	l.mu.Unlock()
	if c == nil {
		return false
	}
	l.count(closedForOthers)
	l.options.Log.Info("connection closed, as others need its place", "listener", l.options.Name, "caller", c.RemoteAddr().String())
	c.release() // an error means that it has ended by itself
	return true
}

// reserve reserves the memory of a connection.
func (l *Listener) reserve() bool {
	return l.options.Reserved || l.options.Budget == nil || l.options.Budget.reserve(Connections, 0, connBytes) == nil
}

// longestWaitingLocked returns the connection to close for others, of those for which match is true; nil
// if there is none.
func (l *Listener) longestWaitingLocked(match func(*conn) bool) *conn {
	least := minWait
	if l.options.Reserved {
		least = minReservedWait
	}
	for _, waiting := range []*list.List{l.fresh, l.kept} {
		for e := waiting.Front(); e != nil; e = e.Next() {
			c := e.Value.(*conn)
			if time.Since(c.since) < least {
				break
			}
			if match(c) {
				return c
			}
		}
	}
	return nil
}

// list records that the connection's caller is waited for.
func (l *Listener) list(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unlistLocked(c)
	if c.closed {
		return
	}
	c.since = time.Now()
	if c.served {
		c.place = l.kept.PushBack(c)
	} else {
		c.place = l.fresh.PushBack(c)
	}
}

// unlist records that a whole request of the connection is being carried out. It returns false if the
// connection is closed.
func (l *Listener) unlist(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unlistLocked(c)
	c.served = true
	return !c.closed
}

func (l *Listener) unlistLocked(c *conn) {
	if c.place == nil {
		return
	}
	if c.served {
		l.kept.Remove(c.place)
	} else {
		l.fresh.Remove(c.place)
	}
	c.place = nil
}

// remove forgets a connection that is closed. It returns false if it has done so before.
func (l *Listener) remove(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed {
		return false
	}
	l.removeLocked(c)
	return true
}

func (l *Listener) removeLocked(c *conn) {
	c.closed = true
	l.unlistLocked(c)
	l.conns--
	if !l.options.Reserved && l.options.Budget != nil {
		l.options.Budget.add(Connections, -connBytes)
	}
}

// Reasons of refusals in metrics.
const (
	closedForOthers = "connection closed for others"
	noHeaderMemory  = "no memory for a header"
	manyFields      = "too many header fields at present"
	bodyTooSlow     = "body too slow"
)

// refuseHeader answers a request whose header isn't read.
func (l *Listener) refuseHeader(c *conn, reason error) {
	if errors.Is(reason, errManyFields) {
		l.count(manyFields)
	} else {
		l.count(noHeaderMemory)
	}
	l.options.Log.Info("refused", "listener", l.options.Name, "reason", reason.Error(), "caller", c.RemoteAddr().String())
	c.mu.Lock()
	c.phase = lingering
	c.mu.Unlock()
	// An error means that the caller has gone.
	_, _ = io.WriteString(c, refusedHeader)
}

func (l *Listener) count(reason string) { l.refusals.Add(reason, 1) }

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// Apply makes srv serve requests under the listener's limits. It replaces srv.Handler.
func (l *Listener) Apply(srv *http.Server) {
	l.limits.Apply(srv)
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	srv.Handler = &handler{listener: l, next: srv.Handler}
}
