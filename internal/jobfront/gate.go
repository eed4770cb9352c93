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

// Why a call is turned away by its key.
var (
	ErrNoKey      = errors.New("jobfront: the route asks for a key")
	ErrUnknownKey = errors.New("jobfront: no workspace has the key")
)

// DigestOf returns the digest of a key.
func DigestOf(key string) workspace.Digest {
	if key == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(key))
	return workspace.Digest(sum[:])
}

// Configs is the configuration in force, as this entry VM knows it.
type Configs interface {
	Keys() workspace.Keys
	// Age is how long ago the configuration was known to be the newest.
	Age() time.Duration
	// Confirm reads the newest configuration, together with all who ask at the same time.
	Confirm(ctx context.Context) error
}

// Gate decides by its key whose a call is.
type Gate struct {
	Configs Configs
	// MaxConfigAge is how old a confirmation of the configuration may be for a key to be accepted; 0:
	// a cut-off entry VM goes on with the keys that it knows.
	MaxConfigAge    time.Duration
	Log     logr.Logger
	Refused *expvar.Map // by reason; nil: not counted
}

// unconfirmedBack is when to come back to an entry VM that can't tell whether a key is good:
// by then the balancer sends the caller to another one, or the store is back.
const unconfirmedBack = 1 * time.Second

// Admit returns the workspace of a call with the key (empty: none) to the queue. The error is
// ErrNoKey, ErrUnknownKey, or a *Refusal where this entry VM can't tell.
func (g *Gate) Admit(ctx context.Context, q engine.Queue, key string) (work.WorkspaceName, error) {
	digest := DigestOf(key)
	name, verdict := g.judge(q, digest)
	if verdict == workspace.RefreshFirst || verdict == workspace.Unconfirmed {
		if err := g.Configs.Confirm(ctx); err != nil {
			g.Log.Info("configuration not confirmed", "age", g.Configs.Age().String(), "error", err.Error())
		}
		name, verdict = g.judge(q, digest)
	}
	switch verdict {
	case workspace.Admitted:
		return name, nil
	case workspace.NoKey:
		return "", g.refuse(q, "no key", ErrNoKey)
	case workspace.UnknownKey:
		return "", g.refuse(q, "unknown key", ErrUnknownKey)
	}
	return "", g.refuse(q, "key not confirmed", &Refusal{Reason: "the configuration may be out of date", RetryAfter: unconfirmedBack})
}

func (g *Gate) judge(q engine.Queue, key workspace.Digest) (work.WorkspaceName, workspace.Verdict) {
	return g.Configs.Keys().Admit(key, q.Open, workspace.Confirmation{Age: g.Configs.Age(), MaxAge: g.MaxConfigAge})
}

func (g *Gate) refuse(q engine.Queue, reason string, err error) error {
	if g.Refused != nil {
		g.Refused.Add(reason, 1)
	}
	g.Log.Info("call turned away by its key", "queue", q.Name, "reason", reason, "config age", g.Configs.Age().String())
	return err
}
