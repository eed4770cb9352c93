package contract

import (
	"bytes"
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// StoreFactory returns a new, empty store for one case.
type StoreFactory func(t *testing.T) Store

type storeCase struct {
	name  string
	needs func(s Store) bool // nil: the case applies to every store
	run   func(t *testing.T, s Store)
}

// RunStore runs the suite of infra.Store, each case on a new store.
func RunStore(t *testing.T, fresh StoreFactory) {
	probe := fresh(t)
	for _, cases := range [][]storeCase{keyCases, leaseCases, watchCases, faultCases, commitCases} {
		for _, c := range cases {
			if c.needs != nil && !c.needs(probe) {
				continue
			}
			t.Run(c.name, func(t *testing.T) { c.run(t, fresh(t)) })
		}
	}
}

var keyCases = []storeCase{
	{name: "an absent key has revision 0 and no error", run: func(t *testing.T, s Store) {
		kv, rev, err := s.Client.Get(ctxOf(t), "a")
		assert.NilError(t, err)
		assert.Equal(t, kv.Key, "a")
		assert.Equal(t, kv.ModRevision, infra.Revision(0))
		assert.Assert(t, rev > 0)
	}},
	{name: "values come back byte for byte with their revisions", run: func(t *testing.T, s Store) {
		value := []byte{0, 0xff, '"', '\n', 0x80}
		key := "k\x00" + nonASCIIKey(s) + "/ü"
		first := put(t, s.Client, key, string(value))
		second := put(t, s.Client, key, "")
		kv := get(t, s.Client, key)
		assert.Equal(t, len(kv.Value), 0)
		assert.Equal(t, kv.CreateRevision, first)
		assert.Equal(t, kv.ModRevision, second)
		put(t, s.Client, key, string(value))
		assert.Assert(t, bytes.Equal(get(t, s.Client, key).Value, value))
	}},
	{name: "a range returns only keys with the prefix, in order", run: func(t *testing.T, s Store) {
		last := "a/" + nonASCIIKey(s)
		for _, key := range []string{"a/2", "a0", "a/1", "a", last} {
			put(t, s.Rival, key, key)
		}
		assert.DeepEqual(t, keysOf(t, s, "a/"), []string{"a/1", "a/2", last})
		assert.DeepEqual(t, keysOf(t, s, last), []string{last})
		assert.Equal(t, len(keysOf(t, s, "")), 5)
		assert.Equal(t, len(keysOf(t, s, "b")), 0)
	}},
	{name: "a transaction writes all or nothing under its conditions", run: allOrNothing},
	{name: "a condition of absence holds only while the key is absent", run: func(t *testing.T, s Store) {
		absent := infra.Txn{If: []infra.Cond{{Key: "a"}}, Then: []infra.Op{infra.Put("a", []byte("1"))}}
		assert.Assert(t, txn(t, s.Client, absent).Succeeded)
		assert.Assert(t, !txn(t, s.Client, absent).Succeeded)
		txn(t, s.Client, infra.Txn{Then: []infra.Op{infra.Delete("a")}})
		assert.Equal(t, get(t, s.Client, "a").ModRevision, infra.Revision(0))
		assert.Assert(t, txn(t, s.Client, absent).Succeeded)
	}},
	{name: "a transaction that only reads does not change the revision", needs: readsInTxn, run: func(t *testing.T, s Store) {
		rev := put(t, s.Client, "a", "1")
		res := txn(t, s.Client, infra.Txn{Then: []infra.Op{infra.Read("a"), infra.Read("b"), infra.Delete("b")}})
		assert.Equal(t, res.Revision, rev)
		assert.Equal(t, string(res.Reads[0].Value), "1")
		assert.Equal(t, res.Reads[1].Key, "b")
		assert.Equal(t, res.Reads[1].ModRevision, infra.Revision(0))
	}},
	{name: "a value of maximum size fits; with one byte more the whole transaction is rejected", run: oversized},
	{name: "too many operations and a key put twice are invalid", run: func(t *testing.T, s Store) {
		var many []infra.Op
		for i := range infra.MaxTxnOps + 1 {
			many = append(many, infra.Put(strconv.Itoa(i), nil))
		}
		_, err := s.Client.Txn(ctxOf(t), infra.Txn{Then: many})
		wantKind(t, err, infra.KindInvalid)
		_, err = s.Client.Txn(ctxOf(t), infra.Txn{Then: []infra.Op{infra.Put("a", nil), infra.Put("a", nil)}})
		wantKind(t, err, infra.KindInvalid)
		assert.Equal(t, len(keysOf(t, s, "")), 0)
	}},
	{name: "a call whose context has ended is not sent", run: func(t *testing.T, s Store) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := s.Client.Txn(ctx, infra.Txn{Then: []infra.Op{infra.Put("a", nil)}})
		wantKind(t, err, infra.KindUnavailable)
		_, _, err = s.Client.Get(ctx, "a")
		wantKind(t, err, infra.KindUnavailable)
		assert.Equal(t, get(t, s.Rival, "a").ModRevision, infra.Revision(0))
	}},
	{name: "no concurrent conditional increment is lost", run: increments},
}

