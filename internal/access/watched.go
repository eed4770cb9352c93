package access

import (
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
)

// recheckInterval is the minimum time between two checks of the files, which are
// made on use. A token that is removed from its file is refused after at most
// this time.
const recheckInterval = 5 * time.Second

// maxFileBytes is the maximum size of a token or certificate file.
const maxFileBytes = 1 << 20

// watchedFiles holds a value parsed from files and reloads it when they change.
// It needs no goroutine: get checks the files if the last check is older than
// recheckInterval.
type watchedFiles[T any] struct {
	paths []string
	clock clockwork.Clock
	log   logr.Logger
	parse func(texts [][]byte) (T, error)

	value   atomic.Pointer[T]
	checked atomic.Int64 // time of the last check, in Unix nanoseconds

	mu       sync.Mutex
	versions []fileVersion
}

// fileVersion distinguishes versions of a file.
type fileVersion struct {
	size    int64
	modTime time.Time
}

func newWatchedFiles[T any](paths []string, clock clockwork.Clock, log logr.Logger, parse func([][]byte) (T, error)) (*watchedFiles[T], error) {
	w := &watchedFiles[T]{paths: paths, clock: clock, log: log, parse: parse}
	versions, err := w.stat()
	if err != nil {
		return nil, err
	}
	if err := w.load(versions); err != nil {
		return nil, err
	}
	w.checked.Store(clock.Now().UnixNano())
	return w, nil
}

// get returns the most recent valid value.
func (w *watchedFiles[T]) get() T {
	due := w.checked.Load() + int64(recheckInterval)
	if w.clock.Now().UnixNano() >= due {
		w.refresh(due)
	}
	return *w.value.Load()
}

// refresh reloads the files if they changed. If one is invalid, for instance half
// written, the last valid value stays in use and the files are tried again at the
// next check.
func (w *watchedFiles[T]) refresh(due int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.checked.Load()+int64(recheckInterval) != due {
		return // another goroutine has checked the files meanwhile
	}
	w.checked.Store(w.clock.Now().UnixNano())
	versions, err := w.stat()
	if err == nil && sameVersions(versions, w.versions) {
		return
	}
	if err == nil {
		err = w.load(versions)
	}
	if err != nil {
		w.log.Error(err, "cannot reload files; the last valid contents stay in use", "paths", w.paths)
		return
	}
	w.log.Info("files reloaded", "paths", w.paths)
}

func (w *watchedFiles[T]) stat() ([]fileVersion, error) {
	versions := make([]fileVersion, len(w.paths))
	for i, p := range w.paths {
		info, err := os.Stat(p)
		if err != nil {
			return nil, &FileError{Path: p, Problems: []string{"cannot be read"}}
		}
		if info.Size() > maxFileBytes {
			return nil, &FileError{Path: p, Problems: []string{"over 1 MiB"}}
		}
		versions[i] = fileVersion{size: info.Size(), modTime: info.ModTime()}
	}
	return versions, nil
}

func (w *watchedFiles[T]) load(versions []fileVersion) error {
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
	w.versions = versions
	w.value.Store(&value)
	return nil
}

func sameVersions(a, b []fileVersion) bool {
	for i := range a {
		if a[i].size != b[i].size || !a[i].modTime.Equal(b[i].modTime) {
			return false
		}
	}
	return len(a) == len(b)
}
