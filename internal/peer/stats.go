package peer

import (
	"errors"
	"io"
	"sync/atomic"
)

// Stats counts the frames and bytes of all peer connections since the start.
type Stats struct {
	frames  [2][kindEnd]atomic.Uint64
	bytes   [2][kindEnd]atomic.Uint64
	refused atomic.Uint64
}

// Indexes of the directions in Stats.
const (
	outbound = iota
	inbound
)

// Traffic holds counts since the start, for one kind of frame or for all.
type Traffic struct {
	FramesOut, BytesOut uint64
	FramesIn, BytesIn   uint64
	// Refused counts connections closed because of what was received on them. It
	// is 0 in the counts of a single kind.
	Refused uint64
}

func (s *Stats) countSent(k Kind, n int) { s.count(outbound, k, n) }

func (s *Stats) countReceived(k Kind, n int) { s.count(inbound, k, n) }

func (s *Stats) count(direction int, k Kind, n int) {
	s.frames[direction][k].Add(1)
	s.bytes[direction][k].Add(uint64(n))
}

// countRefusal counts a closed inbound connection if err, the reason, is the
// peer's fault.
func (s *Stats) countRefusal(err error) {
	for _, cause := range []error{errMalformedFrame, errProtocolVersion, errCluster, errSuperseded, errUnexpectedFrame, io.ErrUnexpectedEOF} {
		if errors.Is(err, cause) {
			s.refused.Add(1)
			return
		}
	}
}

// Traffic returns the counts of all kinds of frame.
func (m *Mesh) Traffic() Traffic {
	var t Traffic
	for k := Kind(0); k < kindEnd; k++ {
		kind := m.KindTraffic(k)
		t.FramesOut += kind.FramesOut
		t.BytesOut += kind.BytesOut
		t.FramesIn += kind.FramesIn
		t.BytesIn += kind.BytesIn
	}
	t.Refused = m.stats.refused.Load()
	return t
}

// KindTraffic returns the counts of one kind of frame.
func (m *Mesh) KindTraffic(k Kind) Traffic {
	return Traffic{
		FramesOut: m.stats.frames[outbound][k].Load(),
		BytesOut:  m.stats.bytes[outbound][k].Load(),
		FramesIn:  m.stats.frames[inbound][k].Load(),
		BytesIn:   m.stats.bytes[inbound][k].Load(),
	}
}
