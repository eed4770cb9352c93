package gateway_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/platform"
	"github.com/pumicestage/pumicestage/internal/platform/gateway"
	"github.com/pumicestage/pumicestage/internal/platform/standin"
)

func TestRoundTrip(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	srv := standin.New(clockwork.NewRealClock())
	defer srv.Close()
	url, err := srv.Listen("127.0.0.1:0")
	assert.NilError(t, err)
	s := gateway.New(gateway.Options{Endpoints: []string{url}, Zone: "a", HTTPClient: srv.Network.Client("a")})
	w, err := s.Watch(ctx, "", 1)
	assert.NilError(t, err)
	lease, err := s.Grant(ctx, time.Minute)
	assert.NilError(t, err)
	assert.NilError(t, s.KeepAlive(ctx, lease))

	res, err := s.Txn(ctx, platform.Txn{If: []platform.Cond{{Key: "a"}}, Then: []platform.Op{platform.PutLeased("a", []byte("1"), lease), platform.Read("a")}})

	assert.NilError(t, err)
	assert.Assert(t, res.Succeeded)
	assert.Equal(t, string(res.Reads[0].Value), "1")
	b := <-w
	assert.Equal(t, b.Events[0].KV.Lease, lease)
	kvs, rev, err := s.Range(ctx, "")
	assert.NilError(t, err)
	assert.Equal(t, len(kvs), 1)
	assert.Equal(t, rev, b.Revision)
}
