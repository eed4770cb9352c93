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

const exampleDir = "../../examples/encuesta-viva"

// bench is a fixture with its address.
type bench struct {
	*operatortest.Fixture
	url string
}

func newBench(t *testing.T, inForce *model.Declaration) *bench {
	t.Helper()
	f := operatortest.New(t, inForce, nil)
	f.Acks.Set([]model.EntryID{"e1"}, nil)
	srv := httptest.NewServer(f.Handler)
	t.Cleanup(srv.Close)
	return &bench{Fixture: f, url: srv.URL}
}

func loadExample(t *testing.T) *model.Declaration {
	t.Helper()
	d, err := config.Load(exampleDir)
	assert.NilError(t, err)
	return d
}

// output is what one command line gave.
type output struct {
	status      int
	out, errors string
}

func (b *bench) run(stdin string, args ...string) output {
	var out, errs bytes.Buffer
	c := newCLI(strings.NewReader(stdin), &out, &errs)
	status := run(append([]string{"--server", b.url}, args...), c)
	return output{status: status, out: out.String(), errors: errs.String()}
}

// variant writes the example with one text replaced by another.
func variant(t testing.TB, file, old, new string) string {
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
	b := &bench{url: "127.0.0.1:1"}
	good := b.run("", "check", exampleDir)
	assert.Equal(t, good.status, exitDone, good.errors)
	assert.Equal(t, good.out, "encuesta-viva: 4 zones, 50 VMs, 5 pools, 5 services, 2 waves, 3 teams\n")
	bad := b.run("", "check", variant(t, "services.ini", "timeout = 2s", "timeout = soon"))
	assert.Equal(t, bad.status, exitRefused)
	assert.Assert(t, strings.Contains(bad.errors, `services.ini: [service tabulation] timeout: given "soon", expected a duration`), bad.errors)
	assert.Equal(t, b.run("", "check", "nowhere").status, exitUsage)
	assert.Equal(t, b.run("", "frobnicate").status, exitUsage)
	assert.Equal(t, b.run("", "audit", "--since", "yesterday").status, exitUsage)
	assert.Equal(t, b.run("", "query", "show vms").status, exitRefused)
}

func TestApply(t *testing.T) {
	b := newBench(t, nil)
	bad := b.run("", "apply", variant(t, "waves.ini", "pools = tabulation\n", "pools = tabulations\n"))
	assert.Equal(t, bad.status, exitRefused)
	assert.Assert(t, strings.Contains(bad.errors, `waves.ini: [wave tabulation-fix] pools: given "tabulations"`), bad.errors)
	assert.Equal(t, b.FaultyStore.Calls().Writes, 0)

	first := b.run("", "apply", exampleDir, "--change", "c-1")
	assert.Equal(t, first.status, exitDone, first.errors)
	assert.Assert(t, strings.Contains(first.out, "+ service tabulation (pools tabulation, class urgent"), first.out)
	assert.Assert(t, strings.HasSuffix(first.out, "generation 1 in force: unknown 1/1\ngeneration 1 (change c-1) is accepted\n"), first.out)
	again := b.run("", "apply", exampleDir, "--change", "c-1")
	assert.Assert(t, strings.HasSuffix(again.out, "generation 1 (change c-1) was accepted earlier and is in force\n"), again.out)
	same := b.run("", "apply", exampleDir)
	assert.Assert(t, strings.HasSuffix(same.out, "generation 1 is the same and in force\n"), same.out)

	changed := variant(t, "services.ini", "timeout = 5s", "timeout = 6s\nlimit = 40")
	dry := b.run("", "apply", changed, "--dry-run")
	assert.Equal(t, dry.status, exitDone, dry.errors)
	assert.Equal(t, dry.out, "~ service preview: timeout 5s -> 6s\n~ service preview: limit 0 -> 40\n")
	assert.Equal(t, b.run("", "diff", changed).out, dry.out)
	asJSON := b.run("", "-o", "json", "diff", changed)
	var reply struct{ Differ []config.Difference }
	assert.NilError(t, json.Unmarshal([]byte(asJSON.out), &reply))
	assert.Equal(t, len(reply.Differ), 2)
}

// Two entry VMs' worth of answers: one of them is cut off and cannot say that
// it has the generation. The operator must not read "in force" but the name.
func TestApplyNamesWhoIsNotHeard(t *testing.T) {
	b := newBench(t, loadExample(t))
	b.Acks.Set([]model.EntryID{"e-gt-a"}, []model.EntryID{"e-gt-b"})
	got := b.run("", "apply", exampleDir, "--wait", "150ms")
	assert.Equal(t, got.status, exitRefused)
	assert.Assert(t, strings.Contains(got.out, "generation 1 in force: gt-a 1/1, gt-b 0/1\n"), got.out)
	assert.Equal(t, got.errors, "pumicestage: generation 1 is accepted, but not heard in force after 150ms from e-gt-b (zone gt-b)\n")
}

// Two operators apply at once: ours was compared with generation 1 when the
// other's became generation 2. Ours must not undo it unseen.
func TestApplyLosesToARival(t *testing.T) {
	b := newBench(t, nil)
	assert.Equal(t, b.run("", "apply", exampleDir).status, exitDone)
	rival := loadExample(t)
	rival.Service("preview").Limit = 7
	writes := 0
	b.FaultyStore.BeforeWrite(func(_ string, txn infra.Txn) {
		for _, op := range txn.Then {
			if op.Key != infra.ConfigKey {
				continue
			}
			if writes++; writes > 1 {
				return
			}
			_, err := config.Apply(context.Background(), b.BackingStore, rival, config.ApplyOptions{Change: "c-rival", By: "bea", At: operatortest.Epoch})
			assert.NilError(t, err)
		}
	})
	got := b.run("", "apply", variant(t, "services.ini", "timeout = 5s", "timeout = 6s"))
	assert.Equal(t, got.status, exitRefused)
	assert.Assert(t, strings.Contains(got.errors, "generation 2 by bea (change c-rival"), got.errors)
	assert.Assert(t, strings.Contains(got.errors, "~ service preview: timeout 5s -> 6s\n~ service preview: limit 7 -> 0"), got.errors)
}

