package relay

import (
	"github.com/pumicestage/pumicestage/internal/infra"
)

// versions says how new a view is. The three parts come by watches of their
// own, so that each has a version of its own.
type versions struct {
	Revision   infra.Revision `msgpack:"r"` // of the VMs
	Entries    infra.Revision `msgpack:"e"` // of the list of entry VMs
	Generation uint64         `msgpack:"g"` // of the declaration
	// Lineage names the reading of the whole store that the VMs descend
	// from. A store restored to an older state counts its revisions anew, so
	// that a delta by revision is right only within one lineage.
	Lineage uint64 `msgpack:"l"`
}

// poll asks a peer for what is newer than Have, and to be sent further changes
// for a while.
type poll struct {
	Nonce uint64   `msgpack:"n"`
	Have  versions `msgpack:"h"`
}

// record is a key as the store holds it. Values are passed on as they were
// read, so that a view relayed over many peers is the store's own and entry
// VMs of different builds need not agree on an encoding.
type record struct {
	Key   string         `msgpack:"k"`
	Value []byte         `msgpack:"v,omitempty"`
	Mod   infra.Revision `msgpack:"m"`
}

// update is a change of a view: from the store's watch, or from a peer.
type update struct {
	// fromStore: the changes come by a watch that runs on from the VMs here,
	// whatever their lineage.
	fromStore bool

	Nonce     uint64   `msgpack:"n,omitempty"` // of the poll it answers; 0 for unasked
	AgeMillis uint32   `msgpack:"a"`           // how long ago the sender knew it to be current
	Is        versions `msgpack:"i"`           // what the receiver has afterwards

	// VMs: Full replaces all; otherwise Puts and Gone are the changes since From.
	Full bool           `msgpack:"f,omitempty"`
	From infra.Revision `msgpack:"b,omitempty"`
	Puts []record       `msgpack:"p,omitempty"`
	Gone []record       `msgpack:"d,omitempty"`

	// Entries is the whole list where HasEntries.
	HasEntries bool     `msgpack:"x,omitempty"`
	Entries    []record `msgpack:"l,omitempty"`

	// Config is the declaration, nil where it did not change.
	Config *record `msgpack:"c,omitempty"`
}

func recordOf(kv infra.KV) record {
	return record{Key: kv.Key, Value: kv.Value, Mod: kv.ModRevision}
}

func recordsOf(kvs []infra.KV) []record {
	records := make([]record, len(kvs))
	for i, kv := range kvs {
		records[i] = recordOf(kv)
	}
	return records
}
