package wave

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/pumicestage/pumicestage/policy/budget"
	"github.com/pumicestage/pumicestage/policy/model"
)

// assumedStop is how long a VM is out while no VM of the wave has shown it.
const assumedStop = 5 * time.Minute

// planner holds the counts that one plan is made from.
type planner struct {
	s        Snapshot
	order    map[model.PoolName]int
	left     []*VM
	failed   []model.VMID
	progress Progress
	took     []time.Duration // of the VMs done
	tallies  map[model.ServiceName]*Tally
	byPool   map[model.PoolName][]*Tally
}

func newPlanner(s Snapshot) *planner {
	p := &planner{s: s, order: make(map[model.PoolName]int)}
	for i, pool := range s.Wave.Pools {
		p.order[pool] = i
	}
	for i := range s.VMs {
		p.sort(&s.VMs[i])
	}
	return p
}

// holderPrefix begins VM.Holder while a wave holds the VM.
const holderPrefix = "wave "

// Holder is what VM.Holder says while the wave holds a VM.
func Holder(w model.WaveName) string { return holderPrefix + string(w) }

// NameOf returns the wave that a VM.Holder names.
func NameOf(holder string) model.WaveName {
	return model.WaveName(strings.TrimPrefix(holder, holderPrefix))
}

// HeldByWave reports whether a wave, not an order, holds the VM.
func HeldByWave(holder string) bool { return strings.HasPrefix(holder, holderPrefix) }

// sort puts a VM of the wave where it belongs by its progress.
func (p *planner) sort(v *VM) {
	if _, ok := p.order[v.Pool]; !ok {
		return
	}
	p.progress.Total++
	switch {
	case v.Holder == Holder(p.s.Wave.Name):
		p.progress.Out++
		p.sortOut(v)
	case v.Run == p.s.Run && v.Wave == p.s.Wave.Name:
		p.sortDone(v)
	default:
		p.left = append(p.left, v)
		p.progress.Remaining++
		if v.Postponed.After(time.Time{}) {
			p.progress.Postponed++
		}
	}
}

func (p *planner) sortOut(v *VM) {
	rebooted := v.ProofBoots > 0
	limit := ReturnTimeout + p.s.Wave.Probation
	if rebooted && p.s.Now.Sub(v.Since) > limit {
		p.fail(v)
	}
}

// sortDone counts a VM that came back and then went down as a failure of the
// wave: a bad image may fail only under load.
func (p *planner) sortDone(v *VM) {
	p.progress.Done++
	p.took = append(p.took, v.Took)
	if v.Health == model.HealthDown && p.s.Now.Sub(v.Since) < ReturnTimeout {
		p.fail(v)
	}
}

func (p *planner) fail(v *VM) {
	if v.Since.Before(p.s.Resumed) {
		return
	}
	p.progress.Failed++
	p.failed = append(p.failed, v.ID)
}

// maxFailures is how many failures pause the wave. One is enough among the
// canaries, which are there to show it before others go.
func (p *planner) maxFailures() int {
	if p.progress.Done < p.s.Wave.Canary {
		return 1
	}
	if p.s.Wave.MaxFailures > 0 {
		return p.s.Wave.MaxFailures
	}
	return DefaultMaxFailures
}

func (p *planner) failureReason() string {
	names := make([]string, len(p.failed))
	for i, id := range p.failed {
		names[i] = string(id)
	}
	sort.Strings(names)
	return fmt.Sprintf("%d VMs failed after the wave rebooted them: %s", len(names), strings.Join(names, ", "))
}

// meanStop is how long a VM is out, as the wave's finished VMs show.
func (p *planner) meanStop() time.Duration {
	if len(p.took) == 0 {
		return assumedStop
	}
	return mean(p.took)
}

// choose picks the VMs to take out now: canaries alone first, then as many as
// the window and all budgets concerned allow.
func (p *planner) choose() ([]model.VMID, string) {
	if p.progress.Done < p.s.Wave.Canary {
		room := p.s.Wave.Canary - p.progress.Done - p.progress.Out
		if room <= 0 {
			return nil, "waits for the canary VMs"
		}
		return p.pick(room)
	}
	room := p.window() - p.progress.Out
	if room <= 0 {
		return nil, fmt.Sprintf("%d VMs are out, as many as the wave takes at once", p.progress.Out)
	}
	return p.pick(room)
}

