package node

import (
	"runtime"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/ownership"
	"github.com/pumicestage/pumicestage/policy/overload"
)

// A probe ends also on a VM that does nothing else, and is counted.
func TestAProbeIsMeasured(t *testing.T) {
	p := newPressure(bootClock{})
	p.probe()
	assert.Assert(t, p.Behind() > 0)
	assert.Assert(t, p.Standing() <= p.Behind())
	waits, is := newMetrics(p).waits().(map[string]int64)
	assert.Assert(t, is && waits["longest"] >= waits["standing"])
}

// Answers wait behind what is ready already, and the probe passes it: the runtime runs the
// newest goroutine next. The probe must wait in line as answers do.
func TestAProbeWaitsInLine(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const ready = 50
	var ran atomic.Int32
	for range ready {
		go ran.Add(1)
	}
	newPressure(bootClock{}).probe()
	assert.Assert(t, ran.Load() >= ready/2, "%d of %d ran before it", ran.Load(), ready)
}

// A cell goes from a VM that is behind to a smaller one, or to one with a cell of its own,
// and is worse off.
func TestADutyGoesToAVMThatCanBearIt(t *testing.T) {
	n := &Node{settings: &Settings{Name: "e1", CPUShare: 0.8}, directory: &ownership.Directory{Log: logr.Discard()}}
	n.members = newEntryVMs(nil, logr.Discard())
	member := func(name, weight string) {
		n.members.directory.Change(infra.Event{Kind: infra.EventPut, KV: infra.KV{
			Key: infra.WorkEntryKey(name), Value: []byte(`{"address":"10.0.0.1:1","weight":` + weight + `}`),
		}})
	}
	member("e1", "0.8")
	member("small", "0.1")
	assert.Equal(t, n.successor(), overload.NoSuccessor)
	member("busy", "2")
	n.directory.Replace([]infra.KV{{Key: infra.WorkOwnerKey("cell/a"), Value: []byte(`{"entry":"busy","address":"10.0.0.1:1"}`), ModRevision: 1}})
	assert.Equal(t, n.successor(), overload.NoSuccessor)
	member("equal", "0.8")
	assert.Equal(t, n.successor(), overload.EqualSuccessor)
	member("large", "1.6")
	assert.Equal(t, n.successor(), overload.LargerSuccessor)
}
