package command

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/internal/config"
	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/infra/faulty"
	"github.com/pumicestage/pumicestage/internal/infra/memstore"
	"github.com/pumicestage/pumicestage/internal/lang"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

var (
	ctx   = context.Background()
	epoch = time.Date(2026, 3, 1, 3, 0, 0, 0, time.UTC)
	ana   = Actor{Name: "ana", From: "10.0.0.7"}
)

// scripted implements Fleet, Jobs, ScopeResolver and Trail with preset answers
// and records the calls.
type scripted struct {
	Fleet      // nil: methods that are not overridden panic
	fail       map[string]error
	done       []string // "c-1.2 drain v2"
	jobs       []model.JobID
	trail      []string // "asked: drain rack r1"
	failStages map[Stage]bool
}

func (s *scripted) Drain(_ context.Context, vm model.VMID, _ bool, t OrderMeta) (Effect, error) {
	s.done = append(s.done, fmt.Sprintf("%s drain %s", t.Change, vm))
	return Effect{Before: "in-pool", After: "leaving"}, s.fail[string(vm)]
}

func (s *scripted) Submit(_ context.Context, job model.Job, t OrderMeta) (Effect, error) {
	s.done = append(s.done, fmt.Sprintf("%s submit %s at %s", t.Change, job.ID, job.SubmittedAt.Format(time.TimeOnly)))
	return Effect{}, nil
}

func (s *scripted) Cancel(_ context.Context, job model.JobID, t OrderMeta) (Effect, error) {
	s.done = append(s.done, fmt.Sprintf("%s cancel %s", t.Change, job))
	return Effect{}, s.fail[string(job)]
}

func (s *scripted) Select(context.Context, []lang.Condition) ([]model.JobID, error) {
	return s.jobs, nil
}

func (s *scripted) Resolve(sc lang.Scope) []model.VMID {
	if sc.Name != "r1" {
		return nil
	}
	return []model.VMID{"v1", "v2", "v3"}
}

func (s *scripted) Record(_ context.Context, e Event) error {
	if s.failStages[e.Stage] {
		return errors.New("trail out of reach")
	}
	s.RecordLimited(e)
	return nil
}

func (s *scripted) RecordLimited(e Event) {
	line := string(e.Stage) + ": " + e.Action
	if e.Detail != "" {
		line += " | " + e.Detail
	}
	s.trail = append(s.trail, line)
}

