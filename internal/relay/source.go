package relay

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/sleep"
	"github.com/pumicestage/pumicestage/policy/model"
)

const (
	// beaconTimeout is how long after it was written a beacon must have come
	// back over the watch. Otherwise the watch counts as dead, even if its
	// connection is still open.
	beaconTimeout = 2 * beaconInterval
	// minMergeInterval is the minimum time between two changes of the VMs in
	// the view. Each change copies the map of all VMs (0.8 ms for 3,600 VMs),
	// and the failure of a zone would otherwise cause hundreds of them a
	// second.
	minMergeInterval = 50 * time.Millisecond
	// minReopenDelay and maxReopenDelay bound the jittered backoff between
	// attempts to open the watches.
	minReopenDelay = 250 * time.Millisecond
	maxReopenDelay = 4 * time.Second
)

var (
	errStoreBehind = errors.New("relay: the store is older than the accepted view")
	errWatchEnded  = errors.New("relay: watch on the store ended")
	errWatchDead   = errors.New("relay: watch on the store delivers no beacons")
)

// beacon is the JSON value of infra.ViewBeaconKey. It identifies the relay that
// wrote it, so that each relay recognizes its own.
type beacon struct {
	Entry model.EntryID
	Nonce uint64
}

// storeSource feeds the state from the platform's store: it reads what the
// state lacks, watches for changes, and writes beacons to check that the watch
// is current.
type storeSource struct {
	relay *Relay
	store infra.Store

	nonce          uint64
	pendingBeacons map[uint64]time.Time // when each beacon that has not come back was sent, by nonce

	configRevision   infra.Revision // revision of the declaration's key when last read from the store
	configGeneration uint64         // generation of that declaration
	mustReread       bool           // all VMs must be read again

	collected     update    // changes of VMs that are not merged yet
	collectedAsOf time.Time // when the newest beacon received with them was sent
}

func newStoreSource(r *Relay) *storeSource {
	return &storeSource{
		relay: r, store: r.opts.Store,
		nonce: rand.Uint64(), pendingBeacons: make(map[uint64]time.Time),
	}
}

// run feeds the state until ctx ends and reopens the watches after failures.
func (s *storeSource) run(ctx context.Context) {
	defer s.relay.watching.Store(false)
	wait := minReopenDelay
	for ctx.Err() == nil {
		started := time.Now()
		err := s.watchUntilFailure(ctx)
		s.relay.watching.Store(false)
		if ctx.Err() != nil {
			return
		}
		s.recordFailure(err)
		if time.Since(started) > maxReopenDelay {
			wait = minReopenDelay
		}
		sleep.For(ctx, wait/2+rand.N(wait/2))
		wait = min(2*wait, maxReopenDelay)
	}
}

// recordFailure logs why the watches ended and determines whether the VMs must
// be read again.
func (s *storeSource) recordFailure(err error) {
	behind := errors.Is(err, errStoreBehind)
	if behind && !s.relay.storeBehind.Swap(true) {
		s.relay.opts.Log.Error(err, "platform store is older than the accepted view; planned stops wait until it has passed that view")
	}
	if behind || infra.IsKind(err, infra.KindCompacted) {
		s.mustReread = true
	}
	s.relay.opts.Log.V(1).Info("watch on the platform store ended", "cause", err)
}

// watchUntilFailure opens the watches and feeds the state until one of them
// fails.
func (s *storeSource) watchUntilFailure(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	clear(s.pendingBeacons)
	at, err := s.sendBeacon(ctx)
	if err != nil {
		return err
	}
	s.relay.storeBehind.Store(false)
	w, err := s.open(ctx, at)
	if err != nil {
		return err
	}
	s.relay.watching.Store(true)
	return s.feed(ctx, w)
}

// watches holds the watches on the three parts of a view.
type watches struct {
	vms, entries, config <-chan infra.WatchBatch
}

// open reads what the state lacks and opens watches from there on. at is the
// revision up to which the declaration is known.
func (s *storeSource) open(ctx context.Context, at infra.Revision) (watches, error) {
	var w watches
	from, err := s.readVMs(ctx, at)
	if err != nil {
		return w, err
	}
	entriesAt, err := s.readEntries(ctx)
	if err != nil {
		return w, err
	}
	if w.vms, err = s.store.Watch(ctx, infra.ViewWatchPrefix, from+1); err != nil {
		return w, trace.Wrap(err)
	}
	if w.entries, err = s.store.Watch(ctx, infra.EntryPrefix, entriesAt+1); err != nil {
		return w, trace.Wrap(err)
	}
	w.config, err = s.store.Watch(ctx, infra.ConfigKey, at+1)
	return w, trace.Wrap(err)
}

