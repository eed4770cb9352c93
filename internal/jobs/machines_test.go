package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/standin"
)

// faultyMachines is one entry VM's client of the platform's machines, with injected
// faults.
type faultyMachines struct {
	*standin.Machines
	// before, if not nil, is called before each start. Tests use it to pause the
	// entry VM or to let other entry VMs act first.
	before func(t infra.Task)
	// loseReplies and loseRequests are how many of the next starts fail with
	// KindUnknown, after taking effect and without taking effect respectively.
	loseReplies, loseRequests int

	mu sync.Mutex // guards loseReplies and loseRequests during concurrent starts
}

// consume decrements n and reports whether it was above zero.
func (m *faultyMachines) consume(n *int) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if *n == 0 {
		return false
	}
	*n--
	return true
}

// StartTask implements infra.Machines.
func (m *faultyMachines) StartTask(ctx context.Context, t infra.Task) error {
	if m.before != nil {
		m.before(t)
	}
	if m.consume(&m.loseRequests) {
		return infra.Errorf("start task", infra.KindUnknown, "connection lost")
	}
	err := m.Machines.StartTask(ctx, t)
	if err == nil && m.consume(&m.loseReplies) {
		return infra.Errorf("start task", infra.KindUnknown, "reply lost")
	}
	return err
}

// slowStore delays the reply to the first transaction by more than maxIntentAge.
type slowStore struct {
	infra.Store
	cluster *testCluster
	slept   bool
}

// Txn implements infra.Store.
func (s *slowStore) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	res, err := s.Store.Txn(ctx, txn)
	if !s.slept {
		s.slept = true
		s.cluster.clock.Advance(maxIntentAge + time.Second)
	}
	return res, err
}
