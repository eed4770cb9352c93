package workspace

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/work"
)

// Digest stands for a key, which is not kept: whoever reads the memory, a log or a message
// between entry VMs learns no key from it. Empty: no key.
type Digest string

// Keys tells whose each key is. Finding one takes as long for any key: what is compared is
// digests, of which a caller can't choose the beginning.
type Keys map[Digest]work.WorkspaceName

// Verdict is what becomes of a call by its key.
type Verdict int8

// The verdicts.
const (
	// Admitted: the call is the workspace's, or nobody's on a route that is open to all.
	Admitted Verdict = iota
	// NoKey: the route asks for a key.
	NoKey
	// UnknownKey: no workspace has the key, by a configuration that is certain to be new enough.
	UnknownKey
	// AskFirst: the key may be in a configuration that this entry VM has not seen.
	AskFirst
	// Unconfirmed: the key may have been taken away by one that it has not seen.
	Unconfirmed
)

// trustFor is how old a confirmation of the configuration may be to call a key unknown.
// A caller gets a key the moment it is declared and uses it at once. At most one read of the
// store in this time follows from calls with unknown keys, however many there are.
const trustFor = 500 * time.Millisecond

// Confirmation tells how sure an entry VM is of its configuration.
type Confirmation struct {
	// Age is how long ago the configuration was known to be the newest.
	Age time.Duration
	// MaxAge is the greatest age at which keys may still be accepted; 0: any.
	MaxAge time.Duration
}

// Admit decides on a call with the key on a route that is open to all or not.
// A key that is given is checked on open routes as well: a caller who sends one that was taken
// away is told so, rather than served as somebody else.
func (k Keys) Admit(key Digest, open bool, c Confirmation) (work.WorkspaceName, Verdict) {
	if key == "" {
		if open {
			return "", Admitted
		}
		return "", NoKey
	}
	name, known := k[key]
	switch {
	case !known && c.Age > trustFor:
		return "", AskFirst
	case !known:
		return "", UnknownKey
	case c.MaxAge > 0 && c.Age > c.MaxAge:
		return "", Unconfirmed
	}
	return name, Admitted
}
