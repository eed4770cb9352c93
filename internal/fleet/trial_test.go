package fleet

import (
	"flag"
	"fmt"
	"math/rand"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// user is one of the two deployments that waves are compared on.
type user struct {
	name    string
	share   float64 // of each service's VMs that has to be up
	weights model.Weights
	// standsZone: the budget leaves room for the loss of a zone beside a stop.
	// With seven of ten VMs needed and three in a zone no planned stop does.
	standsZone bool
}

var users = []user{
	{"encuesta-viva", 0.7, model.Weights{RollOutTime: 3, BufferCost: 1, Moves: 1}, false},
	{"lautan-kru", 0.6, model.Weights{RollOutTime: 1, BufferCost: 3, Moves: 1}, true},
}

var contestsFlag = flag.Int("contests", 1, "how many seeds waves are compared with the baselines on")

// swapped are the VMs that an operator orders into each other's pool in each
// run; they are in the same zone. While a pool is one VM short its budget may
// have no room for the loss of a zone, so there are no moves where zones fail.
var swapped = []struct {
	vm model.VMID
	to model.PoolName
}{{"v0-03", "p1"}, {"v1-02", "p0"}}

func (sc scenario) toMove() int {
	if sc.weather == violent {
		return 0
	}
	return len(swapped)
}

// declaration returns the user's size: four zones, five services of ten VMs,
// four VMs to a rack, those of one service in different racks.
func (u user) declaration() *model.Declaration {
	d := declare(4, 5, 10, 0)
	d.Weights = u.weights
	d.Waves[0].Canary = 0 // the baselines have none; one would add a VM's time out
	for i := range d.Services {
		d.Services[i].Budget.MinAvailable = model.Quantity{Share: u.share}
	}
	for i := range d.VMs {
		service, k := i/10, i%10
		d.VMs[i].Rack = model.RackName(fmt.Sprintf("%s-r%d", d.VMs[i].Zone, (service+k/4)%4))
	}
	return d
}

// weather is what fails besides.
type weather int8

const (
	calm    weather = iota // nothing
	rough                  // VMs, and racks one time in four
	violent                // a zone one time in ten as well
)

var weathers = [...]string{"calm", "rough", "violent"}

// scenario is what one seed brings, the same for every strategy.
type scenario struct {
	seed    int64
	weather weather
}

// trial is one run of a strategy through a scenario.
type trial struct {
	*world
	sc      scenario
	rng     *rand.Rand
	losses  []loss
	result  result
	elapsed time.Duration
	out     func() int // VMs out by plan now
}

// loss is an unplanned failure: a VM, or a rack, for a time.
type loss struct {
	at, until time.Duration
	vms       []model.VMID
}

// result is what a strategy came to.
type result struct {
	rollOut  time.Duration
	peak     int           // most VMs out by plan at once: the spares it takes
	outTime  time.Duration // VMs out by plan times time
	broken   int           // ticks in which a service missed its budget for want of VMs out by plan
	failed   int           // ticks in which a service missed its budget by failures alone
	cut      int
	moves    int
	finished bool
}

// bufferCost is the spare capacity held back for the wave: its widest moment,
// held for as long as it takes.
func (r result) bufferCost() time.Duration { return time.Duration(r.peak) * r.rollOut }

const (
	compareTick = time.Second     // as Run does while there is work
	detection   = 4 * time.Second // from a failure to what entry VMs see of it
	lossEvery   = 6 * time.Minute // mean time between unplanned failures
	lossLasts   = 4 * time.Minute
)

func newTrial(u user, sc scenario) *trial {
	tr := &trial{world: newWorld(u.declaration(), 1), sc: sc, rng: rand.New(rand.NewSource(sc.seed))}
	tr.audit.off = true
	tr.machines.lag = 5 * time.Second
	for i := range tr.decl.VMs {
		m := tr.machines.vms[tr.decl.VMs[i].ID]
		m.drainTime = time.Duration(5+tr.rng.ExpFloat64()*30) * time.Second
		m.drainTime = min(m.drainTime, 4*time.Minute)
		m.bootTime = time.Duration(60+tr.rng.Intn(120)) * time.Second
	}
	if sc.weather != calm {
		tr.plot()
	}
	return tr
}

// plot draws failures that come one after the other.
func (tr *trial) plot() {
	at := time.Duration(0)
	for at < 24*time.Hour {
		at += time.Duration(tr.rng.ExpFloat64() * float64(lossEvery))
		l := loss{at: at, until: at + lossLasts}
		hit := tr.decl.VMs[tr.rng.Intn(len(tr.decl.VMs))]
		rack := tr.rng.Intn(4) == 0
		zone := tr.rng.Intn(10) == 0 && tr.sc.weather == violent
		for _, vm := range tr.decl.VMs {
			if vm.ID == hit.ID || (rack && vm.Rack == hit.Rack) || (zone && vm.Zone == hit.Zone) {
				l.vms = append(l.vms, vm.ID)
			}
		}
		tr.losses = append(tr.losses, l)
		at = l.until
	}
}

// tick lets time pass, brings failures and recoveries, and measures.
func (tr *trial) tick() {
	tr.clock.Advance(compareTick)
	tr.elapsed += compareTick
	for _, l := range tr.losses {
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
	out := tr.out()
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
		tr.judge(counts[s.Pools[0]], s.Budget)
	}
}

// count is what a service's VMs really do.
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

func (tr *trial) judge(c *count, b model.Budget) {
	required := b.MinAvailable.Of(c.total)
	switch {
	case c.up >= required:
	case c.up+c.planned >= required:
		tr.result.broken++
	default:
		tr.result.failed++
	}
}
