package standin

import (
	"bytes"
	"io"
	"net/http"
)

// readBody reads the whole body into memory and returns its size in bytes. A call
// that is then delayed can execute even if its client disconnects. It aborts the
// call if the body cannot be read or is larger than maxBodyBytes.
func readBody(w http.ResponseWriter, r *http.Request) int {
	raw, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler) // the client disconnected or the body is too large
	}
	r.Body = io.NopCloser(bytes.NewReader(raw))
	return len(raw)
}

// responseWriter writes the response of a call. For an outcome other than
// outcomeNormal it buffers the body, to suppress or truncate it in finish.
type responseWriter struct {
	http.ResponseWriter
	outcome  outcome
	size     int64
	buffered bytes.Buffer
}

func newResponseWriter(w http.ResponseWriter, o outcome) *responseWriter {
	return &responseWriter{ResponseWriter: w, outcome: o}
}

// Write implements http.ResponseWriter.
func (o *responseWriter) Write(p []byte) (int, error) {
	o.size += int64(len(p))
	if o.outcome == outcomeNormal {
		return o.ResponseWriter.Write(p)
	}
	return o.buffered.Write(p)
}

// WriteHeader implements http.ResponseWriter.
func (o *responseWriter) WriteHeader(status int) {
	if o.outcome != outcomeLoseReply {
		o.ResponseWriter.WriteHeader(status)
	}
}

// Flush implements http.Flusher.
func (o *responseWriter) Flush() {
	if f, ok := o.ResponseWriter.(http.Flusher); ok && o.outcome == outcomeNormal {
		f.Flush()
	}
}

// finish applies the outcome once the call has taken effect: it aborts the
// connection for a lost reply and sends half the body of a truncated one.
func (o *responseWriter) finish() {
	switch o.outcome {
	case outcomeLoseReply:
		panic(http.ErrAbortHandler)
	case outcomeTruncateReply:
		_, _ = o.ResponseWriter.Write(o.buffered.Bytes()[:o.buffered.Len()/2]) // truncated on purpose
	}
}
