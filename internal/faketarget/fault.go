package faketarget

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Fault is a way to misbehave.
type Fault int8

// The faults.
const (
	None            Fault = iota
	Refuse                // refuses before start
	Late                  // answers after lateBy
	Short                 // promises more bytes than it sends, then closes
	ShortChunks           // ends a chunked answer without its last chunk
	Unframed              // sends neither length nor chunks, and closes in the middle
	Twice                 // answers twice on the same connection
	BadFraming            // sends a chunk size that is none
	BadStatus             // sends a line that is no status line
	Reset                 // resets the connection without an answer
	Silent                // closes the connection without an answer
	Error                 // answers 500
	Chunked               // answers rightly, in chunks
	Echo                  // sends the body back as it comes
	RefuseAfterBody       // refuses before start, having read the body
	TwiceLate             // answers again when the next request comes on the connection
)

// String returns the fault's name.
func (f Fault) String() string {
	names := [...]string{"none", "refuse", "late", "short", "short-chunks", "unframed", "twice",
		"bad-framing", "bad-status", "reset", "silent", "error", "chunked", "echo", "refuse-after-body", "twice-late"}
	return names[f]
}

// lateBy is by how much a late answer is late.
const lateBy = 300 * time.Millisecond

// answer is what a target says: enough of the request that a test sees whose
// answer it is.
type answer struct {
	body string
}

func newAnswer(id string, r *http.Request) answer {
	received, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		received = -1
	}
	return answer{fmt.Sprintf("target=%s method=%s path=%s query=%s request=%s body=%d\n",
		id, r.Method, r.URL.EscapedPath(), r.URL.RawQuery, r.Header.Get("X-Request"), received)}
}

// answer answers the request as the fault says.
func (f Fault) answer(w http.ResponseWriter, r *http.Request, a answer) how {
	raw := f.raw(a)
	switch {
	case f == Error:
		http.Error(w, a.body, http.StatusInternalServerError)
		return done
	case f == Chunked:
		_, _ = io.WriteString(w, a.body)
		_ = http.NewResponseController(w).Flush() // before the end: no length is known
		_, _ = io.WriteString(w, strings.Repeat(a.body, 200))
		return done
	case raw == nil && f != Reset && f != Silent:
		_, err := io.WriteString(w, a.body)
		if err != nil {
			return abandoned
		}
		return done
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return abandoned
	}
	if f == TwiceLate {
		go twiceLate(conn, raw)
		return done
	}
	defer conn.Close()
	if tcp, ok := conn.(*net.TCPConn); ok && f == Reset {
		_ = tcp.SetLinger(0) // makes Close send a reset
	}
	_, _ = conn.Write(raw)
	return done
}

// twiceLate answers, and takes the next bytes on the connection for a cue to
// give the same answer again.
func twiceLate(conn net.Conn, answer []byte) {
	defer conn.Close()
	_, _ = conn.Write(answer)
	if n, _ := conn.Read(make([]byte, 1)); n > 0 {
		_, _ = conn.Write(answer)
	}
}

// echo sends the body back piece by piece.
func echo(w http.ResponseWriter, r *http.Request) how {
	rc := http.NewResponseController(w)
	if err := rc.EnableFullDuplex(); err != nil {
		return abandoned
	}
	buf := make([]byte, 4096)
	for {
		n, err := r.Body.Read(buf)
		if _, werr := w.Write(buf[:n]); werr != nil || rc.Flush() != nil {
			return abandoned
		}
		if err == io.EOF {
			return done
		}
		if err != nil {
			return abandoned
		}
	}
}

// raw returns the bytes of a misbehaving answer, nil where the fault has none.
func (f Fault) raw(a answer) []byte {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	n := len(a.body)
	switch f {
	case Short:
		return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, n+100, a.body)
	case ShortChunks:
		return fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, n, a.body)
	case Unframed:
		return fmt.Appendf(nil, "%s\r\n%s", head, a.body[:n/2])
	case TwiceLate:
		return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, n, a.body)
	case Twice:
		one := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, n, a.body)
		return []byte(one + one)
	case BadFraming:
		return fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\nzz\r\nbroken", head, n, a.body)
	case BadStatus:
		return []byte("HELLO there\r\n\r\n" + a.body)
	}
	return nil
}
