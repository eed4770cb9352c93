package claim

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
)

// settleInBackground runs f in the background and sends its result on the
// returned channel. Once Run is ending it sends errClosing instead.
func (l *Ledger) settleInBackground(f func() error) <-chan error {
	done := make(chan error, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		// A daemon that is stopped immediately still receives answers to
		// requests in flight, but Run no longer waits for new tasks.
		done <- trace.Wrap(errClosing)
		return done
	}
	select {
	case l.settleSlots <- struct{}{}:
	default:
		// submitClaim refuses claims at maxSettling, so only a concurrent
		// burst can exceed it; the excess tasks run without a slot.
	}
	l.tasks.Go(func() {
		done <- f()
		select {
		case <-l.settleSlots:
		default:
		}
	})
	return done
}

// settleUnknown fences a claim whose reply was lost, so that it is certain not
// to take effect. If ctx ends first, fencing continues in the background.
func (l *Ledger) settleUnknown(ctx context.Context, p *pending, r record, cause error) error {
	fenced := l.settleInBackground(func() error { return l.fence(p.key, p.expectedRev, r) })
	select {
	case err := <-fenced:
		return &Error{Certain: err == nil, Err: trace.Wrap(cause)}
	case <-ctx.Done():
		return &Error{Err: trace.Wrap(cause)}
	}
}

// settleAbandoned waits for the outcome of a claim whose caller stopped waiting
// and fences the claim if it took effect or may still do so.
func (l *Ledger) settleAbandoned(p *pending, r record) error {
	o := <-p.done
	switch {
	case o.applied:
		return l.fence(p.key, o.rev, r)
	case infra.IsKind(o.err, infra.KindUnknown):
		return l.fence(p.key, p.expectedRev, r)
	}
	return nil
}

// fence ensures that the claim is not in effect and cannot take effect later. A
// copy of the claim that is still in transit takes effect only while the key has
// the revision that the claim expected. Therefore a released value is written
// with that same expectation: if the write takes effect, the copy no longer can;
// if it does not, the key's value shows which write was first.
func (l *Ledger) fence(key string, expected infra.Revision, r record) error {
	id := r.ID
	l.markReleased(&r)
	value, err := r.encode()
	if err != nil {
		return trace.Wrap(err)
	}
	err = l.persist(write{key: key, expectedRev: expected, value: value}, func(current infra.KV) (infra.Revision, bool) {
		found, err := decodeRecord(current.Value)
		ours := err == nil && found.ID == id && found.Stage == stageClaimed
		return current.ModRevision, ours
	})
	if errors.Is(err, errReplaced) {
		return nil
	}
	return err
}

// persist repeats a write until the store has answered it. If the key holds
// another value, retry is called with it and returns whether to replace that
// value and its revision; persist returns errReplaced if it is not replaced.
func (l *Ledger) persist(w write, retry func(infra.KV) (infra.Revision, bool)) error {
	wait := fenceRetryMin
	for {
		o := <-l.commits.submit(w).done
		switch {
		case o.applied:
			return nil
		case o.err == nil:
			rev, again := retry(o.current)
			if !again {
				return trace.Wrap(errReplaced)
			}
			w.expectedRev = rev
			continue
		}
		sleep.For(l.ctx, wait)
		if l.ctx.Err() != nil {
			return trace.Wrap(errClosing, "%v", o.err)
		}
		wait = min(2*wait, fenceRetryMax)
	}
}

// finishHeld records or releases a held claim by writing the record as modified
// by change. If ctx ends first, the write continues in the background.
func (l *Ledger) finishHeld(ctx context.Context, t Ticket, change func(*record)) error {
	r, ok := l.removeHeld(t.ID)
	if !ok {
		return &Error{Err: errNotHeld}
	}
	change(&r)
	value, err := r.encode()
	if err != nil {
		return &Error{Err: trace.Wrap(err)}
	}
	w := write{key: t.StoreKey, expectedRev: t.Revision, value: value}
	done := l.settleInBackground(func() error {
		return l.persist(w, func(infra.KV) (infra.Revision, bool) { return 0, false })
	})
	select {
	case err = <-done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		return &Error{Err: trace.Wrap(err)}
	}
	return nil
}
