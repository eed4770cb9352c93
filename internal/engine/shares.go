package engine

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/work"
	"github.com/pumicestage/pumicestage/policy/workspace"
)

const (
	// reviewEvery is how often it is looked whether a workspace uses what the cell holds for
	// it. What it did not need for two of these goes back: within a second or so, so that a
	// burst in another cell finds it.
	reviewEvery = 500 * time.Millisecond
	// giveBackEvery separates changes by which parts are given back that others wait for, as the
	// runs that hold them end: each is a transaction.
	giveBackEvery = 100 * time.Millisecond
	// sharesEvery is how often it is asked whether anything is to be done.
	sharesEvery = 50 * time.Millisecond
	// confirmAhead is how much sooner than it must the configuration is read again where its
	// watch told nothing: the read takes milliseconds, from a slow store a fifth of a second.
	confirmAhead = 300 * time.Millisecond
	// claimsInTxn is how many ledgers fit into a transaction beside the owner's key, each with
	// a condition and a write.
	claimsInTxn = (txnEntries - 1) / 2
	// claimTries bounds how often a change is made anew as another cell was first.
	claimTries = 4
	// claimTimeout ends a transaction without an answer.
	claimTimeout = 700 * time.Millisecond
)

// shareClaim is a change of what the cell holds of a workspace's limit.
type shareClaim struct {
	workspace work.WorkspaceName
	rev       infra.Revision // on which it is based
	workspace.Settlement
}

// Claims returns the changes of ledgers that are due, the most wanting first, and notes that
// they are under way. What is to be given back is not used from here on: were the change
// carried out late, another cell would have it already.
func (c *Core) Claims(now time.Duration) []shareClaim {
	var out []shareClaim
	hidden := c.hiddenUse(now)
	for name, a := range c.limits.accounts {
		if a.sending || a.broken || !a.planned {
			continue
		}
		claim := workspace.Claim{
			Cell: c.cell, Cells: c.cells, Need: a.need,
			// What was started or adopted since the last plan is in use, too.
			InUse: workspace.PartsFor(a.used.Plus(hidden[name]), a.limit),
		}
		if !c.claimDue(a, &claim, now) {
			continue
		}
		s := a.ledger.Settle(claim)
		if a.doubt {
			// A key that is absent has no revision by which the earlier change would fail.
			s.Ledger.Has[c.cell] = s.Has
		}
		if s.Has == a.ledger.Of(c.cell, len(c.cells)) && s.Ledger.Wants[c.cell] == a.ledger.Wants[c.cell] && s.Use <= a.share(len(c.cells)) && !a.doubt {
			a.lower(s.Use, len(c.cells))
			continue // the ledger says so already
		}
		a.lower(s.Use, len(c.cells))
		out = append(out, shareClaim{workspace: name, rev: a.rev, Settlement: s})
	}
	slices.SortFunc(out, func(x, y shareClaim) int { return cmp.Compare(y.Has, x.Has) })
	if len(out) > claimsInTxn {
		out = out[:claimsInTxn]
	}
	for i := range out {
		c.limits.of(out[i].workspace).sending = true
	}
	return out
}

// claimDue says whether the account's share is to change, and completes the claim.
func (c *Core) claimDue(a *account, claim *workspace.Claim, now time.Duration) bool {
	wants, asked := a.short(len(c.cells)), a.ledger.Wants[c.cell] > 0
	if wants && !asked {
		return true
	}
	ending := a.told && claim.InUse < a.ledger.Of(c.cell, len(c.cells)) && a.own < a.ledger.Of(c.cell, len(c.cells))
	if ending && a.ledger.Contended(*claim) && now >= a.reviewed+giveBackEvery {
		a.reviewed = now
		return true
	}
	if now < a.reviewed+reviewEvery && !a.called {
		return false
	}
	a.reviewed, a.called = now, false
	claim.Need = max(a.need, a.peak, a.lastPeak)
	a.lastPeak, a.peak = a.peak, a.need
	if now := (workspace.Claim{Cell: c.cell, Cells: c.cells, Need: a.need}); a.ledger.Contended(now) {
		claim.Need = a.need // what it may need again is of use elsewhere now
	}
	restores := a.told && a.own < min(a.ledger.Of(c.cell, len(c.cells)), claim.Need)
	return wants || asked || restores || a.doubt || a.ledger.Idle(*claim) || a.ledger.Contended(*claim)
}

