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
	// withinZoneEvery is four digests a second: routing by in-flight counts
	// is no better than random once counts are older than a request takes,
	// and quick tabulations take some 100 ms.
	withinZoneEvery = 250 * time.Millisecond
	// acrossZonesEvery is one sum a second: other zones only need to know
	// who is alive and what is acknowledged.
	acrossZonesEvery = time.Second
	// helloTimeout bounds dialling and the hello; links are milliseconds long.
	helloTimeout = 2 * time.Second
	// writeTimeout ends a connection whose other end does not read.
	writeTimeout = 2 * time.Second
	// ackTimeout ends a connection whose other end acknowledges nothing: four
	// sums, or sixteen digests.
	ackTimeout = 4 * time.Second
	// hurriedGap is the shortest time between two digests where the second
	// tells of a new declaration in force.
	hurriedGap = 50 * time.Millisecond
	// atOnce lets several causes for a digest become one.
	atOnce = time.Millisecond
	// redialMin and redialMax bound the jittered wait between attempts: a
	// healed zone is heard within a second or two, and a dead address costs
	// at most an attempt in two seconds.
	redialMin = 250 * time.Millisecond
	redialMax = 2 * time.Second
	// linkQueue is how many frames wait for one peer. Views are few; a full
	// queue means that the peer does not read, and it asks again later.
	linkQueue = 16
	// loadBytes is what one TargetLoad takes in a frame, measured with names
	// of 14 bytes.
	loadBytes = 22
	// digestBaseBytes is a digest without loads, measured, with its header
	// and its acknowledgement.
	digestBaseBytes = 54
	// vitalsBytes is what vitals take beside their bits.
	vitalsBytes = 18
	// wantBytes and loanBytes are what a SlotWant and a SlotLoan take, with
	// names of 14 bytes.
	wantBytes = 28
	loanBytes = 50
)

// link is the connection this entry VM dials to one peer and sends on.
type link struct {
	mesh    *Mesh
	address string
	cancel  context.CancelFunc
	queue   chan []byte
	remote  entryCell
}

// entryCell holds the ID of the peer at the far end, empty while there is none.
type entryCell struct{ p atomic.Pointer[model.EntryID] }

func (c *entryCell) Load() model.EntryID {
	if id := c.p.Load(); id != nil {
		return *id
	}
	return ""
}

func (c *entryCell) Store(id model.EntryID) { c.p.Store(&id) }

func (l *link) enqueue(frame []byte) bool {
	select {
	case l.queue <- frame:
		return true
	default:
		return false
	}
}

// run dials until ctx ends.
func (l *link) run(ctx context.Context) {
	wait := redialMin
	for ctx.Err() == nil {
		started := time.Now()
		err := l.connectOnce(ctx)
		l.mesh.opts.Log.V(1).Info("peer connection ended", "address", l.address, "cause", err)
		if errors.Is(err, errSelf) {
			return
		}
		if time.Since(started) > redialMax {
			wait = redialMin
		}
		sleep.For(ctx, wait/2+rand.N(wait/2))
		wait = min(2*wait, redialMax)
	}
}

// connectOnce dials, says hello and sends until the connection fails.
func (l *link) connectOnce(ctx context.Context) error {
	conn, err := l.dial(ctx)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	far, err := l.greet(conn)
	if err != nil {
		return err
	}
	l.drainQueue()
	l.remote.Store(model.EntryID(far.Entry))
	defer l.remote.Store("")
	return l.send(conn, model.ZoneName(far.Zone) == l.mesh.opts.Self.Zone)
}

func (l *link) dial(ctx context.Context) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	conn, err := l.mesh.opts.Dial(ctx, l.address)
	if err != nil || l.mesh.opts.TLS == nil {
		return conn, err
	}
	config := l.mesh.opts.TLS
	if fresh := l.mesh.opts.ClientTLS; fresh != nil {
		config = fresh()
	}
	secure := tls.Client(conn, config)
	if err := secure.HandshakeContext(ctx); err != nil {
		conn.Close()
		return nil, err
	}
	return secure, nil
}

