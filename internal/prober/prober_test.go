package prober

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/faketarget"
	"github.com/pumicestage/pumicestage/internal/peer"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// fakePeers implements Peers with fixed digests.
type fakePeers []peer.PeerDigest

func (d fakePeers) PeerDigests() []peer.PeerDigest { return d }

// viewOf returns a view whose snapshot holds the VMs.
func viewOf(vms ...model.VM) *view.Holder {
	h := view.NewHolder()
	s := &view.Snapshot{VMs: make(map[model.VMID]view.VMRecord)}
	for _, vm := range vms {
		s.VMs[vm.ID] = view.VMRecord{VM: vm}
	}
	h.Publish(s)
	return h
}

// vmsIn returns VMs of the zone with the given IDs.
func vmsIn(zone model.ZoneName, ids ...model.VMID) []model.VM {
	var vms []model.VM
	for _, id := range ids {
		vms = append(vms, model.VM{ID: id, Zone: zone})
	}
	return vms
}

// A budget must not count a VM that was not recently seen healthy. Old digests,
// digests with another VM order, in which the same bit means another VM, and
// digests from another zone must not make a VM healthy.
func TestHealthFromDigests(t *testing.T) {
	vms := vmsIn("zb", "v1", "v2")
	order := orderOf([]model.VMID{"v1", "v2"})
	up := peer.HealthBitmap{VMListHash: order.hash, Bits: []byte{0b01}}
	digest := func(zone model.ZoneName, v peer.HealthBitmap, age time.Duration) peer.PeerDigest {
		return peer.PeerDigest{Digest: peer.Digest{Entry: "e2", Zone: zone, Health: v}, ReceivedAt: time.Now().Add(-age)}
	}
	cases := []struct {
		name   string
		digest peer.PeerDigest
		vm     model.VMID
		want   model.Health
	}{
		{"seen healthy", digest("zb", up, 0), "v1", model.HealthHealthy},
		{"not seen healthy", digest("zb", up, 0), "v2", model.HealthUnknown},
		{"old digest", digest("zb", up, 2*maxResultAge), "v1", model.HealthUnknown},
		{"another order", digest("zb", peer.HealthBitmap{VMListHash: 7, Bits: []byte{0b11}}, 0), "v1", model.HealthUnknown},
		{"digest of another zone", digest("zc", up, 0), "v1", model.HealthUnknown},
		{"short bits", digest("zb", peer.HealthBitmap{VMListHash: order.hash}, 0), "v1", model.HealthUnknown},
		{"unknown VM", digest("zb", up, 0), "v9", model.HealthUnknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := New(Options{Self: "e1", Zone: "za", View: viewOf(vms...), Peers: fakePeers{tc.digest}})
			assert.Equal(t, p.Health(tc.vm), tc.want)
		})
	}
}

// One target reports that it is leaving, another is down. Neither accepts new
// requests, so both must count as down, and the digest for peers must not report
// them as healthy.
func TestProbesTargets(t *testing.T) {
	targets := make(map[model.VMID]*faketarget.Target)
	var vms []model.VM
	for _, id := range []model.VMID{"gone", "leaving", "well"} {
		target, err := faketarget.Start(faketarget.Options{ID: string(id)})
		assert.NilError(t, err)
		t.Cleanup(target.Down)
		targets[id] = target
		vms = append(vms, model.VM{ID: id, Zone: "za", Address: target.Address()})
	}
	targets["gone"].Down()
	targets["leaving"].Drain()
	p := New(Options{Self: "e1", Zone: "za", View: viewOf(vms...), Peers: fakePeers{}})

	p.probeAll(context.Background())

	assert.Equal(t, p.Health("well"), model.HealthHealthy)
	assert.Equal(t, p.Health("leaving"), model.HealthDown)
	assert.Equal(t, p.Health("gone"), model.HealthDown)
	var d peer.Digest
	p.FillDigest(&d)
	assert.DeepEqual(t, d.Health.Bits, []byte{0b100})
}

// Whatever the number of entry VMs in a zone, each VM must have a prober, or its
// health would stay unknown, and no more than two, so that the load is shared.
func TestEachVMHasTwoProbers(t *testing.T) {
	for n := 1; n <= 8; n++ {
		t.Run(fmt.Sprintf("%d entry VMs", n), func(t *testing.T) {
			for i := range 200 {
				vm := model.VMID(fmt.Sprintf("v%d", i))
				assert.Equal(t, countProbers(vm, n), min(n, probersPerVM))
			}
		})
	}
}

// countProbers returns how many of n entry VMs consider themselves probers of vm.
func countProbers(vm model.VMID, n int) int {
	var ids []model.EntryID
	for i := range n {
		ids = append(ids, model.EntryID(fmt.Sprintf("e%d", i)))
	}
	count := 0
	for i, id := range ids {
		others := append(append([]model.EntryID{}, ids[:i]...), ids[i+1:]...)
		if isAssigned(id, vm, others) {
			count++
		}
	}
	return count
}

// BenchmarkProbe measures one health probe, including the work of the target.
func BenchmarkProbe(b *testing.B) {
	target, err := faketarget.Start(faketarget.Options{ID: "v"})
	if err != nil {
		b.Fatal(err)
	}
	defer target.Down()
	p := New(Options{Self: "e1", Zone: "za", View: viewOf(), Peers: fakePeers{}})
	b.ReportAllocs()
	for b.Loop() {
		if !p.probe(context.Background(), target.Address()) {
			b.Fatal("not healthy")
		}
	}
}

// BenchmarkFill measures computing the digest's bits for a zone of 600 VMs.
func BenchmarkFill(b *testing.B) {
	var ids []model.VMID
	for i := range 600 {
		ids = append(ids, model.VMID(fmt.Sprintf("v%04d", i)))
	}
	p := New(Options{Self: "e1", Zone: "za", View: viewOf(vmsIn("za", ids...)...), Peers: fakePeers{}})
	for _, id := range ids {
		p.results[id] = probeResult{true, time.Now().Add(time.Hour)}
	}
	var d peer.Digest
	b.ReportAllocs()
	for b.Loop() {
		p.FillDigest(&d)
	}
	b.ReportMetric(float64(len(d.Health.Bits)), "bytes/digest")
}
