package peer

import (
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Timeouts of what was received from peers.
const (
	// loadTTL is how long a peer's loads count after its last digest. Four digests
	// are sent a second, so three in a row must be missing. A shorter time would
	// drop a peer's load at each garbage collection pause and overrun the targets'
	// slots; a longer one would keep slots free for the requests of a dead peer.
	loadTTL = time.Second
	// liveTimeoutWithinZone is how long a silent entry VM of the own zone counts
	// as live: eight digests. A relay that is silent for longer is replaced.
	liveTimeoutWithinZone = 2 * time.Second
	// liveTimeoutAcrossZones is the same for other zones, whose entry VMs send one
	// digest a second.
	liveTimeoutAcrossZones = 4 * time.Second
	// forgetAfter is when a silent entry VM is no longer listed or dialed, unless
	// the store or the settings name it.
	forgetAfter = time.Minute
)

// Status is what is known of one peer.
type Status struct {
	Digest      // the newest; Loads is nil
	Address     string
	Incarnation uint64
	LastHeard   time.Time // when the newest digest, or else the hello, arrived
	Live        bool
	// ClockOffset is how far the peer's clock is ahead of the local one. It is too
	// low by the time that the digest took to arrive.
	ClockOffset time.Duration
}

// peerState is the entry of one peer in the table.
type peerState struct {
	status  Status
	connID  uint64 // the connection whose digests are applied
	loads   map[model.VMID]TargetLoad
	counted bool // whether loads are included in the table's sums
}

// targetSum is the sum over the loads of one target.
type targetSum struct {
	inFlight int
	leaving  int // number of peers that report the target as leaving
}

// table holds what peers have reported. Sums per target are updated as digests
// arrive, so that routing only reads one map entry.
type table struct {
	zone model.ZoneName
	now  func() time.Time

	mu    sync.RWMutex
	peers map[model.EntryID]*peerState
	sums  map[model.VMID]targetSum
}

func newTable(zone model.ZoneName) *table {
	return &table{
		zone:  zone,
		now:   time.Now,
		peers: make(map[model.EntryID]*peerState),
		sums:  make(map[model.VMID]targetSum),
	}
}

// join makes connID the connection of the peer that sent h, and reports whether the
// peer is accepted. An entry VM that was replaced while it was paused resumes with
// an older incarnation. It is rejected while its successor is live, because its
// digests would restore loads and acknowledgements that are no longer valid.
func (t *table) join(h hello, connID uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	id := model.EntryID(h.Entry)
	r := t.peers[id]
	if r != nil && r.status.Incarnation > h.Incarnation && t.liveLocked(r) {
		return false
	}
	if r != nil {
		t.subtractLocked(r)
	}
	next := &peerState{connID: connID, loads: make(map[model.VMID]TargetLoad)}
	next.status.Entry = id
	next.status.Zone = model.ZoneName(h.Zone)
	next.status.Address = h.Peer
	next.status.Incarnation = h.Incarnation
	next.status.LastHeard = t.now()
	if r != nil && r.status.Incarnation == h.Incarnation {
		next.status.Digest = r.status.Digest
	}
	t.peers[id] = next
	return true
}

// apply applies a digest and reports whether connID is still the connection of
// the peer. A digest that is not newer than the last one is ignored.
func (t *table) apply(id model.EntryID, connID uint64, d Digest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.peers[id]
	if r == nil || r.connID != connID {
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
		d.copySlotsAndHealth(&r.status.Digest)
	}
	d.Entry, d.Zone, d.Loads = id, r.status.Zone, nil
	r.status.Digest = d
	r.status.LastHeard = t.now()
	r.status.ClockOffset = time.UnixMilli(d.Clock).Sub(r.status.LastHeard)
	return true
}

// expire removes the loads of silent peers from the sums, and forgets peers that
// have been silent for forgetAfter.
func (t *table) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for id, r := range t.peers {
		silent := now.Sub(r.status.LastHeard)
		if silent >= loadTTL {
			t.subtractLocked(r)
		}
		if silent >= forgetAfter {
			delete(t.peers, id)
		}
	}
}

// replaceLocked replaces one load of a peer whose loads are counted in the sums.
func (t *table) replaceLocked(r *peerState, l TargetLoad) {
	t.adjustLocked(r.loads[l.VM], l.VM, -1)
	t.adjustLocked(l, l.VM, 1)
	if l == (TargetLoad{VM: l.VM}) {
		delete(r.loads, l.VM)
	} else {
		r.loads[l.VM] = l
	}
}

// adjustLocked adds a load to the sums if sign is 1 and removes it if sign is -1.
func (t *table) adjustLocked(l TargetLoad, vm model.VMID, sign int) {
	s := t.sums[vm]
	s.inFlight += sign * int(l.InFlight)
	if l.Leaving {
		s.leaving += sign
	}
	if s == (targetSum{}) {
		delete(t.sums, vm)
	} else {
		t.sums[vm] = s
	}
}

// addLocked adds the loads of a peer to the sums unless they are counted already.
func (t *table) addLocked(r *peerState) {
	if r.counted {
		return
	}
	r.counted = true
	for vm, l := range r.loads {
		t.adjustLocked(l, vm, 1)
	}
}

// subtractLocked removes the loads of a peer from the sums if they are counted.
func (t *table) subtractLocked(r *peerState) {
	if !r.counted {
		return
	}
	r.counted = false
	for vm, l := range r.loads {
		t.adjustLocked(l, vm, -1)
	}
}

func (t *table) sumFor(vm model.VMID) targetSum {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.sums[vm]
}

// liveLocked reports whether the peer is live. Only digests count: an entry VM that
// sends a hello and then nothing else is not a live peer.
func (t *table) liveLocked(r *peerState) bool {
	window := liveTimeoutAcrossZones
	if r.status.Zone == t.zone {
		window = liveTimeoutWithinZone
	}
	return r.status.Seq > 0 && t.now().Sub(r.status.LastHeard) < window
}

// list returns the status of all peers in the table.
func (t *table) list() []Status {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]Status, 0, len(t.peers))
	for _, r := range t.peers {
		s := r.status
		s.Live = t.liveLocked(r)
		all = append(all, s)
	}
	return all
}
