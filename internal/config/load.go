package config

import (
	"os"
	"sort"
	"strings"

	"github.com/pumicestage/pumicestage/policy/model"
)

// maxFileBytes bounds the size of one file. A declaration must fit the store's
// limit of 1 MB for a value, so a larger file cannot be one.
const maxFileBytes = 4 << 20

// Load reads the declaration in an INI file, or in all .ini files of a
// directory. It returns *ReadError if the files cannot be read, and
// *InvalidError with all problems if the declaration is invalid.
func Load(path string) (*model.Declaration, error) {
	paths, err := listFiles(path)
	if err != nil {
		return nil, err
	}
	sources := make([]Source, 0, len(paths))
	for _, p := range paths {
		text, err := os.ReadFile(p)
		if err != nil {
			return nil, &ReadError{Path: p, Err: err}
		}
		sources = append(sources, Source{File: p, Text: text})
	}
	return Parse(sources...)
}

// Source is the text of one INI file.
type Source struct {
	File string // the name used in problems
	Text []byte
}

// Parse is Load for texts in memory. Its error is *InvalidError.
func Parse(sources ...Source) (*model.Declaration, error) {
	var sections []*section
	var problems []Problem
	for _, src := range sources {
		if len(src.Text) > maxFileBytes {
			problems = append(problems, Problem{File: src.File, Given: "a file over 4 MiB", Expected: "a declaration, which fits 1 MB"})
			continue
		}
		read, found := readSections(src.File, src.Text)
		sections = append(sections, read...)
		problems = append(problems, found...)
	}
	problems = append(problems, duplicateSections(sections)...)
	problems = append(problems, missingRequired(sections)...)
	applyDefaults(sections)
	d := decode(sections, &problems)
	problems = append(problems, setFiles(sections, Validate(d))...)
	if len(problems) > 0 {
		return nil, &InvalidError{Problems: firstPerKey(problems)}
	}
	return d, nil
}

// missingRequired reports required sections and keys that are absent.
func missingRequired(sections []*section) []Problem {
	var problems []Problem
	deployments := 0
	for _, s := range sections {
		if s.kind == kindDeployment {
			deployments++
		}
		for _, k := range schema[s.kind].keys {
			if k.required && s.values[k.name] == "" {
				problems = append(problems, s.problem(k.name, "nothing", "a value, it has no default"))
			}
		}
	}
	if deployments == 0 {
		problems = append(problems, Problem{Section: kindDeployment, Given: "no such section", Expected: "one with name and zones"})
	}
	return problems
}

// setFiles sets File on problems from Validate, which knows only sections.
func setFiles(sections []*section, problems []Problem) []Problem {
	fileOf := make(map[string]string, len(sections))
	for _, s := range sections {
		fileOf[s.title] = s.file
	}
	for i := range problems {
		problems[i].File = fileOf[problems[i].Section]
	}
	return problems
}

// firstPerKey keeps the first problem of each key, so that a check across keys
// does not repeat what the check of the key itself reported.
func firstPerKey(problems []Problem) []Problem {
	type place struct{ section, key string }
	wrong := make(map[place]bool)
	var kept []Problem
	for _, p := range problems {
		at := place{p.Section, p.Key}
		if p.Key != "" && wrong[at] {
			continue
		}
		wrong[at] = true
		kept = append(kept, p)
	}
	return kept
}

func decode(sections []*section, problems *[]Problem) *model.Declaration {
	d := &model.Declaration{Weights: model.Weights{RollOutTime: 1, BufferCost: 1, Moves: 1}}
	for _, s := range sections {
		decodeSection(d, reader{section: s, problems: problems})
	}
	sort.Slice(d.VMs, func(i, j int) bool { return d.VMs[i].ID < d.VMs[j].ID })
	sort.Slice(d.Pools, func(i, j int) bool { return d.Pools[i].Name < d.Pools[j].Name })
	sort.Slice(d.Services, func(i, j int) bool { return d.Services[i].Name < d.Services[j].Name })
	sort.Slice(d.Waves, func(i, j int) bool { return d.Waves[i].Name < d.Waves[j].Name })
	sort.Slice(d.Teams, func(i, j int) bool { return d.Teams[i].Name < d.Teams[j].Name })
	addPoolVMs(d)
	return d
}

