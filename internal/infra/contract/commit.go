package contract

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// hookedStore runs afterUnknown once, after the first transaction whose outcome
// is unknown, so that a test can change the store before the call is retried.
type hookedStore struct {
	infra.Store
	afterUnknown func()
}

// Txn implements infra.Store.
func (b *hookedStore) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	res, err := b.Store.Txn(ctx, txn)
	if infra.IsKind(err, infra.KindUnknown) && b.afterUnknown != nil {
		b.afterUnknown()
		b.afterUnknown = nil
	}
	return res, err
}

func canLoseCalls(s Store) bool { return s.LoseReplies != nil && s.LoseRequests != nil }

// writeAAndB returns a transaction that writes id to keys a and b if key a is
// still at revision rev.
func writeAAndB(rev infra.Revision, id string) infra.Txn {
	return infra.Txn{
		If:   []infra.Cond{{Key: "a", ModRevision: rev}},
		Then: []infra.Op{infra.Put("a", []byte(id)), infra.Put("b", []byte(id))},
	}
}

// commitOutcome is a test case of Commit: a lost request or reply, what another
// client writes before the retry, and the expected result and store content.
type commitOutcome struct {
	name        string
	loseRequest bool                                            // false: the reply is lost
	txn         func(rev infra.Revision) infra.Txn              // rev is the revision of key a
	rivalAction func(t *testing.T, s Store, rev infra.Revision) // run after the loss, before the retry; may be nil
	want        infra.Kind                                      // 0: the transaction took effect
	superseded  bool
	wantA       string // value of key a at the end; empty if it is absent
}

var commitOutcomes = []commitOutcome{
	{name: "reply lost, no other writer", txn: ours, wantA: "ours"},
	{name: "request lost, no other writer", loseRequest: true, txn: ours, wantA: "ours"},
	{name: "request lost, a rival wrote first", loseRequest: true, txn: ours, rivalAction: overwriteA, want: infra.KindConflict, wantA: "rival"},
	{name: "request lost, a rival deleted the key", loseRequest: true, txn: ours, rivalAction: deleteA, want: infra.KindConflict},
	{name: "reply lost, a rival wrote afterwards", txn: ours, rivalAction: overwriteA, superseded: true, wantA: "rival"},
	{name: "reply lost, a rival deleted the key afterwards", txn: ours, rivalAction: deleteA, superseded: true},
	{name: "reply lost, a rival changed one of the keys", txn: ours, rivalAction: overwriteB, superseded: true, wantA: "ours"},
	{name: "request lost, another key failed a condition", loseRequest: true, txn: oursIfCAbsent, rivalAction: putC, want: infra.KindConflict, wantA: "before"},
	{name: "reply to a creation lost, a rival wrote afterwards", txn: creation, rivalAction: overwriteB, superseded: true, wantA: "before"},
	{name: "request of a creation lost, a rival wrote first", loseRequest: true, txn: creation, rivalAction: overwriteB, want: infra.KindConflict, wantA: "before"},
	{name: "reply to a creation lost, a rival deleted and recreated the key", txn: creation, rivalAction: recreateB, superseded: true, wantA: "before"},
	{name: "reply to a deletion lost", txn: deletion, want: infra.KindUnknown},
	{name: "request of a deletion lost, a rival wrote first", loseRequest: true, txn: deletion, rivalAction: overwriteA, want: infra.KindConflict, wantA: "rival"},
	{name: "request of a deletion lost, a rival deleted and recreated the key", loseRequest: true, txn: deletion, rivalAction: recreateA, want: infra.KindUnknown, wantA: "rival"},
}

func ours(rev infra.Revision) infra.Txn { return writeAAndB(rev, "ours") }

func oursIfCAbsent(rev infra.Revision) infra.Txn {
	txn := writeAAndB(rev, "ours")
	txn.If = append(txn.If, infra.Cond{Key: "c"})
	return txn
}

func creation(infra.Revision) infra.Txn {
	return infra.Txn{If: []infra.Cond{{Key: "b"}}, Then: []infra.Op{infra.Put("b", []byte("ours"))}}
}

func deletion(rev infra.Revision) infra.Txn {
	return infra.Txn{If: []infra.Cond{{Key: "a", ModRevision: rev}}, Then: []infra.Op{infra.Delete("a")}}
}

func overwriteA(t *testing.T, s Store, _ infra.Revision) { put(t, s.Rival, "a", "rival") }
func overwriteB(t *testing.T, s Store, _ infra.Revision) { put(t, s.Rival, "b", "rival") }
func putC(t *testing.T, s Store, _ infra.Revision)       { put(t, s.Rival, "c", "rival") }

func deleteA(t *testing.T, s Store, _ infra.Revision) {
	txn(t, s.Rival, infra.Txn{Then: []infra.Op{infra.Delete("a")}})
}

func recreateA(t *testing.T, s Store, rev infra.Revision) {
	deleteA(t, s, rev)
	overwriteA(t, s, rev)
}

