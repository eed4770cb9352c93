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

// Directory is who has which duty, as this entry VM last read it.
type Directory struct {
	Log logr.Logger

	mu     sync.Mutex
	owners map[string]held
	// vacated counts how often each duty was seen to become free.
	vacated map[string]int
	read    bool          // the whole list was read at least once
	changed chan struct{} // closed at the next change
}

type held struct {
	Record
	revision infra.Revision
}

// Owner returns who has the duty; false where nobody does.
func (d *Directory) Owner(duty string) (Record, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.owners[duty]
	return h.Record, h.Entry != ""
}

// Entries returns the entry VMs that have a duty.
func (d *Directory) Entries() map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string]bool, len(d.owners))
	for _, h := range d.owners {
		out[h.Entry] = true
	}
	return out
}

// Replace takes the whole list over.
func (d *Directory) Replace(kvs []infra.KV) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.owners
	d.owners = make(map[string]held)
	d.read = true
	for _, kv := range kvs {
		d.putLocked(kv)
	}
	for duty := range before {
		if _, known := d.owners[duty]; !known {
			d.vacateLocked(duty)
		}
	}
	d.notifyLocked()
}

// Change takes one change over.
func (d *Directory) Change(ev infra.Event) {
	if ev.Kind == infra.EventDelete {
		d.remove(ev.KV.Key, ev.KV.ModRevision)
		return
	}
	d.put(ev.KV)
}

func (d *Directory) put(kv infra.KV) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.putLocked(kv)
	d.notifyLocked()
}

func (d *Directory) putLocked(kv infra.KV) {
	var r Record
	if err := json.Unmarshal(kv.Value, &r); err != nil || r.Entry == "" {
		// The duty is not free: its key stands.
		d.Log.Error(err, "owner's record is malformed and names none", "key", kv.Key)
		r = Record{}
	}
	duty := strings.TrimPrefix(kv.Key, infra.WorkOwnerPrefix)
	if old, known := d.owners[duty]; known && old.revision >= kv.ModRevision {
		return
	}
	if d.owners == nil {
		d.owners = make(map[string]held)
	}
	d.owners[duty] = held{Record: r, revision: kv.ModRevision}
	d.Log.Info("owner", "duty", duty, "owner", r.Entry, "revision", int64(kv.ModRevision))
}

// remove forgets an owner of at most the revision.
func (d *Directory) remove(key string, at infra.Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	duty := strings.TrimPrefix(key, infra.WorkOwnerPrefix)
	old, known := d.owners[duty]
	if !known || old.revision > at {
		return
	}
	delete(d.owners, duty)
	d.vacateLocked(duty)
	d.Log.Info("no owner", "duty", duty, "last", old.Entry, "revision", int64(at))
	d.notifyLocked()
}

func (d *Directory) notifyLocked() {
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

func (d *Directory) vacateLocked(duty string) {
	if d.vacated == nil {
		d.vacated = make(map[string]int)
	}
	d.vacated[duty]++
}

// vacancy reports whether the duty is free, and how often it had become so: another
// number is another vacancy.
func (d *Directory) vacancy(duty string) (n int, free bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, known := d.owners[duty]
	return d.vacated[duty], d.read && !known
}

// recheck bounds a wait, should a change have been missed.
const recheck = 1 * time.Second

// waitFree returns true once the duty is free; false where it should be asked
// again.
func (d *Directory) waitFree(ctx context.Context, duty string) bool {
	d.mu.Lock()
	_, known := d.owners[duty]
	if d.read && !known {
		d.mu.Unlock()
		return true
	}
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	changed := d.changed
	d.mu.Unlock()
	t := time.NewTimer(recheck)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-t.C:
	}
	return false
}
