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
	return record{Key: infra.VMKey(id), Value: raw, ModRevision: mod}
}

func declaration(generation uint64, mod infra.Revision) *record {
	raw, _ := json.Marshal(model.Declaration{Generation: generation})
	return &record{Key: infra.ConfigKey, Value: raw, ModRevision: mod}
}

func entryList(ids ...string) []record {
	var list []record
	for _, id := range ids {
		list = append(list, record{Key: infra.EntryPrefix + id, Value: []byte(`{"ID":"` + id + `"}`)})
	}
	return list
}

// Each case merges one update into a view of generation 5 that holds the VMs a
// and b as of revision 100 and the list of entry VMs as of revision 90. Parts
// that are not newer must not change the view.
func TestMergeTakesOnlyWhatIsNewer(t *testing.T) {
	base := time.Unix(1000, 0)
	later := base.Add(time.Second)
	type want struct {
		generation uint64
		revision   infra.Revision
		vms        int
		entries    int
		newAsOf    bool
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
		{"declaration that cannot be read", update{Config: &record{Value: []byte("{"), ModRevision: 900}}, same},
		{"newer entries", update{HasEntries: true, Entries: entryList("x", "y"), Versions: versions{Entries: 91}}, want{5, 100, 2, 2, false}},
		{"older entries", update{HasEntries: true, Entries: entryList("x", "y"), Versions: versions{Entries: 89}}, same},
		{"change of a VM", update{Base: 100, Puts: []record{vmRecord("c", 101)}, Versions: versions{Revision: 101}}, want{5, 101, 3, 1, false}},
		{"removal of a VM", update{Base: 100, Deletes: []record{{Key: infra.VMKey("a"), ModRevision: 101}}, Versions: versions{Revision: 101}}, want{5, 101, 1, 1, false}},
		{"change after missing revisions", update{Base: 105, Puts: []record{vmRecord("c", 106)}, Versions: versions{Revision: 106}}, same},
		{"change within another lineage", update{Base: 100, Puts: []record{vmRecord("c", 101)}, Versions: versions{Revision: 101, Lineage: 1}}, same},
		{"change from the own watch", update{fromStore: true, Puts: []record{vmRecord("c", 101)}, Versions: versions{Revision: 101, Lineage: 1}}, want{5, 101, 3, 1, false}},
		{"another lineage, reported as current", update{Versions: versions{Revision: 100, Generation: 5, Lineage: 1}}, same},
		{"whole view, older", update{Full: true, Puts: []record{vmRecord("a", 2)}, Versions: versions{Revision: 99}}, same},
		{"whole view, newer", update{Full: true, Puts: []record{vmRecord("a", 2)}, Versions: versions{Revision: 101}}, want{5, 101, 1, 1, false}},
		{"VM that cannot be read", update{Base: 100, Puts: []record{{Key: infra.VMKey("a"), Value: []byte("{"), ModRevision: 101}}, Versions: versions{Revision: 101}}, want{5, 101, 2, 1, false}},
		{"nothing new, known to be current", update{Versions: versions{Revision: 100, Generation: 5}}, want{5, 100, 2, 1, true}},
		{"an older view, reported as current", update{Versions: versions{Revision: 99, Generation: 5}}, same},
		{"versions of a newer view without its changes", update{Base: 103, Versions: versions{Revision: 104, Generation: 5}}, same},
		{"an older declaration, reported as current", update{Versions: versions{Revision: 100, Generation: 4}}, same},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := newState(view.NewHolder(), logr.Discard())
			s.merge(update{
				Full: true, Puts: []record{vmRecord("a", 50), vmRecord("b", 100)}, Config: declaration(5, 60),
				HasEntries: true, Entries: entryList("x"), Versions: versions{Revision: 100, Entries: 90, Generation: 5},
			}, base)
			s.merge(tc.u, later)
			got := s.holder.Load()
			assert.Equal(t, want{got.Generation(), got.Revision, len(got.VMs), len(got.Entries), got.AsOf.Equal(later)}, tc.want)
		})
	}
}

