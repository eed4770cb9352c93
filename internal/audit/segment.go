package audit

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"github.com/pumicestage/pumicestage/internal/infra"
)

const (
	indexKey      = infra.AuditPrefix + "index"
	segmentPrefix = infra.AuditPrefix + "segment/"
)

const (
	// maxSegmentBytes is when a writer opens its next segment. Each append
	// rewrites the segment, half of it on average, so smaller segments cost
	// fewer bytes and larger ones fewer index entries.
	maxSegmentBytes = 64 << 10
	// maxSegmentAge is when a writer opens its next segment at the latest. It
	// bounds the time that a segment of a writer that died can cover.
	maxSegmentAge = 24 * time.Hour
	// maxSegments bounds the trail: 2,000 segments of 64 KiB are 128 MB in
	// the store and an index of about 250 KB, a quarter of the largest value.
	maxSegments = 2000
	// retention is how long entries are kept at least, unless maxSegments is
	// reached before.
	retention = 90 * 24 * time.Hour
	// maxDeletes bounds the segments dropped in one transaction; the service
	// takes 128 operations in one.
	maxDeletes = 64
)

// segment is the value of a segment's key.
type segment struct {
	ID      string
	Writer  string
	Entries []Entry
}

// segmentRef is a segment in the index.
type segmentRef struct {
	Key  string
	From time.Time // when it was opened
	To   time.Time // of its last entry, set when its writer opens the next; zero before
}

// end returns a time after which the segment has no entries.
func (r segmentRef) end() time.Time {
	if r.To.IsZero() {
		return r.From.Add(maxSegmentAge)
	}
	return r.To
}

// index is the value of the index's key. Change makes each write of it
// different, so that a lost reply can be told apart.
type index struct {
	Change   string
	Segments []segmentRef // by From
}

// advance notes the end of the writer's segment before, if it had one, adds
// next, and takes out what is beyond the bounds.
func (ix *index) advance(closed, next segmentRef, change string) (dropped []string) {
	ix.Change = change
	for i := range ix.Segments {
		if ix.Segments[i].Key == closed.Key {
			ix.Segments[i].To = closed.To
		}
	}
	ix.Segments = append(ix.Segments, next)
	for len(dropped) < maxDeletes && len(ix.Segments) > 1 {
		first := ix.Segments[0]
		if len(ix.Segments) <= maxSegments && next.From.Sub(first.end()) < retention {
			break
		}
		dropped = append(dropped, first.Key)
		ix.Segments = ix.Segments[1:]
	}
	return dropped
}

func readIndex(ctx context.Context, store infra.Store) (index, infra.Revision, error) {
	kv, _, err := store.Get(ctx, indexKey)
	if err != nil || kv.ModRevision == 0 {
		return index{}, 0, trace.Wrap(err)
	}
	var ix index
	if err := json.Unmarshal(kv.Value, &ix); err != nil {
		return index{}, 0, trace.Wrap(err)
	}
	return ix, kv.ModRevision, nil
}

func readSegment(ctx context.Context, store infra.Store, key string) (segment, error) {
	kv, _, err := store.Get(ctx, key)
	if err != nil || kv.ModRevision == 0 {
		return segment{}, trace.Wrap(err)
	}
	var s segment
	return s, trace.Wrap(json.Unmarshal(kv.Value, &s))
}
