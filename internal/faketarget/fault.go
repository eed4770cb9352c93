package faketarget

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Fault is a way in which a target handles a request, most of them faulty.
type Fault int8

// The faults. Echo and Chunked are correct behaviour that tests need on request.
const (
	None            Fault = iota
	Refuse                // refuses the request before starting it, without reading the body
	Late                  // responds after lateDelay
	Short                 // declares a Content-Length beyond what it sends, then closes
	ShortChunks           // ends a chunked response without the last chunk
	Unframed              // sends neither Content-Length nor chunks, and closes in the middle
	Twice                 // responds twice on the same connection
	BadFraming            // sends an invalid chunk size
	BadStatus             // sends an invalid status line
	Reset                 // resets the connection without a response
	Silent                // closes the connection without a response
	Error                 // responds with status 500
	Chunked               // responds correctly, in chunks
	Echo                  // streams the request body back
	RefuseAfterBody       // refuses the request before starting it, after reading the body
	TwiceLate             // repeats its response when the next request arrives on the connection
)

// String returns the fault's name.
func (f Fault) String() string {
	names := [...]string{"none", "refuse", "late", "short", "short-chunks", "unframed", "twice",
		"bad-framing", "bad-status", "reset", "silent", "error", "chunked", "echo", "refuse-after-body", "twice-late"}
	return names[f]
}

// lateDelay is the delay of a response with the fault Late.
const lateDelay = 300 * time.Millisecond

// response is the body of a target's response. It repeats enough of the request
// for a test to see which request it belongs to.
type response struct {
	body string
}

func newResponse(id string, r *http.Request) response {
	received, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		received = -1
	}
	return response{fmt.Sprintf("target=%s method=%s path=%s query=%s request=%s body=%d\n",
		id, r.Method, r.URL.EscapedPath(), r.URL.RawQuery, r.Header.Get("X-Request"), received)}
}

// respond sends the response as the fault requires, and returns how the request
// ended.
func (f Fault) respond(w http.ResponseWriter, r *http.Request, resp response) ending {
	raw := f.raw(resp)
	switch {
	case f == Error:
		http.Error(w, resp.body, http.StatusInternalServerError)
		return completed
	case f == Chunked:
		_, _ = io.WriteString(w, resp.body)
		_ = http.NewResponseController(w).Flush() // flushed before the end, so that net/http cannot set a Content-Length
		_, _ = io.WriteString(w, strings.Repeat(resp.body, 200))
		return completed
	case raw == nil && f != Reset && f != Silent:
		_, err := io.WriteString(w, resp.body)
		if err != nil {
			return abandoned
		}
		return completed
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return abandoned
	}
	if f == TwiceLate {
		go twiceLate(conn, raw)
		return completed
	}
	defer conn.Close()
	if tcp, ok := conn.(*net.TCPConn); ok && f == Reset {
		_ = tcp.SetLinger(0) // makes Close send a reset
	}
	_, _ = conn.Write(raw)
	return completed
}

// twiceLate sends the response, and sends it again when the next request arrives
// on the connection.
func twiceLate(conn net.Conn, resp []byte) {
	defer conn.Close()
	_, _ = conn.Write(resp)
	if n, _ := conn.Read(make([]byte, 1)); n > 0 {
		_, _ = conn.Write(resp)
	}
}

// echo streams the request body back as it arrives.
func echo(w http.ResponseWriter, r *http.Request) ending {
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
			return completed
		}
		if err != nil {
			return abandoned
		}
	}
}

// raw returns the bytes of a faulty response, nil if the fault does not send raw
// bytes.
func (f Fault) raw(resp response) []byte {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	n := len(resp.body)
	switch f {
	case Short:
		return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, n+100, resp.body)
	case ShortChunks:
		return fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", head, n, resp.body)
	case Unframed:
		return fmt.Appendf(nil, "%s\r\n%s", head, resp.body[:n/2])
	case TwiceLate:
		return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, n, resp.body)
	case Twice:
		single := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, n, resp.body)
		return []byte(single + single)
	case BadFraming:
		return fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\nzz\r\nbroken", head, n, resp.body)
	case BadStatus:
		return []byte("HELLO there\r\n\r\n" + resp.body)
	}
	return nil
}
