package dispatch

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/model"
	"github.com/pumicestage/pumicestage/policy/retry"
)

var t0 = time.Unix(1_000_000, 0)

// newTestDispatcher returns a Dispatcher with two targets of four slots in one
// pool that two services share. change, if not nil, modifies the Fleet first.
func newTestDispatcher(change func(*Fleet)) *Dispatcher {
	f := Fleet{
		Services: []model.Service{
			{Name: "a", Pools: []model.PoolName{"p"}, Slots: 4},
			{Name: "b", Pools: []model.PoolName{"p"}, Slots: 4},
		},
		VMs: []VM{{ID: "v0", Zone: "z", Pool: "p", Serving: true}, {ID: "v1", Zone: "z", Pool: "p", Serving: true}},
	}
	if change != nil {
		change(&f)
	}
	d := New(Config{Self: "e", Zone: "z", Rand: rand.New(rand.NewPCG(1, 1)).IntN})
	d.Update(f, t0)
	return d
}

func submit(d *Dispatcher, service model.ServiceName, class model.Class) (*Ticket, *Refusal) {
	return d.Submit(Request{Service: service, Caller: "c", Class: class, Arrived: t0, Deadline: t0.Add(time.Minute)}, t0)
}

// countGrants returns the number of grants with a target, and of refusals by
// reason.
func countGrants(d *Dispatcher) (n int, refused map[Reason]int) {
	refused = make(map[Reason]int)
	for _, g := range d.Grants() {
		if g.Refusal != nil {
			refused[g.Refusal.Reason]++
			continue
		}
		n++
	}
	return n, refused
}

func TestSlotsAreNotExceeded(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Fleet)
		class  model.Class
		want   int // of 20 requests to each service, how many are granted a slot
	}{
		{"two targets of four slots", nil, model.ClassNormal, 8},
		{"deferrable work keeps an eighth of the slots free", nil, model.ClassDeferrable, 7},
		{"the services' limits", func(f *Fleet) { f.Services[0].Limit, f.Services[1].Limit = 2, 3 }, model.ClassNormal, 5},
		{"one target is leaving", func(f *Fleet) { f.VMs[0].Serving = false }, model.ClassNormal, 4},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := newTestDispatcher(tc.change)
			for range 20 {
				for _, service := range []model.ServiceName{"a", "b"} {
					_, refusal := submit(d, service, tc.class)
					assert.Assert(t, refusal == nil)
				}
			}
			n, _ := countGrants(d)
			assert.Equal(t, n, tc.want)
			assert.Equal(t, d.Queued(), 40-tc.want)
		})
	}
}

func TestQueuedRequestEnds(t *testing.T) {
	cases := []struct {
		name   string
		do     func(*Dispatcher, *Ticket)
		sent   int
		reason Reason // 0 if the request is not refused
	}{
		{"a slot is released", func(d *Dispatcher, first *Ticket) { d.Done(first, Outcome{Kind: Answered}, t0) }, 1, 0},
		{"the deadline passes", func(d *Dispatcher, _ *Ticket) { d.Tick(t0.Add(time.Minute)) }, 0, DeadlineExceeded},
		{"the service is no longer declared", func(d *Dispatcher, _ *Ticket) {
			d.Update(Fleet{Services: []model.Service{{Name: "b", Pools: []model.PoolName{"p"}}}}, t0)
		}, 0, NoService},
		{"a target is added", func(d *Dispatcher, _ *Ticket) {
			d.Update(Fleet{Services: []model.Service{{Name: "a", Pools: []model.PoolName{"p"}}},
				VMs: []VM{{ID: "v0", Pool: "p", Zone: "z", Serving: true}, {ID: "v9", Pool: "p", Zone: "z", Serving: true}}}, t0)
		}, 1, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			d := newTestDispatcher(func(f *Fleet) { f.VMs = f.VMs[:1] })
			first, _ := submit(d, "a", model.ClassNormal)
			for range 4 {
				_, refusal := submit(d, "a", model.ClassNormal)
				assert.Assert(t, refusal == nil)
			}
			n, _ := countGrants(d)
			assert.Equal(t, n, 4)
			tc.do(d, first)
			n, refused := countGrants(d)
			assert.Equal(t, n, tc.sent)
			assert.Equal(t, d.Queued(), 1-n-len(refused))
			if tc.reason != 0 {
				assert.Equal(t, refused[tc.reason], 1)
			}
		})
	}
}

func TestRefusedRequestGoesElsewhere(t *testing.T) {
	for name, targets := range map[string]int{"another target": 2, "no other target": 1} {
		t.Run(name, func(t *testing.T) {
			d := newTestDispatcher(func(f *Fleet) { f.VMs = f.VMs[:targets] })
			_, refusal := submit(d, "a", model.ClassNormal)
			assert.Assert(t, refusal == nil)
			g := d.Grants()[0]
			d.Done(g.Ticket, Outcome{Kind: Refused}, t0)
			assert.Equal(t, d.Retry(g.Ticket, 1, true, t0), retry.Retry)
			r := g.Ticket.Request
			r.Avoid = g.VM
			_, refusal = d.Submit(r, t0)
			if targets == 1 {
				assert.Equal(t, refusal.Reason, NoOtherTarget)
				return
			}
			assert.Assert(t, refusal == nil)
			assert.Assert(t, d.Grants()[0].VM != g.VM)
		})
	}
}

func TestUnknownServiceAndNoTarget(t *testing.T) {
	d := newTestDispatcher(func(f *Fleet) { f.VMs = nil })
	_, refusal := submit(d, "nope", model.ClassNormal)
	assert.Equal(t, refusal.Reason, NoService)
	_, refusal = submit(d, "a", model.ClassNormal)
	assert.Equal(t, refusal.Reason, NoTarget)
	assert.Assert(t, refusal.RetryAfter > 0)
}
