package fleetowner

import (
	"context"
	"testing"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
)

// delayingStore doesn't answer the first transaction and keeps it in delayed, to be carried out late.
type delayingStore struct {
	infra.Store
	delayed *infra.Txn
}

func (s *delayingStore) Txn(ctx context.Context, t infra.Txn) (infra.TxnResult, error) {
	if s.delayed == nil {
		s.delayed = &t
		return infra.TxnResult{}, infra.Errorf("txn", infra.KindUnknown, "no answer")
	}
	return s.Store.Txn(ctx, t)
}

// Guards against a completed wave that the next owner takes for a running one: an earlier write of its
// progress got no answer and was carried out after the later one.
func TestALateWriteOfAWavesProgressDoesNotReplaceALaterOne(t *testing.T) {
	store := &delayingStore{Store: memstore.New(clockwork.NewFakeClock())}
	f := New(Options{Store: store, Log: logr.Discard()})
	r := &waveRun{Done: make(map[string]bool)}
	f.saveWave(t.Context(), "1", r)
	r.Done["m1"], r.Completed = true, true
	f.saveWave(t.Context(), "1", r)
	_, err := store.Store.Txn(t.Context(), *store.delayed)
	assert.NilError(t, err)

	next := &waveRun{}
	assert.Assert(t, f.loadWave(t.Context(), "1", next))
	assert.Assert(t, next.Completed)
}
