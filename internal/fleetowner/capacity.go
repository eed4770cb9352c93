package fleetowner

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/capacity"
	"github.com/pumicestage/pumicestage/policy/pools"
	"github.com/pumicestage/pumicestage/policy/work"
)

const (
	// historyStoreInterval is the minimum time between two writes of the history, and between a
	// failed call about it and the next.
	historyStoreInterval = 30 * time.Second
	// maxStoredHistoryAge is the age from which the stored history is replaced although no peak
	// has changed much. A history older than an hour is refused by its reader.
	maxStoredHistoryAge = 5 * time.Minute
	// minObservation is how long an owner observes the load before it parks VMs, as the stored
	// history may lack the last historyStoreInterval, and the peaks decay while nothing is observed. Bursts last about 4 s and follow
	// each other, so 5 s hold the peak of one.
	minObservation = 5 * time.Second
	// maxObservationGap is the time since the last observation after which minObservation begins
	// anew, as a burst may have been missed. Passes are at most idleListInterval apart.
	maxObservationGap = 3 * time.Second
	// planLogInterval is the minimum time between two log lines about a changed plan.
	planLogInterval = time.Second
)

// CapacityOptions are the settings of the capacity plan. Without a cost of a move there is no
// plan.
type CapacityOptions struct {
	Costs    capacity.Costs
	HalfLife time.Duration
	Floors   map[string]int // VMs that a pool keeps, by pool
	// MaxVMs is the size of the fleet up to which the plan is on; 0: any.
	MaxVMs int
}

func (o CapacityOptions) enabled() bool { return o.Costs.Move > 0 }

// plansCapacity reports whether the plan is on for a fleet of this size.
func (f *Fleet) plansCapacity() bool {
	return f.Capacity.enabled() && (f.Capacity.MaxVMs == 0 || len(f.vms) <= f.Capacity.MaxVMs)
}

// capacityState is the history of the load, and what was last planned from it. All fields but
// last are used only by the goroutine of Run.
type capacityState struct {
	history       *capacity.History // nil until the stored one has been read
	observed      bool              // the last pass was complete
	observedSince time.Duration     // the first of the successive observations, if observed
	observedAt    time.Duration     // the last of them
	stored        *capacity.History // as last read or stored; nil: nothing
	storedAt      time.Duration
	nextCall      time.Duration // earliest time of the next call about the stored history

	calls   sync.WaitGroup
	calling bool
	// answers holds what the call in the background, at most one at a time, has yielded. It is
	// applied in the next pass.
	answers chan func()

	racksAsOf   time.Duration // the list of VMs that largestRack is computed from
	largestRack int

	logged   capacity.Plan // as last logged
	loggedAt time.Duration
	last     atomic.Pointer[plannedPass]
}

// plannedPass is the plan of one pass and the state that it was made from. It is not changed
// once it is stored.
type plannedPass struct {
	plan        capacity.Plan
	parkingHeld bool
	historyAge  time.Duration
	load        []capacity.PoolLoad
	pools       []pools.Pool
}

// limits observes the load, plans the capacity and returns the limits for pools.Decide. They are
// zero if the plan is off. While it is not known how many VMs are needed, no VM is parked.
func (f *Fleet) limits(ctx context.Context, state []pools.Pool) pools.Limits {
	if !f.plansCapacity() {
		return pools.Limits{}
	}
	c := &f.capacity
	f.applyCapacityAnswer()
	complete := f.allReported()
	load := capacity.Loads(state)
	f.observe(load, complete)
	p := &plannedPass{plan: f.plan(state, complete), parkingHeld: !f.observedEnough(), load: load, pools: state}
	if c.history != nil {
		p.historyAge = c.history.Age(f.Clock.Wall())
	}
	c.last.Store(p)
	f.reportPlan(p)
	f.callAboutHistory(ctx)
	limits := p.plan.Limits()
	limits.BalanceZones = true
	// Without Ready, pools.Decide parks by its own rule, which keeps fewer VMs than the last plan
	// may have. That rule applies only if the history was read and shows no demand.
	limits.NoParking = c.history == nil || !complete || len(f.zones.lost) > 0 || p.parkingHeld
	return limits
}

// observe records the load if it is that of all cells.
func (f *Fleet) observe(load []capacity.PoolLoad, complete bool) {
	c := &f.capacity
	if c.history == nil || !complete {
		c.observed = false
		return
	}
	now := f.Clock.Now()
	if !c.observed || now > c.observedAt+maxObservationGap {
		c.observed, c.observedSince = true, now
	}
	c.observedAt = now
	c.history.Observe(f.Clock.Wall(), load)
}

