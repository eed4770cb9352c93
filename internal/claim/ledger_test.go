package claim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/faulty"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// testCluster is a store shared by the ledgers of several entry VMs.
type testCluster struct {
	t     *testing.T
	store *memstore.Store
	live  func() []model.EntryID // nil if each ledger is the only one

	clocks func() (earliest, latest time.Time) // nil if all clocks agree
}

func newTestCluster(t *testing.T) *testCluster {
	return &testCluster{t: t, store: memstore.New(clockwork.NewRealClock())}
}

// node is one entry VM: its ledger and, in faults, the store wrapper that injects
// faults into its calls.
type node struct {
	*Ledger
	faults *faulty.Store
	stop   func()
}

func (b *testCluster) start(id model.EntryID, incarnation uint64) *node {
	store := faulty.Wrap(b.store)
	n := b.startOn(store, string(id), incarnation)
	n.faults = store
	return n
}

// startOn runs a ledger that uses the given connection to the store.
func (b *testCluster) startOn(store infra.Store, id string, incarnation uint64) *node {
	self := view.EntryRecord{ID: model.EntryID(id), Incarnation: incarnation}
	l := NewLedger(Options{Store: store, Self: self, Live: b.live, Clocks: b.clocks, Log: logr.Discard()})
	ctx, cancel := context.WithCancel(b.t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.Run(ctx)
	}()
	return &node{Ledger: l, stop: func() { cancel(); <-ended }}
}

// register writes the registration of an entry VM, as its daemon would.
func (b *testCluster) register(id, incarnation string) {
	_, err := b.store.Txn(b.t.Context(), infra.Txn{Then: []infra.Op{
		infra.Put(infra.EntryKey(model.EntryID(id)), []byte(`{"ID":"`+id+`","Incarnation":`+incarnation+`}`)),
	}})
	assert.NilError(b.t, err)
}

func request(key string, body byte) Request {
	return Request{Key: Key{Service: "incentives", Caller: "xela", Key: key}, Digest: [32]byte{body}, Remember: 24 * time.Hour}
}

func (n *node) claim(t *testing.T, req Request) Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	r, err := n.Claim(ctx, req)
	assert.NilError(t, err)
	return r
}

func TestClaimOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestCluster(t)
		a, c := b.start("a", 1), b.start("c", 1)
		defer a.stop()
		defer c.stop()
		b.register("a", "1")

		won := a.claim(t, request("k", 1))
		assert.Equal(t, won.State, Won)
		assert.Equal(t, c.claim(t, request("k", 1)).State, Running)
		assert.Equal(t, c.claim(t, request("k", 2)).State, Mismatch)
		assert.Equal(t, c.claim(t, request("other", 1)).State, Won)

		assert.NilError(t, a.Record(t.Context(), won.Ticket, Answer{Status: 201, Body: []byte("paid"), Kept: true}))
		got := c.claim(t, request("k", 1))
		assert.Equal(t, got.State, Recorded)
		assert.Equal(t, string(got.Answer.Body), "paid")
	})
}
