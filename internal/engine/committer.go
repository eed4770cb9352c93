package engine

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
)

// commitMark is the value of a commit key. It tells which owner wrote the key last and
// with which of its batches.
type commitMark struct {
	Token int64 `json:"token"` // fencing token of the owner's term
	Seq   int64 `json:"seq"`   // number of the committer's batch
}

// committer sends one transaction at a time to the store. Each transaction is conditional
// on the revision of the committer's commit key and rewrites that key, so that a later
// owner, which rewrites all commit keys, fences it.
type committer struct {
	w   *writer
	key string

	rev        infra.Revision // of the commit key
	seq        int64
	batchSince time.Duration // start of the current batch on the engine's clock; 0: none. Guarded by writer.mu
	large      bool          // the current batch has a large job. Guarded by writer.mu
}

// batch is the content of one transaction. It is sent again until its outcome is known:
// if an earlier attempt took effect, the commit key holds the batch's seq.
type batch struct {
	creates     []*creation
	flush       Flush
	seq         int64
	mayBeStored bool // an attempt may have taken effect
}

func (b *batch) empty() bool { return len(b.creates) == 0 && len(b.flush.Changes) == 0 }

func (c *committer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.w.engine.storeKick:
		}
		first, begin := c.w.startBatch()
		if !begin {
			kick(c.w.gatherWake)
			continue
		}
		if first {
			c.w.gather(ctx)
		}
		c.store(ctx, c.nextBatch())
		c.finishBatch()
	}
}

// finishBatch marks the committer as idle and triggers another batch if changes are pending.
func (c *committer) finishBatch() {
	w := c.w
	w.mu.Lock()
	w.active--
	if c.large {
		w.storingLarge = false
	}
	c.batchSince, c.large = 0, false
	more := w.storableLocked() > 0
	w.mu.Unlock()
	w.engine.mu.Lock()
	all, _ := w.engine.core.Dirty()
	w.engine.mu.Unlock()
	if more || all > 0 {
		kick(w.engine.storeKick)
	}
}

// nextBatch takes pending creations and changes, as many as fit into one transaction, and
// triggers another committer if some are left.
func (c *committer) nextBatch() *batch {
	w := c.w
	c.seq++
	b := &batch{seq: c.seq}
	w.engine.mu.Lock()
	_, final := w.engine.core.Dirty()
	w.engine.mu.Unlock()
	w.mu.Lock()
	n := min(len(w.waiting), maxCreates)
	if final > 0 {
		n = min(n, maxCreatesBesideEnds)
	}
	b.creates, w.waiting = takeDistinct(w.waiting, n, maxCreateBytes, !w.storingLarge)
	c.large = slices.ContainsFunc(b.creates, (*creation).large)
	w.storingLarge = w.storingLarge || c.large
	c.batchSince = w.engine.Clock.Now()
	left := w.storableLocked()
	w.mu.Unlock()
	w.engine.mu.Lock()
	repeats := b.removeKnown(w.engine.core)
	b.flush = w.engine.core.TakeFlush(txnEntries - commitEntries - createEntries*len(b.creates))
	all, _ := w.engine.core.Dirty()
	w.engine.mu.Unlock()
	for c, err := range repeats {
		w.finish(c, err)
	}
	if left > 0 || all > 0 {
		kick(w.engine.storeKick)
	}
	return b
}

// removeKnown takes the creations of jobs that the core knows by now out of the batch, and returns
// them with their outcomes. The batch may hold such a job's end, which writes the same key.
func (b *batch) removeKnown(core *Core) map[*creation]error {
	repeats := make(map[*creation]error)
	b.creates = slices.DeleteFunc(b.creates, func(c *creation) bool {
		known := core.Known(c.job.ID)
		if known {
			repeats[c] = core.checkRepeat(c.job)
		}
		return known
	})
	return repeats
}

// takeDistinct takes up to n creations of different jobs, whose records have up to size bytes together,
// and returns them and the rest. If large jobs may be taken, it takes one alone. The store rejects a
// transaction that writes a key twice.
func takeDistinct(waiting []*creation, n, size int, largeToo bool) (taken, left []*creation) {
	for _, c := range waiting {
		repeats := slices.ContainsFunc(taken, func(o *creation) bool { return o.job.ID == c.job.ID })
		fits := c.recordBytes() <= size || largeToo && len(taken) == 0
		if len(taken) == n || repeats || !fits {
			left = append(left, c)
			continue
		}
		taken = append(taken, c)
		size -= c.recordBytes()
	}
	return taken, left
}

// large reports whether the record is too large to be stored with others.
func (c *creation) large() bool { return c.recordBytes() > maxCreateBytes }

// recordBytes returns the size of the records of the new jobs as they are sent.
func (b *batch) recordBytes() (n int) {
	for _, c := range b.creates {
		n += base64.StdEncoding.EncodedLen(c.recordBytes())
	}
	return n
}

