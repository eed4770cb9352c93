package policy_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// allowed lists what decisions may import. None of it can reach a network, a
// file, a clock's hand or another goroutine.
var allowed = map[string]bool{
	"cmp": true, "container/heap": true, "container/list": true, "errors": true, "fmt": true, "hash/fnv": true,
	"maps": true, "math": true, "math/bits": true, "math/rand/v2": true, "slices": true,
	"sort": true, "strconv": true, "strings": true, "time": true,
}

// A decision that reads the clock or the network cannot be replayed: the same
// snapshot would give another plan, and its tests would flake. Imports are
// checked, and the calls of package time that read the clock.
func TestDecisionsImportNoNetworkAndReadNoClock(t *testing.T) {
	err := filepath.WalkDir(".", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		set := token.NewFileSet()
		file, err := parser.ParseFile(set, path, nil, 0)
		assert.NilError(t, err)
		for _, imp := range file.Imports {
			name, err := strconv.Unquote(imp.Path.Value)
			assert.NilError(t, err)
			own := strings.HasPrefix(name, "github.com/pumicestage/pumicestage/policy/")
			assert.Assert(t, own || allowed[name], "%s imports %s", path, name)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			sel, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			pkg, ok := sel.X.(*ast.Ident)
			readsClock := ok && pkg.Name == "time" && (sel.Sel.Name == "Now" || sel.Sel.Name == "Since" || sel.Sel.Name == "Sleep")
			assert.Assert(t, !readsClock, "%s uses time.%s", path, sel.Sel.Name)
			return true
		})
		return nil
	})
	assert.NilError(t, err)
}
