package config

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra/faulty"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/policy/model"
)

// operation is an apply onto a generation, or a read where change is empty.
type operation struct {
	change model.ChangeID
	onto   uint64
}

// answer is what the operator was told.
type answer struct {
	generation uint64
	refused    bool
	unknown    bool
}

// generations is the specification: a list of changes of which each is in at
// most once, the nth being generation n. The state is the list, joined.
var generations = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		return step(state.(string), input.(operation), output.(answer))
	},
}).ToModel()

func step(state string, op operation, got answer) []any {
	changes := strings.Fields(state)
	now := uint64(len(changes))
	done := slices.Index(changes, string(op.change)) + 1
	applied := strings.TrimSpace(state + " " + string(op.change))
	possible := done == 0 && op.onto == now
	switch {
	case op.change == "":
		return keep(state, got.unknown || got.generation == now)
	case got.unknown && possible:
		return []any{state, applied}
	case got.unknown:
		return []any{state}
	case got.refused:
		return keep(state, done == 0 && !possible)
	case done > 0:
		return keep(state, got.generation == uint64(done))
	case possible && got.generation == now+1:
		return []any{applied}
	}
	return nil
}

func keep(state string, ok bool) []any {
	if !ok {
		return nil
	}
	return []any{state}
}

// Four operators apply at once from entry VMs whose way to the store loses
// requests and replies, repeat what they were not told the outcome of, and
// read. What they were told must fit one order of events: no change twice, none
// called refused that is in effect, no generation that goes back.
func TestHistoriesOfConcurrentApplies(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			history := runApplies(t, seed)
			assert.Assert(t, porcupine.CheckOperations(generations, history))
		})
	}
}

func runApplies(t *testing.T, seed uint64) []porcupine.Operation {
	const operators, each = 4, 15
	inner := memstore.New(clockwork.NewFakeClockAt(testTime))
	start := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	for who := range operators {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(who)))
			way := faulty.Wrap(inner)
			op := operation{}
			for n := range each {
				op = next(random, way, op, fmt.Sprintf("c%d.%d", who, n))
				call := time.Since(start).Nanoseconds()
				got := perform(t, way, op, 10*who+n)
				end := time.Since(start).Nanoseconds()
				if got.unknown {
					end = math.MaxInt64 // it may take effect at any later time
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: who, Input: op, Call: call, Output: got, Return: end})
				mu.Unlock()
				if op.change != "" && got.unknown {
					continue // next repeats it
				}
				op.change = ""
				op.onto = got.generation
			}
		})
	}
	wg.Wait()
	// An operation without an end must not share its client with later ones.
	for i := range history {
		if history[i].Return == math.MaxInt64 {
			history[i].ClientId = operators + i
		}
	}
	return history
}

// next draws what the operator does: repeat an apply of unknown outcome, apply
// onto the generation seen last, or read; and what the way will lose of it.
func next(random *rand.Rand, way *faulty.Store, last operation, change string) operation {
	way.LoseReplies(0)
	way.LoseRequests(0)
	switch random.IntN(4) {
	case 0:
		way.LoseReplies(random.IntN(5))
	case 1:
		way.LoseRequests(random.IntN(5))
	}
	if last.change != "" && random.IntN(3) > 0 {
		return last
	}
	if random.IntN(4) == 0 {
		return operation{}
	}
	return operation{change: model.ChangeID(change), onto: last.onto}
}

func perform(t *testing.T, way *faulty.Store, op operation, limit int) answer {
	ctx := context.Background()
	if op.change == "" {
		stored, _, err := Read(ctx, way)
		if err != nil {
			return answer{unknown: true}
		}
		return answer{generation: generation(declarationOf(stored))}
	}
	opts := options(op.change, "ana")
	opts.IfGeneration = &op.onto
	res, err := Apply(ctx, way, limited(t, 1+limit), opts)
	var conflict *ConflictError
	switch {
	case err == nil && res.Unchanged:
		return answer{unknown: true} // no change was made; the model has no word for it
	case err == nil:
		return answer{generation: res.Generation}
	case errors.As(err, &conflict):
		return answer{refused: true, generation: conflict.Winner.Generation}
	}
	return answer{unknown: true}
}