func TestApplyRemovalIsSaidTwice(t *testing.T) {
	b := newBench(t, nil)
	assert.Equal(t, b.run("", "apply", exampleDir).status, exitDone)
	b.Publish(loadExample(t))
	text, err := os.ReadFile(exampleDir + "/services.ini")
	assert.NilError(t, err)
	portal := string(text[bytes.Index(text, []byte("[service portal]")):])
	fewer := variant(t, "services.ini", portal, "")
	for _, args := range [][]string{{"apply", fewer}, {"apply", fewer, "--dry-run"}} {
		got := b.run("", args...)
		assert.Equal(t, got.status, exitRefused)
		assert.Assert(t, strings.Contains(got.errors, "service portal is removed with its budget of 6 VMs"), got.errors)
	}
	twice := b.run("", "apply", fewer, "--confirm-removal")
	assert.Equal(t, twice.status, exitDone, twice.errors)
}

func TestQuery(t *testing.T) {
	b := newBench(t, loadExample(t))
	vms := b.run("", "query", "show", "vms", "where", "pool", "=", "tabulation", "and", "zone", "=", "gt-a")
	assert.Equal(t, vms.status, exitDone, vms.errors)
	assert.Equal(t, strings.Count(vms.out, "tabulation"), 3, vms.out)
	assert.Assert(t, !strings.Contains(vms.out, "WARNING"), vms.out)
	lose := b.run("", "query", "what-if lose rack gt-a-r1")
	assert.Assert(t, strings.Contains(lose.out, "every budget would hold"), lose.out)
	broken := b.run("", "query", "what-if lose zone gt-a")
	assert.Assert(t, strings.Contains(broken.out, "every budget would hold"), broken.out)
	explained := b.run("", "query", "explain vm v01")
	assert.Assert(t, strings.Contains(explained.out, "declared in pool tabulation, rack gt-a-r1, zone gt-a"), explained.out)
	slip := b.run("", "query", "show vmz")
	assert.Equal(t, slip.status, exitRefused)
	assert.Assert(t, strings.Contains(slip.errors, "show vmz\n       ^^^"), slip.errors)
	watched := b.run("", "query", "show zones", "--watch", "--every", "1ms", "--times", "2")
	assert.Equal(t, strings.Count(watched.out, "ZONE"), 2)

	b.Clock.Advance(time.Minute)
	stale := b.run("", "query", "show zones")
	assert.Assert(t, strings.Contains(stale.out, "WARNING: this view is 1m0s old"), stale.out)
	screen := b.run("", "top", "--times", "1")
	assert.Equal(t, screen.status, exitDone, screen.errors)
	assert.Assert(t, strings.Contains(screen.out, "show services") && strings.Contains(screen.out, "WARNING"), screen.out)
}

func TestDoAndAudit(t *testing.T) {
	b := newBench(t, loadExample(t))
	b.Fleet.Refusals = map[model.VMID]*command.Refusal{"v02": {Code: command.CodeBudget, Detail: "service weighting has 6 of 10 VMs up and needs 6"}}
	done := b.run("", "do", "drain", "vm", "v01", "reason", "bad disk", "--change", "c-1")
	assert.Equal(t, done.status, exitDone, done.errors)
	assert.Equal(t, done.out, "vm v01: before -> after (revision 7)\nchange c-1\n")
	part := b.run("", "do", "drain rack gt-a-r1")
	assert.Equal(t, part.status, exitRefused)
	assert.Assert(t, strings.Contains(part.out, "vm v02: refused (budget)"), part.out)
	assert.Equal(t, part.errors, "pumicestage: 1 of 4 refused\n")
	refused := b.run("", "do", "drain vm v02")
	assert.Equal(t, refused.status, exitRefused)
	assert.Assert(t, strings.Contains(refused.errors, "needs 6"), refused.errors)

	assert.NilError(t, b.Trail.Flush(context.Background()))
	lines := b.run("", "-o", "json", "audit", "--what", "bad disk")
	var e audit.Entry
	dec := json.NewDecoder(strings.NewReader(lines.out))
	assert.NilError(t, dec.Decode(&e))
	assert.Equal(t, e.What, `drain vm v01 reason "bad disk"`)
	assert.Equal(t, e.Result, audit.Asked)
	assert.NilError(t, dec.Decode(&e))
	assert.Equal(t, e.Result, audit.Done)
	assert.Equal(t, e.After, "vm v01: after")
	explained := b.run("", "query", "explain vm v01")
	assert.Assert(t, strings.Contains(explained.out, `done: drain vm v01 reason "bad disk"`), explained.out)
}

func TestShellReadsAStream(t *testing.T) {
	b := newBench(t, loadExample(t))
	got := b.run("# a comment\n\nshow zones\ndrain vm v01\nshow vmz\nshow pools\n", "shell")
	assert.Equal(t, got.status, exitRefused)
	assert.Assert(t, strings.Contains(got.out, "ZONE") && strings.Contains(got.out, "vm v01: before -> after"), got.out)
	assert.Assert(t, !strings.Contains(got.out, "POOL"), "went on after a line that failed")
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
