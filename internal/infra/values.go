package infra

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
)

const (
	// packFrom is the size in bytes from which a value is compressed. Below it
	// operators read values with any client; above it nobody reads them by
	// eye, and each change goes to every entry VM: 3,600 VMs' declaration at
	// 5,000 changes a day would take four times what a node may spend.
	packFrom = 32 << 10
	// maxUnpacked bounds what a value may grow to: far above any
	// configuration, and an entry VM survives it.
	maxUnpacked = 32 << 20
)

// gzipMagic begins every compressed value; no JSON does.
var gzipMagic = []byte{0x1f, 0x8b}

// EncodeValue writes a value for the store: JSON, compressed where it is large.
// The same value gives the same bytes, so that Commit knows its own writes.
func EncodeValue(v any) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil || len(text) < packFrom {
		return text, err
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return packed.Bytes(), nil
}

// DecodeValue reads what EncodeValue wrote, and plain JSON of any size.
func DecodeValue(value []byte, into any) error {
	if !bytes.HasPrefix(value, gzipMagic) {
		return json.Unmarshal(value, into)
	}
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return err
	}
	text, err := io.ReadAll(io.LimitReader(r, maxUnpacked+1))
	if err != nil {
		return err
	}
	if len(text) > maxUnpacked {
		return fmt.Errorf("value is over %d bytes unpacked", maxUnpacked)
	}
	return json.Unmarshal(text, into)
}
