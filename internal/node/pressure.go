package node

import (
	"context"
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/overload"
)

// pressure measures the scheduling delay of this process while it has a cell: how long what
// is ready to run waits for the processor.
type pressure struct {
	clock  engine.Clock
	follow shared

	mu    sync.Mutex
	meter overload.Meter
}

func newPressure(clock engine.Clock) *pressure {
	p := &pressure{clock: clock}
	p.follow.begin, p.follow.run = func() {}, p.run
	return p
}

// MaxDelay implements engine.DelayMeter.
func (p *pressure) MaxDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.meter.MaxDelay(p.clock.Now())
}

// MinDelay implements engine.DelayMeter.
func (p *pressure) MinDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.meter.MinDelay(p.clock.Now())
}

func (p *pressure) run(ctx context.Context) {
	for sleep.For(ctx, overload.ProbeInterval) {
		p.probe()
	}
}

// probe waits in line once. The runtime runs the newest goroutine next and lets the others
// wait; the second one here takes that place, so that the first waits as answers do.
func (p *pressure) probe() {
	ran := make(chan struct{})
	p.mu.Lock()
	p.meter.Begin(p.clock.Now())
	p.mu.Unlock()
	go func() {
		p.mu.Lock()
		p.meter.End(p.clock.Now())
		p.mu.Unlock()
		close(ran)
	}()
	go func() {}()
	<-ran
}
