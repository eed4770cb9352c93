// Package paced bounds what the platform's list of VMs costs: everything else
// that is asked of the machines is small, the list grows with the fleet.
package paced

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/infra"
)

const (
	// entryBytes is what one VM takes in the list over HTTP: 169,386 bytes for
	// 3,600 VMs.
	entryBytes = 47
	// bytesPerSecond is what lists may take: a third of the 14 KB a second
	// that control may spend on a node. 50 VMs may be listed twice a second,
	// 3,600 every 34 s, which stays below the age at which waves hold.
	bytesPerSecond = 5000
)

// Machines is a infra.Machines whose List is asked no more often than its
// size allows; in between it gives the newest one. How old that is its AsOf
// says. It is safe for concurrent use.
type Machines struct {
	infra.Machines
	clock clockwork.Clock

	mu   sync.Mutex
	list infra.MachineList
	at   time.Time // when list was asked for; zero before the first
}

// New wraps the machines.
func New(m infra.Machines, clock clockwork.Clock) *Machines {
	return &Machines{Machines: m, clock: clock}
}

// List implements infra.Machines. Callers that come while one asks wait for
// its answer. Where asking fails nothing is remembered.
func (m *Machines) List(ctx context.Context) (infra.MachineList, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.at.IsZero() && m.clock.Since(m.at) < period(len(m.list.Machines)) {
		return m.list, nil
	}
	at := m.clock.Now()
	list, err := m.Machines.List(ctx)
	if err != nil {
		return infra.MachineList{}, err
	}
	m.list, m.at = list, at
	return list, nil
}

// period is the least time between two lists of so many VMs.
func period(vms int) time.Duration {
	return time.Duration(vms) * entryBytes * time.Second / bytesPerSecond
}
