package claim

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/faulty"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// slowStore delays each transaction by 2 ms, about as long as the platform's
// store takes.
type slowStore struct{ infra.Store }

// Txn implements infra.Store.
func (s slowStore) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	time.Sleep(2 * time.Millisecond)
	return s.Store.Txn(ctx, txn)
}

// BenchmarkClaims sends claims at a steady rate to one of eight entry VMs and
// records each. It reports the transactions sent to the store per claim (two
// without group commit) and the latency of a claim.
func BenchmarkClaims(b *testing.B) {
	for _, perSecond := range []int{1, 10, 50, 200, 1000} {
		b.Run(fmt.Sprintf("claims/s=%d", perSecond), func(b *testing.B) {
			store := faulty.Wrap(memstore.New(clockwork.NewRealClock()))
			l := NewLedger(Options{
				Store: slowStore{store}, Self: view.EntryRecord{ID: "e0", Incarnation: 1}, Log: logr.Discard(),
				Live: func() []model.EntryID { return make([]model.EntryID, 8) },
			})
			ctx, cancel := context.WithCancel(context.Background())
			var run, callers sync.WaitGroup
			run.Go(func() { l.Run(ctx) })
			var mu sync.Mutex
			took := hdrhistogram.New(1, 60_000_000, 3)
			pace := rate.NewLimiter(rate.Limit(perSecond), 1)
			started, n := time.Now(), 0
			for b.Loop() {
				pace.Wait(ctx)
				n++
				key := fmt.Sprint("k", n)
				callers.Go(func() {
					asked := time.Now()
					r, err := l.Claim(ctx, request(key, 1))
					if err != nil || r.State != Won {
						b.Errorf("claim: %v %v", r.State, err)
						return
					}
					mu.Lock()
					took.RecordValue(time.Since(asked).Microseconds())
					mu.Unlock()
					if err := l.Record(ctx, r.Ticket, Answer{Status: 200, Body: make([]byte, 200)}); err != nil {
						b.Error(err)
					}
				})
			}
			callers.Wait()
			elapsed := time.Since(started).Seconds()
			cancel()
			run.Wait()
			b.ReportMetric(float64(store.Calls().Writes)/float64(n), "writes/claim")
			b.ReportMetric(float64(store.Calls().Writes)/elapsed, "writes/s")
			b.ReportMetric(float64(took.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(took.ValueAtQuantile(99))/1000, "p99-ms")
		})
	}
}
