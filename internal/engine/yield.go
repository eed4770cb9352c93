package engine

import "time"

const (
	// lackTold is for how long a word that other cells lack VMs holds: the fleet's owner says
	// so several times a second.
	lackTold = 500 * time.Millisecond
	// mostYield is for how long this cell leaves its room to others. Where they lack VMs for
	// longer, moving more of them does not help, and its own jobs have to end some time.
	mostYield = 10 * time.Second
)

// lackElsewhere takes over that other cells lack VMs for work that is still of use.
func (c *Core) lackElsewhere(now time.Duration) {
	if now > c.lackAt+lackTold {
		c.lackSince = now
	}
	c.lackAt = now
}

// yields reports whether jobs that are too late to be of use are not begun, so that VMs get
// empty and can be moved to the cells that lack them.
func (c *Core) yields(now time.Duration) bool {
	return c.lackAt != 0 && now <= c.lackAt+lackTold && now < c.lackSince+mostYield
}
