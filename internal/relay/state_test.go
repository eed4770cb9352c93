package relay

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/internal/peer"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

func vmRecord(id model.VMID, mod infra.Revision) record {
	raw, _ := json.Marshal(model.VM{ID: id})
	return record{Key: infra.VMKey(id), Value: raw, Mod: mod}
}

func declaration(generation uint64, mod infra.Revision) *record {
	raw, _ := json.Marshal(model.Declaration{Generation: generation})
	return &record{Key: infra.ConfigKey, Value: raw, Mod: mod}
}

func entryList(ids ...string) []record {
	var list []record
	for _, id := range ids {
		list = append(list, record{Key: infra.EntryPrefix + id, Value: []byte(`{"ID":"` + id + `"}`)})
	}
	return list
}

// Each case merges one update into a view of generation 5 whose VMs a and b
// are known up to revision 100 and whose list of entry VMs is of 90.
func TestMergeTakesOnlyWhatIsNewer(t *testing.T) {
	base := time.Unix(1000, 0)
	later := base.Add(time.Second)
	type want struct {
		generation uint64
		revision   infra.Revision
		vms        int
		entries    int
		fresher    bool
	}
	same := want{5, 100, 2, 1, false}
	cases := []struct {
		name string
		u    update
		want want
	}{
		{"newer declaration", update{Config: declaration(6, 7)}, want{6, 100, 2, 1, false}},
		{"older declaration at a higher revision", update{Config: declaration(4, 900)}, same},
		{"another declaration of the same generation", update{Config: declaration(5, 900)}, same},
		{"declaration that cannot be read", update{Config: &record{Value: []byte("{"), Mod: 900}}, same},
		{"newer entries", update{HasEntries: true, Entries: entryList("x", "y"), Is: versions{Entries: 91}}, want{5, 100, 2, 2, false}},
		{"older entries", update{HasEntries: true, Entries: entryList("x", "y"), Is: versions{Entries: 89}}, same},
		{"change of a VM", update{From: 100, Puts: []record{vmRecord("c", 101)}, Is: versions{Revision: 101}}, want{5, 101, 3, 1, false}},
		{"removal of a VM", update{From: 100, Gone: []record{{Key: infra.VMKey("a"), Mod: 101}}, Is: versions{Revision: 101}}, want{5, 101, 1, 1, false}},
		{"change after a gap", update{From: 105, Puts: []record{vmRecord("c", 106)}, Is: versions{Revision: 106}}, same},
		{"change within another lineage", update{From: 100, Puts: []record{vmRecord("c", 101)}, Is: versions{Revision: 101, Lineage: 1}}, same},
		{"change by the own watch", update{fromStore: true, Puts: []record{vmRecord("c", 101)}, Is: versions{Revision: 101, Lineage: 1}}, want{5, 101, 3, 1, false}},
		{"another lineage, current as it says", update{Is: versions{Revision: 100, Generation: 5, Lineage: 1}}, same},
		{"whole view, older", update{Full: true, Puts: []record{vmRecord("a", 2)}, Is: versions{Revision: 99}}, same},
		{"whole view, newer", update{Full: true, Puts: []record{vmRecord("a", 2)}, Is: versions{Revision: 101}}, want{5, 101, 1, 1, false}},
		{"VM that cannot be read", update{From: 100, Puts: []record{{Key: infra.VMKey("a"), Value: []byte("{"), Mod: 101}}, Is: versions{Revision: 101}}, want{5, 101, 2, 1, false}},
		{"nothing new, known to be current", update{Is: versions{Revision: 100, Generation: 5}}, want{5, 100, 2, 1, true}},
		{"an older view, current as it says", update{Is: versions{Revision: 99, Generation: 5}}, same},
		{"a newer view of which only the versions came", update{From: 103, Is: versions{Revision: 104, Generation: 5}}, same},
		{"an older declaration, current as it says", update{Is: versions{Revision: 100, Generation: 4}}, same},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newState(view.NewHolder(), logr.Discard())
			s.merge(update{
				Full: true, Puts: []record{vmRecord("a", 50), vmRecord("b", 100)}, Config: declaration(5, 60),
				HasEntries: true, Entries: entryList("x"), Is: versions{Revision: 100, Entries: 90, Generation: 5},
			}, base)
			s.merge(tc.u, later)
			got := s.holder.Load()
			assert.Equal(t, want{got.Generation(), got.Revision, len(got.VMs), len(got.Entries), got.AsOf.Equal(later)}, tc.want)
		})
	}
}

