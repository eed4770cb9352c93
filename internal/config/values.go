package config

import (
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/pumicestage/pumicestage/policy/model"
)

// nameRule describes to operators what validName accepts. Names become parts of
// store keys and words of the command language.
const nameRule = "1 to 63 of a-z, A-Z, 0-9, '-', '_' or '.', starting with none of the last three"

const maxNameLength = 63

// Upper bounds on values. They are far above practical use and low enough that
// arithmetic on them cannot overflow.
const (
	maxNumber   = 1_000_000_000
	maxDuration = 366 * 24 * time.Hour
)

// milliPerCore converts declared cores to the model's thousandths of a core.
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

// reader parses the values of a section and collects problems. Absent values
// are not reported: missingRequired does that.
type reader struct {
	*section
	problems *[]Problem
}

func (r reader) reportInvalid(key, expected string) {
	*r.problems = append(*r.problems, r.problem(key, quote(r.values[key]), expected))
}

func (r reader) isSet(key string) bool { return r.values[key] != "" }

func (r reader) name(key string) string {
	value := r.values[key]
	if r.isSet(key) && !validName(value) {
		r.reportInvalid(key, "a name of "+nameRule)
	}
	return value
}

func (r reader) names(key string) []string {
	if !r.isSet(key) {
		return nil
	}
	var names []string
	seen := make(map[string]bool)
	for _, part := range strings.Split(r.values[key], ",") {
		name := strings.TrimSpace(part)
		if !validName(name) {
			r.reportInvalid(key, "names separated by commas, each of "+nameRule)
			return nil
		}
		if seen[name] {
			r.reportInvalid(key, "each name once, "+quote(name)+" stands twice")
			continue
		}
		seen[name] = true
		names = append(names, name)
	}
	return names
}

func (r reader) integer(key string, minimum int) int {
	n, err := strconv.Atoi(r.values[key])
	if r.isSet(key) && (err != nil || n < minimum || n > maxNumber) {
		r.reportInvalid(key, "a whole number of at least "+strconv.Itoa(minimum))
	}
	return n
}

func (r reader) weight(key string) float64 {
	f, err := strconv.ParseFloat(r.values[key], 64)
	if r.isSet(key) && (err != nil || !(f >= 0 && f <= maxNumber)) {
		r.reportInvalid(key, "a number of at least 0")
	}
	return f
}

func (r reader) duration(key string) time.Duration {
	d, err := time.ParseDuration(r.values[key])
	if r.isSet(key) && (err != nil || d <= 0 || d > maxDuration) {
		r.reportInvalid(key, "a duration above 0 such as 500ms, 30s or 24h")
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
	if r.isSet(key) {
		r.reportInvalid(key, "yes or no")
	}
	return false
}

func (r reader) class(key string) model.Class {
	class, ok := model.ParseClass(r.values[key])
	if r.isSet(key) && !ok {
		r.reportInvalid(key, "urgent, normal or deferrable")
	}
	return class
}

// quantity parses a count such as "8" or a share such as "80%".
func (r reader) quantity(key string) model.Quantity {
	value := r.values[key]
	percent, isShare := strings.CutSuffix(value, "%")
	if isShare {
		f, err := strconv.ParseFloat(strings.TrimSpace(percent), 64)
		if err != nil || !(f >= 0 && f <= 100) {
			r.reportInvalid(key, "a count such as 8 or a share from 0% to 100%")
		}
		return model.Quantity{Share: f / 100}
	}
	n, err := strconv.Atoi(value)
	if r.isSet(key) && (err != nil || n < 0 || n > maxNumber) {
		r.reportInvalid(key, "a count such as 8 or a share from 0% to 100%")
	}
	return model.Quantity{Count: n}
}

func (r reader) milliCores(key string) int64 {
	f, err := strconv.ParseFloat(r.values[key], 64)
	if r.isSet(key) && (err != nil || !(f >= 0 && f <= maxNumber)) {
		r.reportInvalid(key, "a number of processor cores of at least 0, such as 32 or 0.5")
	}
	return int64(f * milliPerCore)
}

func (r reader) resources() model.Resources {
	return model.Resources{
		MilliCPU:     r.milliCores("cpu"),
		MemoryMB:     int64(r.integer("memory-mb", 0)),
		Accelerators: int64(r.integer("accelerators", 0)),
	}
}

func (r reader) weights() model.Weights {
	return model.Weights{
		RollOutTime: r.weight("roll-out-time"),
		BufferCost:  r.weight("buffer-cost"),
		Moves:       r.weight("moves"),
	}
}

// validAddress reports whether s is HOST:PORT. The address is connected to and
// printed, so the host must be an IP address or a plain name.
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
