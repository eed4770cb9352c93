// Package query answers operators' questions from a snapshot of the fleet. It
// never changes state. Every answer says how old its view is and which zones
// are missing from it.
package query

import (
	"context"
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/pumicestage/pumicestage/internal/infra"
	"github.com/pumicestage/pumicestage/internal/lang"
	"github.com/pumicestage/pumicestage/internal/view"
	"github.com/pumicestage/pumicestage/policy/model"
)

// Options are what an Engine works with. View and Planner are required; the
// others may be nil where the deployment has no such part.
type Options struct {
	View    *view.Holder
	Planner Planner
	Waves   Waves
	Jobs    Jobs
	Peers   Peers
	History History
	// Health returns what this entry VM knows of a VM first hand.
	Health func(model.VMID) model.Health
	Clock  clockwork.Clock // the real one if nil
}

// Engine answers questions. It is safe for concurrent use.
type Engine struct {
	Options
}

// New returns an Engine.
func New(o Options) *Engine {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Health == nil {
		o.Health = func(model.VMID) model.Health { return model.HealthUnknown }
	}
	return &Engine{o}
}

// Answer is what a question gets; exactly one of Table, Explanation and
// Forecast is set.
type Answer struct {
	View        ViewInfo     `json:"view"`
	Table       *Table       `json:"table,omitempty"`
	Explanation *Explanation `json:"explanation,omitempty"`
	Forecast    *Forecast    `json:"forecast,omitempty"`
	// Notes say what makes the answer less than it could be.
	Notes []string `json:"notes,omitempty"`
}

func (a *Answer) note(text string) {
	if text != "" {
		a.Notes = append(a.Notes, text)
	}
}

// Table is the answer to a show. Rows have one cell for each column.
type Table struct {
	Kind    lang.Kind  `json:"kind"`
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

// Explanation is the answer to an explain: the state now, and the reasons for
// it, oldest first.
type Explanation struct {
	Subject      lang.Subject `json:"subject"`
	Name         string       `json:"name"`
	CurrentState string       `json:"now"`
	Reasons      []Reason     `json:"reasons"`
}

// Reason is one link of the chain; At is zero for what holds all the time.
type Reason struct {
	At   time.Time `json:"at,omitzero"`
	Text string    `json:"text"`
}

// ViewInfo says how far an answer can be trusted.
type ViewInfo struct {
	Entry        model.EntryID  `json:"entry,omitempty"` // that answers
	AsOf         time.Time      `json:"asOf"`
	Age          time.Duration  `json:"ageNanoseconds"`
	Stale        bool           `json:"stale"` // older than StaleAfter
	Generation   uint64         `json:"generation"`
	Revision     infra.Revision `json:"revision"`
	MissingZones []MissingZone  `json:"missingZones,omitempty"`
}

// MissingZone is a zone none of whose entry VMs was heard of late: what an
// answer says of it may be over.
type MissingZone struct {
	Zone      model.ZoneName `json:"zone"`
	LastHeard time.Time      `json:"heard,omitzero"` // zero: not since this entry VM started
}

const (
	// StaleAfter is when a view is called stale. Watches deliver within a
	// second; five are several missed in a row.
	StaleAfter = 5 * time.Second
	// zoneSilence is when a zone counts as missing: several heartbeats.
	zoneSilence = 5 * time.Second
)

// Error reports a question that has no answer.
type Error struct {
	Code   Code
	Detail string
	Err    error
}

// Code says why a question has no answer.
type Code string

// The codes of an Error.
const (
	CodeNotFound    Code = "not-found"   // nothing of the name
	CodeUnavailable Code = "unavailable" // what the answer needs is out of reach
	CodeInvalid     Code = "invalid"     // the question makes no sense as given
)

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Detail
	}
	return e.Detail + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func notFound(format string, args ...any) error {
	return &Error{Code: CodeNotFound, Detail: fmt.Sprintf(format, args...)}
}

func unavailable(what string, err error) error {
	return &Error{Code: CodeUnavailable, Detail: what + " cannot be told now", Err: err}
}

// Ask answers a question. The declaration is the one that a
// "what-if declaration" is about, else nil. Errors are *Error.
func (e *Engine) Ask(ctx context.Context, q lang.Question, d *model.Declaration) (Answer, error) {
	s := e.View.Load()
	answer := Answer{View: e.info(s)}
	if s.Declaration == nil {
		return answer, &Error{Code: CodeUnavailable, Detail: "this entry VM holds no declaration yet"}
	}
	var err error
	switch q := q.(type) {
	case lang.Show:
		err = e.show(ctx, s, q, &answer)
	case lang.Explain:
		err = e.explain(ctx, s, q, &answer)
	case lang.WhatIf:
		answer.Forecast, err = e.whatIf(ctx, s, q, d)
	default:
		err = &Error{Code: CodeInvalid, Detail: fmt.Sprintf("no such question: %T", q)}
	}
	return answer, err
}

// Info says how far an answer given now could be trusted.
func (e *Engine) Info() ViewInfo { return e.info(e.View.Load()) }

func (e *Engine) info(s *view.Snapshot) ViewInfo {
	now := e.Clock.Now()
	info := ViewInfo{AsOf: s.AsOf, Generation: s.Generation(), Revision: s.Revision}
	info.Age = max(now.Sub(s.AsOf), 0)
	info.Stale = info.Age > StaleAfter
	if e.Peers == nil || s.Declaration == nil {
		return info
	}
	info.Entry = e.Peers.Self()
	heard := make(map[model.ZoneName]time.Time)
	for _, p := range e.Peers.Statuses() {
		if p.LastHeard.After(heard[p.Zone]) {
			heard[p.Zone] = p.LastHeard
		}
	}
	for _, z := range s.Declaration.Zones {
		if now.Sub(heard[z]) > zoneSilence {
			info.MissingZones = append(info.MissingZones, MissingZone{Zone: z, LastHeard: heard[z]})
		}
	}
	return info
}
