// Package contract contains a test suite for each interface to the platform.
// An implementation is tested with one call of RunStore or RunMachines.
package contract

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// callTimeout bounds every call and wait so that a hanging one fails the test.
// It is far longer than a busy machine needs, and no passing case waits for it.
const callTimeout = 20 * time.Second

// Store is an empty store under test and the controls of its service. A control
// of a fault that cannot be injected is nil; the cases that need it are omitted.
type Store struct {
	Client infra.Store // under test
	Rival  infra.Store // another client of the same service, not subject to the injected faults

	Advance func(d time.Duration)    // advances the service's clock
	Compact func(rev infra.Revision) // compacts the history up to rev
	// ExpireLeases makes the service expire leases that are due; nil if it does so by
	// itself.
	ExpireLeases func()
	// OpenWatches returns the number of watches open at the service.
	OpenWatches func() int

	Down         func(on bool) // makes the service unreachable
	Pause        func(on bool) // the service reads calls but does not process them until resumed
	Held         func() int    // number of calls that a pause holds back
	LoseReplies  func(n int)   // loses the replies to the next n writes, which take effect
	LoseRequests func(n int)   // loses the requests of the next n writes, which have no effect
	Garble       func(n int)   // truncates the next n replies
	RateLimit    func()        // from now on only one more read and one more write are accepted
	// CondReadsOnly is true if a transaction reads only keys that its conditions
	// name, and only when they do not hold.
	CondReadsOnly bool
	// TextKeys is true if keys must be valid UTF-8.
	TextKeys bool
	// Resumes is true if a watch continues after a short loss of connection to
	// the service.
	Resumes bool
}

func ctxOf(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
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

// nextBatch returns the watch's next batch. It fails the test if the watch is
// closed or no batch arrives within callTimeout.
func nextBatch(t *testing.T, ch <-chan infra.WatchBatch) infra.WatchBatch {
	t.Helper()
	select {
	case b, ok := <-ch:
		assert.Assert(t, ok, "the watch ended without an error")
		return b
	case <-time.After(callTimeout):
		t.Fatalf("no batch arrived within %v", callTimeout)
		return infra.WatchBatch{}
	}
}

// wantClosed checks that the watch's channel is closed without another batch.
func wantClosed(t *testing.T, ch <-chan infra.WatchBatch) {
	t.Helper()
	select {
	case b, ok := <-ch:
		assert.Assert(t, !ok, "unexpected batch %+v", b)
	case <-time.After(callTimeout):
		t.Fatalf("the watch is still open after %v", callTimeout)
	}
}

// eventually polls cond until it holds, and fails the test with message what
// after callTimeout.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for end := time.Now().Add(callTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatal(what)
}
