package guard

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"
)

const (
	// firstBufferBytes is the size of the buffer with which a body is read at first, and
	// bufferGrowth by which factor it grows.
	firstBufferBytes = 4 << 10
	bufferGrowth     = 4
	// largeBodies is how many bodies of more than SmallBytes are read at a time on a Listener: each
	// keeps the processor busy.
	largeBodies = 4
	// largeBodyWait is how long another one waits for its turn, and largeBodyTime how long one of
	// them keeps it while others wait.
	largeBodyWait = 500 * time.Millisecond
	largeBodyTime = 1 * time.Second
)

// ReadBody reads the body of a request, at most limit bytes. The memory is added to HoldOf(r.Context())
// before it is used, as the bytes arrive: a caller that declares many bytes and sends none holds none.
// weigh returns the memory that decoding a part of the body needs, which is added as well. done is to be
// called when the body is decoded. The errors are those of the body and of Hold.Grow, and
// ErrBodyTooLarge.
func ReadBody(r *http.Request, limit int64, weigh func(part []byte) int64) (raw []byte, done func(), err error) {
	if r.ContentLength > limit {
		return nil, nil, ErrBodyTooLarge
	}
	c, _ := r.Context().Value(connKey{}).(*conn)
	b := &bodyReader{conn: c, hold: HoldOf(r.Context()), limit: limit, weigh: weigh}
	if raw, err = b.read(r.Context(), r.Body, r.ContentLength); err != nil {
		b.done()
		return nil, nil, err
	}
	return raw, b.done, nil
}

// bodyReader reads one body.
type bodyReader struct {
	conn  *conn // nil: the request came through no Listener
	hold  *Hold
	limit int64
	weigh func(part []byte) int64
	turn  bool // it has a turn as a large body
}

func (b *bodyReader) read(ctx context.Context, from io.Reader, length int64) ([]byte, error) {
	size := min(b.limit+1, firstBufferBytes)
	if length >= 0 {
		size = min(size, length+1) // one more byte, with which the end is found
	}
	if err := b.hold.Grow(size); err != nil {
		return nil, err
	}
	buffer := make([]byte, 0, size)
	for {
		n, err := from.Read(buffer[len(buffer):cap(buffer)])
		part := buffer[len(buffer) : len(buffer)+n]
		buffer = buffer[:len(buffer)+n]
		if int64(len(buffer)) > b.limit {
			return nil, ErrBodyTooLarge
		}
		if weight := b.weigh(part); weight > 0 {
			if err := b.hold.Grow(weight); err != nil {
				return nil, err
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, err
		}
		if len(buffer) == cap(buffer) {
			if buffer, err = b.grow(ctx, buffer, length); err != nil {
				return nil, err
			}
		}
	}
}

// grow returns the buffer with more capacity.
func (b *bodyReader) grow(ctx context.Context, buffer []byte, length int64) ([]byte, error) {
	size := min(bufferGrowth*int64(cap(buffer)), b.limit+1)
	if length >= 0 {
		size = min(size, length+1)
	}
	if size > SmallBytes && !b.turn {
		if err := b.conn.takeLargeTurn(ctx); err != nil {
			return nil, err
		}
		b.turn = true
	}
	if err := b.hold.Grow(size); err != nil {
		return nil, err
	}
	larger := make([]byte, len(buffer), size)
	copy(larger, buffer)
	b.hold.Shrink(int64(cap(buffer)))
	return larger, nil
}

// done gives the turn back.
func (b *bodyReader) done() {
	if b.turn {
		b.turn = false
		b.conn.returnLargeTurn()
	}
}

// takeLargeTurn waits for a turn to read a large body. It returns ErrNoMemory if none comes.
func (c *conn) takeLargeTurn(ctx context.Context) error {
	if c == nil {
		return nil
	}
	l := c.listener
	timer := time.NewTimer(largeBodyWait)
	defer timer.Stop()
	select {
	case l.large <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		if !l.closeForOthers(l.slowestLargeLocked) {
			return ErrNoMemory
		}
		select {
		case l.large <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c.turnSince = time.Now()
	l.reading = append(l.reading, c)
	return nil
}

// returnLargeTurn ends the turn.
func (c *conn) returnLargeTurn() {
	if c == nil {
		return
	}
	l := c.listener
	l.mu.Lock()
	l.reading = slices.DeleteFunc(l.reading, func(o *conn) bool { return o == c })
	l.mu.Unlock()
	<-l.large
}

// slowestLargeLocked returns the connection that has read a large body for longest, if that is longer than
// largeBodyTime and the body has not come to its end; nil if there is none. It is returned once.
func (l *Listener) slowestLargeLocked() *conn {
	for i, c := range l.reading {
		if c.place != nil && time.Since(c.turnSince) > largeBodyTime {
			l.reading = slices.Delete(l.reading, i, i+1)
			return c
		}
	}
	return nil
}
