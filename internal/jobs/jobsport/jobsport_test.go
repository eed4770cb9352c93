package jobsport

import (
	"context"
	"errors"
	"testing"

	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/command"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/faulty"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/internal/infra/standin"
	"github.com/pumicestage/pumicestage/internal/jobs"
	"github.com/pumicestage/pumicestage/internal/lang"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// discardTrail is an audit trail that discards all events.
type discardTrail struct{}

func (discardTrail) Record(context.Context, command.Event) error { return nil }
func (discardTrail) RecordLimited(command.Event)                 {}

func newExecutor(t *testing.T) (*jobs.Jobs, *command.Executor, *faulty.Store) {
	clock := clockwork.NewFakeClock()
	store := faulty.Wrap(memstore.New(clock))
	platform := standin.New(clock)
	t.Cleanup(platform.Close)
	holder := view.NewHolder()
	holder.Publish(&view.Snapshot{Revision: 1, Declaration: &model.Declaration{Generation: 1}, VMs: map[model.VMID]view.VMRecord{}})
	j := jobs.New(jobs.Options{Store: store, Machines: platform.Machines, View: holder, Self: "e1", Clock: clock, Log: logr.Discard()})
	return j, command.New(command.Options{Jobs: CommandAdapter{j}, Trail: discardTrail{}, Clock: clock}), store
}

func execute(t *testing.T, x *command.Executor, text string, change model.ChangeID) (command.Result, error) {
	t.Helper()
	order, err := lang.ParseOrder(text)
	assert.NilError(t, err)
	return x.Execute(context.Background(), command.Request{Change: change, Text: text, Order: order})
}

func TestCancelJobsByCommand(t *testing.T) {
	j, x, store := newExecutor(t)
	job := model.Job{Team: "panel", Kind: "dedup", Repeatable: true, Declared: model.Resources{MilliCPU: 1}}
	other := job
	other.Team = "field"
	all := []model.Job{other}
	for range 1000 {
		all = append(all, job)
	}
	_, err := j.Submit(context.Background(), "c", all)
	assert.NilError(t, err)

	before := store.Calls()
	res, err := execute(t, x, "cancel jobs where team = panel", "x-1")
	assert.NilError(t, err)
	assert.Equal(t, len(res.Effects), 1000)
	assert.Equal(t, res.Refused(), 0)
	assert.Equal(t, res.Effects[7].After, "cancelled")
	after := store.Calls()
	assert.Assert(t, after.Writes+after.Reads-before.Writes-before.Reads <= 6, "%+v after %+v", after, before)

	_, err = execute(t, x, "cancel job c.1", "x-2")
	assert.ErrorContains(t, err, "cancelled already")
	_, err = execute(t, x, "cancel jobs where team = panel", "x-3")
	assert.ErrorContains(t, err, "0 jobs fulfil this")
	left, err := QueryAdapter{j}.Jobs(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, left[0].State, "waiting")
	assert.Equal(t, len(left[1].History), 2)
}

// Guards against an operator who is told that nothing was cancelled although one of several
// transactions took effect, or may have.
func TestCancelThatPartlyTookEffectIsUncertain(t *testing.T) {
	const groups, jobsPerGroup = 49, 64 // one group more than a transaction takes
	for name, second := range map[string]func(*faulty.Store){
		"the other transaction took effect": func(s *faulty.Store) { s.SetDown(false) },
		"the other one is unknown":          func(s *faulty.Store) { s.SetDown(false); s.LoseRequests(3) },
	} {
		t.Run(name, func(t *testing.T) {
			j, x, store := newExecutor(t)
			job := model.Job{Team: "panel", Kind: "dedup", Repeatable: true, Declared: model.Resources{MilliCPU: 1}}
			all := make([]model.Job, groups*jobsPerGroup)
			for i := range all {
				all[i] = job
			}
			_, err := j.Submit(context.Background(), "c", all)
			assert.NilError(t, err)
			writes := 0
			store.BeforeWrite(func(string, infra.Txn) {
				switch writes++; writes {
				case 1:
					store.SetDown(true)
				case 2:
					second(store)
				}
			})
			_, err = execute(t, x, "cancel jobs where team = panel", "x-1")
			var uncertain *command.UncertainError
			assert.Assert(t, errors.As(err, &uncertain), "%v", err)
			store.BeforeWrite(nil)
			_, err = execute(t, x, "cancel jobs where team = panel", "x-1")
			assert.NilError(t, err, "a repeat cancels the rest")
		})
	}
}

func TestMatches(t *testing.T) {
	r := &jobs.Record{Job: model.Job{ID: "c.1", Team: "panel", Class: model.ClassUrgent}, State: jobs.Waiting}
	for _, tc := range []struct {
		name string
		c    lang.Condition
		want bool
	}{
		{"equal", lang.Condition{Field: "class", Comparison: lang.Equal, Value: "urgent"}, true},
		{"not equal", lang.Condition{Field: "state", Comparison: lang.NotEqual, Value: "waiting"}, false},
		{"less", lang.Condition{Field: "job", Comparison: lang.Less, Value: "c.2"}, true},
		{"greater", lang.Condition{Field: "team", Comparison: lang.Greater, Value: "panel"}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, Matches(r, []lang.Condition{tc.c}), tc.want)
		})
	}
}
