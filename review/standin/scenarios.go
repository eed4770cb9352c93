package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

func timeMS(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// Bounds of the rule LOST for tasks that last.
const (
	lastsFrom = 6 * time.Second // after the task's last run
	lastsFor  = 3 * time.Second
)

// kindOf returns the kind of a pool's i-th machine: the first is of another kind than the others, but
// for the spare ones.
func kindOf(s service, i int) string {
	if i == 0 && !s.standby {
		return "b"
	}
	return "a"
}

// prepare adds machines to a pool, writes the first configuration and waits for the entry VMs.
func (d *deployment) prepare(pools map[string]int, cpu int64, services []service, routes []route) error {
	zones := []string{"hall-a", "hall-b", "hall-c"}
	n := 0
	for _, s := range services {
		d.standby[s.name] = s.standby
		for i := range pools[s.name] {
			if _, err := d.addMachine(fmt.Sprintf("m-%02d", n), s.name, zones[i%len(zones)], kindOf(s, i), fmt.Sprintf("r1-%d", n), cpu, 65536); err != nil {
				return err
			}
			n++
		}
	}
	d.configure(2, services, routes)
	return d.awaitReady()
}

// playRestart: tasks that last fail now and then, three times on one runner in all. Each has to be
// restarted.
func playRestart(d *deployment, trouble bool) (verdict, error) {
	clean := route{"r-panel", "cubo38.example", "/panel/", "tabula", 2}
	dedup := route{"r-dedup", "cubo38.example", "/dedup/", "tabula", 2}
	if err := d.prepare(map[string]int{"tabula": 3}, 32000, []service{{name: "tabula"}}, []route{clean, dedup}); err != nil {
		return verdict{}, err
	}
	const one, two = "5c0e7a21d94b36f8", "1b7d90ce32a4f865"
	s := step{count: 3, apart: 1, cpu: 2700, memory: 6800, estimate: 900 * time.Millisecond, lasts: true}
	for _, j := range []struct {
		r  route
		id string
	}{{clean, one}, {dedup, two}} {
		if err := d.submit(j.r, j.id, "lasts "+j.id, taskSpec{cpu: s.cpu}, s); err != nil {
			return verdict{}, err
		}
	}
	var tasks []string
	for i := range 3 {
		tasks = append(tasks, fmt.Sprintf("%s.0.0.%d", one, i), fmt.Sprintf("%s.0.0.%d", two, i))
	}
	allRun := func() bool {
		for _, t := range tasks {
			if _, runs := d.running(t); !runs {
				return false
			}
		}
		return true
	}
	if !await(10*time.Second, allRun) {
		return verdict{}, fmt.Errorf("the six tasks do not all run after 10 s")
	}
	time.Sleep(4 * time.Second)
	if !trouble {
		time.Sleep(30 * time.Second)
		return verdict{!allRun(), fmt.Sprintf("nothing failed; all six tasks run: %t", allRun())}, nil
	}
	// One task of each job is on the same machine, as each job has one on each of the three.
	first := tasks[0]
	r, _ := d.running(first)
	second := ""
	for _, t := range tasks {
		if o, runs := d.running(t); runs && o.Worker == r.Worker && t != first {
			second = t
		}
	}
	if second == "" {
		return verdict{}, fmt.Errorf("the runner of %s has no task of the other job", first)
	}
	for i, t := range []string{first, second, first} {
		r, runs := d.running(t)
		if !runs {
			return verdict{}, fmt.Errorf("%s does not run", t)
		}
		d.rec.add("failure %d: %s run %d fails by its own fault on %s", i+1, t, r.Number, r.Worker.name())
		if !r.Worker.end(t, r.Number, "failed") {
			return verdict{}, fmt.Errorf("%s run %d had ended", t, r.Number)
		}
		failed := time.Now()
		restarted := func() bool { _, runs := d.running(t); return runs }
		if !await(lastsFrom+lastsFor, restarted) {
			again := await(35*time.Second, restarted)
			d.state(clean, one)
			return verdict{true, fmt.Sprintf("LOST: %s, whose last run ended %.1f s ago, was not started for %s and more while runner %s used %d of %d thousandths of a core; started later: %t",
				t, time.Since(failed).Seconds(), lastsFrom+lastsFor, r.Worker.id, s.cpu, r.Worker.m.cpu, again)}, nil
		}
		d.rec.add("%s runs again after %.1f s", t, time.Since(failed).Seconds())
		time.Sleep(8 * time.Second)
	}
	return verdict{false, "each task that failed was restarted in time"}, nil
}

// finish is finish_s of the site: so long after the end of the traffic jobs are asked for.
const finish = 14 * time.Second

// playClosed: two jobs that can never be done come among sound ones to a service whose runners also
// have tasks that last. All sound jobs have to run.
func playClosed(d *deployment, trouble bool) (verdict, error) {
	quick := route{"r-crosstab", "cubo38.example", "/crosstab/", "tabula", 4}
	clean := route{"r-panel", "cubo38.example", "/panel/", "tabula", 2}
	const cores = 32000
	if err := d.prepare(map[string]int{"tabula": 3}, cores, []service{{name: "tabula"}}, []route{quick, clean}); err != nil {
		return verdict{}, err
	}
	lasting := step{count: 3, apart: 1, cpu: 2700, memory: 6800, estimate: 900 * time.Millisecond, lasts: true}
	if err := d.submit(clean, "5c0e7a21d94b36f8", "lasts", taskSpec{}, lasting); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	short := step{count: 4, cpu: 1800, memory: 2500, estimate: 640 * time.Millisecond}
	sound, hopeless := taskSpec{takes: 640 * time.Millisecond}, taskSpec{takes: 1200 * time.Millisecond, fails: true}
	var ids []string // of the sound jobs
	submit := func(n int, spec string, s taskSpec) error {
		id := fmt.Sprintf("%016x", n)
		if s != hopeless {
			ids = append(ids, id)
		}
		return d.submit(quick, id, spec, s, short)
	}
	// 38 jobs in 3.4 s, two of them hopeless: a share of 0.053.
	for n := 1; n <= 38; n++ {
		spec, s := "sound", sound
		if n == 32 || n == 36 {
			if !trouble {
				continue
			}
			spec, s = "hopeless", hopeless
		}
		if err := submit(n, spec, s); err != nil {
			return verdict{}, err
		}
		time.Sleep(85 * time.Millisecond)
	}
	time.Sleep(12 * time.Second)
	for n := 39; n <= 43; n++ {
		if err := submit(n, "sound", sound); err != nil {
			return verdict{}, err
		}
	}
	time.Sleep(finish)
	// idle returns the jobs that have nothing running though their turn has come and there is room.
	idle := func() (out []string) {
		if 2*d.coresInUse() >= 3*cores || !d.roomTwice("tabula", "", short.cpu, short.memory) {
			return nil
		}
		for _, id := range ids {
			if running, done := d.tasksOf(id); running == 0 && done < short.count {
				out = append(out, id)
			}
		}
		return out
	}
	broken := idle()
	for end := time.Now().Add(lastsFor); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		now := idle()
		broken = slices.DeleteFunc(broken, func(id string) bool { return !slices.Contains(now, id) })
	}
	if len(broken) == 0 {
		return verdict{false, fmt.Sprintf("none of the %d sound jobs had nothing running for %s with room for it", len(ids), lastsFor)}, nil
	}
	time.Sleep(15 * time.Second)
	for _, id := range broken {
		d.state(quick, id)
	}
	return verdict{true, fmt.Sprintf("LOST: %d of %d sound jobs had nothing running for %s, %s after the last was accepted; 15 s later it is %d of them, and %d of %d thousandths of a core are in use",
		len(broken), len(ids), lastsFor, finish, len(idle()), d.coresInUse(), 3*cores)}, nil
}

