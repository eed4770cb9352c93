package contract

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// between is a client that lets something happen after a call whose outcome
// is unknown, before the call is repeated.
type between struct {
	infra.Store
	do func()
}

// Txn implements infra.Store.
func (b *between) Txn(ctx context.Context, txn infra.Txn) (infra.TxnResult, error) {
	res, err := b.Store.Txn(ctx, txn)
	if infra.IsKind(err, infra.KindUnknown) && b.do != nil {
		b.do()
		b.do = nil
	}
	return res, err
}

func loses(s Store) bool { return s.LoseReplies != nil && s.LoseRequests != nil }

// change is a transaction that moves key a on, and marks key b.
func change(rev infra.Revision, id string) infra.Txn {
	return infra.Txn{
		If:   []infra.Cond{{Key: "a", ModRevision: rev}},
		Then: []infra.Op{infra.Put("a", []byte(id)), infra.Put("b", []byte(id))},
	}
}

// commitOutcome is what Commit must say, and what must be in the store.
type commitOutcome struct {
	name        string
	loseRequest bool                                            // else the reply is lost
	txn         func(rev infra.Revision) infra.Txn              // rev is that of key a
	rival       func(t *testing.T, s Store, rev infra.Revision) // after the loss, before the repeat
	want        infra.Kind                                      // 0: done
	superseded  bool
	a           string // what key a holds at last
}

var commitOutcomes = []commitOutcome{
	{name: "reply lost, nothing else", txn: ours, a: "ours"},
	{name: "request lost, nothing else", loseRequest: true, txn: ours, a: "ours"},
	{name: "request lost, a rival was first", loseRequest: true, txn: ours, rival: overwrite, want: infra.KindConflict, a: "rival"},
	{name: "request lost, a rival deleted", loseRequest: true, txn: ours, rival: remove, want: infra.KindConflict},
	{name: "reply lost, a rival followed", txn: ours, rival: overwrite, superseded: true, a: "rival"},
	{name: "reply lost, a rival deleted after it", txn: ours, rival: remove, superseded: true},
	{name: "reply lost, a rival changed one of the keys", txn: ours, rival: overwriteB, superseded: true, a: "ours"},
	{name: "request lost, another key failed a condition", loseRequest: true, txn: oursIfCAbsent, rival: putC, want: infra.KindConflict, a: "before"},
	{name: "reply lost to a creation, a rival followed", txn: creation, rival: overwriteB, superseded: true, a: "before"},
	{name: "request lost to a creation, a rival was first", loseRequest: true, txn: creation, rival: overwriteB, want: infra.KindConflict, a: "before"},
	{name: "reply lost to a creation, deleted and created by a rival", txn: creation, rival: recreateB, superseded: true, a: "before"},
	{name: "reply lost to a deletion", txn: deletion, want: infra.KindUnknown},
	{name: "request lost to a deletion, a rival was first", loseRequest: true, txn: deletion, rival: overwrite, want: infra.KindConflict, a: "rival"},
	{name: "request lost to a deletion, a rival deleted and created", loseRequest: true, txn: deletion, rival: recreateA, want: infra.KindUnknown, a: "rival"},
}

func ours(rev infra.Revision) infra.Txn { return change(rev, "ours") }

func oursIfCAbsent(rev infra.Revision) infra.Txn {
	txn := change(rev, "ours")
	txn.If = append(txn.If, infra.Cond{Key: "c"})
	return txn
}

func creation(infra.Revision) infra.Txn {
	return infra.Txn{If: []infra.Cond{{Key: "b"}}, Then: []infra.Op{infra.Put("b", []byte("ours"))}}
}

func deletion(rev infra.Revision) infra.Txn {
	return infra.Txn{If: []infra.Cond{{Key: "a", ModRevision: rev}}, Then: []infra.Op{infra.Delete("a")}}
}

func overwrite(t *testing.T, s Store, _ infra.Revision)  { put(t, s.Rival, "a", "rival") }
func overwriteB(t *testing.T, s Store, _ infra.Revision) { put(t, s.Rival, "b", "rival") }
func putC(t *testing.T, s Store, _ infra.Revision)       { put(t, s.Rival, "c", "rival") }

func remove(t *testing.T, s Store, _ infra.Revision) {
	txn(t, s.Rival, infra.Txn{Then: []infra.Op{infra.Delete("a")}})
}

