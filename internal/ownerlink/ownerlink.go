// Package ownerlink is the RPC protocol between entry VMs. It carries callers' requests to
// the entry VM that owns a cell (a service's workers and the jobs on them), and an owner's
// orders for workers to the entry VMs that forward them. The transport is TCP; a frame is a
// length and a msgpack message, and many calls share one connection.
package ownerlink

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/policy/work"
)

// maxFrame is the largest message in bytes. A job's specification and steps stay far below
// it, and a corrupt length must not make the reader allocate gigabytes.
const maxFrame = 1 << 20

// lengthBytes is the size of the length field that precedes a message.
const lengthBytes = 4

// errFrame is returned for a message that is too large or can't be decoded. The connection is
// then closed.
var errFrame = errors.New("ownerlink: malformed frame")

// kind is the method that a request calls.
type kind uint8

const (
	kindSubmit kind = iota + 1
	kindState
	kindCancel
	kindWaiting
	kindSync
	kindWorker
	kindExplain
	kindSummary
	kindPing
	kindEndLease
	kindConfig
	kindRecheckLimits
)

// fromCaller reports whether the call carries a caller's request, which must be decided by
// a configuration that is up to date.
func (k kind) fromCaller() bool {
	return k == kindSubmit || k == kindState || k == kindCancel || k == kindWaiting
}

// request is one call.
type request struct {
	ID    uint64        `msgpack:"i"`
	Kind  kind          `msgpack:"k"`
	Cell  string        `msgpack:"c"` // the cell whose owner is called
	Job   *work.Job     `msgpack:"j,omitempty"`
	Queue *engine.Queue `msgpack:"q,omitempty"`
	JobID work.JobID    `msgpack:"d,omitempty"`
	Name  string        `msgpack:"n,omitempty"` // the queue's name

	Workspace work.WorkspaceName `msgpack:"o,omitempty"` // of the caller
	Config    ConfigStatus       `msgpack:"v,omitempty"` // of the calling entry VM

	Lease int64 `msgpack:"l,omitempty"` // the lease to end
	// Workspaces are the workspaces whose limits another cell waits for, or has returned a
	// share of.
	Workspaces []work.WorkspaceName `msgpack:"ws,omitempty"`

	Sync   *engine.CellSync   `msgpack:"y,omitempty"`
	Worker msgpack.RawMessage `msgpack:"w,omitempty"` // a workerCall, encoded by pack
}

// result is the outcome of a call as it is encoded in a response.
type result uint8

const (
	resultOK result = iota + 1
	resultNotReady
	resultStore
	resultUncertain
	resultUnknownJob
	resultOtherWorkspace
	resultOutdatedConfig
	resultCancelledEarly
	resultNoMemory
	resultTooLarge
)

// response answers one call.
type response struct {
	ID     uint64       `msgpack:"i"`
	Result result       `msgpack:"r"`
	State  work.State   `msgpack:"s,omitempty"`
	Count  int          `msgpack:"c,omitempty"`
	Config ConfigStatus `msgpack:"v,omitempty"` // of the answering entry VM
	Packed []byte       `msgpack:"p,omitempty"` // a whole configuration, from Configs.Encoded

	Sync   *engine.CellAnswer `msgpack:"y,omitempty"`
	Worker msgpack.RawMessage `msgpack:"w,omitempty"` // a workerAnswer, encoded by pack

	Explanation *engine.Explanation `msgpack:"e,omitempty"`
	Summary     *engine.Summary     `msgpack:"u,omitempty"`
}

// resultOf returns the result that stands for the error of a call. Errors that have none of
// their own become resultUncertain.
func resultOf(err error) result {
	switch {
	case err == nil:
		return resultOK
	case errors.Is(err, engine.ErrNotReady):
		return resultNotReady
	case errors.Is(err, engine.ErrStore):
		return resultStore
	case errors.Is(err, engine.ErrUnknownJob):
		return resultUnknownJob
	case errors.Is(err, engine.ErrOtherWorkspace):
		return resultOtherWorkspace
	case errors.Is(err, engine.ErrCancelledEarly):
		return resultCancelledEarly
	case errors.Is(err, engine.ErrNoMemory):
		return resultNoMemory
	case errors.Is(err, engine.ErrTooLarge):
		return resultTooLarge
	}
	return resultUncertain
}

// err returns the error that the result stands for; nil for resultOK.
func (r result) err() error {
	switch r {
	case resultOK:
		return nil
	case resultNotReady:
		return engine.ErrNotReady
	case resultStore:
		return engine.ErrStore
	case resultUnknownJob:
		return engine.ErrUnknownJob
	case resultOtherWorkspace:
		return engine.ErrOtherWorkspace
	case resultOutdatedConfig:
		return engine.ErrStaleConfig
	case resultCancelledEarly:
		return engine.ErrCancelledEarly
	case resultNoMemory:
		return engine.ErrNoMemory
	case resultTooLarge:
		return engine.ErrTooLarge
	}
	return engine.ErrUncertain
}

// frame encodes a message, preceded by its length. It returns errFrame if the message is
// larger than maxFrame.
func frame(msg any) ([]byte, error) {
	var buf bytes.Buffer
	buf.Write(make([]byte, lengthBytes))
	if err := msgpack.NewEncoder(&buf).Encode(msg); err != nil {
		return nil, err
	}
	raw := buf.Bytes()
	if n := len(raw) - lengthBytes; n > maxFrame {
		return nil, fmt.Errorf("%w: message of %d bytes exceeds %d", errFrame, n, maxFrame)
	}
	binary.BigEndian.PutUint32(raw, uint32(len(raw)-lengthBytes))
	return raw, nil
}

// readFrame reads a length and a message and decodes it. It returns errFrame if the length
// exceeds maxFrame or the message can't be decoded.
func readFrame(r io.Reader, into any) error {
	n, err := readLength(r)
	if err != nil {
		return err
	}
	return readMessage(r, n, into)
}

// readLength reads the length of a message. It returns errFrame if that exceeds maxFrame.
func readLength(r io.Reader) (int, error) {
	var size [lengthBytes]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return 0, err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxFrame {
		return 0, fmt.Errorf("%w: announced length of %d bytes exceeds %d", errFrame, n, maxFrame)
	}
	return int(n), nil
}

// readMessage reads a message of n bytes and decodes it. It returns errFrame if it can't be decoded.
func readMessage(r io.Reader, n int, into any) error {
	raw := make([]byte, n)
	if _, err := io.ReadFull(r, raw); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("%w: %v", errFrame, err)
	}
	return nil
}
