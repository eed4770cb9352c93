package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/etcdjson"
	"github.com/pumicestage/pumicestage/internal/infra/httpcall"
)

// Bounds of the exponential backoff between attempts to resume a watch. All
// watches of a service that was unavailable reconnect at the same time, and
// each attempt is a call; half of each backoff is random to spread them.
const (
	minResumeBackoff = 50 * time.Millisecond
	maxResumeBackoff = time.Second
)

// watch is one watch, which may use several connections one after the other.
type watch struct {
	store  *Store
	prefix string
	next   infra.Revision // the first revision not yet delivered
	out    chan infra.WatchBatch
}

// stream is the response stream of a watch on one connection.
type stream struct {
	endpoint string
	body     io.ReadCloser
	decoder  *json.Decoder
	ctx      context.Context // ends with the stream
	cancel   context.CancelFunc
	received atomic.Bool // a message was received since the last check
}

// Watch implements infra.Store. If the connection breaks, the watch is resumed
// after the last revision delivered. If that fails for Options.ResumeFor, the
// watch ends with KindUnavailable, which tells the reader that its view is
// stale.
func (s *Store) Watch(ctx context.Context, prefix string, from infra.Revision) (<-chan infra.WatchBatch, error) {
	if from < 1 {
		return nil, infra.Errorf("watch", infra.KindCompacted, "revision %d", from)
	}
	w := &watch{store: s, prefix: prefix, next: from, out: make(chan infra.WatchBatch)}
	first, err := w.openAny(ctx, false)
	if err != nil {
		return nil, err
	}
	go w.run(ctx, first)
	return w.out, nil
}

// run delivers events, and resumes the watch when its connection breaks, until
// ctx ends or the watch cannot be resumed.
func (w *watch) run(ctx context.Context, st *stream) {
	defer close(w.out)
	for {
		err := w.forward(ctx, st)
		st.close()
		if ctx.Err() == nil && !isTerminal(err) {
			st, err = w.resume(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			w.deliver(ctx, infra.WatchBatch{Err: err})
			return
		}
	}
}

// isTerminal reports whether a watch cannot be resumed after err.
func isTerminal(err error) bool {
	return infra.IsKind(err, infra.KindCompacted) || infra.IsKind(err, infra.KindInvalid)
}

// resume reopens the watch after the last revision delivered. A probe must
// succeed as well: an endpoint that accepts watches but never sends events
// would otherwise keep the watch alive forever.
func (w *watch) resume(ctx context.Context) (*stream, error) {
	deadline := w.store.clock.Now().Add(w.store.resumeFor)
	for backoff := minResumeBackoff; ; backoff = min(2*backoff, maxResumeBackoff) {
		st, err := w.openAny(ctx, true)
		if err == nil || isTerminal(err) || !w.store.clock.Now().Before(deadline) {
			return st, err
		}
		select {
		case <-w.store.clock.After(backoff/2 + rand.N(backoff/2)):
		case <-ctx.Done():
			return nil, err
		}
	}
}

// openAny opens the watch at the first endpoint that accepts it and, if
// withProbe is set, answers a probe.
func (w *watch) openAny(ctx context.Context, withProbe bool) (*stream, error) {
	var err error = infra.Errorf("watch", infra.KindUnavailable, "no endpoints")
	for _, endpoint := range w.store.http.Endpoints() {
		var st *stream
		st, err = w.open(ctx, endpoint)
		if err == nil && withProbe {
			if err = w.probe(st); err != nil {
				st.close()
				continue
			}
		}
		if err == nil || isTerminal(err) || ctx.Err() != nil {
			return st, err
		}
	}
	return nil, err
}

// open opens the watch at one endpoint and waits until the service confirms
// that it was created. The timeout covers only this; the stream has none.
func (w *watch) open(ctx context.Context, endpoint string) (*stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(w.store.http.Timeout(), cancel)
	defer timer.Stop()
	call := httpcall.Call{Op: "watch", Method: http.MethodPost, Path: etcdjson.PathWatch}
	body, err := json.Marshal(etcdjson.WatchRequest{Create: &etcdjson.WatchCreate{
		Key: rangeStart(w.prefix), RangeEnd: etcdjson.PrefixEnd(w.prefix),
		StartRevision: etcdjson.Int64(w.next), ProgressNotify: true,
	}})
	if err != nil {
		cancel()
		return nil, infra.Errorf("watch", infra.KindInvalid, "%w", err)
	}
	resp, _, err := w.store.http.Send(ctx, endpoint, call, body)
	if err != nil {
		cancel()
		return nil, infra.Errorf("watch", infra.KindUnavailable, "%w", err)
	}
	st := &stream{endpoint: endpoint, body: resp.Body, decoder: json.NewDecoder(resp.Body), ctx: ctx, cancel: cancel}
	if err := st.awaitCreated(call, resp.StatusCode); err != nil {
		st.close()
		return nil, err
	}
	return st, nil
}

// awaitCreated reads the message that confirms that the watch was created.
func (st *stream) awaitCreated(call httpcall.Call, status int) error {
	if status != http.StatusOK {
		raw, err := io.ReadAll(st.body)
		if err != nil {
			return infra.Errorf("watch", infra.KindUnavailable, "%w", err)
		}
		return statusError(call, httpcall.Response{Status: status, Body: raw})
	}
	res, err := st.read()
	if err != nil {
		return err
	}
	if !res.Created {
		return infra.Errorf("watch", infra.KindInvalid, "malformed answer: the watch was not created")
	}
	return nil
}

// read returns the next message. It returns an error if the stream fails or
// the message reports a failure or the end of the watch.
func (st *stream) read() (*etcdjson.WatchResponse, error) {
	var m etcdjson.WatchMessage
	if err := st.decoder.Decode(&m); err != nil {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			return nil, infra.Errorf("watch", infra.KindInvalid, "malformed answer: %w", err)
		}
		return nil, infra.Errorf("watch", infra.KindUnavailable, "%w", err)
	}
	st.received.Store(true)
	switch {
	case m.Error != nil:
		return nil, infra.Errorf("watch", kindOfCode(m.Error.GRPCCode, m.Error.Message, false), "%s", m.Error.Message)
	case m.Result == nil:
		return nil, infra.Errorf("watch", infra.KindInvalid, "malformed answer: no result")
	case m.Result.CompactRevision != 0:
		return nil, infra.Errorf("watch", infra.KindCompacted, "oldest revision held: %d", m.Result.CompactRevision)
	case m.Result.Canceled:
		return nil, infra.Errorf("watch", infra.KindUnavailable, "canceled: %s", m.Result.CancelReason)
	}
	return m.Result, nil
}

