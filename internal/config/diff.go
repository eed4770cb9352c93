package config

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/pumicestage/pumicestage/policy/model"
)

// Sign tells whether a Difference is an addition, a change or a removal.
type Sign string

// Values of Sign, as printed to operators.
const (
	SignAdd    Sign = "+"
	SignChange Sign = "~"
	SignRemove Sign = "-"
)

// Difference is one difference between two declarations: a changed key for
// SignChange, or a whole section or VM that was added or removed.
type Difference struct {
	Sign  Sign
	What  string // "service preview"
	Key   string // the key that differs; empty for SignAdd and SignRemove
	Old   string
	New   string
	About string // for SignAdd and SignRemove: its keys and values in one line
}

// String returns the difference as one line for operators.
func (d Difference) String() string {
	if d.Sign == SignChange {
		return fmt.Sprintf("%s %s: %s %s -> %s", d.Sign, d.What, d.Key, orNone(d.Old), orNone(d.New))
	}
	if d.About == "" {
		return fmt.Sprintf("%s %s", d.Sign, d.What)
	}
	return fmt.Sprintf("%s %s (%s)", d.Sign, d.What, d.About)
}

// Diff returns the additions, changes and removals that lead from old to new.
// Old may be nil, which counts as empty. Generation and change ID are not
// compared.
func Diff(old, new *model.Declaration) []Difference {
	before, after := entities(old), entities(new)
	known := make(map[string]entity, len(before))
	for _, e := range before {
		known[e.title] = e
	}
	var diffs []Difference
	for _, e := range after {
		was, ok := known[e.title]
		if !ok {
			diffs = append(diffs, Difference{Sign: SignAdd, What: e.title, About: e.summary()})
			continue
		}
		delete(known, e.title)
		diffs = append(diffs, changedFields(was, e)...)
	}
	for _, e := range before {
		if _, gone := known[e.title]; gone {
			diffs = append(diffs, Difference{Sign: SignRemove, What: e.title, About: e.summary()})
		}
	}
	return diffs
}

// entity is a declared section or VM in comparable form. Entities of one kind
// have the same keys in the same order.
type entity struct {
	title  string // "service preview"
	fields []field
}

type field struct {
	key, value string
}

func (e entity) summary() string {
	var parts []string
	for _, f := range e.fields {
		if f.value != "" {
			parts = append(parts, f.key+" "+f.value)
		}
	}
	return strings.Join(parts, ", ")
}

func changedFields(was, is entity) []Difference {
	var diffs []Difference
	for i, f := range is.fields {
		if was.fields[i].value != f.value {
			diffs = append(diffs, Difference{Sign: SignChange, What: is.title, Key: f.key, Old: was.fields[i].value, New: f.value})
		}
	}
	return diffs
}

func entities(d *model.Declaration) []entity {
	if d == nil {
		return nil
	}
	all := []entity{
		{kindDeployment, []field{{"name", d.Deployment}, {"zones", joinNames(d.Zones)}}},
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
		{"pools", joinNames(s.Pools)},
		{"class", s.Class.String()},
		{"repeatable", formatYesNo(s.Repeatable)},
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
		{"pools", joinNames(w.Pools)},
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
		{"roll-out-time", formatNumber(w.RollOutTime)}, {"buffer-cost", formatNumber(w.BufferCost)}, {"moves", formatNumber(w.Moves)},
	}
}

func resourceFields(r model.Resources) []field {
	return []field{
		{"cpu", formatNumber(float64(r.MilliCPU) / milliPerCore)},
		{"memory-mb", strconv.FormatInt(r.MemoryMB, 10)},
		{"accelerators", strconv.FormatInt(r.Accelerators, 10)},
	}
}

// QuantityText formats a quantity as in declaration files: "8" or "80%".
func QuantityText(q model.Quantity) string {
	if q.Count == 0 && q.Share > 0 {
		return formatNumber(q.Share*100) + "%"
	}
	return strconv.Itoa(q.Count)
}

func formatNumber(f float64) string { return strconv.FormatFloat(f, 'f', -1, 64) }

func formatYesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func joinNames[T ~string](names []T) string {
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
