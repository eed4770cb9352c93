package config

import (
	"errors"
	"testing"

	"github.com/pumicestage/pumicestage/policy/model"
)

// FuzzINI checks that any file content parses either to a declaration that
// survives encoding and decoding unchanged, or to an *InvalidError with at
// least one problem.
func FuzzINI(f *testing.F) {
	for _, text := range []string{
		"", validText, validText + validText, "[", "[]", "[rack]\nvm. = a b", "[service %(x)s]", "a", "=", "[deployment]\nname = \xff\nzones = ,",
		validText + "[wave w]\npools = web\ngrace = 99999999999h\nroll-out-time = NaN\n",
		validText + "[team t]\ncpu = 1e309\nmemory-mb = -1\naccelerators = 99999999999999999999\n",
		validText + "[service s]\nrepeatable = yes\nmin-available = 1e400%\npools = web\n",
		"[deployment]\nname = `a\nb`\nzones = \"\"\"a\n\"\"\"\n", validText + "[weights]\nmoves = +Inf\n", "[pool a]\n[pool  a]\n[pool a \n]",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		d, err := Parse(Source{File: "f.ini", Text: []byte(text)})
		if err != nil {
			var invalid *InvalidError
			if !errors.As(err, &invalid) || len(invalid.Problems) == 0 || d != nil {
				t.Fatalf("Parse returned %T, want an *InvalidError with problems and no declaration: %v", err, err)
			}
			return
		}
		value, err := Encode(&Stored{Declaration: *d})
		if err != nil {
			t.Fatal(err)
		}
		back, err := Decode(value)
		if err != nil {
			t.Fatal(err)
		}
		if diffs := Diff(d, &back.Declaration); len(diffs) > 0 {
			t.Fatalf("decoded declaration differs from the encoded one: %v", diffs)
		}
	})
}

// FuzzStored checks that any stored value, which another program may have
// written, is either decoded or refused with a *CorruptError, and that
// validating and comparing a decoded one does not panic.
func FuzzStored(f *testing.F) {
	for _, value := range []string{"", "null", "{}", `{"VMs":[{}],"Services":[{"Pools":null}]}`, `{"Generation":-1}`, "[]", `{"Weights":{"Moves":1e999}}`} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		s, err := Decode(value)
		if err != nil {
			var corrupt *CorruptError
			if !errors.As(err, &corrupt) {
				t.Fatalf("Decode returned %T, want *CorruptError: %v", err, err)
			}
			return
		}
		empty := &model.Declaration{}
		Validate(&s.Declaration)
		Diff(&s.Declaration, empty)
		Diff(empty, &s.Declaration)
		BrokenByRemoval(&s.Declaration, empty, nil)
	})
}
