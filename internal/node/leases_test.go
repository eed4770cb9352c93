package node

import (
	"context"
	"encoding/json"
	"errors"
	"testing"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
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
	var given, lines []string
	leaves := &leases{
		log:    funcr.NewJSON(func(line string) { lines = append(lines, message(t, line)) }, funcr.Options{}),
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
	assert.DeepEqual(t, lines, []string{"lease not handed over", "lease handed over"})
	assert.DeepEqual(t, given, []string{"b:1", "c:1"})
	assert.DeepEqual(t, store.ended, []infra.LeaseID{7})
}

// message is what a log line says.
func message(t *testing.T, line string) string {
	t.Helper()
	var l struct {
		Msg string `json:"msg"`
	}
	assert.NilError(t, json.Unmarshal([]byte(line), &l))
	return l.Msg
}
