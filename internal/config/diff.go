package config

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Sign says whether a Difference adds, changes or removes.
type Sign string

// The signs of a Difference, as they are printed.
const (
	SignAdd    Sign = "+"
	SignChange Sign = "~"
	SignRemove Sign = "-"
)

// Difference is one thing that two declarations do not have in common. For
// SignChange it is one key; for the others the whole of it.
type Difference struct {
	Sign  Sign
	What  string // "service preview"
	Key   string // the key that differs; empty for SignAdd and SignRemove
	Old   string
	New   string
	About string // for SignAdd and SignRemove: what it is like, in one line
}

// String returns the difference as a person reads it.
func (d Difference) String() string {
	if d.Sign == SignChange {
		return fmt.Sprintf("%s %s: %s %s -> %s", d.Sign, d.What, d.Key, orNone(d.Old), orNone(d.New))
	}
	if d.About == "" {
		return fmt.Sprintf("%s %s", d.Sign, d.What)
	}
	return fmt.Sprintf("%s %s (%s)", d.Sign, d.What, d.About)
}

// Diff returns what new adds, changes and removes against old, which may be
// nil. Generation and change ID are not part of the comparison.
func Diff(old, new *model.Declaration) []Difference {
	before, after := entities(old), entities(new)
	known := make(map[string]entity, len(before))
	for _, e := range before {
		known[e.what] = e
	}
	var diffs []Difference
	for _, e := range after {
		was, ok := known[e.what]
		if !ok {
			diffs = append(diffs, Difference{Sign: SignAdd, What: e.what, About: e.about()})
			continue
		}
		delete(known, e.what)
		diffs = append(diffs, changes(was, e)...)
	}
	for _, e := range before {
		if _, gone := known[e.what]; gone {
			diffs = append(diffs, Difference{Sign: SignRemove, What: e.what, About: e.about()})
		}
	}
	return diffs
}

// entity is one declared thing as its keys and values.
type entity struct {
	what   string
	fields []field
}

type field struct {
	key, value string
}

func (e entity) about() string {
	var parts []string
	for _, f := range e.fields {
		if f.value != "" {
			parts = append(parts, f.key+" "+f.value)
		}
	}
	return strings.Join(parts, ", ")
}

func changes(was, is entity) []Difference {
	var diffs []Difference
	for i, f := range is.fields {
		if was.fields[i].value != f.value {
			diffs = append(diffs, Difference{Sign: SignChange, What: is.what, Key: f.key, Old: was.fields[i].value, New: f.value})
		}
	}
	return diffs
}

func entities(d *model.Declaration) []entity {
	if d == nil {
		return nil
	}
	all := []entity{
		{kindDeployment, []field{{"name", d.Deployment}, {"zones", joined(d.Zones)}}},
		{kindWeights, weightFields(d.Weights)},
	}
	for _, p := range d.Pools {
		all = append(all, entity{kindPool + " " + string(p.Name), nil})
	}
	for _, vm := range d.VMs {
		all = append(all, vmEntity(vm))
	}
	for _, s := range d.Services {
		all = append(all, serviceEntity(s))
	}
	for _, w := range d.Waves {
		all = append(all, waveEntity(w))
	}
	for _, t := range d.Teams {
		all = append(all, entity{kindTeam + " " + string(t.Name), resourceFields(t.Guaranteed)})
	}
	return all
}

func vmEntity(vm model.VMDecl) entity {
	fields := []field{
		{"pool", string(vm.Pool)}, {"zone", string(vm.Zone)}, {"rack", string(vm.Rack)}, {"address", vm.Address},
	}
	return entity{"vm " + string(vm.ID), append(fields, resourceFields(vm.Capacity)...)}
}

func serviceEntity(s model.Service) entity {
	return entity{kindService + " " + string(s.Name), []field{
		{"pools", joined(s.Pools)},
		{"class", s.Class.String()},
		{"repeatable", yesNo(s.Repeatable)},
		{"timeout", s.Timeout.String()},
		{"slots", strconv.Itoa(s.Slots)},
		{"connections", strconv.Itoa(s.Conns)},
		{"limit", strconv.Itoa(s.Limit)},
		{"remember", s.Remember.String()},
		{"min-available", QuantityText(s.Budget.MinAvailable)},
		{"min-per-zone", QuantityText(s.Budget.MinPerZone)},
	}}
}

func waveEntity(w model.Wave) entity {
	fields := []field{
		{"pools", joined(w.Pools)},
		{"canary", strconv.Itoa(w.Canary)},
		{"max-batch", strconv.Itoa(w.MaxBatch)},
		{"max-failures", strconv.Itoa(w.MaxFailures)},
		{"probation", w.Probation.String()},
		{"grace", w.Grace.String()},
	}
	return entity{kindWave + " " + string(w.Name), append(fields, weightFields(w.Weights)...)}
}

func weightFields(w model.Weights) []field {
	return []field{
		{"roll-out-time", number(w.RollOutTime)}, {"buffer-cost", number(w.BufferCost)}, {"moves", number(w.Moves)},
	}
}

func resourceFields(r model.Resources) []field {
	return []field{
		{"cpu", number(float64(r.MilliCPU) / milliPerCore)},
		{"memory-mb", strconv.FormatInt(r.MemoryMB, 10)},
		{"accelerators", strconv.FormatInt(r.Accelerators, 10)},
	}
}

// QuantityText writes a quantity as declarations do: "8" or "80%".
func QuantityText(q model.Quantity) string {
	if q.Count == 0 && q.Share > 0 {
		return number(q.Share*100) + "%"
	}
	return strconv.Itoa(q.Count)
}

func number(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func joined[T ~string](names []T) string {
	parts := make([]string, len(names))
	for i, n := range names {
		parts[i] = string(n)
	}
	return strings.Join(parts, ", ")
}

func orNone(s string) string {
	if s == "" {
		return "(none)"
	}
	return s
}
