package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// probeEvery is how often a VM is asked for its health: a budget is then
	// counted against what was so a second ago.
	probeEvery = time.Second
	// probeTimeout is above any healthy answer and below probeEvery, so that
	// rounds do not pile up behind a VM that hangs.
	probeTimeout = 800 * time.Millisecond
	// probeStale is after how long an answer no longer counts: two missed
	// rounds. An unknown VM counts as down.
	probeStale = 3 * time.Second
)

// prober asks VMs for their health on behalf of budgets and waves.
type prober struct {
	view   *view.Holder
	client *http.Client

	mu   sync.Mutex
	seen map[model.VMID]probed
}

type probed struct {
	health model.Health
	at     time.Time
}

func newProber(v *view.Holder, dial DialFunc) *prober {
	transport := &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1}
	return &prober{
		view:   v,
		client: &http.Client{Transport: transport, Timeout: probeTimeout},
		seen:   make(map[model.VMID]probed),
	}
}

// Health returns what is known of a VM first hand.
func (p *prober) Health(id model.VMID) model.Health {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.seen[id]
	if !ok || time.Since(s.at) > probeStale {
		return model.HealthUnknown
	}
	return s.health
}

func (p *prober) run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	for ctx.Err() == nil {
		p.round(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(probeEvery):
		}
	}
}

func (p *prober) round(ctx context.Context) {
	var asked sync.WaitGroup
	for id, vm := range p.view.Load().VMs {
		asked.Go(func() {
			health := p.ask(ctx, vm.Address)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.seen[id] = probed{health, time.Now()}
		})
	}
	asked.Wait()
}

// ask returns the health a VM's target answers. A target that is leaving is
// not available, but it is not broken either: it counts as down all the same,
// as a budget counts what can serve.
func (p *prober) ask(ctx context.Context, address string) model.Health {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return model.HealthDown
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return model.HealthDown
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return model.HealthDown
	}
	return model.HealthHealthy
}
