package node

import (
	"context"
	"fmt"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/platform"
	"github.com/pumicestage/pumicestage/policy/work"
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

// oneKey is a store that has one key, and says when it is read.
type oneKey struct {
	infra.Store
	kv    infra.KV
	reads chan string
}

func (s *oneKey) Get(_ context.Context, key string) (infra.KV, infra.Revision, error) {
	s.reads <- key
	if key == s.kv.Key {
		return s.kv, 1, nil
	}
	return infra.KV{Key: key}, 1, nil
}

// Callers wait while VMs that were drawn for them stand idle: the watch that tells of
// registrations is silent for seconds. The list of VMs names the workers, and their
// registrations are read one by one; a worker that has none yet is asked for again.
func TestAWorkerThatNoWatchTellsOfIsLookedUp(t *testing.T) {
	store := &oneKey{kv: registered("i-1", "ready"), reads: make(chan string)}
	store.kv.ModRevision = 1
	changed := make(chan struct{})
	r := newRegistry(store, logr.Discard(), func() { close(changed) })
	r.replace(nil)
	r.lookup([]work.WorkerID{"i-1"})
	r.lookup([]work.WorkerID{"i-1"})
	assert.Equal(t, <-store.reads, platform.WorkerPrefix+"i-1")
	<-changed
	assert.Equal(t, len(r.list("a")), 1)
	r.lookup([]work.WorkerID{"i-2"})
	assert.Equal(t, <-store.reads, platform.WorkerPrefix+"i-2", "and no second read of i-1")
	assert.Equal(t, len(r.list("a")), 1)
}

// A task goes to a worker that is leaving: it was looked up as leaving, and the watch, which
// lags, told of it as ready afterwards. What is older than what was read changes nothing.
func TestALaggingWatchDoesNotMakeALeavingWorkerReady(t *testing.T) {
	r := newRegistry(nil, logr.Discard(), nil)
	put := func(state string, at infra.Revision) infra.Event {
		kv := registered("i-1", state)
		kv.ModRevision = at
		return infra.Event{Kind: infra.EventPut, KV: kv}
	}
	assert.Equal(t, r.change(put("draining", 7)), true)
	assert.Equal(t, r.change(put("ready", 5)), false)
	assert.Equal(t, r.list("a")[0].Draining, true)
	assert.Equal(t, r.change(put("ready", 8)), true)
}

// A task goes to a worker that has no room for it any more: its registration told of less
// room, and its owner heard of it only with the next worker that joined.
func TestOwnersAreToldOfAWorkerWhoseRoomChanges(t *testing.T) {
	r := newRegistry(nil, logr.Discard(), nil)
	with := func(cpu int) infra.Event {
		const entry = `{"service":"a","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":%d}}`
		return infra.Event{Kind: infra.EventPut, KV: infra.KV{Key: platform.WorkerPrefix + "i-1", Value: fmt.Appendf(nil, entry, cpu)}}
	}
	assert.Equal(t, r.change(with(8000)), true)
	assert.Equal(t, r.change(with(8000)), false, "nothing changed")
	assert.Equal(t, r.change(with(2000)), true, "less room")
	assert.Equal(t, r.list("a")[0].Capacity.MilliCPU, int64(2000))
	assert.Equal(t, r.change(with(8000)), true, "more room")
}

// A worker that starts again under its ID is taken for the life before.
func TestOwnersAreToldOfAWorkerThatStartsAgain(t *testing.T) {
	r := newRegistry(nil, logr.Discard(), nil)
	born := func(ms string) infra.Event {
		const entry = `{"service":"a","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":8000}%s}`
		return infra.Event{Kind: infra.EventPut, KV: infra.KV{Key: platform.WorkerPrefix + "i-1", Value: fmt.Appendf(nil, entry, ms)}}
	}
	assert.Equal(t, r.change(born(`,"born":1000`)), true)
	assert.Equal(t, r.change(born(`,"born":1000`)), false)
	assert.Equal(t, r.change(born(`,"born":2000`)), true)
	assert.Equal(t, r.list("a")[0].Incarnation, work.Incarnation(2000))
	assert.Equal(t, r.change(born("")), true, "an entry that lacks what the worker told before")
	assert.Equal(t, r.list("a")[0].Unreadable, true)
	assert.Equal(t, r.change(born(`,"born":2000`)), true)
	assert.Equal(t, r.list("a")[0].Unreadable, false)
}