func recreateB(t *testing.T, s Store, rev infra.Revision) {
	txn(t, s.Rival, infra.Txn{Then: []infra.Op{infra.Delete("b")}})
	overwriteB(t, s, rev)
}

var commitCases = append([]storeCase{
	{name: "commit: a transaction that a retry could apply twice is rejected", run: func(t *testing.T, s Store) {
		for _, txn := range []infra.Txn{
			{Then: []infra.Op{infra.Put("a", nil)}},
			{If: []infra.Cond{{Key: "b"}}, Then: []infra.Op{infra.Put("a", nil)}},
			{If: []infra.Cond{{Key: "a"}}, Then: []infra.Op{infra.Delete("a")}},
		} {
			_, err := infra.Commit(ctxOf(t), s.Client, txn)
			wantKind(t, err, infra.KindInvalid)
		}
	}},
	{name: "commit: a conflict without a lost message needs no second call", needs: readsInTxn, run: func(t *testing.T, s Store) {
		put(t, s.Rival, "a", "rival")
		res, err := infra.Commit(ctxOf(t), s.Client, writeAAndB(0, "ours"))
		wantKind(t, err, infra.KindConflict)
		assert.Equal(t, string(res.Reads[0].Value), "rival")
	}},
	{name: "commit: an equal value written by another client is not taken for our own", needs: canLoseCalls, run: sameValue},
	{name: "commit: a delayed copy of a retried request has no effect", needs: func(s Store) bool { return s.Pause != nil }, run: delayedCopy},
}, outcomeCases()...)

func outcomeCases() []storeCase {
	var cases []storeCase
	for _, o := range commitOutcomes {
		cases = append(cases, storeCase{name: "commit: " + o.name, needs: canLoseCalls, run: o.check})
	}
	return cases
}

// check loses the request or the reply of a write, and lets another client
// write before the retry. Commit must report the true outcome to the operator:
// success for a write that took effect, even if another followed; a conflict
// only for one that never did; unknown if the store's content cannot tell.
func (o commitOutcome) check(t *testing.T, s Store) {
	rev := put(t, s.Rival, "a", "before")
	client := &hookedStore{Store: s.Client}
	if o.rivalAction != nil {
		client.afterUnknown = func() { o.rivalAction(t, s, rev) }
	}
	lose := s.LoseReplies
	if o.loseRequest {
		lose = s.LoseRequests
	}
	lose(1)
	txn := o.txn(rev)

	res, err := infra.Commit(ctxOf(t), client, txn)

	assert.Equal(t, infra.KindOf(err), o.want, "%v", err)
	assert.Equal(t, res.Superseded, o.superseded)
	assert.Equal(t, string(get(t, s.Rival, "a").Value), o.wantA)
	if o.want == 0 && !o.superseded {
		assert.Equal(t, get(t, s.Rival, "a").ModRevision, res.Revision) // usable in the next condition
	}
}

// sameValue checks that Commit does not identify its own write by the value
// alone: the key already holds the value to be written, the request is lost,
// and a condition fails before the retry.
func sameValue(t *testing.T, s Store) {
	put(t, s.Rival, "b", "ours")
	rev := put(t, s.Rival, "a", "ours")
	put(t, s.Rival, "b", "ours")
	client := &hookedStore{Store: s.Client, afterUnknown: func() { put(t, s.Rival, "c", "rival") }}
	s.LoseRequests(1)
	_, err := infra.Commit(ctxOf(t), client, oursIfCAbsent(rev))
	wantKind(t, err, infra.KindConflict)

	rev = put(t, s.Rival, "a", "before") // newer than the value of key b
	client.afterUnknown = func() { overwriteA(t, s, rev) }
	s.LoseRequests(1)
	_, err = infra.Commit(ctxOf(t), client, ours(rev))
	wantKind(t, err, infra.KindConflict)
}

// delayedCopy has the service pause after it has read a write. The client
// cancels the call, the write is repeated, another write follows, and only then
// does the service process the first copy, which must not undo the newer write.
func delayedCopy(t *testing.T, s Store) {
	rev := put(t, s.Client, "a", "before")
	s.Pause(true)
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() {
		_, err := s.Client.Txn(ctx, writeAAndB(rev, "ours"))
		failed <- err
	}()
	eventually(t, "the write did not reach the service", func() bool { return s.Held() == 1 })
	cancel()
	wantKind(t, <-failed, infra.KindUnknown)
	res := txn(t, s.Rival, writeAAndB(rev, "ours"))
	assert.Assert(t, res.Succeeded)
	put(t, s.Rival, "a", "newer")
	s.Pause(false)
	eventually(t, "the first copy is still held", func() bool { return s.Held() == 0 })
	put(t, s.Client, "z", "after the copy") // calls are processed in order, so the copy has been processed too
	assert.Equal(t, string(get(t, s.Rival, "a").Value), "newer")
}
