package wave

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/pumicestage/pumicestage/policy/budget"
	"github.com/pumicestage/pumicestage/policy/model"
)

// defaultStopDuration is the assumed time for which a VM is out, used until a VM
// of the wave has finished.
const defaultStopDuration = 5 * time.Minute

// planner holds the intermediate state of one MakePlan call.
type planner struct {
	s             Snapshot
	poolOrder     map[model.PoolName]int // index of each pool in the wave's declared order
	remaining     []*VM
	failed        []model.VMID
	progress      Progress
	stopDurations []time.Duration // how long each finished VM was out
	tallies       map[model.ServiceName]*Tally
	talliesByPool map[model.PoolName][]*Tally
}

func newPlanner(s Snapshot) *planner {
	p := &planner{s: s, poolOrder: make(map[model.PoolName]int)}
	for i, pool := range s.Wave.Pools {
		p.poolOrder[pool] = i
	}
	for i := range s.VMs {
		p.classify(&s.VMs[i])
	}
	return p
}

// holderPrefix is the prefix of VM.Holder while a wave holds the VM.
const holderPrefix = "wave "

// Holder returns the value of VM.Holder while the wave holds the VM.
func Holder(w model.WaveName) string { return holderPrefix + string(w) }

// NameOf returns the name of the wave in a VM.Holder that Holder returned.
func NameOf(holder string) model.WaveName {
	return model.WaveName(strings.TrimPrefix(holder, holderPrefix))
}

// HeldByWave reports whether holder, the value of a VM.Holder, says that a wave
// has claimed the VM for maintenance. It is false if an operator's order has
// claimed the VM, and if nothing has.
func HeldByWave(holder string) bool { return strings.HasPrefix(holder, holderPrefix) }

// classify counts a VM as out, done or remaining. It ignores VMs whose pool
// isn't part of the wave.
func (p *planner) classify(v *VM) {
	if _, ok := p.poolOrder[v.Pool]; !ok {
		return
	}
	p.progress.Total++
	switch {
	case v.Holder == Holder(p.s.Wave.Name):
		p.progress.Out++
		p.classifyOut(v)
	case v.Run == p.s.Run && v.Wave == p.s.Wave.Name:
		p.classifyDone(v)
	default:
		p.remaining = append(p.remaining, v)
		p.progress.Remaining++
		if v.Postponed.After(time.Time{}) {
			p.progress.Postponed++
		}
	}
}

// classifyOut counts a rebooted VM that hasn't returned to service in time as a
// failure of the wave.
func (p *planner) classifyOut(v *VM) {
	rebooted := v.ProofBoots > 0
	limit := ReturnTimeout + p.s.Wave.Probation
	if rebooted && p.s.Now.Sub(v.Since) > limit {
		p.recordFailure(v)
	}
}

// classifyDone counts a finished VM that went down soon after its return as a
// failure of the wave, since a bad image may fail only under load.
func (p *planner) classifyDone(v *VM) {
	p.progress.Done++
	p.stopDurations = append(p.stopDurations, v.Took)
	if v.Health == model.HealthDown && p.s.Now.Sub(v.Since) < ReturnTimeout {
		p.recordFailure(v)
	}
}

// recordFailure counts a failed VM, unless it failed before an operator last
// resumed the wave.
func (p *planner) recordFailure(v *VM) {
	if v.Since.Before(p.s.Resumed) {
		return
	}
	p.progress.Failed++
	p.failed = append(p.failed, v.ID)
}

// maxFailures returns the number of failures that pauses the wave. It is 1 until
// all canaries are done: they are maintained first in order to reveal a failure
// before other VMs are affected.
func (p *planner) maxFailures() int {
	if p.progress.Done < p.s.Wave.Canary {
		return 1
	}
	if p.s.Wave.MaxFailures > 0 {
		return p.s.Wave.MaxFailures
	}
	return DefaultMaxFailures
}

// failureReason returns why the wave is paused, with the IDs of the failed VMs.
func (p *planner) failureReason() string {
	names := make([]string, len(p.failed))
	for i, id := range p.failed {
		names[i] = string(id)
	}
	sort.Strings(names)
	return fmt.Sprintf("%d VMs failed after the wave rebooted them: %s", len(names), strings.Join(names, ", "))
}

// meanStopDuration returns the mean time for which the finished VMs of the wave
// were out, or defaultStopDuration if none has finished.
func (p *planner) meanStopDuration() time.Duration {
	if len(p.stopDurations) == 0 {
		return defaultStopDuration
	}
	return mean(p.stopDurations)
}

