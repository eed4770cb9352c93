package node

import (
	"bytes"
	"context"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"github.com/pumicestage/pumicestage/internal/sleep"
)

// WatchInterval is how often the settings file is looked at: it may change without a
// signal.
const WatchInterval = 5 * time.Second

// WatchSettings reloads the file whenever its content has changed, until ctx ends.
func (n *Node) WatchSettings(ctx context.Context, file string, every time.Duration) {
	var last []byte
	for sleep.For(ctx, every) {
		now, err := os.ReadFile(file)
		if err != nil {
			n.log.V(1).Info("settings not read; the next look may", "file", file, "error", err.Error())
			continue
		}
		if bytes.Equal(now, last) {
			continue
		}
		first := last == nil
		last = now
		if next, err := LoadSettings(file); first && err == nil && len(changedKeys(n.settings, next)) == 0 {
			continue // as it was read at the start
		}
		n.Reload(file)
	}
}

// Reload reads the settings file again and takes over what can change while the
// process runs: the memory it may use. Whatever else changed is named in the log and
// counts from the next start, as does a file with mistakes.
func (n *Node) Reload(file string) {
	next, err := LoadSettings(file)
	if err != nil {
		n.log.Error(err, "reload: the settings in force stay", "file", file)
		return
	}
	changed := changedKeys(n.settings, next)
	limitMemory(next.MemoryMB)
	n.log.Info("reload", "file", file, "changed", changed, "memory mb", next.MemoryMB)
}

func limitMemory(mb int) { debug.SetMemoryLimit(int64(float64(mb) * memoryShare * (1 << 20))) }

// changedKeys names the keys whose values differ, as section and key.
func changedKeys(old, next *Settings) []string {
	changed := []string{}
	for key, value := range next.values {
		if old.values[key] != value {
			changed = append(changed, key)
		}
	}
	slices.Sort(changed)
	return changed
}
