package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/standin"
)

// faultyMachines is one entry VM's way to the platform's faultyMachines, with faults.
type faultyMachines struct {
	*standin.Machines
	// before is called before each start; a test pauses the entry VM in it, or
	// lets others act first.
	before func(t infra.Task)
	// loseReplies and loseRequests make the next starts report KindUnknown
	// with and without effect.
	loseReplies, loseRequests int

	mu sync.Mutex // guards the counts while starts go out side by side
}

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

// slowStore lets the reply to the first transaction take longer than a start
// may be late.
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
