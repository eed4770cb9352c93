package peer

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// Kind says what a frame carries.
type Kind uint8

// The kinds of frame. A frame of a kind unknown to the receiver closes the
// connection: the protocol version in the hello should have kept it away.
const (
	KindHello Kind = iota + 1
	KindDigest
	KindViewPoll
	KindView
	KindAck
	kindEnd
)

// ProtocolVersion is of the frames and their contents. Entry VMs of another
// version are turned away at the hello.
const ProtocolVersion = 1

// Largest payload of each kind. A frame that claims more is not read: a few
// broken bytes in a length would otherwise make the receiver set aside
// gigabytes. A view carries a declaration (at most 1 MiB in the store) and the
// records of all VMs (measured: about 250 bytes each).
const (
	maxHelloBytes  = 4 << 10
	maxDigestBytes = 256 << 10
	maxPollBytes   = 1 << 10
	maxViewBytes   = 8 << 20
	maxAckBytes    = 1
)

// headerBytes is the length (4, big endian) and the kind (1).
const headerBytes = 5

// errFrame is the cause of closing a connection over what came from it.
var errFrame = errors.New("peer: malformed frame")

func maxPayload(k Kind) int {
	switch k {
	case KindHello:
		return maxHelloBytes
	case KindDigest:
		return maxDigestBytes
	case KindViewPoll:
		return maxPollBytes
	case KindView:
		return maxViewBytes
	case KindAck:
		return maxAckBytes
	}
	return -1
}

// encodeFrame returns the whole frame, ready to write.
func encodeFrame(k Kind, msg any) ([]byte, error) {
	body, err := msgpack.Marshal(msg)
	if err != nil {
		return nil, err
	}
	if len(body) > maxPayload(k) {
		return nil, fmt.Errorf("%w: kind %d has %d bytes, at most %d", errFrame, k, len(body), maxPayload(k))
	}
	frame := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	frame[4] = byte(k)
	return append(frame, body...), nil
}

// readFrame reads one frame. Any error means that the connection must go.
func readFrame(r io.Reader) (Kind, []byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, nil, err
	}
	k := Kind(header[4])
	size := int64(binary.BigEndian.Uint32(header[:]))
	if limit := maxPayload(k); size > int64(limit) {
		return 0, nil, fmt.Errorf("%w: kind %d claims %d bytes, at most %d", errFrame, k, size, limit)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return 0, nil, err
	}
	return k, body, nil
}

func decode(body []byte, msg any) error {
	if err := msgpack.Unmarshal(body, msg); err != nil {
		return fmt.Errorf("%w: %v", errFrame, err)
	}
	return nil
}

// hello opens a connection, in both directions.
type hello struct {
	Version     uint16 `msgpack:"v"`
	Cluster     string `msgpack:"c"`
	Entry       string `msgpack:"i"`
	Zone        string `msgpack:"z"`
	Peer        string `msgpack:"p"`
	Incarnation uint64 `msgpack:"n"`
}
