package claim

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// try claims with a caller that waits this long.
func (n *node) try(t *testing.T, wait time.Duration, req Request) (Result, *Error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), wait)
	defer cancel()
	r, err := n.Claim(ctx, req)
	var e *Error
	if err != nil {
		assert.Assert(t, errors.As(err, &e), "%v", err)
	}
	return r, e
}

// Each case plays one failure around the claim of one key by entry VM a, and
// then says what a caller is told who comes to entry VM c with the same key.
// In no case may c win while a has sent or may still send.
func TestFailureTable(t *testing.T) {
	req := request("k", 1)
	cases := []struct {
		name string
		play func(t *testing.T, b *bench, a *node)
		want State
	}{
		{"reply lost after the claim took effect: a has it", func(t *testing.T, _ *bench, a *node) {
			a.way.LoseReplies(1)
			assert.Equal(t, a.claim(t, req).State, Won)
		}, Running},
		{"request lost before it arrived: sent again", func(t *testing.T, _ *bench, a *node) {
			a.way.LoseRequests(1)
			assert.Equal(t, a.claim(t, req).State, Won)
		}, Running},
		{"store down before: not run, and certain", func(t *testing.T, _ *bench, a *node) {
			a.way.SetDown(true)
			_, err := a.try(t, time.Second, req)
			assert.Assert(t, err != nil && err.Certain)
		}, Won},
		{"no reply ever, then the store is down: not certain, and freed once it is back", func(t *testing.T, _ *bench, a *node) {
			a.way.LoseReplies(groupTries)
			a.way.Before(func(string, infra.Txn) { time.Sleep(50 * time.Millisecond) })
			time.AfterFunc(300*time.Millisecond, func() { a.way.SetDown(true) })
			_, err := a.try(t, 10*time.Second, req)
			assert.Assert(t, err != nil && !err.Certain)
			a.way.SetDown(false)
			time.Sleep(time.Minute)
		}, Won},
		{"caller goes away while the claim is on its way: taken back", func(t *testing.T, _ *bench, a *node) {
			a.way.Before(func(string, infra.Txn) { time.Sleep(100 * time.Millisecond) })
			_, err := a.try(t, 10*time.Millisecond, req)
			assert.Assert(t, err != nil && !err.Certain)
			time.Sleep(time.Minute)
		}, Won},
		{"store down between claim and record: recorded once it is back", func(t *testing.T, _ *bench, a *node) {
			won := a.claim(t, req)
			a.way.SetDown(true)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			assert.Assert(t, a.Record(ctx, won.Ticket, Answer{Status: 200}) != nil)
			a.way.SetDown(false)
			time.Sleep(time.Minute)
		}, Recorded},
		{"reply to the record lost", func(t *testing.T, _ *bench, a *node) {
			won := a.claim(t, req)
			a.way.LoseReplies(1)
			assert.NilError(t, a.Record(t.Context(), won.Ticket, Answer{Status: 200}))
		}, Recorded},
		{"outcome of the run not known", func(t *testing.T, _ *bench, a *node) {
			assert.NilError(t, a.Record(t.Context(), a.claim(t, req).Ticket, Answer{}))
		}, Unknown},
		{"a dies holding it, before or after sending: unknown for ever", func(t *testing.T, b *bench, a *node) {
			a.claim(t, req)
			a.stop()
			b.unregister("a")
		}, Unknown},
		{"a dies and its successor registers: unknown for ever", func(t *testing.T, b *bench, a *node) {
			a.claim(t, req)
			a.stop()
			b.register("a", "2")
		}, Unknown},
		{"a is paused past its lease, then wakes and records", func(t *testing.T, b *bench, a *node) {
			won := a.claim(t, req)
			b.unregister("a")
			c := b.start("d", 1)
			defer c.stop()
			assert.Equal(t, c.claim(t, req).State, Unknown)
			assert.NilError(t, a.Record(t.Context(), won.Ticket, Answer{Status: 200}))
		}, Recorded},
		{"a could certainly not send and released", func(t *testing.T, _ *bench, a *node) {
			assert.NilError(t, a.Release(t.Context(), a.claim(t, req).Ticket))
		}, Won},
		{"released twice, or recorded after release: refused", func(t *testing.T, _ *bench, a *node) {
			won := a.claim(t, req)
			assert.NilError(t, a.Release(t.Context(), won.Ticket))
			assert.ErrorIs(t, a.Release(t.Context(), won.Ticket), errNotHeld)
			assert.ErrorIs(t, a.Record(t.Context(), won.Ticket, Answer{Status: 200}), errNotHeld)
		}, Won},
		{"another body under the key", func(t *testing.T, _ *bench, a *node) {
			a.claim(t, request("k", 2))
		}, Mismatch},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				b.register("a", "1")
				a, c := b.start("a", 1), b.start("c", 1)
				defer c.stop()
				tc.play(t, b, a)
				assert.Equal(t, c.claim(t, req).State, tc.want)
				a.stop()
			})
		})
	}
}

