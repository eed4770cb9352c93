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

// maxTombstones is how many deletions of VMs are kept for deltas. A peer that
// has missed more gets the complete view.
const maxTombstones = 1024

// state is the view together with the stored bytes that it was decoded from.
// Only state decides whether an update may replace what the view holds.
type state struct {
	holder *view.Holder
	log    logr.Logger

	mu             sync.Mutex
	vms            map[string]record
	tombstones     []record       // deleted VMs in order of revision
	tombstoneFloor infra.Revision // deletions up to this revision may be missing from tombstones
	config         record
	entries        []record
	current        versions
}

func newState(holder *view.Holder, log logr.Logger) *state {
	return &state{holder: holder, log: log, vms: make(map[string]record)}
}

func (s *state) versions() versions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// merge applies those parts of u that are newer than the view and reports
// whether there were any. asOf is when u was known to be current, zero if
// that is unknown.
//
// A part is replaced only by a higher version, whoever sent it. Otherwise a
// lagging relay, a peer that reconnects after a partition, or a store restored
// from a backup would revert an accepted configuration.
func (s *state) merge(u update, asOf time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.holder.Load()
	next := *old
	changed := s.mergeConfig(u, &next)
	changed = s.mergeEntries(u, &next) || changed
	changed = s.mergeVMs(u, &next) || changed
	// The view was current at asOf only if it holds all that u describes.
	if s.covers(u) && asOf.After(old.AsOf) {
		next.AsOf = asOf
	}
	if changed || next.AsOf != old.AsOf {
		s.holder.Publish(&next)
	}
	return changed
}

// covers reports whether the view holds exactly the VMs and the declaration
// that u describes.
func (s *state) covers(u update) bool {
	return s.current.Revision == u.Versions.Revision && s.current.Generation == u.Versions.Generation && s.sameLineage(u)
}

// sameLineage reports whether u is based on the same full read of the store as
// the view. That always holds for changes from the own watch.
func (s *state) sameLineage(u update) bool {
	return u.fromStore || u.Versions.Lineage == s.current.Lineage
}

// mergeConfig takes over the declaration if its generation is newer than the
// view's, and reports whether it did.
func (s *state) mergeConfig(u update, next *view.Snapshot) bool {
	if u.Config == nil {
		return false
	}
	decl := new(model.Declaration)
	if err := infra.DecodeValue(u.Config.Value, decl); err != nil {
		s.log.Error(err, "cannot decode declaration, keeping the current one", "revision", u.Config.ModRevision)
		return false
	}
	if decl.Generation <= s.current.Generation {
		return false
	}
	s.config = *u.Config
	s.current.Generation = decl.Generation
	next.Declaration = decl
	return true
}

// mergeEntries takes over the records of entry VMs if they are newer than the
// view's, and reports whether it did.
func (s *state) mergeEntries(u update, next *view.Snapshot) bool {
	if !u.HasEntries || u.Versions.Entries <= s.current.Entries {
		return false
	}
	s.entries = u.Entries
	s.current.Entries = u.Versions.Entries
	next.Entries = s.decodeEntries(u.Entries)
	return true
}

// mergeEntryEvents applies one batch of the watch on entry VMs.
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
	u := update{HasEntries: true, Versions: versions{Entries: b.Revision}}
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		u.Entries = append(u.Entries, entries[key])
	}
	s.merge(u, time.Time{})
}

// acceptedConfig returns the record of the accepted declaration and its
// generation; the generation is 0 if there is none.
func (s *state) acceptedConfig() (record, uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config, s.current.Generation
}

// decodeEntries decodes the records of entry VMs and skips those that are not
// valid.
func (s *state) decodeEntries(records []record) []view.EntryRecord {
	entries := make([]view.EntryRecord, 0, len(records))
	for _, r := range records {
		var e view.EntryRecord
		if err := json.Unmarshal(r.Value, &e); err != nil {
			s.log.Error(err, "cannot decode entry record, skipping it", "key", r.Key)
			continue
		}
		entries = append(entries, e)
	}
	return entries
}

