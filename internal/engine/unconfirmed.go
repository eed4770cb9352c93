package engine

import "github.com/pumicestage/pumicestage/policy/work"

// unconfirmedJob is a job that this owner is creating in the store. Until the outcome is known,
// the job may be stored already, and other entry VMs may have cancelled it in the store.
type unconfirmedJob struct {
	creations int  // creations whose outcome is not known
	cancelled bool // an inbox message told that it is cancelled
}

// CreationBegins records that a creation of the job is queued. CreationEnds must follow.
func (c *Core) CreationBegins(id work.JobID) {
	u := c.unconfirmed[id]
	if u == nil {
		u = &unconfirmedJob{}
		c.unconfirmed[id] = u
	}
	u.creations++
}

// CreationEnds records that the outcome of a creation is known. A job that was stored must have
// been passed to Accept before.
func (c *Core) CreationEnds(id work.JobID) {
	u := c.unconfirmed[id]
	if u == nil {
		return
	}
	u.creations--
	if u.creations == 0 {
		delete(c.unconfirmed, id)
	}
}

// CancelledInStore cancels a job whose end another entry VM has stored. It reports whether the job
// is known or unconfirmed. If it is neither, it can't be added later: its key in the store keeps
// new creations from taking effect, and its record is deleted.
func (c *Core) CancelledInStore(id work.JobID) bool {
	if u := c.unconfirmed[id]; u != nil {
		u.cancelled = true
	}
	return c.Cancel(id, func(error) {}) || c.cancelledUnconfirmed(id)
}

// cancelledUnconfirmed reports whether the job was cancelled in the store while its creation was
// unconfirmed.
func (c *Core) cancelledUnconfirmed(id work.JobID) bool {
	u := c.unconfirmed[id]
	return u != nil && u.cancelled
}
