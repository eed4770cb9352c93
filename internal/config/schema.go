package config

import "strings"

// The kinds of section a declaration has.
const (
	kindDeployment = "deployment"
	kindWeights    = "weights"
	kindWorker     = "worker"
	kindRack       = "rack"
	kindPool       = "pool"
	kindService    = "service"
	kindWave       = "wave"
	kindTeam       = "team"
)

// vmKeyPrefix starts the keys of a rack that declare a VM each.
const vmKeyPrefix = "vm."

// defaultWeight values roll-out time, buffer cost and moves alike.
const defaultWeight = "1"

// keySpec describes one key of a section.
type keySpec struct {
	name     string
	fallback string // value where the key is left out
	required bool
}

// sectionSpec describes one kind of section.
type sectionSpec struct {
	named bool // "[service preview]" against "[weights]"
	keys  []keySpec
}

// schema lists every section and key there is, with the defaults. What is not
// listed is a mistake: a misspelt key would otherwise silently leave its
// default in force.
//
// Whether a service is repeatable and its budget have no default: a wrong
// guess pays someone twice or empties a pool.
var schema = map[string]sectionSpec{
	kindDeployment: {keys: []keySpec{
		{name: "name", required: true},
		{name: "zones", required: true},
	}},
	kindWeights: {keys: weightKeys(defaultWeight)},
	kindWorker:  {keys: resourceKeys("0")},
	kindRack: {named: true, keys: append([]keySpec{
		{name: "zone", required: true},
	}, resourceKeys("")...)},
	kindPool: {named: true},
	kindService: {named: true, keys: []keySpec{
		{name: "pools"},
		{name: "class", fallback: "normal"},
		{name: "repeatable", required: true},
		{name: "timeout", fallback: "10s"},
		{name: "slots", fallback: "8"},
		{name: "connections", fallback: "64"},
		{name: "limit", fallback: "0"},
		{name: "remember", fallback: "24h"},
		{name: "min-available", required: true},
		{name: "min-per-zone", fallback: "0"},
	}},
	kindWave: {named: true, keys: append([]keySpec{
		{name: "pools", required: true},
		{name: "canary", fallback: "1"},
		{name: "max-batch", fallback: "0"},
		{name: "max-failures", fallback: "2"},
		{name: "probation", fallback: "30s"},
		{name: "grace", fallback: "10m"},
	}, weightKeys("")...)},
	kindTeam: {named: true, keys: resourceKeys("0")},
}

func weightKeys(fallback string) []keySpec {
	return []keySpec{
		{name: "roll-out-time", fallback: fallback},
		{name: "buffer-cost", fallback: fallback},
		{name: "moves", fallback: fallback},
	}
}

func resourceKeys(fallback string) []keySpec {
	return []keySpec{
		{name: "cpu", fallback: fallback},
		{name: "memory-mb", fallback: fallback},
		{name: "accelerators", fallback: fallback},
	}
}

func (s sectionSpec) has(key string) bool {
	for _, k := range s.keys {
		if k.name == key {
			return true
		}
	}
	return false
}

func (s sectionSpec) names() string {
	names := make([]string, len(s.keys))
	for i, k := range s.keys {
		names[i] = k.name
	}
	if len(names) == 0 {
		return "no keys in this section"
	}
	return "one of " + strings.Join(names, ", ")
}

// fillDefaults gives every key that was left out its default. A service
// without pools has the pool of its own name; racks and waves take what they
// leave out from [worker] and [weights].
func fillDefaults(sections []*section) {
	shared := map[string]*section{
		kindRack: {values: map[string]string{}},
		kindWave: {values: map[string]string{"roll-out-time": defaultWeight, "buffer-cost": defaultWeight, "moves": defaultWeight}},
	}
	for _, s := range sections {
		fillFromSchema(s)
		switch s.kind {
		case kindWorker:
			shared[kindRack] = s
		case kindWeights:
			shared[kindWave] = s
		}
	}
	for _, s := range sections {
		if from, ok := shared[s.kind]; ok {
			fillFrom(s, from)
		}
		if s.kind == kindService {
			s.fill("pools", s.name)
		}
	}
}

func fillFromSchema(s *section) {
	for _, k := range schema[s.kind].keys {
		if k.fallback != "" {
			s.fill(k.name, k.fallback)
		}
	}
}

func fillFrom(s, from *section) {
	for key, value := range from.values {
		if schema[s.kind].has(key) {
			s.fill(key, value)
		}
	}
}
