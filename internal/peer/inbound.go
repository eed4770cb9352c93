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
	// maxInbound limits the connections from peers. Some 60 entry VMs are expected,
	// each of which may briefly have both an old and a new connection.
	maxInbound = 256
	// inboundIdleTimeout closes an inbound connection on which no frames arrive.
	// Every peer sends at least one digest a second.
	inboundIdleTimeout = 10 * time.Second
)

// accept accepts connections until the listener is closed. It returns nil if
// that is because the mesh shuts down.
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
			sleep.For(m.ctx, minRedialWait)
			continue
		}
		m.startInbound(conn)
	}
}

// startInbound serves a connection on its own goroutine, or closes it if there
// are too many connections or the mesh is shutting down.
func (m *Mesh) startInbound(conn net.Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed || len(m.inbound) >= maxInbound {
		conn.Close()
		return
	}
	m.inbound[conn] = struct{}{}
	m.goroutines.Go(func() {
		err := m.serve(conn)
		m.stats.countRefusal(err)
		conn.Close()
		m.mu.Lock()
		delete(m.inbound, conn)
		m.mu.Unlock()
		m.opts.Log.V(1).Info("inbound peer connection closed", "from", conn.RemoteAddr(), "cause", err)
	})
}

// serve reads frames from one connection until it fails. An invalid frame closes
// this connection and affects no other.
func (m *Mesh) serve(conn net.Conn) error {
	id := m.connID.Add(1)
	peerHello, conn, err := m.acceptHandshake(conn, id)
	if err != nil {
		return err
	}
	from := model.EntryID(peerHello.Entry)
	r := bufio.NewReader(conn)
	for {
		if err := conn.SetReadDeadline(time.Now().Add(inboundIdleTimeout)); err != nil {
			return err
		}
		f, err := readFrame(r)
		if err != nil {
			return err
		}
		m.stats.countReceived(f.kind, f.size)
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

// acknowledge acknowledges a digest to the peer that dialed conn.
func (m *Mesh) acknowledge(conn net.Conn) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	n, err := conn.Write(ackFrame)
	m.stats.countSent(KindAck, n)
	return err
}

// ackFrame is an acknowledgement: a header with an empty payload.
var ackFrame = []byte{0, 0, 0, 0, byte(KindAck)}

// acceptHandshake performs the TLS handshake, if TLS is configured, exchanges
// hellos and registers the connection as the peer's. It returns the connection to
// use from then on.
func (m *Mesh) acceptHandshake(conn net.Conn, id uint64) (hello, net.Conn, error) {
	var peerHello hello
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return peerHello, conn, err
	}
	if m.opts.TLS != nil {
		tlsConn := tls.Server(conn, m.opts.TLS)
		ctx, cancel := context.WithTimeout(m.ctx, helloTimeout)
		defer cancel()
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			return peerHello, conn, err
		}
		conn = tlsConn
	}
	peerHello, err := readHello(conn)
	if err != nil {
		return peerHello, conn, err
	}
	// This hello is sent before the other one is checked, so that a peer with
	// another protocol version, or this entry VM if its own address is among its
	// seeds, can tell why the connection is closed.
	if err := writeHello(conn, m.hello()); err != nil {
		return peerHello, conn, err
	}
	if err := m.checkHello(peerHello); err != nil {
		return peerHello, conn, err
	}
	if !m.table.join(peerHello, id) {
		return peerHello, conn, errSuperseded
	}
	return peerHello, conn, conn.SetDeadline(time.Time{})
}

// dispatch applies a digest or passes a frame of another kind to its handler.
// Any error means that the connection must be closed.
func (m *Mesh) dispatch(from model.EntryID, connID uint64, f frame) error {
	if f.kind == KindDigest {
		var d Digest
		if err := decode(f.body, &d); err != nil {
			return err
		}
		if !m.table.apply(from, connID, d) {
			return errSuperseded
		}
		return nil
	}
	if m.handlers[f.kind] == nil {
		return errUnexpectedFrame
	}
	m.handlers[f.kind](from, f.body)
	return nil
}
