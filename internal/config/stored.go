package config

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// recentLimit is how many earlier changes the stored declaration remembers.
// At 5,000 changes a day, 64 are the last quarter of an hour: longer than any
// client goes on repeating a change whose reply was lost. More would make up
// most of a small declaration, which every change sends to every entry VM.
const recentLimit = 64

// Applied is the record of one accepted change.
type Applied struct {
	Generation uint64
	Change     model.ChangeID
	By         string // who applied it
	From       string // the address it came from
	At         time.Time
}

// Stored is the value under infra.ConfigKey. Its JSON is that of the
// declaration with the record of its change beside it, so that a reader who
// only wants the declaration decodes a model.Declaration.
type Stored struct {
	model.Declaration
	By     string
	From   string
	At     time.Time
	Recent []Applied // earlier changes, oldest first, at most recentLimit
}

// Last returns the record of the change in force.
func (s *Stored) Last() Applied {
	return Applied{Generation: s.Generation, Change: s.Change, By: s.By, From: s.From, At: s.At}
}

// find returns the record of the change if it is the last or a recent one.
func (s *Stored) find(change model.ChangeID) (Applied, bool) {
	if s.Change == change {
		return s.Last(), true
	}
	for _, a := range s.Recent {
		if a.Change == change {
			return a, true
		}
	}
	return Applied{}, false
}

// Read returns the declaration in the store and its revision; nil and 0 where
// there is none yet.
func Read(ctx context.Context, store infra.Store) (*Stored, infra.Revision, error) {
	kv, _, err := store.Get(ctx, infra.ConfigKey)
	if err != nil {
		return nil, 0, trace.Wrap(&UnavailableError{Err: err})
	}
	if kv.ModRevision == 0 {
		return nil, 0, nil
	}
	s, err := Decode(kv.Value)
	return s, kv.ModRevision, err
}

// Decode reads the value under infra.ConfigKey.
func Decode(value []byte) (*Stored, error) {
	s := &Stored{}
	if err := infra.DecodeValue(value, s); err != nil {
		return nil, trace.Wrap(&CorruptError{Err: err})
	}
	return s, nil
}

// Encode writes the value for infra.ConfigKey.
func Encode(s *Stored) ([]byte, error) {
	value, err := infra.EncodeValue(s)
	return value, trace.Wrap(err)
}
