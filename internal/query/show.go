package query

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pumicestage/pumicestage/internal/config"
	"github.com/pumicestage/pumicestage/internal/lang"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// lister returns all rows of a kind, sorted, with the columns of lang.Fields,
// and a note on their limitations, empty if there are none.
type lister func(ctx context.Context, s *view.Snapshot) (rows [][]string, note string, err error)

// viewLister adapts a function that needs only the view to a lister.
func viewLister(list func(s *view.Snapshot) [][]string) lister {
	return func(_ context.Context, s *view.Snapshot) ([][]string, string, error) {
		return list(s), "", nil
	}
}

func (e *Engine) listers() map[lang.Kind]lister {
	return map[lang.Kind]lister{
		lang.ShowVMs:      viewLister(e.listVMs),
		lang.ShowServices: e.listServices,
		lang.ShowPools:    viewLister(e.listPools),
		lang.ShowWaves:    e.listWaves,
		lang.ShowJobs:     e.listJobs,
		lang.ShowBudgets:  e.listBudgets,
		lang.ShowEntries:  viewLister(e.listEntries),
		lang.ShowZones:    viewLister(e.listZones),
		lang.ShowRacks:    viewLister(e.listRacks),
		lang.ShowTeams:    viewLister(e.listTeams),
	}
}

// show sets the answer's table to the rows that match the conditions.
func (e *Engine) show(ctx context.Context, s *view.Snapshot, q lang.Show, a *Answer) error {
	if q.Service != "" && s.Declaration.Service(q.Service) == nil {
		return notFound("no service %q; declared are %s", q.Service, serviceNames(s.Declaration))
	}
	rows, note, err := e.listers()[q.Kind](ctx, s)
	if err != nil {
		return err
	}
	a.note(note)
	where := q.Where
	if q.Service != "" {
		where = append([]lang.Condition{{Field: "service", Comparison: lang.Equal, Value: string(q.Service)}}, where...)
	}
	a.Table = &Table{Kind: q.Kind, Columns: lang.Fields(q.Kind), Rows: [][]string{}}
	for _, row := range rows {
		if matches(a.Table.Columns, row, where) {
			a.Table.Rows = append(a.Table.Rows, row)
		}
	}
	return nil
}

func (e *Engine) listVMs(s *view.Snapshot) [][]string {
	var rows [][]string
	for _, vm := range sortedVMs(s) {
		rows = append(rows, []string{
			string(vm.ID), string(vm.Zone), string(vm.Rack), string(vm.Pool), string(vm.State),
			e.Health(vm.ID).String(), vm.Holder, string(vm.Wave), vm.Address, e.elapsed(vm.Since),
		})
	}
	return rows
}

func (e *Engine) listServices(ctx context.Context, s *view.Snapshot) ([][]string, string, error) {
	budgets, note := e.budgets(ctx, s)
	byService := make(map[model.ServiceName]Headroom)
	for _, b := range budgets {
		if b.Zone == "" {
			byService[b.Service] = b
		}
	}
	var rows [][]string
	for _, svc := range s.Declaration.Services {
		b := byService[svc.Name]
		rows = append(rows, []string{
			string(svc.Name), svc.Class.String(), yesNo(svc.Repeatable), joinNames(svc.Pools),
			strconv.Itoa(b.VMs), strconv.Itoa(b.Available), strconv.Itoa(b.Spare()),
			strconv.Itoa(svc.Limit), svc.Timeout.String(),
		})
	}
	return rows, note, nil
}

// group counts the VMs of a pool, rack or zone.
type group struct {
	zone      model.ZoneName
	total     int
	available int
	leaving   int
	pools     map[model.PoolName]bool
}

