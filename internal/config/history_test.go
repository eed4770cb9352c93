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

// operation is an Apply that expects baseGeneration to be in force, or a Read
// if change is empty.
type operation struct {
	change         model.ChangeID
	baseGeneration uint64
}

// response is the result that the operator received.
type response struct {
	generation uint64
	refused    bool
	unknown    bool
}

// applyModel is the sequential specification that histories are checked
// against. Its state is the list of applied changes, joined by spaces: each
// change occurs at most once, and the nth is generation n.
var applyModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{""} },
	Step: func(state, input, output any) []any {
		return step(state.(string), input.(operation), output.(response))
	},
}).ToModel()

// step returns the states that may follow state if op was answered by got; none
// if the model does not allow that answer.
func step(state string, op operation, got response) []any {
	changes := strings.Fields(state)
	now := uint64(len(changes))
	done := slices.Index(changes, string(op.change)) + 1
	applied := strings.TrimSpace(state + " " + string(op.change))
	possible := done == 0 && op.baseGeneration == now
	switch {
	case op.change == "":
		return unchangedIf(state, got.unknown || got.generation == now)
	case got.unknown && possible:
		return []any{state, applied}
	case got.unknown:
		return []any{state}
	case got.refused:
		return unchangedIf(state, done == 0 && !possible)
	case done > 0:
		return unchangedIf(state, got.generation == uint64(done))
	case possible && got.generation == now+1:
		return []any{applied}
	}
	return nil
}

// unchangedIf returns state alone if ok, and no state otherwise.
func unchangedIf(state string, ok bool) []any {
	if !ok {
		return nil
	}
	return []any{state}
}

// Checks that concurrent calls of Apply and Read are linearizable. Four
// operators apply and read through stores that lose requests and replies, and
// repeat changes whose outcome is unknown. No change may take effect twice, be
// reported as refused while in effect, or lower the generation.
func TestConcurrentAppliesAreLinearizable(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			history := runApplies(t, seed)
			assert.Assert(t, porcupine.CheckOperations(applyModel, history))
		})
	}
}

// runApplies runs the operators and returns the history of their operations.
func runApplies(t *testing.T, seed uint64) []porcupine.Operation {
	const operators, operationsEach = 4, 15
	inner := memstore.New(clockwork.NewFakeClockAt(testTime))
	start := time.Now()
	var mu sync.Mutex
	var history []porcupine.Operation
	var wg sync.WaitGroup
	for operator := range operators {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(operator)))
			faultyStore := faulty.Wrap(inner)
			op := operation{}
			for n := range operationsEach {
				op = nextOperation(random, faultyStore, op, fmt.Sprintf("c%d.%d", operator, n))
				call := time.Since(start).Nanoseconds()
				got := perform(t, faultyStore, op, 10*operator+n)
				end := time.Since(start).Nanoseconds()
				if got.unknown {
					end = math.MaxInt64 // it may take effect at any later time
				}
				mu.Lock()
				history = append(history, porcupine.Operation{ClientId: operator, Input: op, Call: call, Output: got, Return: end})
				mu.Unlock()
				if op.change != "" && got.unknown {
					continue // nextOperation may repeat it
				}
				op.change = ""
				op.baseGeneration = got.generation
			}
		})
	}
	wg.Wait()
	// The operations of one client must not overlap, so an operation without an
	// end gets a client of its own.
	for i := range history {
		if history[i].Return == math.MaxInt64 {
			history[i].ClientId = operators + i
		}
	}
	return history
}

// nextOperation picks the next operation at random: repeat an Apply of unknown
// outcome, apply to the last generation seen, or read. It also sets how many
// requests or replies the store loses meanwhile.
func nextOperation(random *rand.Rand, faultyStore *faulty.Store, last operation, change string) operation {
	faultyStore.LoseReplies(0)
	faultyStore.LoseRequests(0)
	switch random.IntN(4) {
	case 0:
		faultyStore.LoseReplies(random.IntN(5))
	case 1:
		faultyStore.LoseRequests(random.IntN(5))
	}
	if last.change != "" && random.IntN(3) > 0 {
		return last
	}
	if random.IntN(4) == 0 {
		return operation{}
	}
	return operation{change: model.ChangeID(change), baseGeneration: last.baseGeneration}
}

func perform(t *testing.T, faultyStore *faulty.Store, op operation, limit int) response {
	ctx := context.Background()
	if op.change == "" {
		stored, _, err := Read(ctx, faultyStore)
		if err != nil {
			return response{unknown: true}
		}
		return response{generation: generationOf(declarationOf(stored))}
	}
	opts := testOptions(op.change, "ana")
	opts.IfGeneration = &op.baseGeneration
	res, err := Apply(ctx, faultyStore, declarationWithLimit(t, 1+limit), opts)
	var conflict *ConflictError
	switch {
	case err == nil && res.Unchanged:
		return response{unknown: true} // no change was made, which the model does not represent
	case err == nil:
		return response{generation: res.Generation}
	case errors.As(err, &conflict):
		return response{refused: true, generation: conflict.Winner.Generation}
	}
	return response{unknown: true}
}
