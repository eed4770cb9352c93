package engine

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/pools"
	"github.com/pumicestage/pumicestage/policy/work"
)

// load is what one service asks of its pool.
type load struct {
	used    float64 // cores
	backlog float64 // core-seconds that wait for room
	arrives float64 // core-seconds a second that came of late
}

// Rate of arrival.
const (
	// arrivalSpan is what the rate is taken over: a third of what a move takes.
	arrivalSpan = 500 * time.Millisecond
	// arrivalLeast is the fewest jobs that make a rate: a single wide job would
	// pass for a burst.
	arrivalLeast = 4
)

// arrival is the work of one job that may start at once.
type arrival struct {
	at   time.Duration
	work float64 // core-seconds
}

// arrived notes a job for the rate of its service.
func (c *Core) arrived(j *job, now time.Duration) {
	sum := 0.0
	for i := range j.Steps {
		if s := &j.Steps[i]; len(s.After) == 0 && !s.Lasting {
			sum += stepWork(s)
		}
	}
	name := j.queue.Service
	c.arrivals[name] = append(c.recent(name, now), arrival{at: now, work: sum})
}

// recent returns the arrivals within the span.
func (c *Core) recent(service string, now time.Duration) []arrival {
	list := c.arrivals[service]
	for len(list) > 0 && list[0].at < now-arrivalSpan {
		list = list[1:]
	}
	return list
}

func (c *Core) arrivalRate(service string, now time.Duration) float64 {
	list := c.recent(service, now)
	if len(list) < arrivalLeast {
		return 0
	}
	sum := 0.0
	for _, a := range list {
		sum += a.work
	}
	return sum / arrivalSpan.Seconds()
}

// loads returns the load of every service.
func (c *Core) loads(now time.Duration) map[string]load {
	out := make(map[string]load)
	for _, w := range c.workers {
		l := out[w.info.Service]
		l.used += cores(w.used())
		out[w.info.Service] = l
	}
	for _, j := range c.open {
		for _, o := range j.live {
			for _, s := range o.steps {
				if s.pending == 0 || !s.ready() {
					continue
				}
				l := out[j.queue.Service]
				l.backlog += float64(s.pending) * c.waitsFor(s).Seconds() * cores(s.spec.Size)
				out[j.queue.Service] = l
			}
		}
	}
	for name, l := range out {
		l.arrives = c.arrivalRate(name, now)
		out[name] = l
	}
	return out
}

// waitsFor is how long a task of the step will hold its room. A lasting task
// wants it for good; it counts as what one more VM is worth to the decision.
func (c *Core) waitsFor(s *step) time.Duration {
	if s.spec.Lasting {
		return pools.DrainGoal
	}
	return c.learned.estimate(s)
}

// rebalance moves idle VMs to where work waits.
func (f *fleet) rebalance(ctx context.Context) {
	if !f.mayOrder() {
		return
	}
	for _, m := range pools.Decide(f.pools()) {
		f.e.wg.Go(func() { f.move(ctx, m) })
	}
}

// pools describes the fleet to the decision.
func (f *fleet) pools() []pools.Pool {
	now := f.e.Clock.Now()
	f.e.mu.Lock()
	defer f.e.mu.Unlock()
	loads := f.e.core.loads(now)
	byName := make(map[string]*pools.Pool)
	for name, s := range f.e.core.declared.Services {
		l := loads[name]
		if l.backlog > 0 {
			f.lastBusy[name] = now
		}
		byName[name] = &pools.Pool{Name: name, Parked: s.Standby, Used: l.used, Backlog: l.backlog, Arriving: l.arrives, Quiet: now - f.lastBusy[name]}
	}
	ids := make([]string, 0, len(f.vms))
	for id := range f.vms {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		f.poolOf(byName, f.vms[id], now)
	}
	out := make([]pools.Pool, 0, len(byName))
	for _, p := range byName {
		out = append(out, *p)
	}
	slices.SortFunc(out, func(a, b pools.Pool) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// poolOf adds the VM to its pool, or to the one it is on its way to.
func (f *fleet) poolOf(byName map[string]*pools.Pool, vm work.VM, now time.Duration) {
	size := cores(vm.Size)
	if o := f.orderOf(vm.ID); o != nil {
		if p := byName[o.pool]; p != nil {
			p.Incoming += size
		}
		return
	}
	p := byName[vm.Pool]
	if p == nil {
		return
	}
	w := f.e.core.workers[vm.Worker]
	switch {
	case vm.State == work.VMMoving || vm.State == work.VMUp && !p.Parked && (w == nil || !w.heard):
		p.Incoming += size
	case vm.State != work.VMUp:
	case p.Parked:
		p.VMs = append(p.VMs, pools.VM{ID: vm.ID, Cores: size, Empty: true})
	default:
		if w.cordon != "" || w.info.Draining {
			return // it takes nothing new: no capacity
		}
		empty := len(w.tasks) == 0 && len(w.strays) == 0
		p.VMs = append(p.VMs, pools.VM{ID: vm.ID, Cores: size, Empty: empty, Since: now - w.emptySince})
	}
}

// move orders one move. The VM is closed to new tasks before the order leaves.
func (f *fleet) move(ctx context.Context, m pools.Move) {
	o := f.claimEmpty(m)
	if o == nil {
		return
	}
	call, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	out := f.e.Machines.Move(call, m.VM, m.To, f.e.Term.Token())
	f.e.Metrics.vm("move")
	f.e.Log.Info("VM moves", "vm", m.VM, "from", m.From, "to", m.To, "outcome", int(out))
	f.e.mu.Lock()
	defer f.e.mu.Unlock()
	switch out {
	case VMDone:
		o.accepted = true
		f.e.core.WorkerGone(o.life, "VM moves", f.e.Clock.Now())
	case VMFenced:
		f.e.Term.End("the platform knows a later owner")
	case VMBusy, VMLater, VMInvalid:
		f.e.core.Cordon(o.life, "", false)
		f.mu.Lock()
		delete(f.orders, m.VM)
		f.mu.Unlock()
	}
}

// claimEmpty books the order if the VM is still empty; nil where it is not.
func (f *fleet) claimEmpty(m pools.Move) *vmOrder {
	f.e.mu.Lock()
	defer f.e.mu.Unlock()
	f.mu.Lock()
	defer f.mu.Unlock()
	vm := f.vms[m.VM]
	if f.orders[m.VM] != nil || f.reserved(m.VM) || f.e.core.Occupied(vm.Worker).Tasks > 0 {
		return nil
	}
	f.e.core.Cordon(vm.Worker, "moving", false)
	o := &vmOrder{sent: f.e.Clock.Now(), pool: m.To, life: vm.Worker}
	f.orders[m.VM] = o
	return o
}
