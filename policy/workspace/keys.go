package workspace

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/work"
)

// Digest is the digest of a key: the secret that a caller sends with a call to show for which
// workspace it works. The key itself is not kept, so that the memory, a log or a
// message between entry VMs reveals none. Empty: no key.
type Digest string

// Keys maps the digest of each key to its workspace. A lookup leaks nothing useful through its
// timing: it compares digests, whose first bytes a caller can't choose.
type Keys map[Digest]work.WorkspaceName

// Verdict is the decision whether a call is admitted, given the workspace key that it was sent with.
type Verdict int8

// The verdicts.
const (
	// Admitted: the key is a workspace's, or there is none on a route that is open to all.
	Admitted Verdict = iota
	// NoKey: the route requires a key and there is none.
	NoKey
	// UnknownKey: no workspace has the key, by a configuration that is certainly recent enough.
	UnknownKey
	// RefreshFirst: the key may be in a configuration that this entry VM has not seen. It has to read
	// the newest one and decide again.
	RefreshFirst
	// Unconfirmed: the key may have been revoked by a configuration that this entry VM has not
	// seen.
	Unconfirmed
)

// trustFor is the greatest age of a confirmed configuration by which a key may be called unknown.
// A caller may use a key the moment it is declared. Calls with unknown keys cause at most one read
// of the store in this time, however many there are.
const trustFor = 500 * time.Millisecond

// Confirmation tells how recent an entry VM's configuration is known to be.
type Confirmation struct {
	// Age is the time since the configuration was last known to be the newest.
	Age time.Duration
	// MaxAge is the greatest age at which keys may still be accepted; 0: any.
	MaxAge time.Duration
}

// Admit decides on a call with the key and returns the workspace that it belongs to, if any. open
// tells that the route is open to all.
// A key that is given is checked on open routes as well: a caller with a revoked key is told so
// instead of being served without its workspace.
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
		return "", RefreshFirst
	case !known:
		return "", UnknownKey
	case c.MaxAge > 0 && c.Age > c.MaxAge:
		return "", Unconfirmed
	}
	return name, Admitted
}
