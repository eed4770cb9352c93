package relay

import (
	"github.com/pumicestage/pumicestage/internal/infra"
)

// versions identifies the state of a view. Its three parts (VMs, entry VMs and
// the declaration) arrive over separate watches, so each has its own version.
type versions struct {
	Revision   infra.Revision `msgpack:"r"` // of the VMs
	Entries    infra.Revision `msgpack:"e"` // of the list of entry VMs
	Generation uint64         `msgpack:"g"` // of the declaration
	// Lineage is a random number that identifies the full read of the store
	// that the VMs are based on. A store restored from a backup assigns the
	// same revisions again, so a delta between two revisions is valid only
	// within one lineage.
	Lineage uint64 `msgpack:"l"`
}

// poll asks a peer for whatever is newer than Have, and subscribes the sender
// to further changes for subscriptionTTL.
type poll struct {
	Nonce uint64   `msgpack:"n"`
	Have  versions `msgpack:"h"`
}

// record is a key with its value and revision as read from the store. Peers
// forward the stored bytes unchanged, so a view that was relayed several times
// is still identical to the store's, and entry VMs of different versions need
// no common encoding.
type record struct {
	Key         string         `msgpack:"k"`
	Value       []byte         `msgpack:"v,omitempty"`
	ModRevision infra.Revision `msgpack:"m"`
}

// update is a change of a view, received from a watch on the store or from a
// peer.
type update struct {
	// fromStore is set if the changes come from a watch that continues from
	// the local VMs; the lineage then need not match.
	fromStore bool

	Nonce     uint64   `msgpack:"n,omitempty"` // of the poll that this answers; 0 for a pushed change
	AgeMillis uint32   `msgpack:"a"`           // time since the sender's view was last known to be current
	Versions  versions `msgpack:"i"`           // the receiver's versions once it has applied the update

	// With Full, Puts replaces all VMs; otherwise Puts and Deletes are the
	// changes after revision Base.
	Full    bool           `msgpack:"f,omitempty"`
	Base    infra.Revision `msgpack:"b,omitempty"`
	Puts    []record       `msgpack:"p,omitempty"`
	Deletes []record       `msgpack:"d,omitempty"`

	// Entries is the complete list of entry VMs if HasEntries is set.
	HasEntries bool     `msgpack:"x,omitempty"`
	Entries    []record `msgpack:"l,omitempty"`

	// Config is the stored declaration, nil if it did not change.
	Config *record `msgpack:"c,omitempty"`
}

func recordOf(kv infra.KV) record {
	return record{Key: kv.Key, Value: kv.Value, ModRevision: kv.ModRevision}
}

func recordsOf(kvs []infra.KV) []record {
	records := make([]record, len(kvs))
	for i, kv := range kvs {
		records[i] = recordOf(kv)
	}
	return records
}
