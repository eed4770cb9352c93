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

// fakeConfigs provides keys; newest replaces them once Confirm succeeds.
type fakeConfigs struct {
	keys, newest workspace.Keys
	age          time.Duration
	reads        int
	err          error
}

func (c *fakeConfigs) Keys() workspace.Keys { return c.keys }
func (c *fakeConfigs) Age() time.Duration   { return c.age }
func (c *fakeConfigs) Confirm(context.Context) error {
	c.reads++
	if c.err == nil {
		c.keys, c.age = c.newest, 0
	}
	return c.err
}

var (
	keyedQueue = engine.Queue{Name: "keyed"}
	openQueue  = engine.Queue{Name: "open", Open: true}
)

func newAuthenticator(c *fakeConfigs) *KeyAuthenticator {
	return &KeyAuthenticator{Configs: c, Log: logr.Discard(), Refusals: new(expvar.Map).Init()}
}

// A key that was declared a moment ago was refused as unknown, because the entry VM's watch had
// not delivered the new configuration. The configuration is read before a key is refused.
func TestTheConfigurationIsReadBeforeAKeyIsRefused(t *testing.T) {
	c := &fakeConfigs{keys: workspace.Keys{}, newest: workspace.Keys{KeyDigest("new"): "red"}, age: time.Second}
	name, err := newAuthenticator(c).Admit(t.Context(), keyedQueue, "new")
	assert.NilError(t, err)
	assert.Equal(t, name, work.WorkspaceName("red"))
}

// A client tries thousands of keys. A read of the store for each would slow down the owners; one
// read serves all attempts within half a second.
func TestABurstOfUnknownKeysCausesOneRead(t *testing.T) {
	c := &fakeConfigs{keys: workspace.Keys{}, age: time.Minute}
	g := newAuthenticator(c)
	for range 5000 {
		_, err := g.Admit(t.Context(), keyedQueue, "false")
		assert.Assert(t, errors.Is(err, ErrUnknownKey))
	}
	assert.Equal(t, c.reads, 1)
	assert.Equal(t, g.Refusals.Get("unknown key").String(), "5000")
}

// The store refuses this entry VM's reads while keys change. A call with a key unknown to it is
// not refused for good but told to retry, as other entry VMs may know the key.
func TestAnUnconfirmedConfigurationDoesNotMakeAKeyUnknown(t *testing.T) {
	c := &fakeConfigs{keys: workspace.Keys{KeyDigest("old"): "red"}, age: time.Second, err: errors.New("busy")}
	g := newAuthenticator(c)
	_, err := g.Admit(t.Context(), keyedQueue, "new")
	var refusal *Refusal
	assert.Assert(t, errors.As(err, &refusal))
	assert.Equal(t, refusal.RetryAfter, unconfirmedRetryAfter)
	name, err := g.Admit(t.Context(), keyedQueue, "old")
	assert.NilError(t, err, "a known key is accepted")
	assert.Equal(t, name, work.WorkspaceName("red"))
}

// A revoked key is still accepted by an entry VM that is cut off. If the settings require that
// keys are revoked everywhere, such an entry VM accepts no keys once its configuration is older
// than allowed; calls to open routes are still accepted.
func TestWithMaxConfigAgeACutOffEntryVMAcceptsNoKeys(t *testing.T) {
	c := &fakeConfigs{keys: workspace.Keys{KeyDigest("old"): "red"}, age: 5*time.Second + 1, err: errors.New("cut off")}
	g := newAuthenticator(c)
	g.MaxConfigAge = 5 * time.Second
	_, err := g.Admit(t.Context(), keyedQueue, "old")
	var refusal *Refusal
	assert.Assert(t, errors.As(err, &refusal))
	_, err = g.Admit(t.Context(), openQueue, "")
	assert.NilError(t, err)
	c.age = 5 * time.Second
	_, err = g.Admit(t.Context(), keyedQueue, "old")
	assert.NilError(t, err)
}

func TestARouteThatIsNotOpenRequiresAKey(t *testing.T) {
	_, err := newAuthenticator(&fakeConfigs{}).Admit(t.Context(), keyedQueue, "")
	assert.Assert(t, errors.Is(err, ErrNoKey))
}
