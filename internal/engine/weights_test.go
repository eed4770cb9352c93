package engine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
	"github.com/pumicestage/pumicestage/policy/workspace"
)

// submission is a number of single-task jobs that a workspace submits at once.
type submission struct {
	at   time.Duration
	name work.WorkspaceName
	jobs int
}

// countJobsInTime simulates the submissions, in the order of their times, on a pool that runs eight tasks
// of one second at a time. It returns, by workspace, the number of jobs that end within their objective of
// 2.2 s.
func countJobsInTime(t *testing.T, workspaces []workspace.Workspace, arrivals []submission) map[work.WorkspaceName]int {
	const end, step = 12 * time.Second, 50 * time.Millisecond
	b := newRig(t)
	declared := Declared{Version: 2, Queues: b.core.declared.Queues, Services: b.core.declared.Services, Workspaces: make(map[work.WorkspaceName]workspace.Workspace)}
	for _, w := range workspaces {
		declared.Workspaces[w.Name] = w
	}
	b.core.Configure(declared)
	ids := []work.WorkerID{"w1", "w2"}
	for _, id := range ids {
		b.worker(id)
	}
	type live struct {
		order StartOrder
		until time.Duration
	}
	var runs []live
	seq := make(map[work.WorkerID]int64)
	accepted := make(map[work.JobID]time.Duration)
	out := make(map[work.WorkspaceName]int)
	began := b.now
	for b.now < began+end {
		for len(arrivals) > 0 && b.now >= began+arrivals[0].at {
			a := arrivals[0]
			arrivals = arrivals[1:]
			for range a.jobs {
				id := work.JobID(fmt.Sprintf("%s-%d", a.name, len(accepted)))
				accepted[id] = b.now
				b.core.Accept(&work.Job{ID: id, Queue: queue, Workspace: a.name, Spec: "spec", Steps: []work.Step{short(1)}, Accepted: b.wall}, declared.Queues[queue], b.now)
			}
		}
		o := b.plan()
		b.answer(o, OutcomeOK)
		for _, s := range o.Starts {
			runs = append(runs, live{order: s, until: b.now + time.Second})
		}
		b.now += step
		kept := runs[:0]
		for _, r := range runs {
			if b.now < r.until {
				kept = append(kept, r)
				continue
			}
			worker := r.order.Worker.ID
			seq[worker]++
			b.core.PollAnswered(worker, Hold{}, Listing{Clock: b.now, Brief: true, Ended: []RunEnd{ended(seq[worker], r.order, work.Done)}}, b.now, b.now)
			j := b.core.jobs[r.order.Start.Task.Job]
			if b.now-accepted[j.ID] <= 2200*time.Millisecond {
				out[j.Workspace]++
			}
		}
		runs = kept
		b.flush()
	}
	return out
}

// weighted returns a workspace with the weight: the number of jobs a second beyond which its jobs are
// ordered after those of others; 0: no bound.
func weighted(name work.WorkspaceName, weight int) workspace.Workspace {
	return workspace.Workspace{Name: name, Weight: weight}
}

// Guards against a workspace that delays all others. One submits sixty jobs at once and another four a
// second; the pool completes eight a second. Ordered by age and cost alone, the four would all wait behind
// the sixty and be late. By weight, the first workspace's jobs beyond its weight are late instead.
func TestAHeavyWorkspaceDoesNotPushOthersOut(t *testing.T) {
	arrivals := []submission{{0, "heavy", 60}}
	for s := range 5 {
		arrivals = append(arrivals, submission{time.Duration(s)*time.Second + 100*time.Millisecond, "light", 4})
	}
	without := countJobsInTime(t, []workspace.Workspace{weighted("heavy", 0), weighted("light", 0)}, arrivals)
	with := countJobsInTime(t, []workspace.Workspace{weighted("heavy", 4), weighted("light", 4)}, arrivals)
	assert.Assert(t, with["light"] >= 18, "%d of 20, %d without weights", with["light"], without["light"])
	assert.Assert(t, with["light"] > without["light"])
	assert.Assert(t, with["heavy"]+with["light"] >= without["heavy"]+without["light"], "%v, without weights %v", with, without)
}

// While no other workspace has work, jobs beyond a workspace's weight run at once and in time.
func TestAnIdleShareIsUsedByOthers(t *testing.T) {
	got := countJobsInTime(t, []workspace.Workspace{weighted("heavy", 1), weighted("light", 100)}, []submission{{0, "heavy", 16}})
	assert.Equal(t, got["heavy"], 16)
}

// A workspace that submits jobs again after seconds without work must be served from the next plan on,
// although another one fills the pool beyond its weight.
func TestAWorkspaceThatComesBackHasItsShareAtOnce(t *testing.T) {
	got := countJobsInTime(t, []workspace.Workspace{weighted("heavy", 2), weighted("light", 8)}, []submission{
		{0, "light", 4}, {2 * time.Second, "heavy", 60}, {5 * time.Second, "light", 8},
	})
	assert.Equal(t, got["light"], 12)
}

// Twenty workspaces submit one job each at once, none more than its weight, in jobs a second, allows. As
// many jobs must end in time as the pool can run in two rounds, whichever workspaces they belong to.
func TestTwentyWorkspacesAtOnce(t *testing.T) {
	var workspaces []workspace.Workspace
	var arrivals []submission
	for i := range 20 {
		name := work.WorkspaceName(fmt.Sprintf("w%02d", i))
		workspaces = append(workspaces, weighted(name, 1+i%5))
		arrivals = append(arrivals, submission{0, name, 1})
	}
	total := 0
	for _, n := range countJobsInTime(t, workspaces, arrivals) {
		total += n
	}
	assert.Equal(t, total, 16, "two rounds of the pool")
}

// With a limit and a weight together, the heavy workspace is kept within its limit, and the capacity that
// it leaves serves the other one in time.
func TestLimitsAndSharesTogether(t *testing.T) {
	heavy := weighted("heavy", 100)
	heavy.Limit = short(1).Size.Times(3)
	got := countJobsInTime(t, []workspace.Workspace{heavy, weighted("light", 4)}, []submission{{0, "heavy", 40}, {time.Second, "light", 4}, {2 * time.Second, "light", 4}})
	assert.Equal(t, got["light"], 8)
}
