package members

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
)

func self() Record { return Record{Zone: "a", Address: "10.0.0.1:7000", Weight: 0.4} }

// waitTimeout fails a test whose condition does not become true.
const waitTimeout = 20 * time.Second

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("timed out waiting for: " + what)
}

func countKeys(t *testing.T, store infra.Store) int {
	kvs, _, err := store.Range(context.Background(), infra.WorkEntryPrefix)
	assert.NilError(t, err)
	return len(kvs)
}

// An entry VM that shuts down must remove its key, so that no other VM calls it any more.
func TestAVMIsListedUntilItLeaves(t *testing.T) {
	store := memstore.New(clockwork.NewRealClock())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	p := &Publisher{Store: store, Name: "e1", Self: self(), Log: logr.Discard()}
	go func() { defer close(done); p.Run(ctx) }()
	eventually(t, "key", func() bool { return countKeys(t, store) == 1 })
	cancel()
	<-done
	assert.Equal(t, countKeys(t, store), 0)
}

// expiringStore is a store in which every lease has expired when it is renewed, as after an outage.
type expiringStore struct {
	infra.Store
	grants int
}

func (l *expiringStore) Grant(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	l.grants++
	return l.Store.Grant(ctx, ttl)
}

func (l *expiringStore) KeepAlive(context.Context, infra.LeaseID) error {
	return infra.Errorf("keepalive", infra.KindLeaseNotFound, "gone")
}

// Guards against a VM that stays unknown to the others after its lease has expired in an outage of the store.
func TestAKeyThatLapsedIsWrittenAgain(t *testing.T) {
	store := &expiringStore{Store: memstore.New(clockwork.NewRealClock())}
	p := &Publisher{Store: store, Name: "e1", Self: self(), Log: logr.Discard(), Renew: time.Millisecond}
	lease, err := p.publish(context.Background())
	assert.NilError(t, err)
	p.renewLease(context.Background(), lease)
	p.revoke(context.Background(), lease)
	assert.Equal(t, countKeys(t, store), 0)
	_, err = p.publish(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, countKeys(t, store), 1)
	assert.Equal(t, store.grants, 2)
}

func TestTheDirectoryFollowsTheKeys(t *testing.T) {
	d := &Directory{Log: logr.Discard()}
	record := func(name string) infra.KV {
		return infra.KV{Key: infra.WorkEntryKey(name), Value: []byte(`{"zone":"a","address":"10.0.0.1:7000","weight":0.4}`)}
	}
	d.Replace([]infra.KV{record("e1"), record("e2"), {Key: infra.WorkEntryKey("bad"), Value: []byte("{")}})
	live, first := d.Live()
	assert.Equal(t, len(live), 2)
	d.Change(infra.Event{Kind: infra.EventPut, KV: record("e3")})
	d.Change(infra.Event{Kind: infra.EventDelete, KV: infra.KV{Key: infra.WorkEntryKey("e1")}})
	live, second := d.Live()
	assert.Equal(t, len(live), 2)
	assert.Assert(t, second != first)
	for _, m := range live {
		assert.Assert(t, m.Name != "e1")
		assert.DeepEqual(t, m.Record, self())
	}
}

// Guards against calls to workers that are forwarded by way of a VM without a known address and time out: a
// record that another writer has overwritten must not be taken for a member. Other members are not affected.
func TestEntriesOfAnotherWriterNameNoMember(t *testing.T) {
	d := &Directory{Log: logr.Discard()}
	put := func(name, value string) infra.KV {
		return infra.KV{Key: infra.WorkEntryPrefix + name, Value: []byte(value)}
	}
	const good = `{"zone":"a","address":"10.0.0.1:7000","weight":0.4}`
	d.Replace([]infra.KV{put("e1", good), put("e2", `{"zone":"a"}`), put("e3", "\xff"), put("e4", `[]`)})
	live, _ := d.Live()
	assert.Equal(t, len(live), 1)
	d.Change(infra.Event{Kind: infra.EventPut, KV: put("e1", `{"address":7}`)})
	live, _ = d.Live()
	assert.Equal(t, len(live), 0)
}

// lateStore carries the first transaction out late, without an answer, and doesn't answer the
// revocation that follows it.
type lateStore struct {
	infra.Store
	late    *infra.Txn
	revoked bool
}

func (s *lateStore) Txn(ctx context.Context, t infra.Txn) (infra.TxnResult, error) {
	if s.late == nil {
		s.late = &t
		return infra.TxnResult{}, infra.Errorf("txn", infra.KindUnknown, "no answer")
	}
	return s.Store.Txn(ctx, t)
}

func (s *lateStore) Revoke(ctx context.Context, lease infra.LeaseID) error {
	if !s.revoked {
		s.revoked = true
		return infra.Errorf("revoke", infra.KindUnknown, "no answer")
	}
	return s.Store.Revoke(ctx, lease)
}

// Guards against a VM that stays unknown to the others for good: an earlier write of its key, which got
// no answer, was carried out late, and the key was removed with the lease of that write.
func TestALateWriteOfTheKeyDoesNotRemoveItForGood(t *testing.T) {
	clock := clockwork.NewFakeClock()
	store := &lateStore{Store: memstore.New(clock)}
	ctx, cancel := context.WithCancel(t.Context())
	var publisher sync.WaitGroup
	publisher.Go(func() {
		p := &Publisher{Store: store, Name: "e1", Self: self(), Log: logr.Discard(), Renew: time.Millisecond}
		p.Run(ctx)
	})
	eventually(t, "key", func() bool { return countKeys(t, store) == 1 })
	_, err := store.Store.Txn(ctx, *store.late)
	assert.NilError(t, err)
	for range 3 {
		clock.Advance(ttl / 2)
		time.Sleep(50 * time.Millisecond) // the publisher renews its lease
	}
	eventually(t, "key after the first lease has expired", func() bool { return countKeys(t, store) == 1 })
	cancel()
	publisher.Wait()
}