func (p *planner) pick(room int) ([]model.VMID, string) {
	p.count()
	p.arrange()
	var stops []model.VMID
	var reason string
	for _, v := range p.left {
		if len(stops) == room {
			return stops, ""
		}
		if why := p.refuse(v); why != "" {
			if reason == "" {
				reason = why
			}
			continue
		}
		for _, t := range p.byPool[v.Pool] {
			t.MarkTakenOut(memberOf(v))
		}
		stops = append(stops, v.ID)
	}
	return stops, reason
}

// refuse says why v can't be taken out now, or nothing.
func (p *planner) refuse(v *VM) string {
	if v.Holder != "" {
		return fmt.Sprintf("VM %s is held by %s", v.ID, v.Holder)
	}
	if !v.Up {
		return fmt.Sprintf("VM %s is not certainly healthy", v.ID)
	}
	if until := v.Postponed.Add(Grace(&p.s.Wave)); !v.Postponed.IsZero() && p.s.Now.Before(until) {
		return fmt.Sprintf("VM %s was postponed until %s", v.ID, until.UTC().Format(time.RFC3339))
	}
	for _, t := range p.byPool[v.Pool] {
		if why := t.RefusalReason(memberOf(v)); why != "" {
			return why
		}
	}
	return ""
}

// arrange sorts what is left: postponed VMs last; pools with more VMs left
// first, so that no pool is still at work when all others are done, and by the
// wave's order where they have as many; then zone by zone and rack by rack, so
// that stops stay within one domain. The canaries come from the first pool.
func (p *planner) arrange() {
	leftIn := make(map[model.PoolName]int)
	for _, v := range p.left {
		leftIn[v.Pool]++
	}
	canary := p.progress.Done < p.s.Wave.Canary
	sort.SliceStable(p.left, func(i, j int) bool {
		a, b := p.left[i], p.left[j]
		switch {
		case !a.Postponed.Equal(b.Postponed):
			return a.Postponed.Before(b.Postponed)
		case !canary && leftIn[a.Pool] != leftIn[b.Pool]:
			return leftIn[a.Pool] > leftIn[b.Pool]
		case p.order[a.Pool] != p.order[b.Pool]:
			return p.order[a.Pool] < p.order[b.Pool]
		case a.Zone != b.Zone:
			return a.Zone < b.Zone
		case a.Rack != b.Rack:
			return a.Rack < b.Rack
		}
		return a.ID < b.ID
	})
}

// count tallies every service that has targets in a pool of the wave.
func (p *planner) count() {
	services := make(map[model.PoolName][]*model.Service)
	concerned := make(map[model.ServiceName]bool)
	for i := range p.s.Declaration.Services {
		svc := &p.s.Declaration.Services[i]
		for _, pool := range svc.Pools {
			services[pool] = append(services[pool], svc)
			if _, ok := p.order[pool]; ok {
				concerned[svc.Name] = true
			}
		}
	}
	members := make(map[model.ServiceName][]budget.Member)
	held := make(map[model.ServiceName][]budget.Member)
	for i := range p.s.VMs {
		v := &p.s.VMs[i]
		for _, svc := range services[v.Pool] {
			if !concerned[svc.Name] {
				continue
			}
			members[svc.Name] = append(members[svc.Name], memberOf(v))
			if HeldByWave(v.Holder) {
				held[svc.Name] = append(held[svc.Name], memberOf(v))
			}
		}
	}
	p.byPool = make(map[model.PoolName][]*Tally)
	for pool, list := range services {
		for _, svc := range list {
			if !concerned[svc.Name] {
				continue
			}
			p.byPool[pool] = append(p.byPool[pool], p.tallyOf(svc, members[svc.Name], held[svc.Name]))
		}
	}
}

func (p *planner) tallyOf(svc *model.Service, members, held []budget.Member) *Tally {
	if p.tallies == nil {
		p.tallies = make(map[model.ServiceName]*Tally)
	}
	if t, ok := p.tallies[svc.Name]; ok {
		return t
	}
	t := NewTally(budget.Count(svc, members), held, p.s.weights())
	p.tallies[svc.Name] = t
	return t
}
