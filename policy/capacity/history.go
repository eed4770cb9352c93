package capacity

import (
	"math"
	"time"
)

// DefaultHalfLife is the half-life of peaks if none is set.
const DefaultHalfLife = 600 * time.Second

// maxDecayStep bounds the time by which one observation lets the peaks decay. A gap between
// observations, or a clock that is set forward, does not show that there was no demand.
const maxDecayStep = time.Minute

// Demand above these bounds is not observed, and refused in a stored history.
const (
	maxVMs   = 1_000_000
	maxCores = 1_000_000_000
)

// History holds decaying peaks of demand, per pool and for the sum of the pools. The
// zero value is an empty history.
type History struct {
	HalfLife time.Duration // of the peaks; DefaultHalfLife if zero. It is not encoded.

	at    time.Time // time of the last observation, to which the peaks have decayed
	since time.Time // time of the first observation
	// decoded means that nothing has been observed since the history was read from the store. The
	// first observation then lets the peaks decay for all the time since, which is at most maxAge.
	decoded bool
	sum     peaks
	pools   map[string]peaks // by the key of the pool's name
}

// peaks are decaying peaks of the numbers of a PoolLoad.
type peaks struct{ vms, missing, cores float64 }

func (p peaks) scaled(factor float64) peaks {
	return peaks{vms: p.vms * factor, missing: p.missing * factor, cores: p.cores * factor}
}

func (p peaks) raised(q peaks) peaks {
	return peaks{vms: max(p.vms, q.vms), missing: max(p.missing, q.missing), cores: max(p.cores, q.cores)}
}

func (p peaks) plus(q peaks) peaks {
	return peaks{vms: p.vms + q.vms, missing: p.missing + q.missing, cores: p.cores + q.cores}
}

// bounded replaces impossible numbers, so that one bad report does not make the history
// unreadable. A possible number counts even if it exceeds the fleet, and keeps all VMs
// until it has decayed.
func (p peaks) bounded() peaks {
	return peaks{vms: bound(p.vms, maxVMs), missing: bound(p.missing, maxVMs), cores: bound(p.cores, maxCores)}
}

func bound(x, limit float64) float64 {
	if math.IsNaN(x) || math.IsInf(x, 0) || x > limit {
		return 0
	}
	return max(0, x)
}

// negligible reports whether the peaks have decayed to nothing.
func (p peaks) negligible() bool { return max(p.vms, p.missing, p.cores) < 0.05 }

// Observe records the demand of all pools at a time.
func (h *History) Observe(wall time.Time, loads []PoolLoad) {
	// Comparisons of times with monotonic readings ignore a wall clock that was set back, but the
	// stored times have none, and a reader refuses a first observation after the last.
	h.decayTo(wall.Round(0))
	var sum peaks
	for _, l := range loads {
		load := peaks{vms: float64(l.VMs), missing: float64(l.Missing), cores: l.Cores}.bounded()
		if key := poolKey(l.Name); !load.negligible() {
			h.pools[key] = h.pools[key].raised(load)
		}
		sum = sum.plus(load)
	}
	h.sum = h.sum.raised(sum.bounded())
}

// decayTo moves the history to a time. If the clock was set back, nothing decays; if more than
// maxDecayStep has passed since the last observation, the peaks decay only by that.
func (h *History) decayTo(wall time.Time) {
	if h.pools == nil {
		h.pools = make(map[string]peaks)
		h.since = wall
	}
	until := wall
	if limit := h.at.Add(maxDecayStep); !h.decoded && wall.After(limit) {
		until = limit
	}
	h.decoded = false
	factor := h.decay(until)
	h.sum = h.sum.scaled(factor)
	for key, p := range h.pools {
		if p = p.scaled(factor); p.negligible() {
			delete(h.pools, key)
			continue
		}
		h.pools[key] = p
	}
	h.at = wall
	if h.since.After(wall) {
		h.since = wall
	}
}

// decay returns the factor by which the peaks decay from the last observation to a
// time.
func (h *History) decay(wall time.Time) float64 {
	if h.at.IsZero() || !wall.After(h.at) {
		return 1
	}
	return math.Exp2(-wall.Sub(h.at).Seconds() / h.halfLife().Seconds())
}

func (h *History) halfLife() time.Duration {
	if h.HalfLife <= 0 {
		return DefaultHalfLife
	}
	return h.HalfLife
}

// showsDemand reports whether the history shows what demand to expect: it covers a
// half-life, or its peak reaches half of the VMs held. A shorter history with a lower
// peak may come from the pause before the first burst; a plan made from it would park
// the VMs that the burst needs.
func (h *History) showsDemand(wall time.Time, held int) bool {
	vms := h.sum.vms * h.decay(wall)
	return vms >= 0.5 && (2*vms >= float64(held) || h.at.Sub(h.since) >= h.halfLife())
}

// Age returns how long ago the last observation was made; zero if there is none.
func (h *History) Age(wall time.Time) time.Duration {
	if h.at.IsZero() {
		return 0
	}
	return wall.Sub(h.at)
}

// Clone returns a copy.
func (h *History) Clone() *History {
	out := *h
	out.pools = make(map[string]peaks, len(h.pools))
	for key, p := range h.pools {
		out.pools[key] = p
	}
	return &out
}

// ChangedSince reports whether a peak has risen more than a tenth above that of
// stored, decayed to the same time. Decay alone is no change, as whoever reads the
// stored history computes it. A nil stored history counts as empty.
func (h *History) ChangedSince(stored *History) bool {
	if stored == nil {
		stored = &History{}
	}
	factor := stored.decay(h.at)
	if h.sum.exceeds(stored.sum.scaled(factor)) {
		return true
	}
	for key, p := range h.pools {
		if p.exceeds(stored.pools[key].scaled(factor)) {
			return true
		}
	}
	return false
}

func (p peaks) exceeds(q peaks) bool {
	return exceeds(p.vms, q.vms) || exceeds(p.missing, q.missing) || exceeds(p.cores, q.cores)
}

// exceeds compares with a tolerance of a tenth, and of half a unit for small numbers.
func exceeds(x, y float64) bool { return x > 1.1*y+0.5 }
