package devjobs

import (
	"bytes"
	"context"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/node"
)

// The example that a new user runs first must hold its guarantees: every job completes
// and no task runs twice, despite a maintenance wave over all VMs, the shutdown of two
// entry VMs and the restart of workers.
func TestTheExampleKeepsItsPromises(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, Once(context.Background(), &out, io.Discard))
	for _, line := range []string{"jobs completed        120 of 120", "tasks done            700", "tasks run twice       0", "starts over a limit   0", "served again 0 times"} {
		assert.Assert(t, strings.Contains(out.String(), line), out.String())
	}
}

// An entry daemon must be able to load the settings that ServePlatform prints: a setting
// that the template lacks would fail here.
func TestPrintedEntryDaemonSettingsLoad(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var out bytes.Buffer
	assert.NilError(t, ServePlatform(ctx, &out))
	file := filepath.Join(t.TempDir(), "settings.ini")
	assert.NilError(t, os.WriteFile(file, out.Bytes(), 0o600))
	s, err := node.LoadSettings(file)
	assert.NilError(t, err)
	assert.Assert(t, s.Store != "" && s.VMs != "" && s.Advisor != "")
}
