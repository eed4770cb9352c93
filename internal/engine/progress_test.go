package engine

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

func decodeProgress(t *testing.T, ch Change) *Progress {
	t.Helper()
	if ch.Final != "" {
		return nil
	}
	p := new(Progress)
	assert.NilError(t, json.Unmarshal(ch.Progress, p))
	return p
}