// recordBytes returns the size of what is stored of the job.
func (c *creation) recordBytes() (n int) {
	for _, op := range c.ops {
		n += len(op.Value)
	}
	return n
}

// store sends the batch until its outcome is known or ctx ends. If the store certainly did
// not take it, pending creations fail with ErrStore and the changes are sent again.
func (c *committer) store(ctx context.Context, b *batch) {
	w := c.w
	for !b.empty() {
		call, cancel := context.WithTimeout(ctx, storeTimeout+infra.SendTime(b.recordBytes()))
		res, err := w.engine.Store.Txn(call, c.txn(b))
		cancel()
		w.engine.Metrics.countTxn(err)
		if err != nil && ctx.Err() != nil {
			b.mayBeStored = true
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
			b.mayBeStored = true
		}
		w.engine.Log.Info("store transaction failed, will retry", "seq", b.seq, "creates", len(b.creates), "changes", len(b.flush.Changes), "error", err.Error())
		if !b.mayBeStored {
			w.refuse(b)
		}
		sleep.For(ctx, storeRetryDelay)
	}
	w.finishFlush(b, nil)
}

func (c *committer) txn(b *batch) infra.Txn {
	w := c.w
	mark, err := json.Marshal(commitMark{Token: w.engine.Term.Token(), Seq: b.seq})
	if err != nil {
		panic(err) // two integers always marshal
	}
	t := infra.Txn{
		If:   []infra.Cond{{Key: c.key, ModRevision: c.rev}},
		Then: []infra.Op{infra.Put(c.key, mark)},
		Else: []infra.Op{infra.Read(c.key)},
	}
	for _, create := range b.creates {
		key := infra.WorkJobKey(string(create.job.ID))
		t.If = append(t.If, infra.Cond{Key: key, ModRevision: create.rev})
		t.Then = append(t.Then, create.ops...)
		t.Else = append(t.Else, infra.Read(key))
	}
	for _, ch := range b.flush.Changes {
		t.Then = append(t.Then, w.changeOps(ch)...)
	}
	return t
}

// changeOps returns the writes of one job's change.
func (w *writer) changeOps(ch Change) []infra.Op {
	if ch.Final == "" {
		return []infra.Op{infra.Put(infra.WorkProgressKey(w.engine.Cell, string(ch.Job)), ch.Progress)}
	}
	ops, err := EndOps(ch.Job, JobStub{Cell: w.engine.Cell, Workspace: ch.Workspace, State: ch.Final, Ended: w.engine.Clock.Wall()})
	if err != nil {
		panic(err) // strings and a time always marshal
	}
	if ch.DeleteProgress {
		ops = append(ops, infra.Delete(infra.WorkProgressKey(w.engine.Cell, string(ch.Job))))
	}
	return ops
}

// succeeded completes a batch that took effect at the revision.
func (c *committer) succeeded(b *batch, rev infra.Revision) {
	c.rev = rev
	for _, create := range b.creates {
		c.w.engine.Log.V(1).Info("creation of job confirmed", "job", create.job.ID, "seq", b.seq, "revision", int64(rev), "attempts unanswered", b.mayBeStored)
		c.w.engine.jobStored(create.job, create.queue)
		c.w.finish(create, nil)
	}
	c.w.finishFlush(b, nil)
}

// decodeMark decodes a commit key. One that is missing or malformed names no owner, and its mark is
// zero: the key is then written over, under the condition that it has not changed.
func (e *Engine) decodeMark(kv infra.KV) commitMark {
	var mark commitMark
	if kv.ModRevision == 0 {
		return mark
	}
	if err := json.Unmarshal(kv.Value, &mark); err != nil {
		e.Log.Error(err, "commit key is malformed, taken for free", "key", kv.Key)
		return commitMark{}
	}
	return mark
}

// conflict handles a transaction whose conditions failed; reads holds the commit key and
// then the key of each new job. It reports whether the rest of the batch must be sent again:
// not if a later owner has written, which ends the term, nor if an earlier attempt of this
// batch took effect. New jobs that are stored already are taken out of the batch.
func (c *committer) conflict(b *batch, reads []infra.KV) bool {
	w := c.w
	if len(reads) == 0 {
		w.engine.Log.Info("the store's answer to a failed transaction lacks the commit key", "key", c.key)
		w.abandon(b)
		w.engine.Term.End("the store's answer lacks the commit key")
		return false
	}
	mark := w.engine.decodeMark(reads[0])
	if mark.Token > w.engine.Term.Token() {
		w.engine.Log.Info("fenced: a later owner has written the commit key", "token", mark.Token)
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
		if i+1 >= len(reads) || reads[i+1].ModRevision == create.rev || !w.handleExisting(create, reads[i+1]) {
			kept = append(kept, create)
		}
	}
	b.creates = kept
	return true
}