// readVMs reads all VMs if the state has none or can't resume from its
// revision, and returns the state's revision afterwards. It returns
// errStoreBehind if the store is older than the state.
func (s *storeSource) readVMs(ctx context.Context, at infra.Revision) (infra.Revision, error) {
	if has := s.relay.state.versions().Revision; has > 0 && !s.mustReread && s.relay.age() < maxResumeAge {
		return has, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kvs, rev, err := s.store.Range(ctx, infra.VMPrefix)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if rev < s.relay.state.versions().Revision {
		return 0, trace.Wrap(errStoreBehind)
	}
	s.mustReread = false
	var asOf time.Time
	if rev >= at {
		asOf = s.pendingBeacons[s.nonce] // the beacon was written at `at`, so the read includes everything before it
	}
	is := versions{Revision: rev, Lineage: rand.Uint64(), Generation: s.relay.state.versions().Generation}
	s.relay.state.merge(update{Full: true, Puts: recordsOf(kvs), Versions: is}, asOf)
	return max(rev, s.relay.state.versions().Revision), nil
}

// readEntries reads the list of entry VMs and returns the revision of the read.
func (s *storeSource) readEntries(ctx context.Context) (infra.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kvs, rev, err := s.store.Range(ctx, infra.EntryPrefix)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	s.relay.state.merge(update{HasEntries: true, Entries: recordsOf(kvs), Versions: versions{Entries: rev}}, time.Time{})
	return rev, nil
}

// feed merges what the watches deliver and writes beacons until a watch or a
// beacon fails.
func (s *storeSource) feed(ctx context.Context, w watches) error {
	tick := time.NewTicker(beaconInterval)
	defer tick.Stop()
	merge := time.NewTimer(minMergeInterval)
	defer merge.Stop()
	var merged time.Time
	s.collected, s.collectedAsOf = update{}, time.Time{}
	for {
		var err error
		select {
		case b, ok := <-w.vms:
			first := s.collected.Versions.Revision == 0
			if err = s.handleBatch(b, ok, s.collectVMs); err == nil && first {
				merge.Reset(max(time.Millisecond, minMergeInterval-time.Since(merged)))
			}
		case <-merge.C:
			s.mergeCollected()
			merged = time.Now()
		case b, ok := <-w.entries:
			err = s.handleBatch(b, ok, s.handleEntries)
		case b, ok := <-w.config:
			err = s.handleBatch(b, ok, s.handleConfig)
		case <-tick.C:
			err = s.checkBeacons(ctx)
		case <-ctx.Done():
			err = ctx.Err()
		}
		if err != nil {
			return err
		}
	}
}

// handleBatch passes a batch of a watch to f, or returns why the watch ended.
func (s *storeSource) handleBatch(b infra.WatchBatch, ok bool, f func(infra.WatchBatch)) error {
	if !ok {
		return errWatchEnded
	}
	if b.Err != nil {
		return trace.Wrap(b.Err)
	}
	f(b)
	return nil
}

// checkBeacons writes a new beacon. It returns errWatchDead, which ends the
// watches, if an earlier one has not come back within beaconTimeout.
func (s *storeSource) checkBeacons(ctx context.Context) error {
	for _, sent := range s.pendingBeacons {
		if time.Since(sent) > beaconTimeout {
			return errWatchDead
		}
	}
	_, err := s.sendBeacon(ctx)
	if err == nil || errors.Is(err, errStoreBehind) {
		return err
	}
	// The watch may still work while writes fail; the view's age shows how
	// long no beacon has come back.
	s.relay.opts.Log.V(1).Info("cannot write a beacon to the platform store", "cause", err)
	return nil
}

// sendBeacon writes a beacon and checks in the same transaction that the store
// still holds the declaration last read from it; if not, it merges the store's
// declaration, or repairs the store if that is older. It returns the store's
// revision, or errStoreBehind if that is lower than the state's.
func (s *storeSource) sendBeacon(ctx context.Context) (infra.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s.nonce++
	value, err := json.Marshal(beacon{Entry: s.relay.opts.Self.ID, Nonce: s.nonce})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	put := infra.Put(infra.ViewBeaconKey, value)
	sent := time.Now()
	res, err := s.store.Txn(ctx, infra.Txn{
		If:   []infra.Cond{{Key: infra.ConfigKey, ModRevision: s.configRevision}},
		Then: []infra.Op{put},
		Else: []infra.Op{put, infra.Read(infra.ConfigKey)},
	})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if !res.Succeeded && len(res.Reads) == 1 {
		s.recordConfig(res.Reads[0])
		s.repairConfig(ctx)
	}
	if res.Revision < s.relay.state.versions().Revision {
		return 0, trace.Wrap(errStoreBehind)
	}
	s.pendingBeacons[s.nonce] = sent
	return res.Revision, nil
}

// recordConfig merges the declaration read from the store, and records its
// revision and generation; both are 0 if the store holds none.
func (s *storeSource) recordConfig(kv infra.KV) {
	if kv.ModRevision < s.configRevision && kv.ModRevision > 0 {
		s.relay.opts.Log.Info("platform store holds an older declaration than before", "revision", kv.ModRevision, "before", s.configRevision)
	}
	s.configRevision, s.configGeneration = kv.ModRevision, 0
	if kv.ModRevision == 0 {
		return
	}
	r := recordOf(kv)
	s.relay.state.merge(update{Config: &r}, time.Time{})
	var head struct{ Generation uint64 }
	if err := infra.DecodeValue(kv.Value, &head); err == nil {
		s.configGeneration = head.Generation
	}
}

// repairConfig writes the accepted declaration back if the store holds one of
// an older generation, as after a restore from a backup. Otherwise an entry VM
// that starts without peers would apply the older one again. The write is
// conditional on the older one's revision, so it doesn't overwrite what an
// operator has applied in the meantime.
func (s *storeSource) repairConfig(ctx context.Context) {
	accepted, generation := s.relay.state.acceptedConfig()
	if generation <= s.configGeneration {
		return
	}
	res, err := s.store.Txn(ctx, infra.Txn{
		If:   []infra.Cond{{Key: infra.ConfigKey, ModRevision: s.configRevision}},
		Then: []infra.Op{infra.Put(infra.ConfigKey, accepted.Value)},
	})
	s.relay.opts.Log.Info("wrote the accepted declaration back to the platform store, which held an older one",
		"generation", generation, "found", s.configGeneration, "done", err == nil && res.Succeeded)
	if err == nil && res.Succeeded {
		s.configRevision, s.configGeneration = res.Revision, generation
	}
}

// collectVMs adds a batch of the watch on VMs and beacons to the changes that
// are merged together.
func (s *storeSource) collectVMs(b infra.WatchBatch) {
	s.collected.fromStore = true
	s.collected.Versions.Revision = b.Revision
	for _, e := range b.Events {
		switch {
		case e.KV.Key == infra.ViewBeaconKey:
			if sent := s.confirmBeacon(e.KV); !sent.IsZero() {
				s.collectedAsOf = sent
			}
		case !strings.HasPrefix(e.KV.Key, infra.VMPrefix):
		case e.Kind == infra.EventPut:
			s.collected.Puts = append(s.collected.Puts, recordOf(e.KV))
		default:
			s.collected.Deletes = append(s.collected.Deletes, recordOf(e.KV))
		}
	}
}

// mergeCollected merges the changes that collectVMs has added since the last merge
// into the state, and clears them.
func (s *storeSource) mergeCollected() {
	if s.collected.Versions.Revision == 0 {
		return
	}
	s.collected.Versions.Generation = s.relay.state.versions().Generation
	s.relay.state.merge(s.collected, s.collectedAsOf)
	s.collected, s.collectedAsOf = update{}, time.Time{}
}

// confirmBeacon handles a beacon that came back over the watch. If this source
// sent it, it returns when: the watch has delivered everything written before,
// so the view was current at that time. Otherwise it returns the zero time.
// Beacons up to the returned one are no longer pending.
func (s *storeSource) confirmBeacon(kv infra.KV) time.Time {
	var b beacon
	if err := json.Unmarshal(kv.Value, &b); err != nil || b.Entry != s.relay.opts.Self.ID {
		return time.Time{}
	}
	sent := s.pendingBeacons[b.Nonce]
	for nonce := range s.pendingBeacons {
		if nonce <= b.Nonce {
			delete(s.pendingBeacons, nonce)
		}
	}
	return sent
}

func (s *storeSource) handleEntries(b infra.WatchBatch) {
	s.relay.state.mergeEntryEvents(b)
}

func (s *storeSource) handleConfig(b infra.WatchBatch) {
	for _, e := range b.Events {
		if e.KV.Key != infra.ConfigKey {
			continue
		}
		if e.Kind == infra.EventDelete {
			s.recordConfig(infra.KV{Key: e.KV.Key})
		} else {
			s.recordConfig(e.KV)
		}
	}
}
