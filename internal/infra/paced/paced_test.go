package paced

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// countingLister returns a list of the given length and counts the requests.
type countingLister struct {
	infra.Machines
	vms   int
	calls int
	err   error
}

func (l *countingLister) List(context.Context) (infra.MachineList, error) {
	l.calls++
	return infra.MachineList{Machines: make([]infra.Machine, l.vms)}, l.err
}

// In an entry VM, the fleet's reconciler and the component that places jobs each
// request the platform's list of VMs every second. Without a limit, the replies for
// 3,600 VMs alone would be 24 times the 14 KB per second that all control traffic
// of a node may use.
func TestListRequestsAreLimitedByListSize(t *testing.T) {
	cases := []struct {
		name     string
		vms      int
		maxCalls int // in ten minutes, with ten calls per second
	}{
		{"50 VMs", 50, 1300},
		{"3600 VMs", 3600, 18},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			l := &countingLister{vms: tc.vms}
			m := New(l, clock)
			for range 6000 {
				list, err := m.List(context.Background())
				assert.NilError(t, err)
				assert.Equal(t, len(list.Machines), tc.vms)
				clock.Advance(100 * time.Millisecond)
			}
			assert.Assert(t, l.calls <= tc.maxCalls && l.calls*3 > tc.maxCalls, "the list was requested %d times", l.calls)
		})
	}
}

// A request fails once. List must return its error instead of an old list, and
// the next call must request again.
func TestFailedListIsNotCached(t *testing.T) {
	l := &countingLister{vms: 1, err: errors.New("down")}
	m := New(l, clockwork.NewFakeClock())
	_, err := m.List(context.Background())
	assert.ErrorContains(t, err, "down")
	l.err = nil
	_, err = m.List(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, l.calls, 2)
}