// wantsShares reports whether a workspace's work waits for a share that was not asked for yet.
func (c *Core) wantsShares() bool {
	for _, a := range c.limits.accounts {
		if a.limited() && a.short(len(c.cells)) && !a.sending && a.ledger.Wants[c.cell] == 0 {
			return true
		}
	}
	return false
}

// contended reports whether ledgers are to be read: where another cell called, where this one
// waits for what others have, and, half as often, where it has more than its even share and a
// call of others may have been lost.
func (c *Core) contended(now time.Duration) bool {
	even, due := workspace.Even(len(c.cells)), false
	for _, a := range c.limits.accounts {
		waits, above := a.ledger.Wants[c.cell] > 0, a.ledger.Of(c.cell, len(c.cells)) > even
		if a.sending || !a.called && !(waits && now >= a.looked+reviewEvery) && !(above && now >= a.looked+2*reviewEvery) {
			continue
		}
		a.looked, due = now, true
	}
	return due
}

// CallFor notes that another cell waits for some of the workspaces' limits, or gave back.
func (c *Core) CallFor(names []work.WorkspaceName) {
	for _, name := range names {
		c.limits.of(name).called = true
	}
}

// usesShares reports whether the cell uses more of a limit than it may without being sure of the
// configuration.
func (c *Core) usesShares() bool {
	for _, a := range c.limits.accounts {
		if a.limited() && a.need > workspace.Provisional(len(c.cells)) {
			return true
		}
	}
	return false
}

// Claimed takes over that the change was stored.
func (c *Core) Claimed(s shareClaim, rev infra.Revision) {
	a := c.limits.of(s.workspace)
	a.sending, a.doubt = false, false
	a.ledger, a.rev = s.Ledger, rev
	if s.Ledger.Empty() {
		a.rev = 0
	}
	c.log.Info("share of a limit", "workspace", a.name, "parts", s.Use, "of", workspace.Whole, "has", s.Has, "need", a.need, "waits", s.Ledger.Wants[c.cell] > 0)
	a.own = s.Use
	_, a.told = s.Ledger.Has[c.cell]
}

// ClaimFailed takes over that the change was not stored; doubt says that it may yet be.
func (c *Core) ClaimFailed(s shareClaim, doubt bool) {
	a := c.limits.of(s.workspace)
	a.sending = false
	a.doubt = a.doubt || doubt
}

// LedgerRead takes a ledger over as the store has it. It never raises what the cell may use: a
// change of its own that was not answered may yet be carried out, and give back what was read;
// only a change that is stored settles that.
func (c *Core) LedgerRead(name work.WorkspaceName, value []byte, rev infra.Revision) {
	a := c.limits.of(name)
	var l workspace.Ledger
	a.broken = false
	if rev != 0 {
		if err := json.Unmarshal(value, &l); err != nil {
			c.log.Error(err, "ledger of a limit is malformed: the cell goes on with what it had", "workspace", name)
			a.broken = true
		}
	}
	a.ledger, a.rev = l, rev
	if has, named := l.Has[c.cell]; named {
		a.lower(has, len(c.cells))
	}
}

// LedgerSeen takes a ledger over that was read while nothing of this cell's was under way.
func (c *Core) LedgerSeen(kv infra.KV) {
	name := workspaceOf(kv.Key)
	if a := c.limits.of(name); !a.sending && kv.ModRevision > a.rev {
		c.LedgerRead(name, kv.Value, kv.ModRevision)
	}
}

