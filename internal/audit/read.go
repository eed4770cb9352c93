package audit

import (
	"context"
	"sort"
)

// Read returns the newest entries that match the filter, oldest first, and
// whether there were more than its limit. Its errors are of type *Error.
func (t *Trail) Read(ctx context.Context, f Filter) (entries []Entry, more bool, err error) {
	limit := f.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	ix, _, err := readIndex(ctx, t.store)
	if err != nil {
		return nil, false, &Error{Err: err}
	}
	for i := len(ix.Segments) - 1; i >= 0; i-- {
		ref := ix.Segments[i]
		if !f.Since.IsZero() && ref.end().Before(f.Since) || !f.Until.IsZero() && ref.From.After(f.Until) {
			continue
		}
		if len(entries) >= limit && !mayHoldNewer(entries, limit, ref) {
			more = true
			break
		}
		seg, err := readSegment(ctx, t.store, ref.Key)
		if err != nil {
			return nil, false, &Error{Err: err}
		}
		for _, e := range seg.Entries {
			if f.matches(e) {
				entries = append(entries, e)
			}
		}
		sort.SliceStable(entries, func(a, b int) bool { return entries[a].At.Before(entries[b].At) })
	}
	if over := len(entries) - limit; over > 0 {
		return entries[over:], true, nil
	}
	return entries, more, nil
}

// mayHoldNewer reports whether the segment may hold entries newer than the
// oldest of the newest limit entries. Segments of different writers overlap in
// time.
func mayHoldNewer(entries []Entry, limit int, ref segmentRef) bool {
	return !ref.end().Before(entries[len(entries)-limit].At)
}
