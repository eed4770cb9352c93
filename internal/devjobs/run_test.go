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

// What a newcomer runs first keeps its promises: every job completes and nothing runs
// twice, through a wave over all VMs and the shutdown of two entry VMs.
func TestTheExampleKeepsItsPromises(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, Once(context.Background(), &out, io.Discard))
	for _, line := range []string{"jobs completed        120 of 120", "tasks done            700", "tasks run twice       0", "starts over a limit   0", "served again 0 times"} {
		assert.Assert(t, strings.Contains(out.String(), line), out.String())
	}
}

// The settings that the stand-in prints are whole: an entry daemon takes them.
func TestTheSettingsForAnEntryDaemonAreWhole(t *testing.T) {
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
