package jobfront

import (
	"context"
	"errors"
	"expvar"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/policy/work"
	"github.com/pumicestage/pumicestage/policy/workspace"
)

// configs is a configuration whose newest state only a read of the store tells.
type configs struct {
	keys, newest workspace.Keys
	age          time.Duration
	reads        int
	err          error
}

func (c *configs) Keys() workspace.Keys { return c.keys }
func (c *configs) Age() time.Duration   { return c.age }
func (c *configs) Confirm(context.Context) error {
	c.reads++
	if c.err == nil {
		c.keys, c.age = c.newest, 0
	}
	return c.err
}

var (
	keyed = engine.Queue{Name: "keyed"}
	open  = engine.Queue{Name: "open", Open: true}
)

func newGate(c *configs) *Gate {
	return &Gate{Configs: c, Log: logr.Discard(), Refused: new(expvar.Map).Init()}
}

// A caller was given a key a moment ago and is told that nobody has it: the entry VM's watch
// was silent as the key was declared. It reads the configuration before it says so.
func TestAKeyThatIsNewIsReadBeforeItIsRefused(t *testing.T) {
	c := &configs{keys: workspace.Keys{}, newest: workspace.Keys{DigestOf("new"): "red"}, age: time.Second}
	name, err := newGate(c).Admit(t.Context(), keyed, "new")
	assert.NilError(t, err)
	assert.Equal(t, name, work.WorkspaceName("red"))
}

// Somebody tries out thousands of keys. Each try that cost a read of the store would take it
// from the owners; one read answers for all tries of half a second.
func TestABurstOfFalseKeysCostsTheStoreOneRead(t *testing.T) {
	c := &configs{keys: workspace.Keys{}, age: time.Minute}
	g := newGate(c)
	for range 5000 {
		_, err := g.Admit(t.Context(), keyed, "false")
		assert.Assert(t, errors.Is(err, ErrUnknownKey))
	}
	assert.Equal(t, c.reads, 1)
	assert.Equal(t, g.Refused.Get("unknown key").String(), "5000")
}

// The store turns this entry VM away while keys change. A call with a key that it does not
// know gets no final answer here: it is told to come back, and others may know.
func TestAnEntryVMThatCanNotBeSureDoesNotCallAKeyUnknown(t *testing.T) {
	c := &configs{keys: workspace.Keys{DigestOf("old"): "red"}, age: time.Second, err: errors.New("busy")}
	g := newGate(c)
	_, err := g.Admit(t.Context(), keyed, "new")
	var refusal *Refusal
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.RetryAfter, unconfirmedBack)
	name, err := g.Admit(t.Context(), keyed, "old")
	assert.NilError(t, err, "what it knows it serves")
	assert.Equal(t, name, work.WorkspaceName("red"))
}

// A key was taken away and its holder is still served by an entry VM that is cut off. Where the
// operator asks that keys be revoked everywhere, it accepts none after the time allowed; calls
// on open routes go on.
func TestWhereKeysAreRevokedEverywhereACutOffEntryVMAcceptsNone(t *testing.T) {
	c := &configs{keys: workspace.Keys{DigestOf("old"): "red"}, age: 5*time.Second + 1, err: errors.New("cut off")}
	g := newGate(c)
	g.MaxConfigAge = 5 * time.Second
	_, err := g.Admit(t.Context(), keyed, "old")
	var refusal *Refusal
	assert.Assert(t, errors.As(err, &refusal))
	_, err = g.Admit(t.Context(), open, "")
	assert.NilError(t, err)
	c.age = 5 * time.Second
	_, err = g.Admit(t.Context(), keyed, "old")
	assert.NilError(t, err)
}

func TestARouteThatIsNotOpenAsksForAKey(t *testing.T) {
	_, err := newGate(&configs{}).Admit(t.Context(), keyed, "")
	assert.Assert(t, errors.Is(err, ErrNoKey))
}
