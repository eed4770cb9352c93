package peer

import (
	"errors"
	"io"
	"sync/atomic"
)

// Stats counts what went over the peer connections since the start.
type Stats struct {
	frames  [2][kindEnd]atomic.Uint64
	bytes   [2][kindEnd]atomic.Uint64
	refused atomic.Uint64
}

const (
	out = iota
	in
)

// Traffic is the sum over all kinds of frame.
type Traffic struct {
	FramesOut, BytesOut uint64
	FramesIn, BytesIn   uint64
	// Refused counts connections closed for what came over them.
	Refused uint64
}

func (s *Stats) sent(k Kind, n int) { s.count(out, k, n) }

func (s *Stats) received(k Kind, n int) { s.count(in, k, n) }

func (s *Stats) count(way int, k Kind, n int) {
	s.frames[way][k].Add(1)
	s.bytes[way][k].Add(uint64(n))
}

func (s *Stats) dropped(err error) {
	for _, cause := range []error{errFrame, errVersion, errCluster, errSuperseded, errUnsolicited, io.ErrUnexpectedEOF} {
		if errors.Is(err, cause) {
			s.refused.Add(1)
			return
		}
	}
}

// Traffic returns the counts so far.
func (m *Mesh) Traffic() Traffic {
	var t Traffic
	for k := Kind(0); k < kindEnd; k++ {
		add := m.KindTraffic(k)
		t.FramesOut += add.FramesOut
		t.BytesOut += add.BytesOut
		t.FramesIn += add.FramesIn
		t.BytesIn += add.BytesIn
	}
	t.Refused = m.stats.refused.Load()
	return t
}

// KindTraffic returns the counts of one kind of frame.
func (m *Mesh) KindTraffic(k Kind) Traffic {
	return Traffic{
		FramesOut: m.stats.frames[out][k].Load(),
		BytesOut:  m.stats.bytes[out][k].Load(),
		FramesIn:  m.stats.frames[in][k].Load(),
		BytesIn:   m.stats.bytes[in][k].Load(),
	}
}
