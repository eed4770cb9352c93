package config

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// nameRule says in words what validName takes. Names become parts of store
// keys and words of the command language.
const nameRule = "1 to 63 of a-z, A-Z, 0-9, '-', '_' or '.', starting with none of the last three"

const maxNameLength = 63

// Bounds on values. They are far above any use and below where arithmetic on
// them could overflow.
const (
	maxNumber   = 1_000_000_000
	maxDuration = 366 * 24 * time.Hour
)

// milliPerCore turns declared cores into the model's thousandths.
const milliPerCore = 1000

func validName(s string) bool {
	if len(s) == 0 || len(s) > maxNameLength {
		return false
	}
	for i, r := range s {
		alnum := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if alnum || i > 0 && strings.ContainsRune("-_.", r) {
			continue
		}
		return false
	}
	return true
}

// reader takes typed values out of a section and collects what is wrong.
type reader struct {
	*section
	problems *[]Problem
}

func (r reader) bad(key, expected string) {
	*r.problems = append(*r.problems, r.problem(key, quoted(r.values[key]), expected))
}

func (r reader) present(key string) bool { return r.values[key] != "" }

func (r reader) name(key string) string {
	value := r.values[key]
	if r.present(key) && !validName(value) {
		r.bad(key, "a name of "+nameRule)
	}
	return value
}

func (r reader) names(key string) []string {
	if !r.present(key) {
		return nil
	}
	var names []string
	seen := make(map[string]bool)
	for _, part := range strings.Split(r.values[key], ",") {
		name := strings.TrimSpace(part)
		if !validName(name) {
			r.bad(key, "names separated by commas, each of "+nameRule)
			return nil
		}
		if seen[name] {
			r.bad(key, "each name once, "+quoted(name)+" stands twice")
			continue
		}
		seen[name] = true
		names = append(names, name)
	}
	return names
}

func (r reader) whole(key string, least int) int {
	n, err := strconv.Atoi(r.values[key])
	if r.present(key) && (err != nil || n < least || n > maxNumber) {
		r.bad(key, "a whole number of at least "+strconv.Itoa(least))
	}
	return n
}

func (r reader) weight(key string) float64 {
	f, err := strconv.ParseFloat(r.values[key], 64)
	if r.present(key) && (err != nil || !(f >= 0 && f <= maxNumber)) {
		r.bad(key, "a number of at least 0")
	}
	return f
}

func (r reader) duration(key string) time.Duration {
	d, err := time.ParseDuration(r.values[key])
	if r.present(key) && (err != nil || d <= 0 || d > maxDuration) {
		r.bad(key, "a duration above 0 such as 500ms, 30s or 24h")
	}
	return d
}

func (r reader) yesNo(key string) bool {
	switch r.values[key] {
	case "yes", "true":
		return true
	case "no", "false":
		return false
	}
	if r.present(key) {
		r.bad(key, "yes or no")
	}
	return false
}

func (r reader) class(key string) model.Class {
	class, ok := model.ParseClass(r.values[key])
	if r.present(key) && !ok {
		r.bad(key, "urgent, normal or deferrable")
	}
	return class
}

// quantity reads "8" or "80%".
func (r reader) quantity(key string) model.Quantity {
	value := r.values[key]
	percent, isShare := strings.CutSuffix(value, "%")
	if isShare {
		f, err := strconv.ParseFloat(strings.TrimSpace(percent), 64)
		if err != nil || !(f >= 0 && f <= 100) {
			r.bad(key, "a count such as 8 or a share from 0% to 100%")
		}
		return model.Quantity{Share: f / 100}
	}
	n, err := strconv.Atoi(value)
	if r.present(key) && (err != nil || n < 0 || n > maxNumber) {
		r.bad(key, "a count such as 8 or a share from 0% to 100%")
	}
	return model.Quantity{Count: n}
}

func (r reader) cores(key string) int64 {
	f, err := strconv.ParseFloat(r.values[key], 64)
	if r.present(key) && (err != nil || !(f >= 0 && f <= maxNumber)) {
		r.bad(key, "a number of processor cores of at least 0, such as 32 or 0.5")
	}
	return int64(f * milliPerCore)
}

func (r reader) resources() model.Resources {
	return model.Resources{
		MilliCPU:     r.cores("cpu"),
		MemoryMB:     int64(r.whole("memory-mb", 0)),
		Accelerators: int64(r.whole("accelerators", 0)),
	}
}

func (r reader) weights() model.Weights {
	return model.Weights{
		RollOutTime: r.weight("roll-out-time"),
		BufferCost:  r.weight("buffer-cost"),
		Moves:       r.weight("moves"),
	}
}

// validAddress reports whether s is HOST:PORT. What stands here is connected
// to and printed, so a host is an IP number or a plain name.
func validAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil || net.ParseIP(host) == nil && !validHost(host) {
		return false
	}
	n, err := strconv.Atoi(port)
	return err == nil && n > 0 && n < 1<<16
}

func validHost(host string) bool {
	for _, label := range strings.Split(host, ".") {
		if !validName(label) {
			return false
		}
	}
	return true
}
