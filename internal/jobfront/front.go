package jobfront

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/ownerlink"
	"github.com/pumicestage/pumicestage/internal/ownership"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/breaker"
	"github.com/pumicestage/pumicestage/policy/work"
)

// ErrUnknownJob: no such job.
var ErrUnknownJob = errors.New("jobfront: no such job")

// ErrUncertain: whether the change took effect is not known. The caller may
// repeat it at any entry VM.
var ErrUncertain = errors.New("jobfront: outcome not known")

// Refusal says that nothing was done nor will be, and when to come back.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("jobfront: refused: %s (come back in %s)", r.Reason, r.RetryAfter)
}

// Times of one call.
const (
	// ownerTimeout ends a call to the owner. It answers in milliseconds; what
	// is left of the caller's time goes to settling the matter with the store.
	ownerTimeout = 700 * time.Millisecond
	// storeTimeout ends a call to the store.
	storeTimeout = 600 * time.Millisecond
	// storePause separates tries while an outcome is unknown.
	storePause = 100 * time.Millisecond
	// storeBack is when to come back while the store is away: its outages
	// last seconds.
	storeBack = 1 * time.Second
	// waitingFor is how long a count stays good while the owner can't be
	// asked; the deployments allow two seconds.
	waitingFor = 1800 * time.Millisecond
)

// Owner answers where the workers are owned by this very entry VM.
type Owner = ownerlink.Owner

// Options are what a Front is made of.
type Options struct {
	Store infra.Store
	// Owners returns who owns the cell; false where nobody does.
	Owners func(cell string) (ownership.Record, bool)
	Local  func(cell string) Owner // nil result: not the owner
	Link   *ownerlink.Client
	Self   string // own name
	Clock  engine.Clock
	Log    logr.Logger
}

// Front carries callers' requests out.
type Front struct {
	Options
	counts counts

	mu    sync.Mutex
	store breaker.Breaker
}

// New returns a front.
func New(o Options) *Front { return &Front{Options: o, counts: counts{m: make(map[string]count)}} }

// Submit accepts a job. nil means that it is stored; a *Refusal, ErrOtherWorkspace or ErrBehind
// that it is not and will not be; ErrUncertain that the caller should repeat it.
func (f *Front) Submit(ctx context.Context, j *work.Job, q engine.Queue) error {
	err := f.askOwner(ctx, q.Service, func(ctx context.Context, o Owner, p ownerlink.Peer) error {
		if o != nil {
			return o.Submit(ctx, j, q)
		}
		return f.Link.Submit(ctx, p, j, q)
	})
	if err == nil || settled(err) {
		return err
	}
	// The owner may be away, or cut from the store while this VM is not.
	certain := !errors.Is(err, engine.ErrUncertain)
	f.Log.Info("job stored without the owner", "job", j.ID, "cause", err.Error())
	return f.storeJob(ctx, j, q, certain)
}

// settled reports whether an owner's error is the last word, whatever the store says: the
// request is another workspace's, or was decided by a configuration that is not in force.
func settled(err error) bool {
	return errors.Is(err, engine.ErrOtherWorkspace) || errors.Is(err, engine.ErrBehind)
}

// askOwner calls the cell's owner, wherever it is.
func (f *Front) askOwner(ctx context.Context, cell string, call func(ctx context.Context, o Owner, p ownerlink.Peer) error) error {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	if local := f.Local(cell); local != nil {
		return call(ctx, local, ownerlink.Peer{})
	}
	owner, known := f.Owners(cell)
	if !known || owner.Entry == f.Self {
		return engine.ErrNotReady
	}
	return call(ctx, nil, ownerlink.Peer{Cell: cell, Address: owner.Address})
}