// groupVMs counts VMs by key. A VM is available only if it is certainly in
// service, as in the budget counts: an unknown state or health counts as down.
func (e *Engine) groupVMs(s *view.Snapshot, key func(view.VMRecord) string) map[string]*group {
	found := make(map[string]*group)
	for _, vm := range sortedVMs(s) {
		g := found[key(vm)]
		if g == nil {
			g = &group{zone: vm.Zone, pools: make(map[model.PoolName]bool)}
			found[key(vm)] = g
		}
		g.total++
		g.pools[vm.Pool] = true
		if vm.State == model.VMInPool && e.Health(vm.ID) == model.HealthHealthy {
			g.available++
		}
		if vm.State == model.VMLeaving {
			g.leaving++
		}
	}
	return found
}

func (e *Engine) listPools(s *view.Snapshot) [][]string {
	groups := e.groupVMs(s, func(vm view.VMRecord) string { return string(vm.Pool) })
	var rows [][]string
	for _, p := range s.Declaration.Pools {
		g := groups[string(p.Name)]
		if g == nil {
			g = &group{}
		}
		var services []string
		for _, svc := range s.Declaration.ServicesOf(p.Name) {
			services = append(services, string(svc.Name))
		}
		rows = append(rows, []string{
			string(p.Name), strconv.Itoa(g.total), strconv.Itoa(g.available), strconv.Itoa(g.leaving), strings.Join(services, ", "),
		})
	}
	return rows
}

func (e *Engine) listRacks(s *view.Snapshot) [][]string {
	groups := e.groupVMs(s, func(vm view.VMRecord) string { return string(vm.Rack) })
	var rows [][]string
	for _, name := range sortedKeys(groups) {
		g := groups[name]
		rows = append(rows, []string{
			name, string(g.zone), strconv.Itoa(g.total), strconv.Itoa(g.available), strings.Join(sortedKeys(g.pools), ", "),
		})
	}
	return rows
}

func (e *Engine) listZones(s *view.Snapshot) [][]string {
	groups := e.groupVMs(s, func(vm view.VMRecord) string { return string(vm.Zone) })
	entries := make(map[model.ZoneName]int)
	for _, entry := range s.Entries {
		entries[entry.Zone]++
	}
	heard := make(map[model.ZoneName]time.Time)
	for _, p := range e.peerStatuses() {
		if p.LastHeard.After(heard[p.Zone]) {
			heard[p.Zone] = p.LastHeard
		}
	}
	var rows [][]string
	for _, z := range s.Declaration.Zones {
		g := groups[string(z)]
		if g == nil {
			g = &group{}
		}
		rows = append(rows, []string{
			string(z), strconv.Itoa(g.total), strconv.Itoa(g.available), strconv.Itoa(entries[z]), e.elapsed(heard[z]),
		})
	}
	return rows
}

func (e *Engine) listBudgets(ctx context.Context, s *view.Snapshot) ([][]string, string, error) {
	budgets, note := e.budgets(ctx, s)
	var rows [][]string
	for _, b := range budgets {
		zone := string(b.Zone)
		if zone == "" {
			zone = allZones
		}
		rows = append(rows, []string{
			string(b.Service), zone, strconv.Itoa(b.Required), strconv.Itoa(b.Available), strconv.Itoa(b.Spare()), strconv.Itoa(b.VMs),
		})
	}
	return rows, note, nil
}

// allZones is the value of the zone column for the budget of a whole service.
const allZones = "all"

func (e *Engine) listWaves(ctx context.Context, s *view.Snapshot) ([][]string, string, error) {
	waves, err := e.waves(ctx, s)
	if err != nil {
		return nil, "", err
	}
	var rows [][]string
	for _, w := range waves {
		rows = append(rows, []string{
			string(w.Name), w.State, strconv.Itoa(w.Done), strconv.Itoa(w.OutOfService), strconv.Itoa(w.Total), joinNames(w.Pools), w.Reason,
		})
	}
	return rows, "", nil
}

