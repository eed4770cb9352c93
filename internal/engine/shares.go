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
	// shareCheckInterval is how often runShares checks for due reads and claims without being
	// notified.
	shareCheckInterval = 50 * time.Millisecond
	// confirmLeadTime is how long before its confirmation expires the configuration is read again,
	// if its watch reported nothing. The read takes milliseconds, and 0.2 s from a slow store.
	confirmLeadTime = 300 * time.Millisecond
	// maxClaimAttempts limits how often claims are recomputed in a row, as they are when another
	// cell has changed a ledger first.
	maxClaimAttempts = 4
	// claimTimeout limits the wait for the answer to a transaction.
	claimTimeout = 700 * time.Millisecond
)

// runShares maintains the cell's shares of the workspaces' limits until ctx ends.
func (e *Engine) runShares(ctx context.Context) {
	tick := time.NewTicker(shareCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-e.shareKick:
		case <-tick.C:
		}
		e.confirmConfigIfDue(ctx)
		e.readLedgers(ctx)
		e.storeDueClaims(ctx)
	}
}

// confirmConfigIfDue reads the operator's configuration again shortly before MaxConfigDelay has passed
// since it was last known to be the newest, if the cell needs more of a workspace's limit than its
// provisional share. After that time the cell may use only this share, as the limit may have been lowered.
func (e *Engine) confirmConfigIfDue(ctx context.Context) {
	within := e.Bounds.MaxConfigDelay
	if e.Configs == nil || within == 0 || e.Clock.Now() < e.Configs.Confirmed()+within-confirmLeadTime {
		return
	}
	e.mu.Lock()
	uses := e.core.exceedsProvisionalShare()
	e.mu.Unlock()
	if !uses {
		return
	}
	if err := e.Configs.Confirm(ctx); err != nil {
		e.Log.V(1).Info("failed to confirm the configuration", "error", err.Error())
	}
}

// readLedgers reads all ledgers if this cell's decisions depend on what other cells have and need. No
// watch reports those.
func (e *Engine) readLedgers(ctx context.Context) {
	e.mu.Lock()
	due := e.core.ledgerReadDue(e.Clock.Now())
	e.mu.Unlock()
	if !due {
		return
	}
	kvs, _, err := e.Store.Range(ctx, infra.WorkLimitPrefix)
	if err != nil {
		e.Log.V(1).Info("failed to read the ledgers of workspace limits", "error", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, kv := range kvs {
		e.core.ApplyNewerLedger(kv)
	}
}

// storeDueClaims stores the ledger changes that are due and notifies the other cells of them.
func (e *Engine) storeDueClaims(ctx context.Context) {
	for range maxClaimAttempts {
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
		e.notifyCells(claims)
	}
}

// storeClaims writes the claims in one transaction. It returns false if the store fails or does not
// answer. If another cell has changed one of the ledgers, no claim is stored; the ledgers as they
// are now are taken over from the answer, and storeClaims returns true.
func (e *Engine) storeClaims(ctx context.Context, claims []shareClaim) bool {
	call, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	txn, err := e.claimTxn(claims)
	if err != nil {
		e.Log.Error(err, "failed to encode the ledger of a workspace limit")
		return false
	}
	res, err := e.Store.Txn(call, txn)
	e.Metrics.countShareChange(res.Succeeded, err)
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
		e.Log.Info("failed to store shares of workspace limits", "workspaces", len(claims), "error", err.Error())
	}
	return err == nil
}

// notifyCells tells the other cells about the workspaces in whose ledgers a cell has an unmet need:
// this one waits for parts, or has given parts back that another waits for. The other cells then
// read the ledgers. On their own they poll them only while they wait or have more than their even
// share.
func (e *Engine) notifyCells(claims []shareClaim) {
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

// RecheckLimits has the cell read the ledgers of the workspaces, since another cell waits for parts of
// their limits or has given some back. It returns ErrNotReady before the cell's state is restored.
func (e *Engine) RecheckLimits(names []work.WorkspaceName) error {
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

// claimTxn returns the transaction that stores the claims. It never deletes a ledger, not even one that
// names no cell any more: an unanswered transaction that expected the key to be absent could then
// still be applied.
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
