// Package prober determines which VMs are healthy, for availability budgets and
// waves. Each VM is probed by two entry VMs of its zone, selected by rendezvous
// hashing among those whose digests arrive; the results reach all entry VMs in
// digests, as one bit per VM. The load of an entry VM therefore falls as entry VMs
// are added, and the loss of one leaves no VM without a prober.
package prober

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/internal/peer"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// probeInterval is the time between probes of a VM. Budgets are thus checked
	// against a state up to two seconds old, a fraction of the time that stopping
	// a VM takes.
	probeInterval = 2 * time.Second
	// probeTimeout is longer than any healthy VM takes to respond, and shorter
	// than probeInterval, so that VMs that hang do not delay the next round.
	probeTimeout = time.Second
	// maxResultAge is how long a result is valid: it allows for two missed rounds
	// and one second for the digest. After it the VM's health is unknown, which a
	// budget counts as down.
	maxResultAge = 3*probeInterval + time.Second
	// probersPerVM is the number of entry VMs of its zone that probe a VM.
	probersPerVM = 2
	// maxBody is the maximum number of bytes read from a response.
	maxBody = 64
	// maxConcurrentProbes bounds the concurrent probes, so that VMs that hang
	// occupy only a few connections of a small entry VM.
	maxConcurrentProbes = 32
)

// Peers provides the newest digests of the entry VMs from which digests arrive.
type Peers interface {
	PeerDigests() []peer.PeerDigest
}

// Options configures a Prober. All fields but Dial are required.
type Options struct {
	Self  model.EntryID
	Zone  model.ZoneName
	View  *view.Holder
	Peers Peers
	// Dial opens connections to VMs; nil for plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Prober probes the health of VMs. It is safe for concurrent use.
type Prober struct {
	opts   Options
	client *http.Client

	mu         sync.Mutex
	results    map[model.VMID]probeResult
	orderCache vmOrderCache
}

// probeResult is the result of this entry VM's latest probe of a VM.
type probeResult struct {
	healthy bool
	at      time.Time
}

// New returns a Prober. It probes nothing before Run is called.
func New(o Options) *Prober {
	transport := &http.Transport{DialContext: o.Dial, MaxIdleConnsPerHost: 1}
	return &Prober{
		opts:    o,
		client:  &http.Client{Transport: transport, Timeout: probeTimeout},
		results: make(map[model.VMID]probeResult),
	}
}

// Health returns the health of a VM, from this entry VM's own probes if there is
// a valid result, otherwise from the digests of the entry VMs in the VM's zone.
func (p *Prober) Health(id model.VMID) model.Health {
	p.mu.Lock()
	own, known := p.results[id]
	p.mu.Unlock()
	if known && time.Since(own.at) <= maxResultAge {
		return healthOf(own.healthy)
	}
	return p.peersHealth(id)
}

// peersHealth returns the VM's health according to the digests of the entry VMs in
// its zone. One digest that reports it healthy is enough, because most entry VMs
// do not probe this VM.
func (p *Prober) peersHealth(id model.VMID) model.Health {
	vm, known := p.opts.View.Load().VMs[id]
	if !known {
		return model.HealthUnknown
	}
	order := p.order(vm.Zone)
	for _, d := range p.opts.Peers.PeerDigests() {
		relevant := d.Zone == vm.Zone && d.Health.VMListHash == order.hash
		if relevant && time.Since(d.ReceivedAt) <= maxResultAge && d.Health.Healthy(order.index[id]) {
			return model.HealthHealthy
		}
	}
	return model.HealthUnknown
}

// healthOf converts the result of a probe.
func healthOf(healthy bool) model.Health {
	if healthy {
		return model.HealthHealthy
	}
	return model.HealthDown
}

// FillDigest sets the digest's Health to the health of the VMs that this entry VM
// probes.
func (p *Prober) FillDigest(d *peer.Digest) {
	order := p.order(p.opts.Zone)
	bits := make([]byte, (len(order.index)+7)/8)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, i := range order.index {
		if a := p.results[id]; a.healthy && now.Sub(a.at) <= maxResultAge {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	d.Health = peer.HealthBitmap{VMListHash: order.hash, Bits: bits}
}

// Run probes VMs every probeInterval until ctx is done.
func (p *Prober) Run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	for ctx.Err() == nil {
		start := time.Now()
		p.probeAll(ctx)
		timer := time.NewTimer(probeInterval - time.Since(start))
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// probeAll probes every VM that is assigned to this entry VM.
func (p *Prober) probeAll(ctx context.Context) {
	var probes sync.WaitGroup
	slots := make(chan struct{}, maxConcurrentProbes)
	for _, vm := range p.assignedVMs() {
		slots <- struct{}{}
		probes.Go(func() {
			defer func() { <-slots }()
			healthy := p.probe(ctx, vm.Address)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.results[vm.ID] = probeResult{healthy, time.Now()}
		})
	}
	probes.Wait()
	p.dropOldResults()
}

// dropOldResults deletes the results of VMs that were removed or are now probed by
// other entry VMs.
func (p *Prober) dropOldResults() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, a := range p.results {
		if now.Sub(a.at) > 2*maxResultAge {
			delete(p.results, id)
		}
	}
}

// assignedVMs returns the VMs of its own zone that this entry VM probes.
func (p *Prober) assignedVMs() []view.VMRecord {
	others := p.zonePeers()
	var assigned []view.VMRecord
	for _, vm := range p.opts.View.Load().VMs {
		if vm.Zone == p.opts.Zone && isAssigned(p.opts.Self, vm.ID, others) {
			assigned = append(assigned, vm)
		}
	}
	return assigned
}

// zonePeers returns the other entry VMs of this entry VM's zone from which digests
// arrive.
func (p *Prober) zonePeers() []model.EntryID {
	var ids []model.EntryID
	for _, d := range p.opts.Peers.PeerDigests() {
		if d.Zone == p.opts.Zone {
			ids = append(ids, d.Entry)
		}
	}
	return ids
}

// isAssigned reports whether self is one of the VM's probers, by rendezvous
// hashing. Entry VMs that see different peers may disagree, so that more or fewer
// than two of them probe the VM: the former costs extra probes, the latter makes
// the VM's health unknown until they see the same peers.
func isAssigned(self model.EntryID, vm model.VMID, others []model.EntryID) bool {
	own := peer.Rendezvous(string(vm), self)
	above := 0
	for _, id := range others {
		if peer.Rendezvous(string(vm), id) > own {
			above++
		}
	}
	return above < probersPerVM
}

// probe reports whether the VM's target is healthy. A target that is leaving
// counts as unhealthy, because budgets count VMs that accept new requests.
func (p *Prober) probe(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return false
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody)) // read to the end, so that the connection is reused
	return resp.StatusCode == http.StatusOK
}
