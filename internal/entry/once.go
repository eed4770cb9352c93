package entry

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/internal/claim"
)

// defaultKeyRetention is how long a key is remembered if the service does not
// set a time: a day covers a caller's outage overnight and its repair.
const defaultKeyRetention = 24 * time.Hour

// recordTimeout bounds the recording of an outcome. An outcome that is not
// recorded by then stays unknown, which is safe: the request is not run again,
// and callers are told that its outcome is unknown.
const recordTimeout = 30 * time.Second

// lateOutcomeTimeout is how long after its deadline a request that runs at most
// once may still finish. Its caller has been told "unknown" by then; a repeat of
// the key gets the outcome recorded later, whereas cancelling the request at its
// deadline would leave the outcome unknown for ever.
const lateOutcomeTimeout = 60 * time.Second

// serveOnce serves a request that runs at most once: it claims the key, waits
// for a slot, sends the request and records the outcome.
func (s *Server) serveOnce(w http.ResponseWriter, r *http.Request, c *call, body *requestBody) {
	ctx, cancel := s.withDeadline(r.Context(), c)
	defer cancel()
	e := &exchange{call: c, in: r, out: w, body: body, waitCtx: ctx}
	req := s.claimRequest(e)
	if state := s.localKeys.begin(req); state != claim.Won {
		s.answerFromClaim(e, claim.Result{State: state})
		return
	}
	res, err := s.claim(e, req)
	if err != nil || res.State != claim.Won {
		s.localKeys.end(req.Key)
	}
	if err != nil {
		s.answer(w, r, claimProblem(err), false)
		return
	}
	if res.State != claim.Won {
		s.answerFromClaim(e, res)
		return
	}
	sendCtx, cancelSend := s.detachedContext(r.Context(), c)
	defer cancelSend()
	e.sendCtx = sendCtx
	e.maySend = func() bool { return res.Ticket.MaySend(time.Now()) }
	e.recorder = &answerRecorder{limit: s.limits.KeptAnswerBytes}
	e.onDeadline = func() { s.answerAtDeadline(e) }
	out := s.run(e)
	s.settle(req.Key, res.Ticket, out, e.recorder)
	s.finish(e, out)
}

// answerAtDeadline responds to the caller at the deadline, while the target may
// still be running the request. If the caller has disconnected, nothing is sent.
func (s *Server) answerAtDeadline(e *exchange) {
	e.answered = true
	if !errors.Is(context.Cause(e.waitCtx), errDeadline) {
		return // the caller has disconnected
	}
	s.answer(e.out, e.in, problemTimeout("the target did not answer in time; ask again with the same key for the outcome", Unknown), true)
	_ = http.NewResponseController(e.out).Flush() // fails only if the caller has disconnected
}

// claimRequest builds the claim for the exchange's request.
func (s *Server) claimRequest(e *exchange) claim.Request {
	retention := e.call.service.Remember
	if retention <= 0 {
		retention = defaultKeyRetention
	}
	return claim.Request{
		Key:      claim.Key{Service: e.call.service.Name, Caller: e.call.caller, Key: e.call.key},
		Digest:   requestDigest(e),
		Remember: retention,
	}
}

// claim claims the right to run the exchange's request. Without a claim store it
// returns an error which is certain that the key was not claimed.
func (s *Server) claim(e *exchange, req claim.Request) (claim.Result, error) {
	if s.opts.Claims == nil {
		return claim.Result{}, &claim.Error{Certain: true, Err: errNoClaimStore}
	}
	return s.opts.Claims.Claim(e.waitCtx, req)
}

// localKeys holds the keys of the requests in flight at this entry VM. Repeats
// of such a key, as from a client in a retry loop, are answered from it:
// otherwise each of them would cost a transaction in the platform's store.
type localKeys struct {
	mu   sync.Mutex
	keys map[claim.Key][sha256.Size]byte
}

// begin adds the key. Won means only that no request with this key is in flight
// at this entry VM; the store may still hold a claim.
func (o *localKeys) begin(req claim.Request) claim.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	digest, running := o.keys[req.Key]
	switch {
	case running && digest != req.Digest:
		return claim.Mismatch
	case running:
		return claim.Running
	}
	if o.keys == nil {
		o.keys = make(map[claim.Key][sha256.Size]byte)
	}
	o.keys[req.Key] = req.Digest
	return claim.Won
}

// end removes the key.
func (o *localKeys) end(key claim.Key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.keys, key)
}

// errNoClaimStore is the cause if Options.Claims is nil.
var errNoClaimStore = errors.New("no claim store is configured")

