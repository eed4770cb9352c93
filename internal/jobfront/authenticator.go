package jobfront

import (
	"context"
	"crypto/sha256"
	"errors"
	"expvar"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/policy/work"
	"github.com/pumicestage/pumicestage/policy/workspace"
)

// Errors of calls refused because of their key.
var (
	ErrNoKey      = errors.New("jobfront: the route asks for a key")
	ErrUnknownKey = errors.New("jobfront: no workspace has the key")
)

// KeyDigest returns the SHA-256 digest of a key; empty for an empty key.
func KeyDigest(key string) workspace.Digest {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(key))
	return workspace.Digest(sum[:])
}

// Configs provides the configuration in force, as far as this entry VM knows it.
type Configs interface {
	Keys() workspace.Keys
	// Age returns the time since the configuration was last known to be the newest.
	Age() time.Duration
	// Confirm reads the newest configuration from the store. Concurrent calls share a read.
	Confirm(ctx context.Context) error
}

// KeyAuthenticator determines a call's workspace from its key. It refuses unknown keys, and calls
// without a key to queues whose route is not open.
type KeyAuthenticator struct {
	Configs Configs
	// MaxConfigAge is the maximum age of the configuration's last confirmation with which
	// keys are accepted; 0: no limit, so that a cut-off entry VM goes on accepting the keys
	// that it knows.
	MaxConfigAge time.Duration
	Log          logr.Logger
	Refusals     *expvar.Map // by reason; nil: not counted
}

// unconfirmedRetryAfter is the RetryAfter of an entry VM that can't tell whether a key is
// valid: by then the balancer sends the caller to another one, or the store is reachable again.
const unconfirmedRetryAfter = 1 * time.Second

// Admit returns the workspace of a call to the queue with the key; an empty key means none. The
// error is ErrNoKey, ErrUnknownKey, or a *Refusal if this entry VM can't tell whether the key is
// valid.
func (a *KeyAuthenticator) Admit(ctx context.Context, q engine.Queue, key string) (work.WorkspaceName, error) {
	digest := KeyDigest(key)
	name, verdict := a.check(q, digest)
	if verdict == workspace.RefreshFirst || verdict == workspace.Unconfirmed {
		if err := a.Configs.Confirm(ctx); err != nil {
			a.Log.Info("configuration not confirmed", "age", a.Configs.Age().String(), "error", err.Error())
		}
		name, verdict = a.check(q, digest)
	}
	switch verdict {
	case workspace.Admitted:
		return name, nil
	case workspace.NoKey:
		return "", a.countRefusal(q, "no key", ErrNoKey)
	case workspace.UnknownKey:
		return "", a.countRefusal(q, "unknown key", ErrUnknownKey)
	}
	return "", a.countRefusal(q, "key not confirmed", &Refusal{Reason: "the configuration may be out of date", RetryAfter: unconfirmedRetryAfter})
}

func (a *KeyAuthenticator) check(q engine.Queue, key workspace.Digest) (work.WorkspaceName, workspace.Verdict) {
	return a.Configs.Keys().Admit(key, q.Open, workspace.Confirmation{Age: a.Configs.Age(), MaxAge: a.MaxConfigAge})
}

// countRefusal counts and logs a refusal, and returns err.
func (a *KeyAuthenticator) countRefusal(q engine.Queue, reason string, err error) error {
	if a.Refusals != nil {
		a.Refusals.Add(reason, 1)
	}
	a.Log.Info("call refused because of its key", "queue", q.Name, "reason", reason, "config age", a.Configs.Age().String())
	return err
}
