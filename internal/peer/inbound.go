package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"

	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// maxInbound bounds connections from peers: at the size to come some 60
	// entry VMs, each with an old and a new connection for a moment.
	maxInbound = 256
	// silentTimeout ends an inbound connection without frames; every peer
	// sends at least one digest a second.
	silentTimeout = 10 * time.Second
)

// accept takes connections in until the listener is closed.
func (m *Mesh) accept() error {
	for {
		conn, err := m.opts.Listener.Accept()
		if m.ctx.Err() != nil {
			if err == nil {
				conn.Close()
			}
			return nil
		}
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return err
			}
			sleep.For(m.ctx, redialMin)
			continue
		}
		m.takeIn(conn)
	}
}

func (m *Mesh) takeIn(conn net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended || len(m.inbound) >= maxInbound {
		conn.Close()
		return
	}
	m.inbound[conn] = struct{}{}
	m.tasks.Go(func() {
		err := m.serve(conn)
		m.stats.dropped(err)
		conn.Close()
		m.mu.Lock()
		delete(m.inbound, conn)
		m.mu.Unlock()
		m.opts.Log.V(1).Info("inbound peer connection ended", "from", conn.RemoteAddr(), "cause", err)
	})
}

// serve reads one connection. Whatever is wrong with a frame ends this
// connection and nothing else.
func (m *Mesh) serve(conn net.Conn) error {
	id := m.connID.Add(1)
	far, conn, err := m.welcome(conn, id)
	if err != nil {
		return err
	}
	from := model.EntryID(far.Entry)
	r := bufio.NewReader(conn)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(silentTimeout)); err != nil {
			return err
		}
		f, err := readFrame(r)
		if err != nil {
			return err
		}
		m.stats.received(f.kind, f.size)
		if err := m.dispatch(from, id, f); err != nil {
			return err
		}
		if f.kind == KindDigest {
			if err := m.acknowledge(conn); err != nil {
				return err
			}
		}
	}
}

func (m *Mesh) acknowledge(conn net.Conn) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	n, err := conn.Write(ackFrame)
	m.stats.sent(KindAck, n)
	return err
}

// ackFrame is a frame without a body.
var ackFrame = []byte{0, 0, 0, 0, byte(KindAck)}

// welcome does the TLS handshake and the hellos.
func (m *Mesh) welcome(conn net.Conn, id uint64) (hello, net.Conn, error) {
	var far hello
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return far, conn, err
	}
	if m.opts.TLS != nil {
		secure := tls.Server(conn, m.opts.TLS)
		ctx, cancel := context.WithTimeout(m.ctx, helloTimeout)
		defer cancel()
		if err := secure.HandshakeContext(ctx); err != nil {
			return far, conn, err
		}
		conn = secure
	}
	far, err := readHello(conn)
	if err != nil {
		return far, conn, err
	}
	// The own hello goes out first in any case: it tells a foreign version
	// or an own address listed as a seed what is wrong.
	if err := writeHello(conn, m.hello()); err != nil {
		return far, conn, err
	}
	if err := m.checkHello(far); err != nil {
		return far, conn, err
	}
	if !m.table.join(far, id) {
		return far, conn, errSuperseded
	}
	return far, conn, conn.SetDeadline(time.Time{})
}

func (m *Mesh) dispatch(from model.EntryID, conn uint64, f frame) error {
	if f.kind == KindDigest {
		var d Digest
		if err := decode(f.body, &d); err != nil {
			return err
		}
		if !m.table.apply(from, conn, d) {
			return errSuperseded
		}
		return nil
	}
	if m.handlers[f.kind] == nil {
		return errUnsolicited
	}
	m.handlers[f.kind](from, f.body)
	return nil
}
