package admission

import (
	"slices"
	"strings"
	"time"
)

// trackedCallers is how many callers are followed. Both deployments have some
// dozens of firms or ship managers; what matters is the few that take most of
// the load, and any caller with more than 1/64 of it is certainly among them.
const trackedCallers = 64

// Costs finds the callers that take most of a service's slot time, in bounded
// memory whatever names callers give themselves (the Space-Saving summary: a
// caller that is not followed takes the place of the least one, together with
// its count as the possible error). For the callers it follows it estimates
// what a request of theirs costs, so that fair shares are shares of slot time
// and a caller of long requests does not get more of it than one of short ones.
type Costs struct {
	callers map[string]*callerCost
	total   float64
}

type callerCost struct {
	used  float64 // slot time in seconds, at most
	error float64 // of it, what may be another's
	mean  float64 // of a request, in seconds
	n     int
}

// NewCosts returns an empty Costs.
func NewCosts() *Costs { return &Costs{callers: make(map[string]*callerCost, trackedCallers)} }

// halfLifeUse is the slot time after which what was used counts half: without
// it the callers of last week would hold the places for ever. 1,000 slot
// seconds are about two minutes of one entry VM's share of a service at work.
const halfLifeUse = 1000.0

// Observe takes in the slot time of one request. typical is the service's mean.
func (c *Costs) Observe(caller string, held, typical time.Duration) {
	seconds := held.Seconds()
	cc := c.callers[caller]
	if cc == nil {
		cc = c.place(caller)
		cc.mean = typical.Seconds()
	}
	cc.n++
	cc.used += seconds
	cc.mean += max(meanGain*2, 1/float64(cc.n+1)) * (seconds - cc.mean)
	c.total += seconds
	if c.total > halfLifeUse {
		c.halve()
	}
}

// place makes room for a caller.
func (c *Costs) place(caller string) *callerCost {
	cc := &callerCost{}
	if len(c.callers) >= trackedCallers {
		name, least := c.least()
		delete(c.callers, name)
		cc.used, cc.error = least.used, least.used
	}
	c.callers[caller] = cc
	return cc
}

func (c *Costs) least() (string, *callerCost) {
	var name string
	var least *callerCost
	for n, cc := range c.callers {
		if least == nil || cc.used < least.used || (cc.used == least.used && n < name) {
			name, least = n, cc
		}
	}
	return name, least
}

func (c *Costs) halve() {
	c.total /= 2
	for _, cc := range c.callers {
		cc.used /= 2
		cc.error /= 2
	}
}

// Bounds of a caller's cost relative to the service's mean: estimates from a
// few requests must not shut a caller out, nor let it have everything.
const (
	minCost = 0.1
	maxCost = 10
)

// Cost returns what a request of the caller is expected to cost, relative to
// typical, the service's mean; 1 where nothing is known.
func (c *Costs) Cost(caller string, typical time.Duration) float64 {
	cc := c.callers[caller]
	if cc == nil || cc.n == 0 || typical <= 0 {
		return 1
	}
	return min(max(cc.mean/typical.Seconds(), minCost), maxCost)
}

// HeavyCaller is a caller with much of the load.
type HeavyCaller struct {
	Caller string
	Share  float64 // of the slot time, at least
}

// Heaviest returns the callers that certainly have at least share of the slot
// time, the heaviest first.
func (c *Costs) Heaviest(share float64) []HeavyCaller {
	var heavy []HeavyCaller
	for name, cc := range c.callers {
		if c.total > 0 && (cc.used-cc.error)/c.total >= share {
			heavy = append(heavy, HeavyCaller{name, (cc.used - cc.error) / c.total})
		}
	}
	slices.SortFunc(heavy, func(a, b HeavyCaller) int {
		if a.Share != b.Share {
			if a.Share > b.Share {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Caller, b.Caller)
	})
	return heavy
}
