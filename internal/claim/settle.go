package claim

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
)

// settleLater runs f in the background and returns its result by a channel.
func (l *Ledger) settleLater(f func() error) <-chan error {
	done := make(chan error, 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		// A daemon that is ended at once still has requests whose answers
		// come: nobody is left to wait for what is begun now.
		done <- trace.Wrap(errClosing)
		return done
	}
	select {
	case l.settles <- struct{}{}:
	default:
		// Claims are turned away at maxSettling, so that only a burst of
		// them can come here; the extra one waits like the others.
	}
	l.tasks.Go(func() {
		done <- f()
		select {
		case <-l.settles:
		default:
		}
	})
	return done
}

// settleUnknown makes a claim whose replies were lost certain by fencing it.
// Where that takes longer than ctx lasts, it goes on in the background.
func (l *Ledger) settleUnknown(ctx context.Context, p *pending, r record, cause error) error {
	fenced := l.settleLater(func() error { return l.fence(p.key, p.mod, r) })
	select {
	case err := <-fenced:
		return &Error{Certain: err == nil, Err: trace.Wrap(cause)}
	case <-ctx.Done():
		return &Error{Err: trace.Wrap(cause)}
	}
}

// abandon settles a claim whose caller stopped waiting.
func (l *Ledger) abandon(p *pending, r record) error {
	o := <-p.done
	switch {
	case o.applied:
		return l.fence(p.key, o.rev, r)
	case infra.IsKind(o.err, infra.KindUnknown):
		return l.fence(p.key, p.mod, r)
	}
	return nil
}

// fence makes certain that the claim does not stand and cannot come to stand.
// A copy of it that is still on its way takes effect only while the key is as
// the claim expected it. So a released value is written over that very state:
// where the write takes effect, the copy comes too late for ever; where it
// does not, the key says who was first.
func (l *Ledger) fence(key string, expected infra.Revision, r record) error {
	id := r.ID
	l.released(&r)
	value, err := r.encode()
	if err != nil {
		return trace.Wrap(err)
	}
	err = l.persist(write{key: key, mod: expected, value: value}, func(current infra.KV) (infra.Revision, bool) {
		found, err := decodeRecord(current.Value)
		ours := err == nil && found.ID == id && found.Stage == stageClaimed
		return current.ModRevision, ours
	})
	if errors.Is(err, errReplaced) {
		return nil
	}
	return err
}

// persist repeats a write until the service has answered it. retry is asked
// where another value stands, and returns its revision where the write should
// replace that too.
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
			w.mod = rev
			continue
		}
		sleep.For(l.ctx, wait)
		if l.ctx.Err() != nil {
			return trace.Wrap(errClosing, "%v", o.err)
		}
		wait = min(2*wait, fenceRetryMax)
	}
}

// rewrite replaces a held claim's value, in the background where ctx is short.
func (l *Ledger) rewrite(ctx context.Context, t Ticket, change func(*record)) error {
	r, ok := l.letGo(t.ID)
	if !ok {
		return &Error{Err: errNotHeld}
	}
	change(&r)
	value, err := r.encode()
	if err != nil {
		return &Error{Err: trace.Wrap(err)}
	}
	w := write{key: t.StoreKey, mod: t.Revision, value: value}
	done := l.settleLater(func() error {
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
