package engine

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// spoilProgress makes the stored progress of random jobs unreadable, so that the next owners find what
// readProgress makes of such a value.
func (m *model) spoilProgress() {
	for _, id := range sortedIDs(m.progress) {
		p := m.progress[id]
		if p == nil || p.Unreadable != nil || !m.chance(30) {
			continue
		}
		raw, err := json.Marshal(p)
		assert.NilError(m.t, err)
		m.progress[id] = &Progress{Run: unreadableRunOffset, Unreadable: keepUnreadable(raw, epoch)}
		m.spoiled++
	}
}

// readSpoiledProgress has the next owner read all stored progress.
func (m *model) readSpoiledProgress() {
	for _, id := range sortedIDs(m.progress) {
		p := m.progress[id]
		if p == nil || p.Unreadable == nil {
			continue
		}
		earlier, err := readProgress(p.Unreadable.Value, m.jobs[id].Job, epoch)
		assert.NilError(m.t, err)
		m.progress[id] = mergeProgress(earlier, p)
	}
}

// Guards against tasks that run again although they are done, and against jobs that never end, while owners
// can't read progress that earlier ones stored and a later one can.
func TestNoTaskRunsTwiceWhileProgressIsUnreadable(t *testing.T) {
	spoiled := 0
	for i := range *modelSeeds {
		seed := *modelFirst + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			m := newModel(t, seed)
			m.concurrentTxns, m.unreadable = true, true
			for range 1500 {
				m.step()
			}
			m.heal()
			for i := 0; i < 20000 && !m.allEnded(); i++ {
				m.step()
			}
			assert.Assert(t, m.allEnded(), "states: %v", m.ended)
			spoiled += m.spoiled
		})
	}
	assert.Assert(t, spoiled > 0)
}