func decodeSection(d *model.Declaration, r reader) {
	switch r.kind {
	case kindDeployment:
		d.Deployment = r.name("name")
		d.Zones = convertNames[model.ZoneName](r.names("zones"))
	case kindWeights:
		d.Weights = r.weights()
	case kindRack:
		d.VMs = append(d.VMs, decodeRack(r)...)
	case kindPool:
		d.Pools = append(d.Pools, model.Pool{Name: model.PoolName(r.section.name)})
	case kindService:
		d.Services = append(d.Services, decodeService(r))
	case kindWave:
		d.Waves = append(d.Waves, decodeWave(r))
	case kindTeam:
		d.Teams = append(d.Teams, model.Team{Name: model.TeamName(r.section.name), Guaranteed: r.resources()})
	case kindWorker:
		r.resources()
	}
}

func decodeRack(r reader) []model.VMDecl {
	zone := model.ZoneName(r.name("zone"))
	capacity := r.resources()
	if capacity.MilliCPU == 0 {
		r.reportInvalid("cpu", "the cores of each VM, here or in [worker]")
	}
	var vms []model.VMDecl
	for _, key := range r.order {
		id, isVM := strings.CutPrefix(key, vmKeyPrefix)
		if !isVM {
			continue
		}
		fields := strings.Fields(r.values[key])
		if !validName(id) || len(fields) != 2 || !validName(fields[0]) {
			r.reportInvalid(key, vmKeyPrefix+"ID = POOL HOST:PORT")
			continue
		}
		vms = append(vms, model.VMDecl{
			ID: model.VMID(id), Zone: zone, Rack: model.RackName(r.section.name),
			Pool: model.PoolName(fields[0]), Address: fields[1], Capacity: capacity,
		})
	}
	return vms
}

func decodeService(r reader) model.Service {
	return model.Service{
		Name:       model.ServiceName(r.section.name),
		Pools:      convertNames[model.PoolName](r.names("pools")),
		Class:      r.class("class"),
		Repeatable: r.yesNo("repeatable"),
		Timeout:    r.duration("timeout"),
		Slots:      r.integer("slots", 1),
		Conns:      r.integer("connections", 1),
		Limit:      r.integer("limit", 0),
		Remember:   r.duration("remember"),
		Budget: model.Budget{
			MinAvailable: r.quantity("min-available"),
			MinPerZone:   r.quantity("min-per-zone"),
		},
	}
}

func decodeWave(r reader) model.Wave {
	return model.Wave{
		Name:        model.WaveName(r.section.name),
		Pools:       convertNames[model.PoolName](r.names("pools")),
		Canary:      r.integer("canary", 0),
		MaxBatch:    r.integer("max-batch", 0),
		MaxFailures: r.integer("max-failures", 1),
		Probation:   r.duration("probation"),
		Grace:       r.duration("grace"),
		Weights:     r.weights(),
	}
}

// addPoolVMs sets the VMs of each pool to those declared in it.
func addPoolVMs(d *model.Declaration) {
	at := make(map[model.PoolName]int, len(d.Pools))
	for i, p := range d.Pools {
		at[p.Name] = i
	}
	for _, vm := range d.VMs {
		if i, ok := at[vm.Pool]; ok {
			d.Pools[i].VMs = append(d.Pools[i].VMs, vm.ID)
		}
	}
}

func convertNames[T ~string](names []string) []T {
	var out []T
	for _, name := range names {
		out = append(out, T(name))
	}
	return out
}
