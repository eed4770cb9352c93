package infra

import (
	"bytes"
	"compress/gzip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A value must decode to what was encoded, compressed or not, and encode to
// the same bytes each time: Commit recognizes its own writes by their bytes.
func TestEncodedValuesRoundTrip(t *testing.T) {
	cases := []struct {
		name       string
		value      string
		compressed bool
	}{
		{"empty", "", false},
		{"small stays readable", strings.Repeat("v", 1000), false},
		{"large is compressed", strings.Repeat("vm in pool ", 10000), true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			stored, err := EncodeValue(tc.value)
			assert.NilError(t, err)
			again, err := EncodeValue(tc.value)
			assert.NilError(t, err)
			var back string
			assert.NilError(t, DecodeValue(stored, &back))
			assert.Equal(t, back, tc.value)
			assert.DeepEqual(t, stored, again)
			assert.Equal(t, bytes.HasPrefix(stored, gzipMagic), tc.compressed)
		})
	}
}

// A damaged or malicious value must be refused: decompressing it without a
// bound would exhaust the memory of every entry VM that reads it.
func TestDecodeValueRefuses(t *testing.T) {
	var bomb bytes.Buffer
	w := gzip.NewWriter(&bomb)
	_, err := w.Write(bytes.Repeat([]byte{' '}, maxDecompressedBytes+1))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	cases := []struct {
		name  string
		value []byte
	}{
		{"not JSON", []byte("{")},
		{"cut short", bomb.Bytes()[:bomb.Len()/2]},
		{"only the magic", gzipMagic},
		{"unpacks without bound", bomb.Bytes()},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			var into any
			assert.Assert(t, DecodeValue(tc.value, &into) != nil)
		})
	}
}
