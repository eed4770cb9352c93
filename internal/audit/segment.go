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
	// maxSegmentBytes is the size at which a writer opens its next segment.
	// Each append rewrites the whole segment, which is half full on average, so
	// smaller segments need fewer written bytes and larger ones fewer index
	// entries.
	maxSegmentBytes = 64 << 10
	// maxSegmentAge is the age at which a writer opens its next segment at the
	// latest. It bounds the period that the last segment of a dead writer can
	// cover.
	maxSegmentAge = 24 * time.Hour
	// maxSegments bounds the trail: 2,000 segments of 64 KiB take 128 MB in the
	// store and an index of about 250 KB, a quarter of the maximum value size.
	maxSegments = 2000
	// retention is the minimum time for which entries are kept, unless
	// maxSegments is reached earlier.
	retention = 90 * 24 * time.Hour
	// maxDeletes bounds the segments deleted in one transaction; the store
	// accepts 128 operations.
	maxDeletes = 64
)

// segment is the stored value of a segment.
type segment struct {
	ID      string
	Writer  string
	Entries []Entry
}

// segmentRef is the index entry of a segment.
type segmentRef struct {
	Key  string
	From time.Time // when it was opened
	To   time.Time // when it was last written; set when its writer opens the next one, zero before
}

// end returns a time after which the segment has no entries.
func (r segmentRef) end() time.Time {
	if r.To.IsZero() {
		return r.From.Add(maxSegmentAge)
	}
	return r.To
}

// index is the stored value of the index. Change is different in each write, so
// that after a lost reply the stored value shows whether the write took effect.
type index struct {
	Change   string
	Segments []segmentRef // in the order in which they were opened
}

// advance sets the end of the writer's previous segment, closed, if it had one,
// and appends next. It removes up to maxDeletes segments that exceed maxSegments
// or retention and returns their keys.
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