func (b *bench) unregister(id model.EntryID) {
	_, err := b.store.Txn(b.t.Context(), infra.Txn{Then: []infra.Op{infra.Delete(infra.EntryKey(id))}})
	assert.NilError(b.t, err)
}

// What the caller sees: 503 not-run, and a retry under the same key that is
// let in. In between, the first claim's lost request arrives at the store; a
// claim that nobody acts on would make the retry unknown for ever.
func TestDelayedCopyOfAReleasedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		a := b.start("a", 1)
		defer a.stop()
		var delayed infra.Txn
		a.way.Before(func(_ string, txn infra.Txn) { delayed = txn })
		a.way.LoseRequests(groupTries)
		_, err := a.try(t, time.Minute, request("k", 1))
		assert.Assert(t, err != nil && err.Certain)

		a.way.Before(nil)
		_, lateErr := b.store.Txn(t.Context(), delayed)
		assert.NilError(t, lateErr)
		assert.Assert(t, !b.stands("k"))
		assert.Equal(t, a.claim(t, request("k", 1)).State, Won)
	})
}

// picky is a way to a store that refuses what the test says.
type picky struct {
	infra.Store
	txn func(infra.Txn) error
	get func() error
}

// Txn implements infra.Store.
func (p *picky) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	time.Sleep(10 * time.Millisecond)
	if p.txn != nil {
		if err := p.txn(txn); err != nil {
			return infra.TxnResult{}, err
		}
	}
	return p.Store.Txn(ctx, txn)
}

// Get implements infra.Store.
func (p *picky) Get(ctx context.Context, key string) (infra.KV, infra.Revision, error) {
	if p.get != nil {
		return infra.KV{}, 0, p.get()
	}
	return p.Store.Get(ctx, key)
}

// Two claims of one key in one transaction would both find it absent, and both
// win. The second waits until the first has landed.
func TestOneWriteOfAKeyInFlight(t *testing.T) {
	c := NewLedger(Options{}).commits
	first, second := c.submit(write{key: "k"}), c.submit(write{key: "k"})
	other := c.submit(write{key: "other"})
	group := c.nextGroup()
	assert.Assert(t, len(group) == 2 && group[0] == first && group[1] == other)
	assert.Equal(t, len(c.nextGroup()), 0)
	c.land(group)
	group = c.nextGroup()
	assert.Assert(t, len(group) == 1 && group[0] == second)
}

// What the platform sees of a caller that repeats one key in a loop at another
// entry VM: a few transactions and reads, not one for each repeat.
func TestRepeatsOfOneKeyAreCheap(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		b.register("a", "1")
		a, c := b.start("a", 1), b.start("c", 1)
		defer a.stop()
		defer c.stop()
		a.claim(t, request("k", 1))
		for range 100 {
			assert.Equal(t, c.claim(t, request("k", 1)).State, Running)
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, c.way.Calls().Reads <= 5, "%d reads", c.way.Calls().Reads)
	})
}

// What the caller of a repeat sees while the store does not say whether the
// holder lives: that the first is running, never a final "unknown".
func TestHolderNotKnownToBeDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		a := b.start("a", 1)
		defer a.stop()
		c := b.startOn(&picky{Store: b.store, get: func() error { return infra.Errorf("get", infra.KindUnavailable, "down") }}, "c", 1)
		defer c.stop()
		a.claim(t, request("k", 1))
		assert.Equal(t, c.claim(t, request("k", 1)).State, Running)
	})
}

// What the caller sees: the store was restored from a backup and has forgotten
// the claim of a request that ran. Its repeat is told not-run, and does not run.
func TestRestoredStoreLetsNothingRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		a := b.start("a", 1)
		defer a.stop()
		accepted := b.store.Revision() + 4
		a.opts.Accepted = func() infra.Revision { return accepted }
		_, err := a.try(t, time.Second, request("k", 1))
		assert.ErrorIs(t, err, errRestored)
		assert.Assert(t, err.Certain)
		_, err = a.try(t, time.Second, request("k", 1))
		assert.ErrorIs(t, err, errRestored)
		assert.Equal(t, a.claim(t, request("k", 1)).State, Won, "the store has passed what was accepted")
	})
}

