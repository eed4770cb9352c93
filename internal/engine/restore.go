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

// OwnerGrace is how long an owner that can't reach the store goes on giving orders after its
// lease was last certain. Outages of the store last some seconds, in which running tasks
// would lose their leases for nothing. In return a successor waits as much longer for
// workers that it can't reach.
const OwnerGrace = 5 * time.Second

// inheritedLeaseTime returns how long after a take-over leases of an earlier owner may still
// run on a worker that has not answered this one.
func inheritedLeaseTime() time.Duration {
	lease := time.Duration(float64(LeaseExtension) * (1 + maxClockDrift))
	return OwnerGrace + lease + expiryMargin
}

// takeCommitKeysTimeout bounds one attempt to write all commit keys.
const takeCommitKeysTimeout = 3 * time.Second

// restore rewrites the commit keys, which fences all transactions of earlier owners, and then
// reads all jobs. It retries until ctx ends or a later owner is found to have written.
func (e *Engine) restore(ctx context.Context) error {
	for ctx.Err() == nil {
		first, err := e.takeCommitKeys(ctx)
		if err == nil {
			err = e.load(ctx, first)
		}
		if err == nil || trace.IsCompareFailed(err) {
			return err
		}
		e.Log.Info("take-over failed, will retry", "error", err.Error())
		sleep.For(ctx, storeRetryDelay)
	}
	return ctx.Err()
}

// takeCommitKeys writes all commit keys with this term's token; first reports that none of
// them existed, so that the cell never had an owner. If a later owner has written one, the
// error is a trace.CompareFailed.
func (e *Engine) takeCommitKeys(ctx context.Context) (first bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, takeCommitKeysTimeout)
	defer cancel()
	var fresh [committerCount]bool
	var errs [committerCount]error
	var writers sync.WaitGroup
	for i, c := range e.writer.committers {
		writers.Go(func() { fresh[i], errs[i] = e.takeCommitKey(ctx, c) })
	}
	writers.Wait()
	for _, err := range errs {
		if trace.IsCompareFailed(err) {
			return false, err
		}
	}
	return !slices.Contains(fresh[:], false), trace.NewAggregate(errs[:]...)
}

// takeCommitKey writes one commit key; fresh reports that it did not exist.
func (e *Engine) takeCommitKey(ctx context.Context, c *committer) (fresh bool, err error) {
	kv, _, err := e.Store.Get(ctx, c.key)
	if err != nil {
		return false, trace.Wrap(err)
	}
	old := e.decodeMark(kv)
	if old.Token > e.Term.Token() {
		return false, trace.CompareFailed("a later owner with token %d has written commit key %q", old.Token, c.key)
	}
	if old.Token == e.Term.Token() {
		// An earlier attempt of this term took effect, but its answer was lost.
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
		return false, trace.ConnectionProblem(nil, "commit key %q was changed by another writer", c.key)
	}
	c.rev = res.Revision
	return kv.ModRevision == 0, nil
}

// load reads the cell's state from the store into the core. Unless the cell is new (first),
// leases of earlier owners are taken into account.
func (e *Engine) load(ctx context.Context, first bool) error {
	progress, jobs, ledgers, err := e.readStored(ctx)
	if err != nil {
		return err
	}
	now, wall := e.Clock.Now(), e.Clock.Wall()
	stored := e.decodeJobs(jobs, progress, wall)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.core.Configure(e.Declared())
	for _, kv := range ledgers {
		e.core.RestoreLedger(kv)
	}
	for _, s := range stored {
		e.core.Restore(s.record, s.progress, now, wall)
	}
	e.core.FinishRestore(now, wall)
	for _, info := range e.Registry() {
		e.core.WorkerRegistered(info)
	}
	if !first {
		e.core.InheritLeases(now + inheritedLeaseTime())
	}
	return nil
}

// storedJob is an open job as it was stored.
type storedJob struct {
	record   *JobRecord
	progress *Progress // nil: none is stored
}

// decodeJobs decodes the records of the open jobs and their progress at the time of day wall. A job whose
// record is malformed is left out.
func (e *Engine) decodeJobs(jobs, progress []infra.KV, wall time.Time) []storedJob {
	byJob := make(map[string]infra.KV, len(progress))
	for _, kv := range progress {
		byJob[strings.TrimPrefix(kv.Key, infra.WorkProgressPrefix(e.Cell))] = kv
	}
	out := make([]storedJob, 0, len(jobs))
	for _, kv := range jobs {
		r := new(JobRecord)
		if err := json.Unmarshal(kv.Value, r); err != nil || r.Job == nil {
			e.Log.Error(err, "job record is malformed, the job is not restored", "key", kv.Key)
			continue
		}
		s := storedJob{record: r}
		if kv, found := byJob[string(r.Job.ID)]; found {
			var err error
			if s.progress, err = readProgress(kv.Value, r.Job, wall); err != nil {
				e.Log.Error(err, "job progress is malformed, tasks that may be done are held", "job", r.Job.ID, "key", kv.Key)
			}
		}
		out = append(out, s)
	}
	return out
}

// readStored reads the progress of the cell's jobs, its open jobs and the ledgers of limits,
// and at the same time waits for the list of workers. It does so in parallel, because a slow
// store takes a fifth of a second for each call while no owner serves the cell; the order
// doesn't matter, as earlier owners are fenced. There is no overall deadline, with which a
// cell with thousands of jobs could never be read from a slow store: the store's client
// bounds each page.
func (e *Engine) readStored(ctx context.Context) (progress, jobs, ledgers []infra.KV, err error) {
	var progressErr, jobsErr, ledgersErr error
	var readers sync.WaitGroup
	readers.Go(func() { progress, _, progressErr = e.Store.Range(ctx, infra.WorkProgressPrefix(e.Cell)) })
	readers.Go(func() { jobs, _, jobsErr = e.Store.Range(ctx, infra.WorkOpenPrefix(e.Cell)) })
	readers.Go(func() { ledgers, _, ledgersErr = e.Store.Range(ctx, infra.WorkLimitPrefix) })
	if e.WaitForRegistry != nil {
		readers.Go(func() { e.WaitForRegistry(ctx) })
	}
	readers.Wait()
	return progress, jobs, ledgers, trace.NewAggregate(progressErr, jobsErr, ledgersErr)
}

// addFoundJob adds a job that an entry VM stored without reaching the owner.
func (e *Engine) addFoundJob(r *JobRecord) {
	e.mu.Lock()
	if e.core.jobs[r.Job.ID] == nil {
		e.core.Restore(r, nil, e.Clock.Now(), e.Clock.Wall())
		// The job was stored after this term began, so no earlier owner can have started it.
		e.core.jobs[r.Job.ID].restored = false
	}
	e.mu.Unlock()
	kick(e.planKick)
}