func readsInTxn(s Store) bool { return !s.CondReadsOnly }

// nonASCIIKey returns a key that sorts after a to z and is not ASCII; it is
// not valid UTF-8 unless the store requires that.
func nonASCIIKey(s Store) string {
	if s.TextKeys {
		return "\u00ff"
	}
	return "\xff"
}

func allOrNothing(t *testing.T, s Store) {
	rev := put(t, s.Rival, "a", "1")
	update := infra.Txn{
		If:   []infra.Cond{{Key: "a", ModRevision: rev}, {Key: "b"}},
		Then: []infra.Op{infra.Put("a", []byte("2")), infra.Put("b", []byte("2"))},
		Else: []infra.Op{infra.Read("b"), infra.Read("a")},
	}
	if readsInTxn(s) {
		update.Then = append(update.Then, infra.Read("a"), infra.Read("c"))
	}

	first := txn(t, s.Client, update)
	second := txn(t, s.Client, update)

	assert.Assert(t, first.Succeeded)
	if readsInTxn(s) {
		assert.Equal(t, len(first.Reads), 2)
		assert.Equal(t, string(first.Reads[0].Value), "2")
	}
	assert.Equal(t, get(t, s.Client, "a").ModRevision, first.Revision)
	assert.Equal(t, get(t, s.Client, "b").ModRevision, first.Revision)
	assert.Assert(t, !second.Succeeded)
	assert.Equal(t, second.Reads[0].Key, "b")
	assert.Equal(t, second.Reads[1].ModRevision, first.Revision)
	if readsInTxn(s) {
		assert.Equal(t, second.Revision, first.Revision)
	}
}

func oversized(t *testing.T, s Store) {
	fits := bytes.Repeat([]byte("x"), infra.MaxValueBytes)
	put(t, s.Client, "a", string(fits))
	_, err := s.Client.Txn(ctxOf(t), infra.Txn{Then: []infra.Op{
		infra.Put("b", nil), infra.Put("a", append(fits, 'x')),
	}})
	wantKind(t, err, infra.KindTooLarge)
	assert.Equal(t, len(get(t, s.Client, "a").Value), len(fits))
	assert.Equal(t, get(t, s.Client, "b").ModRevision, infra.Revision(0))
}

func increments(t *testing.T, s Store) {
	const workers, each = 4, 8
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for done := 0; done < each; {
				kv, _, err := s.Client.Get(ctxOf(t), "n")
				if err != nil {
					t.Errorf("get: %v", err)
					return
				}
				n, _ := strconv.Atoi(string(kv.Value)) // 0 if the key is absent
				res, err := s.Client.Txn(ctxOf(t), infra.Txn{
					If:   []infra.Cond{{Key: "n", ModRevision: kv.ModRevision}},
					Then: []infra.Op{infra.Put("n", []byte(strconv.Itoa(n+1)))},
				})
				if err != nil {
					t.Errorf("txn: %v", err)
					return
				}
				if res.Succeeded {
					done++
				}
			}
		})
	}
	wg.Wait()
	assert.Equal(t, string(get(t, s.Rival, "n").Value), strconv.Itoa(workers*each))
}

