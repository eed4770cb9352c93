package fleet

import (
	"flag"
	"fmt"
	"math/rand"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// deployment is one of the two deployments that waves are compared on.
type deployment struct {
	name    string
	share   float64 // share of each service's VMs that has to be up
	weights model.Weights
	// toleratesZoneLoss is true if the budget allows the loss of a zone during a
	// planned stop. With seven of ten VMs required and three in a zone it does
	// not.
	toleratesZoneLoss bool
}

var deployments = []deployment{
	{"encuesta-viva", 0.7, model.Weights{RollOutTime: 3, BufferCost: 1, Moves: 1}, false},
	{"lautan-kru", 0.6, model.Weights{RollOutTime: 1, BufferCost: 3, Moves: 1}, true},
}

var comparisonsFlag = flag.Int("contests", 1, "how many seeds waves are compared with the baselines on")

// orderedMoves are the moves that an operator orders in each run. They swap two
// VMs of one zone between their pools. While a pool is one VM short, its budget
// may not allow the loss of a zone, so there are no moves where zones fail.
var orderedMoves = []struct {
	vm model.VMID
	to model.PoolName
}{{"v0-03", "p1"}, {"v1-02", "p0"}}

func (sc scenario) moveCount() int {
	if sc.failures == zoneFailures {
		return 0
	}
	return len(orderedMoves)
}

// declaration returns the declaration of the deployment: four zones and five
// services of ten VMs, with the VMs of a service in different racks.
func (u deployment) declaration() *model.Declaration {
	d := declare(4, 5, 10, 0)
	d.Weights = u.weights
	d.Waves[0].Canary = 0 // the baselines have no canary; one would add the time that a VM is out
	for i := range d.Services {
		d.Services[i].Budget.MinAvailable = model.Quantity{Share: u.share}
	}
	for i := range d.VMs {
		service, k := i/10, i%10
		d.VMs[i].Rack = model.RackName(fmt.Sprintf("%s-r%d", d.VMs[i].Zone, (service+k/4)%4))
	}
	return d
}

// failureLevel tells what fails unplanned during a run.
type failureLevel int8

const (
	noFailures   failureLevel = iota // nothing fails
	rackFailures                     // VMs fail, and their whole rack one time in four
	zoneFailures                     // as rackFailures, and the whole zone one time in ten
)

var failureLevelNames = [...]string{"no failures", "rack failures", "zone failures"}

// scenario is the random course of events of a seed, the same for every strategy.
type scenario struct {
	seed     int64
	failures failureLevel
}

// trial is one run of a strategy through a scenario.
type trial struct {
	*simulation
	sc         scenario
	rng        *rand.Rand
	failures   []failure
	result     result
	elapsed    time.Duration
	plannedOut func() int // returns the number of VMs that are out by a planned stop now
}

// failure is an unplanned failure of a VM, a rack or a zone, from at to until.
type failure struct {
	at, until time.Duration
	vms       []model.VMID
}

// result holds the figures of one run of a strategy.
type result struct {
	rollOut          time.Duration // simulated time of the whole run
	peak             int           // maximum number of VMs out by planned stops at once: the spare VMs required
	outTime          time.Duration // VM time out by planned stops
	missedByStops    int           // ticks of compareTick in which a service missed its budget because of planned stops
	missedByFailures int           // ticks of compareTick in which a service missed its budget because of failures alone
	rebootedWithWork int           // reboots of a VM that had work or could still be sent some
	moves            int           // VMs that are in another pool than declared at the end
	finished         bool
}

// bufferCost returns the spare capacity reserved for the wave: the peak of VMs out,
// reserved for the whole roll-out.
func (r result) bufferCost() time.Duration { return time.Duration(r.peak) * r.rollOut }

const (
	compareTick         = time.Second     // as Run does while there is work
	detection           = 4 * time.Second // time from a failure until entry VMs see it
	meanFailureInterval = 6 * time.Minute // mean time between unplanned failures
	failureDuration     = 4 * time.Minute
)

func newTrial(u deployment, sc scenario) *trial {
	tr := &trial{simulation: newSimulation(u.declaration(), 1), sc: sc, rng: rand.New(rand.NewSource(sc.seed))}
	tr.audit.off = true
	tr.machines.listAge = 5 * time.Second
	for i := range tr.decl.VMs {
		m := tr.machines.vms[tr.decl.VMs[i].ID]
		m.drainTime = time.Duration(5+tr.rng.ExpFloat64()*30) * time.Second
		m.drainTime = min(m.drainTime, 4*time.Minute)
		m.bootTime = time.Duration(60+tr.rng.Intn(120)) * time.Second
	}
	if sc.failures != noFailures {
		tr.scheduleFailures()
	}
	return tr
}

// scheduleFailures draws a sequence of failures that do not overlap.
func (tr *trial) scheduleFailures() {
	at := time.Duration(0)
	for at < 24*time.Hour {
		at += time.Duration(tr.rng.ExpFloat64() * float64(meanFailureInterval))
		l := failure{at: at, until: at + failureDuration}
		hit := tr.decl.VMs[tr.rng.Intn(len(tr.decl.VMs))]
		rack := tr.rng.Intn(4) == 0
		zone := tr.rng.Intn(10) == 0 && tr.sc.failures == zoneFailures
		for _, vm := range tr.decl.VMs {
			if vm.ID == hit.ID || (rack && vm.Rack == hit.Rack) || (zone && vm.Zone == hit.Zone) {
				l.vms = append(l.vms, vm.ID)
			}
		}
		tr.failures = append(tr.failures, l)
		at = l.until
	}
}

// tick advances the clock, applies failures and recoveries, and updates the
// result.
func (tr *trial) tick() {
	tr.clock.Advance(compareTick)
	tr.elapsed += compareTick
	for _, l := range tr.failures {
		for _, id := range l.vms {
			m := tr.machines.vms[id]
			if tr.elapsed >= l.at && tr.elapsed < l.at+compareTick {
				m.crash(tr.clock.Now().Add(detection))
			}
			if tr.elapsed >= l.until && tr.elapsed < l.until+compareTick {
				m.failed = false
			}
		}
	}
	tr.measure()
}

func (tr *trial) measure() {
	out := tr.plannedOut()
	tr.result.peak = max(tr.result.peak, out)
	tr.result.outTime += time.Duration(out) * compareTick
	counts := make(map[model.PoolName]*count)
	for i := range tr.decl.Pools {
		counts[tr.decl.Pools[i].Name] = &count{}
	}
	now := tr.clock.Now()
	for id, vm := range tr.snapshot().VMs {
		m := tr.machines.vms[id]
		counts[vm.Pool].add(m, m.drained || m.rebooting(now) || vm.State != model.VMInPool)
	}
	for i := range tr.decl.Services {
		s := &tr.decl.Services[i]
		tr.countBudgetMiss(counts[s.Pools[0]], s.Budget)
	}
}

// count holds the number of a service's VMs, of those up, and of those out by a
// planned stop, by the actual state of the VMs.
type count struct{ total, up, planned int }

func (c *count) add(m *machine, planned bool) {
	c.total++
	switch {
	case planned:
		c.planned++
	case !m.failed:
		c.up++
	}
}

func (tr *trial) countBudgetMiss(c *count, b model.Budget) {
	required := b.MinAvailable.Of(c.total)
	switch {
	case c.up >= required:
	case c.up+c.planned >= required:
		tr.result.missedByStops++
	default:
		tr.result.missedByFailures++
	}
}
