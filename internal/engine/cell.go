package engine

import (
	"time"

	"github.com/pumicestage/pumicestage/policy/joborder"
	"github.com/pumicestage/pumicestage/policy/work"
)

// CellReport is what the owner of the fleet hears from the owner of a cell.
type CellReport struct {
	Used     float64        `msgpack:"u"`           // cores in use
	Backlog  float64        `msgpack:"b"`           // core-seconds that wait for room and are still of use
	Leftover float64        `msgpack:"o,omitempty"` // core-seconds that wait, too late to be of use
	Arriving float64        `msgpack:"a"`           // core-seconds a second that came of late
	Short    int            `msgpack:"s"`           // VMs that lasting tasks lack, whatever is free on the others
	Workers  []WorkerReport `msgpack:"w"`
	// Spare is how many empty VMs it could use while no other cell lacks any.
	Spare int `msgpack:"p,omitempty"`
	// Serial is how many moves must follow one on the other until no lasting task is on
	// a worker whose VM a wave has yet to take.
	Serial int `msgpack:"m,omitempty"`
	// Bound is the part of the load that only workers with the label can take.
	Bound map[string]BoundLoad `msgpack:"l,omitempty"`
}

// BoundLoad is load that asks for a label.
type BoundLoad struct {
	Used     float64 `msgpack:"u"`           // cores in use
	Backlog  float64 `msgpack:"b"`           // core-seconds that wait for room and are still of use
	Leftover float64 `msgpack:"o,omitempty"` // core-seconds that wait, too late to be of use
}

// WorkerReport is one worker of a cell.
type WorkerReport struct {
	ID       work.WorkerID `msgpack:"i"`
	Tasks    int           `msgpack:"t"`
	Lasting  int           `msgpack:"l"`
	EmptyFor time.Duration `msgpack:"e"` // 0 while it has tasks
	Cordon   Cordon        `msgpack:"c"`
	Draining bool          `msgpack:"d"`
	Heard    bool          `msgpack:"h"`
}

// Cordon says that the fleet's owner keeps new tasks off a worker, and why.
type Cordon struct {
	Kind CordonKind `msgpack:"k"`
	// Token is of the owner of the fleet that set it.
	Token int64 `msgpack:"t"`
}

// CordonKind is how far a worker is closed.
type CordonKind uint8

// The kinds of cordon.
const (
	Open    CordonKind = iota
	Vacated            // no new tasks; lasting ones leave
	Claimed            // empty, and an order for its VM may be under way
	Due                // open, but its VM's maintenance is to come: lasting tasks rather go elsewhere
)

// Closes reports whether the worker takes nothing new.
func (c Cordon) Closes() bool { return c.Kind == Vacated || c.Kind == Claimed }

// CellOrderKind names what the fleet's owner asks of a cell's.
type CellOrderKind uint8

// The kinds of CellOrder.
const (
	OrderVacate CellOrderKind = iota + 1 // close it, and empty it
	OrderEvict                           // stop its short tasks as well
	OrderClaim                           // close it if it is empty; fails otherwise
	OrderOpen                            // take new tasks again
	OrderGone                            // its life is over
	OrderDue                             // its VM's maintenance is to come
)

// CellOrder is one order for one worker.
type CellOrder struct {
	Kind   CellOrderKind `msgpack:"k"`
	Worker work.WorkerID `msgpack:"w"`
}

// CellSync carries orders and asks for a report made after them.
type CellSync struct {
	Token  int64       `msgpack:"t"` // of the owner of the fleet
	Orders []CellOrder `msgpack:"o"`
	// Joined are workers that live in the cell's pool by the platform's list of VMs and
	// are missing in the cell's reports.
	Joined []work.WorkerID `msgpack:"j,omitempty"`
}

// CellAnswer answers a CellSync.
type CellAnswer struct {
	Taken  []bool     `msgpack:"t"` // whether each order was carried out
	Report CellReport `msgpack:"r"`
}

