package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/audit"
	"github.com/pumicestage/pumicestage/internal/command"
	"github.com/pumicestage/pumicestage/internal/config"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/lang"
	"github.com/pumicestage/pumicestage/internal/operator/operatortest"
	"github.com/pumicestage/pumicestage/policy/model"
)

// exampleDir is the folder of the declaration that the tests use.
const exampleDir = "../../examples/encuesta-viva"

// testServer is an operator API fixture and its URL.
type testServer struct {
	*operatortest.Fixture
	url string
}

func newTestServer(t *testing.T, inForce *model.Declaration) *testServer {
	t.Helper()
	f := operatortest.New(t, inForce, nil)
	f.Acks.Set([]model.EntryID{"e1"}, nil)
	srv := httptest.NewServer(f.Handler)
	t.Cleanup(srv.Close)
	return &testServer{Fixture: f, url: srv.URL}
}

func loadExample(t *testing.T) *model.Declaration {
	t.Helper()
	d, err := config.Load(exampleDir)
	assert.NilError(t, err)
	return d
}

// output holds the exit status and output of one command line.
type output struct {
	status         int
	stdout, stderr string
}

// run runs the pumicestage command line args in this process, with --server set
// to the fixture's URL and stdin as its standard input.
func (b *testServer) run(stdin string, args ...string) output {
	var out, errs bytes.Buffer
	c := newCLI(strings.NewReader(stdin), &out, &errs)
	status := run(append([]string{"--server", b.url}, args...), c)
	return output{status: status, stdout: out.String(), stderr: errs.String()}
}

// modifiedExample writes a copy of the example declaration, with the first
// occurrence of old in file replaced by new, and returns its folder.
func modifiedExample(t testing.TB, file, old, new string) string {
	t.Helper()
	dir := t.TempDir()
	paths, err := filepath.Glob(exampleDir + "/*.ini")
	assert.NilError(t, err)
	for _, p := range paths {
		text, err := os.ReadFile(p)
		assert.NilError(t, err)
		if filepath.Base(p) == file {
			assert.Assert(t, strings.Contains(string(text), old))
			text = []byte(strings.Replace(string(text), old, new, 1))
		}
		assert.NilError(t, os.WriteFile(filepath.Join(dir, filepath.Base(p)), text, 0o600))
	}
	return dir
}

func TestCheckNeedsNoServer(t *testing.T) {
	b := &testServer{url: "127.0.0.1:1"}
	good := b.run("", "check", exampleDir)
	assert.Equal(t, good.status, exitOK, good.stderr)
	assert.Equal(t, good.stdout, "encuesta-viva: 4 zones, 50 VMs, 5 pools, 5 services, 2 waves, 3 teams\n")
	bad := b.run("", "check", modifiedExample(t, "services.ini", "timeout = 2s", "timeout = soon"))
	assert.Equal(t, bad.status, exitFailure)
	assert.Assert(t, strings.Contains(bad.stderr, `services.ini: [service tabulation] timeout: given "soon", expected a duration`), bad.stderr)
	assert.Equal(t, b.run("", "check", "nowhere").status, exitUsage)
	assert.Equal(t, b.run("", "frobnicate").status, exitUsage)
	assert.Equal(t, b.run("", "audit", "--since", "yesterday").status, exitUsage)
	assert.Equal(t, b.run("", "query", "show vms").status, exitFailure)
}

func TestApply(t *testing.T) {
	b := newTestServer(t, nil)
	bad := b.run("", "apply", modifiedExample(t, "waves.ini", "pools = tabulation\n", "pools = tabulations\n"))
	assert.Equal(t, bad.status, exitFailure)
	assert.Assert(t, strings.Contains(bad.stderr, `waves.ini: [wave tabulation-fix] pools: given "tabulations"`), bad.stderr)
	assert.Equal(t, b.FaultyStore.Calls().Writes, 0)

	first := b.run("", "apply", exampleDir, "--change", "c-1")
	assert.Equal(t, first.status, exitOK, first.stderr)
	assert.Assert(t, strings.Contains(first.stdout, "+ service tabulation (pools tabulation, class urgent"), first.stdout)
	assert.Assert(t, strings.HasSuffix(first.stdout, "generation 1 in force: unknown 1/1\ngeneration 1 (change c-1) is accepted\n"), first.stdout)
	again := b.run("", "apply", exampleDir, "--change", "c-1")
	assert.Assert(t, strings.HasSuffix(again.stdout, "generation 1 (change c-1) was accepted earlier and is in force\n"), again.stdout)
	same := b.run("", "apply", exampleDir)
	assert.Assert(t, strings.HasSuffix(same.stdout, "generation 1 is the same and in force\n"), same.stdout)

	changed := modifiedExample(t, "services.ini", "timeout = 5s", "timeout = 6s\nlimit = 40")
	dry := b.run("", "apply", changed, "--dry-run")
	assert.Equal(t, dry.status, exitOK, dry.stderr)
	assert.Equal(t, dry.stdout, "~ service preview: timeout 5s -> 6s\n~ service preview: limit 0 -> 40\n")
	assert.Equal(t, b.run("", "diff", changed).stdout, dry.stdout)
	asJSON := b.run("", "-o", "json", "diff", changed)
	var reply struct{ Differ []config.Difference }
	assert.NilError(t, json.Unmarshal([]byte(asJSON.stdout), &reply))
	assert.Equal(t, len(reply.Differ), 2)
}

