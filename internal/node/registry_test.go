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

// Malformed registrations, written by another program, must not hide the valid ones: jobs would
// wait although workers are free.
func TestMalformedRegistrationsDoNotAffectOthers(t *testing.T) {
	r := newRegistry(nil, logr.Discard(), nil)
	r.replace([]infra.KV{registered("i-1", "ready"), {Key: platform.WorkerPrefix + "x", Value: []byte("\xff")}, registered("i-2", "odd")})
	assert.Equal(t, len(r.list("a")), 1)
	assert.Equal(t, r.apply(infra.Event{Kind: infra.EventPut, KV: registered("i-3", "odd")}), false)
	assert.Equal(t, len(r.list("a")), 1)
}

// A worker's registration is overwritten by a malformed one, so that it is unknown whether the
// worker still accepts tasks. It stays in the registry, as its tasks run on, gets no new ones,
// and is available again with its next valid registration.
func TestWorkerWithMalformedRegistrationGetsNoNewTasks(t *testing.T) {
	r := newRegistry(nil, logr.Discard(), nil)
	r.replace([]infra.KV{registered("i-1", "ready")})
	odd := infra.Event{Kind: infra.EventPut, KV: registered("i-1", "odd")}
	assert.Equal(t, r.apply(odd), true, "owners are notified")
	assert.Equal(t, r.apply(odd), false, "once")
	assert.Equal(t, r.list("a")[0].Unreadable, true)
	r.replace([]infra.KV{odd.KV})
	assert.Equal(t, r.list("a")[0].Unreadable, true)
	assert.Equal(t, r.apply(infra.Event{Kind: infra.EventPut, KV: registered("i-1", "ready")}), true)
	assert.Equal(t, r.list("a")[0].Unreadable, false)
}

// singleKeyStore is a store with one key; it reports every read.
type singleKeyStore struct {
	infra.Store
	kv    infra.KV
	reads chan string
}

func (s *singleKeyStore) Get(_ context.Context, key string) (infra.KV, infra.Revision, error) {
	s.reads <- key
	if key == s.kv.Key {
		return s.kv, 1, nil
	}
	return infra.KV{Key: key}, 1, nil
}

// Callers waited while VMs requested for them were idle: the watch of registrations delivered
// nothing for seconds. The registrations of workers in the platform's list of VMs are read one
// by one; a worker that has none yet is looked up again.
func TestWorkerThatNoWatchDeliveredIsLookedUp(t *testing.T) {
	store := &singleKeyStore{kv: registered("i-1", "ready"), reads: make(chan string)}
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

// A task was sent to a draining worker: a lookup had found it draining, and the watch, which
// lags, delivered its older state afterwards. States older than what was read are ignored.
func TestLaggingWatchDoesNotMakeADrainingWorkerReady(t *testing.T) {
	r := newRegistry(nil, logr.Discard(), nil)
	put := func(state string, at infra.Revision) infra.Event {
		kv := registered("i-1", state)
		kv.ModRevision = at
		return infra.Event{Kind: infra.EventPut, KV: kv}
	}
	assert.Equal(t, r.apply(put("draining", 7)), true)
	assert.Equal(t, r.apply(put("ready", 5)), false)
	assert.Equal(t, r.list("a")[0].Draining, true)
	assert.Equal(t, r.apply(put("ready", 8)), true)
}

// A task was sent to a worker without enough capacity: its registration had announced a smaller
// capacity, but its owner was notified only when the next worker joined.
func TestOwnersAreNotifiedOfChangedCapacity(t *testing.T) {
	r := newRegistry(nil, logr.Discard(), nil)
	with := func(cpu int) infra.Event {
		const entry = `{"service":"a","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":%d}}`
		return infra.Event{Kind: infra.EventPut, KV: infra.KV{Key: platform.WorkerPrefix + "i-1", Value: fmt.Appendf(nil, entry, cpu)}}
	}
	assert.Equal(t, r.apply(with(8000)), true)
	assert.Equal(t, r.apply(with(8000)), false, "nothing changed")
	assert.Equal(t, r.apply(with(2000)), true, "smaller capacity")
	assert.Equal(t, r.list("a")[0].Capacity.MilliCPU, int64(2000))
	assert.Equal(t, r.apply(with(8000)), true, "larger capacity")
}

// A worker that restarts under the same ID must not be taken for its previous incarnation.
func TestOwnersAreNotifiedOfARestartedWorker(t *testing.T) {
	r := newRegistry(nil, logr.Discard(), nil)
	born := func(ms string) infra.Event {
		const entry = `{"service":"a","address":"10.0.0.1:80","state":"ready","capacity":{"cpu":8000}%s}`
		return infra.Event{Kind: infra.EventPut, KV: infra.KV{Key: platform.WorkerPrefix + "i-1", Value: fmt.Appendf(nil, entry, ms)}}
	}
	assert.Equal(t, r.apply(born(`,"born":1000`)), true)
	assert.Equal(t, r.apply(born(`,"born":1000`)), false)
	assert.Equal(t, r.apply(born(`,"born":2000`)), true)
	assert.Equal(t, r.list("a")[0].Incarnation, work.Incarnation(2000))
	assert.Equal(t, r.apply(born("")), true, "an entry without the incarnation that the worker registered before")
	assert.Equal(t, r.list("a")[0].Unreadable, true)
	assert.Equal(t, r.apply(born(`,"born":2000`)), true)
	assert.Equal(t, r.list("a")[0].Unreadable, false)
}