// Sync carries the fleet owner's orders out and reports. An earlier owner of
// the fleet is refused. So is everyone while a later owner of this cell can exist:
// what is empty by our books may be in use by its.
func (e *Engine) Sync(s CellSync) (CellAnswer, error) {
	now := e.Clock.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.restored || s.Token < e.fleetToken || !e.Term.Certain() {
		return CellAnswer{}, ErrNotReady
	}
	e.fleetToken = s.Token
	var a CellAnswer
	for _, o := range s.Orders {
		a.Taken = append(a.Taken, e.core.obey(o, s.Token, now))
	}
	if len(s.Orders) > 0 {
		kick(e.planKick)
	}
	if unknown := e.core.unknown(s.Joined); len(unknown) > 0 && e.Lookup != nil {
		e.Lookup(unknown)
	}
	a.Report = e.core.report(now)
	return a, nil
}

// unknown returns those of the workers that were neither seen nor are over.
func (c *Core) unknown(ids []work.WorkerID) []work.WorkerID {
	var out []work.WorkerID
	for _, id := range ids {
		if c.workers[id] == nil && len(c.over[id]) == 0 {
			out = append(out, id)
		}
	}
	return out
}

func (c *Core) obey(o CellOrder, token int64, now time.Duration) bool {
	w := c.workers[o.Worker]
	if w == nil {
		return o.Kind == OrderGone || o.Kind == OrderOpen
	}
	switch o.Kind {
	case OrderVacate:
		c.setCordon(w, Cordon{Kind: Vacated, Token: token})
	case OrderEvict:
		c.evict(w)
	case OrderClaim:
		// An owner that has just taken over knows a worker before it knows
		// what runs there. And ends that are not stored are known to the worker
		// alone beside us: were its life to end, a successor would have done work
		// done again.
		if !w.contacted || w.missedPolls > 0 || len(w.tasks)+len(w.orphanedRuns) > 0 || w.stored < w.seen {
			return false
		}
		c.setCordon(w, Cordon{Kind: Claimed, Token: token})
	case OrderOpen:
		c.setCordon(w, Cordon{})
	case OrderDue:
		c.setCordon(w, Cordon{Kind: Due, Token: token})
	case OrderGone:
		c.endIncarnation(w, "its VM is taken away", lossPlanned, now)
	}
	return true
}

func (c *Core) setCordon(w *worker, to Cordon) {
	if w.cordon == to {
		return
	}
	w.cordon = to
	c.log.Info("cordon", "worker", w.info.ID, "kind", int(to.Kind), "tasks", len(w.tasks))
}

// evict stops everything on the worker but lasting tasks, which leave as their
// steps' limits allow.
func (c *Core) evict(w *worker) {
	for _, t := range w.tasks {
		if t.state == taskActive && !t.step.spec.LongRunning {
			c.log.Info("run evicted", "task", t.ref.String(), "run", t.run, "worker", w.info.ID, "percent", t.percent)
			t.step.set(t, taskStopping)
		}
	}
}

func (c *Core) report(now time.Duration) CellReport {
	r := CellReport{Arriving: c.arrivalRate(now), Short: c.short(now), Spare: c.vmsForTrials(now), Serial: c.serialMoves(), Bound: make(map[string]BoundLoad)}
	for _, w := range c.workers {
		r.addWorker(w, now)
	}
	most := c.mostCapacity()
	settled := c.settled(now)
	for _, j := range c.open {
		// What may not start yet waits for workers that are not heard, not for room. A pool
		// with a backlog keeps its VMs: 18 idle ones stood beside a burst for five seconds.
		if j.restored && !settled {
			continue
		}
		for _, o := range j.live {
			for _, s := range o.steps {
				// What fits on no VM would draw VMs for ever.
				if n := s.pending - s.suspects(); n > 0 && s.ready() && s.reserved().Fits(most) && !c.waitsForLimit(s) {
					r.addWaiting(s, o.tier, float64(n)*c.waitsFor(s, now).Seconds()*s.spec.Size.Cores())
				}
			}
		}
	}
	return r
}

func (r *CellReport) addWorker(w *worker, now time.Duration) {
	wr := WorkerReport{
		ID: w.info.ID, Tasks: len(w.tasks) + len(w.orphanedRuns), Lasting: w.load.longRunning, Cordon: w.cordon, Draining: w.info.Draining, Heard: w.contacted,
	}
	if wr.Tasks == 0 {
		wr.EmptyFor = now - w.emptySince
	}
	for _, t := range w.tasks {
		if label := t.step.spec.Requires; label != "" {
			b := r.Bound[label]
			b.Used += t.reserved().Cores()
			r.Bound[label] = b
		}
	}
	r.Used += w.load.reserved.Cores()
	r.Workers = append(r.Workers, wr)
}

