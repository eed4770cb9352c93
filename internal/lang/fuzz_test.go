package lang

import (
	"errors"
	"testing"
	"unicode/utf8"
)

// FuzzParse checks that every input yields either a statement or a *SyntaxError
// whose offset lies within the line and whose text is valid UTF-8 if the line is.
func FuzzParse(f *testing.F) {
	for _, line := range []string{
		"", " ", "show vms", "show vms where pool = \"a b\" and zone != c", "what-if lose rack r3",
		`drain vm v1 cut reason "x\"y"`, "start wave w on pool a , b", "set service a limit 99999999999999999999",
		"show vms where since >= 1m", "\x00", "drain vm \xff", "показать vms", "show vms where", `"show" vms`, "cancel jobs where team=",
	} {
		f.Add(line)
	}
	f.Fuzz(func(t *testing.T, line string) {
		st, err := Parse(line)
		if err == nil {
			if st == nil {
				t.Fatal("no statement and no error")
			}
			return
		}
		var syntax *SyntaxError
		if !errors.As(err, &syntax) {
			t.Fatalf("%T: %v", err, err)
		}
		if syntax.Offset < 0 || syntax.Offset > len(line) || len(syntax.Expected) == 0 {
			t.Fatalf("%q: offset %d, expected %q", line, syntax.Offset, syntax.Expected)
		}
		if text := syntax.Error(); utf8.ValidString(line) && !utf8.ValidString(text) {
			t.Fatalf("%q: message %q", line, text)
		}
	})
}
