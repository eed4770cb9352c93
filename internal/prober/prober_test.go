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

// digests are the peers' newest.
type digests []peer.PeerDigest

func (d digests) PeerDigests() []peer.PeerDigest { return d }

// holder returns a view of the VMs.
func holder(vms ...model.VM) *view.Holder {
	h := view.NewHolder()
	s := &view.Snapshot{VMs: make(map[model.VMID]view.VMRecord)}
	for _, vm := range vms {
		s.VMs[vm.ID] = view.VMRecord{VM: vm}
	}
	h.Publish(s)
	return h
}

func at(zone model.ZoneName, ids ...model.VMID) []model.VM {
	var vms []model.VM
	for _, id := range ids {
		vms = append(vms, model.VM{ID: id, Zone: zone})
	}
	return vms
}

// A budget must not count a VM that nobody has seen healthy just now: not by
// old digests, not by the bits of another list of VMs, in which the same place
// means another VM, and not by a zone that does not ask it.
func TestHealthByDigests(t *testing.T) {
	vms := at("zb", "v1", "v2")
	l := listOf([]model.VMID{"v1", "v2"})
	up := peer.Vitals{List: l.hash, Bits: []byte{0b01}}
	digest := func(zone model.ZoneName, v peer.Vitals, age time.Duration) peer.PeerDigest {
		return peer.PeerDigest{Digest: peer.Digest{Entry: "e2", Zone: zone, Vitals: v}, Heard: time.Now().Add(-age)}
	}
	cases := []struct {
		name   string
		digest peer.PeerDigest
		vm     model.VMID
		want   model.Health
	}{
		{"seen healthy", digest("zb", up, 0), "v1", model.HealthHealthy},
		{"not seen healthy", digest("zb", up, 0), "v2", model.HealthUnknown},
		{"old digest", digest("zb", up, 2*fresh), "v1", model.HealthUnknown},
		{"another list", digest("zb", peer.Vitals{List: 7, Bits: []byte{0b11}}, 0), "v1", model.HealthUnknown},
		{"another zone's word", digest("zc", up, 0), "v1", model.HealthUnknown},
		{"short bits", digest("zb", peer.Vitals{List: l.hash}, 0), "v1", model.HealthUnknown},
		{"unknown VM", digest("zb", up, 0), "v9", model.HealthUnknown},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			p := New(Options{Self: "e1", Zone: "za", View: holder(vms...), Peers: digests{tc.digest}})
			assert.Equal(t, p.Health(tc.vm), tc.want)
		})
	}
}

// A target says that it is leaving, another is gone: neither takes new work,
// so a budget must not count them, and peers must not be told that they do.
func TestRoundAsksTargets(t *testing.T) {
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
	p := New(Options{Self: "e1", Zone: "za", View: holder(vms...), Peers: digests{}})

	p.round(context.Background())

	assert.Equal(t, p.Health("well"), model.HealthHealthy)
	assert.Equal(t, p.Health("leaving"), model.HealthDown)
	assert.Equal(t, p.Health("gone"), model.HealthDown)
	var d peer.Digest
	p.Fill(&d)
	assert.DeepEqual(t, d.Vitals.Bits, []byte{0b100})
}

// However many entry VMs a zone has, each VM has askers, so that none is
// unknown for ever, and no more than two, so that the cost is shared.
func TestEachVMHasTwoAskers(t *testing.T) {
	for n := 1; n <= 8; n++ {
		t.Run(fmt.Sprintf("%d entry VMs", n), func(t *testing.T) {
			for i := range 200 {
				vm := model.VMID(fmt.Sprintf("v%d", i))
				assert.Equal(t, askersOf(vm, n), min(n, askers))
			}
		})
	}
}

func askersOf(vm model.VMID, n int) int {
	var ids []model.EntryID
	for i := range n {
		ids = append(ids, model.EntryID(fmt.Sprintf("e%d", i)))
	}
	asking := 0
	for i, id := range ids {
		others := append(append([]model.EntryID{}, ids[:i]...), ids[i+1:]...)
		if asks(id, vm, others) {
			asking++
		}
	}
	return asking
}

// BenchmarkAsk is the cost of one health question, both sides of it.
func BenchmarkAsk(b *testing.B) {
	target, err := faketarget.Start(faketarget.Options{ID: "v"})
	if err != nil {
		b.Fatal(err)
	}
	defer target.Down()
	p := New(Options{Self: "e1", Zone: "za", View: holder(), Peers: digests{}})
	b.ReportAllocs()
	for b.Loop() {
		if !p.ask(context.Background(), target.Address()) {
			b.Fatal("not healthy")
		}
	}
}

// BenchmarkFill is the cost of one digest's bits for 600 VMs of a zone.
func BenchmarkFill(b *testing.B) {
	var ids []model.VMID
	for i := range 600 {
		ids = append(ids, model.VMID(fmt.Sprintf("v%04d", i)))
	}
	p := New(Options{Self: "e1", Zone: "za", View: holder(at("za", ids...)...), Peers: digests{}})
	for _, id := range ids {
		p.seen[id] = answer{true, time.Now().Add(time.Hour)}
	}
	var d peer.Digest
	b.ReportAllocs()
	for b.Loop() {
		p.Fill(&d)
	}
	b.ReportMetric(float64(len(d.Vitals.Bits)), "bytes/digest")
}