// A peer that asks gets only what it lacks; one that missed removals that are
// no longer kept gets the whole view.
func TestSince(t *testing.T) {
	s := newState(view.NewHolder(), logr.Discard())
	s.merge(update{Full: true, Puts: []record{vmRecord("a", 5), vmRecord("b", 10)}, Config: declaration(1, 3), Is: versions{Revision: 10}}, time.Time{})
	for i := range infra.Revision(goneLimit + 10) {
		s.merge(update{From: 10 + i, Gone: []record{{Key: infra.VMKey("x"), Mod: 11 + i}}, Is: versions{Revision: 11 + i}}, time.Time{})
	}
	newest := s.versions()
	cases := []struct {
		name       string
		have       versions
		full       bool
		puts, gone int
		config     bool
	}{
		{"nothing", versions{}, true, 2, 0, true},
		{"everything", newest, false, 0, 0, false},
		{"before the removals kept", versions{Revision: 15, Generation: 1}, true, 2, 0, false},
		{"another lineage", versions{Revision: newest.Revision - 3, Generation: 1, Lineage: 1}, true, 2, 0, false},
		{"all but three", versions{Revision: newest.Revision - 3, Generation: 1}, false, 0, 3, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			u := s.since(tc.have)
			assert.Equal(t, u.Full, tc.full)
			assert.Equal(t, len(u.Puts), tc.puts)
			assert.Equal(t, len(u.Gone), tc.gone)
			assert.Equal(t, u.Config != nil, tc.config)
		})
	}
}

// fakePeers are peers that say what the test says and keep what is sent.
type fakePeers struct {
	said []peer.Status
	sent []any
}

func (f *fakePeers) Peers() []peer.Status { return f.said }
func (f *fakePeers) Send(_ model.EntryID, _ peer.Kind, msg any) bool {
	f.sent = append(f.sent, msg)
	return true
}
func (f *fakePeers) Handle(peer.Kind, peer.Handler) {}
func status(id model.EntryID, zone model.ZoneName, d peer.Digest) peer.Status {
	d.Entry, d.Zone = id, zone
	return peer.Status{Digest: d, Incarnation: 1, Live: true}
}

// What the operator sees: a relay's answer is held up on the way for half a
// minute. The view is then half a minute old, and must not look fresh.
func TestViewHeldUpOnTheWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakePeers{said: []peer.Status{status("b", "z", peer.Digest{Watching: true, Revision: 9, Generation: 2})}}
		r := New(Options{Self: view.EntryRecord{ID: "a", Zone: "z"}, View: view.NewHolder(), Peers: f, Log: logr.Discard()})
		asked := time.Now()
		assert.Assert(t, r.pollOnce())
		nonce := f.sent[0].(poll).Nonce
		time.Sleep(30 * time.Second)
		answer := update{Nonce: nonce, AgeMillis: 1500, Full: true, Config: declaration(2, 1), Is: versions{Revision: 9, Generation: 2}}
		body, err := msgpack.Marshal(answer)
		assert.NilError(t, err)
		r.onView("b", body)
		assert.Assert(t, r.opts.View.Load().AsOf.Equal(asked.Add(-1500*time.Millisecond)))
		assert.Equal(t, r.opts.View.Load().Generation(), uint64(2))

		r.onView("b", body) // a second copy proves nothing
		assert.Assert(t, r.opts.View.Load().AsOf.Equal(asked.Add(-1500*time.Millisecond)))
		r.onView("b", []byte{0xc1})
	})
}

func TestSourceOfTheView(t *testing.T) {
	have := versions{Revision: 50, Generation: 3}
	relay := status("r", "z", peer.Digest{Watching: true, Revision: 50, Generation: 3})
	staleRelay := status("r", "z", peer.Digest{Watching: true, Revision: 50, Generation: 3, AgeMillis: millis(relayCurrent)})
	lagging := status("r", "z", peer.Digest{Watching: true, Revision: 40, Generation: 2})
	newer := status("n", "far", peer.Digest{Revision: 60, Generation: 3, AgeMillis: 60000})
	newest := status("m", "far", peer.Digest{Revision: 10, Generation: 4, AgeMillis: 90000})
	dead := newest
	dead.Live = false
	cases := []struct {
		name  string
		peers []peer.Status
		want  model.EntryID
	}{
		{"nobody", nil, ""},
		{"a relay of the zone", []peer.Status{newer, relay}, "r"},
		{"a relay that is not current", []peer.Status{staleRelay, newer}, "n"},
		{"a relay that lags behind", []peer.Status{lagging}, ""},
		{"the highest generation first", []peer.Status{newer, newest}, "m"},
		{"a dead peer", []peer.Status{dead}, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got, _ := source("a", "z", have, time.Second, tc.peers)
			assert.Equal(t, got, tc.want)
		})
	}
}

