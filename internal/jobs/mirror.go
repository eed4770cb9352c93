package jobs

import (
	"context"
	"encoding/json"
	"strings"
	"sync"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// storedGroup is a group with the revision of its key, for compare-and-swap.
type storedGroup struct {
	*group
	rev infra.Revision
}

// mirror is this entry VM's local copy of the jobs in the store. It may be stale:
// every write is conditional on the revision it was derived from. Its groups are
// immutable; they are only replaced.
type mirror struct {
	store infra.Store

	mu     sync.Mutex
	groups map[string]storedGroup
	rev    infra.Revision // up to which all changes are included
	// watching is set while a watch keeps groups up to date; refresh then reads
	// nothing.
	watching bool
}

func newMirror(s infra.Store) *mirror {
	return &mirror{store: s, groups: make(map[string]storedGroup)}
}

// refresh brings the mirror up to date by reading all groups, unless a watch
// does. Only groups that have changed are decoded.
func (m *mirror) refresh(ctx context.Context) error {
	if m.isWatching() {
		return nil
	}
	kvs, rev, err := m.store.Range(ctx, groupPrefix)
	if err != nil {
		return wrapError("read jobs", "", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if rev < m.rev {
		return nil // the reply is older than what the mirror has
	}
	next := make(map[string]storedGroup, len(kvs))
	for _, kv := range kvs {
		if old, ok := m.groups[kv.Key]; ok && old.rev >= kv.ModRevision {
			next[kv.Key] = old
			continue
		}
		g, err := decode(kv)
		if err != nil {
			return err
		}
		next[kv.Key] = g
	}
	for key, g := range m.groups {
		if _, ok := next[key]; !ok && g.rev > rev {
			next[key] = g // written by this entry VM after the read
		}
	}
	m.groups, m.rev = next, rev
	return nil
}

// startWatch starts a watch after the revision that refresh has read, so that not
// every pass has to read 20,000 jobs. It calls onChange after each batch of
// changes and ends with ctx.
func (m *mirror) startWatch(ctx context.Context, onChange func()) error {
	if m.isWatching() {
		return nil
	}
	m.mu.Lock()
	from := m.rev + 1
	m.mu.Unlock()
	batches, err := m.store.Watch(ctx, groupPrefix, from)
	if err != nil {
		return wrapError("watch jobs", "", err)
	}
	m.setWatching(true)
	go m.applyBatches(batches, onChange)
	return nil
}

// applyBatches applies the batches of a watch until it ends or fails.
func (m *mirror) applyBatches(batches <-chan infra.WatchBatch, onChange func()) {
	defer m.setWatching(false)
	for batch := range batches {
		if !m.apply(batch) {
			return
		}
		onChange()
	}
}

func (m *mirror) isWatching() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.watching
}

func (m *mirror) setWatching(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.watching = on
}

// apply applies one batch of changes. It returns false if the watch has failed or
// a group can't be decoded; the watch then ends and the next refresh reads all
// groups.
func (m *mirror) apply(batch infra.WatchBatch) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if batch.Err != nil {
		return false
	}
	for _, e := range batch.Events {
		if e.Kind == infra.EventDelete {
			if m.groups[e.KV.Key].rev <= e.KV.ModRevision {
				delete(m.groups, e.KV.Key)
			}
			continue
		}
		if m.groups[e.KV.Key].rev >= e.KV.ModRevision {
			continue
		}
		g, err := decode(e.KV)
		if err != nil {
			return false
		}
		m.groups[e.KV.Key] = g
	}
	m.rev = max(m.rev, batch.Revision)
	return true
}

// put stores a group that this entry VM has read or written, unless the mirror has
// a newer revision.
func (m *mirror) put(key string, g storedGroup) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.groups[key].rev < g.rev {
		m.groups[key] = g
	}
}

func (m *mirror) drop(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.groups, key)
}

func (m *mirror) get(key string) (storedGroup, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	g, ok := m.groups[key]
	return g, ok
}

// all returns all groups by key. Callers must not change the groups.
func (m *mirror) all() map[string]storedGroup {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[string]storedGroup, len(m.groups))
	for k, g := range m.groups {
		out[k] = g
	}
	return out
}

// find returns the job's record, or false if the mirror has none. Callers must not
// change it.
func (m *mirror) find(id model.JobID) (*Record, bool) {
	key, at, ok := keyOf(id)
	if !ok {
		return nil, false
	}
	g, ok := m.get(key)
	if !ok || at >= len(g.Jobs) {
		return nil, false
	}
	return &g.Jobs[at], true
}

// decode decodes a stored group.
func decode(kv infra.KV) (storedGroup, error) {
	g := &group{}
	if err := json.Unmarshal(kv.Value, g); err != nil {
		return storedGroup{}, wrapError("read "+strings.TrimPrefix(kv.Key, infra.Root), "", infra.Errorf("decode", infra.KindInvalid, "%w", err))
	}
	return storedGroup{group: g, rev: kv.ModRevision}, nil
}
