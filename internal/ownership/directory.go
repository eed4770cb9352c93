package ownership

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/pumicestage/pumicestage/internal/infra"
)

// Directory holds the owners of duties as this entry VM last read them from the store. The zero
// value is empty.
type Directory struct {
	Log logr.Logger

	mu     sync.Mutex
	owners map[string]ownerEntry
	// vacancies counts how often each duty was seen to become free.
	vacancies map[string]int
	listed    bool          // the whole list was read at least once; until then no duty counts as free
	changed   chan struct{} // closed at the next change
}

// ownerEntry is the owner of a duty. Its Record is empty if the stored one is malformed.
type ownerEntry struct {
	Record
	revision infra.Revision
}

// Owner returns the owner of the duty; false if it has none or its record is malformed.
func (d *Directory) Owner(duty string) (Record, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.owners[duty]
	return h.Record, h.Entry != ""
}

// Entries returns the names of the entry VMs that have a duty.
func (d *Directory) Entries() map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]bool, len(d.owners))
	for _, h := range d.owners {
		out[h.Entry] = true
	}
	return out
}

// Replace replaces the directory's content by the listed keys of duties.
func (d *Directory) Replace(kvs []infra.KV) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.owners
	d.owners = make(map[string]ownerEntry)
	d.listed = true
	for _, kv := range kvs {
		d.putLocked(kv)
	}
	for duty := range before {
		if _, known := d.owners[duty]; !known {
			d.countVacancyLocked(duty)
		}
	}
	d.notifyLocked()
}

// Change applies a change of a duty's key that a watch of the store reported. It is ignored if the
// directory holds a later revision of the key.
func (d *Directory) Change(ev infra.Event) {
	if ev.Kind == infra.EventDelete {
		d.remove(ev.KV.Key, ev.KV.ModRevision)
		return
	}
	d.put(ev.KV)
}

// put records the owner that the duty's key names, unless that revision
// of the key or a later one is known.
func (d *Directory) put(kv infra.KV) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.putLocked(kv)
	d.notifyLocked()
}

// putLocked is put for functions that hold mu. It wakes nobody who waits for a change.
func (d *Directory) putLocked(kv infra.KV) {
	var r Record
	if err := json.Unmarshal(kv.Value, &r); err != nil || r.Entry == "" {
		// The duty is not free, since its key exists.
		d.Log.Error(err, "the record of a duty's owner is malformed", "key", kv.Key)
		r = Record{}
	}
	duty := strings.TrimPrefix(kv.Key, infra.WorkOwnerPrefix)
	if old, known := d.owners[duty]; known && old.revision >= kv.ModRevision {
		return
	}
	if d.owners == nil {
		d.owners = make(map[string]ownerEntry)
	}
	d.owners[duty] = ownerEntry{Record: r, revision: kv.ModRevision}
	d.Log.Info("owner", "duty", duty, "owner", r.Entry, "revision", int64(kv.ModRevision))
}

// remove removes the owner of the duty with the key, unless its revision is later than the given one.
func (d *Directory) remove(key string, at infra.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	duty := strings.TrimPrefix(key, infra.WorkOwnerPrefix)
	old, known := d.owners[duty]
	if !known || old.revision > at {
		return
	}
	delete(d.owners, duty)
	d.countVacancyLocked(duty)
	d.Log.Info("duty has no owner", "duty", duty, "last", old.Entry, "revision", int64(at))
	d.notifyLocked()
}

// notifyLocked wakes all that wait for a change of the directory.
func (d *Directory) notifyLocked() {
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

// countVacancyLocked records that the duty has become free.
func (d *Directory) countVacancyLocked(duty string) {
	if d.vacancies == nil {
		d.vacancies = make(map[string]int)
	}
	d.vacancies[duty]++
}

// vacancy reports whether the duty is free, and the number of its vacancies so far. A different
// number means that the duty had an owner in between.
func (d *Directory) vacancy(duty string) (n int, free bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, known := d.owners[duty]
	return d.vacancies[duty], d.listed && !known
}

// recheckInterval limits a wait for a change, in case one was missed.
const recheckInterval = 1 * time.Second

// waitFree returns true if the duty is free. Otherwise it waits for a change and returns false; the
// caller then calls it again.
func (d *Directory) waitFree(ctx context.Context, duty string) bool {
	d.mu.Lock()
	_, known := d.owners[duty]
	if d.listed && !known {
		d.mu.Unlock()
		return true
	}
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	changed := d.changed
	d.mu.Unlock()
	t := time.NewTimer(recheckInterval)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
	return false
}