// plan returns the plan for the pools.
func (f *Fleet) plan(state []pools.Pool, complete bool) capacity.Plan {
	return capacity.Decide(capacity.Input{
		Pools: state, History: f.capacity.history, Wall: f.Clock.Wall(), Costs: f.Capacity.Costs, Floors: f.Capacity.Floors,
		LargestRack: f.sizeOfLargestRack(), WaveVMs: f.waveVMs(), AllReported: complete,
		ZoneLost: len(f.zones.lost) > 0,
	})
}

// observedEnough reports whether this owner has observed the load for minObservation without a gap.
func (f *Fleet) observedEnough() bool {
	return f.capacity.observed && f.Clock.Now() >= f.capacity.observedSince+minObservation
}

// allReported reports whether all cells have reported in this pass.
func (f *Fleet) allReported() bool {
	for name := range f.Declared().Services {
		if !f.reported(name) {
			return false
		}
	}
	return true
}

// sizeOfLargestRack returns the number of VMs in the largest rack. The rack is the last label of a
// VM, as for the placement of tasks. A label that more than half of the VMs have is no rack: a
// reserve for its loss would keep most of the fleet.
func (f *Fleet) sizeOfLargestRack() int {
	c := &f.capacity
	if c.racksAsOf == f.lastList {
		return c.largestRack
	}
	c.racksAsOf, c.largestRack = f.lastList, 0
	racks := make(map[string]int)
	for _, vm := range f.vms {
		if n := len(vm.Labels); n > 0 {
			racks[vm.Labels[n-1]]++
		}
	}
	for _, size := range racks {
		if 2*size <= len(f.vms) {
			c.largestRack = max(c.largestRack, size)
		}
	}
	return c.largestRack
}

// waveVMs returns how many VMs the waves that are not completed may take down at the same time, in
// addition to those that are down for them: the pools hold none of those.
func (f *Fleet) waveVMs() (sum int) {
	down := make(map[string]bool) // a VM of two waves counts once
	for _, w := range f.Waves.Ordered() {
		if r := f.waves[w.Name]; r != nil && r.Completed {
			continue
		}
		more := min(max(1, w.MaxAtATime), len(w.VMs))
		for _, id := range w.VMs {
			if more > 0 && !down[id] && f.downForWave(id, w.Name) {
				down[id] = true
				more--
			}
		}
		sum += more
	}
	return sum
}

// downForWave reports whether the VM is missing in a pool, as it is being maintained or ordered to be
// by the wave. A parked VM is not: the pools hold as many without it, and the wave's next VM may be
// one of theirs.
func (f *Fleet) downForWave(id, wave string) bool {
	if f.isStandby(f.vms[id].Pool) {
		return false
	}
	if o := f.orderOf(id); o != nil {
		return o.wave == wave
	}
	return f.vms[id].State == work.VMMaintenance
}

// applyCapacityAnswer applies the result of a call that has ended since the last pass.
func (f *Fleet) applyCapacityAnswer() {
	select {
	case apply := <-f.capacity.answers:
		f.capacity.calling = false
		apply()
	default:
	}
}

// callAboutHistory reads or stores the history in the background if that is due.
func (f *Fleet) callAboutHistory(ctx context.Context) {
	c := &f.capacity
	now := f.Clock.Now()
	if c.calling || now < c.nextCall {
		return
	}
	var call func(context.Context) func()
	switch {
	case c.history == nil:
		call = f.readHistory
	case f.storeDue(now):
		call = f.storeHistory()
	}
	if call == nil {
		return
	}
	c.calling = true
	c.nextCall = now + historyStoreInterval
	c.calls.Go(func() {
		limited, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		c.answers <- call(limited)
	})
}

// storeDue reports whether the history differs enough from the stored one, or the stored one is
// old. A new owner stores nothing before its own observations count.
func (f *Fleet) storeDue(now time.Duration) bool {
	c := &f.capacity
	if !f.observedEnough() {
		return false
	}
	return c.history.ChangedSince(c.stored) || c.stored != nil && now >= c.storedAt+maxStoredHistoryAge
}

// readHistory reads the stored history. The function that it returns applies the result: without a
// usable history, a new one begins.
func (f *Fleet) readHistory(ctx context.Context) func() {
	kv, _, err := f.Store.Get(ctx, infra.WorkCapacityKey)
	return func() {
		c := &f.capacity
		if err != nil {
			f.Metrics.CountCapacity("history_failed")
			f.Log.Info("reading the capacity history failed: no plan until it is read", "retry in", historyStoreInterval.String(), "error", err.Error())
			return
		}
		c.nextCall = 0
		c.history = f.decodeHistory(kv)
		if c.history != nil {
			c.history.HalfLife = f.Capacity.HalfLife
			c.stored, c.storedAt = c.history.Clone(), f.Clock.Now()-c.history.Age(f.Clock.Wall())
		} else {
			c.history = &capacity.History{HalfLife: f.Capacity.HalfLife}
		}
	}
}

