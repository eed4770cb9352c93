package entry

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/policy/dispatch"
	"github.com/pumicestage/pumicestage/policy/health"
)

const (
	// probeTimeout is the maximum time for a health response. A target that
	// exceeds it three times in a row would be too slow for callers as well.
	probeTimeout = time.Second
	// maxConcurrentProbes bounds the concurrent probes, so that targets that do
	// not respond occupy only a few connections of a small entry VM.
	maxConcurrentProbes = 32
	// maxHealthBytes is the maximum number of bytes read from a health response.
	maxHealthBytes = 64
)

// prober probes the health of targets.
type prober struct {
	transport *http.Transport
	dispatch  *dispatcher
	slots     chan struct{}
	probes    sync.WaitGroup
}

// newProber returns a prober with its own connections, which are reused. Reuse is
// safe here, unlike for callers' requests: the connections carry only health
// responses, and one that arrives late or twice is at worst taken for that of the
// next probe. A new connection for each probe costs five times as much.
func newProber(dial dialFunc, d *dispatcher) *prober {
	return &prober{
		transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     3 * probeTimeout, // longer than the probe interval, so that the connection to a live target stays open
			DisableCompression:  true,
		},
		dispatch: d,
		slots:    make(chan struct{}, maxConcurrentProbes),
	}
}

// startDue starts the probes that are due. Those beyond maxConcurrentProbes are
// skipped until the next call.
func (p *prober) startDue(ctx context.Context) {
	for _, t := range p.dispatch.probesDue() {
		select {
		case p.slots <- struct{}{}:
		default:
			return
		}
		p.probes.Go(func() {
			defer func() { <-p.slots }()
			p.probe(ctx, t)
		})
	}
}

// wait returns when no probe is running.
func (p *prober) wait() { p.probes.Wait() }

// close waits for running probes and closes the connections.
func (p *prober) close() {
	p.wait()
	p.transport.CloseIdleConnections()
}

// probe probes a target and reports the result to the dispatcher, unless ctx
// ended meanwhile.
func (p *prober) probe(ctx context.Context, t dispatch.ProbeTarget) {
	result := p.fetchHealth(ctx, t.Address)
	if ctx.Err() != nil {
		return
	}
	p.dispatch.observeProbe(t.VM, result)
}

// fetchHealth requests the health of the target at address. Anything but a
// well-formed response within probeTimeout counts as no answer.
func (p *prober) fetchHealth(ctx context.Context, address string) health.ProbeResult {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return health.ProbeNoAnswer
	}
	resp, err := p.transport.RoundTrip(req)
	if err != nil {
		return health.ProbeNoAnswer
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHealthBytes))
	switch {
	case err != nil:
		return health.ProbeNoAnswer
	case resp.StatusCode == http.StatusServiceUnavailable:
		return health.ProbeLeaving
	case resp.StatusCode == http.StatusOK && strings.TrimSpace(string(body)) == "ok":
		return health.ProbeOK
	}
	return health.ProbeNoAnswer
}
