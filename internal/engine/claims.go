package engine

import (
	"cmp"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/work"
	"github.com/pumicestage/pumicestage/policy/workspace"
)

const (
	// reviewInterval is how often the cell checks whether a workspace needs the limit share that
	// the cell holds for it. What it did not need for two intervals is given back, within about
	// a second, so that a burst in another cell can use it.
	reviewInterval = 500 * time.Millisecond
	// giveBackInterval separates the transactions that give back parts for which other cells
	// wait, while the runs that use them end.
	giveBackInterval = 100 * time.Millisecond
	// maxClaimsPerTxn is the number of ledgers that fit into a transaction beside the owner's
	// key, each with a condition and a write.
	maxClaimsPerTxn = (txnEntries - 1) / 2
	// firstTurnLimit is how long a step keeps its first turn in a ledger without starting. It allows
	// for runs in other cells to end and for the advisor. Each further turn is twice as long, up to
	// maxTurnLimit, and as long a pause follows it, in which other cells get their turn.
	firstTurnLimit = 10 * time.Second
	maxTurnLimit   = 2 * time.Minute
)

// shareClaim is a change of the cell's limit share: the parts of a workspace's limit that are
// allocated to the cell in the workspace's ledger in the store.
type shareClaim struct {
	workspace work.WorkspaceName
	rev       infra.Revision // of the ledger on which the change is based; 0: none is stored
	next      *step          // for which the cell has a turn in the ledger after the change; nil: none
	workspace.Settlement
}

// Claims returns the ledger changes that are due, at most maxClaimsPerTxn, those with the largest
// allocation first, and marks them as in flight. Parts that are to be given back are not used from
// here on: if the change takes effect unnoticed, another cell may use them at once.
func (c *Core) Claims(now time.Duration) []shareClaim {
	var out []shareClaim
	hidden := c.unassignedUsage(now)
	for name, a := range c.limits.accounts {
		if a.inFlight || a.ledgerUnreadable || !a.needKnown {
			continue
		}
		claim := workspace.Claim{
			Cell: c.cell, Cells: c.cells, Need: a.need,
			// This includes tasks started or adopted since the last plan.
			InUse: workspace.PartsFor(a.used.Plus(hidden[name]), a.limit),
		}
		c.addTurn(a, &claim, now)
		if !c.claimDue(a, &claim, now) {
			continue
		}
		s, changes := c.settle(a, claim)
		next := a.indivisible
		if turnOf(&s.Ledger, c.cell) == 0 {
			next = nil
		}
		if !changes {
			a.setTurn(next)
			continue
		}
		out = append(out, shareClaim{workspace: name, rev: a.rev, next: next, Settlement: s})
	}
	slices.SortFunc(out, func(x, y shareClaim) int { return cmp.Compare(y.Allocated, x.Allocated) })
	if len(out) > maxClaimsPerTxn {
		out = out[:maxClaimsPerTxn] // the others are due again at the next review
	}
	for i := range out {
		c.limits.account(out[i].workspace).inFlight = true
	}
	return out
}

// addTurn adds to the claim what the workspace's next work needs to start, and whether the cell's turn
// in the ledger is over: its step has started, or has not within the turn's limit.
func (c *Core) addTurn(a *account, claim *workspace.Claim, now time.Duration) {
	claim.LongRunning = a.longRunning
	if s := a.indivisible; s != nil {
		claim.Indivisible = min(workspace.Whole, a.longRunning+workspace.PartsFor(s.spec.Size.Times(int64(s.unit())), a.limit))
		claim.Need = max(claim.Need, claim.Indivisible)
	}
	claim.TurnOver = a.turn == nil || a.turn != a.indivisible
	granted := !claim.TurnOver && a.ledger.GrantsTurn(*claim)
	if granted && !a.turnGranted {
		a.turnSince = now
	}
	a.turnGranted = granted
	if granted && now >= a.turnSince+a.turn.nextTurnLimit() {
		c.passTurn(a, now)
		claim.TurnOver, claim.Indivisible = true, 0
	}
}

// setTurn records the step for which the cell has a turn in the ledger; nil: it has none.
func (a *account) setTurn(s *step) {
	if a.turn != s {
		a.turn, a.turnGranted = s, false
	}
}