// A polling peer gets only what it lacks. A peer that has missed deletions that
// are no longer kept gets the complete view.
func TestSince(t *testing.T) {
	s := newState(view.NewHolder(), logr.Discard())
	s.merge(update{Full: true, Puts: []record{vmRecord("a", 5), vmRecord("b", 10)}, Config: declaration(1, 3), Versions: versions{Revision: 10}}, time.Time{})
	for i := range infra.Revision(maxTombstones + 10) {
		s.merge(update{Base: 10 + i, Deletes: []record{{Key: infra.VMKey("x"), ModRevision: 11 + i}}, Versions: versions{Revision: 11 + i}}, time.Time{})
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
		{"before the oldest deletion kept", versions{Revision: 15, Generation: 1}, true, 2, 0, false},
		{"another lineage", versions{Revision: newest.Revision - 3, Generation: 1, Lineage: 1}, true, 2, 0, false},
		{"all but three", versions{Revision: newest.Revision - 3, Generation: 1}, false, 0, 3, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			u := s.deltaFor(tc.have)
			assert.Equal(t, u.Full, tc.full)
			assert.Equal(t, len(u.Puts), tc.puts)
			assert.Equal(t, len(u.Deletes), tc.gone)
			assert.Equal(t, u.Config != nil, tc.config)
		})
	}
}

// fakePeers reports the statuses set by the test and records sent messages.
type fakePeers struct {
	statuses []peer.Status
	sent     []any
}

func (f *fakePeers) Peers() []peer.Status { return f.statuses }
func (f *fakePeers) Send(_ model.EntryID, _ peer.Kind, msg any) bool {
	f.sent = append(f.sent, msg)
	return true
}
func (f *fakePeers) Handle(peer.Kind, peer.Handler) {}
func status(id model.EntryID, zone model.ZoneName, d peer.Digest) peer.Status {
	d.Entry, d.Zone = id, zone
	return peer.Status{Digest: d, Incarnation: 1, Live: true}
}

// A relay's answer is delayed in transit for 30 s. The view is then 30 s older
// than the answer states, and must not look fresh.
func TestViewAgeIncludesTransitDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakePeers{statuses: []peer.Status{status("b", "z", peer.Digest{Watching: true, Revision: 9, Generation: 2})}}
		r := New(Options{Self: view.EntryRecord{ID: "a", Zone: "z"}, View: view.NewHolder(), Peers: f, Log: logr.Discard()})
		asked := time.Now()
		assert.Assert(t, r.pollOnce())
		nonce := f.sent[0].(poll).Nonce
		time.Sleep(30 * time.Second)
		answer := update{Nonce: nonce, AgeMillis: 1500, Full: true, Config: declaration(2, 1), Versions: versions{Revision: 9, Generation: 2}}
		body, err := msgpack.Marshal(answer)
		assert.NilError(t, err)
		r.handleUpdate("b", body)
		assert.Assert(t, r.opts.View.Load().AsOf.Equal(asked.Add(-1500*time.Millisecond)))
		assert.Equal(t, r.opts.View.Load().Generation(), uint64(2))

		r.handleUpdate("b", body) // a duplicate must not advance AsOf
		assert.Assert(t, r.opts.View.Load().AsOf.Equal(asked.Add(-1500*time.Millisecond)))
		r.handleUpdate("b", []byte{0xc1})
	})
}

func TestSelectSource(t *testing.T) {
	have := versions{Revision: 50, Generation: 3}
	relay := status("r", "z", peer.Digest{Watching: true, Revision: 50, Generation: 3})
	staleRelay := status("r", "z", peer.Digest{Watching: true, Revision: 50, Generation: 3, AgeMillis: millis(maxRelayAge)})
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
		{"a relay with older versions", []peer.Status{lagging}, ""},
		{"the highest generation first", []peer.Status{newer, newest}, "m"},
		{"a dead peer", []peer.Status{dead}, ""},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got, _ := selectSource("a", "z", have, time.Second, tc.peers)
			assert.Equal(t, got, tc.want)
		})
	}
}

// Apply and drain wait for every live entry VM. One that restarted under the
// same ID has not applied anything yet, whatever the digest of its previous
// incarnation reported.
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
	f := &fakePeers{statuses: []peer.Status{
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

// An entry VM is replaced under the same ID while it is paused, and then
// resumes. Its successor must stay registered, and must overwrite a record of
// the older incarnation.
func TestNewerIncarnationKeepsRegistration(t *testing.T) {
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
