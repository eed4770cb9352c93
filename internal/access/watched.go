package access

import (
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
)

// checkEvery is how often files are looked at again, on use: a token that is
// taken away is refused that much later at most.
const checkEvery = 5 * time.Second

// maxFileBytes bounds a file of tokens or certificates.
const maxFileBytes = 1 << 20

// watched is a value made from files, made anew when they change. It needs no
// goroutine: whoever uses it looks whether it is time to look.
type watched[T any] struct {
	paths []string
	clock clockwork.Clock
	log   logr.Logger
	parse func(texts [][]byte) (T, error)

	value   atomic.Pointer[T]
	checked atomic.Int64 // nanoseconds of the clock

	mu     sync.Mutex
	stamps []stamp
}

// stamp tells one version of a file from another.
type stamp struct {
	size    int64
	changed time.Time
}

func newWatched[T any](paths []string, clock clockwork.Clock, log logr.Logger, parse func([][]byte) (T, error)) (*watched[T], error) {
	w := &watched[T]{paths: paths, clock: clock, log: log, parse: parse}
	stamps, err := w.look()
	if err != nil {
		return nil, err
	}
	if err := w.load(stamps); err != nil {
		return nil, err
	}
	w.checked.Store(clock.Now().UnixNano())
	return w, nil
}

// get returns the newest good value.
func (w *watched[T]) get() T {
	due := w.checked.Load() + int64(checkEvery)
	if w.clock.Now().UnixNano() >= due {
		w.refresh(due)
	}
	return *w.value.Load()
}

// refresh reads the files anew where they changed. A file that is bad, as one
// that is half written, leaves the last good value and is tried again.
func (w *watched[T]) refresh(due int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.checked.Load()+int64(checkEvery) != due {
		return // another caller was first
	}
	w.checked.Store(w.clock.Now().UnixNano())
	stamps, err := w.look()
	if err == nil && same(stamps, w.stamps) {
		return
	}
	if err == nil {
		err = w.load(stamps)
	}
	if err != nil {
		w.log.Error(err, "files not taken over, the last good ones stay in force", "paths", w.paths)
		return
	}
	w.log.Info("files read anew", "paths", w.paths)
}

func (w *watched[T]) look() ([]stamp, error) {
	stamps := make([]stamp, len(w.paths))
	for i, p := range w.paths {
		info, err := os.Stat(p)
		if err != nil {
			return nil, &FileError{Path: p, Problems: []string{"cannot be read"}}
		}
		if info.Size() > maxFileBytes {
			return nil, &FileError{Path: p, Problems: []string{"over 1 MiB"}}
		}
		stamps[i] = stamp{size: info.Size(), changed: info.ModTime()}
	}
	return stamps, nil
}

func (w *watched[T]) load(stamps []stamp) error {
	texts := make([][]byte, len(w.paths))
	for i, p := range w.paths {
		text, err := os.ReadFile(p)
		if err != nil {
			return &FileError{Path: p, Problems: []string{"cannot be read"}}
		}
		texts[i] = text
	}
	value, err := w.parse(texts)
	if err != nil {
		return err
	}
	w.stamps = stamps
	w.value.Store(&value)
	return nil
}

func same(a, b []stamp) bool {
	for i := range a {
		if a[i].size != b[i].size || !a[i].changed.Equal(b[i].changed) {
			return false
		}
	}
	return len(a) == len(b)
}
