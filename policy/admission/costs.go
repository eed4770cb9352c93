package admission

import (
	"slices"
	"strings"
	"time"
)

// trackedCallers bounds the callers that are tracked. Deployments have some dozens
// of callers; what matters is the few that take most of the load, and any caller
// with more than 1/64 of it is certainly among the tracked ones.
const trackedCallers = 64

// Costs finds the callers that take most of a service's slot time, in bounded
// memory whatever names callers give themselves. It is a Space-Saving summary: a
// caller that is not tracked replaces the one with the least slot time and takes
// over its count, which is then the bound of the error. For each tracked caller
// it estimates the cost of a request, so that fair shares are shares of slot time
// and a caller of long requests gets no more of it than one of short requests.
type Costs struct {
	callers map[string]*callerCost
	total   float64
}

// callerCost holds the slot time of one tracked caller.
type callerCost struct {
	used     float64 // upper bound of its slot time, in seconds
	maxError float64 // how much of used may belong to other callers
	mean     float64 // slot time of a request, in seconds
	n        int
}

// NewCosts returns an empty Costs.
func NewCosts() *Costs { return &Costs{callers: make(map[string]*callerCost, trackedCallers)} }

// maxTotalUse is the total slot time, in seconds, above which all counts are
// halved: otherwise the callers of last week would stay tracked for ever. 1,000
// slot seconds are about two minutes of one entry VM's share of a busy service.
const maxTotalUse = 1000.0

// Observe adds the slot time of one request of the caller. typical is the
// service's mean.
func (c *Costs) Observe(caller string, held, typical time.Duration) {
	seconds := held.Seconds()
	cc := c.callers[caller]
	if cc == nil {
		cc = c.track(caller)
		cc.mean = typical.Seconds()
	}
	cc.n++
	cc.used += seconds
	cc.mean += max(meanGain*2, 1/float64(cc.n+1)) * (seconds - cc.mean)
	c.total += seconds
	if c.total > maxTotalUse {
		c.halve()
	}
}

// track begins to track a caller, in place of the one with the least slot time if
// there are too many.
func (c *Costs) track(caller string) *callerCost {
	cc := &callerCost{}
	if len(c.callers) >= trackedCallers {
		name, lightest := c.lightest()
		delete(c.callers, name)
		cc.used, cc.maxError = lightest.used, lightest.used
	}
	c.callers[caller] = cc
	return cc
}

// lightest returns the tracked caller with the least slot time.
func (c *Costs) lightest() (string, *callerCost) {
	var name string
	var lightest *callerCost
	for n, cc := range c.callers {
		if lightest == nil || cc.used < lightest.used || (cc.used == lightest.used && n < name) {
			name, lightest = n, cc
		}
	}
	return name, lightest
}

func (c *Costs) halve() {
	c.total /= 2
	for _, cc := range c.callers {
		cc.used /= 2
		cc.maxError /= 2
	}
}

// Bounds of a caller's cost relative to the service's mean: an estimate from a few
// requests must neither starve a caller nor give it all the slots.
const (
	minCost = 0.1
	maxCost = 10
)

// Cost returns the expected cost of a request of the caller relative to typical,
// the service's mean; 1 where it is unknown.
func (c *Costs) Cost(caller string, typical time.Duration) float64 {
	cc := c.callers[caller]
	if cc == nil || cc.n == 0 || typical <= 0 {
		return 1
	}
	return min(max(cc.mean/typical.Seconds(), minCost), maxCost)
}

// HeavyCaller is a caller with a large share of the load.
type HeavyCaller struct {
	Caller string
	Share  float64 // lower bound of its share of the slot time
}

// Heaviest returns the callers whose share of the slot time certainly is at least
// share, the largest first.
func (c *Costs) Heaviest(share float64) []HeavyCaller {
	var heavy []HeavyCaller
	for name, cc := range c.callers {
		if c.total > 0 && (cc.used-cc.maxError)/c.total >= share {
			heavy = append(heavy, HeavyCaller{name, (cc.used - cc.maxError) / c.total})
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
