package node

import (
	"fmt"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/platform"
)

func registered(id, state string) infra.KV {
	const entry = `{"service":"a","address":"10.0.0.1:80","state":%q,"capacity":{"cpu":1000}}`
	return infra.KV{Key: platform.WorkerPrefix + id, Value: fmt.Appendf(nil, entry, state)}
}

// Jobs wait although workers are free: among the registrations are some that another
// writer left. They name nobody; the others hold.
func TestRegistrationsThatCantBeReadLeaveTheOthers(t *testing.T) {
	r := newRegistry(nil, logr.Discard(), nil)
	r.replace([]infra.KV{registered("i-1", "ready"), {Key: platform.WorkerPrefix + "x", Value: []byte("\xff")}, registered("i-2", "odd")})
	assert.Equal(t, len(r.list("a")), 1)
	assert.Equal(t, r.change(infra.Event{Kind: infra.EventPut, KV: registered("i-3", "odd")}), false)
	assert.Equal(t, len(r.list("a")), 1)
}

// A task goes to a worker of which nobody knows any more whether it takes tasks: its
// registration was overwritten by one that can't be read. It stays known, as its tasks are
// there, takes nothing new, and is back with its next registration of its own.
func TestAWorkerWhoseRegistrationIsOverwrittenTakesNothingNew(t *testing.T) {
	r := newRegistry(nil, logr.Discard(), nil)
	r.replace([]infra.KV{registered("i-1", "ready")})
	odd := infra.Event{Kind: infra.EventPut, KV: registered("i-1", "odd")}
	assert.Equal(t, r.change(odd), true, "owners are told")
	assert.Equal(t, r.change(odd), false, "once")
	assert.Equal(t, r.list("a")[0].Unreadable, true)
	r.replace([]infra.KV{odd.KV})
	assert.Equal(t, r.list("a")[0].Unreadable, true)
	assert.Equal(t, r.change(infra.Event{Kind: infra.EventPut, KV: registered("i-1", "ready")}), true)
	assert.Equal(t, r.list("a")[0].Unreadable, false)
}