// A rate limit is waited out; a daemon that stops records first.
func TestRateLimitAndStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		refused := 0
		a := b.startOn(&picky{Store: b.store, txn: func(infra.Txn) error {
			if refused++; refused%2 == 1 {
				return infra.Errorf("txn", infra.KindRateLimited, "slow down")
			}
			return nil
		}}, "a", 1)
		won := a.claim(t, request("k", 1))
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		assert.Assert(t, a.Record(ctx, won.Ticket, Answer{Status: 200}) != nil)
		a.stop()
		c := b.start("c", 1)
		defer c.stop()
		assert.Equal(t, c.claim(t, request("k", 1)).State, Recorded)
	})
}

// One write that loses, or that the service refuses, must not fail the others
// of its transaction, nor cost a call for each of them.
func TestGroupWithLoserOrPoison(t *testing.T) {
	const n, odd = 40, 7
	oddKey := storeKey(request(fmt.Sprint("k", odd), 1).Key)
	cases := []struct {
		name     string
		taken    bool // the odd key is held already
		refuse   bool // the service refuses what has the odd key
		maxCalls int
	}{
		{"one loses", true, false, 3},
		{"one is refused", false, true, 15},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench(t)
				calls := 0
				a := b.startOn(&picky{Store: b.store, txn: func(txn infra.Txn) error {
					calls++
					if tc.refuse && slices.ContainsFunc(txn.Then, func(op infra.Op) bool { return op.Key == oddKey }) {
						return infra.Errorf("txn", infra.KindInvalid, "cannot make sense of it")
					}
					return nil
				}}, "a", 1)
				defer a.stop()
				if tc.taken {
					c := b.start("c", 1)
					defer c.stop()
					c.claim(t, request(fmt.Sprint("k", odd), 1))
				}
				var group []*pending
				for i := range n {
					w := write{key: storeKey(request(fmt.Sprint("k", i), 1).Key), value: []byte(fmt.Sprint("value ", i))}
					group = append(group, &pending{write: w, done: make(chan outcome, 1)})
				}
				a.commits.commit(t.Context(), group)
				for i, p := range group {
					o := <-p.done
					assert.Equal(t, o.applied, i != odd, "k%d: %v", i, o.err)
					assert.Equal(t, infra.IsKind(o.err, infra.KindInvalid), tc.refuse && i == odd)
				}
				assert.Assert(t, calls <= tc.maxCalls, "%d calls", calls)
			})
		})
	}
}

// What the platform sees at a burst: a few transactions, not one a claim.
func TestGroupCommitBoundsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t)
		a := b.start("a", 1)
		defer a.stop()
		started := time.Now()
		var won []Result
		results := make(chan Result)
		for i := range 500 {
			go func() {
				r, err := a.Claim(t.Context(), request(fmt.Sprint("k", i), 1))
				assert.Check(t, err)
				results <- r
			}()
		}
		for range 500 {
			won = append(won, <-results)
		}
		for _, r := range won {
			assert.Equal(t, r.State, Won)
		}
		limit := writeBurst + 1 + int(time.Since(started).Seconds()*WritesPerSecond)
		assert.Assert(t, a.way.Calls().Writes <= limit, "%d calls, at most %d", a.way.Calls().Writes, limit)
		assert.Assert(t, a.way.Calls().Writes < 20, "%d calls", a.way.Calls().Writes)
	})
}

// A holder that wakes after the key may have been forgotten must not send: a
// new claim of the key may be running by then.
func TestMaySend(t *testing.T) {
	now := time.Now()
	ticket := Ticket{SendBy: now.Add(time.Minute)}
	assert.Assert(t, ticket.MaySend(now))
	assert.Assert(t, !ticket.MaySend(now.Add(time.Minute)))
	suspended := now.Add(2 * time.Minute).Round(0) // only the wall clock went on
	assert.Assert(t, !ticket.MaySend(suspended))
}

// A daemon ended at once still gets the answers of requests it sent. Recording
// them raced with the end of Run, which then waited for tasks while new ones
// began; such an outcome stays unknown, as if the VM had been lost.
func TestRecordAfterTheEndIsRefused(t *testing.T) {
	b := newBench(t)
	n := b.start("e1", 1)
	won := n.claim(t, request("k", 1))
	assert.Equal(t, won.State, Won)
	n.stop()

	err := n.Record(t.Context(), won.Ticket, Answer{Status: 200})

	assert.Assert(t, errors.Is(err, errClosing), "%v", err)
}
