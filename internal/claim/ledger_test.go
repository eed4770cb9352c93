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

// bench is a store with some entry VMs' ledgers, each with its own way to it.
type bench struct {
	t     *testing.T
	store *memstore.Store
	live  func() []model.EntryID // nil: each ledger is alone

	clocks func() (earliest, latest time.Time) // nil: all clocks agree
}

func newBench(t *testing.T) *bench {
	return &bench{t: t, store: memstore.New(clockwork.NewRealClock())}
}

// node is one entry VM: a ledger and the switches of its way to the store.
type node struct {
	*Ledger
	way  *faulty.Store
	stop func()
}

func (b *bench) start(id model.EntryID, incarnation uint64) *node {
	way := faulty.Wrap(b.store)
	n := b.startOn(way, string(id), incarnation)
	n.way = way
	return n
}

func (b *bench) startOn(way infra.Store, id string, incarnation uint64) *node {
	self := view.EntryRecord{ID: model.EntryID(id), Incarnation: incarnation}
	l := NewLedger(Options{Store: way, Self: self, Live: b.live, Clocks: b.clocks, Log: logr.Discard()})
	ctx, cancel := context.WithCancel(b.t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		l.Run(ctx)
	}()
	return &node{Ledger: l, stop: func() { cancel(); <-ended }}
}

// register writes the entry VM's record as its daemon would.
func (b *bench) register(id, incarnation string) {
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
		b := newBench(t)
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
