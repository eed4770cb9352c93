package infra

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
)

const (
	// compressionThreshold is the size in bytes from which a value is
	// compressed. Smaller values stay readable for operators in any client.
	// Larger ones are not read by people, and every change of one is sent to
	// every entry VM: uncompressed, the declaration of 3,600 VMs at 5,000
	// changes a day would use four times the traffic allowed to a node.
	compressionThreshold = 32 << 10
	// maxDecompressedBytes bounds the decompressed size of a value. It is far
	// above any configuration and small enough for an entry VM's memory.
	maxDecompressedBytes = 32 << 20
)

// gzipMagic begins every compressed value; no JSON text begins with it.
var gzipMagic = []byte{0x1f, 0x8b}

// EncodeValue encodes v for the store as JSON, compressed with gzip from
// compressionThreshold on. Equal values give equal bytes, which Commit relies
// on to recognize its own writes.
func EncodeValue(v any) ([]byte, error) {
	text, err := json.Marshal(v)
	if err != nil || len(text) < compressionThreshold {
		return text, err
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(text); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// DecodeValue decodes the output of EncodeValue, or plain JSON of any size. It
// returns an error if the value decompresses to more than maxDecompressedBytes.
func DecodeValue(value []byte, into any) error {
	if !bytes.HasPrefix(value, gzipMagic) {
		return json.Unmarshal(value, into)
	}
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return err
	}
	text, err := io.ReadAll(io.LimitReader(r, maxDecompressedBytes+1))
	if err != nil {
		return err
	}
	if len(text) > maxDecompressedBytes {
		return fmt.Errorf("value is over %d bytes unpacked", maxDecompressedBytes)
	}
	return json.Unmarshal(text, into)
}
