package policy_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// substitution matches "s/old/new/" of an ablation; old may contain escaped slashes.
var substitution = regexp.MustCompile(`^s/((?:[^/\\]|\\.)*)/((?:[^/\\]|\\.)*)/$`)

// Guards against an ablation that changes nothing, as the code that it edits was reworded: its
// comparison would be of a state with itself.
func TestAblationsMatchTheCode(t *testing.T) {
	const root = ".."
	raw, err := os.ReadFile(filepath.Join(root, "scripts", "ablations"))
	assert.NilError(t, err)
	for line := range strings.Lines(string(raw)) {
		parts := strings.SplitN(strings.TrimSuffix(line, "\n"), "|", 3)
		assert.Equal(t, len(parts), 3, line)
		name := strings.TrimSpace(parts[0])
		s := substitution.FindStringSubmatch(strings.TrimPrefix(parts[2], " "))
		assert.Assert(t, s != nil, "%s: %q is not s/old/new/", name, parts[2])
		old, err := regexp.Compile("(?m)" + s[1])
		assert.NilError(t, err, name)
		code, err := os.ReadFile(filepath.Join(root, strings.TrimSpace(parts[1])))
		assert.NilError(t, err, name)
		assert.Assert(t, old.Match(code), "%s: nothing in %s matches %q", name, strings.TrimSpace(parts[1]), s[1])
	}
}
