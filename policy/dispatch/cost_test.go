package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/slots"
)

// newSizedDispatcher returns the Dispatcher of one entry VM for a fleet of the
// given size, with that fleet.
func newSizedDispatcher(pools, perPool, entries, zones int) (*Dispatcher, Fleet) {
	var f Fleet
	for i := range entries {
		f.Entries = append(f.Entries, slots.Entry{ID: model.EntryID(fmt.Sprint("e", i)), Zone: zoneName(i % zones)})
	}
	for p := range pools {
		pool := model.PoolName(fmt.Sprint("p", p))
		f.Services = append(f.Services, model.Service{Name: model.ServiceName(pool), Pools: []model.PoolName{pool}, Slots: 8})
		for i := range perPool {
			id := model.VMID(fmt.Sprintf("v%d-%d", p, i))
			f.VMs = append(f.VMs, VM{ID: id, Zone: zoneName(i % zones), Pool: pool, Serving: true})
		}
	}
	d := New(Config{Self: "e0", Zone: zoneName(0), Rand: rand.New(rand.NewPCG(1, 1)).IntN, Peers: &simEntry{}})
	d.Update(f, t0)
	return d, f
}

// BenchmarkCost measures the processor time of single operations with 50 VMs in
// 5 pools and with 3,470 VMs in 347 pools: one request, one tick (20 a second),
// one search for due probes (20 a second), the target states for one digest (4
// a second), and one Fleet update.
func BenchmarkCost(b *testing.B) {
	for _, size := range []struct {
		name                           string
		pools, perPool, entries, zones int
	}{
		{"50-vms", 5, 10, 8, 4},
		{"3470-vms", 347, 10, 60, 6},
	} {
		d, f := newSizedDispatcher(size.pools, size.perPool, size.entries, size.zones)
		now := t0
		for _, op := range []struct {
			name string
			do   func()
		}{
			{"request", func() {
				submit(d, "p0", model.ClassNormal)
				for _, g := range d.Grants() {
					d.Done(g.Ticket, Outcome{Kind: Answered, ResponseLatency: time.Millisecond, SlotTime: time.Millisecond}, now)
				}
			}},
			{"tick", func() { now = now.Add(tickInterval); d.Tick(now) }},
			{"probes", func() { now = now.Add(tickInterval); d.ProbesDue(now) }},
			{"states", func() { d.States(now) }},
			{"update", func() { d.Update(f, now) }},
		} {
			b.Run(size.name+"/"+op.name, func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					op.do()
				}
			})
		}
	}
}
