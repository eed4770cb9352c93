package fleet

import (
	"context"
	"maps"
	"slices"
	"sort"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/budget"
	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/wave"
)

// unknownAge is the age reported for a view or list that was never received.
const unknownAge = 24 * time.Hour

// pass is the evidence that one pass of the reconciler, or one order, is based on:
// a view of the fleet and the platform's list of VMs.
type pass struct {
	f        *Fleet
	now      time.Time
	snap     *view.Snapshot
	list     infra.MachineList
	machines map[model.VMID]infra.Machine
	byPool   map[model.PoolName][]model.VMID // sorted
	services map[model.PoolName][]*model.Service
}

// newPass returns a pass on the newest view and the newest list of VMs received.
func (f *Fleet) newPass() *pass {
	p := &pass{
		f:        f,
		now:      f.clock.Now(),
		snap:     f.view.Load(),
		list:     f.lastList(),
		machines: make(map[model.VMID]infra.Machine),
	}
	for _, m := range p.list.Machines {
		p.machines[m.VM] = m
	}
	p.indexVMs()
	return p
}

func (f *Fleet) lastList() infra.MachineList {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.machineList
}

// passesPerListFetch is the number of passes that share one fetch of the
// platform's list of VMs. The list lags by seconds anyway, and at 3,600 VMs it is
// the largest answer of the platform.
const passesPerListFetch = 2

// refreshList fetches the platform's list of VMs unless the last fetch is more
// recent than every. If the fetch fails, the old list is kept and ages.
func (f *Fleet) refreshList(ctx context.Context, every time.Duration) error {
	f.mu.Lock()
	recent := !f.machineListFetched.IsZero() && f.clock.Since(f.machineListFetched) < every
	f.mu.Unlock()
	if recent {
		return nil
	}
	list, err := f.machines.List(ctx)
	if err != nil {
		return wrapError("list", err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machineListFetched = f.clock.Now()
	if !list.AsOf.Before(f.machineList.AsOf) {
		f.machineList = list
	}
	return nil
}

// The ages are relative to the current time and not to the start of the pass: a
// process that was paused during a pass must see that its evidence has aged.
func (p *pass) viewAge() time.Duration { return age(p.f.clock.Now(), p.snap.AsOf) }
func (p *pass) listAge() time.Duration { return age(p.f.clock.Now(), p.list.AsOf) }

func age(now, then time.Time) time.Duration {
	if then.IsZero() {
		return unknownAge
	}
	return max(0, now.Sub(then))
}

// staleEvidence returns why no stop may start on this evidence; empty if one may.
func (p *pass) staleEvidence() string {
	if p.viewAge() > wave.MaxViewAge {
		return "the view of the fleet is too old"
	}
	if p.listAge() > wave.MaxListAge {
		return "the platform's list of VMs is too old"
	}
	return ""
}

func (p *pass) evidence(id model.VMID, stopped bool) budget.Evidence {
	m, ok := p.machines[id]
	listed := ok && m.Live && !m.Leaving && p.listAge() <= wave.MaxListAge
	return budget.Evidence{Listed: listed, Health: p.f.health(id), Stopped: stopped}
}

// servicesOf returns the services that the pool belongs to, in the order of the
// declaration.
func (p *pass) servicesOf(pool model.PoolName) []*model.Service {
	if p.services == nil {
		p.indexServices()
	}
	return p.services[pool]
}

func (p *pass) indexServices() {
	p.services = make(map[model.PoolName][]*model.Service)
	for i := range p.snap.Declaration.Services {
		s := &p.snap.Declaration.Services[i]
		for _, pool := range s.Pools {
			p.services[pool] = append(p.services[pool], s)
		}
	}
}

// affectedServices returns the services whose budgets a stop in one of the pools
// affects, sorted by name.
func (p *pass) affectedServices(pools []model.PoolName) []model.ServiceName {
	seen := make(map[model.ServiceName]bool)
	var names []model.ServiceName
	for _, pool := range pools {
		for _, s := range p.servicesOf(pool) {
			if !seen[s.Name] {
				seen[s.Name] = true
				names = append(names, s.Name)
			}
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// tally counts the VMs of a service by the view and its ledger, with the reserve
// for unplanned failures that the weights require.
func (p *pass) tally(s *model.Service, l Ledger, w model.Weights) *wave.Tally {
	stopped := make(map[model.VMID]Stop)
	for _, stop := range l.Stops {
		stopped[stop.VM] = stop
	}
	var members, held []budget.Member
	for _, pool := range s.Pools {
		for _, id := range p.byPool[pool] {
			vm := p.snap.VMs[id]
			if vm.Holder == holderJoin {
				continue
			}
			stop, out := stopped[id]
			m := budget.Member{ID: id, Zone: vm.Zone, Rack: vm.Rack}
			m.Up = budget.Up(vm.State, p.evidence(id, out))
			members = append(members, m)
			if out && wave.HeldByWave(stop.Holder) {
				held = append(held, m)
			}
		}
	}
	return wave.NewTally(budget.Count(s, members), held, w)
}

// reloadVMs replaces the view by one that is read from the store. Reading every
// VM is expensive, so only orders do it, which would otherwise be refused because
// the view lags by some milliseconds.
func (p *pass) reloadVMs(ctx context.Context) error {
	kvs, rev, err := p.f.store.Range(ctx, infra.VMPrefix)
	if err != nil {
		return wrapError("read VMs", err)
	}
	fresh := *p.snap
	fresh.Revision = rev
	fresh.AsOf = p.now
	fresh.VMs = make(map[model.VMID]view.VMRecord, len(kvs))
	for _, kv := range kvs {
		c, err := decode[model.VM](kv)
		if err != nil {
			return err
		}
		fresh.VMs[c.value.ID] = view.VMRecord{VM: c.value, Revision: c.rev}
	}
	p.snap = &fresh
	p.indexVMs()
	return nil
}

func (p *pass) indexVMs() {
	p.byPool = make(map[model.PoolName][]model.VMID)
	for id, vm := range p.snap.VMs {
		p.byPool[vm.Pool] = append(p.byPool[vm.Pool], id)
	}
	for _, ids := range p.byPool {
		slices.Sort(ids)
	}
}

// sortedServices returns the services of the ledgers sorted by name, so that
// runs are deterministic.
func sortedServices(ledgers map[model.ServiceName]*versioned[Ledger]) []model.ServiceName {
	return slices.Sorted(maps.Keys(ledgers))
}

// viewBehindLedger returns which ledger was written after the view was made;
// empty if none was. Every change of a service's membership or stops writes its
// ledger, so a view at least as new as the ledger includes them all. An older
// view could count a VM that has left the service since.
func (p *pass) viewBehindLedger(r *readSet) string {
	for _, name := range sortedServices(r.ledgers) {
		if r.ledgers[name].rev > p.snap.Revision {
			return "the view is behind the ledger of service " + string(name)
		}
	}
	return ""
}
