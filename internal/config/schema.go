package config

import "strings"

// Kinds of sections in a declaration.
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

// vmKeyPrefix is the prefix of the keys in a rack that each declare a VM.
const vmKeyPrefix = "vm."

// defaultWeight is the same for roll-out time, buffer cost and moves.
const defaultWeight = "1"

// keySpec describes one key of a section.
type keySpec struct {
	name         string
	defaultValue string // value of an absent key; empty means none
	required     bool
}

// sectionSpec describes one kind of section.
type sectionSpec struct {
	named bool // whether the title has a name: "[service preview]", not "[weights]"
	keys  []keySpec
}

// schema lists all sections and keys with their defaults. Others are refused,
// because a misspelt key would otherwise silently leave its default in force.
//
// A service's repeatable and min-available keys have no default: a wrong guess
// could run a request twice, such as a payment, or empty a pool.
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
		{name: "class", defaultValue: "normal"},
		{name: "repeatable", required: true},
		{name: "timeout", defaultValue: "10s"},
		{name: "slots", defaultValue: "8"},
		{name: "connections", defaultValue: "64"},
		{name: "limit", defaultValue: "0"},
		{name: "remember", defaultValue: "24h"},
		{name: "min-available", required: true},
		{name: "min-per-zone", defaultValue: "0"},
	}},
	kindWave: {named: true, keys: append([]keySpec{
		{name: "pools", required: true},
		{name: "canary", defaultValue: "1"},
		{name: "max-batch", defaultValue: "0"},
		{name: "max-failures", defaultValue: "2"},
		{name: "probation", defaultValue: "30s"},
		{name: "grace", defaultValue: "10m"},
	}, weightKeys("")...)},
	kindTeam: {named: true, keys: resourceKeys("0")},
}

func weightKeys(defaultValue string) []keySpec {
	return []keySpec{
		{name: "roll-out-time", defaultValue: defaultValue},
		{name: "buffer-cost", defaultValue: defaultValue},
		{name: "moves", defaultValue: defaultValue},
	}
}

func resourceKeys(defaultValue string) []keySpec {
	return []keySpec{
		{name: "cpu", defaultValue: defaultValue},
		{name: "memory-mb", defaultValue: defaultValue},
		{name: "accelerators", defaultValue: defaultValue},
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

func (s sectionSpec) describeKeys() string {
	names := make([]string, len(s.keys))
	for i, k := range s.keys {
		names[i] = k.name
	}
	if len(names) == 0 {
		return "no keys in this section"
	}
	return "one of " + strings.Join(names, ", ")
}

// applyDefaults sets absent keys to their defaults. A service without pools uses
// the pool of its own name. Racks inherit absent keys from [worker], and waves
// from [weights].
func applyDefaults(sections []*section) {
	shared := map[string]*section{
		kindRack: {values: map[string]string{}},
		kindWave: {values: map[string]string{"roll-out-time": defaultWeight, "buffer-cost": defaultWeight, "moves": defaultWeight}},
	}
	for _, s := range sections {
		applySchemaDefaults(s)
		switch s.kind {
		case kindWorker:
			shared[kindRack] = s
		case kindWeights:
			shared[kindWave] = s
		}
	}
	for _, s := range sections {
		if from, ok := shared[s.kind]; ok {
			inheritValues(s, from)
		}
		if s.kind == kindService {
			s.setDefault("pools", s.name)
		}
	}
}

func applySchemaDefaults(s *section) {
	for _, k := range schema[s.kind].keys {
		if k.defaultValue != "" {
			s.setDefault(k.name, k.defaultValue)
		}
	}
}

func inheritValues(s, from *section) {
	for key, value := range from.values {
		if schema[s.kind].has(key) {
			s.setDefault(key, value)
		}
	}
}
