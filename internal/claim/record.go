package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// stage is the state of a claim in the store.
type stage string

const (
	stageClaimed  stage = "claimed"  // the holder may be running the request
	stageRecorded stage = "recorded" // the outcome is stored in Answer
	// stageReleased means that the request did not run and will not run under
	// this claim; the key may be claimed again. The key is overwritten rather
	// than deleted: after a deletion, a delayed copy of an earlier
	// create-if-absent would create a claim that no call acts on.
	stageReleased stage = "released"
)

// record is a claim as stored. It is encoded as JSON, so that operators can
// read it in the store.
type record struct {
	ID          string // unique to the claim
	Stage       stage
	Service     model.ServiceName
	Caller      string
	Key         string
	Digest      string // of method, path, query and body, in hexadecimal
	Entry       model.EntryID
	Incarnation uint64
	Claimed     time.Time
	Expires     time.Time // when the claim may be deleted
	Answer      *Answer   `json:",omitempty"`
}

// shardDigits is the number of leading hexadecimal digits of a claim's key that
// identify its shard, the unit in which expired claims are swept.
const shardDigits = 3

// shardCount is the number of shards.
const shardCount = 1 << (4 * shardDigits)

// storeKey hashes the parts of k, which may contain any bytes, to a store key of
// fixed length. Each part is preceded by its length, so that different keys
// never have the same input to the hash.
func storeKey(k Key) string {
	h := sha256.New()
	for _, part := range []string{string(k.Service), k.Caller, k.Key} {
		size := len(part)
		h.Write([]byte{byte(size >> 24), byte(size >> 16), byte(size >> 8), byte(size)})
		h.Write([]byte(part))
	}
	return infra.ClaimPrefix + hex.EncodeToString(h.Sum(nil)[:20])
}

func (r record) encode() ([]byte, error) { return json.Marshal(r) }

func decodeRecord(value []byte) (record, error) {
	var r record
	err := json.Unmarshal(value, &r)
	return r, err
}