// requestDigest returns a digest of the request's method, path, query and body,
// by which a repeat is told from another request under the same key.
func requestDigest(e *exchange) [sha256.Size]byte {
	h := sha256.New()
	body := e.body.digest()
	for _, part := range []string{e.in.Method, e.call.path, e.in.URL.RawQuery} {
		_, _ = io.WriteString(h, strconv.Itoa(len(part))+":"+part)
	}
	_, _ = h.Write(body[:])
	return [sha256.Size]byte(h.Sum(nil))
}

// claimProblem converts an error from Claim to a problem document.
func claimProblem(err error) *Problem {
	var ce *claim.Error
	if errors.As(err, &ce) && ce.Certain {
		return problemStoreDown(time.Second)
	}
	return problemClaimUncertain()
}

// answerFromClaim responds to a request whose key was claimed earlier.
func (s *Server) answerFromClaim(e *exchange, res claim.Result) {
	switch {
	case res.State == claim.Running:
		s.answer(e.out, e.in, problemKeyRunning(), false)
	case res.State == claim.Mismatch:
		s.answer(e.out, e.in, problemKeyReused(), false)
	case res.State != claim.Recorded || res.Answer.Status == 0:
		s.answer(e.out, e.in, problemKeyUnknown(), false)
	case !res.Answer.Kept:
		s.answer(e.out, e.in, problemAnswerNotKept(res.Answer.Status), false)
	default:
		s.metrics.outcome(Ran)
		e.setWriteDeadline(s.limits.WriteTimeout)
		writeRecordedAnswer(e.out, res.Answer)
	}
}

// writeRecordedAnswer sends a recorded response to the caller.
func writeRecordedAnswer(w http.ResponseWriter, a claim.Answer) {
	h := w.Header()
	for name, value := range a.Header {
		h.Set(name, value)
	}
	h.Set(HeaderOutcome, string(Ran))
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // if the caller has disconnected, the response stays recorded
}

// detachedContext returns a context for a request that was sent to a target. It
// outlives the caller's connection, and the deadline by lateOutcomeTimeout:
// cancelling the request would not undo it and would only hide its outcome.
func (s *Server) detachedContext(ctx context.Context, c *call) (context.Context, context.CancelFunc) {
	extended := *c
	extended.deadline = c.deadline.Add(lateOutcomeTimeout)
	return s.withDeadline(context.WithoutCancel(ctx), &extended)
}

// settle records a claim's outcome in the background, or releases the claim if
// nothing was run. The response to the caller does not wait for it: a repeat
// that arrives earlier is told that the first request may still be running.
func (s *Server) settle(key claim.Key, t claim.Ticket, res result, recorder *answerRecorder) {
	s.admission.extend()
	go func() {
		defer s.admission.release()
		defer s.localKeys.end(key)
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		var err error
		if res.problem != nil && res.problem.Outcome == NotRun {
			err = s.opts.Claims.Release(ctx, t)
		} else {
			err = s.opts.Claims.Record(ctx, t, recorder.answer())
		}
		if err != nil {
			s.metrics.unsettled.Add(1)
			s.log.Error(err, "failed to record the outcome of a claimed request", "claim", t.StoreKey)
		}
	}()
}

// answerRecorder collects a response in order to record it under its key.
type answerRecorder struct {
	limit    int64
	status   int
	header   map[string]string
	body     []byte
	complete bool // the whole body was received
	tooLarge bool // the body exceeds limit and is not recorded
}

// recordHeader stores the status and the end-to-end headers of the response.
func (k *answerRecorder) recordHeader(resp *http.Response) {
	k.status = resp.StatusCode
	k.header = make(map[string]string)
	header := make(http.Header)
	copyEndToEnd(header, resp.Header)
	for name := range header {
		if name != "Date" && name != "Content-Length" {
			k.header[name] = header.Get(name)
		}
	}
}

// recordBody appends a chunk of the body. It does nothing on a nil
// answerRecorder.
func (k *answerRecorder) recordBody(p []byte) {
	if k == nil {
		return
	}
	if k.tooLarge || int64(len(k.body)+len(p)) > k.limit {
		k.tooLarge, k.body = true, nil
		return
	}
	k.body = append(k.body, p...)
}

// markComplete marks the whole response as received. It does nothing on a nil
// answerRecorder.
func (k *answerRecorder) markComplete() {
	if k != nil {
		k.complete = true
	}
}

// answer returns the value to record. Its status is 0, which means that the
// outcome is unknown, unless the whole response was received.
func (k *answerRecorder) answer() claim.Answer {
	if !k.complete {
		return claim.Answer{}
	}
	return claim.Answer{Status: k.status, Header: k.header, Body: k.body, Kept: !k.tooLarge}
}
