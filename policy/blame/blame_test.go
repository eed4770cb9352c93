package blame

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/model"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

func vm(n int) model.VMID { return model.VMID(fmt.Sprintf("v%d", n)) }

func (b *Book) see(n int, kind string, o Outcome, times int) {
	for range times {
		b.Record(Event{VM: vm(n), Kind: kind, Outcome: o, At: start})
	}
}

// fail lets a worker fail two kinds that do well elsewhere, in turn.
func (b *Book) fail(n, times int) {
	for i := range times {
		b.see(n, [...]string{"k", "l"}[i%2], FailedEarly, 1)
	}
}

// healthy is a book in which kinds k and l do well on ten workers.
func healthy() *Book {
	b := NewBook()
	for n := range 10 {
		b.see(n, "k", Survived, 1)
		b.see(n, "l", Succeeded, 1)
	}
	return b
}

func TestWhoIsToBlame(t *testing.T) {
	for _, tc := range []struct {
		name string
		play func(b *Book)
		want []model.VMID
	}{
		{"nothing happened", func(*Book) {}, nil},
		{"a worker that fails what runs elsewhere", func(b *Book) { b.fail(20, 3) }, []model.VMID{vm(20)}},
		{"two failures are not enough", func(b *Book) { b.fail(20, 2) }, nil},
		{"a few failures of one kind are not enough", func(b *Book) { b.see(20, "k", FailedEarly, 5) }, nil},
		{"many of one kind are", func(b *Book) { b.see(20, "k", FailedEarly, 8) }, []model.VMID{vm(20)}},
		{"a kind that is broken from now on", func(b *Book) {
			for n := range 10 {
				b.see(n, "k", FailedEarly, 8)
			}
		}, nil},
		{"one that does well in between", func(b *Book) {
			b.fail(20, 2)
			b.see(20, "k", Survived, 1)
			b.fail(20, 2)
		}, nil},
		{"a bad kind seen nowhere else", func(b *Book) { b.see(20, "bad", FailedEarly, 8) }, nil},
		{"a bad kind on a thousand workers", func(b *Book) {
			for n := range 1000 {
				b.see(n, "bad", FailedEarly, 4)
			}
		}, nil},
		{"a kind that fails late everywhere", func(b *Book) {
			for n := range 50 {
				b.see(n, "late", Survived, 4)
			}
			for n := range 50 {
				b.see(n, "late", FailedLate, 4)
			}
		}, nil},
		{"a worker that fails everything late", func(b *Book) {
			for n := range 10 {
				b.see(n, "k", Succeeded, 1)
			}
			for range 4 {
				b.see(20, "k", Survived, 1)
				b.see(20, "k", FailedLate, 1)
				b.see(20, "l", Survived, 1)
				b.see(20, "l", FailedLate, 1)
			}
		}, []model.VMID{vm(20)}},
		{"blame comes when the kind does well elsewhere", func(b *Book) {
			b.see(20, "new", FailedEarly, 2)
			b.see(20, "k", FailedEarly, 1)
			for n := range 10 {
				b.see(n, "new", Survived, 1)
			}
		}, []model.VMID{vm(20)}},
		{"a bad kind in the mix does not save a bad worker", func(b *Book) {
			b.see(1, "bad", FailedEarly, 1)
			b.see(20, "bad", FailedEarly, 2)
			b.see(20, "k", FailedEarly, 3)
		}, []model.VMID{vm(20)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := healthy()
			tc.play(b)
			assert.DeepEqual(t, b.UpdateQuarantine(start, 100), tc.want)
		})
	}
}

func TestNoMoreThanTheBudgetAllows(t *testing.T) {
	b := healthy()
	for n := 20; n < 30; n++ {
		b.fail(n, 8)
	}
	assert.Equal(t, len(b.UpdateQuarantine(start, 3)), 3)
	assert.Equal(t, len(b.UpdateQuarantine(start, 3)), 0)
	assert.Equal(t, b.Quarantined(), 3)
}

func TestProbingBack(t *testing.T) {
	b := healthy()
	b.fail(20, 3)
	b.UpdateQuarantine(start, 10)
	standing := func(at time.Time) string {
		closed, probe := b.WorkerStatus(vm(20), at)
		if probe {
			return "probe"
		}
		return closed
	}
	assert.Equal(t, standing(start), "quarantined until 08:01:00: it fails what runs elsewhere")
	assert.Equal(t, standing(start.Add(firstBan)), "probe")
	b.Record(Event{VM: vm(20), Kind: "k", Outcome: FailedEarly, At: start.Add(firstBan)})
	assert.Equal(t, standing(start.Add(firstBan)), "quarantined until 08:03:00: it fails what runs elsewhere")
	b.Record(Event{VM: vm(20), Kind: "k", Outcome: Survived, At: start.Add(4 * firstBan)})
	assert.Equal(t, standing(start.Add(4*firstBan)), "")
	assert.Equal(t, len(b.UpdateQuarantine(start, 10)), 0)
}

func TestReleasedWhenTheJobsFailElsewhere(t *testing.T) {
	// A kind that did well everywhere is broken by a new version and fails on
	// one worker first. The worker is quarantined; the same jobs then fail on
	// others, and it is released before its time.
	b := healthy()
	b.see(20, "k", FailedEarly, 8)
	assert.DeepEqual(t, b.UpdateQuarantine(start, 10), []model.VMID{vm(20)})
	for n := range 8 {
		b.see(n, "k", FailedEarly, 1)
	}
	assert.Equal(t, len(b.UpdateQuarantine(start, 10)), 0)
	assert.Equal(t, b.Quarantined(), 0)
}

func TestHopeless(t *testing.T) {
	b := healthy()
	assert.Assert(t, !b.JobToBlame([]model.VMID{vm(1), vm(2)}))
	assert.Assert(t, !b.JobToBlame([]model.VMID{vm(1), vm(1), vm(1)}))
	assert.Assert(t, b.JobToBlame([]model.VMID{vm(1), vm(2), vm(3)}))
	b.fail(20, 3)
	assert.Assert(t, !b.JobToBlame([]model.VMID{vm(1), vm(2), vm(20)}), "a suspect worker is no witness")
}

func TestStateIsBounded(t *testing.T) {
	b := NewBook()
	for i := range maxKinds + 50 {
		b.see(i%7, fmt.Sprint("k", i), FailedEarly, 1)
	}
	assert.Equal(t, len(b.kinds), maxKinds)
	b.Forget(func(id model.VMID) bool { return id == vm(1) })
	assert.Equal(t, len(b.Workers), 1)
	for i := range 2 * witnesses {
		b.see(i, "k", Survived, 1)
	}
	assert.Equal(t, len(b.kinds["k"].sights), witnesses)
	assert.Equal(t, len(b.Workers), 0, "a worker without failures needs no memory")
}
