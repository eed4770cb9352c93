package prober

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// list is the order of a zone's VMs in the bits of a digest. Bits of another
// list mean other VMs, so that its hash goes with them.
type list struct {
	hash  uint64
	index map[model.VMID]int
}

// listsEvery is how often lists are made anew at most. Snapshots follow each
// other up to 20 times a second while a wave runs, and sorting 3,600 names each
// time would cost more than the questions; VMs are seldom added or removed, and
// are unknown a second longer.
const listsEvery = time.Second

// names keeps the lists of one snapshot.
type names struct {
	of    *view.Snapshot
	at    time.Time
	lists map[model.ZoneName]list
}

// list returns the zone's list in the newest snapshot.
func (p *Prober) list(zone model.ZoneName) list {
	snap := p.opts.View.Load()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.names.of != snap && time.Since(p.names.at) >= listsEvery {
		p.names = names{of: snap, at: time.Now(), lists: listsOf(snap)}
	}
	return p.names.lists[zone]
}

func listsOf(snap *view.Snapshot) map[model.ZoneName]list {
	ids := make(map[model.ZoneName][]model.VMID)
	for id, vm := range snap.VMs {
		ids[vm.Zone] = append(ids[vm.Zone], id)
	}
	lists := make(map[model.ZoneName]list, len(ids))
	for zone, of := range ids {
		lists[zone] = listOf(of)
	}
	return lists
}

func listOf(ids []model.VMID) list {
	slices.Sort(ids)
	h := fnv.New64a()
	l := list{index: make(map[model.VMID]int, len(ids))}
	for i, id := range ids {
		l.index[id] = i
		h.Write([]byte(id))
		h.Write([]byte{0})
	}
	l.hash = h.Sum64()
	return l
}