func TestDo(t *testing.T) {
	conflict := &Refusal{Code: CodeConflict, Winner: "wave spring", Revision: 9, Detail: "VM v2 is leaving"}
	uncertain := &UncertainError{Change: "c-1.2", Err: errors.New("reply lost")}
	cases := []struct {
		name    string
		order   string
		script  scripted
		done    []string
		refused int
		err     string // prefix of the error
		trail   []string
	}{
		{"each of several has a change ID of its own", "drain rack r1", scripted{},
			[]string{"c-1.1 drain v1", "c-1.2 drain v2", "c-1.3 drain v3"}, 0, "",
			[]string{"asked: drain rack r1", "done: drain rack r1"}},
		{"one of several refused", "drain rack r1", scripted{fail: map[string]error{"v2": conflict}},
			[]string{"c-1.1 drain v1", "c-1.2 drain v2", "c-1.3 drain v3"}, 1, "",
			[]string{"asked: drain rack r1", "done: drain rack r1 | 1 of 3 refused: vm v2: refused (conflict): VM v2 is leaving; held by wave spring at revision 9"}},
		{"all refused", "drain rack r1", scripted{fail: map[string]error{"v1": conflict, "v2": conflict, "v3": conflict}},
			[]string{"c-1.1 drain v1", "c-1.2 drain v2", "c-1.3 drain v3"}, 3, "",
			[]string{"asked: drain rack r1", "refused: drain rack r1 | vm v1: refused"}},
		{"stops where an outcome is unknown", "drain rack r1", scripted{fail: map[string]error{"v2": uncertain}},
			[]string{"c-1.1 drain v1", "c-1.2 drain v2"}, 0, "outcome unknown: repeat under change c-1.2",
			[]string{"asked: drain rack r1", "unknown: drain rack r1 | outcome unknown"}},
		{"no VM of that name", "drain rack r9", scripted{}, nil, 0, "refused (not-found): no VM in rack r9",
			[]string{"refused: drain rack r9 | refused (not-found)"}},
		{"submit", "submit job j1 team t kind k", scripted{}, []string{"c-1 submit j1 at 03:00:00"}, 0, "",
			[]string{"asked: submit job j1 team t kind k", "done: submit job j1 team t kind k"}},
		{"one job", "cancel job j1", scripted{}, []string{"c-1 cancel j1"}, 0, "", []string{"asked: cancel job j1", "done: cancel job j1"}},
		{"many jobs", "cancel jobs where team = t", scripted{jobs: []model.JobID{"j1", "j2"}}, []string{"c-1.1 cancel j1", "c-1.2 cancel j2"}, 0, "",
			[]string{"asked: cancel jobs where team = t", "done: cancel jobs where team = t"}},
		{"no jobs", "cancel jobs where team = t", scripted{}, nil, 0, "refused (not-found): 0 jobs",
			[]string{"refused: cancel jobs where team = t | refused"}},
		{"refused if it cannot be recorded", "drain rack r1", scripted{failStages: map[Stage]bool{StageAsked: true}}, nil, 0,
			"refused (unavailable): not done, it could not be entered in the audit trail", nil},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := &tc.script
			x := New(Options{Fleet: s, Jobs: s, Scopes: s, Trail: s, Clock: clockwork.NewFakeClockAt(epoch)})
			o, err := lang.ParseOrder(tc.order)
			assert.NilError(t, err)
			res, err := x.Execute(ctx, Request{Change: "c-1", By: ana, Text: tc.order, Order: o})
			if tc.err == "" {
				assert.NilError(t, err)
			} else {
				assert.Assert(t, err != nil && strings.HasPrefix(err.Error(), tc.err), "%v", err)
			}
			assert.DeepEqual(t, s.done, tc.done)
			assert.Equal(t, res.Refused(), tc.refused)
			assert.Equal(t, len(s.trail), len(tc.trail), "%q", s.trail)
			for i, want := range tc.trail {
				assert.Assert(t, strings.HasPrefix(s.trail[i], want), "%q", s.trail[i])
			}
		})
	}
}

// Guards against reporting an executed order as failed because its outcome
// could not be recorded in the audit trail. The operator must get the result and
// a warning.
func TestOutcomeNotEnteredIsAWarning(t *testing.T) {
	s := &scripted{failStages: map[Stage]bool{StageDone: true}}
	x := New(Options{Fleet: s, Scopes: s, Trail: s, Clock: clockwork.NewFakeClockAt(epoch)})
	res, err := x.Execute(ctx, Request{Change: "c-1", Text: "drain rack r1", Order: lang.Drain{Scope: lang.Scope{Subject: lang.SubjectRack, Name: "r1"}}})
	assert.NilError(t, err)
	assert.Equal(t, res.Warning, "the outcome could not be entered in the audit trail: trail out of reach")
	_, err = x.Execute(ctx, Request{Order: lang.CancelJobs{Job: "j1"}, Change: "c-2"})
	assert.Error(t, err, "refused (not-found): this deployment runs no jobs")
}

// beforeRead is a store that runs f before its nth read.
type beforeRead struct {
	infra.Store
	nth, seen int
	f         func()
}

func (s *beforeRead) Get(ctx context.Context, key string) (infra.KV, infra.Revision, error) {
	if s.seen++; s.seen == s.nth {
		s.f()
	}
	return s.Store.Get(ctx, key)
}

