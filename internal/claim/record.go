package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/policy/model"
)

// stage is where a claim in the store stands.
type stage string

const (
	stageClaimed  stage = "claimed"  // its holder may be running it
	stageRecorded stage = "recorded" // it ran; the answer is kept
	// stageReleased: it did not run and never will; the key may be claimed
	// anew. It is a value and not an absent key: a delayed copy of an earlier
	// create-if-absent would otherwise set up a claim that nobody acts on.
	stageReleased stage = "released"
)

// record is a claim as stored, in JSON for whoever looks at night.
type record struct {
	ID          string // unique to the claim
	Stage       stage
	Service     model.ServiceName
	Caller      string
	Key         string
	Digest      string // hex; of method, path and body
	Entry       model.EntryID
	Incarnation uint64
	Claimed     time.Time
	Expires     time.Time // when the key may be forgotten
	Answer      *Answer   `json:",omitempty"`
}

// shardDigits is how many hexadecimal digits of a claim's key name its shard,
// which is the part of the claims that is swept at once.
const shardDigits = 3

// shards is how many there are.
const shards = 1 << (4 * shardDigits)

// storeKey hashes the parts, which may hold any bytes, into a key of fixed
// length. Lengths go in first, so that no two scopes share a key.
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
