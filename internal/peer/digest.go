// Package peer connects the entry VMs with each other. It tracks which of them
// are alive and exchanges msgpack digests of the load that each puts on each
// target. All of this may be stale, and the package reaches no consensus.
package peer

import (
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// TargetLoad is what one entry VM has itself observed of one target. The zero
// value, but for VM, means idle.
type TargetLoad struct {
	VM       model.VMID `msgpack:"v"`
	InFlight uint16     `msgpack:"n"`           // requests that this entry VM has in flight there
	Leaving  bool       `msgpack:"l,omitempty"` // the target has told this entry VM that it is leaving
	Ejected  bool       `msgpack:"e,omitempty"` // this entry VM sends no requests there because of failures
}

// Digest is the state that an entry VM periodically sends to its peers. Peers in
// other zones get it without Loads.
type Digest struct {
	Entry      model.EntryID  `msgpack:"i,omitempty"` // like Zone, sent only in the hello and filled in by the receiver
	Zone       model.ZoneName `msgpack:"z,omitempty"`
	Seq        uint64         `msgpack:"s"` // increases with each digest of one run of the daemon
	Revision   infra.Revision `msgpack:"r"` // of the sender's view; acknowledges all revisions up to it
	Generation uint64         `msgpack:"g"` // of the declaration that the sender has in force
	Loads      []TargetLoad   `msgpack:"t,omitempty"`
	Queued     uint32         `msgpack:"q,omitempty"` // requests queued at the sender
	InFlight   uint32         `msgpack:"n,omitempty"` // sum over all targets; stands in for Loads in other zones
	Full       bool           `msgpack:"f,omitempty"` // Loads is complete; if false, it holds what changed since the last digest
	Watching   bool           `msgpack:"w,omitempty"` // the sender holds the platform's watch and relays its events
	Clock      int64          `msgpack:"c"`           // the sender's wall clock, Unix milliseconds
	AgeMillis  uint32         `msgpack:"a"`           // age of the sender's view when it wrote this digest

	// Unchanged means that Demands, Loans, Borrowed and Health equal those of the
	// previous digest and are omitted on the wire. The receiver fills them in.
	Unchanged bool `msgpack:"u,omitempty"`

	// Demands, Loans and Borrowed lend the idle slots of one entry VM to
	// another, see policy/slots. They are sent to all zones and are empty while
	// nothing is lent.
	Demands  []SlotDemand `msgpack:"sw,omitempty"`
	Loans    []SlotLoan   `msgpack:"sl,omitempty"`
	Borrowed []SlotBorrow `msgpack:"sb,omitempty"`

	// Health is sent to all zones.
	Health HealthBitmap `msgpack:"h,omitempty"`
}

// HealthBitmap has one bit for each VM of the sender's zone, in the order of
// their IDs. A bit is set if the sender has recently probed the VM and found it
// healthy; it is clear for VMs that the sender does not probe.
type HealthBitmap struct {
	VMListHash uint64 `msgpack:"l,omitempty"` // hash of the zone's VM IDs in that order
	Bits       []byte `msgpack:"b,omitempty"`
}

// Healthy reports whether the bit of the VM at index i is set.
func (v HealthBitmap) Healthy(i int) bool {
	return i/8 < len(v.Bits) && v.Bits[i/8]&(1<<(i%8)) != 0
}

// Loads is what request routing needs to know from the peers' digests.
// Implementations are safe for concurrent use and do not block. A peer counts as
// fresh while its digests keep arriving.
type Loads interface {
	// PeerInFlight returns the number of requests that fresh peers of the own
	// zone have in flight at the target.
	PeerInFlight(vm model.VMID) int
	// PeerSaysLeaving reports whether a fresh peer of the own zone has been told
	// by the target that it is leaving.
	PeerSaysLeaving(vm model.VMID) bool
	// LiveEntries returns the number of live entry VMs in the zone, including
	// this one.
	LiveEntries(zone model.ZoneName) int
}

// SlotDemand asks the peers to lend slots of a service. A slot is the right to have
// one request in flight at a target. Slots is how many the sender needs beyond its
// own share: for queued requests, and the borrowed slots in use.
type SlotDemand struct {
	Service model.ServiceName `msgpack:"s"`
	Slots   uint16            `msgpack:"n"`
}

// SlotLoan lends the peer To slots of the target VM that belong to the sender. Slots
// is 0 while a recall of the loan has not been confirmed by the borrower. Version
// grows with each change of the loan.
type SlotLoan struct {
	VM      model.VMID    `msgpack:"v"`
	To      model.EntryID `msgpack:"t"`
	Slots   uint8         `msgpack:"n"`
	Version uint32        `msgpack:"r"`
}

// SlotBorrow confirms to the lender From that the sender, who is the borrower, has
// seen a version of a loan of the target VM's slots, and reports how many of the
// lent slots are in use.
type SlotBorrow struct {
	VM      model.VMID    `msgpack:"v"`
	From    model.EntryID `msgpack:"f"`
	InUse   uint8         `msgpack:"n"`
	Version uint32        `msgpack:"r"`
}

// PeerDigest is the newest digest of one live peer. Loads may be nil.
type PeerDigest struct {
	Digest
	ReceivedAt time.Time
}

// DigestSource is implemented by Loads that also provide the digests. Without
// it, an entry VM uses only its own share of slots and lends none.
type DigestSource interface {
	// PeerDigests returns the newest digest of each live peer of all zones.
	PeerDigests() []PeerDigest
}
