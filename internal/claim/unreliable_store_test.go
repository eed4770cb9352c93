package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// unreliableStore delays transactions, loses requests and replies, and delivers
// some lost requests later. Its faults follow from the seed of random.
type unreliableStore struct {
	infra.Store

	mu       sync.Mutex
	random   *rand.Rand
	severe   bool // every transaction fails, although some take effect
	reliable bool // no more faults
	delayed  sync.WaitGroup
}

func (c *unreliableStore) drawFault() (fate float64, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.reliable {
		return 1, time.Millisecond
	}
	fate = c.random.Float64()
	if c.severe {
		fate *= 0.45
	}
	return fate, time.Duration(1+c.random.IntN(40)) * time.Millisecond
}

func (c *unreliableStore) stopFaults() {
	c.mu.Lock()
	c.reliable = true
	c.mu.Unlock()
}

// Txn implements infra.Store.
func (c *unreliableStore) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	fate, wait := c.drawFault()
	time.Sleep(wait)
	lost := infra.Errorf("txn", infra.KindUnknown, "reply lost")
	switch {
	case fate < 0.15: // takes effect, but the reply is lost
		c.Store.Txn(ctx, txn)
		return infra.TxnResult{}, lost
	case fate < 0.25: // request lost
		return infra.TxnResult{}, lost
	case fate < 0.40: // request delivered much later
		c.delayed.Go(func() {
			time.Sleep(50 * wait)
			c.Store.Txn(context.WithoutCancel(ctx), txn)
		})
		return infra.TxnResult{}, lost
	case fate < 0.50:
		return infra.TxnResult{}, infra.Errorf("txn", infra.KindUnavailable, "refused")
	}
	return c.Store.Txn(ctx, txn)
}

// keyState is the state of one key in the model that porcupine checks histories
// against: the attempt that holds the claim, and whether its outcome is recorded.
type keyState struct {
	holder   string
	recorded bool
}

type keyOp struct {
	call string // "claim", "record" or "release"
	id   string // ID of the attempt
}

type keyResult struct {
	state   State
	holder  string // ID of the attempt whose answer was recorded
	certain bool   // the call failed and certainly has no effect
	unknown bool   // the call failed and may have had, or may still have, an effect
}

// step returns every state that the key may be in after the call, or none if the
// result is not possible in state s.
func step(s keyState, op keyOp, res keyResult) []keyState {
	free := s.holder == ""
	switch {
	case res.certain:
		return []keyState{s}
	case op.call == "claim" && res.unknown:
		if free {
			return []keyState{s, {holder: op.id}}
		}
		return []keyState{s}
	case op.call == "claim":
		return stepClaim(s, op, res)
	case s.holder != op.id || s.recorded:
		return stateIf(res.unknown, s)
	case op.call == "record":
		return append(stateIf(res.unknown, s), keyState{holder: op.id, recorded: true})
	}
	return append(stateIf(res.unknown, s), keyState{})
}

func stepClaim(s keyState, op keyOp, res keyResult) []keyState {
	switch res.state {
	case Won:
		if s.holder == "" {
			return []keyState{{holder: op.id}}
		}
		return nil
	case Recorded:
		return stateIf(s.recorded && s.holder == res.holder, s)
	default:
		return stateIf(s.holder != "" && !s.recorded, s)
	}
}

func stateIf(ok bool, s keyState) []keyState {
	if ok {
		return []keyState{s}
	}
	return nil
}

var claimModel = porcupine.NondeterministicModel{
	Partition: func(ops []porcupine.Operation) [][]porcupine.Operation { return [][]porcupine.Operation{ops} },
	Init:      func() []any { return []any{keyState{}} },
	Step: func(state, input, output any) []any {
		var next []any
		for _, s := range step(state.(keyState), input.(keyOp), output.(keyResult)) {
			next = append(next, s)
		}
		return next
	},
	Equal: func(a, b any) bool { return a == b },
}

// history records the calls on one key, timed by a logical clock.
type history struct {
	clock atomic.Int64

	mu   sync.Mutex
	ops  []porcupine.Operation
	sent []string // IDs of the attempts that sent the request
}

