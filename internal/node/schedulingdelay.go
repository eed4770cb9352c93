package node

import (
	"context"
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/overload"
)

// delayMeter measures this process's scheduling delay while it owns a cell: how long a
// runnable goroutine waits for the processor.
type delayMeter struct {
	clock   engine.Clock
	probing sharedTask

	mu    sync.Mutex
	meter overload.Meter
}

func newDelayMeter(clock engine.Clock) *delayMeter {
	p := &delayMeter{clock: clock}
	p.probing.reset, p.probing.run = func() {}, p.run
	return p
}

// MaxDelay implements engine.DelayMeter.
func (p *delayMeter) MaxDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.meter.MaxDelay(p.clock.Now())
}

// MinDelay implements engine.DelayMeter.
func (p *delayMeter) MinDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.meter.MinDelay(p.clock.Now())
}

func (p *delayMeter) run(ctx context.Context) {
	for sleep.For(ctx, overload.ProbeInterval) {
		p.probe()
	}
}

// probe measures one goroutine's wait for the processor. The runtime runs the goroutine that
// was started last before all others that are runnable. The second one here takes that
// place, so that the first waits at the end of the run queue, as answers to calls do.
func (p *delayMeter) probe() {
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
