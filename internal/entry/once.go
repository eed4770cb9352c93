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

// defaultRemember is how long a key is remembered where the service does not
// say: a day covers a caller's night-long outage and its operators' repair.
const defaultRemember = 24 * time.Hour

// recordTimeout bounds the recording of an outcome. What is not recorded by
// then stays unknown: safe, and told as that.
const recordTimeout = 30 * time.Second

// lateTime is how long a request that runs at most once is waited for after
// its deadline. Its caller has been told "unknown"; a repeat of the key gets
// the outcome that is recorded then, where a cut would leave it unknown for ever.
const lateTime = 60 * time.Second

// serveOnce takes a request through that runs at most once: claim, slot, one
// dispatch, record.
func (s *Server) serveOnce(w http.ResponseWriter, r *http.Request, c *call, body *requestBody) {
	ctx, cancel := s.withDeadline(r.Context(), c)
	defer cancel()
	e := &exchange{call: c, in: r, out: w, body: body, waitCtx: ctx}
	req := s.claimRequest(e)
	if state := s.ownKeys.begin(req); state != claim.Won {
		s.giveRecorded(e, claim.Result{State: state})
		return
	}
	res, err := s.claim(e, req)
	if err != nil || res.State != claim.Won {
		s.ownKeys.end(req.Key)
	}
	if err != nil {
		s.answer(w, r, claimProblem(err), false)
		return
	}
	if res.State != claim.Won {
		s.giveRecorded(e, res)
		return
	}
	sendCtx, cancelSend := s.detached(r.Context(), c)
	defer cancelSend()
	e.sendCtx = sendCtx
	e.maySend = func() bool { return res.Ticket.MaySend(time.Now()) }
	e.keep = &keptAnswer{limit: s.limits.KeptAnswerBytes}
	e.late = func() { s.tellLate(e) }
	out := s.run(e)
	s.settle(req.Key, res.Ticket, out, e.keep)
	s.finish(e, out)
}

// tellLate gives the caller its answer at the deadline, while the run goes on.
func (s *Server) tellLate(e *exchange) {
	e.told = true
	if !errors.Is(context.Cause(e.waitCtx), errDeadline) {
		return // the caller has gone
	}
	s.answer(e.out, e.in, problemTimeout("the target did not answer in time; ask again with the same key for the outcome", Unknown), true)
	_ = http.NewResponseController(e.out).Flush() // a caller that went meanwhile
}

func (s *Server) claimRequest(e *exchange) claim.Request {
	remember := e.call.service.Remember
	if remember <= 0 {
		remember = defaultRemember
	}
	return claim.Request{
		Key:      claim.Key{Service: e.call.service.Name, Caller: e.call.caller, Key: e.call.key},
		Digest:   requestDigest(e),
		Remember: remember,
	}
}

// claim asks for the right to run the exchange's request.
func (s *Server) claim(e *exchange, req claim.Request) (claim.Result, error) {
	if s.opts.Claims == nil {
		return claim.Result{}, &claim.Error{Certain: true, Err: errNoClaims}
	}
	return s.opts.Claims.Claim(e.waitCtx, req)
}

// ownKeys are the keys whose requests are inside this entry VM. A caller that
// sends one key over and over, as clients in a retry loop do, is answered from
// here: each repeat would else cost a transaction of the platform's store.
type ownKeys struct {
	mu   sync.Mutex
	keys map[claim.Key][sha256.Size]byte
}

// begin notes the key. Won says that it was not inside, and nothing more.
func (o *ownKeys) begin(req claim.Request) claim.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	digest, inside := o.keys[req.Key]
	switch {
	case inside && digest != req.Digest:
		return claim.Mismatch
	case inside:
		return claim.Running
	}
	if o.keys == nil {
		o.keys = make(map[claim.Key][sha256.Size]byte)
	}
	o.keys[req.Key] = req.Digest
	return claim.Won
}

func (o *ownKeys) end(key claim.Key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.keys, key)
}

var errNoClaims = errors.New("no store of claims")

// requestDigest names the request: method, path, query and body.
func requestDigest(e *exchange) [sha256.Size]byte {
	h := sha256.New()
	body := e.body.digest()
	for _, part := range []string{e.in.Method, e.call.path, e.in.URL.RawQuery} {
		_, _ = io.WriteString(h, strconv.Itoa(len(part))+":"+part)
	}
	_, _ = h.Write(body[:])
	return [sha256.Size]byte(h.Sum(nil))
}

func claimProblem(err error) *Problem {
	var ce *claim.Error
	if errors.As(err, &ce) && ce.Certain {
		return problemStoreDown(time.Second)
	}
	return problemClaimUncertain()
}

// giveRecorded answers a request whose key was claimed before.
func (s *Server) giveRecorded(e *exchange, res claim.Result) {
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
		giveKept(e.out, res.Answer)
	}
}

func giveKept(w http.ResponseWriter, a claim.Answer) {
	h := w.Header()
	for name, value := range a.Header {
		h.Set(name, value)
	}
	h.Set(HeaderOutcome, string(Ran))
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // the caller may be gone; its key still has the answer
}

// detached returns a context for what was sent: it outlives the caller and the
// deadline, as cutting a run would only hide its outcome.
func (s *Server) detached(ctx context.Context, c *call) (context.Context, context.CancelFunc) {
	late := *c
	late.deadline = c.deadline.Add(lateTime)
	return s.withDeadline(context.WithoutCancel(ctx), &late)
}

// settle records a claim's outcome, or takes the claim back where nothing was
// run. It does not hold up the answer: a repeat that comes before it is done is
// told that the first may still be running.
func (s *Server) settle(key claim.Key, t claim.Ticket, res result, kept *keptAnswer) {
	s.gate.hold()
	go func() {
		defer s.gate.leave()
		defer s.ownKeys.end(key)
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
		defer cancel()
		var err error
		if res.problem != nil && res.problem.Outcome == NotRun {
			err = s.opts.Claims.Release(ctx, t)
		} else {
			err = s.opts.Claims.Record(ctx, t, kept.answer())
		}
		if err != nil {
			s.metrics.unsettled.Add(1)
			s.log.Error(err, "the outcome of a claimed request could not be recorded", "claim", t.StoreKey)
		}
	}()
}

// keptAnswer is an answer as it is recorded under a key.
type keptAnswer struct {
	limit  int64
	status int
	header map[string]string
	body   []byte
	whole  bool
	large  bool
}

// begin notes the answer's status and header.
func (k *keptAnswer) begin(resp *http.Response) {
	k.status = resp.StatusCode
	k.header = make(map[string]string)
	end := make(http.Header)
	copyEndToEnd(end, resp.Header)
	for name := range end {
		if name != "Date" && name != "Content-Length" {
			k.header[name] = end.Get(name)
		}
	}
}

// add takes in a piece of the body; a nil keptAnswer keeps nothing.
func (k *keptAnswer) add(p []byte) {
	if k == nil {
		return
	}
	if k.large || int64(len(k.body)+len(p)) > k.limit {
		k.large, k.body = true, nil
		return
	}
	k.body = append(k.body, p...)
}

// end notes that the answer was whole.
func (k *keptAnswer) end() {
	if k != nil {
		k.whole = true
	}
}

// answer is what to record: status 0, unknown, unless the answer was whole.
func (k *keptAnswer) answer() claim.Answer {
	if !k.whole {
		return claim.Answer{}
	}
	return claim.Answer{Status: k.status, Header: k.header, Body: k.body, Kept: !k.large}
}
