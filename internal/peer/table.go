package peer

import (
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Freshness windows.
const (
	// loadsFresh is how long a peer's loads count. Four digests a second are
	// sent, so three in a row must be missing: a shorter window would drop a
	// peer's load at each collection pause and overrun the targets' slots, a
	// longer one would keep slots free for the requests of a dead peer.
	loadsFresh = time.Second
	// liveWithinZone is how long a silent entry VM of the own zone counts as
	// alive: eight digests. A relay that falls silent is replaced after it.
	liveWithinZone = 2 * time.Second
	// liveAcrossZones is the same for other zones, which send one a second.
	liveAcrossZones = 4 * time.Second
	// forgetAfter is when a silent entry VM is no longer listed nor dialled,
	// unless the store or the settings name it.
	forgetAfter = time.Minute
)

// Status is what is known of one peer.
type Status struct {
	Digest      // the newest; Loads is left out
	Address     string
	Incarnation uint64
	LastSeen    time.Time // when the newest digest came
	Live        bool
	// ClockOffset is how far its clock is ahead of the one here, too low by
	// the time the digest took.
	ClockOffset time.Duration
}

// remote is one peer in the table.
type remote struct {
	status Status
	conn   uint64 // the connection whose frames count
	loads  map[model.VMID]TargetLoad
	summed bool // loads are part of the table's sums
}

type sum struct {
	inFlight int
	leaving  int // peers that have seen the target leave
}

// table holds what peers said. Sums per target are kept as digests come, so
// that routing reads one map entry.
type table struct {
	zone model.ZoneName
	now  func() time.Time

	mu      sync.RWMutex
	remotes map[model.EntryID]*remote
	sums    map[model.VMID]sum
}

func newTable(zone model.ZoneName) *table {
	return &table{
		zone:    zone,
		now:     time.Now,
		remotes: make(map[model.EntryID]*remote),
		sums:    make(map[model.VMID]sum),
	}
}

// join makes conn the connection of the peer that said h and reports whether
// it may. An entry VM that was replaced while it was paused wakes up with the
// older incarnation; while its successor is heard, its digests would bring
// back loads and acknowledgements that nobody stands for.
func (t *table) join(h hello, conn uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := model.EntryID(h.Entry)
	r := t.remotes[id]
	if r != nil && r.status.Incarnation > h.Incarnation && t.liveLocked(r) {
		return false
	}
	if r != nil {
		t.subtractLocked(r)
	}
	next := &remote{conn: conn, loads: make(map[model.VMID]TargetLoad)}
	next.status.Entry = id
	next.status.Zone = model.ZoneName(h.Zone)
	next.status.Address = h.Peer
	next.status.Incarnation = h.Incarnation
	next.status.LastSeen = t.now()
	if r != nil && r.status.Incarnation == h.Incarnation {
		next.status.Digest = r.status.Digest
	}
	t.remotes[id] = next
	return true
}

// apply takes a digest in and reports whether the connection is still the
// peer's.
func (t *table) apply(id model.EntryID, conn uint64, d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.remotes[id]
	if r == nil || r.conn != conn {
		return false
	}
	if d.Seq <= r.status.Seq {
		return true
	}
	if d.Full {
		t.subtractLocked(r)
		clear(r.loads)
	}
	t.addLocked(r)
	for _, l := range d.Loads {
		t.replaceLocked(r, l)
	}
	if d.Unchanged {
		d.setExtras(&r.status.Digest)
	}
	d.Entry, d.Zone, d.Loads = id, r.status.Zone, nil
	r.status.Digest = d
	r.status.LastSeen = t.now()
	r.status.ClockOffset = time.UnixMilli(d.Clock).Sub(r.status.LastSeen)
	return true
}

// expire takes silent peers' loads out of the sums and forgets peers that
// have long been silent.
func (t *table) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for id, r := range t.remotes {
		silent := now.Sub(r.status.LastSeen)
		if silent >= loadsFresh {
			t.subtractLocked(r)
		}
		if silent >= forgetAfter {
			delete(t.remotes, id)
		}
	}
}

// replaceLocked takes a changed load of a summed peer in.
func (t *table) replaceLocked(r *remote, l TargetLoad) {
	t.countLocked(r.loads[l.VM], l.VM, -1)
	t.countLocked(l, l.VM, 1)
	if l == (TargetLoad{VM: l.VM}) {
		delete(r.loads, l.VM)
	} else {
		r.loads[l.VM] = l
	}
}

func (t *table) countLocked(l TargetLoad, vm model.VMID, sign int) {
	s := t.sums[vm]
	s.inFlight += sign * int(l.InFlight)
	if l.Leaving {
		s.leaving += sign
	}
	if s == (sum{}) {
		delete(t.sums, vm)
	} else {
		t.sums[vm] = s
	}
}

func (t *table) addLocked(r *remote) {
	if r.summed {
		return
	}
	r.summed = true
	for vm, l := range r.loads {
		t.countLocked(l, vm, 1)
	}
}

func (t *table) subtractLocked(r *remote) {
	if !r.summed {
		return
	}
	r.summed = false
	for vm, l := range r.loads {
		t.countLocked(l, vm, -1)
	}
}

func (t *table) load(vm model.VMID) sum {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.sums[vm]
}

// liveLocked counts digests only: whoever says hello and then nothing of use
// is no peer.
func (t *table) liveLocked(r *remote) bool {
	window := liveAcrossZones
	if r.status.Zone == t.zone {
		window = liveWithinZone
	}
	return r.status.Seq > 0 && t.now().Sub(r.status.LastSeen) < window
}

func (t *table) list() []Status {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]Status, 0, len(t.remotes))
	for _, r := range t.remotes {
		s := r.status
		s.Live = t.liveLocked(r)
		all = append(all, s)
	}
	return all
}
