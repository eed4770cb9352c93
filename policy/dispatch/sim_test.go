package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/routing"
	"github.com/pumicestage/pumicestage/policy/slots"
)

// A discrete-event simulation of entry VMs with Dispatchers, targets with slots,
// links with delays, and digests between the entry VMs. All random numbers derive
// from one seed.

const (
	sameZoneLatency  = 100 * time.Microsecond
	crossZoneLatency = 1500 * time.Microsecond
	digestInterval   = 250 * time.Millisecond
	tickInterval     = 50 * time.Millisecond
	meanService      = 100 * time.Millisecond
	settleTime       = 5 * time.Second
)

// scenario describes one run of the simulation.
type scenario struct {
	seed      uint64
	entries   int // spread over four zones
	targets   int // spread over four zones
	span      time.Duration
	callers   []simCaller
	service   func(*rand.Rand) time.Duration
	pick      func() func(routing.Choice) int // nil for routing.Pick
	noDigests bool                            // entry VMs receive no digests
	limit     int                             // the service's declared limit; 0 for none
	entryOf   func(*rand.Rand) int            // chooses the entry VM of a request; nil for a uniform choice
	refuses   bool                            // targets refuse requests beyond their slots
	noLoans   bool                            // each entry VM keeps to its own share
	// optimistic lets each entry VM use every slot that its peers' digests show
	// as free.
	optimistic bool
	// split has each half of the entry VMs assume that the other half is gone.
	split    bool
	faults   []simFault
	answered func(at time.Duration, vm int) // called for each useful answer
}

// simCaller sends requests at a rate.
type simCaller struct {
	name    string
	class   model.Class
	rate    float64 // requests a second, over all entry VMs
	timeout time.Duration
	burst   int           // requests at once at each arrival; 0 for 1
	service time.Duration // fixed service time; 0 for the scenario's
}

// simFault changes a target at a given time.
type simFault struct {
	at     time.Duration
	target int
	change func(*simTarget)
}

type sim struct {
	scenario
	now      time.Time
	start    time.Time
	seq      int
	events   eventHeap
	rand     *rand.Rand
	entryVMs []*simEntry
	vms      []*simTarget
	byID     map[model.VMID]*simTarget
	results  *simResult
}

type simEntry struct {
	id      model.EntryID
	zone    model.ZoneName
	d       *Dispatcher
	digests map[model.EntryID]simDigest

	noLoans bool
}

type simDigest struct {
	at    time.Time
	loads map[model.VMID]TargetState
	msg   slots.Message
}

type simTarget struct {
	vm      VM
	running int
	granted int // by all entry VMs, including requests still on the way
	slow    float64
	refuses bool
	down    bool
	fails   bool
}

type simRequest struct {
	caller   *simCaller
	stats    *simStats
	entry    *simEntry
	arrived  time.Time
	work     time.Duration
	attempts int
	ticket   *Ticket
	done     bool
}

func zoneName(i int) model.ZoneName { return model.ZoneName(fmt.Sprintf("z%d", i)) }

func run(sc scenario) *simResult {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &sim{scenario: sc, now: start, start: start, rand: rand.New(rand.NewPCG(sc.seed, 1)),
		byID: map[model.VMID]*simTarget{}, results: &simResult{callers: map[string]*simStats{}}}
	s.build()
	s.load()
	// Arrivals stop at the end of the span; requests in progress may still complete.
	end := start.Add(sc.span + settleTime)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at.After(end) {
			break
		}
		s.now = e.at
		e.do()
	}
	return s.results
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, do})
}

func (s *sim) build() {
	fleet := Fleet{Services: []model.Service{{Name: "svc", Pools: []model.PoolName{"p"}, Slots: 8, Limit: s.limit}}}
	for i := range s.targets {
		vm := VM{ID: model.VMID(fmt.Sprintf("v%d", i)), Zone: zoneName(i % 4), Pool: "p", Serving: true}
		t := &simTarget{vm: vm, slow: 1, refuses: s.refuses}
		s.vms = append(s.vms, t)
		s.byID[vm.ID] = t
		fleet.VMs = append(fleet.VMs, vm)
	}
	for i := range s.entries {
		fleet.Entries = append(fleet.Entries, slots.Entry{ID: model.EntryID(fmt.Sprintf("e%d", i)), Zone: zoneName(i % 4)})
	}
	for i, e := range fleet.Entries {
		se := &simEntry{id: e.ID, zone: e.Zone, digests: map[model.EntryID]simDigest{}, noLoans: s.noLoans}
		cfg := Config{Self: e.ID, Zone: e.Zone, Peers: se, Rand: rand.New(rand.NewPCG(s.seed, uint64(10+i))).IntN}
		if s.pick != nil {
			cfg.Pick = s.pick()
		}
		se.d = New(cfg)
		known := fleet
		if s.split {
			known.Entries = slices.DeleteFunc(slices.Clone(fleet.Entries), func(o slots.Entry) bool {
				return slices.Index(fleet.Entries, o)%2 != i%2
			})
		}
		if s.optimistic {
			known.Entries = nil // with no others known, its share is all slots
		}
		se.d.Update(known, s.now)
		s.entryVMs = append(s.entryVMs, se)
		s.after(time.Duration(i)*tickInterval/8, func() { s.tick(se) })
		if !s.noDigests {
			s.after(time.Duration(i)*digestInterval/8, func() { s.digest(se, 0) })
		}
	}
	for _, f := range s.faults {
		s.after(f.at, func() { f.change(s.vms[f.target]) })
	}
}