func (r *CellReport) addWaiting(s *step, tier joborder.Tier, coreSeconds float64) {
	useful, leftover := coreSeconds, 0.0
	if tier == joborder.TierExpired {
		useful, leftover = 0, coreSeconds
	}
	r.Backlog += useful
	r.Leftover += leftover
	if label := s.spec.Requires; label != "" {
		b := r.Bound[label]
		b.Backlog += useful
		b.Leftover += leftover
		r.Bound[label] = b
	}
}

// Waits reports whether anything waits for room.
func (r *CellReport) Waits() bool { return r.Backlog > 0 || r.Leftover > 0 }

// mostCapacity is, for each kind of resource by itself, the most that any VM known
// to the cell has.
func (c *Core) mostCapacity() work.Resources {
	most := c.largestVM
	for _, w := range c.workers {
		most = most.Max(w.info.Capacity)
	}
	return most
}

// shortAfter is how long a lasting task waits before it counts as one that finds
// no place: a plan comes within some milliseconds.
const shortAfter = 200 * time.Millisecond

// short is how many more VMs the lasting tasks need. Cores that are free don't
// tell: a step's limit of tasks on one VM asks for different VMs, and a task that
// is to leave a VM for maintenance needs a place before it may.
func (c *Core) short(now time.Duration) int {
	need := 0
	for _, j := range c.open {
		if !j.LongRunning() || now < j.accepted+shortAfter {
			continue
		}
		for _, o := range j.live {
			for _, s := range o.steps {
				need = max(need, s.unplaced(now))
			}
		}
	}
	return need + c.stuckVMs(now)
}

// unplaced is how many VMs the step's waiting tasks need if none has room.
func (s *step) unplaced(now time.Duration) int {
	if !s.spec.LongRunning || s.pending == 0 || !s.ready() {
		return 0
	}
	waiting := 0
	for _, t := range s.tasks {
		if t.state == taskPending && now >= t.notBefore+shortAfter {
			waiting++
		}
	}
	each := max(1, s.spec.AntiAffinity)
	return (waiting + each - 1) / each
}

// serialMoves is the longest row of moves that a wave asks of one step: as many of its
// tasks as its limit allows move at a time.
func (c *Core) serialMoves() int {
	most := 0
	for _, j := range c.open {
		if !j.LongRunning() {
			continue
		}
		for _, o := range j.live {
			for _, s := range o.steps {
				most = max(most, s.serialMoves())
			}
		}
	}
	return most
}

func (s *step) serialMoves() int {
	if !s.spec.LongRunning {
		return 0
	}
	n := 0
	for _, t := range s.tasks {
		if t.where != nil && (t.where.cordon.Kind == Due || t.where.cordon.Kind == Vacated) {
			n++
		}
	}
	each := max(1, s.spec.MaxUnavailable)
	return (n + each - 1) / each
}

// stuckVMs is how many VMs would let the VMs that are to be emptied go on: as many as
// one step may have tasks on the move at a time. With one at a time a wave over a
// large pool is late, as each takes seconds to come. Steps share what comes.
func (c *Core) stuckVMs(now time.Duration) int {
	need := 0
	for _, j := range c.open {
		if !j.LongRunning() {
			continue
		}
		for _, o := range j.live {
			for _, s := range o.steps {
				need = max(need, min(c.stuckTasks(s, now), max(1, s.spec.MaxUnavailable)))
			}
		}
	}
	return need
}

// stuckTasks counts the step's lasting tasks that are to leave their VMs and have no
// place to go.
func (c *Core) stuckTasks(s *step, now time.Duration) int {
	n := 0
	for _, t := range s.tasks {
		if !s.spec.LongRunning || t.state != taskActive || t.where.cordon.Kind != Vacated {
			continue
		}
		if n == 0 && c.hasPlace(t, now) {
			return 0
		}
		n++
	}
	return n
}
