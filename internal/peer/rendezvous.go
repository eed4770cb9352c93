package peer

import (
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/rendezvous"
)

// Rendezvous returns the rendezvous hashing score of an entry VM for a piece of
// work. The live entry VM with the highest score does the work.
func Rendezvous(work string, id model.EntryID) uint64 { return rendezvous.Score(work, string(id)) }
