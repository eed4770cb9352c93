package jobfront

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/engine"
	"github.com/pumicestage/pumicestage/internal/guard"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/ownerlink"
	"github.com/pumicestage/pumicestage/internal/ownership"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/breaker"
	"github.com/pumicestage/pumicestage/policy/work"
)

// ErrUnknownJob means that the job does not exist, or that it is another workspace's.
var ErrUnknownJob = errors.New("jobfront: no such job")

// ErrUncertain means that it is unknown whether the change took effect. The caller may repeat
// the request at any entry VM.
var ErrUncertain = errors.New("jobfront: outcome not known")

// Refusal is the error of a request that had no effect and will have none. RetryAfter is the
// time after which the caller should try again.
type Refusal struct {
	Reason     string
	RetryAfter time.Duration

	cutOff bool // the entry VM was cut off
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("jobfront: refused: %s (come back in %s)", r.Reason, r.RetryAfter)
}

// Times of one call.
const (
	// ownerTimeout ends a call to the owner, which normally answers in milliseconds. The
	// rest of the caller's time is needed to complete the request by the store.
	ownerTimeout = 700 * time.Millisecond
	// storeTimeout ends a call to the store.
	storeTimeout = 600 * time.Millisecond
	// storeRetryInterval separates attempts while the outcome of a change is unknown.
	storeRetryInterval = 100 * time.Millisecond
	// ownerRetryInterval separates calls to the owner while the store does not answer, and
	// ownerRetryTimeout ends such a call: an owner with a throttled processor answers within
	// it, and the store is tried again soon after.
	ownerRetryInterval = 500 * time.Millisecond
	ownerRetryTimeout  = 400 * time.Millisecond
	// storeRetryAfter is the RetryAfter of refusals while the store is unreachable: its
	// outages last seconds.
	storeRetryAfter = 1 * time.Second
	// noMemoryRetryAfter is the RetryAfter of refusals while the owner has no memory for a job:
	// until some of its jobs have ended.
	noMemoryRetryAfter = 2 * time.Second
	// maxCountAge is how long the last count of waiting jobs is used while the owner
	// does not answer; deployments allow counts to be up to two seconds old.
	maxCountAge = 1800 * time.Millisecond
)

// Owner is the engine of a cell that this entry VM itself owns.
type Owner = ownerlink.Owner

// Options configures a Front.
type Options struct {
	Store infra.Store
	// Owners returns the cell's owner; false if none is known.
	Owners func(cell string) (ownership.Record, bool)
	Local  func(cell string) Owner // nil if this entry VM does not own the cell
	Link   *ownerlink.Client
	Self   string // this entry VM's name
	Clock  engine.Clock
	Log    logr.Logger
	// CutOff tells whether this entry VM is cut off. While it is, requests that would wait are
	// refused, or answered with ErrUncertain, so that callers can repeat them elsewhere. nil:
	// requests wait for their timeouts, and the owner is not asked again.
	CutOff *CutOff
	// Uncertain counts answers with ErrUncertain by cause; nil: not counted.
	Uncertain *expvar.Map
	// CutOffRefusals counts refusals while this entry VM is cut off; nil: not counted.
	CutOffRefusals *expvar.Int
}

// Front carries out callers' requests on any entry VM: by the cell's owner, here or on another
// entry VM, or by the store while the owner does not answer.
type Front struct {
	Options
	counts countCache

	mu           sync.Mutex
	storeBreaker breaker.Breaker
}

// New returns a Front.
func New(o Options) *Front { return &Front{Options: o, counts: countCache{m: make(map[string]count)}} }

// Submit accepts a job. It returns nil if the job is stored; a *Refusal,
// engine.ErrOtherWorkspace, engine.ErrCancelledEarly or engine.ErrStaleConfig if it is not and will
// not be; ErrUncertain if the caller should repeat the request.
func (f *Front) Submit(ctx context.Context, j *work.Job, q engine.Queue) (err error) {
	ctx, end := f.begin(ctx, 0)
	defer func() { end(err) }()
	if _, cutOff := f.CutOff.active(); cutOff {
		return f.refuseChange()
	}
	err = f.submitToOwner(ctx, j, q)
	if errors.Is(err, engine.ErrNoMemory) {
		return &Refusal{Reason: err.Error(), RetryAfter: noMemoryRetryAfter}
	}
	if err == nil || isFinal(err) {
		return err
	}
	// The owner may be down, or unable to reach the store while this entry VM can.
	notCreated := !errors.Is(err, engine.ErrUncertain)
	if notCreated && (engine.BytesOnTheWay(j) > guard.SmallBytes || engine.AcceptedBytes(j) > engine.MaxUnownedBytes) {
		// Only the owner knows whether it has memory for it.
		return f.refuse("the job is large and its owner does not answer: " + err.Error())
	}
	f.Log.Info("storing the job without its owner", "job", j.ID, "cause", err.Error())
	return f.createInStore(ctx, j, q, notCreated)
}

