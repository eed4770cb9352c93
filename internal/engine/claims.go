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
	// reviewEvery is how often it is looked whether a workspace uses what the cell has for it.
	// What it did not need for two of these goes back: within a second or so, so that a burst
	// in another cell finds it.
	reviewEvery = 500 * time.Millisecond
	// giveBackEvery separates changes by which parts are given back that others wait for, as the
	// runs that hold them end: each is a transaction.
	giveBackEvery = 100 * time.Millisecond
	// claimsInTxn is how many ledgers fit into a transaction beside the owner's key, each with
	// a condition and a write.
	claimsInTxn = (txnEntries - 1) / 2
)

// shareClaim is a change of what the cell holds of a workspace's limit.
type shareClaim struct {
	workspace work.WorkspaceName
	rev       infra.Revision // on which it is based
	workspace.Settlement
}

// Claims returns the changes of ledgers that are due, the largest first, and notes that they are
// under way. What is to be given back is not used from here on: were the change carried out late,
// another cell would have it already.
func (c *Core) Claims(now time.Duration) []shareClaim {
	var out []shareClaim
	hidden := c.unassignedUsage(now)
	for name, a := range c.limits.accounts {
		if a.inFlight || a.ledgerUnreadable || !a.needKnown {
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
		if s, changes := c.settle(a, claim); changes {
			out = append(out, shareClaim{workspace: name, rev: a.rev, Settlement: s})
		}
	}
	slices.SortFunc(out, func(x, y shareClaim) int { return cmp.Compare(y.Allocated, x.Allocated) })
	if len(out) > claimsInTxn {
		out = out[:claimsInTxn] // the others are due again at the next review
	}
	for i := range out {
		c.limits.account(out[i].workspace).inFlight = true
	}
	return out
}

// claimDue says whether the account's share is to change, and completes the claim.
func (c *Core) claimDue(a *account, claim *workspace.Claim, now time.Duration) bool {
	has := a.ledger.Of(c.cell, len(c.cells))
	waits, noted := a.needsLargerShare(len(c.cells)), a.ledger.UnmetNeeds[c.cell] > 0
	if waits && !noted {
		return true
	}
	givesBack := a.explicit && a.usable < has && claim.InUse < has && a.ledger.Contended(*claim)
	if givesBack && now >= a.reviewedAt+giveBackEvery {
		a.reviewedAt = now
		return true
	}
	if now < a.reviewedAt+reviewEvery {
		return false
	}
	a.reviewedAt = now
	peak := max(a.need, a.peakNeed, a.previousPeakNeed)
	a.previousPeakNeed, a.peakNeed = a.peakNeed, a.need
	if a.ledger.Contended(*claim) {
		return true // what it may need again is of use elsewhere now
	}
	claim.Need = peak
	restores := a.explicit && a.usable < min(has, claim.Need)
	return waits || noted || restores || a.outcomeUnknown || a.ledger.HasSurplus(*claim)
}

// settle settles the claim with the ledger as it is known; false where the ledger says so already.
func (c *Core) settle(a *account, claim workspace.Claim) (workspace.Settlement, bool) {
	before := a.share(len(c.cells))
	s := a.ledger.Settle(claim)
	a.lowerShare(s.Usable, len(c.cells))
	same := s.Allocated == a.ledger.Of(c.cell, len(c.cells)) && s.Ledger.UnmetNeeds[c.cell] == a.ledger.UnmetNeeds[c.cell]
	return s, !same || s.Usable > before || a.outcomeUnknown // what is stored makes the earlier change fail
}

// wantsShares reports whether a workspace's work waits for a share that was not asked for yet.
func (c *Core) wantsShares() bool {
	for _, a := range c.limits.accounts {
		if a.limited() && a.needsLargerShare(len(c.cells)) && !a.inFlight && a.ledger.UnmetNeeds[c.cell] == 0 {
			return true
		}
	}
	return false
}

// lookDue reports whether ledgers are to be read: where another cell asked for that, where this
// one waits for what others have, and, half as often, where it has more than its even share and
// the word of others may have been lost.
func (c *Core) lookDue(now time.Duration) bool {
	even, due := workspace.EvenShare(len(c.cells)), false
	for _, a := range c.limits.accounts {
		waits, above := a.ledger.UnmetNeeds[c.cell] > 0, a.ledger.Of(c.cell, len(c.cells)) > even
		if a.inFlight || !a.ledgerPollRequested && !(waits && now >= a.ledgerPolledAt+reviewEvery) && !(above && now >= a.ledgerPolledAt+2*reviewEvery) {
			continue
		}
		a.ledgerPolledAt, a.ledgerPollRequested, due = now, false, true
	}
	return due
}

// LookAtLimits notes that another cell waits for some of the workspaces' limits, or gave back.
func (c *Core) LookAtLimits(names []work.WorkspaceName) {
	for _, name := range names {
		a := c.limits.account(name)
		a.ledgerPollRequested, a.reviewedAt = true, 0
	}
}

// usesShares reports whether the cell uses more of a limit than it may without being sure of the
// configuration.
func (c *Core) usesShares() bool {
	for _, a := range c.limits.accounts {
		if a.limited() && a.need > workspace.ProvisionalShare(len(c.cells)) {
			return true
		}
	}
	return false
}

// Claimed takes over that the change was stored.
func (c *Core) Claimed(s shareClaim, rev infra.Revision) {
	a := c.limits.account(s.workspace)
	a.inFlight, a.outcomeUnknown = false, false
	a.ledger, a.rev = s.Ledger, rev
	c.log.Info("share of a limit", "workspace", a.name, "parts", s.Usable, "of", workspace.Whole, "has", s.Allocated, "need", a.need, "waits", s.Ledger.UnmetNeeds[c.cell] > 0)
	a.usable = s.Usable
	_, a.explicit = s.Ledger.Allocated[c.cell]
}

// ClaimFailed takes over that the change was not stored; doubt says that it may yet be.
func (c *Core) ClaimFailed(s shareClaim, doubt bool) {
	a := c.limits.account(s.workspace)
	a.inFlight = false
	a.outcomeUnknown = a.outcomeUnknown || doubt
}

// LedgerRead takes a ledger over as the store has it. It never raises what the cell may use: a
// change of its own that was not answered may yet be carried out, and give back what was read;
// only a change that is stored settles that.
func (c *Core) LedgerRead(name work.WorkspaceName, value []byte, rev infra.Revision) {
	a := c.limits.account(name)
	var l workspace.Ledger
	a.ledgerUnreadable = false
	if rev != 0 {
		if err := json.Unmarshal(value, &l); err != nil {
			c.log.Error(err, "ledger of a limit is malformed: the cell goes on with what it had", "workspace", name)
			a.ledgerUnreadable = true
		}
	}
	a.ledger, a.rev = l, rev
	if has, named := l.Allocated[c.cell]; named {
		a.lowerShare(has, len(c.cells))
	}
}

// LedgerSeen takes a ledger over that was read while nothing of this cell's was under way.
func (c *Core) LedgerSeen(kv infra.KV) {
	name := workspaceOf(kv.Key)
	if a := c.limits.account(name); !a.inFlight && kv.ModRevision > a.rev {
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
	a := c.limits.account(name)
	if a.ledgerUnreadable {
		a.lowerShare(0, len(c.cells))
		return
	}
	a.usable, a.explicit = a.ledger.Allocated[c.cell]
}
