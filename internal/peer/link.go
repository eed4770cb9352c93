package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// withinZoneInterval is the time between digests to peers of the same zone.
	// Routing by in-flight counts is no better than random once the counts are
	// older than a request takes, and quick tabulations take some 100 ms.
	withinZoneInterval = 250 * time.Millisecond
	// acrossZonesInterval is the time between digests to peers of other zones,
	// which only need to know who is alive and what is acknowledged.
	acrossZonesInterval = time.Second
	// helloTimeout limits dialing with its TLS handshake, and the exchange of
	// hellos. Round trips take milliseconds.
	helloTimeout = 2 * time.Second
	// writeTimeout closes a connection if the peer does not read.
	writeTimeout = 2 * time.Second
	// ackTimeout closes a connection if the peer acknowledges nothing for as long
	// as it takes to send four digests across zones, or sixteen within a zone.
	ackTimeout = 4 * time.Second
	// minDigestGap is the minimum time from a digest to the next one if that is
	// sent early to announce a new declaration in force.
	minDigestGap = 50 * time.Millisecond
	// coalesceDelay is the delay before a digest that is due at once, so that
	// several reasons for it result in a single digest.
	coalesceDelay = time.Millisecond
	// minRedialWait and maxRedialWait limit the jittered wait between connection
	// attempts. Peers are in contact again within a second or two of the end of a
	// network partition, and a dead address costs about one attempt every two
	// seconds at most.
	minRedialWait = 250 * time.Millisecond
	maxRedialWait = 2 * time.Second
	// linkQueueLength is how many frames may wait for one peer. Views are rare; a
	// full queue means that the peer does not read, and it requests the view again
	// later.
	linkQueueLength = 16
	// loadBytes is the size of one TargetLoad in a frame, with names of 14 bytes.
	loadBytes = 22
	// digestBaseBytes is the size of a digest without loads, including its header
	// and its acknowledgement.
	digestBaseBytes = 54
	// healthBytes is the size of a HealthBitmap without its bits.
	healthBytes = 18
	// demandBytes and loanBytes are the sizes of a SlotDemand and of a SlotLoan or
	// SlotBorrow, with names of 14 bytes.
	demandBytes = 28
	loanBytes   = 50
)

// link is the connection that this entry VM dials to one peer and sends on.
type link struct {
	mesh    *Mesh
	address string
	cancel  context.CancelFunc
	queue   chan []byte
	remote  atomicEntryID
}

// atomicEntryID holds the ID of the connected peer, empty while there is no
// connection.
type atomicEntryID struct{ p atomic.Pointer[model.EntryID] }

func (a *atomicEntryID) Load() model.EntryID {
	if id := a.p.Load(); id != nil {
		return *id
	}
	return ""
}

func (a *atomicEntryID) Store(id model.EntryID) { a.p.Store(&id) }

// enqueue reports whether there was free space in the queue for the frame.
func (l *link) enqueue(frame []byte) bool {
	select {
	case l.queue <- frame:
		return true
	default:
		return false
	}
}

// run keeps the link connected until ctx ends. It returns early if the address
// turns out to be that of this entry VM.
func (l *link) run(ctx context.Context) {
	wait := minRedialWait
	for ctx.Err() == nil {
		started := time.Now()
		err := l.connectOnce(ctx)
		l.mesh.opts.Log.V(1).Info("outbound peer connection closed", "address", l.address, "cause", err)
		if errors.Is(err, errSelf) {
			return
		}
		if time.Since(started) > maxRedialWait {
			wait = minRedialWait
		}
		sleep.For(ctx, wait/2+rand.N(wait/2))
		wait = min(2*wait, maxRedialWait)
	}
}

// connectOnce dials, exchanges hellos and sends until the connection fails. It
// returns the reason for the failure.
func (l *link) connectOnce(ctx context.Context) error {
	conn, err := l.dial(ctx)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	peerHello, err := l.exchangeHellos(conn)
	if err != nil {
		return err
	}
	l.discardQueue()
	l.remote.Store(model.EntryID(peerHello.Entry))
	defer l.remote.Store("")
	return l.send(conn, model.ZoneName(peerHello.Zone) == l.mesh.opts.Self.Zone)
}

func (l *link) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	conn, err := l.mesh.opts.Dial(ctx, l.address)
	if err != nil || l.mesh.opts.TLS == nil {
		return conn, err
	}
	config := l.mesh.opts.TLS
	if current := l.mesh.opts.ClientTLS; current != nil {
		config = current()
	}
	tlsConn := tls.Client(conn, config)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return tlsConn, nil
}

// exchangeHellos sends this entry VM's hello, then reads and checks the peer's.
func (l *link) exchangeHellos(conn net.Conn) (hello, error) {
	var peerHello hello
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return peerHello, err
	}
	if err := writeHello(conn, l.mesh.hello()); err != nil {
		return peerHello, err
	}
	peerHello, err := readHello(conn)
	if err != nil {
		return peerHello, err
	}
	if err := l.mesh.checkHello(peerHello); err != nil {
		return peerHello, err
	}
	return peerHello, conn.SetDeadline(time.Time{})
}

