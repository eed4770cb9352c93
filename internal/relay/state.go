package relay

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// goneLimit is how many deletions of VMs are kept to make deltas of. A peer
// that missed more gets the whole view.
const goneLimit = 1024

// state is the view with the stored bytes it was made of. It is the only
// place that decides whether something newer may replace something older.
type state struct {
	holder *view.Holder
	log    logr.Logger

	mu        sync.Mutex
	vms       map[string]record
	gone      []record       // in order of revision
	goneFloor infra.Revision // deletions up to here may be missing from gone
	config    record
	entries   []record
	has       versions
}

func newState(holder *view.Holder, log logr.Logger) *state {
	return &state{holder: holder, log: log, vms: make(map[string]record)}
}

func (s *state) versions() versions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.has
}

// merge takes in what is newer of u and reports whether anything was. asOf is
// when u was known to be current; zero if not known.
//
// Each part is replaced only by a higher version of it, whoever sent it: a
// lagging relay, a peer back from a cut, or a store restored to an older state
// would otherwise take an accepted configuration back.
func (s *state) merge(u update, asOf time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.holder.Load()
	next := *old
	changed := s.mergeConfig(u, &next)
	changed = s.mergeEntries(u, &next) || changed
	changed = s.mergeVMs(u, &next) || changed
	// What was current then is current here only if all of it is here.
	if s.covers(u) && asOf.After(old.AsOf) {
		next.AsOf = asOf
	}
	if changed || next.AsOf != old.AsOf {
		s.holder.Publish(&next)
	}
	return changed
}

func (s *state) covers(u update) bool {
	return s.has.Revision == u.Is.Revision && s.has.Generation == u.Is.Generation && s.descends(u)
}

func (s *state) descends(u update) bool {
	return u.fromStore || u.Is.Lineage == s.has.Lineage
}

func (s *state) mergeConfig(u update, next *view.Snapshot) bool {
	if u.Config == nil {
		return false
	}
	decl := new(model.Declaration)
	if err := infra.DecodeValue(u.Config.Value, decl); err != nil {
		s.log.Error(err, "declaration not readable, keeping the one in force", "revision", u.Config.Mod)
		return false
	}
	if decl.Generation <= s.has.Generation {
		return false
	}
	s.config = *u.Config
	s.has.Generation = decl.Generation
	next.Declaration = decl
	return true
}

func (s *state) mergeEntries(u update, next *view.Snapshot) bool {
	if !u.HasEntries || u.Is.Entries <= s.has.Entries {
		return false
	}
	s.entries = u.Entries
	s.has.Entries = u.Is.Entries
	next.Entries = s.decodeEntries(u.Entries)
	return true
}

// mergeEntryEvents takes in one batch of the watch of entry VMs.
func (s *state) mergeEntryEvents(b infra.WatchBatch) {
	s.mu.Lock()
	entries := make(map[string]record, len(s.entries))
	for _, r := range s.entries {
		entries[r.Key] = r
	}
	s.mu.Unlock()
	for _, e := range b.Events {
		if e.Kind == infra.EventPut {
			entries[e.KV.Key] = recordOf(e.KV)
		} else {
			delete(entries, e.KV.Key)
		}
	}
	u := update{HasEntries: true, Is: versions{Entries: b.Revision}}
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		u.Entries = append(u.Entries, entries[key])
	}
	s.merge(u, time.Time{})
}

// acceptedConfig returns the declaration in force as stored, and its
// generation.
func (s *state) acceptedConfig() (record, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config, s.has.Generation
}

func (s *state) decodeEntries(records []record) []view.EntryRecord {
	entries := make([]view.EntryRecord, 0, len(records))
	for _, r := range records {
		var e view.EntryRecord
		if err := json.Unmarshal(r.Value, &e); err != nil {
			s.log.Error(err, "entry record not readable", "key", r.Key)
			continue
		}
		entries = append(entries, e)
	}
	return entries
}

func (s *state) mergeVMs(u update, next *view.Snapshot) bool {
	if u.Is.Revision <= s.has.Revision {
		return false
	}
	follows := u.fromStore || u.From <= s.has.Revision && s.descends(u)
	if !u.Full && !follows {
		return false // a gap; the next poll asks from here on
	}
	s.has.Revision = u.Is.Revision
	next.Revision = u.Is.Revision
	if u.Full {
		s.has.Lineage = u.Is.Lineage
		next.VMs = s.replaceVMs(u)
		return true
	}
	if len(u.Puts)+len(u.Gone) == 0 {
		return true
	}
	next.VMs = maps.Clone(next.VMs)
	if next.VMs == nil {
		next.VMs = make(map[model.VMID]view.VMRecord)
	}
	for _, r := range u.Puts {
		s.putVM(r, next.VMs)
	}
	for _, r := range u.Gone {
		s.dropVM(r, next.VMs)
	}
	return true
}

func (s *state) replaceVMs(u update) map[model.VMID]view.VMRecord {
	s.vms = make(map[string]record, len(u.Puts))
	s.gone, s.goneFloor = nil, u.Is.Revision
	vms := make(map[model.VMID]view.VMRecord, len(u.Puts))
	for _, r := range u.Puts {
		s.putVM(r, vms)
	}
	return vms
}

func (s *state) putVM(r record, vms map[model.VMID]view.VMRecord) {
	if r.Mod <= s.vms[r.Key].Mod {
		return
	}
	var vm model.VM
	if err := json.Unmarshal(r.Value, &vm); err != nil {
		s.log.Error(err, "VM record not readable, keeping the last one", "key", r.Key, "revision", r.Mod)
		return
	}
	s.vms[r.Key] = r
	vms[vm.ID] = view.VMRecord{VM: vm, Revision: r.Mod}
}

func (s *state) dropVM(r record, vms map[model.VMID]view.VMRecord) {
	if r.Mod <= s.vms[r.Key].Mod {
		return
	}
	delete(s.vms, r.Key)
	delete(vms, model.VMID(strings.TrimPrefix(r.Key, infra.VMPrefix)))
	s.gone = append(s.gone, r)
	if over := len(s.gone) - goneLimit; over > 0 {
		s.goneFloor = s.gone[over-1].Mod
		s.gone = slices.Clone(s.gone[over:])
	}
}

// since returns what a peer that has `have` lacks of this view.
func (s *state) since(have versions) update {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := update{Is: s.has, AgeMillis: millis(time.Since(s.holder.Load().AsOf))}
	if s.has.Generation > have.Generation {
		config := s.config // a copy: it is encoded after the lock is let go
		u.Config = &config
	}
	if s.has.Entries > have.Entries {
		u.HasEntries, u.Entries = true, s.entries
	}
	if s.has.Revision > have.Revision {
		s.vmsSince(have, &u)
	}
	return u
}

func (s *state) vmsSince(have versions, u *update) {
	from := have.Revision
	u.Full = from == 0 || from < s.goneFloor || have.Lineage != s.has.Lineage
	u.From = from
	for _, r := range s.vms {
		if u.Full || r.Mod > from {
			u.Puts = append(u.Puts, r)
		}
	}
	if u.Full {
		return
	}
	for _, r := range s.gone {
		if r.Mod > from {
			u.Gone = append(u.Gone, r)
		}
	}
}

func millis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), int64(^uint32(0))))
}
