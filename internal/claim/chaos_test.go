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

// chaos is a way to a store that answers late, loses requests and replies, and
// delivers lost requests later, by a seed.
type chaos struct {
	infra.Store

	mu     sync.Mutex
	random *rand.Rand
	storm  bool // hardly a call gets its answer
	calm   bool
	late   sync.WaitGroup
}

func (c *chaos) draw() (fate float64, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calm {
		return 1, time.Millisecond
	}
	fate = c.random.Float64()
	if c.storm {
		fate *= 0.45
	}
	return fate, time.Duration(1+c.random.IntN(40)) * time.Millisecond
}

func (c *chaos) settle() {
	c.mu.Lock()
	c.calm = true
	c.mu.Unlock()
}

// Txn implements infra.Store.
func (c *chaos) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	fate, wait := c.draw()
	time.Sleep(wait)
	lost := infra.Errorf("txn", infra.KindUnknown, "reply lost")
	switch {
	case fate < 0.15: // took effect, reply lost
		c.Store.Txn(ctx, txn)
		return infra.TxnResult{}, lost
	case fate < 0.25: // never arrives
		return infra.TxnResult{}, lost
	case fate < 0.40: // arrives much later
		c.late.Go(func() {
			time.Sleep(50 * wait)
			c.Store.Txn(context.WithoutCancel(ctx), txn)
		})
		return infra.TxnResult{}, lost
	case fate < 0.50:
		return infra.TxnResult{}, infra.Errorf("txn", infra.KindUnavailable, "refused")
	}
	return c.Store.Txn(ctx, txn)
}

// The history of one key, as porcupine checks it. Its state is who holds the
// claim and whether its outcome is recorded.
type keyState struct {
	holder   string
	recorded bool
}

type keyOp struct {
	call string // "claim", "record", "release"
	id   string // of the attempt
}

type keyResult struct {
	state   State
	holder  string // whose answer was recorded
	certain bool   // a failed call that certainly has no effect
	unknown bool   // a failed call that may have had, or may still have, an effect
}

// step returns every state the key may be in after the call; none where the
// result was wrong.
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
		return keepIf(res.unknown, s)
	case op.call == "record":
		return append(keepIf(res.unknown, s), keyState{holder: op.id, recorded: true})
	}
	return append(keepIf(res.unknown, s), keyState{})
}

func stepClaim(s keyState, op keyOp, res keyResult) []keyState {
	switch res.state {
	case Won:
		if s.holder == "" {
			return []keyState{{holder: op.id}}
		}
		return nil
	case Recorded:
		return keepIf(s.recorded && s.holder == res.holder, s)
	default:
		return keepIf(s.holder != "" && !s.recorded, s)
	}
}

func keepIf(ok bool, s keyState) []keyState {
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

// history records calls on one key by a logical clock.
type history struct {
	clock atomic.Int64

	mu   sync.Mutex
	ops  []porcupine.Operation
	runs []string // attempts that sent the request
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

// What callers see: several entry VMs get the same key at once, again and
// again, while the way to the store loses requests and replies and delivers
// lost requests late. At most one request is ever sent, and everything they
// are told fits one order of events.
func TestHistoryUnderLostReplies(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkHistory(t, seed) })
		})
	}
}

func checkHistory(t *testing.T, seed uint64) {
	const clients, attempts, keys = 5, 6, 3
	b := newBench(t)
	histories := make([]*history, keys)
	for k := range histories {
		histories[k] = &history{}
	}
	var ways []*chaos
	var clientsDone sync.WaitGroup
	for c := range clients {
		way := &chaos{Store: b.store, storm: seed%3 == 0, random: rand.New(rand.NewPCG(seed, uint64(c)))}
		ways = append(ways, way)
		id := fmt.Sprint("e", c)
		b.register(id, "1")
		n := b.startOn(way, id, 1)
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
	for _, way := range ways {
		way.settle()
		way.late.Wait()
	}
	time.Sleep(time.Minute)
	for k, h := range histories {
		assert.Assert(t, len(h.runs) <= 1, "key %d was sent by %v", k, h.runs)
		assert.Assert(t, !b.stands(fmt.Sprint("key", k)), "key %d is held by nobody who acts", k)
		model := claimModel.ToModel()
		assert.Assert(t, porcupine.CheckOperations(model, h.ops), "key %d: %+v", k, h.ops)
	}
}

// stands reports whether the key is claimed and neither recorded nor released.
func (b *bench) stands(key string) bool {
	kv, _, err := b.store.Get(b.t.Context(), storeKey(request(key, 1).Key))
	assert.NilError(b.t, err)
	if kv.ModRevision == 0 {
		return false
	}
	r, err := decodeRecord(kv.Value)
	assert.NilError(b.t, err)
	return r.Stage == stageClaimed
}

// attempt claims the key, and where it wins sends the request and records it,
// or now and then finds that it cannot send and releases.
func (h *history) attempt(n *node, client int, id, key string, random *rand.Rand) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(20+random.IntN(400))*time.Millisecond)
	defer cancel()
	call := h.clock.Add(1)
	res, err := n.Claim(ctx, request(key, 1))
	if err != nil {
		certain := err.(*Error).Certain
		h.add(client, call, keyOp{"claim", id}, keyResult{certain: certain, unknown: !certain})
		if !certain { // it is taken back in the background, at some time
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
	h.runs = append(h.runs, id)
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
