package peer

import (
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/rendezvous"
)

// Rendezvous scores an entry VM for a piece of work; whoever has the highest
// score of the live ones does it.
func Rendezvous(work string, id model.EntryID) uint64 { return rendezvous.Score(work, string(id)) }