// selectStops returns the VMs to take out now: only canaries first, then as many
// VMs as the window and the budgets of all affected services allow. If it returns
// fewer than the window allows, it also returns the reason.
func (p *planner) selectStops() ([]model.VMID, string) {
	if p.progress.Done < p.s.Wave.Canary {
		free := p.s.Wave.Canary - p.progress.Done - p.progress.Out
		if free <= 0 {
			return nil, "waits for the canary VMs"
		}
		return p.selectUpTo(free)
	}
	free := p.window() - p.progress.Out
	if free <= 0 {
		return nil, fmt.Sprintf("%d VMs are out, as many as the wave takes at once", p.progress.Out)
	}
	return p.selectUpTo(free)
}

// selectUpTo returns at most limit VMs that may be taken out now. If it returns
// fewer, it also returns why the first refused one was refused.
func (p *planner) selectUpTo(limit int) ([]model.VMID, string) {
	p.countServices()
	p.sortRemaining()
	var stops []model.VMID
	var reason string
	for _, v := range p.remaining {
		if len(stops) == limit {
			break
		}
		if refusal := p.refusalReason(v); refusal != "" {
			if reason == "" {
				reason = refusal
			}
			continue
		}
		for _, t := range p.talliesByPool[v.Pool] {
			t.MarkTakenOut(memberOf(v))
		}
		stops = append(stops, v.ID)
	}
	if len(stops) == limit {
		return stops, ""
	}
	return stops, reason
}

// refusalReason returns why v can't be taken out now, or an empty string if it
// can.
func (p *planner) refusalReason(v *VM) string {
	if v.Holder != "" {
		return fmt.Sprintf("VM %s is held by %s", v.ID, v.Holder)
	}
	if !v.Up {
		return fmt.Sprintf("VM %s is not certainly healthy", v.ID)
	}
	if until := v.Postponed.Add(Grace(&p.s.Wave)); !v.Postponed.IsZero() && p.s.Now.Before(until) {
		return fmt.Sprintf("VM %s was postponed until %s", v.ID, until.UTC().Format(time.RFC3339))
	}
	for _, t := range p.talliesByPool[v.Pool] {
		if refusal := t.RefusalReason(memberOf(v)); refusal != "" {
			return refusal
		}
	}
	return ""
}

// sortRemaining sorts the remaining VMs into the order in which they are taken
// out. Postponed VMs come last. Pools with more remaining VMs come first, so that
// all pools finish at about the same time; pools with equally many follow the
// wave's order. Within a pool VMs are sorted by zone and rack, so that concurrent
// stops stay within one failure domain. Canaries are taken by the wave's order of
// pools alone, so that they come from the first pool.
func (p *planner) sortRemaining() {
	remainingIn := make(map[model.PoolName]int)
	for _, v := range p.remaining {
		remainingIn[v.Pool]++
	}
	canary := p.progress.Done < p.s.Wave.Canary
	sort.SliceStable(p.remaining, func(i, j int) bool {
		a, b := p.remaining[i], p.remaining[j]
		switch {
		case !a.Postponed.Equal(b.Postponed):
			return a.Postponed.Before(b.Postponed)
		case !canary && remainingIn[a.Pool] != remainingIn[b.Pool]:
			return remainingIn[a.Pool] > remainingIn[b.Pool]
		case p.poolOrder[a.Pool] != p.poolOrder[b.Pool]:
			return p.poolOrder[a.Pool] < p.poolOrder[b.Pool]
		case a.Zone != b.Zone:
			return a.Zone < b.Zone
		case a.Rack != b.Rack:
			return a.Rack < b.Rack
		}
		return a.ID < b.ID
	})
}

// countServices counts the VMs of every service that has targets in a pool of
// the wave, and assigns the tallies to the pools.
func (p *planner) countServices() {
	services := make(map[model.PoolName][]*model.Service)
	affected := make(map[model.ServiceName]bool)
	for i := range p.s.Declaration.Services {
		svc := &p.s.Declaration.Services[i]
		for _, pool := range svc.Pools {
			services[pool] = append(services[pool], svc)
			if _, ok := p.poolOrder[pool]; ok {
				affected[svc.Name] = true
			}
		}
	}
	members := make(map[model.ServiceName][]budget.Member)
	held := make(map[model.ServiceName][]budget.Member)
	for i := range p.s.VMs {
		v := &p.s.VMs[i]
		for _, svc := range services[v.Pool] {
			if !affected[svc.Name] {
				continue
			}
			members[svc.Name] = append(members[svc.Name], memberOf(v))
			if HeldByWave(v.Holder) {
				held[svc.Name] = append(held[svc.Name], memberOf(v))
			}
		}
	}
	p.talliesByPool = make(map[model.PoolName][]*Tally)
	for pool, list := range services {
		for _, svc := range list {
			if !affected[svc.Name] {
				continue
			}
			p.talliesByPool[pool] = append(p.talliesByPool[pool], p.tallyOf(svc, members[svc.Name], held[svc.Name]))
		}
	}
}

// tallyOf returns the tally of svc, which all pools of the service share.
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