// decodeHistory returns the stored history, or nil if there is none that can be used.
func (f *Fleet) decodeHistory(kv infra.KV) *capacity.History {
	if kv.ModRevision == 0 {
		f.Log.Info("no capacity history is stored: no plan until demand has been observed")
		return nil
	}
	h, err := capacity.Decode(kv.Value, f.Clock.Wall())
	if err != nil {
		f.Metrics.CountCapacity("history_failed")
		f.Log.Info("the stored capacity history is not used: no plan until demand has been observed", "error", err.Error())
		return nil
	}
	return h
}

// storeHistory encodes the history and returns the call that stores it, or nil if it can't be
// encoded. The transaction requires that the owner's key is unchanged, so that a former owner
// can't replace the history of its successor.
func (f *Fleet) storeHistory() func(context.Context) func() {
	history := f.capacity.history.Clone()
	raw, err := history.Encode()
	if err != nil {
		f.Metrics.CountCapacity("history_failed")
		f.Log.Error(err, "encoding the capacity history failed")
		f.capacity.nextCall = f.Clock.Now() + historyStoreInterval
		return nil
	}
	txn := infra.Txn{
		If:   []infra.Cond{{Key: f.OwnerKey, ModRevision: infra.Revision(f.Term.Token())}},
		Then: []infra.Op{infra.Put(infra.WorkCapacityKey, raw)},
	}
	at := f.Clock.Now()
	return func(ctx context.Context) func() {
		res, err := f.Store.Txn(ctx, txn)
		return func() {
			switch {
			case err != nil:
				f.Metrics.CountCapacity("history_failed")
				f.Log.Info("storing the capacity history failed", "retry in", historyStoreInterval.String(), "error", err.Error())
			case !res.Succeeded:
				f.Metrics.CountCapacity("history_failed")
				f.Log.Info("capacity history not stored, as the fleet has another owner")
			default:
				f.Metrics.CountCapacity("history_stored")
				f.capacity.stored, f.capacity.storedAt = history, at
			}
		}
	}
}

// reportPlan publishes the plan as metrics, and logs it if it has changed.
func (f *Fleet) reportPlan(p *plannedPass) {
	n := p.counts()
	if p.plan.Reason == capacity.ReasonPlanned {
		f.Metrics.CountCapacity("plans")
	}
	f.Metrics.SetCapacity("ready", p.plan.Ready)
	f.Metrics.SetCapacity("parked", n.Parked)
	f.Metrics.SetCapacity("wanted", n.Wanted)
	f.Metrics.SetCapacity("shortage", n.Shortage)
	c := &f.capacity
	now := f.Clock.Now()
	if p.plan.Ready == c.logged.Ready && p.plan.Reason == c.logged.Reason || c.logged.Reason != "" && now < c.loggedAt+planLogInterval {
		return
	}
	c.logged, c.loggedAt = p.plan, now
	f.Log.Info("capacity plan changed", "ready", p.plan.Ready, "parked", n.Parked, "in pools", n.InPools,
		"peak", p.plan.Peak, "reserve", p.plan.Reserve, "history age", p.historyAge.Round(time.Millisecond).String(), "reason", string(p.plan.Reason))
}

// endCapacity waits for the call in flight, and clears the metrics, which only the fleet's owner
// has.
func (f *Fleet) endCapacity() {
	if !f.Capacity.enabled() {
		return
	}
	f.capacity.calls.Wait()
	for _, name := range []string{"ready", "parked", "wanted", "shortage"} {
		f.Metrics.SetCapacity(name, 0)
	}
}

// CapacityCounts are numbers of VMs in one pass.
type CapacityCounts struct {
	InPools  int `json:"in_pools"` // up and accepting tasks, or ordered to a pool
	Parked   int `json:"parked"`   // switched off, or ordered to be
	Wanted   int `json:"wanted"`   // with tasks, or missing for long-running tasks
	Shortage int `json:"shortage"` // fewer in pools than planned, by this many
}

func (p *plannedPass) counts() CapacityCounts {
	var n CapacityCounts
	for i := range p.pools {
		vms := len(p.pools[i].VMs) + len(p.pools[i].Incoming)
		if p.pools[i].Parked {
			n.Parked += vms
		} else {
			n.InPools += vms
		}
	}
	for _, l := range p.load {
		n.Wanted += l.VMs + l.Missing
	}
	n.Shortage = max(0, p.plan.Ready-n.InPools)
	return n
}

