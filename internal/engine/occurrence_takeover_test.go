package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/work"
)

// occurrenceBegunEarly has an owner start the first occurrence of a repeated job with the step, and
// replaces the owner by one whose wall clock is 2 s behind, so that the occurrence is not due there. It
// returns the start.
func occurrenceBegunEarly(b *rig, s work.Step) StartOrder {
	b.worker("w1")
	b.worker("w2")
	b.core.Accept(&work.Job{
		ID: "repeated", Queue: queue, Spec: "spec", Steps: []work.Step{s}, Accepted: b.wall,
		Schedule: work.Schedule{Times: 2, First: b.wall.Add(time.Second), Every: time.Minute},
	}, b.core.declared.Queues[queue], b.now)
	b.wall = b.wall.Add(time.Second)
	o := b.plan()
	assert.Equal(b.t, len(o.Starts), 1)
	b.answer(o, OutcomeOK)
	b.wall = b.wall.Add(-2 * time.Second)
	b.takeOver(token+1, "w1", "w2")
	b.core.SetFleet([]work.VM{vm("v1", "w1"), vm("v2", "w2")})
	return o.Starts[0]
}

// other returns which of the workers w1 and w2 the start did not go to.
func other(s StartOrder) work.WorkerID {
	if s.Worker.ID == "w1" {
		return "w2"
	}
	return "w1"
}

// Guards against a task of a repeated job that starts again after its end was acknowledged: the occurrence was
// begun by an owner whose wall clock was ahead, and is not due yet by the clock of its successor.
func TestADoneTaskOfAnOccurrenceBegunByAClockAheadStaysDone(t *testing.T) {
	b := newRig(t)
	s := occurrenceBegunEarly(b, short(1))
	b.poll(s.Worker.ID, Listing{Ended: []RunEnd{ended(1, s, work.Done)}})
	b.poll(other(s), Listing{})
	b.plan()
	b.flush()
	h := b.poll(s.Worker.ID, Listing{})
	b.wall = b.wall.Add(2 * time.Second)
	for _, again := range b.plan().Starts {
		t.Fatalf("%s run %d starts after its end as done was received, acknowledged through %d", again.Start.Task, again.Start.Run, h.AckedThrough)
	}
}

// Guards against a task of a repeated job that runs beside itself or loses its work: the occurrence was begun by
// an owner whose wall clock was ahead, and is not due yet by the clock of its successor.
func TestARunOfAnOccurrenceBegunByAClockAheadIsAdopted(t *testing.T) {
	b := newRig(t)
	s := occurrenceBegunEarly(b, short(1))
	b.poll(s.Worker.ID, Listing{Running: []Run{run(s)}})
	b.poll(other(s), Listing{})
	assert.Equal(t, len(b.plan().Stops), 0, "the run is stopped")
	b.wall = b.wall.Add(2 * time.Second)
	b.poll(s.Worker.ID, Listing{Running: []Run{run(s)}})
	assert.Equal(t, len(b.plan().Starts), 0)
}
