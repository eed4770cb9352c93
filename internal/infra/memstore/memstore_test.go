package memstore

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/faulty"
)

// A key whose lease has expired must be gone, and the lease must not be
// renewable: otherwise a failed entry VM would still appear to be live.
func TestLeasedKeyIsDeletedWhenLeaseExpires(t *testing.T) {
	ctx := context.Background()
	clock := clockwork.NewFakeClock()
	s := New(clock)
	lease, err := s.Grant(ctx, time.Second)
	assert.NilError(t, err)
	_, err = s.Txn(ctx, infra.Txn{Then: []infra.Op{infra.PutLeased("a", []byte("1"), lease)}})
	assert.NilError(t, err)

	clock.Advance(2 * time.Second)

	kv, _, err := s.Get(ctx, "a")
	assert.NilError(t, err)
	assert.Equal(t, kv.ModRevision, infra.Revision(0))
	err = s.KeepAlive(ctx, lease)
	assert.Assert(t, infra.IsKind(err, infra.KindLeaseNotFound))
}

// A watch must deliver the changes from its revision on, those made before it
// was opened included, and skip keys outside its prefix.
func TestWatchDeliversFromRevisionWithoutGaps(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := New(clockwork.NewFakeClock())
	put := func(key string) {
		_, err := s.Txn(ctx, infra.Txn{Then: []infra.Op{infra.Put(key, nil)}})
		assert.NilError(t, err)
	}
	put("p/1")
	from := s.Revision()
	put("q/1")
	ch, err := s.Watch(ctx, "p/", from)
	assert.NilError(t, err)
	put("p/2")

	first := <-ch
	second := <-ch

	assert.Equal(t, first.Events[0].KV.Key, "p/1")
	assert.Equal(t, second.Events[0].KV.Key, "p/2")
}

// The transaction takes effect, but its reply is lost. A plain retry would see
// its own write and report a conflict.
func TestCommitFindsItsOwnWriteAfterLostReply(t *testing.T) {
	ctx := context.Background()
	s := faulty.Wrap(New(clockwork.NewFakeClock()))
	s.LoseReplies(1)
	txn := infra.Txn{
		If:   []infra.Cond{{Key: "a"}},
		Then: []infra.Op{infra.Put("a", []byte("change-1"))},
	}

	res, err := infra.Commit(ctx, s, txn)

	assert.NilError(t, err)
	assert.Assert(t, res.Succeeded)
}

// Another writer wrote the key first. The later one must get KindConflict,
// even though its first request was lost and left the outcome open.
func TestCommitReportsConflictAfterLostRequest(t *testing.T) {
	ctx := context.Background()
	inner := New(clockwork.NewFakeClock())
	s := faulty.Wrap(inner)
	s.LoseRequests(1)
	_, err := inner.Txn(ctx, infra.Txn{Then: []infra.Op{infra.Put("a", []byte("rival"))}})
	assert.NilError(t, err)
	txn := infra.Txn{
		If:   []infra.Cond{{Key: "a"}},
		Then: []infra.Op{infra.Put("a", []byte("change-1"))},
	}

	_, err = infra.Commit(ctx, s, txn)

	assert.Assert(t, infra.IsKind(err, infra.KindConflict))
}
