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
	// probeTimeout is how long a health answer may take. A target that is
	// slower three times in a row is no use to callers either.
	probeTimeout = time.Second
	// probesAtOnce bounds the probes under way, so that targets that do not
	// answer cost a small entry VM no more than some connections.
	probesAtOnce = 32
	// maxHealthBytes is all that is read of a health answer.
	maxHealthBytes = 64
)

// prober asks targets for their health.
type prober struct {
	transport *http.Transport
	dispatch  *dispatcher
	running   chan struct{}
	tasks     sync.WaitGroup
}

// newProber makes a prober with connections of its own, which it uses again:
// they carry health answers only, and one that comes late or twice is off by
// one probe at worst. A connection for each probe costs five times as much.
func newProber(dial dialFunc, d *dispatcher) *prober {
	return &prober{
		transport: &http.Transport{
			DialContext:         dial,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     3 * probeTimeout, // beyond the interval, so that a live target keeps its one
			DisableCompression:  true,
		},
		dispatch: d,
		running:  make(chan struct{}, probesAtOnce),
	}
}

// step starts the probes that are due. Those beyond the bound are dropped; the
// next interval brings them again.
func (p *prober) step(ctx context.Context) {
	for _, t := range p.dispatch.probesDue() {
		select {
		case p.running <- struct{}{}:
		default:
			return
		}
		p.tasks.Go(func() {
			defer func() { <-p.running }()
			p.probe(ctx, t)
		})
	}
}

// wait returns when no probe is under way.
func (p *prober) wait() { p.tasks.Wait() }

func (p *prober) close() {
	p.wait()
	p.transport.CloseIdleConnections()
}

func (p *prober) probe(ctx context.Context, t dispatch.ProbeTarget) {
	answer := p.ask(ctx, t.Address)
	if ctx.Err() != nil {
		return
	}
	p.dispatch.probed(t.VM, answer)
}

func (p *prober) ask(ctx context.Context, address string) health.ProbeResult {
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
