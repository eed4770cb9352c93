// Package paced limits the rate at which the platform's list of VMs is
// requested. The list grows with the fleet; the other replies of
// infra.Machines are small.
package paced

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/infra"
)

const (
	// bytesPerVM is the size of one VM's entry in the list over HTTP: the list
	// of 3,600 VMs is 169,386 bytes.
	bytesPerVM = 47
	// listBytesPerSecond is the traffic that lists may use: a third of the 14 KB
	// per second that control traffic may use on a node. It allows a list of 50
	// VMs twice a second and one of 3,600 every 34 s, which is below the age of
	// the list at which maintenance waves pause.
	listBytesPerSecond = 5000
)

// Machines is an infra.Machines whose List requests the list no more often than
// its size allows and otherwise returns the last one received. The AsOf of the
// list shows its age. Machines is safe for concurrent use.
type Machines struct {
	infra.Machines
	clock clockwork.Clock

	mu          sync.Mutex
	newest      infra.MachineList
	requestedAt time.Time // when newest was requested; zero if there is none
}

// New returns a Machines that limits the rate of m's List by clock.
func New(m infra.Machines, clock clockwork.Clock) *Machines {
	return &Machines{Machines: m, clock: clock}
}

// List implements infra.Machines. Calls made during a request wait for its
// result. A failed request returns its error and leaves the stored list as it
// was, so that the next call may request again at once.
func (m *Machines) List(ctx context.Context) (infra.MachineList, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.requestedAt.IsZero() && m.clock.Since(m.requestedAt) < minInterval(len(m.newest.Machines)) {
		return m.newest, nil
	}
	at := m.clock.Now()
	list, err := m.Machines.List(ctx)
	if err != nil {
		return infra.MachineList{}, err
	}
	m.newest, m.requestedAt = list, at
	return list, nil
}

// minInterval returns the least time between two requests if the list has that
// many VMs.
func minInterval(vms int) time.Duration {
	return time.Duration(vms) * bytesPerVM * time.Second / listBytesPerSecond
}
