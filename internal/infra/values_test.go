package infra

import (
	"bytes"
	"compress/gzip"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestValuesComeBackAsWritten(t *testing.T) {
	cases := []struct {
		name   string
		value  string
		packed bool
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
			assert.Equal(t, bytes.HasPrefix(stored, gzipMagic), tc.packed)
		})
	}
}

// A damaged or hostile value must be refused: an entry VM that unpacked it
// without bound would be killed, and every other with it.
func TestDecodeValueRefuses(t *testing.T) {
	var bomb bytes.Buffer
	w := gzip.NewWriter(&bomb)
	_, err := w.Write(bytes.Repeat([]byte{' '}, maxUnpacked+1))
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