func keysOf(t *testing.T, s Store, prefix string) []string {
	t.Helper()
	kvs, _, err := s.Client.Range(ctxOf(t), prefix)
	assert.NilError(t, err)
	keys := []string{}
	for _, kv := range kvs {
		keys = append(keys, kv.Key)
	}
	return keys
}

func txn(t *testing.T, s infra.Store, txn infra.Txn) infra.TxnResult {
	t.Helper()
	res, err := s.Txn(ctxOf(t), txn)
	assert.NilError(t, err)
	return res
}

var leaseCases = []storeCase{
	{name: "a leased key exists while the lease is renewed and is deleted when it expires", run: func(t *testing.T, s Store) {
		lease := grant(t, s, 10*time.Second)
		putLeased(t, s, "a", lease)
		s.Advance(8 * time.Second)
		assert.NilError(t, s.Client.KeepAlive(ctxOf(t), lease))
		s.Advance(8 * time.Second)
		assert.Equal(t, get(t, s.Client, "a").Lease, lease)
		s.Advance(3 * time.Second)
		assert.Equal(t, get(t, s.Client, "a").ModRevision, infra.Revision(0))
		wantKind(t, s.Client.KeepAlive(ctxOf(t), lease), infra.KindLeaseNotFound)
		wantKind(t, s.Client.Revoke(ctxOf(t), lease), infra.KindLeaseNotFound)
	}},
	{name: "revoking a lease deletes its keys at once", run: func(t *testing.T, s Store) {
		lease := grant(t, s, time.Minute)
		putLeased(t, s, "a", lease)
		put(t, s.Client, "b", "stays")
		assert.NilError(t, s.Client.Revoke(ctxOf(t), lease))
		assert.DeepEqual(t, keysOf(t, s, ""), []string{"b"})
	}},
	{name: "a key rewritten without its lease outlives the lease", run: func(t *testing.T, s Store) {
		lease := grant(t, s, time.Minute)
		putLeased(t, s, "a", lease)
		put(t, s.Client, "a", "unleased")
		assert.NilError(t, s.Client.Revoke(ctxOf(t), lease))
		assert.Equal(t, string(get(t, s.Client, "a").Value), "unleased")
	}},
	{name: "a transaction that writes under an expired lease is rejected as a whole", run: func(t *testing.T, s Store) {
		lease := grant(t, s, 10*time.Second)
		s.Advance(11 * time.Second)
		_, err := s.Client.Txn(ctxOf(t), infra.Txn{Then: []infra.Op{infra.Put("b", nil), infra.PutLeased("a", nil, lease)}})
		wantKind(t, err, infra.KindLeaseNotFound)
		assert.Equal(t, len(keysOf(t, s, "")), 0)
	}},
	{name: "a write by a holder paused past its lease fails", run: pausedHolder},
}

// pausedHolder has the holder of a shard pause for longer than its lease, as in
// a long pause of its process. Another takes the shard over, then the first
// resumes unaware. Its write must fail, or both would act on the same VM.
func pausedHolder(t *testing.T, s Store) {
	hold := infra.Txn{If: []infra.Cond{{Key: "shard"}}}
	lease := grant(t, s, 10*time.Second)
	hold.Then = []infra.Op{infra.PutLeased("shard", []byte("first"), lease)}
	firstRevision := txn(t, s.Client, hold).Revision

	s.Advance(11 * time.Second)
	hold.Then = []infra.Op{infra.Put("shard", []byte("second"))}
	assert.Assert(t, txn(t, s.Rival, hold).Succeeded)
	late := txn(t, s.Client, infra.Txn{
		If:   []infra.Cond{{Key: "shard", ModRevision: firstRevision}},
		Then: []infra.Op{infra.Put("work", []byte("first"))},
	})

	assert.Assert(t, !late.Succeeded)
	assert.Equal(t, get(t, s.Rival, "work").ModRevision, infra.Revision(0))
}

func grant(t *testing.T, s Store, ttl time.Duration) infra.LeaseID {
	t.Helper()
	lease, err := s.Client.Grant(ctxOf(t), ttl)
	assert.NilError(t, err)
	return lease
}

func putLeased(t *testing.T, s Store, key string, lease infra.LeaseID) {
	t.Helper()
	txn(t, s.Client, infra.Txn{Then: []infra.Op{infra.PutLeased(key, []byte("leased"), lease)}})
}