const forever = int64(1) << 60

func (h *history) add(client int, call int64, op keyOp, res keyResult) {
	returned := h.clock.Add(1)
	if res.unknown {
		returned = forever
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{ClientId: client, Input: op, Call: call, Output: res, Return: returned})
}

// Several entry VMs concurrently claim the same keys, while requests to the store
// and replies are lost and some lost requests are delivered late. For each key,
// at most one request may be sent, and the results must be linearizable.
func TestHistoryUnderLostReplies(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkHistory(t, seed) })
		})
	}
}

func checkHistory(t *testing.T, seed uint64) {
	const clients, attempts, keys = 5, 6, 3
	b := newTestCluster(t)
	histories := make([]*history, keys)
	for k := range histories {
		histories[k] = &history{}
	}
	var stores []*unreliableStore
	var clientsDone sync.WaitGroup
	for c := range clients {
		store := &unreliableStore{Store: b.store, severe: seed%3 == 0, random: rand.New(rand.NewPCG(seed, uint64(c)))}
		stores = append(stores, store)
		id := fmt.Sprint("e", c)
		b.register(id, "1")
		n := b.startOn(store, id, 1)
		defer n.stop()
		random := rand.New(rand.NewPCG(seed, uint64(100+c)))
		clientsDone.Go(func() {
			for i := range attempts {
				k := random.IntN(keys)
				histories[k].attempt(n, c, fmt.Sprintf("%s-%d", id, i), fmt.Sprint("key", k), random)
				time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			}
		})
	}
	clientsDone.Wait()
	for _, store := range stores {
		store.stopFaults()
		store.delayed.Wait()
	}
	time.Sleep(time.Minute)
	for k, h := range histories {
		assert.Assert(t, len(h.sent) <= 1, "key %d was sent by %v", k, h.sent)
		assert.Assert(t, !b.isUnsettled(fmt.Sprint("key", k)), "key %d is claimed, but no attempt acts on it", k)
		model := claimModel.ToModel()
		assert.Assert(t, porcupine.CheckOperations(model, h.ops), "key %d: %+v", k, h.ops)
	}
}

// isUnsettled reports whether the key is claimed and neither recorded nor
// released.
func (b *testCluster) isUnsettled(key string) bool {
	kv, _, err := b.store.Get(b.t.Context(), storeKey(request(key, 1).Key))
	assert.NilError(b.t, err)
	if kv.ModRevision == 0 {
		return false
	}
	r, err := decodeRecord(kv.Value)
	assert.NilError(b.t, err)
	return r.Stage == stageClaimed
}

// attempt claims the key. If it wins, it sends the request and records the
// outcome or, in one of three cases, releases the claim without sending.
func (h *history) attempt(n *node, client int, id, key string, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(20+random.IntN(400))*time.Millisecond)
	defer cancel()
	call := h.clock.Add(1)
	res, err := n.Claim(ctx, request(key, 1))
	if err != nil {
		certain := err.(*Error).Certain
		h.add(client, call, keyOp{"claim", id}, keyResult{certain: certain, unknown: !certain})
		if !certain { // the claim is released in the background, at some later time
			h.add(client, call, keyOp{"release", id}, keyResult{unknown: true})
		}
		return
	}
	h.add(client, call, keyOp{"claim", id}, keyResult{state: res.State, holder: string(res.Answer.Body)})
	if res.State != Won {
		return
	}
	if random.IntN(3) == 0 {
		h.finish(client, keyOp{"release", id}, func() error { return n.Release(ctx, res.Ticket) })
		return
	}
	h.mu.Lock()
	h.sent = append(h.sent, id)
	h.mu.Unlock()
	h.finish(client, keyOp{"record", id}, func() error {
		return n.Record(ctx, res.Ticket, Answer{Status: 200, Body: []byte(id), Kept: true})
	})
}

func (h *history) finish(client int, op keyOp, f func() error) {
	call := h.clock.Add(1)
	err := f()
	h.add(client, call, op, keyResult{unknown: err != nil})
}