// playLate: an order to start gets no answer and is carried out 5 s later; the runner crashes meanwhile
// and starts again under its ID.
func playLate(d *deployment, trouble bool) (verdict, error) {
	r := route{"r-ruta", "cubo38.example", "/ruta/", "campo", 3}
	if err := d.prepare(map[string]int{"campo": 2}, 16000, []service{{name: "campo"}}, []route{r}); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	const job = "5c0e7a21d94b36f8"
	const task = job + ".0.0.0"
	const takes = 12 * time.Second
	if trouble {
		var once sync.Once
		for _, m := range d.machines {
			m.holdUp = func(t string) (late time.Duration) {
				once.Do(func() {
					late = 5 * time.Second
					time.AfterFunc(100*time.Millisecond, func() { d.crash(m, 3*time.Second, true) })
				})
				return late
			}
		}
	}
	if err := d.submit(r, job, "one task", taskSpec{cpu: 3300, takes: takes}, step{count: 1, cpu: 3300, memory: 5500, estimate: takes}); err != nil {
		return verdict{}, err
	}
	await(45*time.Second, func() bool { return d.state(r, job) == "completed" || !sleepFor(time.Second) })
	time.Sleep(2 * time.Second)
	runs := d.runsOf(task)
	if len(runs) == 0 {
		return verdict{}, fmt.Errorf("the task never ran")
	}
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			end := a.Ended
			if end.IsZero() || !b.Ended.IsZero() && b.Ended.Before(end) {
				end = b.Ended
			}
			if end.IsZero() {
				end = time.Now()
			}
			if both := end.Sub(b.Started); both > 0 {
				return verdict{true, fmt.Sprintf("TWICE: run %d on %s and run %d on %s of %s went on at the same time for %.1f s; they ended %s and %s",
					a.Number, a.Worker.name(), b.Number, b.Worker.name(), task, both.Seconds(), a.How, b.How)}, nil
			}
			if a.How == "done" {
				return verdict{true, fmt.Sprintf("TWICE: run %d of %s started after run %d was done", b.Number, task, a.Number)}, nil
			}
		}
	}
	return verdict{false, fmt.Sprintf("no two of the %d runs of %s went on at the same time", len(runs), task)}, nil
}