// passTurn ends the cell's turn, whose step has not started, and has the step wait as long for another.
func (c *Core) passTurn(a *account, now time.Duration) {
	limit := a.turn.nextTurnLimit()
	a.turn.noTurnUntil, a.turn.turnLimit = now+limit, min(maxTurnLimit, 2*limit)
	c.log.Info("step did not start in its turn", "workspace", a.name, "step", a.turn.ref().String(), "after", limit.String())
	a.turnGranted, a.indivisible = false, nil
}

// nextTurnLimit returns how long the step's turn lasts at most.
func (s *step) nextTurnLimit() time.Duration { return max(firstTurnLimit, s.turnLimit) }

// turnOf returns the parts of the cell's turn in the ledger; 0 if it has none.
func turnOf(l *workspace.Ledger, cell string) workspace.Parts {
	for _, t := range l.Turns {
		if t.Cell == cell {
			return t.Parts
		}
	}
	return 0
}

// claimDue reports whether the account's share must be settled now, and sets the claim's need:
// the present one while other cells wait for parts of the limit, else the peak of the last
// reviews.
func (c *Core) claimDue(a *account, claim *workspace.Claim, now time.Duration) bool {
	has := a.ledger.Of(c.cell, len(c.cells))
	waits, recorded := a.needsLargerShare(len(c.cells)), a.ledger.UnmetNeeds[c.cell] > 0
	if waits && !recorded || claim.TurnOver && turnOf(&a.ledger, c.cell) > 0 {
		return true
	}
	givesBack := a.explicit && a.usable < has && claim.InUse < has && a.ledger.Contended(*claim)
	if givesBack && now >= a.reviewedAt+giveBackInterval {
		a.reviewedAt = now
		return true
	}
	if now < a.reviewedAt+reviewInterval {
		return false
	}
	a.reviewedAt = now
	peak := max(a.need, a.peakNeed, a.previousPeakNeed)
	a.previousPeakNeed, a.peakNeed = a.peakNeed, a.need
	if a.ledger.Contended(*claim) {
		return true // keep no reserve for later needs: another cell needs it now
	}
	claim.Need = max(claim.Need, peak)
	restores := a.explicit && a.usable < min(has, claim.Need)
	return waits || recorded || restores || a.outcomeUnknown || a.ledger.LongRunning[c.cell] > 0 || a.ledger.HasSurplus(*claim)
}

// settle computes the result of the claim on the last known ledger and lowers what the cell may
// use accordingly. It returns false if the ledger needs no change.
func (c *Core) settle(a *account, claim workspace.Claim) (workspace.Settlement, bool) {
	before := a.share(len(c.cells))
	s := a.ledger.Settle(claim)
	a.lowerShare(s.Usable, len(c.cells))
	same := s.Allocated == a.ledger.Of(c.cell, len(c.cells)) && s.Ledger.UnmetNeeds[c.cell] == a.ledger.UnmetNeeds[c.cell] &&
		s.Ledger.LongRunning[c.cell] == a.ledger.LongRunning[c.cell] && slices.Equal(s.Ledger.Turns, a.ledger.Turns)
	// If the outcome of an earlier change is unknown, a write makes that change fail.
	return s, !same || s.Usable > before || a.outcomeUnknown
}

// hasUnrecordedNeed reports whether a workspace's work waits for a larger share and the ledger does
// not record this yet.
func (c *Core) hasUnrecordedNeed() bool {
	for _, a := range c.limits.accounts {
		if a.limited() && a.needsLargerShare(len(c.cells)) && !a.inFlight && a.ledger.UnmetNeeds[c.cell] == 0 {
			return true
		}
	}
	return false
}

// ledgerReadDue reports whether ledgers must be read: because another cell asked for it, because
// this cell waits for parts that others hold, or, half as often, because this cell holds more than
// an even share and a request of another cell may have been lost.
func (c *Core) ledgerReadDue(now time.Duration) bool {
	even, due := workspace.EvenShare(len(c.cells)), false
	for _, a := range c.limits.accounts {
		waits, above := a.ledger.UnmetNeeds[c.cell] > 0, a.ledger.Of(c.cell, len(c.cells)) > even
		if a.inFlight || !a.ledgerPollRequested && !(waits && now >= a.ledgerPolledAt+reviewInterval) && !(above && now >= a.ledgerPolledAt+2*reviewInterval) {
			continue
		}
		a.ledgerPolledAt, a.ledgerPollRequested, due = now, false, true
	}
	return due
}

