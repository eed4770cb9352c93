package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"strconv"
	"time"
)

const (
	// formatVersion is the version of the encoding.
	formatVersion = 1
	// maxAge is the age from which a stored history is refused: demand may have
	// changed since.
	maxAge = time.Hour
	// maxAhead is how far the clocks of two owners may differ.
	maxAhead = time.Minute
	// maxKeyLength bounds a pool's key, so that a pool takes at most 64 bytes.
	maxKeyLength = 24
	// unitsPerVM is the precision of encoded peaks: tenths.
	unitsPerVM = 10
)

// encoded is the JSON form of a history. Times are in seconds since 1970, peaks in
// tenths, in the order VMs with tasks, VMs missing, cores.
type encoded struct {
	Version int                `json:"v"`
	At      int64              `json:"at"`
	Since   int64              `json:"since"`
	Sum     []int64            `json:"sum"`
	Pools   map[string][]int64 `json:"pools"`
}

// RefusedError says why a stored history is not used.
type RefusedError struct {
	Cause  Cause
	Detail string
}

// Cause is why a stored history is refused.
type Cause string

// The causes.
const (
	Unreadable  Cause = "unreadable"
	OtherFormat Cause = "different version"
	TooOld      Cause = "too old"
	FromFuture  Cause = "from the future"
	BadNumber   Cause = "impossible number"
)

func (e *RefusedError) Error() string {
	return "capacity history refused: " + string(e.Cause) + ": " + e.Detail
}

func refused(cause Cause, format string, args ...any) error {
	return &RefusedError{Cause: cause, Detail: fmt.Sprintf(format, args...)}
}

// poolKey returns the key of a pool: its name, or the start and a hash of a long name.
func poolKey(name string) string {
	if len(name) <= maxKeyLength {
		return name
	}
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	const start = maxKeyLength - 14
	return name[:start] + "~" + strconv.FormatUint(h.Sum64(), 36)
}

// Encode returns the history in the form that Decode reads. Peaks are rounded up. It
// fails if nothing has been observed, as there is nothing to store then.
func (h *History) Encode() ([]byte, error) {
	if h.at.IsZero() {
		return nil, errors.New("capacity history: nothing observed")
	}
	e := encoded{
		Version: formatVersion, At: h.at.Unix(), Since: min(h.since.Unix(), h.at.Unix()),
		Sum: h.sum.encode(), Pools: make(map[string][]int64, len(h.pools)),
	}
	for key, p := range h.pools {
		e.Pools[key] = p.encode()
	}
	return json.Marshal(e)
}

func (p peaks) encode() []int64 {
	return []int64{toUnits(p.vms), toUnits(p.missing), toUnits(p.cores)}
}

func toUnits(x float64) int64 { return int64(math.Ceil(x*unitsPerVM - 1e-6)) }

// Decode returns the history in raw. The error of a refused history is a
// *RefusedError.
func Decode(raw []byte, wall time.Time) (*History, error) {
	var version struct {
		Version int `json:"v"`
	}
	if err := json.Unmarshal(raw, &version); err != nil {
		return nil, refused(Unreadable, "%v", err)
	}
	if version.Version != formatVersion {
		return nil, refused(OtherFormat, "%d, want %d", version.Version, formatVersion)
	}
	var e encoded
	if err := json.Unmarshal(raw, &e); err != nil {
		return nil, refused(Unreadable, "%v", err)
	}
	if err := e.checkTimes(wall); err != nil {
		return nil, err
	}
	return e.history()
}

func (e *encoded) checkTimes(wall time.Time) error {
	switch age := wall.Sub(time.Unix(e.At, 0)); {
	case age > maxAge:
		return refused(TooOld, "%v", age)
	case age < -maxAhead:
		return refused(FromFuture, "by %v", -age)
	case e.Since <= 0 || e.Since > e.At:
		return refused(BadNumber, "first observation at %d, last at %d", e.Since, e.At)
	}
	return nil
}

func (e *encoded) history() (*History, error) {
	h := &History{at: time.Unix(e.At, 0), since: time.Unix(e.Since, 0), decoded: true, pools: make(map[string]peaks, len(e.Pools))}
	var err error
	if h.sum, err = decodePeaks("sum", e.Sum); err != nil {
		return nil, err
	}
	for key, units := range e.Pools {
		if h.pools[key], err = decodePeaks(key, units); err != nil {
			return nil, err
		}
	}
	return h, nil
}

func decodePeaks(what string, units []int64) (peaks, error) {
	if len(units) != 3 {
		return peaks{}, refused(Unreadable, "%s: %d numbers, want 3", what, len(units))
	}
	limits := [...]int64{maxVMs, maxVMs, maxCores}
	for i, n := range units {
		if n < 0 || n > limits[i]*unitsPerVM {
			return peaks{}, refused(BadNumber, "%s: %d", what, n)
		}
	}
	return peaks{
		vms: float64(units[0]) / unitsPerVM, missing: float64(units[1]) / unitsPerVM, cores: float64(units[2]) / unitsPerVM,
	}, nil
}
