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
	// registrationTTL is how long a registration read from the store is cached.
	// Otherwise a caller that repeats one key in a loop would cost a read each
	// time. Reporting a dead holder as running for this much longer is harmless.
	registrationTTL = 250 * time.Millisecond
	// maxCachedRegistrations bounds the cache; there are some dozens of entry
	// VMs.
	maxCachedRegistrations = 1024
)

// registration is an entry VM's registration as read from the store at readAt.
type registration struct {
	registered  bool
	incarnation uint64
	readAt      time.Time
}

// holderMayBeAlive reports whether the incarnation of the daemon that holds the
// claim is registered. If the store cannot be read, it returns true: the caller
// is then told to ask again, which is correct in either case.
func (l *Ledger) holderMayBeAlive(ctx context.Context, found record) bool {
	self := l.opts.Self
	if found.Entry == self.ID && found.Incarnation == self.Incarnation {
		return true
	}
	s, err := l.lookupRegistration(ctx, found.Entry)
	return err != nil || s.registered && s.incarnation == found.Incarnation
}

// lookupRegistration returns the registration of an entry VM, at most
// registrationTTL old.
func (l *Ledger) lookupRegistration(ctx context.Context, id model.EntryID) (registration, error) {
	l.mu.Lock()
	s, ok := l.registrations[id]
	l.mu.Unlock()
	if ok && time.Since(s.readAt) < registrationTTL {
		return s, nil
	}
	s = registration{readAt: time.Now()}
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
	if len(l.registrations) >= maxCachedRegistrations {
		clear(l.registrations)
	}
	l.registrations[id] = s
	return s, nil
}