// discardQueue drops frames queued for an earlier connection. Views queued before
// the connection was lost are older than what the peer requests now.
func (l *link) discardQueue() {
	for {
		select {
		case <-l.queue:
		default:
			return
		}
	}
}

// send writes digests and queued frames until the connection fails.
func (l *link) send(conn net.Conn, sameZone bool) error {
	readFailed := make(chan error, 1)
	l.mesh.goroutines.Go(func() { readFailed <- l.readAcks(conn) })
	schedule := newDigestSchedule(sameZone)
	defer schedule.timer.Stop()
	encoder := newDeltaEncoder(sameZone)
	for {
		v := l.mesh.opts.View
		changed := v.Changed()
		schedule.expedite(v.Load().Generation())
		var frame []byte
		select {
		case <-changed:
			continue
		case <-schedule.timer.C:
			d := encoder.next(l.mesh.digest(), l.mesh.loadsPerDigest)
			schedule.sent(d.Generation)
			var err error
			if frame, err = encodeFrame(KindDigest, d); err != nil {
				return err
			}
		case frame = <-l.queue:
		case err := <-readFailed:
			return err
		}
		if err := l.write(conn, frame); err != nil {
			return err
		}
	}
}

// readAcks reads acknowledgements until the connection fails or none has arrived
// for ackTimeout. Every digest is acknowledged. Otherwise, a connection that is
// cut without notice would accept writes for minutes, and once the network has
// recovered TCP would retransmit only after its long backoff: the peer could be
// reached, but would receive nothing.
func (l *link) readAcks(conn net.Conn) error {
	for {
		if err := conn.SetReadDeadline(time.Now().Add(ackTimeout)); err != nil {
			return err
		}
		f, err := readFrame(conn)
		if err != nil {
			return err
		}
		if f.kind != KindAck {
			return errUnexpectedFrame
		}
		l.mesh.stats.countReceived(f.kind, f.size)
	}
}

// digestSchedule determines when the next digest is due.
type digestSchedule struct {
	interval   time.Duration
	timer      *time.Timer
	lastSent   time.Time
	generation uint64 // of the declaration in force, as last sent
	expedited  bool
}

func newDigestSchedule(sameZone bool) *digestSchedule {
	interval := acrossZonesInterval
	if sameZone {
		interval = withinZoneInterval
	}
	return &digestSchedule{interval: interval, timer: time.NewTimer(coalesceDelay)}
}

// expedite brings the next digest forward if the declaration in force has
// changed, so that peers that wait for it to be applied learn of it before the
// next regular digest.
func (s *digestSchedule) expedite(generation uint64) {
	if generation == s.generation || s.expedited {
		return
	}
	s.expedited = true
	s.timer.Reset(max(coalesceDelay, minDigestGap-time.Since(s.lastSent)))
}

func (s *digestSchedule) sent(generation uint64) {
	s.lastSent = time.Now()
	s.generation = generation
	s.expedited = false
	s.timer.Reset(s.interval)
}

func (l *link) write(conn net.Conn, frame []byte) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := conn.Write(frame)
	l.mesh.stats.countSent(Kind(frame[4])&^compressedFlag, len(frame))
	return err
}

// loadsPerDigest returns the number of loads that one digest within the zone may
// carry, so that all digests of this entry VM together stay within
// BytesPerSecond. baseBytes is the size of the digest without loads.
func (m *Mesh) loadsPerDigest(baseBytes int) int {
	within, across := 0, 0
	for _, s := range m.table.list() {
		switch {
		case !s.Live:
		case s.Zone == m.opts.Self.Zone:
			within++
		default:
			across++
		}
	}
	return loadLimit(m.opts.BytesPerSecond, within, across, baseBytes)
}

// sizeWithoutLoads estimates the size in bytes of a digest without its loads.
func sizeWithoutLoads(d Digest) int {
	n := digestBaseBytes + demandBytes*len(d.Demands) + loanBytes*(len(d.Loans)+len(d.Borrowed))
	if len(d.Health.Bits) > 0 {
		n += healthBytes + len(d.Health.Bits)
	}
	return n
}

// loadLimit returns how many loads fit in one digest within the zone if digests
// go to the given numbers of peers within the zone and in other zones.
func loadLimit(bytesPerSecond, within, across, baseBytes int) int {
	digests := float64(max(1, within)) / withinZoneInterval.Seconds()
	base := (digests + float64(across)/acrossZonesInterval.Seconds()) * float64(baseBytes)
	loads := (float64(bytesPerSecond) - base) / loadBytes / digests
	return max(minLoadsPerDigest, int(loads))
}

// minLoadsPerDigest keeps digests useful if many peers share the bytes per
// second; digests may then exceed them.
const minLoadsPerDigest = 2

func writeHello(conn net.Conn, h hello) error {
	frame, err := encodeFrame(KindHello, h)
	if err != nil {
		return err
	}
	_, err = conn.Write(frame)
	return err
}

func readHello(conn net.Conn) (hello, error) {
	var h hello
	f, err := readFrame(conn)
	if err != nil {
		return h, err
	}
	if f.kind != KindHello {
		return h, errUnexpectedFrame
	}
	return h, decode(f.body, &h)
}
