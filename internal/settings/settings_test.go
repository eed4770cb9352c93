package settings

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/fs"

	"github.com/pumicestage/pumicestage/internal/entry"
)

const validText = `
[entry]
id = e1
zone = gt-a
cluster = example
[callers]
listen = 127.0.0.1:18080
[operators]
listen = 127.0.0.1:18180
[peers]
listen = 127.0.0.1:18280
seeds = 127.0.0.1:18281, 127.0.0.1:18282
[platform]
store = http://127.0.0.1:18300
machines = http://127.0.0.1:18301
`

func load(t *testing.T, text string) (*Settings, error) {
	t.Helper()
	return Load(fs.NewFile(t, "settings", fs.WithContent(text)).Path())
}

func TestLoadFillsDefaults(t *testing.T) {
	s, err := load(t, validText)
	assert.NilError(t, err)
	assert.Equal(t, s.Callers.Advertise, "127.0.0.1:18080")
	assert.Equal(t, s.PlatformTimeout, 2*time.Second)
	assert.DeepEqual(t, s.Seeds, []string{"127.0.0.1:18281", "127.0.0.1:18282"})
}

// Checks that one load reports every mistake with its section and key, also
// those in combinations of keys, so that operators can correct a file in one
// pass.
func TestLoadReportsEveryMistakeAtOnce(t *testing.T) {
	_, err := load(t, `
[entry]
id = e one
zone = gt-a
colour = red
[callers]
listen = localhost:80
[operators]
listen = 0.0.0.0:18180
[peers]
listen = 127.0.0.1:99999
[platform]
store = 127.0.0.1
timeout = soon
[extra]
`)
	var invalid *Error
	assert.Assert(t, errors.As(err, &invalid))
	got := make(map[string]bool)
	for _, m := range invalid.Mistakes {
		got[m.Section+"/"+m.Key] = true
	}
	want := map[string]bool{
		"entry/id": true, "entry/cluster": true, "entry/colour": true, "callers/listen": true,
		"operators/advertise": true, "peers/listen": true, "platform/store": true,
		"platform/timeout": true, "platform/machines": true, "extra/": true,
	}
	assert.DeepEqual(t, got, want)
}

// Guards against a daemon that starts with the address of a service that it can't call.
func TestLoadRefusesURLsWithoutHostOrPort(t *testing.T) {
	for _, url := range []string{"http://:18300", "http://127.0.0.1", "http://", "https://:", "127.0.0.1:18300"} {
		_, err := load(t, strings.ReplaceAll(validText, "http://127.0.0.1:18300", url))
		assert.ErrorContains(t, err, "[platform] store", url)
	}
}

func TestLoadLimits(t *testing.T) {
	s, err := load(t, validText+"[limits]\nbody-rate = 100\ninside = 7\nwrite-timeout = 3s\n")
	assert.NilError(t, err)
	want := entry.DefaultLimits()
	want.MinBodyRate, want.MaxInFlight, want.WriteTimeout = 100, 7, 3*time.Second
	assert.DeepEqual(t, s.Limits, want)
	_, err = load(t, validText+"[limits]\nbody-rate = -1\ninside = many\n")
	assert.ErrorContains(t, err, `[limits] body-rate: given "-1"`)
	assert.ErrorContains(t, err, `[limits] inside: given "many"`)
}

func TestLoadCrossChecksTLS(t *testing.T) {
	_, err := load(t, validText+"[callers]\ntls-cert = /dev/null\n")
	assert.ErrorContains(t, err, "tls-cert and tls-key go together")
}
