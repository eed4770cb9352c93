package lang

import (
	"strings"
	"testing"
)

func BenchmarkParse(b *testing.B) {
	cases := []struct{ name, line string }{
		{"question", "show vms where pool = tabulation and zone = gt-a and state != healthy"},
		{"order", `move vm v17 to pool weighting reason "disk"`},
		{"syntax error", "show vms where pool tabulation"},
		{"longest", "start wave w on pool " + strings.Repeat("a,", 60) + "a"},
		{"syntax error in longest", "start wave w on pool " + strings.Repeat("a,", 60) + "a b"},
	}
	for _, tc := range cases {
		b.Run(tc.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				_, _ = Parse(tc.line)
			}
		})
	}
}