func (st *stream) close() {
	st.cancel()
	_ = st.body.Close() // the rest of the stream is not needed
}

// forward delivers events to the reader until the stream fails or ctx ends.
func (w *watch) forward(ctx context.Context, st *stream) error {
	go w.probeWhenIdle(st)
	for {
		res, err := st.read()
		if err != nil {
			return err
		}
		if len(res.Events) == 0 {
			w.recordProgress(res)
			continue
		}
		for _, b := range batches(res.Events) {
			if b.Revision < w.next {
				continue // already delivered before the watch was resumed
			}
			if !w.deliver(ctx, b) {
				return ctx.Err()
			}
			w.next = b.Revision + 1
		}
	}
}

// probeWhenIdle closes a stream whose service is paused or became unreachable
// without closing the connection. The reader can't distinguish such a stream
// from a prefix without changes and would take a stale view for a current one.
// A read that the same endpoint answers shows that it still reaches the
// service; one read per interval without messages is enough.
func (w *watch) probeWhenIdle(st *stream) {
	t := w.store.clock.NewTicker(w.store.probeEvery)
	defer t.Stop()
	for {
		select {
		case <-st.ctx.Done():
			return
		case <-t.Chan():
		}
		if st.received.Swap(false) {
			continue
		}
		if err := w.probe(st); err != nil {
			st.cancel()
			return
		}
	}
}

// probe reads one key at the stream's endpoint. A rate-limited response counts
// as success, because it shows that the endpoint responds.
func (w *watch) probe(st *stream) error {
	call := httpcall.Call{
		Op: "watch", Method: http.MethodPost, Path: etcdjson.PathRange,
		Body: etcdjson.RangeRequest{Key: rangeStart(w.prefix)},
	}
	a, err := w.store.http.DoAt(st.ctx, st.endpoint, call)
	if err != nil {
		return err
	}
	if a.Status != http.StatusOK && a.Status != http.StatusTooManyRequests {
		return statusError(call, a)
	}
	return nil
}

// recordProgress advances w.next past the revision of a progress notification,
// which confirms that all events up to it were delivered. An idle watch would
// otherwise be resumed from a revision that has been compacted.
func (w *watch) recordProgress(res *etcdjson.WatchResponse) {
	if res.Header != nil && !res.Created {
		w.next = max(w.next, revision(res.Header)+1)
	}
}

// deliver sends b to the reader. It returns false if ctx ends first.
func (w *watch) deliver(ctx context.Context, b infra.WatchBatch) bool {
	select {
	case w.out <- b:
		return true
	case <-ctx.Done():
		return false
	}
}

// batches groups the events of one message by revision; a message may contain
// several revisions.
func batches(events []etcdjson.Event) []infra.WatchBatch {
	var out []infra.WatchBatch
	for _, e := range events {
		rev := infra.Revision(e.KV.ModRevision)
		if len(out) == 0 || out[len(out)-1].Revision != rev {
			out = append(out, infra.WatchBatch{Revision: rev})
		}
		last := &out[len(out)-1]
		last.Events = append(last.Events, eventOf(e))
	}
	return out
}

func eventOf(e etcdjson.Event) infra.Event {
	if e.Type != etcdjson.EventDelete {
		return infra.Event{Kind: infra.EventPut, KV: fromWire(e.KV)}
	}
	kv := infra.KV{Key: string(e.KV.Key), ModRevision: infra.Revision(e.KV.ModRevision)}
	return infra.Event{Kind: infra.EventDelete, KV: kv}
}