// One of two entry VMs is cut off and cannot confirm that it has the generation.
// apply must fail and name that entry VM rather than report success.
func TestApplyNamesEntriesNotInForce(t *testing.T) {
	b := newTestServer(t, loadExample(t))
	b.Acks.Set([]model.EntryID{"e-gt-a"}, []model.EntryID{"e-gt-b"})
	got := b.run("", "apply", exampleDir, "--wait", "150ms")
	assert.Equal(t, got.status, exitFailure)
	assert.Assert(t, strings.Contains(got.stdout, "generation 1 in force: gt-a 1/1, gt-b 0/1\n"), got.stdout)
	assert.Equal(t, got.stderr, "pumicestage: generation 1 is accepted, but not heard in force after 150ms from e-gt-b (zone gt-b)\n")
}

// Two operators apply at the same time: the first compares its declaration with
// generation 1, then the second applies generation 2. The first must be refused
// with the new differences, as it would revert generation 2 unseen.
func TestApplyConflictsWithConcurrentApply(t *testing.T) {
	b := newTestServer(t, nil)
	assert.Equal(t, b.run("", "apply", exampleDir).status, exitOK)
	concurrent := loadExample(t)
	concurrent.Service("preview").Limit = 7
	writes := 0
	b.FaultyStore.BeforeWrite(func(_ string, txn infra.Txn) {
		for _, op := range txn.Then {
			if op.Key != infra.ConfigKey {
				continue
			}
			if writes++; writes > 1 {
				return
			}
			_, err := config.Apply(context.Background(), b.BackingStore, concurrent, config.ApplyOptions{Change: "c-rival", By: "bea", At: operatortest.Epoch})
			assert.NilError(t, err)
		}
	})
	got := b.run("", "apply", modifiedExample(t, "services.ini", "timeout = 5s", "timeout = 6s"))
	assert.Equal(t, got.status, exitFailure)
	assert.Assert(t, strings.Contains(got.stderr, "generation 2 by bea (change c-rival"), got.stderr)
	assert.Assert(t, strings.Contains(got.stderr, "~ service preview: timeout 5s -> 6s\n~ service preview: limit 7 -> 0"), got.stderr)
}

func TestApplyRemovalNeedsConfirmation(t *testing.T) {
	b := newTestServer(t, nil)
	assert.Equal(t, b.run("", "apply", exampleDir).status, exitOK)
	b.Publish(loadExample(t))
	text, err := os.ReadFile(exampleDir + "/services.ini")
	assert.NilError(t, err)
	section := string(text[bytes.Index(text, []byte("[service portal]")):])
	fewer := modifiedExample(t, "services.ini", section, "")
	for _, args := range [][]string{{"apply", fewer}, {"apply", fewer, "--dry-run"}} {
		got := b.run("", args...)
		assert.Equal(t, got.status, exitFailure)
		assert.Assert(t, strings.Contains(got.stderr, "service portal is removed with its budget of 6 VMs"), got.stderr)
	}
	confirmed := b.run("", "apply", fewer, "--confirm-removal")
	assert.Equal(t, confirmed.status, exitOK, confirmed.stderr)
}