// sleepFor sleeps and returns true.
func sleepFor(t time.Duration) bool { time.Sleep(t); return true }

// playCount: a configuration sends a queue, in which jobs wait, to another service.
func playCount(d *deployment, trouble bool) (verdict, error) {
	q := route{"r-weight", "cubo38.example", "/weight/", "pondera", 3}
	other := route{"r-incentive", "cubo38.example", "/incentive/", "premia", 3}
	services := []service{{name: "pondera"}, {name: "premia"}}
	if err := d.prepare(map[string]int{"pondera": 1, "premia": 1}, 8000, services, []route{q, other}); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	whole := step{count: 1, cpu: 8000, memory: 5500, estimate: 100 * time.Second}
	long := taskSpec{cpu: 8000, takes: 100 * time.Second}
	if err := d.submit(other, "00000000000000ff", "long", long, whole); err != nil {
		return verdict{}, err
	}
	if err := d.submit(q, "00000000000000f0", "long", long, whole); err != nil {
		return verdict{}, err
	}
	time.Sleep(2 * time.Second)
	const jobs = 10
	for i := range jobs {
		if err := d.submit(q, fmt.Sprintf("%016x", i+1), "long", long, whole); err != nil {
			return verdict{}, err
		}
	}
	accepted := time.Now()
	begun := func() (n int) {
		for i := range jobs {
			if len(d.runsOf(fmt.Sprintf("%016x.0.0.0", i+1))) > 0 {
				n++
			}
		}
		return n
	}
	time.Sleep(7 * time.Second)
	for range entryVMs {
		if n := d.waiting(q); n < (jobs-begun())/2 {
			return verdict{}, fmt.Errorf("%d of %d jobs were told to wait before the configuration changed", n, jobs-begun())
		}
	}
	if trouble {
		q.service = "premia"
		d.configure(5, services, []route{q, other})
	}
	time.Sleep(10 * time.Second) // beyond the time in which a configuration has to be in force, and to be in touch
	worst, told := jobs, []string{}
	for range 5 * entryVMs {
		n := d.waiting(q)
		told = append(told, fmt.Sprint(n))
		if n >= 0 {
			worst = min(worst, n)
		}
		time.Sleep(time.Second)
	}
	for i := range 2 {
		d.state(q, fmt.Sprintf("%016x", i+1))
	}
	left := jobs - begun()
	text := fmt.Sprintf("%d jobs, accepted more than %.0f s ago, have not begun; told as waiting: %s", left, time.Since(accepted).Seconds()-15, strings.Join(told, " "))
	if 2*worst < left {
		return verdict{true, "MIXED: " + text}, nil
	}
	return verdict{false, text}, nil
}