func (f *Front) submitToOwner(ctx context.Context, j *work.Job, q engine.Queue) error {
	return f.callOwner(ctx, q.Service, func(ctx context.Context, o Owner, p ownerlink.Peer) error {
		if o != nil {
			return o.Submit(ctx, j, q)
		}
		return f.Link.Submit(ctx, p, j, q)
	})
}

// isFinal reports whether an owner's error ends the request without recourse to the store: the
// job's key or its size rules it out, the owner has no memory for it, or this entry VM's configuration is
// older than the owner's.
func isFinal(err error) bool {
	return ruledOut(err) || errors.Is(err, engine.ErrStaleConfig) || errors.Is(err, engine.ErrNoMemory) || errors.Is(err, engine.ErrTooLarge)
}

// ruledOut reports whether the job can't be created because of what its key holds: a job of another
// workspace, or a cancellation.
func ruledOut(err error) bool {
	return errors.Is(err, engine.ErrOtherWorkspace) || errors.Is(err, engine.ErrCancelledEarly)
}

// callOwner runs call for the cell's owner: with the engine o if the owner is this entry VM,
// otherwise with the peer p and a nil o. It returns engine.ErrNotReady if no owner is known.
func (f *Front) callOwner(ctx context.Context, cell string, call func(ctx context.Context, o Owner, p ownerlink.Peer) error) error {
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

// createInStore creates the job in the store, and a message in the cell's inbox, from which
// the next owner, or this one, learns of it. notCreated tells that no earlier attempt of this
// request can have taken effect. Creation is idempotent: the condition that makes a second
// attempt fail proves that the first one took effect.
func (f *Front) createInStore(ctx context.Context, j *work.Job, q engine.Queue, notCreated bool) error {
	ops, err := engine.CreateOps(q.Service, j, q)
	if errors.Is(err, engine.ErrTooLarge) {
		return err
	}
	if err != nil {
		return &Refusal{Reason: "job can't be stored: " + err.Error()}
	}
	txn := infra.Txn{
		If:   []infra.Cond{{Key: infra.WorkJobKey(string(j.ID))}},
		Then: append(ops, infra.Put(infra.WorkInboxKey(q.Service, engine.InboxSubmit, string(j.ID)), nil)),
		Else: []infra.Op{infra.Read(infra.WorkJobKey(string(j.ID)))},
	}
	var ownerCallDue time.Duration
	for {
		res, err := f.runTxn(ctx, txn)
		switch {
		case err == nil && res.Succeeded:
			return nil
		case err == nil && len(res.Reads) > 0: // it exists already: an ID belongs to one job
			free, err := engine.CheckRepeat(res.Reads[0], j)
			if !free {
				return err
			}
			txn.If[0].ModRevision = res.Reads[0].ModRevision
			continue
		case err == nil:
			return nil
		}
		if infra.IsKind(err, infra.KindUnknown) {
			notCreated = false
		}
		if notCreated {
			return f.refuse("the platform's store does not take the job: " + err.Error())
		}
		if !sleep.For(ctx, storeRetryInterval) {
			return f.uncertain(ctx)
		}
		if f.CutOff == nil || !errors.Is(err, errStoreUnresponsive) || f.Clock.Now() < ownerCallDue {
			continue
		}
		ownerCallDue = f.Clock.Now() + ownerRetryInterval
		if err := f.resubmitToOwner(ctx, j, q); err == nil || ruledOut(err) {
			return err
		}
	}
}

// resubmitToOwner submits a job, which an earlier attempt may have stored, to the owner once more,
// as a repeat by the caller would. Only nil and errors that ruledOut reports tell what became of that
// attempt: a refusal by the owner is about this one.
func (f *Front) resubmitToOwner(ctx context.Context, j *work.Job, q engine.Queue) error {
	ctx, cancel := context.WithTimeout(ctx, ownerRetryTimeout)
	defer cancel()
	return f.submitToOwner(ctx, j, q)
}

func (f *Front) runTxn(ctx context.Context, t infra.Txn) (res infra.TxnResult, err error) {
	err = f.callStore(ctx, "txn", func(ctx context.Context) error {
		res, err = f.Store.Txn(ctx, t)
		return err
	})
	return res, err
}

// errStoreUnresponsive is the cause of a call to the store that was not attempted.
var errStoreUnresponsive = errors.New("it did not answer a moment ago")

// callStore calls the store, with storeTimeout. While the circuit breaker is open or this entry VM
// is cut off it returns an infra.KindUnavailable error at once: the call has certainly not been
// made.
func (f *Front) callStore(ctx context.Context, op string, call func(ctx context.Context) error) error {
	if _, cutOff := f.CutOff.active(); cutOff || endedByCutOff(ctx) {
		return infra.Errorf(op, infra.KindUnavailable, "%w", errCutOff)
	}
	f.mu.Lock()
	allowed := f.storeBreaker.Allow(f.Clock.Now())
	f.mu.Unlock()
	if !allowed {
		return infra.Errorf(op, infra.KindUnavailable, "%w", errStoreUnresponsive)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := call(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch infra.KindOf(err) {
	case infra.KindUnavailable, infra.KindUnknown, infra.KindRateLimited:
		f.storeBreaker.RecordFailure(f.Clock.Now())
	default:
		f.storeBreaker.RecordSuccess()
	}
	return err
}

// State returns the job's state as callers of the workspace may see it. q is the queue of the
// request's route. The error is ErrUnknownJob, engine.ErrOtherWorkspace, engine.ErrStaleConfig, or a
// *Refusal.
func (f *Front) State(ctx context.Context, id work.JobID, q engine.Queue, workspace work.WorkspaceName) (state work.State, err error) {
	ctx, end := f.begin(ctx, queryGrace)
	defer func() { end(err) }()
	state, err = f.stateFromOwner(ctx, id, q.Service, workspace)
	if err == nil || isFinal(err) {
		return state, err
	}
	// The owner knows only open jobs, and may not have read yet what another entry VM
	// stored.
	stub, _, err := f.readStubFor(ctx, id, workspace)
	if err != nil {
		return "", err
	}
	if stub.State != "" {
		return stub.State, nil
	}
	if stub.Cell != q.Service {
		if state, err := f.stateFromOwner(ctx, id, stub.Cell, workspace); err == nil {
			return state, nil
		}
	}
	return work.Running, nil
}

func (f *Front) stateFromOwner(ctx context.Context, id work.JobID, cell string, workspace work.WorkspaceName) (state work.State, err error) {
	err = f.callOwner(ctx, cell, func(ctx context.Context, o Owner, p ownerlink.Peer) (err error) {
		if o != nil {
			state, err = o.State(id, workspace)
			return err
		}
		state, err = f.Link.State(ctx, p, id, workspace)
		return err
	})
	return state, err
}

// errNoStub is the ErrUnknownJob of a job that has no stub.
var errNoStub = fmt.Errorf("%w: it has no key in the store", ErrUnknownJob)

// readStubFor reads the job's stub for a caller of the workspace. It returns ErrUnknownJob for
// another workspace's job: callers must not learn which IDs other workspaces use.
func (f *Front) readStubFor(ctx context.Context, id work.JobID, workspace work.WorkspaceName) (*engine.JobStub, infra.Revision, error) {
	stub, rev, err := f.readStub(ctx, id)
	if err == nil {
		err = f.checkAccess(id, stub, workspace)
	}
	return stub, rev, err
}

// checkAccess returns ErrUnknownJob if callers of the workspace must be told that there is no job with
// this stub.
func (f *Front) checkAccess(id work.JobID, stub *engine.JobStub, workspace work.WorkspaceName) error {
	if stub.NeverCreated() {
		return ErrUnknownJob
	}
	if !engine.MayAccess(stub.Workspace, workspace) {
		f.Log.Info("request for another workspace's job", "job", id, "workspace", stub.Workspace, "by", workspace)
		return ErrUnknownJob
	}
	return nil
}

// readStub reads the job's stub, i.e. its short record, and its revision from the store. It returns
// errNoStub if there is none.
func (f *Front) readStub(ctx context.Context, id work.JobID) (*engine.JobStub, infra.Revision, error) {
	var kv infra.KV
	err := f.callStore(ctx, "get", func(ctx context.Context) (err error) {
		kv, _, err = f.Store.Get(ctx, infra.WorkJobKey(string(id)))
		return err
	})
	if err != nil {
		return nil, 0, f.refuse("neither the owner nor the platform's store answers: " + err.Error())
	}
	if kv.ModRevision == 0 {
		return nil, 0, errNoStub
	}
	stub := new(engine.JobStub)
	if err := json.Unmarshal(kv.Value, stub); err != nil {
		f.Log.Error(err, "malformed job record in the store", "job", id)
		return nil, 0, &Refusal{Reason: "job's key is malformed", RetryAfter: storeRetryAfter}
	}
	return stub, kv.ModRevision, nil
}

// Cancel cancels the job for a caller of the workspace. It returns nil if the job is cancelled
// or had ended before, ErrUncertain if the caller should repeat the request, and otherwise the
// same errors as State.
func (f *Front) Cancel(ctx context.Context, id work.JobID, q engine.Queue, workspace work.WorkspaceName) (err error) {
	ctx, end := f.begin(ctx, 0)
	defer func() { end(err) }()
	if _, cutOff := f.CutOff.active(); cutOff {
		return f.refuseChange()
	}
	err = f.cancelByOwner(ctx, id, q.Service, workspace)
	if err == nil {
		f.logCancellation(id, cancelledByOwner)
	}
	if err == nil || isFinal(err) {
		return err
	}
	err = f.cancelInStore(ctx, id, q.Service, workspace, errors.Is(err, engine.ErrUncertain))
	if errors.Is(err, ErrUnknownJob) {
		f.logCancellation(id, cancelledUnknown)
	}
	return err
}

// cancelledBy tells on what ground a cancellation is acknowledged. The values appear in logs.
type cancelledBy string

// The grounds of an acknowledgement.
const (
	cancelledByOwner   cancelledBy = "owner"       // the owner has stored the job's end
	cancelledInStore   cancelledBy = "store"       // this entry VM has stored it
	cancelledEndedStub cancelledBy = "ended stub"  // the job had ended
	cancelledUnknown   cancelledBy = "no such job" // answered as such
)

// logCancellation logs that the job's cancellation is acknowledged to the caller.
func (f *Front) logCancellation(id work.JobID, by cancelledBy) {
	f.Log.Info("cancellation acknowledged", "job", id, "by", by)
}

func (f *Front) cancelByOwner(ctx context.Context, id work.JobID, cell string, workspace work.WorkspaceName) error {
	return f.callOwner(ctx, cell, func(ctx context.Context, o Owner, p ownerlink.Peer) error {
		if o != nil {
			return o.Cancel(ctx, id, workspace)
		}
		return f.Link.Cancel(ctx, p, id, workspace)
	})
}

// cancelInStore ends the job in the store itself, so that no later owner starts any of its
// tasks, and leaves an inbox message for the current owner. triedCell is the cell whose owner
// has already failed to cancel it; mayBeStored tells that this attempt may have taken effect.
func (f *Front) cancelInStore(ctx context.Context, id work.JobID, triedCell string, workspace work.WorkspaceName, mayBeStored bool) error {
	for {
		sent, err := f.tryCancelInStore(ctx, id, triedCell, workspace)
		mayBeStored = mayBeStored || sent
		var refusal *Refusal
		switch {
		case errors.Is(err, errNotConfirmed):
		case f.CutOff != nil && mayBeStored && errors.As(err, &refusal):
			// A refusal would tell the caller that nothing was done.
		default:
			return err
		}
		if !sleep.For(ctx, storeRetryInterval) {
			if !mayBeStored && endedByCutOff(ctx) {
				return f.refuseChange()
			}
			return f.uncertain(ctx)
		}
	}
}

// errNotConfirmed means that a cancellation is to be tried again.
var errNotConfirmed = errors.New("jobfront: cancellation not confirmed")

// tryCancelInStore tries once what cancelInStore does. sent tells that a failed attempt may have
// taken effect. Errors but errNotConfirmed end the request.
func (f *Front) tryCancelInStore(ctx context.Context, id work.JobID, triedCell string, workspace work.WorkspaceName) (sent bool, err error) {
	stub, rev, err := f.readStub(ctx, id)
	if errors.Is(err, errNoStub) {
		return f.preventCreation(ctx, id, &engine.JobStub{Cell: triedCell}, 0, workspace)
	}
	if err != nil {
		return false, err
	}
	if stub.NeverCreated() {
		return f.preventCreation(ctx, id, stub, rev, workspace)
	}
	if err := f.checkAccess(id, stub, workspace); err != nil {
		return false, err
	}
	if stub.State != "" {
		f.logCancellation(id, cancelledEndedStub)
		return false, nil
	}
	if stub.Cell != triedCell {
		err := f.cancelByOwner(ctx, id, stub.Cell, workspace)
		if err == nil {
			f.logCancellation(id, cancelledByOwner)
			return false, nil
		}
		sent = errors.Is(err, engine.ErrUncertain)
	}
	end := engine.JobStub{Cell: stub.Cell, Workspace: stub.Workspace, State: work.Cancelled, Ended: f.Clock.Wall()}
	ops, err := engine.EndOps(id, end)
	if err != nil {
		return sent, &Refusal{Reason: "cancellation can't be stored: " + err.Error()}
	}
	res, err := f.runTxn(ctx, infra.Txn{
		If:   []infra.Cond{{Key: infra.WorkJobKey(string(id)), ModRevision: rev}},
		Then: append(ops, infra.Put(infra.WorkInboxKey(stub.Cell, engine.InboxCancel, string(id)), nil)),
	})
	if err == nil && res.Succeeded {
		f.logCancellation(id, cancelledInStore)
		return sent, nil
	}
	if err != nil {
		f.Log.Info("cancellation not confirmed", "job", id, "error", err.Error())
	}
	return sent || infra.IsKind(err, infra.KindUnknown), errNotConfirmed
}

// preventCreation keeps a job that doesn't exist from being created by a submission that is still on
// its way, so that ErrUnknownJob stays true. stub holds earlier cancellations of it and rev is its
// revision, 0 if there is none. The results are those of tryCancelInStore.
func (f *Front) preventCreation(ctx context.Context, id work.JobID, stub *engine.JobStub, rev infra.Revision, workspace work.WorkspaceName) (sent bool, err error) {
	if slices.Contains(stub.CancelledBy, workspace) {
		return false, ErrUnknownJob
	}
	ops, err := engine.PreventOps(stub.Cell, id, append(stub.CancelledBy, workspace), f.Clock.Wall())
	if err != nil {
		return false, &Refusal{Reason: "cancellation can't be stored: " + err.Error()}
	}
	res, err := f.runTxn(ctx, infra.Txn{If: []infra.Cond{{Key: infra.WorkJobKey(string(id)), ModRevision: rev}}, Then: ops})
	if err == nil && res.Succeeded {
		return false, ErrUnknownJob
	}
	if err != nil {
		f.Log.Info("cancellation of an unknown job not confirmed", "job", id, "error", err.Error())
	}
	return infra.IsKind(err, infra.KindUnknown), errNotConfirmed
}

// Waiting returns the number of the queue's jobs of which no task has started. While the owner
// does not answer, it returns the last count, if that is recent enough, or a *Refusal.
func (f *Front) Waiting(ctx context.Context, q engine.Queue) (n int, err error) {
	ctx, end := f.begin(ctx, queryGrace)
	defer func() { end(err) }()
	queue := q.Name
	err = f.callOwner(ctx, q.Service, func(ctx context.Context, o Owner, p ownerlink.Peer) (err error) {
		if o != nil {
			n, err = o.Waiting(queue)
			return err
		}
		n, err = f.Link.Waiting(ctx, p, queue)
		return err
	})
	now := f.Clock.Now()
	if isFinal(err) {
		return 0, err
	}
	if err == nil {
		f.counts.set(queue, n, now)
		return n, nil
	}
	if n, ok := f.counts.get(queue, now); ok {
		return n, nil
	}
	return 0, f.refuse("the owner does not answer: " + err.Error())
}
