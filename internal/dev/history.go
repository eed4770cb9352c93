package dev

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// historyChecker replays the store's history revision by revision and collects
// the violated guarantees.
type historyChecker struct {
	decl    *model.Declaration
	vms     map[string]model.VM
	ledgers map[model.ServiceName]fleet.Ledger
	claims  map[string]claimValue
	config  uint64
	broken  []error
}

// claimValue holds the fields of a claim's stored value that are checked.
type claimValue struct{ ID, Stage string }

// The stages of a claim.
const (
	stageClaimed  = "claimed"
	stageReleased = "released"
	stageRecorded = "recorded"
)

// checkHistory returns the guarantees that the store's history shows violated.
func (w *observer) checkHistory() []error {
	p := &historyChecker{
		decl:    w.c.decl,
		vms:     make(map[string]model.VM),
		ledgers: make(map[model.ServiceName]fleet.Ledger),
		claims:  make(map[string]claimValue),
	}
	for _, b := range w.batches {
		for _, e := range b.Events {
			if e.Kind == infra.EventPut {
				p.put(e.KV)
			}
		}
		p.checkBudgets(b.Revision)
	}
	p.expect(len(p.vms) > 0 && p.config > 0, "the witness saw nothing")
	return p.broken
}

func (p *historyChecker) expect(holds bool, format string, args ...any) {
	if !holds {
		p.broken = append(p.broken, fmt.Errorf(format, args...))
	}
}

func (p *historyChecker) put(kv infra.KV) {
	switch key := kv.Key; {
	case strings.HasPrefix(key, infra.VMPrefix):
		p.putVM(key, decodeValue[model.VM](p, kv))
	case strings.HasPrefix(key, infra.LedgerPrefix):
		service := model.ServiceName(strings.TrimPrefix(key, infra.LedgerPrefix))
		p.ledgers[service] = decodeValue[fleet.Ledger](p, kv)
	case strings.HasPrefix(key, infra.ClaimPrefix):
		p.putClaim(key, decodeValue[claimValue](p, kv))
	case key == infra.ConfigKey:
		g := decodeValue[model.Declaration](p, kv).Generation
		p.expect(g == p.config+1, "generation %d follows %d", g, p.config)
		p.config = g
	}
}

func decodeValue[T any](p *historyChecker, kv infra.KV) (v T) {
	err := infra.DecodeValue(kv.Value, &v)
	p.expect(err == nil, "%s: %v", kv.Key, err)
	return v
}

// putVM checks that a VM changes its pool only when nothing runs on it.
func (p *historyChecker) putVM(key string, vm model.VM) {
	before, known := p.vms[key]
	empty := before.State == model.VMEmpty || before.State == model.VMProbation
	p.expect(!known || before.Pool == vm.Pool || empty, "%s went from %s (%s) to %s", vm.ID, before.Pool, before.State, vm.Pool)
	p.vms[key] = vm
}

// putClaim checks that a claim changes its holder only after it was released,
// and that a recorded claim never changes.
func (p *historyChecker) putClaim(key string, c claimValue) {
	before, known := p.claims[key]
	switch {
	case !known || before.Stage == stageReleased:
		p.expect(c.Stage == stageClaimed || c.Stage == stageReleased, "%s: %s first", key, c.Stage)
	case before.Stage == stageRecorded:
		p.expect(c == before, "%s: %v after %v", key, c, before)
	default:
		p.expect(c.ID == before.ID, "%s: %v after %v", key, c, before)
	}
	p.claims[key] = c
}

// checkBudgets checks that planned stops alone do not take a service below its
// budget in the revision.
func (p *historyChecker) checkBudgets(rev infra.Revision) {
	for name, l := range p.ledgers {
		s := p.decl.Service(name)
		if s == nil || len(l.Stops) == 0 {
			continue
		}
		members := p.members(s)
		left := members - len(l.Stops)
		p.expect(left >= s.Budget.MinAvailable.Of(members), "revision %d: %d of %d VMs of %s stopped", rev, len(l.Stops), members, name)
		p.expect(distinct(l.Stops), "revision %d: a VM is stopped twice in %s", rev, name)
	}
}

func (p *historyChecker) members(s *model.Service) int {
	n := 0
	for _, vm := range p.vms {
		if inPools(s, vm.Pool) {
			n++
		}
	}
	return n
}

func distinct(stops []fleet.Stop) bool {
	ids := make([]model.VMID, 0, len(stops))
	for _, s := range stops {
		ids = append(ids, s.VM)
	}
	slices.Sort(ids)
	return len(slices.Compact(ids)) == len(stops)
}