// Guards against a lost update: an order changes one key of the declaration
// while another operator applies a complete declaration, between any two steps
// of the order. The order must not undo that change, which it has not read, and
// a retry must be recognised as the same order whatever was applied since.
func TestSetLimitKeepsConcurrentChange(t *testing.T) {
	d, err := config.Load("../../examples/encuesta-viva")
	assert.NilError(t, err)
	for name, interleave := range map[string]func(store infra.Store, concurrent func()) infra.Store{
		"after it has read": func(store infra.Store, concurrent func()) infra.Store {
			return &beforeRead{Store: store, nth: 2, f: concurrent}
		},
		"as it writes": func(store infra.Store, concurrent func()) infra.Store {
			hooked, writes := faulty.Wrap(store), 0
			hooked.BeforeWrite(func(string, infra.Txn) {
				if writes++; writes == 1 {
					concurrent()
				}
			})
			return hooked
		},
	} {
		t.Run(name, func(t *testing.T) {
			inner := memstore.New(clockwork.NewFakeClockAt(epoch))
			apply := func(change model.ChangeID, edit func(*model.Declaration)) {
				next := *d
				next.Services = append([]model.Service{}, d.Services...)
				edit(&next)
				_, err := config.Apply(ctx, inner, &next, config.ApplyOptions{Change: change, By: "bea", ConfirmRemoval: true})
				assert.NilError(t, err)
			}
			apply("c-1", func(*model.Declaration) {})
			store := interleave(inner, func() {
				apply("c-rival", func(next *model.Declaration) { next.Service("portal").Timeout = time.Minute })
			})
			stored := DeclarationStore{Store: store, Clock: clockwork.NewFakeClockAt(epoch), View: view.NewHolder()}
			effect, err := stored.SetLimit(ctx, "preview", 40, ana, OrderMeta{Change: "c-2"})
			assert.NilError(t, err)
			assert.Equal(t, effect.After, "limit 40, generation 3")
			now, _, err := config.Read(ctx, inner)
			assert.NilError(t, err)
			assert.Equal(t, now.Service("portal").Timeout, time.Minute)
			assert.Equal(t, now.Service("preview").Limit, 40)

			apply("c-3", func(next *model.Declaration) { next.Services = next.Services[:2] })
			_, err = stored.SetLimit(ctx, "preview", 40, ana, OrderMeta{Change: "c-2"})
			assert.NilError(t, err)
		})
	}
}

func TestSetLimitRefused(t *testing.T) {
	inner := memstore.New(clockwork.NewFakeClockAt(epoch))
	flaky := faulty.Wrap(inner)
	stored := DeclarationStore{Store: flaky, Clock: clockwork.NewFakeClockAt(epoch), View: view.NewHolder()}
	code := func(terms OrderMeta) Code {
		_, err := stored.SetLimit(ctx, "preview", 40, ana, terms)
		var refusal *Refusal
		assert.Assert(t, errors.As(err, &refusal), "%v", err)
		return refusal.Code
	}
	assert.Equal(t, code(OrderMeta{Change: "c-1"}), CodeInvalid) // nothing is declared yet
	d, err := config.Load("../../examples/encuesta-viva")
	assert.NilError(t, err)
	_, err = config.Apply(ctx, inner, d, config.ApplyOptions{Change: "c-2", By: "ana"})
	assert.NilError(t, err)
	assert.Equal(t, code(OrderMeta{Change: "c-3", IfRevision: 1}), CodeConflict)
	flaky.SetDown(true)
	assert.Equal(t, code(OrderMeta{Change: "c-4"}), CodeUnavailable)
}

// Guards against an order modifying the declaration that this entry VM is
// serving requests from. After the store was restored from an old backup, the
// order is based on that declaration instead of the store's, and must copy it.
func TestSetLimitLeavesTheViewAlone(t *testing.T) {
	d, err := config.Load("../../examples/encuesta-viva")
	assert.NilError(t, err)
	d.Generation = 7
	h := view.NewHolder()
	h.Publish(&view.Snapshot{Declaration: d})
	stored := DeclarationStore{Store: memstore.New(clockwork.NewFakeClockAt(epoch)), Clock: clockwork.NewFakeClockAt(epoch), View: h}
	effect, err := stored.SetLimit(ctx, "preview", 40, ana, OrderMeta{Change: "c-1"})
	assert.NilError(t, err)
	assert.Equal(t, effect.After, "limit 40, generation 8")
	assert.Equal(t, d.Service("preview").Limit, 0)
}
