package engine

import "time"

// CapacityKnownAt says until when all that workers said of their room was taken over.
func (c *Core) CapacityKnownAt(at time.Duration) { c.capacityKnownAt = at }

// capacityUncertain reports whether a worker may have less room than is known here. It matters
// where workers start all that they are told to: one that shrank while its owner did not
// hear from the store would be overcommitted.
func (c *Core) capacityUncertain(now time.Duration) bool {
	return c.declared.Services[c.cell].Unguarded && c.bounds.MaxCapacityAge > 0 && now > c.capacityKnownAt+c.bounds.MaxCapacityAge
}
