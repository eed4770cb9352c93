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

// claimWithin claims on behalf of a caller that waits no longer than wait.
func (n *node) claimWithin(t *testing.T, wait time.Duration, req Request) (Result, *Error) {
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

// Each case injects one failure while entry VM a claims a key, and gives the
// state that a caller then gets from entry VM c for the same key. In no case may
// c win if a has sent the request or may still send it.
func TestFailureTable(t *testing.T) {
	req := request("k", 1)
	cases := []struct {
		name   string
		inject func(t *testing.T, b *testCluster, a *node)
		want   State
	}{
		{"reply lost after the claim took effect: a holds the claim", func(t *testing.T, _ *testCluster, a *node) {
			a.faults.LoseReplies(1)
			assert.Equal(t, a.claim(t, req).State, Won)
		}, Running},
		{"request lost before it arrived: sent again", func(t *testing.T, _ *testCluster, a *node) {
			a.faults.LoseRequests(1)
			assert.Equal(t, a.claim(t, req).State, Won)
		}, Running},
		{"store down before the claim: certainly not run", func(t *testing.T, _ *testCluster, a *node) {
			a.faults.SetDown(true)
			_, err := a.claimWithin(t, time.Second, req)
			assert.Assert(t, err != nil && err.Certain)
		}, Won},
		{"all replies lost, then store down: uncertain, released once the store is up", func(t *testing.T, _ *testCluster, a *node) {
			a.faults.LoseReplies(maxGroupAttempts)
			a.faults.BeforeWrite(func(string, infra.Txn) { time.Sleep(50 * time.Millisecond) })
			time.AfterFunc(300*time.Millisecond, func() { a.faults.SetDown(true) })
			_, err := a.claimWithin(t, 10*time.Second, req)
			assert.Assert(t, err != nil && !err.Certain)
			a.faults.SetDown(false)
			time.Sleep(time.Minute)
		}, Won},
		{"caller stops waiting while the claim is in flight: released", func(t *testing.T, _ *testCluster, a *node) {
			a.faults.BeforeWrite(func(string, infra.Txn) { time.Sleep(100 * time.Millisecond) })
			_, err := a.claimWithin(t, 10*time.Millisecond, req)
			assert.Assert(t, err != nil && !err.Certain)
			time.Sleep(time.Minute)
		}, Won},
		{"store down between claim and record: recorded once the store is up", func(t *testing.T, _ *testCluster, a *node) {
			won := a.claim(t, req)
			a.faults.SetDown(true)
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			assert.Assert(t, a.Record(ctx, won.Ticket, Answer{Status: 200}) != nil)
			a.faults.SetDown(false)
			time.Sleep(time.Minute)
		}, Recorded},
		{"reply to the record lost", func(t *testing.T, _ *testCluster, a *node) {
			won := a.claim(t, req)
			a.faults.LoseReplies(1)
			assert.NilError(t, a.Record(t.Context(), won.Ticket, Answer{Status: 200}))
		}, Recorded},
		{"unknown outcome recorded", func(t *testing.T, _ *testCluster, a *node) {
			assert.NilError(t, a.Record(t.Context(), a.claim(t, req).Ticket, Answer{}))
		}, Unknown},
		{"a dies holding the claim, before or after sending: remains unknown", func(t *testing.T, b *testCluster, a *node) {
			a.claim(t, req)
			a.stop()
			b.unregister("a")
		}, Unknown},
		{"a dies and its next incarnation registers: remains unknown", func(t *testing.T, b *testCluster, a *node) {
			a.claim(t, req)
			a.stop()
			b.register("a", "2")
		}, Unknown},
		{"a is paused until its lease expires, then resumes and records", func(t *testing.T, b *testCluster, a *node) {
			won := a.claim(t, req)
			b.unregister("a")
			c := b.start("d", 1)
			defer c.stop()
			assert.Equal(t, c.claim(t, req).State, Unknown)
			assert.NilError(t, a.Record(t.Context(), won.Ticket, Answer{Status: 200}))
		}, Recorded},
		{"a certainly did not send and released", func(t *testing.T, _ *testCluster, a *node) {
			assert.NilError(t, a.Release(t.Context(), a.claim(t, req).Ticket))
		}, Won},
		{"released twice, or recorded after release: refused", func(t *testing.T, _ *testCluster, a *node) {
			won := a.claim(t, req)
			assert.NilError(t, a.Release(t.Context(), won.Ticket))
			assert.ErrorIs(t, a.Release(t.Context(), won.Ticket), errNotHeld)
			assert.ErrorIs(t, a.Record(t.Context(), won.Ticket, Answer{Status: 200}), errNotHeld)
		}, Won},
		{"key claimed with another digest", func(t *testing.T, _ *testCluster, a *node) {
			a.claim(t, request("k", 2))
		}, Mismatch},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestCluster(t)
				b.register("a", "1")
				a, c := b.start("a", 1), b.start("c", 1)
				defer c.stop()
				tc.inject(t, b, a)
				assert.Equal(t, c.claim(t, req).State, tc.want)
				a.stop()
			})
		})
	}
}

