package ownerlink

import (
	"bufio"
	"bytes"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/guard"
)

const (
	// decodedFactor bounds the memory of a job as it is decoded, relative to its message: steps of
	// defaults only are encoded in some ten bytes.
	decodedFactor = 16
	// headBytes is how many bytes of a message hold its ID and kind, which are encoded first.
	headBytes = 64
)

// receive reads the next request. The memory of a job in it is added to the hold, that of a large one
// before it is read. If there is none, receive returns the request without the job, and false. A
// large request is skipped then, so that its job's ID isn't known; the entry VM that sent it logs that.
func receive(r *bufio.Reader, hold *guard.Hold) (req *request, complete bool, err error) {
	n, err := readLength(r)
	if err != nil {
		return nil, false, err
	}
	req = new(request)
	if n > guard.SmallBytes {
		head, err := peekHead(r)
		if err != nil {
			return nil, false, err
		}
		if head.Kind == kindSubmit && hold.Grow(int64(decodedFactor*n)) != nil {
			_, err := r.Discard(n)
			return head, false, err
		}
	}
	if err := readMessage(r, n, req); err != nil {
		return nil, false, err
	}
	if req.Kind != kindSubmit {
		return req, true, nil
	}
	if req.Job == nil || req.Queue == nil {
		return nil, false, errFrame
	}
	if hold.Set(engine.BytesOnTheWay(req.Job)) != nil {
		req.JobID, req.Job = req.Job.ID, nil
		return req, false, nil
	}
	return req, true, nil
}

// peekHead returns a request with the ID and the kind of the message that r is about to read, which is
// longer than headBytes.
func peekHead(r *bufio.Reader) (*request, error) {
	raw, err := r.Peek(headBytes)
	if err != nil {
		return nil, err
	}
	d := msgpack.NewDecoder(bytes.NewReader(raw))
	if _, err := d.DecodeMapLen(); err != nil {
		return nil, errFrame
	}
	out := new(request)
	for _, field := range []struct {
		name string
		into any
	}{{"i", &out.ID}, {"k", &out.Kind}} {
		if name, err := d.DecodeString(); err != nil || name != field.name {
			return nil, errFrame
		}
		if err := d.Decode(field.into); err != nil {
			return nil, errFrame
		}
	}
	return out, nil
}
