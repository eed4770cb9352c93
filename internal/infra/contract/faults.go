package contract

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// storeCalls has one call of each kind; all must classify failures alike.
var storeCalls = []struct {
	name   string
	writes bool
	do     func(ctx context.Context, s infra.Store) error
}{
	{"get", false, func(ctx context.Context, s infra.Store) error {
		_, _, err := s.Get(ctx, "a")
		return err
	}},
	{"range", false, func(ctx context.Context, s infra.Store) error {
		_, _, err := s.Range(ctx, "a")
		return err
	}},
	{"keepalive", false, func(ctx context.Context, s infra.Store) error { return s.KeepAlive(ctx, 1) }},
	{"watch", false, func(ctx context.Context, s infra.Store) error {
		_, err := s.Watch(ctx, "a", 1)
		return err
	}},
	{"txn", true, func(ctx context.Context, s infra.Store) error {
		_, err := s.Txn(ctx, infra.Txn{Then: []infra.Op{infra.Put("a", []byte("client"))}})
		return err
	}},
	{"grant", true, func(ctx context.Context, s infra.Store) error {
		_, err := s.Grant(ctx, time.Minute)
		return err
	}},
	{"revoke", true, func(ctx context.Context, s infra.Store) error { return s.Revoke(ctx, 1) }},
}

var faultCases = []storeCase{
	{
		name:  "while the service is down every call fails as certainly not sent",
		needs: func(s Store) bool { return s.Down != nil },
		run: func(t *testing.T, s Store) {
			put(t, s.Client, "b", "warm") // leaves an open connection, which going down closes
			s.Down(true)
			for _, c := range storeCalls {
				err := c.do(ctxOf(t), s.Client)
				assert.Assert(t, infra.IsKind(err, infra.KindUnavailable), "%s: %v", c.name, err)
			}
			s.Down(false)
			assert.Equal(t, get(t, s.Client, "a").ModRevision, infra.Revision(0))
		},
	},
	{
		name:  "a read abandoned during a pause is unavailable, a write unknown",
		needs: func(s Store) bool { return s.Pause != nil },
		run:   abandonedCalls,
	},
	{
		name:  "a write whose request is lost is unknown and without effect",
		needs: func(s Store) bool { return s.LoseRequests != nil },
		run: func(t *testing.T, s Store) {
			for _, c := range storeCalls {
				if !c.writes {
					continue
				}
				s.LoseRequests(1)
				err := c.do(ctxOf(t), s.Client)
				assert.Assert(t, infra.IsKind(err, infra.KindUnknown), "%s: %v", c.name, err)
			}
			assert.Equal(t, get(t, s.Rival, "a").ModRevision, infra.Revision(0))
		},
	},
	{
		name:  "a write whose reply is lost is unknown and took effect",
		needs: func(s Store) bool { return s.LoseReplies != nil },
		run: func(t *testing.T, s Store) {
			lease := grant(t, s, time.Minute)
			putLeased(t, s, "b", lease)
			s.LoseReplies(2)
			_, err := s.Client.Txn(ctxOf(t), infra.Txn{Then: []infra.Op{infra.Put("a", []byte("1"))}})
			wantKind(t, err, infra.KindUnknown)
			wantKind(t, s.Client.Revoke(ctxOf(t), lease), infra.KindUnknown)
			assert.DeepEqual(t, keysOf(t, s, ""), []string{"a"})
		},
	},
	{
		name:  "a malformed reply makes a read invalid and a write unknown",
		needs: func(s Store) bool { return s.Garble != nil },
		run: func(t *testing.T, s Store) {
			s.Garble(2)
			_, _, err := s.Client.Get(ctxOf(t), "a")
			wantKind(t, err, infra.KindInvalid)
			_, err = s.Client.Txn(ctxOf(t), infra.Txn{Then: []infra.Op{infra.Put("a", []byte("1"))}})
			wantKind(t, err, infra.KindUnknown)
			assert.Equal(t, string(get(t, s.Client, "a").Value), "1")
		},
	},
	{
		name:  "a call over the rate limits is rejected and has no effect",
		needs: func(s Store) bool { return s.RateLimit != nil },
		run: func(t *testing.T, s Store) {
			s.RateLimit()
			put(t, s.Client, "b", "passes")
			get(t, s.Client, "b")
			for _, c := range storeCalls {
				err := c.do(ctxOf(t), s.Client)
				assert.Assert(t, infra.IsKind(err, infra.KindRateLimited), "%s: %v", c.name, err)
			}
			s.Advance(time.Hour)
			assert.Equal(t, get(t, s.Client, "a").ModRevision, infra.Revision(0))
		},
	},
}

// abandonedCalls has the service read a call and stop before processing it, as
// in a long pause of its process, while the client cancels the call. The
// resumed service still processes the call, so the client must not have been
// told that a write had no effect.
func abandonedCalls(t *testing.T, s Store) {
	put(t, s.Client, "a", "before")
	for _, c := range storeCalls {
		want := infra.KindUnavailable
		if c.writes {
			want = infra.KindUnknown
		}
		s.Pause(true)
		ctx, cancel := context.WithCancel(context.Background())
		failed := make(chan error, 1)
		go func() { failed <- c.do(ctx, s.Client) }()
		eventually(t, c.name+" did not reach the service", func() bool { return s.Held() == 1 })
		cancel()
		err := <-failed
		assert.Assert(t, infra.IsKind(err, want), "%s: %v", c.name, err)
		s.Pause(false)
		eventually(t, c.name+" is still held", func() bool { return s.Held() == 0 })
	}
	eventually(t, "the held write was not applied after the pause", func() bool { return string(get(t, s.Rival, "a").Value) == "client" })
}
