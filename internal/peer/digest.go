// Package peer is the link between entry VMs: who is alive, and msgpack
// digests of what each sends to which target. All of it is a view that may be
// stale; nothing is agreed here.
package peer

import (
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// TargetLoad is what one entry VM knows first hand of one target.
type TargetLoad struct {
	VM       model.VMID `msgpack:"v"`
	InFlight uint16     `msgpack:"n"`           // its own requests there now
	Leaving  bool       `msgpack:"l,omitempty"` // it has seen the target say that it leaves
	Ejected  bool       `msgpack:"e,omitempty"` // it sends nothing there for failures
}

// Digest is what an entry VM tells its peers, in full within its zone.
type Digest struct {
	Entry      model.EntryID  `msgpack:"i,omitempty"` // on the wire left to the hello, as is Zone
	Zone       model.ZoneName `msgpack:"z,omitempty"`
	Seq        uint64         `msgpack:"s"` // grows with each digest of one run of the daemon
	Revision   infra.Revision `msgpack:"r"` // of its view; acknowledges everything up to it
	Generation uint64         `msgpack:"g"` // of the declaration it has in force
	Loads      []TargetLoad   `msgpack:"t,omitempty"`
	Queued     uint32         `msgpack:"q,omitempty"`
	InFlight   uint32         `msgpack:"n,omitempty"` // sum over all targets; all that other zones get of the loads
	Full       bool           `msgpack:"f,omitempty"` // Loads is everything; otherwise it is what changed since the last digest
	Watching   bool           `msgpack:"w,omitempty"` // it holds the platform's watch and relays
	Clock      int64          `msgpack:"c"`           // the sender's wall clock, Unix milliseconds
	AgeMillis  uint32         `msgpack:"a"`           // how old its view was when it wrote this

	// Unchanged: what is told of slots and vitals is as in the last digest, and left
	// out on the wire. Receivers see it filled in.
	Unchanged bool `msgpack:"u,omitempty"`

	// Slots that lie idle at one entry VM are lent to another, see
	// policy/slots. Told to all zones; empty where nobody lends.
	Demands  []SlotDemand `msgpack:"sw,omitempty"`
	Loans    []SlotLoan   `msgpack:"sl,omitempty"`
	Borrowed []SlotBorrow `msgpack:"sb,omitempty"`

	// Health are told to all zones.
	Health HealthBitmap `msgpack:"h,omitempty"`
}

// HealthBitmap say which VMs of its own zone the sender has seen healthy just now: a
// bit for each, in the order of their IDs. A VM that it does not ask has none.
type HealthBitmap struct {
	VMListHash uint64 `msgpack:"l,omitempty"` // hash of the zone's VM IDs in that order
	Bits       []byte `msgpack:"b,omitempty"`
}

// Healthy reports whether the VM at the index was seen healthy.
func (v HealthBitmap) Healthy(i int) bool {
	return i/8 < len(v.Bits) && v.Bits[i/8]&(1<<(i%8)) != 0
}

// Loads is what routing asks of the peers' digests. Implementations are safe
// for concurrent use and answer at once.
type Loads interface {
	// PeerInFlight returns the requests fresh peers have at the target.
	PeerInFlight(vm model.VMID) int
	// PeerSaysLeaving reports whether a fresh peer has seen the target leave.
	PeerSaysLeaving(vm model.VMID) bool
	// LiveEntries returns how many entry VMs are alive in the zone, this one
	// included.
	LiveEntries(zone model.ZoneName) int
}

// SlotDemand asks peers for slots of a service.
type SlotDemand struct {
	Service model.ServiceName `msgpack:"s"`
	Slots   uint16            `msgpack:"n"`
}

// SlotLoan lets a peer use slots that are the sender's; none where the loan is
// taken back and not yet confirmed.
type SlotLoan struct {
	VM      model.VMID    `msgpack:"v"`
	To      model.EntryID `msgpack:"t"`
	Slots   uint8         `msgpack:"n"`
	Version uint32        `msgpack:"r"`
}

// SlotBorrow confirms a version of a loan, with what still runs on it.
type SlotBorrow struct {
	VM      model.VMID    `msgpack:"v"`
	From    model.EntryID `msgpack:"f"`
	InUse   uint8         `msgpack:"n"`
	Version uint32        `msgpack:"r"`
}

// PeerDigest is the newest digest of one live peer; Loads may be left out.
type PeerDigest struct {
	Digest
	ReceivedAt time.Time // when it came
}

// DigestSource is implemented by Loads that show the digests themselves.
// Without it entry VMs keep to their own shares of slots and lend none.
type DigestSource interface {
	// PeerDigests returns the newest digest of each live peer of all zones.
	PeerDigests() []PeerDigest
}
