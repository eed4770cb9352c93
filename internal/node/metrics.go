package node

import (
	"expvar"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/guard"
)

// metrics holds the counters of one entry VM, published by expvar.
type metrics struct {
	engine   *engine.Metrics
	requests *expvar.Map // by method and status
	// keyRefusals counts calls that were refused because of their key, by reason.
	keyRefusals *expvar.Map
	// uncertain counts answers of unknown outcome, by cause.
	uncertain      *expvar.Map
	cutOffRefusals *expvar.Int // refusals because this entry VM was cut off
	delay          *delayMeter
	listeners      *expvar.Map // figures of guard.Listeners, by name

	mu      sync.Mutex
	latency *hdrhistogram.Histogram // of callers' requests, in microseconds
}

// Range of the latency histogram, in microseconds, and its significant digits.
const (
	maxLatencyUS  = int64(30 * time.Second / time.Microsecond)
	latencyDigits = 2
)

var publishOnce sync.Once

func newMetrics(p *delayMeter, budget *guard.Budget) *metrics {
	m := &metrics{delay: p, engine: engine.NewMetrics(), requests: new(expvar.Map).Init(), keyRefusals: new(expvar.Map).Init(), uncertain: new(expvar.Map).Init(), cutOffRefusals: new(expvar.Int), listeners: new(expvar.Map).Init(), latency: hdrhistogram.New(1, maxLatencyUS, latencyDigits)}
	publishOnce.Do(func() {
		expvar.Publish("requests", m.requests)
		expvar.Publish("turned_away_by_key", m.keyRefusals)
		expvar.Publish("uncertain", m.uncertain)
		expvar.Publish("refused_cut_off", m.cutOffRefusals)
		expvar.Publish("listeners", m.listeners)
		expvar.Publish("callers_memory", budget.Metrics())
		expvar.Publish("request_us", expvar.Func(m.latencyQuantiles))
		expvar.Publish("processor_wait_us", expvar.Func(m.schedulingDelays))
		expvar.Publish("starts", m.engine.Starts)
		expvar.Publish("stops", m.engine.Stops)
		expvar.Publish("polls", m.engine.Polls)
		expvar.Publish("store_txns", m.engine.Txns)
		expvar.Publish("vm_orders", m.engine.VMOrders)
		expvar.Publish("limit_shares", m.engine.ShareChanges)
		expvar.Publish("advice", m.engine.Advice)
		expvar.Publish("runs_lost", m.engine.LostRuns)
		expvar.Publish("capacity", m.engine.Capacity)
	})
	return m
}

// recordRequest counts a caller's request and records its latency.
func (m *metrics) recordRequest(method string, status int, took time.Duration) {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
	default:
		method = "other" // callers choose it, and each name is kept for good
	}
	m.requests.Add(method+" "+strconv.Itoa(status), 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	// A latency above the range is recorded as the maximum.
	if err := m.latency.RecordValue(min(took.Microseconds(), maxLatencyUS)); err != nil {
		m.requests.Add("unrecorded", 1)
	}
}

// schedulingDelays returns the maximum and the minimum recent scheduling delay, i.e. how long
// a runnable goroutine waits for the processor, in microseconds; 0 while this entry VM owns
// no cell.
func (m *metrics) schedulingDelays() any {
	return map[string]int64{"longest": m.delay.MaxDelay().Microseconds(), "standing": m.delay.MinDelay().Microseconds()}
}

// latencyQuantiles returns the count and quantiles of callers' requests, in microseconds.
func (m *metrics) latencyQuantiles() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]int64{"count": m.latency.TotalCount()}
	for _, q := range []float64{50, 90, 99, 99.9} {
		out["p"+strconv.FormatFloat(q, 'f', -1, 64)] = m.latency.ValueAtQuantile(q)
	}
	return out
}
