package engine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/work"
)

const (
	// sharesEvery is how often it is asked whether anything is to be done.
	sharesEvery = 50 * time.Millisecond
	// confirmAhead is how much sooner than it must the configuration is read again where its
	// watch told nothing: the read takes milliseconds, from a slow store a fifth of a second.
	confirmAhead = 300 * time.Millisecond
	// claimTries bounds how often a change is made anew as another cell was first.
	claimTries = 4
	// claimTimeout ends a transaction without an answer.
	claimTimeout = 700 * time.Millisecond
)

// runShares keeps what the cell has of workspaces' limits.
func (e *Engine) runShares(ctx context.Context) {
	tick := time.NewTicker(sharesEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.shareKick:
		case <-tick.C:
		}
		e.confirmConfig(ctx)
		e.readLedgers(ctx)
		e.claim(ctx)
	}
}

// confirmConfig reads the configuration before what the cell has can't be used for want of it.
func (e *Engine) confirmConfig(ctx context.Context) {
	within := e.Bounds.MaxConfigDelay
	if e.Configs == nil || within == 0 || e.Clock.Now() < e.Configs.Confirmed()+within-confirmAhead {
		return
	}
	e.mu.Lock()
	uses := e.core.exceedsProvisionalShare()
	e.mu.Unlock()
	if !uses {
		return
	}
	if err := e.Configs.Confirm(ctx); err != nil {
		e.Log.V(1).Info("configuration not confirmed", "error", err.Error())
	}
}

// readLedgers reads what other cells have and wait for, where that matters to this one: nobody
// else tells it.
func (e *Engine) readLedgers(ctx context.Context) {
	e.mu.Lock()
	due := e.core.ledgerReadDue(e.Clock.Now())
	e.mu.Unlock()
	if !due {
		return
	}
	kvs, _, err := e.Store.Range(ctx, infra.WorkLimitPrefix)
	if err != nil {
		e.Log.V(1).Info("ledgers of limits not read", "error", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, kv := range kvs {
		e.core.ApplyNewerLedger(kv)
	}
}

// claim makes the changes that are due.
func (e *Engine) claim(ctx context.Context) {
	for range claimTries {
		e.mu.Lock()
		claims := e.core.Claims(e.Clock.Now())
		e.mu.Unlock()
		if len(claims) == 0 {
			return
		}
		if !e.storeClaims(ctx, claims) {
			sleep.For(ctx, storeRetryDelay)
			return
		}
		kick(e.planKick)
		e.tellCells(claims)
	}
}

// storeClaims writes the changes in one transaction; false where the store does not take it. It
// fails as a whole where one ledger has changed; what they are now is then known.
func (e *Engine) storeClaims(ctx context.Context, claims []shareClaim) bool {
	call, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	txn, err := e.claimTxn(claims)
	if err != nil {
		e.Log.Error(err, "share of a limit can't be stored")
		return false
	}
	res, err := e.Store.Txn(call, txn)
	e.Metrics.share(res.Succeeded, err)
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range claims {
		switch {
		case err == nil && res.Succeeded:
			e.core.ClaimStored(claims[i], res.Revision)
			continue
		case err == nil:
			e.core.ApplyLedger(claims[i].workspace, res.Reads[i].Value, res.Reads[i].ModRevision)
		}
		e.core.ClaimFailed(claims[i], infra.IsKind(err, infra.KindUnknown))
	}
	if err != nil {
		e.Log.Info("share of a limit not stored", "workspaces", len(claims), "error", err.Error())
	}
	return err == nil
}

// tellCells tells the other cells of workspaces for which this one waits, or in which it gave
// back what another waits for: they look at the ledgers, which they do on their own only while
// they have more than their even share.
func (e *Engine) tellCells(claims []shareClaim) {
	if e.NotifyCells == nil {
		return
	}
	var names []work.WorkspaceName
	for i := range claims {
		if len(claims[i].Ledger.UnmetNeeds) > 0 {
			names = append(names, claims[i].workspace)
		}
	}
	if len(names) > 0 {
		e.NotifyCells(names)
	}
}

// LookAtLimits is told by another cell that it waits for some of the workspaces' limits, or gave back.
func (e *Engine) LookAtLimits(names []work.WorkspaceName) error {
	e.mu.Lock()
	ready := e.restored
	if ready {
		e.core.MarkLedgersStale(names)
	}
	e.mu.Unlock()
	if !ready {
		return ErrNotReady
	}
	kick(e.shareKick)
	return nil
}

// claimTxn makes the transaction. A ledger in which no cell is named any more stays: were its key
// deleted, a change that was not answered, made as there was none, would find it absent again and
// be carried out late.
func (e *Engine) claimTxn(claims []shareClaim) (infra.Txn, error) {
	txn := infra.Txn{If: []infra.Cond{{Key: e.OwnerKey, ModRevision: infra.Revision(e.Term.Token())}}}
	for i := range claims {
		key := infra.WorkLimitKey(string(claims[i].workspace))
		txn.If = append(txn.If, infra.Cond{Key: key, ModRevision: claims[i].rev})
		txn.Else = append(txn.Else, infra.Read(key))
		raw, err := json.Marshal(claims[i].Ledger)
		if err != nil {
			return infra.Txn{}, err
		}
		txn.Then = append(txn.Then, infra.Put(key, raw))
	}
	return txn, nil
}
