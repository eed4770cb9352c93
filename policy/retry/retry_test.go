package retry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var t0 = time.Unix(0, 0)

func TestDecide(t *testing.T) {
	replayable := Attempt{Number: 1, Replayable: true, Deadline: t0.Add(time.Second), TypicalDuration: 100 * time.Millisecond}
	with := func(change func(*Attempt)) Attempt { a := replayable; change(&a); return a }
	cases := []struct {
		name    string
		attempt Attempt
		want    Verdict
	}{
		{"in time", replayable, Retry},
		{"too many attempts", with(func(a *Attempt) { a.Number = MaxAttempts }), TooManyAttempts},
		{"body not replayable", with(func(a *Attempt) { a.Replayable = false }), BodyNotReplayable},
		{"past the deadline", with(func(a *Attempt) { a.Deadline = t0 }), TooLate},
		{"no time for a response", with(func(a *Attempt) { a.TypicalDuration = time.Second }), TooLate},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, NewBudget().Decide(tc.attempt, t0), tc.want)
		})
	}
}

// Every target refuses each of 10,000 requests. Retries must stay within a tenth
// of the requests that callers sent.
func TestRetriesStayWithinBudgetInATotalOutage(t *testing.T) {
	b := NewBudget()
	retries := 0
	for range 10000 {
		b.RecordRequest()
		for n := 1; b.Decide(Attempt{Number: n, Replayable: true, Deadline: t0.Add(time.Second)}, t0) == Retry; n++ {
			retries++
		}
	}
	assert.Assert(t, retries > 850 && retries <= 1000, "%d", retries)
}

// Many requests without failures must not accumulate more than MaxBalance
// retries, which an outage would then turn into a retry storm.
func TestBudgetBalanceIsBounded(t *testing.T) {
	b := NewBudget()
	for range 100000 {
		b.RecordRequest()
	}
	retries := 0
	for b.Decide(Attempt{Number: 1, Replayable: true, Deadline: t0.Add(time.Second)}, t0) == Retry {
		retries++
	}
	assert.Equal(t, retries, MaxBalance)
}