// MarkLedgersStale has the ledgers of the workspaces read and their shares reviewed at once, as
// another cell waits for parts of these limits or has given some back.
func (c *Core) MarkLedgersStale(names []work.WorkspaceName) {
	for _, name := range names {
		a := c.limits.account(name)
		a.ledgerPollRequested, a.reviewedAt = true, 0
	}
}

// exceedsProvisionalShare reports whether the cell needs more of a limit than it may use while it
// can't confirm that its configuration is the newest.
func (c *Core) exceedsProvisionalShare() bool {
	for _, a := range c.limits.accounts {
		if a.limited() && a.need > workspace.ProvisionalShare(len(c.cells)) {
			return true
		}
	}
	return false
}

// ClaimStored tells the core that the change was stored, with the ledger's new revision.
func (c *Core) ClaimStored(s shareClaim, rev infra.Revision) {
	a := c.limits.account(s.workspace)
	a.inFlight, a.outcomeUnknown = false, false
	a.ledger, a.rev = s.Ledger, rev
	c.log.Info("limit share changed", "workspace", a.name, "parts", s.Usable, "of", workspace.Whole, "has", s.Allocated, "need", a.need, "waits", s.Ledger.UnmetNeeds[c.cell] > 0, "turns", len(s.Ledger.Turns))
	a.usable = s.Usable
	_, a.explicit = s.Ledger.Allocated[c.cell]
	a.setTurn(s.next)
}

// ClaimFailed tells the core that the change was not stored; doubt tells that it may have been or
// may yet be.
func (c *Core) ClaimFailed(s shareClaim, doubt bool) {
	a := c.limits.account(s.workspace)
	a.inFlight = false
	a.outcomeUnknown = a.outcomeUnknown || doubt
}

// ApplyLedger sets a workspace's ledger to the value read from the store at revision rev; rev 0: none
// is stored. It may lower the share that the cell may use, but never raises it: an unanswered
// transaction of this cell may still be applied, and give back parts that the ledger still allocates
// to the cell. Once a later transaction of this cell is stored, the conditions of the unanswered one
// fail, and ClaimStored raises the share.
func (c *Core) ApplyLedger(name work.WorkspaceName, value []byte, rev infra.Revision) {
	a := c.limits.account(name)
	var l workspace.Ledger
	a.ledgerUnreadable = false
	if rev != 0 {
		if err := json.Unmarshal(value, &l); err != nil {
			c.log.Error(err, "limit ledger is malformed, the cell keeps its share", "workspace", name)
			a.ledgerUnreadable = true
		}
	}
	a.ledger, a.rev = l, rev
	if has, named := l.Allocated[c.cell]; named {
		a.lowerShare(has, len(c.cells))
	}
}

// ApplyNewerLedger applies a ledger read from the store if it is newer than the known one and no
// change of this cell is in flight.
func (c *Core) ApplyNewerLedger(kv infra.KV) {
	name := workspaceOf(kv.Key)
	if a := c.limits.account(name); !a.inFlight && kv.ModRevision > a.rev {
		c.ApplyLedger(name, kv.Value, kv.ModRevision)
	}
}

// workspaceOf returns the workspace of a ledger's key.
func workspaceOf(key string) work.WorkspaceName {
	return work.WorkspaceName(strings.TrimPrefix(key, infra.WorkLimitPrefix))
}

// RestoreLedger takes the share of the cell's earlier owners over. None of their changes can take
// effect any more: each is conditional on the owner's key, which has changed.
func (c *Core) RestoreLedger(kv infra.KV) {
	name := workspaceOf(kv.Key)
	c.ApplyLedger(name, kv.Value, kv.ModRevision)
	a := c.limits.account(name)
	if a.ledgerUnreadable {
		a.lowerShare(0, len(c.cells))
		return
	}
	a.usable, a.explicit = a.ledger.Allocated[c.cell]
}
