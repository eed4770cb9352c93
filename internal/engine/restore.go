package engine

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
)

// OwnerGrace is how long an owner that can't reach the store goes on giving
// orders after its lease was last certain. Outages of the store last some
// seconds, and work that runs would lapse in them for nothing; a successor waits
// as much longer for workers it can't reach.
const OwnerGrace = 5 * time.Second

// inheritedFor is how long after a take-over an earlier owner's leases may
// last on a worker that was not heard.
func inheritedFor() time.Duration {
	lease := time.Duration(float64(LeaseExtension) * (1 + maxClockDrift))
	return OwnerGrace + lease + expiryMargin
}

// seizeTimeout ends one try at writing the commit keys.
const seizeTimeout = 3 * time.Second

// restore takes the commit keys over, which fences every transaction of earlier
// owners, and then reads all jobs.
func (e *Engine) restore(ctx context.Context) error {
	for ctx.Err() == nil {
		first, err := e.seizeAll(ctx)
		if err == nil {
			err = e.load(ctx, first)
		}
		if err == nil || trace.IsCompareFailed(err) {
			return err
		}
		e.Log.Info("can't take over yet", "error", err.Error())
		sleep.For(ctx, storePause)
	}
	return ctx.Err()
}

// seizeAll writes all commit keys; first reports that nobody had before.
func (e *Engine) seizeAll(ctx context.Context) (first bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, seizeTimeout)
	defer cancel()
	var fresh [committers]bool
	var errs [committers]error
	var writers sync.WaitGroup
	for i, c := range e.writer.committers {
		writers.Go(func() { fresh[i], errs[i] = e.seize(ctx, c) })
	}
	writers.Wait()
	for _, err := range errs {
		if trace.IsCompareFailed(err) {
			return false, err
		}
	}
	return !slices.Contains(fresh[:], false), trace.NewAggregate(errs[:]...)
}

// seize writes a commit key; fresh reports that it did not exist.
func (e *Engine) seize(ctx context.Context, c *committer) (fresh bool, err error) {
	kv, _, err := e.Store.Get(ctx, c.key)
	if err != nil {
		return false, trace.Wrap(err)
	}
	var old commitMark
	if kv.ModRevision != 0 {
		if err := json.Unmarshal(kv.Value, &old); err != nil {
			return false, trace.Wrap(err, "commit key is malformed")
		}
	}
	if old.Token > e.Term.Token() {
		return false, trace.CompareFailed("a later owner, token %d, has written", old.Token)
	}
	if old.Token == e.Term.Token() {
		// An earlier try of ours took effect without an answer.
		c.rev = kv.ModRevision
		return false, nil
	}
	mark, err := json.Marshal(commitMark{Token: e.Term.Token()})
	if err != nil {
		return false, trace.Wrap(err)
	}
	res, err := e.Store.Txn(ctx, infra.Txn{
		If:   []infra.Cond{{Key: c.key, ModRevision: kv.ModRevision}},
		Then: []infra.Op{infra.Put(c.key, mark)},
	})
	if err != nil {
		return false, trace.Wrap(err)
	}
	if !res.Succeeded {
		return false, trace.ConnectionProblem(nil, "the commit key changed meanwhile")
	}
	c.rev = res.Revision
	return kv.ModRevision == 0, nil
}

func (e *Engine) load(ctx context.Context, first bool) error {
	progress, jobs, ledgers, err := e.readStored(ctx)
	if err != nil {
		return err
	}
	byJob := make(map[string]*Progress, len(progress))
	for _, kv := range progress {
		var p Progress
		if err := json.Unmarshal(kv.Value, &p); err != nil {
			e.Log.Error(err, "progress is malformed: the job starts over", "key", kv.Key)
			continue
		}
		byJob[strings.TrimPrefix(kv.Key, infra.WorkProgressPrefix(e.Cell))] = &p
	}
	now, wall := e.Clock.Now(), e.Clock.Wall()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.Declare(e.Declared())
	for _, kv := range ledgers {
		e.core.RestoreLedger(kv)
	}
	for _, kv := range jobs {
		var r JobRecord
		if err := json.Unmarshal(kv.Value, &r); err != nil || r.Job == nil {
			e.Log.Error(err, "job record is malformed and left alone", "key", kv.Key)
			continue
		}
		e.core.Restore(&r, byJob[string(r.Job.ID)], now, wall)
	}
	e.core.Reaffirm(now, wall)
	for _, info := range e.Registry() {
		e.core.WorkerRegistered(info)
	}
	if !first {
		e.core.InheritLeases(now + inheritedFor())
	}
	return nil
}

// readStored reads the cell's progress and open jobs and what it holds of limits, and waits for the list of
// workers meanwhile: while the store is slow each call takes a fifth of a second, and
// nobody owns the cell. No earlier owner writes any more, so their order is free. Each page
// has its time at the store's client: a bound on all of them would never let a cell of
// thousands of jobs be read from a slow store.
func (e *Engine) readStored(ctx context.Context) (progress, jobs, ledgers []infra.KV, err error) {
	var progressErr, jobsErr, ledgersErr error
	var readers sync.WaitGroup
	readers.Go(func() { progress, _, progressErr = e.Store.Range(ctx, infra.WorkProgressPrefix(e.Cell)) })
	readers.Go(func() { jobs, _, jobsErr = e.Store.Range(ctx, infra.WorkOpenPrefix(e.Cell)) })
	readers.Go(func() { ledgers, _, ledgersErr = e.Store.Range(ctx, infra.WorkLimitPrefix) })
	if e.Listed != nil {
		readers.Go(func() { e.Listed(ctx) })
	}
	readers.Wait()
	return progress, jobs, ledgers, trace.NewAggregate(progressErr, jobsErr, ledgersErr)
}

// found adds a job that an entry VM stored itself.
func (e *Engine) found(r *JobRecord) {
	e.mu.Lock()
	if e.core.jobs[r.Job.ID] == nil {
		e.core.Restore(r, nil, e.Clock.Now(), e.Clock.Wall())
		// It was stored after this term began: no earlier owner knew it.
		e.core.jobs[r.Job.ID].restored = false
	}
	e.mu.Unlock()
	kick(e.planKick)
}