// waves returns the started waves and, with the state "declared", the declared
// waves that were never started. They are sorted by name.
func (e *Engine) waves(ctx context.Context, s *view.Snapshot) ([]WaveStatus, error) {
	var found []WaveStatus
	if e.Waves != nil {
		started, err := e.Waves.Waves(ctx)
		if err != nil {
			return nil, unavailable("waves", err)
		}
		found = append(found, started...)
	}
	known := make(map[model.WaveName]bool)
	for _, w := range found {
		known[w.Name] = true
	}
	for _, w := range s.Declaration.Waves {
		if !known[w.Name] {
			found = append(found, WaveStatus{Name: w.Name, State: waveDeclared, Pools: w.Pools})
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	return found, nil
}

// waveDeclared is the state of a declared wave that was never started.
const waveDeclared = "declared"

func (e *Engine) listJobs(ctx context.Context, _ *view.Snapshot) ([][]string, string, error) {
	jobs, err := e.jobs(ctx)
	if err != nil {
		return nil, "", err
	}
	var rows [][]string
	for _, j := range jobs {
		rows = append(rows, []string{
			string(j.ID), string(j.Team), j.Kind, j.Class.String(), j.State, string(j.VM), string(j.Pool), string(j.Zone), j.Reason,
		})
	}
	return rows, "", nil
}

// jobs returns the submitted jobs sorted by ID; none if the deployment runs no
// jobs.
func (e *Engine) jobs(ctx context.Context) ([]JobStatus, error) {
	if e.Jobs == nil {
		return nil, nil
	}
	jobs, err := e.Jobs.Jobs(ctx)
	if err != nil {
		return nil, unavailable("jobs", err)
	}
	sort.Slice(jobs, func(i, j int) bool { return jobs[i].ID < jobs[j].ID })
	return jobs, nil
}

func (e *Engine) listEntries(s *view.Snapshot) [][]string {
	heard := make(map[model.EntryID]PeerStatus)
	for _, p := range e.peerStatuses() {
		heard[p.Entry] = p
	}
	var rows [][]string
	for _, entry := range s.Entries {
		p := heard[entry.ID]
		rows = append(rows, []string{string(entry.ID), string(entry.Zone), strconv.FormatUint(p.Generation, 10), e.elapsed(p.LastHeard)})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i][0] < rows[j][0] })
	return rows
}

func (e *Engine) peerStatuses() []PeerStatus {
	if e.Peers == nil {
		return nil
	}
	return e.Peers.Statuses()
}

func (e *Engine) listTeams(s *view.Snapshot) [][]string {
	var rows [][]string
	for _, t := range s.Declaration.Teams {
		cores := strconv.FormatFloat(float64(t.Guaranteed.MilliCPU)/1000, 'f', -1, 64)
		rows = append(rows, []string{
			string(t.Name), cores, strconv.FormatInt(t.Guaranteed.MemoryMB, 10), strconv.FormatInt(t.Guaranteed.Accelerators, 10),
		})
	}
	return rows
}

// elapsed formats the time since at in whole seconds; "never" if at is zero.
func (e *Engine) elapsed(at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return max(e.Clock.Since(at), 0).Truncate(time.Second).String()
}

func sortedVMs(s *view.Snapshot) []view.VMRecord {
	vms := make([]view.VMRecord, 0, len(s.VMs))
	for _, vm := range s.VMs {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].ID < vms[j].ID })
	return vms
}

func sortedKeys[K ~string, V any](m map[K]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, string(k))
	}
	sort.Strings(keys)
	return keys
}

// joinNames returns the names, separated by commas, for a message.
func joinNames[T ~string](names []T) string {
	parts := make([]string, len(names))
	for i, n := range names {
		parts[i] = string(n)
	}
	return strings.Join(parts, ", ")
}

// serviceNames returns the names of all declared services, separated by commas,
// for the message that a service is not declared.
func serviceNames(d *model.Declaration) string {
	names := make([]model.ServiceName, len(d.Services))
	for i, s := range d.Services {
		names[i] = s.Name
	}
	return joinNames(names)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// budgetText describes the availability budget of a service.
func budgetText(s *model.Service) string {
	text := "at least " + config.QuantityText(s.Budget.MinAvailable)
	if s.Budget.MinPerZone != (model.Quantity{}) {
		text += ", in each zone at least " + config.QuantityText(s.Budget.MinPerZone)
	}
	return text
}
