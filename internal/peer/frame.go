package peer

import (
	"bytes"
	"compress/flate"
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

// compressFrom is the size from which a payload is compressed. Only views are
// as large; a declaration shrinks to about a tenth, and 5,000 changes of one a
// day would otherwise take more bytes than all else together.
const compressFrom = 4 << 10

// compressed is set in the kind of a frame whose payload is compressed.
const compressed Kind = 0x80

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
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(msg); err != nil {
		return nil, err
	}
	body := buf.Bytes()
	if len(body) > maxPayload(k) {
		return nil, fmt.Errorf("%w: kind %d has %d bytes, at most %d", errFrame, k, len(body), maxPayload(k))
	}
	if len(body) >= compressFrom {
		small, err := compress(body)
		if err != nil {
			return nil, err
		}
		body = small
		k |= compressed
	}
	frame := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	frame[4] = byte(k)
	return append(frame, body...), nil
}

func compress(body []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// expand undoes compress. It stops at the limit of the kind: a few bytes that
// expand without end would otherwise fill the memory.
func expand(k Kind, body []byte) ([]byte, error) {
	limit := int64(maxPayload(k))
	expanded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), limit+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errFrame, err)
	}
	if int64(len(expanded)) > limit {
		return nil, fmt.Errorf("%w: kind %d expands to over %d bytes", errFrame, k, limit)
	}
	return expanded, nil
}

// frame is one frame as it was read.
type frame struct {
	kind Kind
	body []byte
	size int // on the wire
}

// readFrame reads one frame. Any error means that the connection must go.
func readFrame(r io.Reader) (frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return frame{}, err
	}
	k := Kind(header[4]) &^ compressed
	size := int64(binary.BigEndian.Uint32(header[:]))
	if limit := maxPayload(k); size > int64(limit) {
		return frame{}, fmt.Errorf("%w: kind %d claims %d bytes, at most %d", errFrame, k, size, limit)
	}
	f := frame{kind: k, body: make([]byte, size), size: headerBytes + int(size)}
	if _, err := io.ReadFull(r, f.body); err != nil {
		return frame{}, err
	}
	if Kind(header[4])&compressed == 0 {
		return f, nil
	}
	var err error
	f.body, err = expand(k, f.body)
	return f, err
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