// storeJob creates the job in the store. certain says that no earlier try of
// this request can have taken effect. Creating is idempotent: the same
// condition that makes a second try fail proves that the first took effect.
func (f *Front) storeJob(ctx context.Context, j *work.Job, q engine.Queue, certain bool) error {
	ops, err := engine.CreateOps(q.Service, j, q)
	if err != nil {
		return &Refusal{Reason: "job can't be stored: " + err.Error()}
	}
	txn := infra.Txn{
		If:   []infra.Cond{{Key: infra.WorkJobKey(string(j.ID))}},
		Then: append(ops, infra.Put(infra.WorkInboxKey(q.Service, engine.InboxSubmit, string(j.ID)), nil)),
		Else: []infra.Op{infra.Read(infra.WorkJobKey(string(j.ID)))},
	}
	for {
		res, err := f.txn(ctx, txn)
		switch {
		case err == nil && res.Succeeded:
			return nil
		case err == nil && len(res.Reads) > 0: // there before: one ID is one job
			return engine.SameWorkspace(res.Reads[0].Value, j)
		case err == nil:
			return nil
		}
		if infra.IsKind(err, infra.KindUnknown) {
			certain = false
		}
		if certain {
			return &Refusal{Reason: "the platform's store does not take the job: " + err.Error(), RetryAfter: storeBack}
		}
		if !sleep.For(ctx, storePause) {
			return ErrUncertain
		}
	}
}

func (f *Front) txn(ctx context.Context, t infra.Txn) (res infra.TxnResult, err error) {
	err = f.tryStore(ctx, "txn", func(ctx context.Context) error {
		res, err = f.Store.Txn(ctx, t)
		return err
	})
	return res, err
}

// errStoreAway is the cause of a call that was not tried.
var errStoreAway = errors.New("it did not answer a moment ago")

