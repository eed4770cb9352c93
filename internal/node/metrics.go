package node

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pumicestage/pumicestage/internal/engine"
)

// metrics are the counters of one entry VM, published by expvar.
type metrics struct {
	engine   *engine.Metrics
	requests *expvar.Map // by method and status
	// turnedAway counts calls turned away by their keys, by reason.
	turnedAway *expvar.Map
	pressure   *pressure

	mu      sync.Mutex
	latency *hdrhistogram.Histogram // of callers' requests, in microseconds
}

// Range of the latency histogram.
const (
	latencyMax    = int64(30 * time.Second / time.Microsecond)
	latencyDigits = 2
)

var publish sync.Once

func newMetrics(p *pressure) *metrics {
	m := &metrics{pressure: p, engine: engine.NewMetrics(), requests: new(expvar.Map).Init(), turnedAway: new(expvar.Map).Init(), latency: hdrhistogram.New(1, latencyMax, latencyDigits)}
	publish.Do(func() {
		expvar.Publish("requests", m.requests)
		expvar.Publish("turned_away_by_key", m.turnedAway)
		expvar.Publish("request_us", expvar.Func(m.quantiles))
		expvar.Publish("processor_wait_us", expvar.Func(m.waits))
		expvar.Publish("starts", m.engine.Starts)
		expvar.Publish("stops", m.engine.Stops)
		expvar.Publish("polls", m.engine.Polls)
		expvar.Publish("store_txns", m.engine.Txns)
		expvar.Publish("vm_orders", m.engine.VMOrders)
		expvar.Publish("limit_shares", m.engine.ShareChanges)
		expvar.Publish("runs_lost", m.engine.LostRuns)
	})
	return m
}

func (m *metrics) request(method string, status int, took time.Duration) {
	m.requests.Add(method+" "+strconv.Itoa(status), 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	// A request beyond the range counts as its end.
	if err := m.latency.RecordValue(min(took.Microseconds(), latencyMax)); err != nil {
		m.requests.Add("unrecorded", 1)
	}
}

// waits tells how long what is ready to run waits for the processor, in microseconds; 0
// where this entry VM has no cell.
func (m *metrics) waits() any {
	return map[string]int64{"longest": m.pressure.Behind().Microseconds(), "standing": m.pressure.Standing().Microseconds()}
}

func (m *metrics) quantiles() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]int64{"count": m.latency.TotalCount()}
	for _, q := range []float64{50, 90, 99, 99.9} {
		out["p"+strconv.FormatFloat(q, 'f', -1, 64)] = m.latency.ValueAtQuantile(q)
	}
	return out
}