func recreateA(t *testing.T, s Store, rev infra.Revision) {
	remove(t, s, rev)
	overwrite(t, s, rev)
}

func recreateB(t *testing.T, s Store, rev infra.Revision) {
	txn(t, s.Rival, infra.Txn{Then: []infra.Op{infra.Delete("b")}})
	overwriteB(t, s, rev)
}

var commitCases = append([]storeCase{
	{name: "commit: a transaction that a repeat could apply twice is refused", run: func(t *testing.T, s Store) {
		for _, txn := range []infra.Txn{
			{Then: []infra.Op{infra.Put("a", nil)}},
			{If: []infra.Cond{{Key: "b"}}, Then: []infra.Op{infra.Put("a", nil)}},
			{If: []infra.Cond{{Key: "a"}}, Then: []infra.Op{infra.Delete("a")}},
		} {
			_, err := infra.Commit(ctxOf(t), s.Client, txn)
			wantKind(t, err, infra.KindInvalid)
		}
	}},
	{name: "commit: a conflict without any loss needs no second call", needs: readsInTxn, run: func(t *testing.T, s Store) {
		put(t, s.Rival, "a", "rival")
		res, err := infra.Commit(ctxOf(t), s.Client, change(0, "ours"))
		wantKind(t, err, infra.KindConflict)
		assert.Equal(t, string(res.Reads[0].Value), "rival")
	}},
	{name: "commit: the same value written by another is not ours", needs: loses, run: sameValue},
	{name: "commit: a late copy of a lost request has no effect", needs: func(s Store) bool { return s.Pause != nil }, run: lateCopy},
}, outcomeCases()...)

func outcomeCases() []storeCase {
	var cases []storeCase
	for _, o := range commitOutcomes {
		cases = append(cases, storeCase{name: "commit: " + o.name, needs: loses, run: o.check})
	}
	return cases
}

// A write is sent and its request or reply is lost; before it is repeated a
// rival may act. The operator must hear what became of the change: "done" for
// one that took effect, even if another followed; "conflict" only for one that
// never did; "unknown" where nothing in the store can tell.
func (o commitOutcome) check(t *testing.T, s Store) {
	rev := put(t, s.Rival, "a", "before")
	client := &between{Store: s.Client}
	if o.rival != nil {
		client.do = func() { o.rival(t, s, rev) }
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
	assert.Equal(t, string(get(t, s.Rival, "a").Value), o.a)
	if o.want == 0 && !o.superseded {
		assert.Equal(t, get(t, s.Rival, "a").ModRevision, res.Revision) // fit for the next condition
	}
}

// A value that we write stands there already, and our request is lost while a
// condition fails: the value alone would look like ours.
func sameValue(t *testing.T, s Store) {
	put(t, s.Rival, "b", "ours")
	rev := put(t, s.Rival, "a", "ours")
	put(t, s.Rival, "b", "ours")
	client := &between{Store: s.Client, do: func() { put(t, s.Rival, "c", "rival") }}
	s.LoseRequests(1)
	_, err := infra.Commit(ctxOf(t), client, oursIfCAbsent(rev))
	wantKind(t, err, infra.KindConflict)

	rev = put(t, s.Rival, "a", "before") // newer than the value of key b
	client.do = func() { overwrite(t, s, rev) }
	s.LoseRequests(1)
	_, err = infra.Commit(ctxOf(t), client, ours(rev))
	wantKind(t, err, infra.KindConflict)
}

// The service has read our write and stops; we give up, come back and repeat
// it, another change follows, and only then does the service act on the first
// copy. Had it an effect it would undo the newer change.
func lateCopy(t *testing.T, s Store) {
	rev := put(t, s.Client, "a", "before")
	s.Pause(true)
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() {
		_, err := s.Client.Txn(ctx, change(rev, "ours"))
		failed <- err
	}()
	eventually(t, "the write did not arrive", func() bool { return s.Held() == 1 })
	cancel()
	wantKind(t, <-failed, infra.KindUnknown)
	res := txn(t, s.Rival, change(rev, "ours"))
	assert.Assert(t, res.Succeeded)
	put(t, s.Rival, "a", "newer")
	s.Pause(false)
	eventually(t, "the first copy is still held", func() bool { return s.Held() == 0 })
	put(t, s.Client, "z", "after the copy") // calls are acted on one by one
	assert.Equal(t, string(get(t, s.Rival, "a").Value), "newer")
}
