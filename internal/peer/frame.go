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

// Kind identifies the type of a frame's payload.
type Kind uint8

// The kinds of frame. A frame of unknown kind closes the connection, because a
// peer that sends it should have been rejected by the protocol version in its
// hello.
const (
	KindHello Kind = iota + 1
	KindDigest
	KindViewPoll
	KindView
	KindAck
	kindEnd
)

// ProtocolVersion is the version of the frames and their payloads. Entry VMs
// with another version are rejected at the hello.
const ProtocolVersion = 1

// Maximum payload of each kind. A frame whose header states more is rejected
// unread, because a corrupted length would otherwise make the receiver allocate
// gigabytes. A view carries a declaration (at most 1 MiB in the store) and the
// records of all VMs (about 250 bytes each).
const (
	maxHelloBytes  = 4 << 10
	maxDigestBytes = 256 << 10
	maxPollBytes   = 1 << 10
	maxViewBytes   = 8 << 20
	maxAckBytes    = 1
)

// minCompressBytes is the payload size from which payloads are compressed. Only
// views are as large. A declaration shrinks to about a tenth; uncompressed, 5,000
// changes of a declaration a day would take more bytes than all other frames
// together.
const minCompressBytes = 4 << 10

// compressedFlag is set in the kind byte of a frame with a compressed payload.
const compressedFlag Kind = 0x80

// headerBytes is the size of a frame header: 4 bytes for the length of the
// payload (big endian) and 1 byte for the kind.
const headerBytes = 5

// errMalformedFrame means that a received frame is invalid, which closes the
// connection, or that a frame to be sent exceeds the limit of its kind.
var errMalformedFrame = errors.New("peer: malformed frame")

// maxPayload returns the maximum payload of a kind in bytes, or -1 if the kind is
// unknown.
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

// encodeFrame returns the complete frame, header included.
func encodeFrame(k Kind, msg any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(msg); err != nil {
		return nil, err
	}
	body := buf.Bytes()
	if len(body) > maxPayload(k) {
		return nil, fmt.Errorf("%w: payload of kind %d has %d bytes, limit is %d", errMalformedFrame, k, len(body), maxPayload(k))
	}
	if len(body) >= minCompressBytes {
		deflated, err := compress(body)
		if err != nil {
			return nil, err
		}
		body = deflated
		k |= compressedFlag
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

// decompress reverses compress. It stops at the limit of the kind, because a few
// bytes of a decompression bomb could otherwise fill the memory.
func decompress(k Kind, body []byte) ([]byte, error) {
	limit := int64(maxPayload(k))
	decompressed, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(body)), limit+1))
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errMalformedFrame, err)
	}
	if int64(len(decompressed)) > limit {
		return nil, fmt.Errorf("%w: payload of kind %d decompresses to more than %d bytes", errMalformedFrame, k, limit)
	}
	return decompressed, nil
}

// frame is a received frame with its payload decompressed.
type frame struct {
	kind Kind
	body []byte
	size int // bytes on the wire, including the header
}

// readFrame reads one frame. After any error the connection must be closed.
func readFrame(r io.Reader) (frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return frame{}, err
	}
	k := Kind(header[4]) &^ compressedFlag
	size := int64(binary.BigEndian.Uint32(header[:]))
	if limit := maxPayload(k); size > int64(limit) {
		return frame{}, fmt.Errorf("%w: header of kind %d states %d bytes, limit is %d", errMalformedFrame, k, size, limit)
	}
	f := frame{kind: k, body: make([]byte, size), size: headerBytes + int(size)}
	if _, err := io.ReadFull(r, f.body); err != nil {
		return frame{}, err
	}
	if Kind(header[4])&compressedFlag == 0 {
		return f, nil
	}
	var err error
	f.body, err = decompress(k, f.body)
	return f, err
}

// decode decodes a payload into msg. Its error wraps errMalformedFrame.
func decode(body []byte, msg any) error {
	if err := msgpack.Unmarshal(body, msg); err != nil {
		return fmt.Errorf("%w: %v", errMalformedFrame, err)
	}
	return nil
}

// hello is the first frame on a connection, sent in both directions.
type hello struct {
	Version     uint16 `msgpack:"v"`
	Cluster     string `msgpack:"c"`
	Entry       string `msgpack:"i"`
	Zone        string `msgpack:"z"`
	Peer        string `msgpack:"p"`
	Incarnation uint64 `msgpack:"n"`
}
