package standin

import (
	"bytes"
	"io"
	"net/http"
)

// readAll reads the body at once, so that a call that is held is a call the
// service has read, whatever its client does. It returns the body's size.
func readAll(w http.ResponseWriter, r *http.Request) int {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler) // the client left, or sent far too much
	}
	r.Body = io.NopCloser(bytes.NewReader(raw))
	return len(raw)
}

// output is an answer that the call's fate may still take away.
type output struct {
	http.ResponseWriter
	fate fate
	size int64
	held bytes.Buffer
}

func newOutput(w http.ResponseWriter, f fate) *output {
	return &output{ResponseWriter: w, fate: f}
}

// Write implements http.ResponseWriter.
func (o *output) Write(p []byte) (int, error) {
	o.size += int64(len(p))
	if o.fate == fatePass {
		return o.ResponseWriter.Write(p)
	}
	return o.held.Write(p)
}

// WriteHeader implements http.ResponseWriter.
func (o *output) WriteHeader(status int) {
	if o.fate != fateLoseReply {
		o.ResponseWriter.WriteHeader(status)
	}
}

// Flush implements http.Flusher.
func (o *output) Flush() {
	if f, ok := o.ResponseWriter.(http.Flusher); ok && o.fate == fatePass {
		f.Flush()
	}
}

// finish lets the fate of the reply happen, after the effect.
func (o *output) finish() {
	switch o.fate {
	case fateLoseReply:
		panic(http.ErrAbortHandler)
	case fateGarble:
		_, _ = o.ResponseWriter.Write(o.held.Bytes()[:o.held.Len()/2]) // cut on purpose
	}
}
