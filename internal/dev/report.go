package dev

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/pumicestage/pumicestage/internal/fleet"
	"github.com/pumicestage/pumicestage/policy/model"
)

// report holds the results of a run. Cut requests and double runs are counted by
// the fake targets and the stand-in, never by the code under test.
type report struct {
	began   time.Time
	inForce time.Duration

	rollOut    time.Duration
	bufferCost float64 // mean number of VMs out of service while the wave ran
	moves      int
	status     fleet.WaveStatus

	sent, ran, notRun, unknown, broken, wrong, refused       int64
	cut, doubleRuns, falseNotRuns, budgetBroken, notRebooted int
}

// meter samples the number of VMs out of service while the wave runs.
type meter struct {
	c       *cluster
	r       *report
	samples int
	out     int
}

func newMeter(c *cluster, r *report) *meter { return &meter{c: c, r: r} }

// sample counts the VMs that are out of service now, as reported by the
// targets themselves, and the services below their budget.
func (m *meter) sample() {
	out := make(map[model.PoolName]int)
	all := make(map[model.PoolName]int)
	for _, vm := range m.c.decl.VMs {
		all[vm.Pool]++
		if !m.c.targets[vm.ID].Serving() {
			out[vm.Pool]++
			m.out++
		}
	}
	m.samples++
	m.r.bufferCost = float64(m.out) / float64(m.samples)
	for _, s := range m.c.decl.Services {
		if total, gone := sum(s, all), sum(s, out); total-gone < s.Budget.MinAvailable.Of(total) {
			m.r.budgetBroken++
		}
	}
}

func sum(s model.Service, by map[model.PoolName]int) int {
	n := 0
	for _, p := range s.Pools {
		n += by[p]
	}
	return n
}

// collectCounts copies the counts into the report. The load must have ended.
func (r *report) collectCounts(c *cluster, t *Tally) {
	r.sent, r.ran, r.notRun, r.unknown = t.Sent(), t.Ran.Load(), t.NotRun.Load(), t.Unknown.Load()
	r.broken, r.wrong, r.refused = t.Broken.Load(), t.Wrong.Load(), t.Refused.Load()
	for _, target := range c.targets {
		r.cut += target.Counts().Interrupted
	}
	r.doubleRuns = c.doubleRuns()
	r.falseNotRuns = c.falseNotRuns(t)
	tally := c.platform.Machines.Tally()
	r.notRebooted = len(c.decl.VMs) - tally.Reboots
}

// runs counts how often each Idempotency-Key ran, over all targets.
func (c *cluster) runs() map[string]int {
	runs := make(map[string]int)
	for _, target := range c.targets {
		for key, n := range target.Counts().Runs {
			runs[key] += n
		}
	}
	return runs
}

// doubleRuns counts Idempotency-Keys that ran more than once, on one target or
// on several.
func (c *cluster) doubleRuns() int {
	twice := 0
	for _, n := range c.runs() {
		if n > 1 {
			twice++
		}
	}
	return twice
}

// falseNotRuns counts requests that were answered with not-run although a target
// ran them.
func (c *cluster) falseNotRuns(t *Tally) int {
	runs := c.runs()
	n := 0
	for _, key := range t.notRunKeys() {
		if runs[key] > 0 {
			n++
		}
	}
	return n
}

func (r *report) print(w io.Writer) {
	fmt.Fprintf(w, "change in force everywhere  %s\n", r.inForce.Round(time.Millisecond))
	fmt.Fprintf(w, "roll-out time               %s\n", r.rollOut.Round(time.Millisecond))
	fmt.Fprintf(w, "buffer cost                 %.2f VMs out of service on average\n", r.bufferCost)
	fmt.Fprintf(w, "moves                       %d\n", r.moves)
	fmt.Fprintf(w, "requests answered           %d (ran %d, not-run %d, unknown %d)\n", r.sent, r.ran, r.notRun, r.unknown)
	fmt.Fprintf(w, "requests cut                %d at targets, %d broken at callers, %d wrong answers\n", r.cut, r.broken, r.wrong)
	fmt.Fprintf(w, "double runs                 %d\n", r.doubleRuns)
	fmt.Fprintf(w, "said not-run, but ran       %d\n", r.falseNotRuns)
	fmt.Fprintf(w, "budgets broken              %d\n", r.budgetBroken)
	fmt.Fprintf(w, "VMs not rebooted            %d\n", r.notRebooted)
	fmt.Fprintf(w, "took                        %s\n", time.Since(r.began).Round(time.Millisecond))
}

// verdict returns an error that names every violated guarantee, or nil.
func (r *report) verdict() error {
	var broken []error
	check := func(n int64, what string) {
		if n != 0 {
			broken = append(broken, fmt.Errorf("dev: %d %s", n, what))
		}
	}
	check(int64(r.cut), "requests cut at targets")
	check(r.broken, "answers broken at callers")
	check(r.wrong, "answers to another request")
	check(r.unknown, "requests of unknown outcome")
	check(int64(r.doubleRuns), "double runs")
	check(int64(r.falseNotRuns), "requests said not to have run that ran")
	check(int64(r.budgetBroken), "times a budget was broken")
	check(int64(r.notRebooted), "VMs not rebooted by the wave")
	if r.ran == 0 {
		broken = append(broken, errors.New("dev: no request ran"))
	}
	return errors.Join(broken...)
}