// mergeVMs applies the changes of VMs if they are newer than the view and none is
// missing in between, and reports whether the view's revision advanced.
func (s *state) mergeVMs(u update, next *view.Snapshot) bool {
	if u.Versions.Revision <= s.current.Revision {
		return false
	}
	continues := u.fromStore || u.Base <= s.current.Revision && s.sameLineage(u)
	if !u.Full && !continues {
		return false // changes are missing in between; the next poll requests them
	}
	s.current.Revision = u.Versions.Revision
	next.Revision = u.Versions.Revision
	if u.Full {
		s.current.Lineage = u.Versions.Lineage
		next.VMs = s.replaceVMs(u)
		return true
	}
	if len(u.Puts)+len(u.Deletes) == 0 {
		return true
	}
	next.VMs = maps.Clone(next.VMs)
	if next.VMs == nil {
		next.VMs = make(map[model.VMID]view.VMRecord)
	}
	for _, r := range u.Puts {
		s.putVM(r, next.VMs)
	}
	for _, r := range u.Deletes {
		s.deleteVM(r, next.VMs)
	}
	return true
}

func (s *state) replaceVMs(u update) map[model.VMID]view.VMRecord {
	s.vms = make(map[string]record, len(u.Puts))
	s.tombstones, s.tombstoneFloor = nil, u.Versions.Revision
	vms := make(map[model.VMID]view.VMRecord, len(u.Puts))
	for _, r := range u.Puts {
		s.putVM(r, vms)
	}
	return vms
}

func (s *state) putVM(r record, vms map[model.VMID]view.VMRecord) {
	if r.ModRevision <= s.vms[r.Key].ModRevision {
		return
	}
	var vm model.VM
	if err := json.Unmarshal(r.Value, &vm); err != nil {
		s.log.Error(err, "cannot decode VM record, keeping the previous one", "key", r.Key, "revision", r.ModRevision)
		return
	}
	s.vms[r.Key] = r
	vms[vm.ID] = view.VMRecord{VM: vm, Revision: r.ModRevision}
}

func (s *state) deleteVM(r record, vms map[model.VMID]view.VMRecord) {
	if r.ModRevision <= s.vms[r.Key].ModRevision {
		return
	}
	delete(s.vms, r.Key)
	delete(vms, model.VMID(strings.TrimPrefix(r.Key, infra.VMPrefix)))
	s.tombstones = append(s.tombstones, r)
	if excess := len(s.tombstones) - maxTombstones; excess > 0 {
		s.tombstoneFloor = s.tombstones[excess-1].ModRevision
		s.tombstones = slices.Clone(s.tombstones[excess:])
	}
}

// deltaFor returns the update that brings a peer from the versions in have to
// this view.
func (s *state) deltaFor(have versions) update {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := update{Versions: s.current, AgeMillis: millis(time.Since(s.holder.Load().AsOf))}
	if s.current.Generation > have.Generation {
		config := s.config // copied, because it is encoded after the lock is released
		u.Config = &config
	}
	if s.current.Entries > have.Entries {
		u.HasEntries, u.Entries = true, s.entries
	}
	if s.current.Revision > have.Revision {
		s.addVMDelta(have, &u)
	}
	return u
}

// addVMDelta adds the changes of VMs after have to u. It adds all VMs if the
// deletions needed are no longer kept, or if have is based on another full read of
// the store (see versions.Lineage).
func (s *state) addVMDelta(have versions, u *update) {
	from := have.Revision
	u.Full = from == 0 || from < s.tombstoneFloor || have.Lineage != s.current.Lineage
	u.Base = from
	for _, r := range s.vms {
		if u.Full || r.ModRevision > from {
			u.Puts = append(u.Puts, r)
		}
	}
	if u.Full {
		return
	}
	for _, r := range s.tombstones {
		if r.ModRevision > from {
			u.Deletes = append(u.Deletes, r)
		}
	}
}

// millis returns d in milliseconds, limited to the range of uint32.
func millis(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), int64(^uint32(0))))
}
