package lang

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/pumicestage/pumicestage/policy/model"
)

func TestParse(t *testing.T) {
	diskReason := Reason{Text: "disk"}
	cases := []struct {
		name string
		line string
		want Statement
	}{
		{"show with conditions", "show vms where pool = tabulation and zone = gt-a and state != healthy", Show{Kind: ShowVMs, Where: []Condition{
			{"pool", Equal, "tabulation"}, {"zone", Equal, "gt-a"}, {"state", NotEqual, "healthy"}}}},
		{"show services", "  show\tservices ", Show{Kind: ShowServices}},
		{"signs need no spaces", "show budgets where headroom<=1", Show{Kind: ShowBudgets, Where: []Condition{{"headroom", LessOrEqual, "1"}}}},
		{"show jobs", "show jobs where state = unplaceable", Show{Kind: ShowJobs, Where: []Condition{{"state", Equal, "unplaceable"}}}},
		{"show a budget", "show budget weighting", Show{Kind: ShowBudgets, Service: "weighting"}},
		{"explain", "explain vm v17", Explain{Subject: SubjectVM, Name: "v17"}},
		{"what-if drain", "what-if drain rack r3", WhatIf{Order: Drain{Scope: Scope{SubjectRack, "r3"}}}},
		{"what-if move", "what-if move vm v17 to pool weighting", WhatIf{Order: Move{VM: "v17", Pool: "weighting"}}},
		{"what-if wave", "what-if wave spring on pool tabulation", WhatIf{Order: StartWave{Wave: "spring", Pools: pools("tabulation")}}},
		{"what-if loss", "what-if lose zone gt-a", WhatIf{Lose: &Scope{SubjectZone, "gt-a"}}},
		{"what-if declaration", "what-if declaration", WhatIf{Declaration: true}},
		{"drain", `drain vm v17 reason "disk"`, Drain{Reason: diskReason, Scope: Scope{SubjectVM, "v17"}}},
		{"drain and cut", `drain vm v17 cut reason "disk"`, Drain{Reason: diskReason, Scope: Scope{SubjectVM, "v17"}, Cut: true}},
		{"undrain", "undrain vm v17", Undrain{VM: "v17"}},
		{"move", "move vm v17 to pool weighting", Move{VM: "v17", Pool: "weighting"}},
		{"start", "start wave spring on pool tabulation", StartWave{Wave: "spring", Pools: pools("tabulation")}},
		{"start on two pools", "start wave spring on pool a, b", StartWave{Wave: "spring", Pools: pools("a", "b")}},
		{"start as declared", "start wave spring", StartWave{Wave: "spring"}},
		{"pause", `pause wave spring reason "disk"`, PauseWave{Reason: diskReason, Wave: "spring"}},
		{"resume", "resume wave spring", ResumeWave{Wave: "spring"}},
		{"cancel", "cancel wave spring", CancelWave{Wave: "spring"}},
		{"cancel a job", "cancel job j9", CancelJobs{Job: "j9"}},
		{"cancel many jobs", `cancel jobs where team = panel reason "disk"`, CancelJobs{Reason: diskReason, Where: []Condition{{"team", Equal, "panel"}}}},
		{"submit", "submit job j9 team analysts kind crosstab cpu 0.5 memory-mb 512 class urgent run-time 10m repeatable zone gt-a", SubmitJob{Job: model.Job{
			ID: "j9", Team: "analysts", Kind: "crosstab", Class: model.ClassUrgent, Zone: "gt-a", Repeatable: true,
			Declared: model.Resources{MilliCPU: 500, MemoryMB: 512}, RunTime: 10 * time.Minute}}},
		{"set", "set service preview limit 40", SetLimit{Service: "preview", Limit: 40}},
		{"a name that is also a keyword", "drain vm pool", Drain{Scope: Scope{SubjectVM, "pool"}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got, err := Parse(tc.line)
			assert.NilError(t, err)
			assert.DeepEqual(t, got, tc.want)
		})
	}
}

func TestErrorsPointAtTheWord(t *testing.T) {
	cases := []struct {
		name string
		line string
		want string
	}{
		{"unknown first word", "drian vm v1", `unexpected "drian"
  drian vm v1
  ^^^^^
expected one of: show, explain, what-if, drain, undrain, move, start, pause, resume, cancel, set, submit`},
		{"unknown kind", "show vmz", `unexpected "vmz"
  show vmz
       ^^^
expected one of: vms, services, pools, waves, jobs, budgets, entries, zones, racks, teams, budget`},
		{"line ends early", "move vm v17 to", `unexpected the end of the line
  move vm v17 to
                ^
expected pool`},
		{"name missing", "drain vm", `unexpected the end of the line
  drain vm
          ^
expected the ID of a VM`},
		{"unknown field", "show vms where colour = red", `unexpected "colour"
  show vms where colour = red
                 ^^^^^^
expected one of: vm, zone, rack, pool, state, health, holder, wave, address, since`},
		{"comparison missing", "show vms where pool tabulation", `unexpected "tabulation"
  show vms where pool tabulation
                      ^^^^^^^^^^
expected one of: =, !=, <, <=, >, >=`},
		{"extra word", "undrain vm v1 now", `unexpected "now"
  undrain vm v1 now
                ^^^
expected one of: reason, the end of the line`},
		{"reason without quotes", "drain vm v1 reason disk", `unexpected "disk"
  drain vm v1 reason disk
                     ^^^^
expected a text in double quotes`},
		{"not a number", "set service a limit many", `unexpected "many"
  set service a limit many
                      ^^^^
expected a whole number of at least 0`},
		{"job option given twice", "submit job j team t kind k spread cpu 1 spread", `unexpected "spread"
  submit job j team t kind k spread cpu 1 spread
                                          ^^^^^^
expected spread once`},
		{"job option out of range", "submit job j team t kind k cpu NaN", `unexpected "NaN"
  submit job j team t kind k cpu NaN
                                 ^^^
expected a number of cores above 0, such as 4 or 0.5`},
		{"unknown sign", "show vms where pool ~ a", `unexpected "~"
  show vms where pool ~ a
                      ^
expected one of: =, !=, <, <=, >, >=`},
		{"too many words", "start wave w on pool " + strings.Repeat("a,", 70) + "a", `unexpected "a line of 146 words"
expected at most 128`},
		{"empty line", "", `unexpected the end of the line
expected one of: show, explain, what-if, drain, undrain, move, start, pause, resume, cancel, set, submit`},
		{"unterminated string", `drain vm v1 reason "disk`, `unexpected "\"disk"
  drain vm v1 reason "disk
                     ^^^^^
expected a text in double quotes`},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			_, err := Parse(tc.line)
			var syntax *SyntaxError
			assert.Assert(t, errors.As(err, &syntax), "%v", err)
			assert.Equal(t, syntax.Error(), tc.want)
		})
	}
}

func TestQuestionsAndOrdersApart(t *testing.T) {
	_, err := ParseQuestion("drain vm v1")
	assert.Error(t, err, "unexpected \"drain\"\n  drain vm v1\n  ^^^^^\nexpected one of: show, explain, what-if")
	_, err = ParseOrder("show vms")
	assert.Error(t, err, "unexpected \"show\"\n  show vms\n  ^^^^\nexpected one of: drain, undrain, move, start, pause, resume, cancel, set, submit")
}

func pools(names ...string) []model.PoolName {
	var out []model.PoolName
	for _, n := range names {
		out = append(out, model.PoolName(n))
	}
	return out
}
