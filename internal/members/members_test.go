package members

import (
	"context"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
)

func self() Record { return Record{Zone: "a", Address: "10.0.0.1:7000", Weight: 0.4} }

// patience ends a wait that no case means to end.
const patience = 20 * time.Second

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatal("did not come: " + what)
}

func listed(t *testing.T, store infra.Store) int {
	kvs, _, err := store.Range(context.Background(), infra.WorkEntryPrefix)
	assert.NilError(t, err)
	return len(kvs)
}

// An entry VM that leaves takes its key along, so that nobody calls it any more.
func TestAVMIsListedUntilItLeaves(t *testing.T) {
	store := memstore.New(clockwork.NewRealClock())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	p := &Publisher{Store: store, Name: "e1", Self: self(), Log: logr.Discard()}
	go func() { defer close(done); p.Run(ctx) }()
	eventually(t, "key", func() bool { return listed(t, store) == 1 })
	cancel()
	<-done
	assert.Equal(t, listed(t, store), 0)
}

// lapsing is a store that has lost the lease: leases run out while it is away.
type lapsing struct {
	infra.Store
	grants int
}

func (l *lapsing) Grant(ctx context.Context, ttl time.Duration) (infra.LeaseID, error) {
	l.grants++
	return l.Store.Grant(ctx, ttl)
}

func (l *lapsing) KeepAlive(context.Context, infra.LeaseID) error {
	return infra.Errorf("keepalive", infra.KindLeaseNotFound, "gone")
}

// The key lapsed in an outage of the store: the VM would stay unknown for ever.
func TestAKeyThatLapsedIsWrittenAgain(t *testing.T) {
	store := &lapsing{Store: memstore.New(clockwork.NewRealClock())}
	p := &Publisher{Store: store, Name: "e1", Self: self(), Log: logr.Discard(), Renew: time.Millisecond}
	lease, err := p.publish(context.Background())
	assert.NilError(t, err)
	p.keep(context.Background(), lease)
	p.drop(context.Background(), lease)
	assert.Equal(t, listed(t, store), 0)
	_, err = p.publish(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, listed(t, store), 1)
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

// Calls to workers go by way of an entry VM that no address is known of, and time out:
// another writer's entry was taken for a member. It names none; the others hold.
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
