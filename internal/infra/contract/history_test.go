package contract_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/gateway"
	"github.com/pumicestage/pumicestage/internal/infra/standin"
)

// Size of the history: large enough that several clients contend for each key
// under each fault, small enough that the check takes well under a second.
const (
	historyClients = 4
	historyOps     = 40
	historySeeds   = 8
	historyTimeout = 100 * time.Millisecond
)

var historyKeys = [2]string{"pair/a", "pair/b"}

// pair is the modelled state: the values of the two historyKeys.
type pair [2]string

// operation is one call: a read of both keys, or a conditional write of one or
// both.
type operation struct {
	read   bool
	writes [2]bool
	expect pair // the values that the conditions require
	value  string
}

// outcome is the result that the client was given.
type outcome struct {
	kind infra.Kind // 0: success
	seen pair       // result of a read
}

// pairModel defines which outcomes are correct. A write whose outcome is unknown
// may or may not have taken effect; every other outcome is certain.
var pairModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{pair{}} },
	Step: func(state, in, out any) []any { return stepPair(state.(pair), in.(operation), out.(outcome)) },
}

func stepPair(state pair, in operation, out outcome) []any {
	if in.read {
		if out.seen == state {
			return []any{state}
		}
		return nil
	}
	holds, after := in.apply(state)
	switch {
	case out.kind == infra.KindUnknown && holds:
		return []any{state, after}
	case out.kind == infra.KindUnknown, out.kind == infra.KindConflict && !holds:
		return []any{state}
	case out.kind == 0 && holds:
		return []any{after}
	}
	return nil
}

func (in operation) apply(state pair) (bool, pair) {
	after := state
	for i := range state {
		if !in.writes[i] {
			continue
		}
		if state[i] != in.expect[i] {
			return false, state
		}
		after[i] = in.value
	}
	return true, after
}

// Several clients write two keys, singly or together, while requests and replies
// are lost, truncated or delayed past the timeout, or the service is down. The
// outcomes reported must be linearizable: a conflict reported for a write that
// others saw, or a success for one that nobody can have seen, would let two
// reconcilers act on one VM.
func TestCommitHistoryUnderFaults(t *testing.T) {
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			h := newHistory(t)
			h.run(seed)
			result, _ := porcupine.CheckOperationsVerbose(pairModel.ToModel(), h.ops, 30*time.Second)
			assert.Equal(t, result, porcupine.Ok)
			assert.Assert(t, h.counts[0] > 0 && h.counts[infra.KindUnknown] > 0, "outcomes %v", h.counts)
		})
	}
}

type history struct {
	t         *testing.T
	srv       *standin.Server
	url       string
	startedAt time.Time

	mu     sync.Mutex
	ops    []porcupine.Operation
	counts map[infra.Kind]int
}

func newHistory(t *testing.T) *history {
	srv, url := serve(t, clockwork.NewRealClock())
	return &history{t: t, srv: srv, url: url, startedAt: time.Now(), counts: make(map[infra.Kind]int)}
}

func (h *history) run(seed uint64) {
	var wg sync.WaitGroup
	for id := range historyClients {
		wg.Go(func() { h.client(id, rand.New(rand.NewPCG(seed, uint64(id)))) })
	}
	wg.Wait()
}

func (h *history) client(id int, rnd *rand.Rand) {
	zone := fmt.Sprintf("zone-%d", id)
	s := gateway.New(gateway.Options{
		Endpoints: []string{h.url}, Zone: zone, Timeout: historyTimeout, HTTPClient: h.srv.Network.Client(zone),
	})
	for n := range historyOps {
		h.srv.Faults.Set(zone, standin.Fault{})
		state, revs, ok := h.read(id, s)
		if !ok {
			continue
		}
		h.srv.Faults.Set(zone, randomFault(rnd))
		in := operation{expect: state, value: fmt.Sprintf("%d.%d", id, n)}
		in.writes = [][2]bool{{true, false}, {false, true}, {true, true}}[rnd.IntN(3)]
		h.change(id, s, in, revs)
	}
	h.srv.Faults.Set(zone, standin.Fault{})
}

// randomFault returns the fault injected into the next write and its retries.
func randomFault(rnd *rand.Rand) standin.Fault {
	switch rnd.IntN(12) {
	case 0, 1, 2:
		return standin.Fault{LoseReplies: 1}
	case 3:
		return standin.Fault{LoseReplies: 3}
	case 4, 5:
		return standin.Fault{LoseRequests: 1}
	case 6:
		return standin.Fault{Garble: 1}
	case 7:
		return standin.Fault{Down: true}
	case 8:
		return standin.Fault{Slow: historyTimeout * 3 / 2}
	}
	return standin.Fault{}
}

func (h *history) read(id int, s infra.Store) (pair, [2]infra.Revision, bool) {
	call := h.now()
	kvs, _, err := s.Range(context.Background(), "pair/")
	if err != nil {
		return pair{}, [2]infra.Revision{}, false
	}
	var state pair
	var revs [2]infra.Revision
	for _, kv := range kvs {
		for i, key := range historyKeys {
			if kv.Key == key {
				state[i], revs[i] = string(kv.Value), kv.ModRevision
			}
		}
	}
	h.record(porcupine.Operation{ClientId: id, Input: operation{read: true}, Call: call, Output: outcome{seen: state}, Return: h.now()})
	return state, revs, true
}

func (h *history) change(id int, s infra.Store, in operation, revs [2]infra.Revision) {
	var txn infra.Txn
	for i, key := range historyKeys {
		if in.writes[i] {
			txn.If = append(txn.If, infra.Cond{Key: key, ModRevision: revs[i]})
			txn.Then = append(txn.Then, infra.Put(key, []byte(in.value)))
		}
	}
	call := h.now()
	_, err := infra.Commit(context.Background(), s, txn)
	kind := infra.KindOf(err)
	if kind == infra.KindUnavailable {
		return // certainly had no effect, so it does not constrain the order
	}
	op := porcupine.Operation{ClientId: id, Input: in, Call: call, Output: outcome{kind: kind}, Return: h.now()}
	if kind == infra.KindUnknown {
		op.Return = math.MaxInt64 // may take effect at any later time
	}
	h.record(op)
}

func (h *history) now() int64 { return int64(time.Since(h.startedAt)) }

func (h *history) record(op porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
	if !op.Input.(operation).read {
		h.counts[op.Output.(outcome).kind]++
	}
}