func (b *testCluster) unregister(id model.EntryID) {
	_, err := b.store.Txn(b.t.Context(), infra.Txn{Then: []infra.Op{infra.Delete(infra.EntryKey(id))}})
	assert.NilError(b.t, err)
}

// A claim fails with certainty (503 not-run to the caller) after its requests to
// the store were lost, and one of them arrives before the caller retries. If it
// created a claim, no call would act on it and every retry would be answered as
// unknown; instead the retry must win.
func TestDelayedCopyOfAReleasedClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t)
		a := b.start("a", 1)
		defer a.stop()
		var delayed infra.Txn
		a.faults.BeforeWrite(func(_ string, txn infra.Txn) { delayed = txn })
		a.faults.LoseRequests(maxGroupAttempts)
		_, err := a.claimWithin(t, time.Minute, request("k", 1))
		assert.Assert(t, err != nil && err.Certain)

		a.faults.BeforeWrite(nil)
		_, lateErr := b.store.Txn(t.Context(), delayed)
		assert.NilError(t, lateErr)
		assert.Assert(t, !b.isUnsettled("k"))
		assert.Equal(t, a.claim(t, request("k", 1)).State, Won)
	})
}

// rejectingStore fails the calls for which txn or get returns an error.
type rejectingStore struct {
	infra.Store
	txn func(infra.Txn) error
	get func() error
}

// Txn implements infra.Store.
func (p *rejectingStore) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	time.Sleep(10 * time.Millisecond)
	if p.txn != nil {
		if err := p.txn(txn); err != nil {
			return infra.TxnResult{}, err
		}
	}
	return p.Store.Txn(ctx, txn)
}

// Get implements infra.Store.
func (p *rejectingStore) Get(ctx context.Context, key string) (infra.KV, infra.Revision, error) {
	if p.get != nil {
		return infra.KV{}, 0, p.get()
	}
	return p.Store.Get(ctx, key)
}

// Two claims of one key in the same transaction would both find the key absent
// and both win. The second must wait until the first is no longer in flight.
func TestOneWriteOfAKeyInFlight(t *testing.T) {
	c := NewLedger(Options{}).commits
	first, second := c.submit(write{key: "k"}), c.submit(write{key: "k"})
	other := c.submit(write{key: "other"})
	group := c.nextGroup()
	assert.Assert(t, len(group) == 2 && group[0] == first && group[1] == other)
	assert.Equal(t, len(c.nextGroup()), 0)
	c.releaseKeys(group)
	group = c.nextGroup()
	assert.Assert(t, len(group) == 1 && group[0] == second)
}

// A caller repeats one key in a loop at another entry VM. The registration of
// the holder must be read from the store a few times, not once per repeat.
func TestRepeatsOfOneKeyCostFewReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t)
		b.register("a", "1")
		a, c := b.start("a", 1), b.start("c", 1)
		defer a.stop()
		defer c.stop()
		a.claim(t, request("k", 1))
		for range 100 {
			assert.Equal(t, c.claim(t, request("k", 1)).State, Running)
			time.Sleep(10 * time.Millisecond)
		}
		assert.Assert(t, c.faults.Calls().Reads <= 5, "%d reads", c.faults.Calls().Reads)
	})
}

