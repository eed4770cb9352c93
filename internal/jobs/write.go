package jobs

import (
	"context"
	"encoding/json"
	"errors"
	"sort"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// transition is one state change of one job. apply changes the record if the
// transition is still valid for it, and returns false otherwise. It may be
// called again on a newer record after a conflict. A nil apply is skipped.
type transition struct {
	job   model.JobID
	apply func(r *Record) bool
}

const (
	// maxTxnGroups and maxTxnBytes bound one transaction. The store refuses
	// requests over 1.5 MB by default, and base64 adds a third to the size.
	maxTxnGroups = 48
	maxTxnBytes  = 700 << 10
	// maxWriteTries bounds how often a write that conflicts with another is
	// tried. The next pass makes the transitions that remain.
	maxWriteTries = 4
	// A call that is refused by a rate limit is tried maxRateLimitTries times.
	// The wait doubles from minRateLimitWait to maxRateLimitWait and adds up to
	// three quarters of a second, which is within the time that urgent jobs have
	// to start.
	maxRateLimitTries = 12
	minRateLimitWait  = 10 * time.Millisecond
	maxRateLimitWait  = 80 * time.Millisecond
)

// write applies the transitions, with as many groups per transaction as fit, and
// returns the new records of the jobs whose change certainly took effect. All
// jobs of a transaction succeed or fail together. After a conflict the changed
// groups are read and the transaction is tried again.
func (j *Jobs) write(ctx context.Context, changes []transition) (map[model.JobID]Record, error) {
	byKey := make(map[string][]transition)
	var keys []string
	for _, c := range changes {
		key, _, ok := keyOf(c.job)
		if !ok || c.apply == nil {
			continue
		}
		if byKey[key] == nil {
			keys = append(keys, key)
		}
		byKey[key] = append(byKey[key], c)
	}
	sort.Strings(keys)
	done := make(map[model.JobID]Record)
	var errs []error
	for len(keys) > 0 {
		n, err := j.writeBatch(ctx, keys, byKey, done)
		if err != nil {
			errs = append(errs, err)
		}
		keys = keys[n:]
	}
	return done, errors.Join(errs...)
}

// draft is the new value of a group that is about to be written.
type draft struct {
	key     string
	from    storedGroup
	next    *group
	value   []byte
	touched []model.JobID
}

// writeBatch writes as many groups from the start of keys as fit into a
// transaction, adds the changed records to done, and returns how many keys it
// has processed.
func (j *Jobs) writeBatch(ctx context.Context, keys []string, byKey map[string][]transition, done map[model.JobID]Record) (int, error) {
	for range maxWriteTries {
		drafts, n, err := j.drafts(keys, byKey)
		if err != nil || len(drafts) == 0 {
			return n, err
		}
		res, err := j.commit(ctx, txnOf(drafts))
		if infra.IsKind(err, infra.KindConflict) {
			j.adoptConflicting(drafts, res)
			continue
		}
		if err != nil {
			return n, wrapError("write jobs", "", err)
		}
		for _, d := range drafts {
			j.mirror.put(d.key, storedGroup{group: d.next, rev: res.Revision})
			for _, id := range d.touched {
				_, at, _ := keyOf(id)
				done[id] = d.next.Jobs[at]
			}
		}
		return n, nil
	}
	return min(maxTxnGroups, len(keys)), wrapError("write jobs", "", infra.Errorf("write", infra.KindConflict, "others write the same jobs"))
}

// drafts returns the new values of the first groups that fit into a transaction,
// and how many keys they cover. Groups that no transition changes are left out.
func (j *Jobs) drafts(keys []string, byKey map[string][]transition) ([]draft, int, error) {
	var drafts []draft
	bytes := 0
	for n, key := range keys {
		if len(drafts) == maxTxnGroups {
			return drafts, n, nil
		}
		d, err := j.draft(key, byKey[key])
		if err != nil {
			return drafts, n + 1, err
		}
		if len(d.touched) == 0 {
			continue
		}
		if len(drafts) > 0 && bytes+len(d.value) > maxTxnBytes {
			return drafts, n, nil
		}
		bytes += len(d.value)
		drafts = append(drafts, d)
	}
	return drafts, len(keys), nil
}

// draft applies the transitions to a copy of the group. The draft has no touched
// jobs if the mirror lacks the group or no transition applies.
func (j *Jobs) draft(key string, changes []transition) (draft, error) {
	from, ok := j.mirror.get(key)
	if !ok {
		return draft{}, nil
	}
	d := draft{key: key, from: from, next: from.clone()}
	for _, c := range changes {
		_, at, _ := keyOf(c.job)
		if at < len(d.next.Jobs) && c.apply(&d.next.Jobs[at]) {
			d.touched = append(d.touched, c.job)
		}
	}
	if len(d.touched) == 0 {
		return d, nil
	}
	d.next.Change = j.changeID()
	value, err := json.Marshal(d.next)
	if err != nil {
		return d, wrapError("encode jobs", "", infra.Errorf("encode", infra.KindInvalid, "%w", err))
	}
	d.value = value
	return d, nil
}

// txnOf returns the transaction that writes the drafts, conditional on the
// revisions they were made from.
func txnOf(drafts []draft) infra.Txn {
	var txn infra.Txn
	for _, d := range drafts {
		txn.If = append(txn.If, infra.Cond{Key: d.key, ModRevision: d.from.rev})
		txn.Then = append(txn.Then, infra.Put(d.key, d.value))
	}
	return txn
}

// adoptConflicting updates the mirror with the current groups that a conflicting
// transaction has read.
func (j *Jobs) adoptConflicting(drafts []draft, res infra.TxnResult) {
	for i, d := range drafts {
		if i >= len(res.Reads) {
			return
		}
		kv := res.Reads[i]
		if kv.ModRevision == 0 {
			j.mirror.drop(d.key)
		} else if g, err := decode(kv); err == nil {
			j.mirror.put(d.key, g)
		}
	}
}

// commit is infra.Commit with repeats when the store's rate limit refuses it.
func (j *Jobs) commit(ctx context.Context, txn infra.Txn) (res infra.TxnResult, err error) {
	err = j.retryRateLimited(ctx, func() error {
		j.counts.writes.Add(1)
		res, err = infra.Commit(ctx, j.store, txn)
		return err
	})
	return res, err
}

// retryRateLimited repeats a call that a rate limit refuses without processing
// it, with exponential backoff. Even while other clients use up the rate, about
// one try in a few is admitted.
func (j *Jobs) retryRateLimited(ctx context.Context, call func() error) error {
	wait := minRateLimitWait
	for try := 1; ; try++ {
		err := call()
		if !infra.IsKind(err, infra.KindRateLimited) || try == maxRateLimitTries {
			return err
		}
		j.counts.limited.Add(1)
		select {
		case <-ctx.Done():
			return err
		case <-j.clock.After(wait):
		}
		wait = min(2*wait, maxRateLimitWait)
	}
}
