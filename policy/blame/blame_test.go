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

func (b *Book) record(n int, kind string, o Outcome, times int) {
	for range times {
		b.Record(Event{VM: vm(n), Kind: kind, Outcome: o, At: start})
	}
}

// fail records failures of two kinds that do well elsewhere, in turn.
func (b *Book) fail(n, times int) {
	for i := range times {
		b.record(n, [...]string{"k", "l"}[i%2], FailedEarly, 1)
	}
}

// healthyBook returns a book in which kinds k and l do well on ten workers.
func healthyBook() *Book {
	b := NewBook()
	for n := range 10 {
		b.record(n, "k", Survived, 1)
		b.record(n, "l", Succeeded, 1)
	}
	return b
}

func TestWorkersQuarantined(t *testing.T) {
	for _, tc := range []struct {
		name string
		play func(b *Book)
		want []model.VMID
	}{
		{"no failures", func(*Book) {}, nil},
		{"a worker that fails what succeeds elsewhere", func(b *Book) { b.fail(20, 3) }, []model.VMID{vm(20)}},
		{"two failures are not enough", func(b *Book) { b.fail(20, 2) }, nil},
		{"a few failures of one kind are not enough", func(b *Book) { b.record(20, "k", FailedEarly, 5) }, nil},
		{"many failures of one kind are enough", func(b *Book) { b.record(20, "k", FailedEarly, 8) }, []model.VMID{vm(20)}},
		{"a kind that becomes faulty", func(b *Book) {
			for n := range 10 {
				b.record(n, "k", FailedEarly, 8)
			}
		}, nil},
		{"a worker with a good outcome in between", func(b *Book) {
			b.fail(20, 2)
			b.record(20, "k", Survived, 1)
			b.fail(20, 2)
		}, nil},
		{"a faulty kind seen nowhere else", func(b *Book) { b.record(20, "bad", FailedEarly, 8) }, nil},
		{"a faulty kind on a thousand workers", func(b *Book) {
			for n := range 1000 {
				b.record(n, "bad", FailedEarly, 4)
			}
		}, nil},
		{"a kind that fails late everywhere", func(b *Book) {
			for n := range 50 {
				b.record(n, "late", Survived, 4)
			}
			for n := range 50 {
				b.record(n, "late", FailedLate, 4)
			}
		}, nil},
		{"a worker that fails everything late", func(b *Book) {
			for n := range 10 {
				b.record(n, "k", Succeeded, 1)
			}
			for range 4 {
				b.record(20, "k", Survived, 1)
				b.record(20, "k", FailedLate, 1)
				b.record(20, "l", Survived, 1)
				b.record(20, "l", FailedLate, 1)
			}
		}, []model.VMID{vm(20)}},
		{"failures count once the kind does well elsewhere", func(b *Book) {
			b.record(20, "new", FailedEarly, 2)
			b.record(20, "k", FailedEarly, 1)
			for n := range 10 {
				b.record(n, "new", Survived, 1)
			}
		}, []model.VMID{vm(20)}},
		{"a faulty kind among the failures does not clear a faulty worker", func(b *Book) {
			b.record(1, "bad", FailedEarly, 1)
			b.record(20, "bad", FailedEarly, 2)
			b.record(20, "k", FailedEarly, 3)
		}, []model.VMID{vm(20)}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := healthyBook()
			tc.play(b)
			assert.DeepEqual(t, b.UpdateQuarantine(start, 100), tc.want)
		})
	}
}

func TestQuarantineIsLimitedToTheBudget(t *testing.T) {
	b := healthyBook()
	for n := 20; n < 30; n++ {
		b.fail(n, 8)
	}
	assert.Equal(t, len(b.UpdateQuarantine(start, 3)), 3)
	assert.Equal(t, len(b.UpdateQuarantine(start, 3)), 0)
	assert.Equal(t, b.Quarantined(), 3)
}

func TestQuarantinedWorkerIsProbedAndReleased(t *testing.T) {
	b := healthyBook()
	b.fail(20, 3)
	b.UpdateQuarantine(start, 10)
	status := func(at time.Time) string {
		closed, probe := b.WorkerStatus(vm(20), at)
		if probe {
			return "probe"
		}
		return closed
	}
	assert.Equal(t, status(start), "quarantined until 08:01:00: it fails what runs elsewhere")
	assert.Equal(t, status(start.Add(minQuarantine)), "probe")
	b.Record(Event{VM: vm(20), Kind: "k", Outcome: FailedEarly, At: start.Add(minQuarantine)})
	assert.Equal(t, status(start.Add(minQuarantine)), "quarantined until 08:03:00: it fails what runs elsewhere")
	b.Record(Event{VM: vm(20), Kind: "k", Outcome: Survived, At: start.Add(4 * minQuarantine)})
	assert.Equal(t, status(start.Add(4*minQuarantine)), "")
	assert.Equal(t, len(b.UpdateQuarantine(start, 10)), 0)
}

func TestQuarantinedWorkerIsReleasedWhenItsJobsFailElsewhere(t *testing.T) {
	// A kind that did well everywhere becomes faulty with a new version and fails on one worker
	// first, which is quarantined. The same jobs then fail on other workers, and it must be
	// released before its quarantine is over.
	b := healthyBook()
	b.record(20, "k", FailedEarly, 8)
	assert.DeepEqual(t, b.UpdateQuarantine(start, 10), []model.VMID{vm(20)})
	for n := range 8 {
		b.record(n, "k", FailedEarly, 1)
	}
	assert.Equal(t, len(b.UpdateQuarantine(start, 10)), 0)
	assert.Equal(t, b.Quarantined(), 0)
}

func TestJobToBlame(t *testing.T) {
	b := healthyBook()
	assert.Assert(t, !b.JobToBlame([]model.VMID{vm(1), vm(2)}))
	assert.Assert(t, !b.JobToBlame([]model.VMID{vm(1), vm(1), vm(1)}))
	assert.Assert(t, b.JobToBlame([]model.VMID{vm(1), vm(2), vm(3)}))
	b.fail(20, 3)
	assert.Assert(t, !b.JobToBlame([]model.VMID{vm(1), vm(2), vm(20)}), "a failure on a suspect worker does not count against the job")
}

func TestStateIsBounded(t *testing.T) {
	b := NewBook()
	for i := range maxKinds + 50 {
		b.record(i%7, fmt.Sprint("k", i), FailedEarly, 1)
	}
	assert.Equal(t, len(b.kinds), maxKinds)
	b.Forget(func(id model.VMID) bool { return id == vm(1) })
	assert.Equal(t, len(b.Workers), 1)
	for i := range 2 * maxObservations {
		b.record(i, "k", Survived, 1)
	}
	assert.Equal(t, len(b.kinds["k"].observations), maxObservations)
	assert.Equal(t, len(b.Workers), 0, "a worker without failures is not remembered")
}
