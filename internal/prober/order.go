package prober

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// vmOrder is the order of a zone's VMs in the bits of a digest. A digest also
// carries the order's hash: under another order the same bits mean other VMs.
type vmOrder struct {
	hash  uint64             // of the sorted IDs
	index map[model.VMID]int // bit of each VM
}

// orderRefreshInterval is the minimum time between two computations of the
// orders. Up to 20 snapshots a second are published while a wave runs, and sorting
// 3,600 IDs for each would cost more than the probes. The price is that a new VM
// is unknown for a second longer, and VMs are seldom added or removed.
const orderRefreshInterval = time.Second

// vmOrderCache holds the orders of all zones in one snapshot.
type vmOrderCache struct {
	snapshot *view.Snapshot
	updated  time.Time
	orders   map[model.ZoneName]vmOrder
}

// order returns the order of the zone's VMs in the newest snapshot, or in one that
// it replaced up to orderRefreshInterval ago.
func (p *Prober) order(zone model.ZoneName) vmOrder {
	snap := p.opts.View.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.orderCache.snapshot != snap && time.Since(p.orderCache.updated) >= orderRefreshInterval {
		p.orderCache = vmOrderCache{snapshot: snap, updated: time.Now(), orders: ordersOf(snap)}
	}
	return p.orderCache.orders[zone]
}

// ordersOf assigns each zone's VMs to the bits of the zone's digests, by their IDs.
func ordersOf(snap *view.Snapshot) map[model.ZoneName]vmOrder {
	ids := make(map[model.ZoneName][]model.VMID)
	for id, vm := range snap.VMs {
		ids[vm.Zone] = append(ids[vm.Zone], id)
	}
	orders := make(map[model.ZoneName]vmOrder, len(ids))
	for zone, zoneIDs := range ids {
		orders[zone] = orderOf(zoneIDs)
	}
	return orders
}

// orderOf assigns the VMs to bits in the order of their IDs. It sorts ids.
func orderOf(ids []model.VMID) vmOrder {
	slices.Sort(ids)
	h := fnv.New64a()
	order := vmOrder{index: make(map[model.VMID]int, len(ids))}
	for i, id := range ids {
		order.index[id] = i
		h.Write([]byte(id))
		h.Write([]byte{0})
	}
	order.hash = h.Sum64()
	return order
}
