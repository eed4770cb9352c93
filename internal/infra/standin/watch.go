package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/etcdjson"
	"github.com/pumicestage/pumicestage/internal/infra/httpcall"
)

// watch answers with a stream of JSON messages, one per line, until the client
// disconnects, a fault aborts it or the server closes.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	var req etcdjson.WatchRequest
	if !readJSON(w, r, &req) {
		return
	}
	if req.Create == nil || !isPrefixOrKey(req.Create) {
		writeError(w, http.StatusBadRequest, etcdjson.CodeInvalidArgument, "a watch is for one key or one prefix here")
		return
	}
	s.Counts.addWaiting(1)
	defer s.Counts.addWaiting(-1)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	from := infra.Revision(req.Create.StartRevision)
	if from == 0 {
		from = s.Store.Revision() + 1
	}
	out := &watchStream{w: w, counts: s.Counts}
	out.send(etcdjson.WatchResponse{Header: header(s.Store.Revision()), Created: true})
	batches, err := s.Store.Watch(ctx, string(req.Create.Key), from)
	if err != nil {
		out.send(etcdjson.WatchResponse{
			Header: header(s.Store.Revision()), Canceled: true, CompactRevision: etcdjson.Int64(s.Store.Compacted() + 1),
			CancelReason: "mvcc: required revision has been compacted",
		})
		return
	}
	s.stream(ctx, r.Header.Get(httpcall.ZoneHeader), *req.Create, batches, out)
}

// isPrefixOrKey reports whether the watch covers a single key or a prefix. It
// rewrites the protocol's form for all keys, a key and a range end of one zero
// byte each, to the empty prefix.
func isPrefixOrKey(c *etcdjson.WatchCreate) bool {
	if string(c.Key) == "\x00" && string(c.RangeEnd) == "\x00" {
		c.Key = nil
	}
	return len(c.RangeEnd) == 0 || bytes.Equal(c.RangeEnd, etcdjson.PrefixEnd(string(c.Key)))
}

// stream sends the events of batches to out. It sends nothing while zone is paused
// and aborts the connection if zone goes down or the server closes.
func (s *Server) stream(ctx context.Context, zone string, c etcdjson.WatchCreate, batches <-chan infra.WatchBatch, out *watchStream) {
	for {
		fault, change := s.Faults.state(zone)
		if fault.Down {
			panic(http.ErrAbortHandler)
		}
		ready := batches
		if fault.Paused {
			ready = nil
		}
		select {
		case <-change:
		case <-ctx.Done():
			return
		case <-s.done:
			panic(http.ErrAbortHandler)
		case b, ok := <-ready:
			if !ok {
				return
			}
			if res := eventsOf(b, c); len(res.Events) > 0 {
				out.send(res)
			}
		}
	}
}

// eventsOf converts a batch to a message. For a watch of a single key it leaves out
// the other keys that have it as their prefix.
func eventsOf(b infra.WatchBatch, c etcdjson.WatchCreate) etcdjson.WatchResponse {
	res := etcdjson.WatchResponse{Header: header(b.Revision)}
	for _, e := range b.Events {
		if len(c.RangeEnd) == 0 && e.KV.Key != string(c.Key) {
			continue
		}
		one := etcdjson.Event{KV: kvToWire(e.KV)}
		if e.Kind == infra.EventDelete {
			one.Type = etcdjson.EventDelete
		}
		res.Events = append(res.Events, one)
	}
	return res
}

// watchStream writes messages and flushes each one, so that the client receives
// it without delay.
type watchStream struct {
	w      http.ResponseWriter
	counts *Counter
}

func (o *watchStream) send(res etcdjson.WatchResponse) {
	raw, err := json.Marshal(etcdjson.WatchMessage{Result: &res})
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	n, err := o.w.Write(append(raw, '\n'))
	if err != nil {
		panic(http.ErrAbortHandler) // the client is gone
	}
	o.counts.addBytes(0, int64(n))
	if f, ok := o.w.(http.Flusher); ok {
		f.Flush()
	}
}
