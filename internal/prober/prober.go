// Package prober learns which VMs are healthy, for availability budgets and
// waves. Each VM is asked by two entry VMs of its own zone, whoever they are at
// the moment; the answers go to all entry VMs in their digests, as one bit a
// VM. So the cost for an entry VM falls as there are more of them, and one lost
// entry VM leaves no VM unseen.
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
	// askEvery is how often a VM is asked: a budget is then counted against
	// what was so two seconds ago, a fraction of the time any stop takes.
	askEvery = 2 * time.Second
	// askTimeout is above any healthy answer and below askEvery, so that
	// rounds do not pile up behind VMs that hang.
	askTimeout = time.Second
	// fresh is how long an answer counts: two rounds missed, with the digest's
	// second. Then the VM is unknown, and a budget counts unknown as down.
	fresh = 3*askEvery + time.Second
	// askers is how many entry VMs of its zone ask a VM.
	askers = 2
	// maxBody is all that is read of an answer.
	maxBody = 64
	// atOnce bounds the questions under way, so that VMs that hang cost a
	// small entry VM no more than some connections.
	atOnce = 32
)

// Peers shows the digests of the entry VMs that are heard.
type Peers interface {
	PeerDigests() []peer.PeerDigest
}

// Options are what a Prober needs; all but Dial must be set.
type Options struct {
	Self  model.EntryID
	Zone  model.ZoneName
	View  *view.Holder
	Peers Peers
	// Dial is the way to VMs; nil for plain TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Prober asks VMs for their health. It is safe for concurrent use.
type Prober struct {
	opts   Options
	client *http.Client

	mu    sync.Mutex
	seen  map[model.VMID]answer
	names names // of the VMs by zone, in the order of the bits
}

type answer struct {
	healthy bool
	at      time.Time
}

// New returns a Prober; nothing is asked before Run.
func New(o Options) *Prober {
	transport := &http.Transport{DialContext: o.Dial, MaxIdleConnsPerHost: 1}
	return &Prober{
		opts:   o,
		client: &http.Client{Transport: transport, Timeout: askTimeout},
		seen:   make(map[model.VMID]answer),
	}
}

// Health returns what is known of a VM: first hand, or by the digests of the
// entry VMs that ask it.
func (p *Prober) Health(id model.VMID) model.Health {
	p.mu.Lock()
	own, asked := p.seen[id]
	p.mu.Unlock()
	if asked && time.Since(own.at) <= fresh {
		return healthOf(own.healthy)
	}
	return p.heard(id)
}

// heard looks for the VM's bit in the digests of its zone's entry VMs. One
// that says healthy is enough: the others may not ask this VM.
func (p *Prober) heard(id model.VMID) model.Health {
	vm, known := p.opts.View.Load().VMs[id]
	if !known {
		return model.HealthUnknown
	}
	list := p.list(vm.Zone)
	for _, d := range p.opts.Peers.PeerDigests() {
		same := d.Zone == vm.Zone && d.Vitals.List == list.hash
		if same && time.Since(d.Heard) <= fresh && d.Vitals.Healthy(list.index[id]) {
			return model.HealthHealthy
		}
	}
	return model.HealthUnknown
}

func healthOf(healthy bool) model.Health {
	if healthy {
		return model.HealthHealthy
	}
	return model.HealthDown
}

// Fill sets what this entry VM tells its peers of the VMs it asks.
func (p *Prober) Fill(d *peer.Digest) {
	list := p.list(p.opts.Zone)
	bits := make([]byte, (len(list.index)+7)/8)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, i := range list.index {
		if a := p.seen[id]; a.healthy && now.Sub(a.at) <= fresh {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	d.Vitals = peer.Vitals{List: list.hash, Bits: bits}
}

// Run asks until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	defer p.client.CloseIdleConnections()
	for ctx.Err() == nil {
		began := time.Now()
		p.round(ctx)
		rest := time.NewTimer(askEvery - time.Since(began))
		select {
		case <-ctx.Done():
		case <-rest.C:
		}
		rest.Stop()
	}
}

// round asks every VM that is this entry VM's to ask.
func (p *Prober) round(ctx context.Context) {
	var asked sync.WaitGroup
	slots := make(chan struct{}, atOnce)
	for _, vm := range p.share() {
		slots <- struct{}{}
		asked.Go(func() {
			defer func() { <-slots }()
			healthy := p.ask(ctx, vm.Address)
			p.mu.Lock()
			defer p.mu.Unlock()
			p.seen[vm.ID] = answer{healthy, time.Now()}
		})
	}
	asked.Wait()
	p.forget()
}

// forget drops VMs that are gone or are another's to ask.
func (p *Prober) forget() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, a := range p.seen {
		if now.Sub(a.at) > 2*fresh {
			delete(p.seen, id)
		}
	}
}

// share returns the VMs of the own zone that this entry VM asks.
func (p *Prober) share() []view.VMRecord {
	zone := p.entries()
	var mine []view.VMRecord
	for _, vm := range p.opts.View.Load().VMs {
		if vm.Zone == p.opts.Zone && asks(p.opts.Self, vm.ID, zone) {
			mine = append(mine, vm)
		}
	}
	return mine
}

// entries returns the entry VMs of the own zone that are heard, without this
// one.
func (p *Prober) entries() []model.EntryID {
	var ids []model.EntryID
	for _, d := range p.opts.Peers.PeerDigests() {
		if d.Zone == p.opts.Zone {
			ids = append(ids, d.Entry)
		}
	}
	return ids
}

// asks reports whether self is among the VM's askers. Entry VMs that see
// different peers may both think so, or fewer than two: the former costs a
// question, the latter shows as an unknown VM until the peers are seen alike.
func asks(self model.EntryID, vm model.VMID, others []model.EntryID) bool {
	own := peer.Rendezvous(string(vm), self)
	above := 0
	for _, id := range others {
		if peer.Rendezvous(string(vm), id) > own {
			above++
		}
	}
	return above < askers
}

// ask reports whether the VM's target answers that it works. One that is
// leaving does not: a budget counts what takes new work.
func (p *Prober) ask(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return false
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody)) // read to its end, the connection is kept
	return resp.StatusCode == http.StatusOK
}
