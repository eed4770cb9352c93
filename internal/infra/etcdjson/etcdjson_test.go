package etcdjson

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// words are all strings of up to n alphabet.
func words(alphabet []string, n int) []string {
	if n == 0 {
		return []string{""}
	}
	shorter := words(alphabet, n-1)
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

// A range from the prefix to its end must hold the keys with that prefix and
// no other: one key more, and a VM of another pool is drained.
func TestPrefixEnd(t *testing.T) {
	alphabet := []string{"\x00", "a", "b", "\xfe", "\xff"}
	keys := words(alphabet, 4)
	for _, prefix := range words(alphabet, 3) {
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
		{name: "over the range", wire: `"9223372036854775808"`, fails: true},
		{name: "no number", wire: `"x"`, fails: true},
	} {
		var got Int64
		err := json.Unmarshal([]byte(c.wire), &got)
		assert.Equal(t, err != nil, c.fails, c.name)
		if !c.fails {
			assert.Equal(t, got, c.want, c.name)
		}
	}
}
