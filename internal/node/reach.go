package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/ownership"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/cutoff"
)

// Pace of the looks that tell whether this entry VM is cut off.
const (
	// probeEvery separates looks. A look is one stale read of the store, which costs a
	// tenth of a call; the balancer itself asks only once a second.
	probeEvery = 250 * time.Millisecond
	// probeTimeout ends each question. A slow store was seen to take a quarter of a
	// second, an entry VM with a slowed processor less.
	probeTimeout = 400 * time.Millisecond
	// probePeers is how many entry VMs of other zones are asked once the store is
	// silent: one of them may be restarting.
	probePeers = 3
)

// reach knows whether this entry VM is cut off from the rest.
type reach struct {
	store func(ctx context.Context) error
	// elsewhere returns owners of duties in other zones.
	elsewhere func() []ownership.Record
	ping      func(ctx context.Context, address string) bool
	// turned is called when this entry VM is cut off, and when no longer.
	turned func(cutOff bool)
	log    logr.Logger

	cutOff atomic.Bool
}

func (r *reach) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.look(ctx)
		sleep.For(ctx, probeEvery)
	}
}

func (r *reach) look(ctx context.Context) {
	p := r.probe(ctx)
	if ctx.Err() != nil || p.CutOff() == r.cutOff.Load() {
		return
	}
	r.cutOff.Store(p.CutOff())
	r.log.Info("cut off from other zones", "now", p.CutOff(), "store answers", p.Store, "entry VMs asked", p.Asked, "answered", p.Answered)
	r.turned(p.CutOff())
}

func (r *reach) probe(ctx context.Context) cutoff.Probe {
	call, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if err := r.store(call); err == nil {
		return cutoff.Probe{Store: true}
	}
	call, cancel = context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var answered atomic.Int64
	var asks sync.WaitGroup
	peers := r.elsewhere()
	peers = peers[:min(len(peers), probePeers)]
	for _, p := range peers {
		asks.Go(func() {
			if r.ping(call, p.Address) {
				answered.Add(1)
			}
		})
	}
	asks.Wait()
	return cutoff.Probe{Asked: len(peers), Answered: int(answered.Load())}
}