// CapacityReport explains the capacity plan of the last pass.
type CapacityReport struct {
	CapacityCounts
	Ready       int            `json:"ready"` // VMs to keep in all pools together; 0: no plan
	Peak        int            `json:"peak"`
	Reserve     int            `json:"reserve"`
	Reason      string         `json:"reason"`
	IdleTime    time.Duration  `json:"idle_time_ns"`
	HistoryAge  time.Duration  `json:"history_age_ns"`
	ParkingHeld bool           `json:"parking_held"` // the owner has not observed the load for long enough
	Pools       []PoolCapacity `json:"pools"`
	VM          *VMCapacity    `json:"vm,omitempty"`
}

// PoolCapacity is the state of a pool in a CapacityReport.
type PoolCapacity struct {
	Name     string `json:"name"`
	Parked   bool   `json:"parked,omitempty"` // it holds the VMs that are switched off
	VMs      int    `json:"vms"`
	Empty    int    `json:"empty"`
	Incoming int    `json:"incoming"`
	Floor    int    `json:"floor"`
}

// VMCapacity says why a VM is kept or parked.
type VMCapacity struct {
	ID   string `json:"id"`
	Pool string `json:"pool,omitempty"`
	Why  string `json:"why"`
}

// ExplainCapacity returns a report of the plan, which also explains the VM if one is named. It
// returns false if the plan is off or nothing has been planned in this term. It may be called
// from any goroutine.
func (f *Fleet) ExplainCapacity(vm string) (CapacityReport, bool) {
	p := f.capacity.last.Load()
	if p == nil {
		return CapacityReport{}, false
	}
	out := CapacityReport{
		CapacityCounts: p.counts(), Ready: p.plan.Ready, Peak: p.plan.Peak, Reserve: p.plan.Reserve, Reason: string(p.plan.Reason),
		IdleTime: p.plan.IdleTime, HistoryAge: p.historyAge, ParkingHeld: p.parkingHeld,
	}
	for i := range p.pools {
		pool := &p.pools[i]
		row := PoolCapacity{Name: pool.Name, Parked: pool.Parked, VMs: len(pool.VMs), Incoming: len(pool.Incoming), Floor: p.plan.Floor[pool.Name]}
		for j := range pool.VMs {
			if pool.VMs[j].Empty {
				row.Empty++
			}
		}
		out.Pools = append(out.Pools, row)
	}
	if vm != "" {
		out.VM = p.explainVM(vm)
	}
	return out, true
}

// explainVM says why the VM is kept or parked.
func (p *plannedPass) explainVM(id string) *VMCapacity {
	for i := range p.pools {
		pool := &p.pools[i]
		for j := range pool.Incoming {
			if pool.Incoming[j].ID == id {
				return &VMCapacity{ID: id, Pool: pool.Name, Why: "on its way to the pool"}
			}
		}
		for j := range pool.VMs {
			if pool.VMs[j].ID == id {
				return &VMCapacity{ID: id, Pool: pool.Name, Why: p.whyKept(pool, &pool.VMs[j])}
			}
		}
	}
	return &VMCapacity{ID: id, Why: "in no pool: it is not up, drains or is about to be maintained, its cell has not reported, or there is no such VM"}
}

func (p *plannedPass) whyKept(pool *pools.Pool, vm *pools.VM) string {
	planned := p.plan.Reason == capacity.ReasonPlanned
	switch {
	case pool.Parked && !planned:
		return "parked; no plan: " + string(p.plan.Reason)
	case pool.Parked && p.counts().Shortage == 0:
		return "parked: the pools hold as many VMs as planned"
	case pool.Parked:
		return "parked, and may be drawn: the pools hold fewer VMs than planned"
	case !vm.Empty:
		return "kept: it has tasks"
	case !planned:
		return "kept: no plan: " + string(p.plan.Reason)
	case p.counts().InPools <= p.plan.Ready:
		return "kept: the pools hold no more VMs than planned"
	case len(pool.VMs) <= p.plan.Floor[pool.Name]:
		return "kept: the pool is at its floor"
	case p.parkingHeld:
		return "kept: the owner has not observed the load for long enough"
	case pool.Backlog > 0 || pool.LateBacklog > 0 || pool.MissingVMs > 0 || pool.SpareDemand > 0:
		return "kept: work waits in its pool, or the pool could use more VMs"
	case vm.EmptyFor < 2*p.plan.IdleTime:
		// Parking costs one move or two, by when other pools last had a backlog.
		return fmt.Sprintf("kept: empty for %s, and parked after %s to %s", vm.EmptyFor, p.plan.IdleTime, 2*p.plan.IdleTime)
	default:
		return "in excess of the plan: it is parked once no pool lacks VMs"
	}
}