func (l *link) greet(conn net.Conn) (hello, error) {
	var far hello
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return far, err
	}
	if err := writeHello(conn, l.mesh.hello()); err != nil {
		return far, err
	}
	far, err := readHello(conn)
	if err != nil {
		return far, err
	}
	if err := l.mesh.checkHello(far); err != nil {
		return far, err
	}
	return far, conn.SetDeadline(time.Time{})
}

// drainQueue drops what waited for an earlier connection: views queued before
// a cut are older than what the peer asks for now.
func (l *link) drainQueue() {
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
	gone := make(chan error, 1)
	l.mesh.tasks.Go(func() { gone <- l.readAcks(conn) })
	pace := newDigestPace(sameZone)
	defer pace.timer.Stop()
	delta := newDelta(sameZone)
	for {
		v := l.mesh.opts.View
		changed := v.Changed()
		pace.hurry(v.Load().Generation())
		var frame []byte
		select {
		case <-changed:
			continue
		case <-pace.timer.C:
			d := delta.next(l.mesh.digest(), l.mesh.loadsPerDigest)
			pace.sent(d.Generation)
			var err error
			if frame, err = encodeFrame(KindDigest, d); err != nil {
				return err
			}
		case frame = <-l.queue:
		case err := <-gone:
			return err
		}
		if err := l.write(conn, frame); err != nil {
			return err
		}
	}
}

// readAcks returns when the far end is gone or has been silent for too long.
// Each digest is acknowledged. Without that a connection cut without notice
// takes writes for minutes, and after the heal TCP would try it again only
// after its long backoff: the peer would stay unheard while it can be reached.
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
			return errUnsolicited
		}
		l.mesh.stats.received(f.kind, f.size)
	}
}

// digestPace says when the next digest is due.
type digestPace struct {
	every      time.Duration
	timer      *time.Timer
	last       time.Time
	generation uint64 // told last
	hurried    bool
}

func newDigestPace(sameZone bool) *digestPace {
	every := acrossZonesEvery
	if sameZone {
		every = withinZoneEvery
	}
	return &digestPace{every: every, timer: time.NewTimer(atOnce)}
}

// hurry brings the next digest forward where the declaration in force has
// changed, so that whoever applied it need not wait for the next round.
func (p *digestPace) hurry(generation uint64) {
	if generation == p.generation || p.hurried {
		return
	}
	p.hurried = true
	p.timer.Reset(max(atOnce, hurriedGap-time.Since(p.last)))
}

func (p *digestPace) sent(generation uint64) {
	p.last = time.Now()
	p.generation = generation
	p.hurried = false
	p.timer.Reset(p.every)
}

func (l *link) write(conn net.Conn, frame []byte) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := conn.Write(frame)
	l.mesh.stats.sent(Kind(frame[4])&^compressed, len(frame))
	return err
}

// loadsPerDigest returns how many loads one digest within the zone may carry,
// so that all digests of this entry VM together stay within BytesPerSecond.
func (m *Mesh) loadsPerDigest(bareBytes int) int {
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
	return loadLimit(m.opts.BytesPerSecond, within, across, bareBytes)
}

// bareBytes is what a digest takes without its loads.
func bareBytes(d Digest) int {
	n := digestBaseBytes + wantBytes*len(d.Demands) + loanBytes*(len(d.Loans)+len(d.Borrowed))
	if len(d.Health.Bits) > 0 {
		n += vitalsBytes + len(d.Health.Bits)
	}
	return n
}

func loadLimit(bytesPerSecond, within, across, bareBytes int) int {
	digests := float64(max(1, within)) / withinZoneEvery.Seconds()
	bare := (digests + float64(across)/acrossZonesEvery.Seconds()) * float64(bareBytes)
	loads := (float64(bytesPerSecond) - bare) / loadBytes / digests
	return max(minLoadsPerDigest, int(loads))
}

// minLoadsPerDigest keeps digests useful however many peers share the bytes.
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
		return h, errUnsolicited
	}
	return h, decode(f.body, &h)
}
