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
	// beaconLost is when a beacon that was written but has not come back by
	// the watch proves that the watch is dead, though its connection is not.
	beaconLost = 2 * beaconEvery
	// mergeEvery is the shortest time between two changes of the VMs in the
	// view. Each copies the map of all VMs (0.8 ms at 3,600 of them), which a
	// zone that falls over would otherwise ask for hundreds of times a second.
	mergeEvery = 50 * time.Millisecond
	// reopenMin and reopenMax bound the jittered wait between attempts to
	// open the source.
	reopenMin = 250 * time.Millisecond
	reopenMax = 4 * time.Second
)

var (
	errStoreBehind = errors.New("relay: the store is older than the accepted view")
	errWatchEnded  = errors.New("relay: watch ended")
	errWatchDead   = errors.New("relay: watch delivers nothing")
)

// beacon is the value of infra.ViewBeaconKey.
type beacon struct {
	Entry model.EntryID
	Nonce uint64
}

// storeSource feeds the state from the platform's store: it reads what is
// missing, watches, and proves by beacons that the watch is current.
type storeSource struct {
	relay *Relay
	store infra.Store

	nonce   uint64
	pending map[uint64]time.Time // beacons written and not yet seen, by when they were sent

	configMod infra.Revision // of the declaration's key when last seen in the store
	configGen uint64         // its generation
	reread    bool           // the VMs must be read anew

	gathered update    // changes of VMs not merged yet
	proven   time.Time // when the newest beacon among them was sent
}

func newStoreSource(r *Relay) *storeSource {
	return &storeSource{
		relay: r, store: r.opts.Store,
		nonce: rand.Uint64(), pending: make(map[uint64]time.Time),
	}
}

// run feeds the state until ctx ends, opening anew after failures.
func (s *storeSource) run(ctx context.Context) {
	defer s.relay.watching.Store(false)
	wait := reopenMin
	for ctx.Err() == nil {
		started := time.Now()
		err := s.follow(ctx)
		s.relay.watching.Store(false)
		if ctx.Err() != nil {
			return
		}
		s.noteEnd(err)
		if time.Since(started) > reopenMax {
			wait = reopenMin
		}
		sleep.For(ctx, wait/2+rand.N(wait/2))
		wait = min(2*wait, reopenMax)
	}
}

func (s *storeSource) noteEnd(err error) {
	behind := errors.Is(err, errStoreBehind)
	if behind && !s.relay.behind.Swap(true) {
		s.relay.opts.Log.Error(err, "planned stops wait until the store has passed the accepted view")
	}
	if behind || infra.IsKind(err, infra.KindCompacted) {
		s.reread = true
	}
	s.relay.opts.Log.V(1).Info("platform watch ended", "cause", err)
}

// follow opens the watches and feeds the state until one of them ends.
func (s *storeSource) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	clear(s.pending)
	at, err := s.sendBeacon(ctx)
	if err != nil {
		return err
	}
	s.relay.behind.Store(false)
	w, err := s.open(ctx, at)
	if err != nil {
		return err
	}
	s.relay.watching.Store(true)
	return s.feed(ctx, w)
}

// watches are the three streams a view is made of.
type watches struct {
	vms, entries, config <-chan infra.WatchBatch
}

// open reads what the state lacks and watches from there on. at is the
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

// readVMs reads all VMs if the state has none or cannot be carried on from its
// revision, and returns the revision the state then has.
func (s *storeSource) readVMs(ctx context.Context, at infra.Revision) (infra.Revision, error) {
	if has := s.relay.state.versions().Revision; has > 0 && !s.reread && s.relay.age() < resumeWithin {
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
	s.reread = false
	var proven time.Time
	if rev >= at {
		proven = s.pending[s.nonce] // the beacon at `at`: all before it was read
	}
	is := versions{Revision: rev, Lineage: rand.Uint64(), Generation: s.relay.state.versions().Generation}
	s.relay.state.merge(update{Full: true, Puts: recordsOf(kvs), Is: is}, proven)
	return max(rev, s.relay.state.versions().Revision), nil
}

func (s *storeSource) readEntries(ctx context.Context) (infra.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	kvs, rev, err := s.store.Range(ctx, infra.EntryPrefix)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	s.relay.state.merge(update{HasEntries: true, Entries: recordsOf(kvs), Is: versions{Entries: rev}}, time.Time{})
	return rev, nil
}

func (s *storeSource) feed(ctx context.Context, w watches) error {
	tick := time.NewTicker(beaconEvery)
	defer tick.Stop()
	merge := time.NewTimer(mergeEvery)
	defer merge.Stop()
	var merged time.Time
	s.gathered, s.proven = update{}, time.Time{}
	for {
		var err error
		select {
		case b, ok := <-w.vms:
			first := s.gathered.Is.Revision == 0
			if err = s.take(b, ok, s.gatherVMs); err == nil && first {
				merge.Reset(max(time.Millisecond, mergeEvery-time.Since(merged)))
			}
		case <-merge.C:
			s.mergeGathered()
			merged = time.Now()
		case b, ok := <-w.entries:
			err = s.take(b, ok, s.takeEntries)
		case b, ok := <-w.config:
			err = s.take(b, ok, s.takeConfig)
		case <-tick.C:
			err = s.beat(ctx)
		case <-ctx.Done():
			err = ctx.Err()
		}
		if err != nil {
			return err
		}
	}
}

func (s *storeSource) take(b infra.WatchBatch, ok bool, f func(infra.WatchBatch)) error {
	if !ok {
		return errWatchEnded
	}
	if b.Err != nil {
		return trace.Wrap(b.Err)
	}
	f(b)
	return nil
}

// beat writes a beacon, and ends the watch where an earlier one got lost.
func (s *storeSource) beat(ctx context.Context) error {
	for _, sent := range s.pending {
		if time.Since(sent) > beaconLost {
			return errWatchDead
		}
	}
	_, err := s.sendBeacon(ctx)
	if err == nil || errors.Is(err, errStoreBehind) {
		return err
	}
	// The watch may well live on while writes fail; the view's age tells.
	s.relay.opts.Log.V(1).Info("beacon not written", "cause", err)
	return nil
}

// sendBeacon writes the beacon, and in the same transaction makes sure that
// the declaration known here is the store's. It returns the store's revision.
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
		If:   []infra.Cond{{Key: infra.ConfigKey, ModRevision: s.configMod}},
		Then: []infra.Op{put},
		Else: []infra.Op{put, infra.Read(infra.ConfigKey)},
	})
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if !res.Succeeded && len(res.Reads) == 1 {
		s.noteConfig(res.Reads[0])
		s.repairConfig(ctx)
	}
	if res.Revision < s.relay.state.versions().Revision {
		return 0, trace.Wrap(errStoreBehind)
	}
	s.pending[s.nonce] = sent
	return res.Revision, nil
}

