// Package ownerlink carries calls between entry VMs: callers' requests to the one
// that owns the workers, and an owner's orders for workers to those that forward
// them. TCP, frames of a length and a msgpack message, many calls at a time on one
// connection.
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

// maxFrame bounds a message: a job's specification and steps stay far below,
// and a broken length must not set gigabytes aside.
const maxFrame = 1 << 20

// sizeBytes is what the length before a message takes.
const sizeBytes = 4

// errFrame closes the connection.
var errFrame = errors.New("ownerlink: malformed frame")

// kind names a call.
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
	kindLookAtLimits
)

// byCallers reports whether the call carries a caller's request, on which the configuration
// decides.
func (k kind) byCallers() bool {
	return k == kindSubmit || k == kindState || k == kindCancel || k == kindWaiting
}

// request is one call.
type request struct {
	ID    uint64        `msgpack:"i"`
	Kind  kind          `msgpack:"k"`
	Cell  string        `msgpack:"c"` // whose owner is meant
	Job   *work.Job     `msgpack:"j,omitempty"`
	Queue *engine.Queue `msgpack:"q,omitempty"`
	JobID work.JobID    `msgpack:"d,omitempty"`
	Name  string        `msgpack:"n,omitempty"` // of a queue

	Workspace work.WorkspaceName `msgpack:"o,omitempty"` // of the caller
	Config    Standing           `msgpack:"v,omitempty"` // of the entry VM that calls

	Lease int64 `msgpack:"l,omitempty"` // to be ended
	// Workspaces are those whose limits another cell waits for, or gave back of.
	Workspaces []work.WorkspaceName `msgpack:"ws,omitempty"`

	Sync   *engine.CellSync   `msgpack:"y,omitempty"`
	Worker msgpack.RawMessage `msgpack:"w,omitempty"` // a packed workerCall
}

// result is the outcome of a call, across the wire.
type result uint8

const (
	resultOK result = iota + 1
	resultNotReady
	resultStore
	resultUncertain
	resultUnknownJob
	resultOtherWorkspace
	resultBehind
)

// response answers one call.
type response struct {
	ID     uint64     `msgpack:"i"`
	Result result     `msgpack:"r"`
	State  work.State `msgpack:"s,omitempty"`
	Count  int        `msgpack:"c,omitempty"`
	Config Standing   `msgpack:"v,omitempty"` // of the entry VM that answers
	Packed []byte     `msgpack:"p,omitempty"` // a whole configuration

	Sync   *engine.CellAnswer `msgpack:"y,omitempty"`
	Worker msgpack.RawMessage `msgpack:"w,omitempty"` // a packed workerAnswer

	Explanation *engine.Explanation `msgpack:"e,omitempty"`
	Summary     *engine.Summary     `msgpack:"u,omitempty"`
}

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
	}
	return resultUncertain
}

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
	case resultBehind:
		return engine.ErrStaleConfig
	}
	return engine.ErrUncertain
}

// frame encodes a message with its length before it.
func frame(msg any) ([]byte, error) {
	var buf bytes.Buffer
	buf.Write(make([]byte, sizeBytes))
	if err := msgpack.NewEncoder(&buf).Encode(msg); err != nil {
		return nil, err
	}
	raw := buf.Bytes()
	if n := len(raw) - sizeBytes; n > maxFrame {
		return nil, fmt.Errorf("%w: %d bytes", errFrame, n)
	}
	binary.BigEndian.PutUint32(raw, uint32(len(raw)-sizeBytes))
	return raw, nil
}

func readFrame(r io.Reader, into any) error {
	var size [sizeBytes]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return err
	}
	n := binary.BigEndian.Uint32(size[:])
	if n > maxFrame {
		return fmt.Errorf("%w: claims %d bytes", errFrame, n)
	}
	raw := make([]byte, n)
	if _, err := io.ReadFull(r, raw); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("%w: %v", errFrame, err)
	}
	return nil
}