// What the operator sees: apply and drain wait for every live entry VM. One
// that restarted under its ID has nothing in force yet, whatever the digest of
// its earlier run said.
func TestRegistry(t *testing.T) {
	store := memstore.New(clockwork.NewRealClock())
	register := func(id string, incarnation string) infra.Revision {
		res, err := store.Txn(t.Context(), infra.Txn{Then: []infra.Op{
			infra.Put(infra.EntryPrefix+id, []byte(`{"ID":"`+id+`","Incarnation":`+incarnation+`}`)),
		}})
		assert.NilError(t, err)
		return res.Revision
	}
	register("self", "1")
	register("acked", "1")
	register("lagging", "1")
	register("restarted", "2")
	at := register("silent", "1")
	h := view.NewHolder()
	h.Publish(&view.Snapshot{Revision: at, Declaration: &model.Declaration{Generation: 7}})
	gone := status("gone", "z", peer.Digest{})
	gone.Live = false
	f := &fakePeers{said: []peer.Status{
		status("acked", "z", peer.Digest{Revision: at, Generation: 7}),
		status("lagging", "z", peer.Digest{Revision: at - 1, Generation: 6}),
		status("restarted", "z", peer.Digest{Revision: at, Generation: 7}),
		status("lapsed", "z", peer.Digest{Revision: at - 1}),
		gone,
	}}
	g := NewRegistry(Options{Self: view.EntryRecord{ID: "self", Incarnation: 1}, Store: store, View: h, Peers: f})
	late := []model.EntryID{"lagging", "lapsed", "restarted", "silent"}
	missing, err := g.Missing(t.Context(), at)
	assert.NilError(t, err)
	assert.DeepEqual(t, missing, late)
	have, missing, err := g.InForce(t.Context(), 7)
	assert.NilError(t, err)
	assert.DeepEqual(t, have, []model.EntryID{"acked", "self"})
	assert.DeepEqual(t, missing, late)

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = NewRegistry(Options{Store: store, View: h, Peers: f}).Missing(ctx, at)
	assert.Assert(t, infra.IsKind(err, infra.KindUnavailable))
}

// What the operator sees: an entry VM is replaced under its ID while paused,
// and wakes up. The successor stays registered; where a record of the earlier
// run stands, the successor writes over it.
func TestRegistrationOfTheLaterRunStands(t *testing.T) {
	store := memstore.New(clockwork.NewRealClock())
	join := func(incarnation uint64) *Relay {
		self := view.EntryRecord{ID: "e", Incarnation: incarnation}
		return New(Options{Self: self, Store: store, View: view.NewHolder(), Peers: &fakePeers{}, Log: logr.Discard()})
	}
	registered := func() uint64 {
		kv, _, err := store.Get(t.Context(), infra.EntryKey("e"))
		assert.NilError(t, err)
		var e view.EntryRecord
		assert.NilError(t, json.Unmarshal(kv.Value, &e))
		return e.Incarnation
	}
	older, newer := join(1), join(2)
	var leases [2]infra.LeaseID
	assert.NilError(t, older.renew(t.Context(), &leases[0]))
	assert.NilError(t, newer.renew(t.Context(), &leases[1]))
	assert.Equal(t, registered(), uint64(2))

	lapsed := leases[0] + 100
	assert.ErrorIs(t, older.renew(t.Context(), &lapsed), errSuperseded)
	assert.Equal(t, registered(), uint64(2))

	_, err := store.Txn(t.Context(), infra.Txn{Then: []infra.Op{infra.Put(infra.EntryKey("e"), []byte(`{"ID":"e","Incarnation":1}`))}})
	assert.NilError(t, err)
	newer.opts.View.Publish(&view.Snapshot{Entries: []view.EntryRecord{{ID: "e", Incarnation: 1}}})
	assert.NilError(t, newer.renew(t.Context(), &leases[1]))
	assert.Equal(t, registered(), uint64(2))
}
