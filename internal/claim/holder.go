package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// sightingFor is how long one look at a registration serves. A caller
	// that repeats one key in a loop would otherwise cost a read each time;
	// that a holder is told as running for this much longer does no harm.
	sightingFor = 250 * time.Millisecond
	// maxSightings bounds what is kept; entry VMs are some dozens.
	maxSightings = 1024
)

// sighting is what the store said of an entry VM's registration.
type sighting struct {
	registered  bool
	incarnation uint64
	at          time.Time
}

// holderLives reports whether the run of the daemon that holds the claim is
// registered. Where the store does not say, it counts as alive: the caller is
// then told to ask again, which is right either way.
func (l *Ledger) holderLives(ctx context.Context, found record) bool {
	self := l.opts.Self
	if found.Entry == self.ID && found.Incarnation == self.Incarnation {
		return true
	}
	s, err := l.look(ctx, found.Entry)
	return err != nil || s.registered && s.incarnation == found.Incarnation
}

// look returns the registration of an entry VM, at most sightingFor old.
func (l *Ledger) look(ctx context.Context, id model.EntryID) (sighting, error) {
	l.mu.Lock()
	s, ok := l.seen[id]
	l.mu.Unlock()
	if ok && time.Since(s.at) < sightingFor {
		return s, nil
	}
	s = sighting{at: time.Now()}
	kv, _, err := l.opts.Store.Get(ctx, infra.EntryKey(id))
	if err != nil {
		return s, err
	}
	var e view.EntryRecord
	if kv.ModRevision != 0 && json.Unmarshal(kv.Value, &e) == nil {
		s.registered, s.incarnation = true, e.Incarnation
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.seen) >= maxSightings {
		clear(l.seen)
	}
	l.seen[id] = s
	return s, nil
}
