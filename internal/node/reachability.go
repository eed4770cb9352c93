package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/members"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/cutoff"
)

// Times of the probes that tell whether this entry VM is cut off.
const (
	// probeInterval separates probes. A probe is one stale read of the store, which costs
	// a tenth of a consistent one; the balancer probes readiness only once a second.
	probeInterval = 250 * time.Millisecond
	// probeTimeout ends a call of a probe. A slow store may take 250 ms to answer, an
	// entry VM with a throttled processor less.
	probeTimeout = 400 * time.Millisecond
	// peerListMaxAge is the age at which the list of entry VMs is read again. VMs are
	// replaced a few times a day, and two of each zone are pinged.
	peerListMaxAge = 10 * time.Second
)

// staleReader reads the store without linearizability, at a tenth of the cost.
type staleReader interface {
	// Ping returns nil if the store answers.
	Ping(ctx context.Context) error
	// Peek returns the first page of keys under the prefix.
	Peek(ctx context.Context, prefix string) ([]infra.KV, error)
}

// reachability tracks whether this entry VM reaches the store, and whether it is cut off from
// the store and all other zones.
type reachability struct {
	zone  string // this entry VM's own
	store staleReader
	ping  func(ctx context.Context, address string) bool
	// onCutOffChange is called whenever cutOff changes. While this entry VM is cut off,
	// connections are closed after their current answer: the balancer sends the caller's
	// next connection to an entry VM that may be able to serve it.
	onCutOffChange func(cutOff bool)
	clock          interface{ Now() time.Duration }
	log            logr.Logger
	// concurrent makes the peers be probed while the store has not answered yet. Otherwise
	// they are probed after the probe of the store has failed.
	concurrent bool

	peers         members.Directory
	peersListedAt time.Duration // 0: never

	cutOff           atomic.Bool
	storeUnreachable atomic.Bool // at the last probe
}

func (r *reachability) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.poll(ctx)
		sleep.For(ctx, probeInterval)
	}
}

func (r *reachability) poll(ctx context.Context) {
	p := r.probe(ctx)
	if ctx.Err() != nil {
		return
	}
	r.storeUnreachable.Store(!p.Store)
	if p.CutOff() == r.cutOff.Load() {
		return
	}
	r.cutOff.Store(p.CutOff())
	r.log.Info("cut off from other zones", "now", p.CutOff(), "store answers", p.Store, "entry VMs asked", p.Asked, "answered", p.Answered)
	r.onCutOffChange(p.CutOff())
}

func (r *reachability) probe(ctx context.Context) cutoff.Probe {
	store := make(chan error, 1)
	go func() { store <- r.probeStore(ctx) }()
	if !r.concurrent {
		return r.probePeersAfter(ctx, <-store)
	}
	delay := time.NewTimer(cutoff.PeerProbeDelay(r.storeUnreachable.Load()))
	defer delay.Stop()
	select {
	case err := <-store:
		return r.probePeersAfter(ctx, err)
	case <-delay.C:
		return r.probePeersBeside(ctx, store)
	}
}

// probePeersAfter probes the peers if the probe of the store ended with an error.
func (r *reachability) probePeersAfter(ctx context.Context, storeErr error) cutoff.Probe {
	if storeErr == nil {
		return cutoff.Probe{Store: true}
	}
	return r.probePeers(ctx)
}

// probePeersBeside probes the peers while the probe of the store goes on. The peers' answers
// count only if the store does not answer. If it does, calls to peers are left to end by
// themselves: a connection attempt that is cancelled would count as a failure of the peer.
func (r *reachability) probePeersBeside(ctx context.Context, store <-chan error) cutoff.Probe {
	peers := make(chan cutoff.Probe, 1)
	go func() { peers <- r.probePeers(ctx) }()
	if err := <-store; err == nil {
		return cutoff.Probe{Store: true}
	}
	return <-peers
}

func (r *reachability) probePeers(ctx context.Context) cutoff.Probe {
	call, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var answered atomic.Int64
	var pings sync.WaitGroup
	peers := cutoff.SelectPeers(r.otherEntryVMs(), r.zone)
	for _, p := range peers {
		pings.Go(func() {
			if r.ping(call, p.Address) {
				answered.Add(1)
			}
		})
	}
	pings.Wait()
	return cutoff.Probe{Asked: len(peers), Answered: int(answered.Load())}
}

// probeStore pings the store, or reads the list of entry VMs if it is due.
func (r *reachability) probeStore(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	now := r.clock.Now()
	if r.peersListedAt != 0 && now < r.peersListedAt+peerListMaxAge {
		return r.store.Ping(ctx)
	}
	kvs, err := r.store.Peek(ctx, infra.WorkEntryPrefix)
	if err == nil {
		r.peers.Replace(kvs)
		r.peersListedAt = now
	}
	return err
}

func (r *reachability) otherEntryVMs() []cutoff.Peer {
	live, _ := r.peers.Live()
	out := make([]cutoff.Peer, 0, len(live))
	for _, m := range live {
		out = append(out, cutoff.Peer{Name: m.Name, Zone: m.Zone, Address: m.Address})
	}
	return out
}
