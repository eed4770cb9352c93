package config

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// maxRecentChanges is the number of earlier changes recorded in the stored
// declaration. At 5,000 changes a day, 64 cover about 15 minutes, which is
// longer than any client repeats a change whose reply was lost. More would make
// up most of a small declaration, which every change sends to every entry VM.
const maxRecentChanges = 64

// Applied is the record of one accepted change.
type Applied struct {
	Generation uint64
	Change     model.ChangeID
	By         string // the operator who applied it
	From       string // the address that the request came from
	At         time.Time
}

// Stored is the value under infra.ConfigKey: the declaration and the record of
// its change. Its JSON object holds the declaration's fields directly, so that
// a reader that needs only those can decode it as a model.Declaration.
type Stored struct {
	model.Declaration
	By     string
	From   string
	At     time.Time
	Recent []Applied // earlier changes, oldest first, at most maxRecentChanges
}

// Last returns the record of the change in force.
func (s *Stored) Last() Applied {
	return Applied{Generation: s.Generation, Change: s.Change, By: s.By, From: s.From, At: s.At}
}

// find returns the record of the change if it is the one in force or a recent
// one.
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

// Read returns the declaration in the store and its revision, or nil and 0 if
// there is none yet. Its errors are *UnavailableError and *CorruptError.
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

// Decode decodes the value under infra.ConfigKey. Its error is *CorruptError.
func Decode(value []byte) (*Stored, error) {
	s := &Stored{}
	if err := infra.DecodeValue(value, s); err != nil {
		return nil, trace.Wrap(&CorruptError{Err: err})
	}
	return s, nil
}

// Encode returns the value to store under infra.ConfigKey.
func Encode(s *Stored) ([]byte, error) {
	value, err := infra.EncodeValue(s)
	return value, trace.Wrap(err)
}
