// Package peer is the link between entry VMs: who is alive, and msgpack
// digests of what each sends to which target. All of it is a view that may be
// stale; nothing is agreed here.
package peer

import (
	"time"

	"github.com/pumicestage/pumicestage/internal/platform"
	"github.com/pumicestage/pumicestage/policy/model"
)

// TargetLoad is what one entry VM knows first hand of one target.
type TargetLoad struct {
	VM       model.VMID `msgpack:"v"`
	InFlight uint16     `msgpack:"n"`           // its own requests there now
	Leaving  bool       `msgpack:"l,omitempty"` // it has seen the target say that it leaves
	Ejected  bool       `msgpack:"e,omitempty"` // it sends nothing there for failures

	// Slots that lie idle are lent between entry VMs, see policy/slots.
	Want   uint8         `msgpack:"w,omitempty"` // slots it has work for beyond those it may use
	LentTo model.EntryID `msgpack:"o,omitempty"` // whom it lends slots to; empty for nobody
	Lent   uint8         `msgpack:"b,omitempty"` // how many
}

// Digest is what an entry VM tells its peers, in full within its zone.
type Digest struct {
	Entry      model.EntryID     `msgpack:"i"`
	Zone       model.ZoneName    `msgpack:"z"`
	Seq        uint64            `msgpack:"s"` // grows with each digest of one run of the daemon
	Revision   platform.Revision `msgpack:"r"` // of its view; acknowledges everything up to it
	Generation uint64            `msgpack:"g"` // of the declaration it has in force
	Loads      []TargetLoad      `msgpack:"t,omitempty"`
	Queued     uint32            `msgpack:"q,omitempty"`
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

// PeerLoad is what one fresh peer last said of a target.
type PeerLoad struct {
	TargetLoad
	Entry model.EntryID
	Heard time.Time // when its latest digest came, whether or not it changed this load
}

// LoadDetail is implemented by Loads that tell peers apart. Without it entry
// VMs keep to their own shares of slots and lend none.
type LoadDetail interface {
	// PeerLoads returns what each fresh peer of the own zone says of the
	// target, with a zero load where it has nothing there.
	PeerLoads(vm model.VMID) []PeerLoad
}
