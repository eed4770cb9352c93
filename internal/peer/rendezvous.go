package peer

import (
	"hash/fnv"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Rendezvous scores an entry VM for a piece of work; whoever has the highest
// score of the live ones does it. Everyone who sees the same live peers comes
// to the same answer without asking, and one more or less moves no other's work.
func Rendezvous(work string, id model.EntryID) uint64 {
	h := fnv.New64a()
	h.Write([]byte(work))
	h.Write([]byte{0})
	h.Write([]byte(id))
	// FNV alone leaves the high bits of near-equal names near equal; this is
	// the finalizer of MurmurHash3.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
