package config

import (
	"errors"
	"testing"

	"github.com/pumicestage/pumicestage/policy/model"
)

// FuzzINI: whatever a file holds is a declaration that the store takes and
// gives back unchanged, or an *InvalidError that names problems.
func FuzzINI(f *testing.F) {
	for _, text := range []string{
		"", sound, sound + sound, "[", "[]", "[rack]\nvm. = a b", "[service %(x)s]", "a", "=", "[deployment]\nname = \xff\nzones = ,",
		sound + "[wave w]\npools = web\ngrace = 99999999999h\nroll-out-time = NaN\n",
		sound + "[team t]\ncpu = 1e309\nmemory-mb = -1\naccelerators = 99999999999999999999\n",
		sound + "[service s]\nrepeatable = yes\nmin-available = 1e400%\npools = web\n",
		"[deployment]\nname = `a\nb`\nzones = \"\"\"a\n\"\"\"\n", sound + "[weights]\nmoves = +Inf\n", "[pool a]\n[pool  a]\n[pool a \n]",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		d, err := Parse(Source{File: "f.ini", Text: []byte(text)})
		if err != nil {
			var invalid *InvalidError
			if !errors.As(err, &invalid) || len(invalid.Problems) == 0 || d != nil {
				t.Fatalf("%T: %v", err, err)
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
			t.Fatalf("came back otherwise: %v", diffs)
		}
	})
}

// FuzzStored: a value that another writer left under the key is read or
// refused, and comparing with it does not panic.
func FuzzStored(f *testing.F) {
	for _, value := range []string{"", "null", "{}", `{"VMs":[{}],"Services":[{"Pools":null}]}`, `{"Generation":-1}`, "[]", `{"Weights":{"Moves":1e999}}`} {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		s, err := Decode(value)
		if err != nil {
			var corrupt *CorruptError
			if !errors.As(err, &corrupt) {
				t.Fatalf("%T: %v", err, err)
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
