package engine

import "time"

// CapacityKnownAt sets the time up to which all changes of the workers' capacity are known.
func (c *Core) CapacityKnownAt(at time.Duration) { c.capacityKnownAt = at }

// capacityUncertain reports whether a worker may have less capacity than is known here. This matters
// for unguarded workers, which obey every start: one whose capacity was reduced while its owner got
// no updates from the store would be overcommitted.
func (c *Core) capacityUncertain(now time.Duration) bool {
	return c.declared.Services[c.cell].Unguarded && c.bounds.MaxCapacityAge > 0 && now > c.capacityKnownAt+c.bounds.MaxCapacityAge
}
