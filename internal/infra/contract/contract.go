// Package contract holds one suite of tests for each interface to the
// platform. An adapter is held to its interface by one call of RunStore or
// RunMachines.
package contract

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// deadline ends a call that no case means to end; it is far beyond what a
// busy machine needs, and no case waits for it.
const deadline = 20 * time.Second

// Store is a fresh store under test. The switches of faults that cannot be
// brought about are nil; the cases that need them are then not part of the
// suite.
type Store struct {
	Client infra.Store // under test
	Rival  infra.Store // another way to the same service, without faults

	Advance func(d time.Duration)    // moves the service's clock on
	Compact func(rev infra.Revision) // forgets history up to rev
	// Tick lets the service notice lapsed leases, where it does not do so by
	// itself; nil where it does.
	Tick func()
	// Waiting returns how many watches wait at the service.
	Waiting func() int

	Down         func(on bool) // the service cannot be reached
	Pause        func(on bool) // the service reads calls and does not act on them yet
	Held         func() int    // how many calls a pause holds
	LoseReplies  func(n int)   // of the next n writes, after their effect
	LoseRequests func(n int)   // of the next n writes
	Garble       func(n int)   // the next n replies are cut short
	RateLimit    func()        // from now on one read and one write pass
	// CondReadsOnly is true where a transaction reads only keys that its
	// conditions name, and only where they do not hold.
	CondReadsOnly bool
	// TextKeys is true where keys are text: bytes that are no UTF-8 do not fit.
	TextKeys bool
	// Resumes is true where a watch goes on after the way to the service was
	// down for a moment.
	Resumes bool
}

func ctxOf(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	t.Cleanup(cancel)
	return ctx
}

func put(t *testing.T, s infra.Store, key, value string) infra.Revision {
	t.Helper()
	res, err := s.Txn(ctxOf(t), infra.Txn{Then: []infra.Op{infra.Put(key, []byte(value))}})
	assert.NilError(t, err)
	assert.Assert(t, res.Succeeded)
	return res.Revision
}

func get(t *testing.T, s infra.Store, key string) infra.KV {
	t.Helper()
	kv, _, err := s.Get(ctxOf(t), key)
	assert.NilError(t, err)
	return kv
}

func wantKind(t *testing.T, err error, want infra.Kind) {
	t.Helper()
	assert.Assert(t, infra.IsKind(err, want), "got %v, want kind %q", err, want)
}

// next returns the watch's next batch; an absent one ends the test.
func next(t *testing.T, ch <-chan infra.WatchBatch) infra.WatchBatch {
	t.Helper()
	select {
	case b, ok := <-ch:
		assert.Assert(t, ok, "the watch ended without an error")
		return b
	case <-time.After(deadline):
		t.Fatal("no event")
		return infra.WatchBatch{}
	}
}

// ended checks that the watch is closed.
func ended(t *testing.T, ch <-chan infra.WatchBatch) {
	t.Helper()
	select {
	case b, ok := <-ch:
		assert.Assert(t, !ok, "unexpected %+v", b)
	case <-time.After(deadline):
		t.Fatal("the watch goes on")
	}
}

// eventually waits until cond holds.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(deadline); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatal(what)
}
