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

// unavailableAtFirst is a store that fails its first calls.
type unavailableAtFirst struct {
	infra.Store
	failures int
	revoked  []infra.LeaseID
}

func (s *unavailableAtFirst) Revoke(_ context.Context, lease infra.LeaseID) error {
	if s.failures > 0 {
		s.failures--
		return infra.Errorf("revoke", infra.KindUnavailable, "unreachable")
	}
	s.revoked = append(s.revoked, lease)
	return nil
}

// A service had no owner for a while after an outage of the store: its owner had shut down
// during the outage, and its lease had to expire first. The lease is handed over to an entry
// VM that answers, which revokes it as soon as the store is reachable.
func TestLeaseIsRevokedByAnotherEntryVM(t *testing.T) {
	store := &unavailableAtFirst{failures: 2}
	receiver := &leaseEnder{store: store, log: logr.Discard()}
	var sentTo, lines []string
	sender := &leaseEnder{
		log:        funcr.NewJSON(func(line string) { lines = append(lines, message(t, line)) }, funcr.Options{}),
		recipients: func() []cutoff.Peer { return []cutoff.Peer{{Address: "b:1"}, {Address: "c:1"}, {Address: "d:1"}} },
		send: func(ctx context.Context, address string, lease int64) error {
			sentTo = append(sentTo, address)
			if address == "b:1" {
				return errors.New("cut off")
			}
			receiver.revoke(ctx, infra.LeaseID(lease))
			return nil
		},
	}
	sender.handOver(7)
	assert.DeepEqual(t, lines, []string{"lease not handed over", "lease handed over"})
	assert.DeepEqual(t, sentTo, []string{"b:1", "c:1"})
	assert.DeepEqual(t, store.revoked, []infra.LeaseID{7})
}

// message returns the message of a log line.
func message(t *testing.T, line string) string {
	t.Helper()
	var l struct {
		Msg string `json:"msg"`
	}
	assert.NilError(t, json.Unmarshal([]byte(line), &l))
	return l.Msg
}
