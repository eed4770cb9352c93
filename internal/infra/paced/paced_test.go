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

// lister counts how often it is asked.
type lister struct {
	infra.Machines
	vms   int
	asked int
	err   error
}

func (l *lister) List(context.Context) (infra.MachineList, error) {
	l.asked++
	return infra.MachineList{Machines: make([]infra.Machine, l.vms)}, l.err
}

// Reconciler and placer each ask every second. At 3,600 VMs the answers alone
// would be 24 times what a node may spend on control.
func TestListsAreAskedAsTheirSizeAllows(t *testing.T) {
	cases := []struct {
		name string
		vms  int
		most int // in ten minutes of ten questions a second
	}{
		{"today", 50, 1300},
		{"the size to come", 3600, 18},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			l := &lister{vms: tc.vms}
			m := New(l, clock)
			for range 6000 {
				list, err := m.List(context.Background())
				assert.NilError(t, err)
				assert.Equal(t, len(list.Machines), tc.vms)
				clock.Advance(100 * time.Millisecond)
			}
			assert.Assert(t, l.asked <= tc.most && l.asked*3 > tc.most, "asked %d times", l.asked)
		})
	}
}

// The platform fails once: the old list must not be given as if it were the
// answer, and the next question must be asked.
func TestFailedListIsNotRemembered(t *testing.T) {
	l := &lister{vms: 1, err: errors.New("down")}
	m := New(l, clockwork.NewFakeClock())
	_, err := m.List(context.Background())
	assert.ErrorContains(t, err, "down")
	l.err = nil
	_, err = m.List(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, l.asked, 2)
}
