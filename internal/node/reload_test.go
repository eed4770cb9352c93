package node

import (
	"context"
	"os"
	"path/filepath"
	"runtime/debug"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"
)

// A reload applies the memory limit and logs all changed keys, also those that take effect at
// the next start. A file with a mistake changes nothing.
func TestReloadAppliesTheMemoryLimitAndLogsChangedKeys(t *testing.T) {
	old := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(old)
	s, err := loadText(t, validSettings)
	assert.NilError(t, err)
	var lines []string
	n := &Node{settings: s, log: funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})}
	file := filepath.Join(t.TempDir(), "settings.ini")

	write := func(text string) { assert.NilError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write(strings.NewReplacer("memory-mb = 284", "memory-mb = 400", "shutdown-s = 6", "shutdown-s = 9").Replace(validSettings))
	n.Reload(file)
	assert.Equal(t, debug.SetMemoryLimit(-1), int64(400*memoryShare*(1<<20)))
	assert.Assert(t, strings.Contains(lines[0], "limits.memory-mb"), lines[0])
	assert.Assert(t, strings.Contains(lines[0], "limits.shutdown-s"), lines[0])

	write(strings.Replace(validSettings, "memory-mb = 284", "memory-mb = none", 1))
	n.Reload(file)
	assert.Equal(t, debug.SetMemoryLimit(-1), int64(400*memoryShare*(1<<20)))
	assert.Assert(t, strings.Contains(lines[1], "the settings in force stay"), lines[1])
}

// A changed settings file is reloaded without a signal.
func TestSettingsThatChangeWithoutASignalAreReloaded(t *testing.T) {
	old := debug.SetMemoryLimit(-1)
	defer debug.SetMemoryLimit(old)
	s, err := loadText(t, validSettings)
	assert.NilError(t, err)
	lines := make(chan string, 1)
	n := &Node{settings: s, log: funcr.New(func(_, line string) { lines <- line }, funcr.Options{})}
	file := filepath.Join(t.TempDir(), "settings.ini")
	assert.NilError(t, os.WriteFile(file, []byte(validSettings), 0o600))
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); n.WatchSettings(ctx, file, time.Millisecond) }()
	next := file + ".next"
	assert.NilError(t, os.WriteFile(next, []byte(strings.Replace(validSettings, "memory-mb = 284", "memory-mb = 500", 1)), 0o600))
	assert.NilError(t, os.Rename(next, file))
	line := <-lines
	cancel()
	<-done
	assert.Assert(t, strings.Contains(line, "reload") && strings.Contains(line, "limits.memory-mb"), line)
}
