package node

import (
	"runtime"
	"sync"
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
	assert.Assert(t, p.MaxDelay() > 0)
	assert.Assert(t, p.MinDelay() <= p.MaxDelay())
	waits, is := newMetrics(p).waits().(map[string]int64)
	assert.Assert(t, is && waits["longest"] >= waits["standing"])
}

// Answers wait behind what is ready already, and the probe passes it: the runtime runs the
// newest goroutine next. The probe must wait in line as answers do. Under the race detector the
// runtime shuffles what is ready: a probe in line passes it in one round of eight, one that is
// not in one of four; without the detector in none and in all.
func TestAProbeWaitsInLine(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const ready, rounds, least = 50, 2000, 1640
	p := newPressure(bootClock{})
	inLine := 0
	for range rounds {
		var ran atomic.Int32
		var all sync.WaitGroup
		for range ready {
			all.Go(func() { ran.Add(1) })
		}
		p.probe()
		if ran.Load() >= ready/2 {
			inLine++
		}
		all.Wait()
	}
	assert.Assert(t, inLine >= least, "in line in %d of %d rounds", inLine, rounds)
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