// playLabel: a wave comes to a machine that alone has the label that two tasks that last require. Both
// have to run, and the wave to go on.
func playLabel(d *deployment, trouble bool) (verdict, error) {
	r := route{"r-panel", "cubo38.example", "/panel/", "tabula", 2}
	if err := d.prepare(map[string]int{"tabula": 3, "misc-svc": 2}, 32000, []service{{name: "tabula"}, {name: "misc-svc", standby: true}}, []route{r}); err != nil {
		return verdict{}, err
	}
	const job = "5c0e7a21d94b36f8"
	s := step{count: 2, cpu: 2700, memory: 6800, estimate: 900 * time.Millisecond, lasts: true, needs: "b", mayMiss: 1}
	if err := d.submit(r, job, "lasts", taskSpec{cpu: s.cpu}, s); err != nil {
		return verdict{}, err
	}
	tasks := []string{job + ".0.0.0", job + ".0.0.1"}
	for _, t := range tasks {
		if !await(10*time.Second, func() bool { _, runs := d.running(t); return runs }) {
			return verdict{}, fmt.Errorf("%s does not run after 10 s", t)
		}
	}
	time.Sleep(8 * time.Second)
	m := d.machines[0]
	const duration, most = 26, 1
	if trouble {
		d.put(wire("wave")+"1", map[string]any{"wave": 1, "machines": []string{m.id}, "duration-s": duration, wire("most"): most})
		d.rec.add("the operator orders wave 1 of machine %s, %d at a time, in %d s", m.id, most, duration)
	}
	// Beyond the time of the wave, and calm for longer than the rule asks.
	time.Sleep(duration*time.Second + 15*time.Second)
	lost := func() (out []string) {
		if !d.roomTwice("tabula", s.needs, s.cpu, s.memory) {
			return nil
		}
		for _, t := range tasks {
			runs := d.runsOf(t)
			if last := runs[len(runs)-1]; !last.Ended.IsZero() && time.Since(last.Ended) > lastsFrom {
				out = append(out, t)
			}
		}
		return out
	}
	broken := lost()
	for end := time.Now().Add(lastsFor); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		now := lost()
		broken = slices.DeleteFunc(broken, func(t string) bool { return !slices.Contains(now, t) })
	}
	var text []string
	for _, t := range tasks {
		runs := d.runsOf(t)
		if last := runs[len(runs)-1]; last.Ended.IsZero() {
			text = append(text, fmt.Sprintf("%s runs", t))
		} else {
			text = append(text, fmt.Sprintf("%s, whose last run ended (%s) %.1f s ago, doesn't run", t, last.How, time.Since(last.Ended).Seconds()))
		}
	}
	d.state(r, job)
	all := fmt.Sprintf("%s; machine %s is %s with %d of %d thousandths of a core in use; wave 1 is said to be %q",
		strings.Join(text, "; "), m.id, m.state, d.coresInUse(), m.cpu, d.waveState())
	if len(broken) > 0 {
		return verdict{true, "LOST: " + all}, nil
	}
	return verdict{false, all}, nil
}

// waveState returns what the system says of wave 1; empty if it says nothing.
func (d *deployment) waveState() string {
	var s struct {
		State string `json:"state"`
	}
	if json.Unmarshal(d.read(wire("status")+"1"), &s) != nil {
		return ""
	}
	return s.State
}

// playWave: a call for upkeep gets no answer, and the machine's runner crashes.
func playWave(d *deployment, trouble bool) (verdict, error) {
	r := route{"r-panel", "cubo38.example", "/panel/", "tabula", 2}
	if err := d.prepare(map[string]int{"tabula": 3}, 32000, []service{{name: "tabula"}}, []route{r}); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		lostFor := ""
		d.mu.Lock()
		d.loseUpkeep = func(id string) bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			if lostFor != "" {
				return false
			}
			lostFor = id
			for _, m := range d.machines {
				if m.id == id {
					time.AfterFunc(2*time.Second, func() { d.crash(m, 3*time.Second, false) })
				}
			}
			return true
		}
		d.mu.Unlock()
	}
	ids := []string{}
	for _, m := range d.machines {
		ids = append(ids, m.id)
	}
	d.put(wire("wave")+"1", map[string]any{"wave": 1, "machines": ids, "duration-s": 26, wire("most"): 1})
	d.rec.add("the operator orders wave 1 of %s, one at a time, in 26 s", strings.Join(ids, ", "))
	if !await(70*time.Second, func() bool { return d.waveState() == "completed" }) {
		return verdict{}, fmt.Errorf("the wave is not completed after 70 s")
	}
	d.rec.add("wave 1 is said to be completed")
	time.Sleep(3 * time.Second)
	var missing []string
	d.mu.Lock()
	for _, m := range d.machines {
		if _, begun := d.upkeeps[m.id]; !begun {
			missing = append(missing, m.id)
		}
	}
	d.mu.Unlock()
	if len(missing) > 0 {
		return verdict{true, "MIXED: the wave is said to be completed, and these machines have not begun their upkeep: " + strings.Join(missing, ", ")}, nil
	}
	return verdict{false, "all machines of the wave have begun their upkeep"}, nil
}