func (s *storeSource) noteConfig(kv infra.KV) {
	if kv.ModRevision < s.configMod && kv.ModRevision > 0 {
		s.relay.opts.Log.Info("the store holds an older declaration than before", "revision", kv.ModRevision, "before", s.configMod)
	}
	s.configMod, s.configGen = kv.ModRevision, 0
	if kv.ModRevision == 0 {
		return
	}
	r := recordOf(kv)
	s.relay.state.merge(update{Config: &r}, time.Time{})
	var head struct{ Generation uint64 }
	if err := infra.DecodeValue(kv.Value, &head); err == nil {
		s.configGen = head.Generation
	}
}

// repairConfig puts the accepted declaration back where the store holds an
// older one, as after a restore from a backup: an entry VM that starts without
// peers would otherwise bring the older one back in force. The CAS on the
// older one's revision makes it harmless where an operator was faster.
func (s *storeSource) repairConfig(ctx context.Context) {
	accepted, generation := s.relay.state.acceptedConfig()
	if generation <= s.configGen {
		return
	}
	res, err := s.store.Txn(ctx, infra.Txn{
		If:   []infra.Cond{{Key: infra.ConfigKey, ModRevision: s.configMod}},
		Then: []infra.Op{infra.Put(infra.ConfigKey, accepted.Value)},
	})
	s.relay.opts.Log.Info("put the accepted declaration back into the store",
		"generation", generation, "found", s.configGen, "done", err == nil && res.Succeeded)
	if err == nil && res.Succeeded {
		s.configMod, s.configGen = res.Revision, generation
	}
}

// gatherVMs adds a batch to the changes that are merged together.
func (s *storeSource) gatherVMs(b infra.WatchBatch) {
	s.gathered.fromStore = true
	s.gathered.Is.Revision = b.Revision
	for _, e := range b.Events {
		switch {
		case e.KV.Key == infra.ViewBeaconKey:
			if sent := s.seen(e.KV); !sent.IsZero() {
				s.proven = sent
			}
		case !strings.HasPrefix(e.KV.Key, infra.VMPrefix):
		case e.Kind == infra.EventPut:
			s.gathered.Puts = append(s.gathered.Puts, recordOf(e.KV))
		default:
			s.gathered.Gone = append(s.gathered.Gone, recordOf(e.KV))
		}
	}
}

func (s *storeSource) mergeGathered() {
	if s.gathered.Is.Revision == 0 {
		return
	}
	s.gathered.Is.Generation = s.relay.state.versions().Generation
	s.relay.state.merge(s.gathered, s.proven)
	s.gathered, s.proven = update{}, time.Time{}
}

// seen returns when the beacon was sent if it is this source's own. Then
// everything before it has been delivered, and the view was current then.
func (s *storeSource) seen(kv infra.KV) time.Time {
	var b beacon
	if err := json.Unmarshal(kv.Value, &b); err != nil || b.Entry != s.relay.opts.Self.ID {
		return time.Time{}
	}
	sent := s.pending[b.Nonce]
	for nonce := range s.pending {
		if nonce <= b.Nonce {
			delete(s.pending, nonce)
		}
	}
	return sent
}

func (s *storeSource) takeEntries(b infra.WatchBatch) {
	s.relay.state.mergeEntryEvents(b)
}

func (s *storeSource) takeConfig(b infra.WatchBatch) {
	for _, e := range b.Events {
		if e.KV.Key != infra.ConfigKey {
			continue
		}
		if e.Kind == infra.EventDelete {
			s.noteConfig(infra.KV{Key: e.KV.Key})
		} else {
			s.noteConfig(e.KV)
		}
	}
}
