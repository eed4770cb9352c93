package engine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
)

// commitMark is the value of a committer's key: who wrote last, and which of its batches.
type commitMark struct {
	Token int64 `json:"token"`
	Seq   int64 `json:"seq"`
}

// committer sends one transaction at a time, under a commit key of its own.
type committer struct {
	w   *writer
	key string

	rev  infra.Revision // of the key
	seq  int64
	busy time.Duration // since when the present batch is under way; 0: none. Locked by the writer
}

// batch is the content of one transaction. It is sent again unchanged until its
// outcome is known: its mark tells a later answer that it took effect.
type batch struct {
	creates []*creation
	flush   Flush
	seq     int64
	sent    bool // may have taken effect
}

func (b *batch) empty() bool { return len(b.creates) == 0 && len(b.flush.Changes) == 0 }

func (c *committer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.w.engine.storeKick:
		}
		first, begin := c.w.begin()
		if !begin {
			kick(c.w.gathering)
			continue
		}
		if first {
			c.w.gather(ctx)
		}
		c.store(ctx, c.take())
		c.rest()
	}
}

// rest ends a batch and asks for the next if more has gathered.
func (c *committer) rest() {
	w := c.w
	w.mu.Lock()
	w.active--
	c.busy = 0
	more := len(w.waiting) > 0
	w.mu.Unlock()
	w.engine.mu.Lock()
	all, _ := w.engine.core.Dirty()
	w.engine.mu.Unlock()
	if more || all > 0 {
		kick(w.engine.storeKick)
	}
}

func (c *committer) take() *batch {
	w := c.w
	c.seq++
	b := &batch{seq: c.seq}
	w.engine.mu.Lock()
	_, final := w.engine.core.Dirty()
	w.engine.mu.Unlock()
	w.mu.Lock()
	n := min(len(w.waiting), maxCreates)
	if final > 0 {
		n = min(n, sharedCreates)
	}
	b.creates = append(b.creates, w.waiting[:n]...)
	w.waiting = append(w.waiting[:0], w.waiting[n:]...)
	c.busy = w.engine.Clock.Now()
	left := len(w.waiting)
	w.mu.Unlock()
	w.engine.mu.Lock()
	b.flush = w.engine.core.TakeFlush(txnEntries - commitEntries - createEntries*n)
	all, _ := w.engine.core.Dirty()
	w.engine.mu.Unlock()
	if left > 0 || all > 0 {
		kick(w.engine.storeKick)
	}
	return b
}

// store sends the batch until its outcome is known.
func (c *committer) store(ctx context.Context, b *batch) {
	w := c.w
	for !b.empty() {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		res, err := w.engine.Store.Txn(call, c.txn(b))
		cancel()
		w.engine.Metrics.countTxn(err)
		if err != nil && ctx.Err() != nil {
			b.sent = true
			w.abandon(b)
			return
		}
		if err == nil {
			if res.Succeeded {
				c.succeeded(b, res.Revision)
				return
			}
			if !c.conflict(b, res.Reads) {
				return
			}
			continue
		}
		if infra.IsKind(err, infra.KindUnknown) {
			b.sent = true
		}
		w.engine.Log.Info("store does not take a transaction", "seq", b.seq, "creates", len(b.creates), "changes", len(b.flush.Changes), "error", err.Error())
		if !b.sent {
			w.refuse(b)
		}
		sleep.For(ctx, storePause)
	}
	w.finishFlush(b, nil)
}

func (c *committer) txn(b *batch) infra.Txn {
	w := c.w
	mark, err := json.Marshal(commitMark{Token: w.engine.Term.Token(), Seq: b.seq})
	if err != nil {
		panic(err) // two integers: it can't fail
	}
	t := infra.Txn{
		If:   []infra.Cond{{Key: c.key, ModRevision: c.rev}},
		Then: []infra.Op{infra.Put(c.key, mark)},
		Else: []infra.Op{infra.Read(c.key)},
	}
	for _, create := range b.creates {
		key := infra.WorkJobKey(string(create.job.ID))
		t.If = append(t.If, infra.Cond{Key: key})
		t.Then = append(t.Then, create.ops...)
		t.Else = append(t.Else, infra.Read(key))
	}
	for _, ch := range b.flush.Changes {
		t.Then = append(t.Then, w.changeOps(ch)...)
	}
	return t
}

func (w *writer) changeOps(ch Change) []infra.Op {
	if ch.Final == "" {
		return []infra.Op{infra.Put(infra.WorkProgressKey(w.engine.Cell, string(ch.Job)), ch.Progress)}
	}
	ops, err := EndOps(ch.Job, JobStub{Cell: w.engine.Cell, Workspace: ch.Workspace, State: ch.Final, Ended: w.engine.Clock.Wall()})
	if err != nil {
		panic(err) // strings and a time: it can't fail
	}
	if ch.Clear {
		ops = append(ops, infra.Delete(infra.WorkProgressKey(w.engine.Cell, string(ch.Job))))
	}
	return ops
}

func (c *committer) succeeded(b *batch, rev infra.Revision) {
	c.rev = rev
	for _, create := range b.creates {
		c.w.engine.accepted(create.job, create.queue)
		create.done <- nil
	}
	c.w.finishFlush(b, nil)
}

// conflict sorts out why the conditions failed; true where the rest of the
// batch is to be sent again.
func (c *committer) conflict(b *batch, reads []infra.KV) bool {
	w := c.w
	var mark commitMark
	if len(reads) > 0 && reads[0].ModRevision != 0 {
		if err := json.Unmarshal(reads[0].Value, &mark); err != nil {
			w.engine.Log.Error(err, "commit key is malformed")
		}
	}
	if len(reads) == 0 || mark.Token != w.engine.Term.Token() {
		w.engine.Log.Info("a later owner has written", "token", mark.Token)
		w.abandon(b)
		w.engine.Term.End("a later owner has written")
		return false
	}
	if reads[0].ModRevision != c.rev {
		if mark.Seq == b.seq {
			c.succeeded(b, reads[0].ModRevision)
			return false
		}
		c.rev = reads[0].ModRevision
		return true
	}
	kept := b.creates[:0]
	for i, create := range b.creates {
		if i+1 < len(reads) && reads[i+1].ModRevision != 0 {
			w.existed(create, reads[i+1].Value)
			continue
		}
		kept = append(kept, create)
	}
	b.creates = kept
	return true
}
