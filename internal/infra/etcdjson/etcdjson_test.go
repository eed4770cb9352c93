package etcdjson

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// allStrings returns all concatenations of up to n elements of alphabet.
func allStrings(alphabet []string, n int) []string {
	if n == 0 {
		return []string{""}
	}
	shorter := allStrings(alphabet, n-1)
	all := append([]string{}, shorter...)
	for _, w := range shorter {
		if len(w) != n-1 {
			continue
		}
		for _, l := range alphabet {
			all = append(all, w+l)
		}
	}
	return all
}

// The range from a prefix to PrefixEnd must contain exactly the keys with that
// prefix. With one key too many, a VM of another pool could be drained.
func TestPrefixEnd(t *testing.T) {
	alphabet := []string{"\x00", "a", "b", "\xfe", "\xff"}
	keys := allStrings(alphabet, 4)
	for _, prefix := range allStrings(alphabet, 3) {
		end := string(PrefixEnd(prefix))
		for _, key := range keys {
			within := key >= prefix && (end == "\x00" || key < end)
			assert.Equal(t, within, strings.HasPrefix(key, prefix), "%q in %q to %q", key, prefix, end)
		}
	}
}

func TestInt64(t *testing.T) {
	for _, c := range []struct {
		name, wire string
		want       Int64
		fails      bool
	}{
		{name: "a string", wire: `"9223372036854775807"`, want: 1<<63 - 1},
		{name: "a number", wire: `7`, want: 7},
		{name: "negative", wire: `"-1"`, want: -1},
		{name: "out of range", wire: `"9223372036854775808"`, fails: true},
		{name: "not a number", wire: `"x"`, fails: true},
	} {
		var got Int64
		err := json.Unmarshal([]byte(c.wire), &got)
		assert.Equal(t, err != nil, c.fails, c.name)
		if !c.fails {
			assert.Equal(t, got, c.want, c.name)
		}
	}
}