func (s *sim) tick(e *simEntry) {
	e.d.Tick(s.now)
	s.deliver(e)
	s.after(tickInterval, func() { s.tick(e) })
}

// load schedules the arrivals of all callers.
func (s *sim) load() {
	for i := range s.callers {
		c := &s.callers[i]
		if s.results.callers[c.name] == nil {
			s.results.callers[c.name] = &simStats{}
		}
		s.arrivals(c)
	}
}

func (s *sim) arrivals(c *simCaller) {
	if s.now.Sub(s.start) >= s.span {
		return
	}
	gap := time.Duration(s.rand.ExpFloat64() / c.rate * float64(time.Second) * float64(max(c.burst, 1)))
	s.after(gap, func() {
		for range max(c.burst, 1) {
			s.arrive(c)
		}
		s.arrivals(c)
	})
}

func (s *sim) arrive(c *simCaller) {
	e := s.entryVMs[s.rand.IntN(len(s.entryVMs))]
	if s.entryOf != nil {
		e = s.entryVMs[s.entryOf(s.rand)]
	}
	work := c.service
	if work == 0 {
		work = s.service(s.rand)
	}
	r := &simRequest{caller: c, stats: s.results.callers[c.name], entry: e, arrived: s.now, work: work}
	r.stats.submitted++
	s.results.submitted++
	s.after(c.timeout, func() { s.deadline(r) })
	s.submit(r, "")
}

func (s *sim) submit(r *simRequest, avoid model.VMID) {
	ticket, refusal := r.entry.d.Submit(Request{
		Service: "svc", Caller: r.caller.name, Class: r.caller.class, Arrived: r.arrived,
		Deadline: r.arrived.Add(r.caller.timeout), Avoid: avoid, Data: r,
	}, s.now)
	if refusal != nil {
		s.reject(r)
		return
	}
	r.ticket = ticket
	s.deliver(r.entry)
}

func (s *sim) reject(r *simRequest) {
	if !r.done {
		r.done = true
		r.stats.rejected++
		r.stats.rejectionDelays = append(r.stats.rejectionDelays, s.now.Sub(r.arrived))
	}
}

func (s *sim) deadline(r *simRequest) {
	if r.done {
		return
	}
	r.done = true
	r.stats.late++
	if r.ticket != nil {
		r.entry.d.Cancel(r.ticket)
	}
}

func (s *sim) deliver(e *simEntry) {
	for _, g := range e.d.Grants() {
		r := g.Ticket.Request.Data.(*simRequest)
		r.ticket = g.Ticket
		if g.Refusal != nil {
			s.reject(r)
			continue
		}
		s.send(r, s.byID[g.VM])
	}
}

// oneWayLatency returns how long a message takes from e to t, or back.
func (s *sim) oneWayLatency(e *simEntry, t *simTarget) time.Duration {
	if e.zone == t.vm.Zone {
		return sameZoneLatency
	}
	return crossZoneLatency
}

func (s *sim) send(r *simRequest, t *simTarget) {
	r.attempts++
	if r.attempts > 1 {
		s.results.retries++
	}
	t.granted++
	s.results.peakGranted = max(s.results.peakGranted, t.granted)
	sent := s.now
	s.after(s.oneWayLatency(r.entry, t), func() { s.reach(r, t, sent) })
}

func (s *sim) reach(r *simRequest, t *simTarget, sent time.Time) {
	back := s.oneWayLatency(r.entry, t)
	switch {
	case t.down:
		s.after(back, func() { s.notRun(r, t, NotSent) })
		return
	case t.refuses && t.running >= 8:
		s.results.refused++
		s.after(back, func() { s.notRun(r, t, Refused) })
		return
	}
	t.running++
	s.results.peakRunning = max(s.results.peakRunning, t.running)
	work := time.Duration(float64(r.work) * t.slow)
	if t.fails {
		work = time.Millisecond
	}
	failed := t.fails
	s.after(work, func() {
		t.running--
		s.after(back, func() { s.answer(r, t, sent, failed) })
	})
}

func (s *sim) answer(r *simRequest, t *simTarget, sent time.Time, failed bool) {
	held := s.now.Sub(sent)
	u := Outcome{Kind: Answered, ResponseLatency: held, SlotTime: held}
	if failed {
		u.Kind = Errored
	}
	t.granted--
	r.entry.d.Done(r.ticket, u, s.now)
	if !r.done {
		r.done = true
		s.count(r, t, failed)
	}
	s.deliver(r.entry)
}

func (s *sim) count(r *simRequest, t *simTarget, failed bool) {
	if failed {
		r.stats.failed++
		return
	}
	r.stats.useful++
	if s.now.Sub(s.start) < s.span {
		s.results.inSpan++
		r.stats.inSpan++
	}
	r.stats.latencies = append(r.stats.latencies, s.now.Sub(r.arrived))
	if s.answered != nil {
		s.answered(s.now.Sub(s.start), slices.Index(s.vms, t))
	}
}

func (s *sim) notRun(r *simRequest, t *simTarget, kind OutcomeKind) {
	t.granted--
	r.entry.d.Done(r.ticket, Outcome{Kind: kind}, s.now)
	if !r.done && r.entry.d.Retry(r.ticket, r.attempts, true, s.now) == 1 {
		s.submit(r, t.vm.ID)
	} else if !r.done {
		r.done = true
		r.stats.failed++
	}
	s.deliver(r.entry)
}
