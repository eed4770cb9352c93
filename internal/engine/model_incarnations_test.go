package engine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

// modelMaxHold is the longest lease that workers grant, whatever deadline they are given.
const modelMaxHold = 10 * time.Second

// crash ends the worker's incarnation; another begins, under the same ID or a new one.
func (m *model) crash(w *modelWorker) {
	w.dead = true
	for task := range w.running {
		w.inDoubt[task] = true
	}
	for _, e := range w.ends {
		w.inDoubt[e.Task] = true
	}
	for task := range w.inDoubt {
		m.crashed[task]++
	}
	if m.restarts && m.chance(60) {
		m.addIncarnation(w.id)
		return
	}
	m.addNewWorker()
}

func (m *model) addNewWorker() { m.addIncarnation(work.WorkerID(fmt.Sprintf("w%d", m.incarnations+1))) }

// addIncarnation adds an incarnation of the worker, which knows nothing of those before.
func (m *model) addIncarnation(id work.WorkerID) {
	m.incarnations++
	m.workers = append(m.workers, &modelWorker{
		id: id, incarnation: firstIncarnation + work.Incarnation(m.incarnations), clockRate: 0.98 + 0.02*m.rng.Float64(), startedAt: m.now,
		running: make(map[work.TaskRef]int), highest: make(map[work.TaskRef]int), inDoubt: make(map[work.TaskRef]bool),
	})
}

// worker returns the current incarnation under the ID; nil: none.
func (m *model) worker(id work.WorkerID) *modelWorker {
	i := slices.IndexFunc(m.workers, func(w *modelWorker) bool { return w.id == id && !w.dead })
	if i < 0 {
		return nil
	}
	return m.workers[i]
}

// startLate carries a start out long after it was sent. It reaches the incarnation that it was
// sent to, or the next one under the same ID unless a successor of its owner or a stop has
// settled it meanwhile: the fences of an incarnation end with it.
func (m *model) startLate(o *modelOwner, w *modelWorker, s StartOrder) {
	settled := o != m.current() || s.Start.Run <= w.highest[s.Start.Task]
	if next := m.nextIncarnation(w); w.dead && next != nil && !settled {
		w = next
	}
	m.begin(w, s)
}

// nextIncarnation returns the incarnation that followed under the worker's ID.
func (m *model) nextIncarnation(w *modelWorker) *modelWorker {
	i := slices.IndexFunc(m.workers, func(o *modelWorker) bool { return o.id == w.id && o.incarnation > w.incarnation })
	if i < 0 {
		return nil
	}
	return m.workers[i]
}

// leaseEnd returns until when a worker keeps its runs going for that deadline.
func (w *modelWorker) leaseEnd(deadline, now time.Duration) time.Duration {
	return max(w.deadline, min(deadline, w.clock(now)+modelMaxHold))
}

// cancelRandomJob has the current owner cancel a job. Whatever happens to that owner, an
// acknowledged cancel holds.
func (m *model) cancelRandomJob() {
	ids := sortedIDs(m.jobs)
	id := ids[m.rng.IntN(len(ids))]
	m.current().core.Cancel(id, func(err error) {
		if err == nil && m.ended[id] == work.Cancelled {
			m.cancelled[id] = true
		}
	})
}

// Workers restart under their IDs, their registrations come late, starts and polls meant for
// one incarnation reach the next, and jobs are cancelled meanwhile. Guards against tasks that
// run twice, start after their job was cancelled or go on for ever, and against jobs that
// never end.
func TestNoTaskRunsTwiceAcrossRestartsUnderOneID(t *testing.T) {
	for i := range *modelSeeds {
		seed := *modelFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newModel(t, seed)
			m.concurrentTxns, m.restarts = true, true
			for range 1500 {
				m.step()
			}
			m.heal()
			for i := 0; i < 20000 && !(m.allEnded() && m.idle()); i++ {
				m.step()
			}
			assert.Assert(t, m.allEnded(), "states: %v", m.ended)
			assert.Assert(t, m.idle(), "work of ended jobs runs on")
		})
	}
}
