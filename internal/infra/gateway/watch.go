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

// The pause between two tries to resume a watch doubles from the one to the
// other. Each try is a call, and all watches of a service that went away come
// back together; half of each pause is random so that they do not stay so.
const (
	resumeWaitMin = 50 * time.Millisecond
	resumeWaitMax = time.Second
)

// watch is one watch over its connections.
type watch struct {
	store  *Store
	prefix string
	next   infra.Revision // the first revision not yet delivered
	out    chan infra.WatchBatch
}

// stream is one connection of a watch.
type stream struct {
	endpoint string
	body     io.ReadCloser
	decoder  *json.Decoder
	ctx      context.Context // ends with the stream
	cancel   context.CancelFunc
	heard    atomic.Bool // a message came since the last look
}

// Watch implements infra.Store. A cut connection is resumed from the last
// revision delivered, for as long as Options.ResumeFor; then the watch ends
// with KindUnavailable, so that its reader knows that its view grows old.
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

func (w *watch) run(ctx context.Context, st *stream) {
	defer close(w.out)
	for {
		err := w.follow(ctx, st)
		st.close()
		if ctx.Err() == nil && !final(err) {
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

// final reports whether a watch cannot go on after err.
func final(err error) bool {
	return infra.IsKind(err, infra.KindCompacted) || infra.IsKind(err, infra.KindInvalid)
}

// resume opens the watch again where it was cut. A probe must pass besides, or
// an endpoint that opens watches and then falls silent would hold it for ever.
func (w *watch) resume(ctx context.Context) (*stream, error) {
	until := w.store.clock.Now().Add(w.store.resumeFor)
	for wait := resumeWaitMin; ; wait = min(2*wait, resumeWaitMax) {
		st, err := w.openAny(ctx, true)
		if err == nil || final(err) || !w.store.clock.Now().Before(until) {
			return st, err
		}
		select {
		case <-w.store.clock.After(wait/2 + rand.N(wait/2)):
		case <-ctx.Done():
			return nil, err
		}
	}
}

func (w *watch) openAny(ctx context.Context, probed bool) (*stream, error) {
	var err error = infra.Errorf("watch", infra.KindUnavailable, "no endpoints")
	for _, endpoint := range w.store.http.Endpoints() {
		var st *stream
		st, err = w.open(ctx, endpoint)
		if err == nil && probed {
			if err = w.probe(st); err != nil {
				st.close()
				continue
			}
		}
		if err == nil || final(err) || ctx.Err() != nil {
			return st, err
		}
	}
	return nil, err
}

// open opens the watch at one endpoint and waits until the service says that
// it stands. The timeout is for that only; the stream itself has no end.
func (w *watch) open(ctx context.Context, endpoint string) (*stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	late := time.AfterFunc(w.store.http.Timeout(), cancel)
	defer late.Stop()
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
	if err := st.begin(call, resp.StatusCode); err != nil {
		st.close()
		return nil, err
	}
	return st, nil
}

// begin reads the message that says that the watch stands.
func (st *stream) begin(call httpcall.Call, status int) error {
	if status != http.StatusOK {
		raw, err := io.ReadAll(st.body)
		if err != nil {
			return infra.Errorf("watch", infra.KindUnavailable, "%w", err)
		}
		return refusal(call, httpcall.Response{Status: status, Body: raw})
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

// read returns the next message, or the error that it stands for.
func (st *stream) read() (*etcdjson.WatchResponse, error) {
	var m etcdjson.WatchMessage
	if err := st.decoder.Decode(&m); err != nil {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			return nil, infra.Errorf("watch", infra.KindInvalid, "malformed answer: %w", err)
		}
		return nil, infra.Errorf("watch", infra.KindUnavailable, "%w", err)
	}
	st.heard.Store(true)
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
	_ = st.body.Close() // nothing more is wanted of it
}

// follow delivers events until the connection fails.
func (w *watch) follow(ctx context.Context, st *stream) error {
	go w.guard(st)
	for {
		res, err := st.read()
		if err != nil {
			return err
		}
		if len(res.Events) == 0 {
			w.progress(res)
			continue
		}
		for _, b := range batches(res.Events) {
			if b.Revision < w.next {
				continue // a duplicate after a resume
			}
			if !w.deliver(ctx, b) {
				return ctx.Err()
			}
			w.next = b.Revision + 1
		}
	}
}

// guard ends a stream that is silent because its service is: paused, or cut
// off without a word. To the reader it looks like a quiet prefix, and a view
// that grows old looks fresh. A read that the same endpoint answers shows that
// it still follows the service; one for each quiet interval is enough.
func (w *watch) guard(st *stream) {
	t := w.store.clock.NewTicker(w.store.probeEvery)
	defer t.Stop()
	for {
		select {
		case <-st.ctx.Done():
			return
		case <-t.Chan():
		}
		if st.heard.Swap(false) {
			continue
		}
		if err := w.probe(st); err != nil {
			st.cancel()
			return
		}
	}
}

// probe reads one key at the stream's endpoint. Being refused because of the
// limits is an answer too.
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
		return refusal(call, a)
	}
	return nil
}

// progress notes that everything up to the revision was delivered, so that a
// quiet watch is not resumed from a revision that is no longer held.
func (w *watch) progress(res *etcdjson.WatchResponse) {
	if res.Header != nil && !res.Created {
		w.next = max(w.next, revision(res.Header)+1)
	}
}

func (w *watch) deliver(ctx context.Context, b infra.WatchBatch) bool {
	select {
	case w.out <- b:
		return true
	case <-ctx.Done():
		return false
	}
}

// batches splits one message by revision; the service may put several into it.
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
