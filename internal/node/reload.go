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

// WatchInterval is the interval at which the settings file is polled for changes that no
// signal announced.
const WatchInterval = 5 * time.Second

// WatchSettings reads the file at each interval and reloads it if its content has changed,
// until ctx ends.
func (n *Node) WatchSettings(ctx context.Context, file string, every time.Duration) {
	var last []byte
	for sleep.For(ctx, every) {
		now, err := os.ReadFile(file)
		if err != nil {
			n.log.V(1).Info("settings file not read; retrying at the next interval", "file", file, "error", err.Error())
			continue
		}
		if bytes.Equal(now, last) {
			continue
		}
		first := last == nil
		last = now
		if next, err := LoadSettings(file); first && err == nil && len(changedKeys(n.settings, next)) == 0 {
			continue // same values as at the start
		}
		n.Reload(file)
	}
}

// Reload reads the settings file again and applies what can change while the process runs:
// the memory limit and the callers' share of it. All changed keys are logged; the others take effect at the next start. A
// file with mistakes changes nothing.
func (n *Node) Reload(file string) {
	next, err := LoadSettings(file)
	if err != nil {
		n.log.Error(err, "reload: the settings in force stay", "file", file)
		return
	}
	changed := changedKeys(n.settings, next)
	limitMemory(next.MemoryMB)
	next.CallerLimits = next.CallerLimits.withDefaults()
	n.budget.SetTotal(next.callersMemory())
	n.log.Info("reload", "file", file, "changed", changed, "memory mb", next.MemoryMB)
}

func limitMemory(mb int) { debug.SetMemoryLimit(int64(float64(mb) * memoryShare * (1 << 20))) }

// changedKeys returns the keys whose values differ, as section.key, sorted.
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