func TestQuery(t *testing.T) {
	b := newTestServer(t, loadExample(t))
	vms := b.run("", "query", "show", "vms", "where", "pool", "=", "tabulation", "and", "zone", "=", "gt-a")
	assert.Equal(t, vms.status, exitOK, vms.stderr)
	assert.Equal(t, strings.Count(vms.stdout, "tabulation"), 3, vms.stdout)
	assert.Assert(t, !strings.Contains(vms.stdout, "WARNING"), vms.stdout)
	lose := b.run("", "query", "what-if lose rack gt-a-r1")
	assert.Assert(t, strings.Contains(lose.stdout, "every budget would hold"), lose.stdout)
	broken := b.run("", "query", "what-if lose zone gt-a")
	assert.Assert(t, strings.Contains(broken.stdout, "every budget would hold"), broken.stdout)
	explained := b.run("", "query", "explain vm v01")
	assert.Assert(t, strings.Contains(explained.stdout, "declared in pool tabulation, rack gt-a-r1, zone gt-a"), explained.stdout)
	misspelled := b.run("", "query", "show vmz")
	assert.Equal(t, misspelled.status, exitFailure)
	assert.Assert(t, strings.Contains(misspelled.stderr, "show vmz\n       ^^^"), misspelled.stderr)
	watched := b.run("", "query", "show zones", "--watch", "--every", "1ms", "--times", "2")
	assert.Equal(t, strings.Count(watched.stdout, "ZONE"), 2)

	b.Clock.Advance(time.Minute)
	stale := b.run("", "query", "show zones")
	assert.Assert(t, strings.Contains(stale.stdout, "WARNING: this view is 1m0s old"), stale.stdout)
	screen := b.run("", "top", "--times", "1")
	assert.Equal(t, screen.status, exitOK, screen.stderr)
	assert.Assert(t, strings.Contains(screen.stdout, "show services") && strings.Contains(screen.stdout, "WARNING"), screen.stdout)
}

func TestDoAndAudit(t *testing.T) {
	b := newTestServer(t, loadExample(t))
	b.Fleet.Refusals = map[model.VMID]*command.Refusal{"v02": {Code: command.CodeBudget, Detail: "service weighting has 6 of 10 VMs up and needs 6"}}
	done := b.run("", "do", "drain", "vm", "v01", "reason", "bad disk", "--change", "c-1")
	assert.Equal(t, done.status, exitOK, done.stderr)
	assert.Equal(t, done.stdout, "vm v01: before -> after (revision 7)\nchange c-1\n")
	partial := b.run("", "do", "drain rack gt-a-r1")
	assert.Equal(t, partial.status, exitFailure)
	assert.Assert(t, strings.Contains(partial.stdout, "vm v02: refused (budget)"), partial.stdout)
	assert.Equal(t, partial.stderr, "pumicestage: 1 of 4 refused\n")
	refused := b.run("", "do", "drain vm v02")
	assert.Equal(t, refused.status, exitFailure)
	assert.Assert(t, strings.Contains(refused.stderr, "needs 6"), refused.stderr)

	assert.NilError(t, b.Trail.Flush(context.Background()))
	lines := b.run("", "-o", "json", "audit", "--what", "bad disk")
	var e audit.Entry
	dec := json.NewDecoder(strings.NewReader(lines.stdout))
	assert.NilError(t, dec.Decode(&e))
	assert.Equal(t, e.What, `drain vm v01 reason "bad disk"`)
	assert.Equal(t, e.Result, audit.Asked)
	assert.NilError(t, dec.Decode(&e))
	assert.Equal(t, e.Result, audit.Done)
	assert.Equal(t, e.After, "vm v01: after")
	explained := b.run("", "query", "explain vm v01")
	assert.Assert(t, strings.Contains(explained.stdout, `done: drain vm v01 reason "bad disk"`), explained.stdout)
}

func TestShellReadsAStream(t *testing.T) {
	b := newTestServer(t, loadExample(t))
	got := b.run("# a comment\n\nshow zones\ndrain vm v01\nshow vmz\nshow pools\n", "shell")
	assert.Equal(t, got.status, exitFailure)
	assert.Assert(t, strings.Contains(got.stdout, "ZONE") && strings.Contains(got.stdout, "vm v01: before -> after"), got.stdout)
	assert.Assert(t, !strings.Contains(got.stdout, "POOL"), "continued after a line that failed")
	assert.DeepEqual(t, b.Fleet.Orders, []string{"drain v01"})
}

type fixedNames map[lang.Class][]string

func (f fixedNames) names(_ context.Context, class lang.Class) []string { return f[class] }

func TestComplete(t *testing.T) {
	names := fixedNames{lang.ClassVM: {"v01", "v02", "w1"}, lang.ClassPool: {"tabulation"}}
	cases := []struct {
		line  string
		head  string
		words []string
	}{
		{"", "", []string{"show ", "explain ", "what-if ", "drain ", "undrain ", "move ", "start ", "pause ", "resume ", "cancel ", "set ", "submit "}},
		{"sh", "", []string{"show "}},
		{"drain vm v", "drain vm ", []string{"v01 ", "v02 "}},
		{"move vm v01 to ", "move vm v01 to ", []string{"pool "}},
		{"move vm v01 to pool t", "move vm v01 to pool ", []string{"tabulation "}},
		{"show vms where s", "show vms where ", []string{"state ", "since "}},
		{"drain nothing ", "drain nothing ", nil},
	}
	for _, tc := range cases {
		head, words := complete(context.Background(), tc.line, names)
		assert.Equal(t, head, tc.head)
		assert.DeepEqual(t, words, tc.words)
	}
}