func workspaceOf(key string) work.WorkspaceName {
	return work.WorkspaceName(strings.TrimPrefix(key, infra.WorkLimitPrefix))
}

// RestoreLedger takes over what earlier owners had. Nothing of theirs can be carried out any
// more: the owner's key, which is in the condition of every change, is another one.
func (c *Core) RestoreLedger(kv infra.KV) {
	name := workspaceOf(kv.Key)
	c.LedgerRead(name, kv.Value, kv.ModRevision)
	a := c.limits.of(name)
	if a.broken {
		a.lower(0, len(c.cells))
		return
	}
	a.own, a.told = a.ledger.Has[c.cell], false
	_, a.told = a.ledger.Has[c.cell]
}

// runShares keeps what the cell holds of workspaces' limits.
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
		e.readContended(ctx)
		e.claim(ctx)
	}
}

// confirmConfig reads the configuration before what the cell has can't be used for want of it.
func (e *Engine) confirmConfig(ctx context.Context) {
	within := e.Bounds.ConfigWithin
	if e.Configs == nil || within == 0 || e.Clock.Now() < e.Configs.Confirmed()+within-confirmAhead {
		return
	}
	e.mu.Lock()
	uses := e.core.usesShares()
	e.mu.Unlock()
	if !uses {
		return
	}
	if err := e.Configs.Confirm(ctx); err != nil {
		e.Log.V(1).Info("configuration not confirmed", "error", err.Error())
	}
}

// readContended reads what other cells hold and wait for, where that matters to this one: nobody
// else tells it.
func (e *Engine) readContended(ctx context.Context) {
	e.mu.Lock()
	due := e.core.contended(e.Clock.Now())
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
		e.core.LedgerSeen(kv)
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
			sleep.For(ctx, storePause)
			return
		}
		kick(e.planKick)
		e.callOthers(claims)
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
			e.core.Claimed(claims[i], res.Revision)
			continue
		case err == nil:
			e.core.LedgerRead(claims[i].workspace, res.Reads[i].Value, res.Reads[i].ModRevision)
		}
		e.core.ClaimFailed(claims[i], infra.IsKind(err, infra.KindUnknown))
	}
	if err != nil {
		e.Log.Info("share of a limit not stored", "workspaces", len(claims), "error", err.Error())
	}
	return err == nil
}

// callOthers tells the other cells of workspaces for which this one waits, or in which it gave
// back what another waits for: they look at the ledgers, which they do on their own only while
// they have more than their even share.
func (e *Engine) callOthers(claims []shareClaim) {
	if e.Call == nil {
		return
	}
	var names []work.WorkspaceName
	for i := range claims {
		if len(claims[i].Ledger.Wants) > 0 {
			names = append(names, claims[i].workspace)
		}
	}
	if len(names) > 0 {
		e.Call(names)
	}
}

// CallFor is told by another cell that it waits for some of the workspaces' limits, or gave back.
func (e *Engine) CallFor(names []work.WorkspaceName) error {
	e.mu.Lock()
	ready := e.restored
	if ready {
		e.core.CallFor(names)
	}
	e.mu.Unlock()
	if !ready {
		return ErrNotReady
	}
	kick(e.shareKick)
	return nil
}

func (e *Engine) claimTxn(claims []shareClaim) (infra.Txn, error) {
	txn := infra.Txn{If: []infra.Cond{{Key: e.OwnerKey, ModRevision: infra.Revision(e.Term.Token())}}}
	for i := range claims {
		key := infra.WorkLimitKey(string(claims[i].workspace))
		txn.If = append(txn.If, infra.Cond{Key: key, ModRevision: claims[i].rev})
		txn.Else = append(txn.Else, infra.Read(key))
		if claims[i].Ledger.Empty() {
			txn.Then = append(txn.Then, infra.Delete(key))
			continue
		}
		raw, err := json.Marshal(claims[i].Ledger)
		if err != nil {
			return infra.Txn{}, err
		}
		txn.Then = append(txn.Then, infra.Put(key, raw))
	}
	return txn, nil
}
