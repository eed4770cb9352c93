package node

import (
	"context"
	"errors"
	"testing"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/cutoff"
)

// awayAtFirst is a store that is away for some calls.
type awayAtFirst struct {
	infra.Store
	failures int
	ended    []infra.LeaseID
}

func (s *awayAtFirst) Revoke(_ context.Context, lease infra.LeaseID) error {
	if s.failures > 0 {
		s.failures--
		return infra.Errorf("revoke", infra.KindUnavailable, "away")
	}
	s.ended = append(s.ended, lease)
	return nil
}

// A service has no owner for a while after an outage of the store: its owner left during
// the outage, and its lease had to run out. It goes to an entry VM that answers, which ends
// it with the store's first answer.
func TestALeaseIsEndedByAnEntryVMThatStays(t *testing.T) {
	store := &awayAtFirst{failures: 2}
	stays := &leases{store: store, log: logr.Discard()}
	var given []string
	leaves := &leases{
		log:    logr.Discard(),
		others: func() []cutoff.Peer { return []cutoff.Peer{{Address: "b:1"}, {Address: "c:1"}, {Address: "d:1"}} },
		give: func(ctx context.Context, address string, lease int64) error {
			given = append(given, address)
			if address == "b:1" {
				return errors.New("cut off")
			}
			stays.end(ctx, infra.LeaseID(lease))
			return nil
		},
	}
	leaves.handOver(7)
	assert.DeepEqual(t, given, []string{"b:1", "c:1"})
	assert.DeepEqual(t, store.ended, []infra.LeaseID{7})
}