// tryStore calls the store, unless it did not answer a moment ago: then the call
// is certain not to have been made.
func (f *Front) tryStore(ctx context.Context, op string, call func(ctx context.Context) error) error {
	f.mu.Lock()
	allowed := f.store.Allow(f.Clock.Now())
	f.mu.Unlock()
	if !allowed {
		return infra.Errorf(op, infra.KindUnavailable, "%w", errStoreAway)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := call(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch infra.KindOf(err) {
	case infra.KindUnavailable, infra.KindUnknown, infra.KindRateLimited:
		f.store.RecordFailure(f.Clock.Now())
	default:
		f.store.RecordSuccess()
	}
	return err
}

// State returns what a caller of the workspace is told of the job. q is the queue that the
// request came by.
func (f *Front) State(ctx context.Context, id work.JobID, q engine.Queue, by work.WorkspaceName) (work.State, error) {
	state, err := f.ownerState(ctx, id, q.Service, by)
	if err == nil || settled(err) {
		return state, err
	}
	// The owner knows open jobs alone, and may not have read yet what another
	// entry VM stored.
	stub, _, err := f.storedFor(ctx, id, by)
	if err != nil {
		return "", err
	}
	if stub.State != "" {
		return stub.State, nil
	}
	if stub.Cell != q.Service {
		if state, err := f.ownerState(ctx, id, stub.Cell, by); err == nil {
			return state, nil
		}
	}
	return work.Running, nil
}

func (f *Front) ownerState(ctx context.Context, id work.JobID, cell string, by work.WorkspaceName) (state work.State, err error) {
	err = f.askOwner(ctx, cell, func(ctx context.Context, o Owner, p ownerlink.Peer) (err error) {
		if o != nil {
			state, err = o.State(id, by)
			return err
		}
		state, err = f.Link.State(ctx, p, id, by)
		return err
	})
	return state, err
}

// storedFor reads the job's stub for a caller of the workspace. Another workspace's job is none
// to them: that an ID is taken is nobody else's business.
func (f *Front) storedFor(ctx context.Context, id work.JobID, by work.WorkspaceName) (*engine.JobStub, infra.Revision, error) {
	stub, rev, err := f.stored(ctx, id)
	if err == nil && !engine.MayAccess(stub.Workspace, by) {
		f.Log.Info("another workspace's job was asked for", "job", id, "workspace", stub.Workspace, "by", by)
		return nil, 0, ErrUnknownJob
	}
	return stub, rev, err
}

// stored reads the job's stub from the store.
func (f *Front) stored(ctx context.Context, id work.JobID) (*engine.JobStub, infra.Revision, error) {
	var kv infra.KV
	err := f.tryStore(ctx, "get", func(ctx context.Context) (err error) {
		kv, _, err = f.Store.Get(ctx, infra.WorkJobKey(string(id)))
		return err
	})
	if err != nil {
		return nil, 0, &Refusal{Reason: "neither the owner nor the platform's store answers: " + err.Error(), RetryAfter: storeBack}
	}
	if kv.ModRevision == 0 {
		return nil, 0, ErrUnknownJob
	}
	stub := new(engine.JobStub)
	if err := json.Unmarshal(kv.Value, stub); err != nil {
		f.Log.Error(err, "job's key is malformed", "job", id)
		return nil, 0, &Refusal{Reason: "job's key is malformed", RetryAfter: storeBack}
	}
	return stub, kv.ModRevision, nil
}

// Cancel cancels the job for a caller of the workspace. nil means that it is cancelled or had
// ended.
func (f *Front) Cancel(ctx context.Context, id work.JobID, q engine.Queue, by work.WorkspaceName) error {
	err := f.ownerCancel(ctx, id, q.Service, by)
	if err == nil || settled(err) {
		return err
	}
	return f.storeCancel(ctx, id, q.Service, by)
}

func (f *Front) ownerCancel(ctx context.Context, id work.JobID, cell string, by work.WorkspaceName) error {
	return f.askOwner(ctx, cell, func(ctx context.Context, o Owner, p ownerlink.Peer) error {
		if o != nil {
			return o.Cancel(ctx, id, by)
		}
		return f.Link.Cancel(ctx, p, id, by)
	})
}

// storeCancel ends the job in the store itself, so that no later owner starts
// any of it, and leaves a note for the present one. asked is the cell whose owner
// was asked in vain.
func (f *Front) storeCancel(ctx context.Context, id work.JobID, asked string, by work.WorkspaceName) error {
	for {
		stub, rev, err := f.storedFor(ctx, id, by)
		if err != nil {
			return err
		}
		if stub.State != "" {
			return nil
		}
		if stub.Cell != asked {
			if err := f.ownerCancel(ctx, id, stub.Cell, by); err == nil {
				return nil
			}
		}
		end := engine.JobStub{Cell: stub.Cell, Workspace: stub.Workspace, State: work.Cancelled, Ended: f.Clock.Wall()}
		ops, err := engine.EndOps(id, end)
		if err != nil {
			return &Refusal{Reason: "cancellation can't be stored: " + err.Error()}
		}
		res, err := f.txn(ctx, infra.Txn{
			If:   []infra.Cond{{Key: infra.WorkJobKey(string(id)), ModRevision: rev}},
			Then: append(ops, infra.Put(infra.WorkInboxKey(stub.Cell, engine.InboxCancel, string(id)), nil)),
		})
		if err == nil && res.Succeeded {
			return nil
		}
		if err != nil {
			f.Log.Info("cancellation not confirmed", "job", id, "error", err.Error())
		}
		if !sleep.For(ctx, storePause) {
			return ErrUncertain
		}
	}
}

// Waiting counts the queue's jobs of which no task has started.
func (f *Front) Waiting(ctx context.Context, q engine.Queue) (int, error) {
	n, queue := 0, q.Name
	err := f.askOwner(ctx, q.Service, func(ctx context.Context, o Owner, p ownerlink.Peer) (err error) {
		if o != nil {
			n, err = o.Waiting(queue)
			return err
		}
		n, err = f.Link.Waiting(ctx, p, queue)
		return err
	})
	now := f.Clock.Now()
	if settled(err) {
		return 0, err
	}
	if err == nil {
		f.counts.set(queue, n, now)
		return n, nil
	}
	if n, ok := f.counts.get(queue, now); ok {
		return n, nil
	}
	return 0, &Refusal{Reason: "the owner does not answer: " + err.Error(), RetryAfter: storeBack}
}