// If the store cannot be read to check whether the holder is alive, a repeat must
// be answered as running, not as unknown, which is final.
func TestHolderNotKnownToBeDead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t)
		a := b.start("a", 1)
		defer a.stop()
		c := b.startOn(&rejectingStore{Store: b.store, get: func() error { return infra.Errorf("get", infra.KindUnavailable, "down") }}, "c", 1)
		defer c.stop()
		a.claim(t, request("k", 1))
		assert.Equal(t, c.claim(t, request("k", 1)).State, Running)
	})
}

// The store was restored from a backup and has lost the claim of a request that
// ran. A repeat must not run the request again; it is refused as not-run until
// the store's revision exceeds the highest one known.
func TestRestoredStoreRefusesClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t)
		a := b.start("a", 1)
		defer a.stop()
		known := b.store.Revision() + 4
		a.opts.KnownRevision = func() infra.Revision { return known }
		_, err := a.claimWithin(t, time.Second, request("k", 1))
		assert.ErrorIs(t, err, errRestored)
		assert.Assert(t, err.Certain)
		_, err = a.claimWithin(t, time.Second, request("k", 1))
		assert.ErrorIs(t, err, errRestored)
		assert.Equal(t, a.claim(t, request("k", 1)).State, Won, "the store's revision exceeds the highest known one")
	})
}

// Writes rejected by a rate limit are retried, and a stopping daemon records
// pending outcomes first.
func TestRateLimitAndStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t)
		refused := 0
		a := b.startOn(&rejectingStore{Store: b.store, txn: func(infra.Txn) error {
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

// A write whose condition fails, or that the store rejects, must not fail the
// other writes of its transaction, nor cost a call for each of them.
func TestGroupWithFailedOrRejectedWrite(t *testing.T) {
	const n, odd = 40, 7
	oddKey := storeKey(request(fmt.Sprint("k", odd), 1).Key)
	cases := []struct {
		name     string
		taken    bool // the odd key is claimed already
		refuse   bool // the store rejects transactions with the odd key
		maxCalls int
	}{
		{"condition fails", true, false, 3},
		{"write rejected", false, true, 15},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newTestCluster(t)
				calls := 0
				a := b.startOn(&rejectingStore{Store: b.store, txn: func(txn infra.Txn) error {
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

// A burst of claims must cost a few transactions, not one per claim.
func TestGroupCommitBoundsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t)
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
		assert.Assert(t, a.faults.Calls().Writes <= limit, "%d calls, at most %d", a.faults.Calls().Writes, limit)
		assert.Assert(t, a.faults.Calls().Writes < 20, "%d calls", a.faults.Calls().Writes)
	})
}

// A holder that resumes after its claim may have expired must not send the
// request: the holder of a new claim of the key may be running it by then.
func TestMaySend(t *testing.T) {
	now := time.Now()
	ticket := Ticket{SendBy: now.Add(time.Minute)}
	assert.Assert(t, ticket.MaySend(now))
	assert.Assert(t, !ticket.MaySend(now.Add(time.Minute)))
	suspended := now.Add(2 * time.Minute).Round(0) // the monotonic clock stopped while the VM was suspended
	assert.Assert(t, !ticket.MaySend(suspended))
}

// A daemon that is stopped immediately still receives answers to requests that
// it sent. Recording them raced with Run, which was already waiting for its
// tasks when new ones were started. Record must be refused after Run has ended;
// the outcome stays unknown, as if the VM had been lost.
func TestRecordAfterRunEndsIsRefused(t *testing.T) {
	b := newTestCluster(t)
	n := b.start("e1", 1)
	won := n.claim(t, request("k", 1))
	assert.Equal(t, won.State, Won)
	n.stop()

	err := n.Record(t.Context(), won.Ticket, Answer{Status: 200})

	assert.Assert(t, errors.Is(err, errClosing), "%v", err)
}
